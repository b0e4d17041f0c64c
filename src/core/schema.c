#include "core/schema.h"

#include "core/memory.h"

#include <math.h>
#include <msgpack.h>
#include <string.h>

EY_DEFINE_ERROR_DOMAIN(Schema, "ey-schema")

/* EY_FIELD_ENUM members are accessed as this type. */
typedef int EnumValue_t;

/** Parameters of all decoding functions. */
typedef struct DecodeContext {
    const void *ctx;
    GError **error;
} DecodeContext_t;

static const EyField_t NameFields[] = {
    {.name = "name", .kind = EY_FIELD_FIXED, .limit = EY_NAME_SIZE_BYTES},
    EY_FIELD_END,
};
const EySchema_t EyName_schema = EY_SCHEMA(EyName_t, NameFields);

static bool
fail(const DecodeContext_t *decoding, const EyField_t *field,
     EySchemaError_t code, const char *expected)
{
    g_set_error(decoding->error, EY_SCHEMA_ERROR, (gint)code,
                "field %s: expected %s", field->name, expected);
    return false;
}

static const void *
field_at(const EyField_t *field, const void *object)
{
    return (const char *)object + field->offset_bytes;
}

static uint32_t
count_of(const EyField_t *field, const void *object)
{
    uint32_t count = 0;
    memcpy(&count, (const char *)object + field->count_offset_bytes,
           sizeof(count));
    return count;
}

static const char *
items_of(const EyField_t *field, const void *object)
{
    const char *items = NULL;
    memcpy(&items, field_at(field, object), sizeof(items));
    return items;
}

static const char *
item_at(const EyField_t *field, const char *items, size_t index)
{
    return items + index * field->sub->size_bytes;
}

static uint32_t
field_count(const EySchema_t *self)
{
    uint32_t count = 0;
    while (self->fields[count].kind != EY_FIELD_NONE) {
        count++;
    }
    return count;
}

/** The value of a bool, unsigned or enum field. */
static uint64_t
get_unsigned(const EyField_t *field, const void *address)
{
    switch (field->kind) {
    case EY_FIELD_BOOL:
        return *(const bool *)address;
    case EY_FIELD_U8:
        return *(const uint8_t *)address;
    case EY_FIELD_U16:
        return *(const uint16_t *)address;
    case EY_FIELD_U32:
        return *(const uint32_t *)address;
    case EY_FIELD_ENUM:
        return (uint64_t) * (const EnumValue_t *)address;
    default:
        return *(const uint64_t *)address;
    }
}

static uint64_t
unsigned_limit(const EyField_t *field)
{
    switch (field->kind) {
    case EY_FIELD_U8:
        return UINT8_MAX;
    case EY_FIELD_U16:
        return UINT16_MAX;
    case EY_FIELD_U32:
        return UINT32_MAX;
    case EY_FIELD_ENUM:
        return field->limit - 1;
    default:
        return UINT64_MAX;
    }
}

static bool
decode_unsigned(const DecodeContext_t *decoding, const EyField_t *field,
                uint64_t value, void *address)
{
    if (value > unsigned_limit(field)) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                    "a number within its range");
    }
    switch (field->kind) {
    case EY_FIELD_U8:
        *(uint8_t *)address = (uint8_t)value;
        break;
    case EY_FIELD_U16:
        *(uint16_t *)address = (uint16_t)value;
        break;
    case EY_FIELD_U32:
        *(uint32_t *)address = (uint32_t)value;
        break;
    case EY_FIELD_ENUM:
        *(EnumValue_t *)address = (EnumValue_t)value;
        break;
    default:
        *(uint64_t *)address = value;
    }
    return true;
}

static bool
decode_text(const DecodeContext_t *decoding, const EyField_t *field,
            const char *text, size_t size_bytes, void *address)
{
    size_t max_bytes = field->limit;
    if (field->kind == EY_FIELD_FIXED) {
        max_bytes--;
    }
    if (size_bytes > max_bytes) {
        return fail(decoding, field, EY_SCHEMA_ERROR_SIZE, "a shorter string");
    }
    if (field->kind == EY_FIELD_BYTES) {
        EyBytes_t *bytes = address;
        bytes->data = EyMemory_Copy(decoding->ctx, text, size_bytes);
        bytes->size_bytes = (uint32_t)size_bytes;
        return true;
    }
    if (size_bytes > 0 && memchr(text, '\0', size_bytes) != NULL) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                    "a string without zero bytes");
    }
    if (field->kind == EY_FIELD_FIXED) {
        /* The pointer may be NULL if the string is empty. */
        if (size_bytes > 0) {
            memcpy(address, text, size_bytes);
        }
        ((char *)address)[size_bytes] = '\0';
        return true;
    }
    *(char **)address = EyMemory_Copy(decoding->ctx, text, size_bytes);
    return true;
}

/** Allocates the items of an array field; sets pointer and count in object. */
static char *
allocate_items(const DecodeContext_t *decoding, const EyField_t *field,
               uint32_t count, void *object)
{
    char *items = EyMemory_Array(decoding->ctx, field->sub->size_bytes, count,
                                 field->sub->name);
    memcpy((char *)object + field->offset_bytes, &items, sizeof(items));
    memcpy((char *)object + field->count_offset_bytes, &count, sizeof(count));
    return items;
}

/* Encoding to msgpack */

static void
pack_object(msgpack_packer *packer, const EySchema_t *schema,
            const void *object);

static void
pack_text(msgpack_packer *packer, const char *text)
{
    if (text == NULL) {
        (void)msgpack_pack_nil(packer);
        return;
    }
    size_t size_bytes = strlen(text);
    (void)msgpack_pack_str(packer, size_bytes);
    (void)msgpack_pack_str_body(packer, text, size_bytes);
}

static void
pack_array(msgpack_packer *packer, const EyField_t *field, const void *object)
{
    uint32_t count = count_of(field, object);
    const char *items = items_of(field, object);
    (void)msgpack_pack_array(packer, count);
    for (uint32_t i = 0; i < count; i++) {
        pack_object(packer, field->sub, item_at(field, items, i));
    }
}

static void
pack_bytes(msgpack_packer *packer, const EyBytes_t *bytes)
{
    (void)msgpack_pack_bin(packer, bytes->size_bytes);
    if (bytes->size_bytes > 0) {
        (void)msgpack_pack_bin_body(packer, bytes->data, bytes->size_bytes);
    }
}

static void
pack_field(msgpack_packer *packer, const EyField_t *field, const void *object)
{
    const void *address = field_at(field, object);
    switch (field->kind) {
    case EY_FIELD_BOOL:
        if (*(const bool *)address) {
            (void)msgpack_pack_true(packer);
        }
        else {
            (void)msgpack_pack_false(packer);
        }
        break;
    case EY_FIELD_I64:
        (void)msgpack_pack_int64(packer, *(const int64_t *)address);
        break;
    case EY_FIELD_F64:
        (void)msgpack_pack_double(packer, *(const double *)address);
        break;
    case EY_FIELD_FIXED:
        pack_text(packer, address);
        break;
    case EY_FIELD_STRING:
        pack_text(packer, *(const char *const *)address);
        break;
    case EY_FIELD_BYTES:
        pack_bytes(packer, address);
        break;
    case EY_FIELD_STRUCT:
        pack_object(packer, field->sub, address);
        break;
    case EY_FIELD_ARRAY:
        pack_array(packer, field, object);
        break;
    default:
        (void)msgpack_pack_uint64(packer, get_unsigned(field, address));
    }
}

static void
pack_object(msgpack_packer *packer, const EySchema_t *schema,
            const void *object)
{
    (void)msgpack_pack_array(packer, field_count(schema));
    const EyField_t *field = schema->fields;
    for (; field->kind != EY_FIELD_NONE; field++) {
        pack_field(packer, field, object);
    }
}

EyBytes_t
EySchema_Pack(const EySchema_t *self, const void *ctx, const void *object)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    pack_object(&packer, self, object);
    EyBytes_t bytes = {
        .data = EyMemory_Copy(ctx, buffer.data, buffer.size),
        .size_bytes = (uint32_t)buffer.size,
    };
    msgpack_sbuffer_destroy(&buffer);
    return bytes;
}

/* Decoding from msgpack */

static bool
unpack_object(const DecodeContext_t *decoding, const EySchema_t *schema,
              const msgpack_object *from, void *object);

static bool
unpack_number(const DecodeContext_t *decoding, const EyField_t *field,
              const msgpack_object *from, void *address)
{
    bool is_unsigned = from->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
    if (field->kind == EY_FIELD_F64) {
        if (from->type != MSGPACK_OBJECT_FLOAT64 || !isfinite(from->via.f64)) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                        "a finite number");
        }
        *(double *)address = from->via.f64;
        return true;
    }
    if (field->kind == EY_FIELD_I64) {
        bool is_negative = from->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
        bool fits = is_unsigned && from->via.u64 <= INT64_MAX;
        if (!is_negative && !fits) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "an integer");
        }
        *(int64_t *)address = from->via.i64;
        return true;
    }
    if (!is_unsigned) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                    "an integer of 0 or more");
    }
    return decode_unsigned(decoding, field, from->via.u64, address);
}

static bool
unpack_text(const DecodeContext_t *decoding, const EyField_t *field,
            const msgpack_object *from, void *address)
{
    if (field->kind == EY_FIELD_BYTES) {
        if (from->type != MSGPACK_OBJECT_BIN) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "bytes");
        }
        return decode_text(decoding, field, from->via.bin.ptr,
                           from->via.bin.size, address);
    }
    if (field->kind == EY_FIELD_STRING && from->type == MSGPACK_OBJECT_NIL) {
        return true;
    }
    if (from->type != MSGPACK_OBJECT_STR) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "a string");
    }
    return decode_text(decoding, field, from->via.str.ptr, from->via.str.size,
                       address);
}

static bool
unpack_array(const DecodeContext_t *decoding, const EyField_t *field,
             const msgpack_object *from, void *object)
{
    if (from->type != MSGPACK_OBJECT_ARRAY) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "an array");
    }
    const msgpack_object_array *array = &from->via.array;
    if (array->size > field->limit) {
        return fail(decoding, field, EY_SCHEMA_ERROR_SIZE, "fewer items");
    }
    char *items = allocate_items(decoding, field, array->size, object);
    for (uint32_t i = 0; i < array->size; i++) {
        if (!unpack_object(decoding, field->sub, &array->ptr[i],
                           (char *)item_at(field, items, i)))
        {
            return false;
        }
    }
    return true;
}

static bool
unpack_field(const DecodeContext_t *decoding, const EyField_t *field,
             const msgpack_object *from, void *object)
{
    void *address = (char *)object + field->offset_bytes;
    switch (field->kind) {
    case EY_FIELD_BOOL:
        if (from->type != MSGPACK_OBJECT_BOOLEAN) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                        "true or false");
        }
        *(bool *)address = from->via.boolean;
        return true;
    case EY_FIELD_FIXED:
    case EY_FIELD_STRING:
    case EY_FIELD_BYTES:
        return unpack_text(decoding, field, from, address);
    case EY_FIELD_STRUCT:
        return unpack_object(decoding, field->sub, from, address);
    case EY_FIELD_ARRAY:
        return unpack_array(decoding, field, from, object);
    default:
        return unpack_number(decoding, field, from, address);
    }
}

static bool
unpack_object(const DecodeContext_t *decoding, const EySchema_t *schema,
              const msgpack_object *from, void *object)
{
    if (from->type != MSGPACK_OBJECT_ARRAY) {
        g_set_error(decoding->error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_TYPE,
                    "%s: expected an array of fields", schema->name);
        return false;
    }
    const msgpack_object_array *array = &from->via.array;
    for (uint32_t i = 0; i < array->size; i++) {
        const EyField_t *field = &schema->fields[i];
        if (field->kind == EY_FIELD_NONE) {
            break;
        }
        if (!unpack_field(decoding, field, &array->ptr[i], object)) {
            return false;
        }
    }
    return true;
}

bool
EySchema_Unpack(const EySchema_t *self, const void *ctx, const uint8_t *data,
                uint32_t size_bytes, void *object, GError **error)
{
    memset(object, 0, self->size_bytes);
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset_bytes = 0;
    msgpack_unpack_return result = msgpack_unpack_next(
        &unpacked, (const char *)data, size_bytes, &offset_bytes);
    bool ok = result == MSGPACK_UNPACK_SUCCESS && offset_bytes == size_bytes;
    if (ok) {
        DecodeContext_t decoding = {.ctx = ctx, .error = error};
        ok = unpack_object(&decoding, self, &unpacked.data, object);
    }
    else {
        g_set_error(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_MALFORMED,
                    "%s: expected exactly one complete msgpack value",
                    self->name);
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

/* Encoding to JSON */

static json_t *
array_to_json(const EyField_t *field, const void *object)
{
    json_t *array = json_array();
    uint32_t count = count_of(field, object);
    const char *items = items_of(field, object);
    for (uint32_t i = 0; i < count; i++) {
        const char *item = item_at(field, items, i);
        json_t *json = field->sub == &EyName_schema
                           ? json_string(item)
                           : EySchema_ToJson(field->sub, item);
        (void)json_array_append_new(array, json);
    }
    return array;
}

static json_t *
bytes_to_json(const EyBytes_t *bytes)
{
    json_t *text = json_stringn((const char *)bytes->data, bytes->size_bytes);
    return text != NULL ? text : json_null();
}

static json_t *
field_to_json(const EyField_t *field, const void *object)
{
    const void *address = field_at(field, object);
    switch (field->kind) {
    case EY_FIELD_BOOL:
        return json_boolean(*(const bool *)address);
    case EY_FIELD_I64:
        return json_integer(*(const int64_t *)address);
    case EY_FIELD_F64:
        return json_real(*(const double *)address);
    case EY_FIELD_FIXED:
        return json_string(address);
    case EY_FIELD_STRING: {
        const char *text = *(const char *const *)address;
        return text != NULL ? json_string(text) : json_null();
    }
    case EY_FIELD_BYTES:
        return bytes_to_json(address);
    case EY_FIELD_STRUCT:
        return EySchema_ToJson(field->sub, address);
    case EY_FIELD_ARRAY:
        return array_to_json(field, object);
    case EY_FIELD_ENUM:
        return json_string(field->names[*(const EnumValue_t *)address]);
    default:
        return json_integer((json_int_t)get_unsigned(field, address));
    }
}

json_t *
EySchema_ToJson(const EySchema_t *self, const void *object)
{
    json_t *json = json_object();
    const EyField_t *field = self->fields;
    for (; field->kind != EY_FIELD_NONE; field++) {
        (void)json_object_set_new(json, field->name,
                                  field_to_json(field, object));
    }
    return json;
}

/* Decoding from JSON */

static bool
number_from_json(const DecodeContext_t *decoding, const EyField_t *field,
                 const json_t *json, void *address)
{
    if (field->kind == EY_FIELD_F64) {
        if (!json_is_number(json)) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "a number");
        }
        *(double *)address = json_number_value(json);
        return true;
    }
    if (!json_is_integer(json)) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "an integer");
    }
    json_int_t value = json_integer_value(json);
    if (field->kind == EY_FIELD_I64) {
        *(int64_t *)address = value;
        return true;
    }
    if (value < 0) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                    "an integer of 0 or more");
    }
    return decode_unsigned(decoding, field, (uint64_t)value, address);
}

static bool
enum_from_json(const DecodeContext_t *decoding, const EyField_t *field,
               const json_t *json, void *address)
{
    const char *text = json_string_value(json);
    for (uint32_t i = 0; text != NULL && i < field->limit; i++) {
        if (strcmp(text, field->names[i]) == 0) {
            *(EnumValue_t *)address = (EnumValue_t)i;
            return true;
        }
    }
    GString *expected = g_string_new("one of");
    for (uint32_t i = 0; i < field->limit; i++) {
        g_string_append_printf(expected, " %s", field->names[i]);
    }
    (void)fail(decoding, field, EY_SCHEMA_ERROR_TYPE, expected->str);
    g_string_free(expected, TRUE);
    return false;
}

static bool
array_from_json(const DecodeContext_t *decoding, const EyField_t *field,
                json_t *json, void *object)
{
    if (!json_is_array(json)) {
        return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "an array");
    }
    size_t count = json_array_size(json);
    if (count > field->limit) {
        return fail(decoding, field, EY_SCHEMA_ERROR_SIZE, "fewer items");
    }
    char *items = allocate_items(decoding, field, (uint32_t)count, object);
    for (size_t i = 0; i < count; i++) {
        json_t *from = json_array_get(json, i);
        char *item = (char *)item_at(field, items, i);
        if (field->sub == &EyName_schema && json_is_string(from)) {
            if (!decode_text(decoding, &NameFields[0], json_string_value(from),
                             json_string_length(from), item))
            {
                return false;
            }
        }
        else if (!EySchema_FromJson(field->sub, decoding->ctx, from, item,
                                    decoding->error))
        {
            return false;
        }
    }
    return true;
}

static bool
field_from_json(const DecodeContext_t *decoding, const EyField_t *field,
                json_t *json, void *object)
{
    void *address = (char *)object + field->offset_bytes;
    switch (field->kind) {
    case EY_FIELD_BOOL:
        if (!json_is_boolean(json)) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE,
                        "true or false");
        }
        *(bool *)address = json_is_true(json);
        return true;
    case EY_FIELD_FIXED:
    case EY_FIELD_STRING:
    case EY_FIELD_BYTES:
        if (!json_is_string(json)) {
            return fail(decoding, field, EY_SCHEMA_ERROR_TYPE, "a string");
        }
        return decode_text(decoding, field, json_string_value(json),
                           json_string_length(json), address);
    case EY_FIELD_ENUM:
        return enum_from_json(decoding, field, json, address);
    case EY_FIELD_STRUCT:
        return EySchema_FromJson(field->sub, decoding->ctx, json, address,
                                 decoding->error);
    case EY_FIELD_ARRAY:
        return array_from_json(decoding, field, json, object);
    default:
        return number_from_json(decoding, field, json, address);
    }
}

bool
EySchema_FromJson(const EySchema_t *self, const void *ctx, json_t *json,
                  void *object, GError **error)
{
    memset(object, 0, self->size_bytes);
    if (!json_is_object(json)) {
        g_set_error(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_TYPE,
                    "%s: expected an object", self->name);
        return false;
    }
    DecodeContext_t decoding = {.ctx = ctx, .error = error};
    const EyField_t *field = self->fields;
    for (; field->kind != EY_FIELD_NONE; field++) {
        json_t *value = json_object_get(json, field->name);
        if (value == NULL || json_is_null(value)) {
            if (field->required) {
                return fail(&decoding, field, EY_SCHEMA_ERROR_MISSING,
                            "a value");
            }
            continue;
        }
        if (!field_from_json(&decoding, field, value, object)) {
            return false;
        }
    }
    return true;
}
