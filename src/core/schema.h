/**
 * Serialization of structs to msgpack and JSON, driven by one table per type.
 * A table lists the fields of a struct. Decoding checks types, lengths and
 * counts, so that an invalid message gives an error and never an inconsistent
 * struct.
 *
 *     static const EyField_t Fields[] = {
 *         EY_FIELD(EyPing_t, serial, EY_FIELD_U64),
 *         EY_FIELD_TEXT(EyPing_t, from),
 *         EY_FIELD_END,
 *     };
 *     const EySchema_t EyPing_schema = EY_SCHEMA(EyPing_t, Fields);
 *
 * In msgpack a struct is an array of its fields in order. Surplus items of a
 * longer array are ignored and the missing fields of a shorter one stay zero,
 * so fields may be appended to a message type. In JSON a struct is an object;
 * unknown names are ignored and missing fields stay zero unless required.
 */
#ifndef EY_CORE_SCHEMA_H
#define EY_CORE_SCHEMA_H

#include "core/error.h"
#include "core/types.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EySchemaError {
    EY_SCHEMA_ERROR_MALFORMED, /* invalid or truncated msgpack */
    EY_SCHEMA_ERROR_TYPE,      /* a field of the wrong type or range */
    EY_SCHEMA_ERROR_SIZE,      /* a string, byte array or array too long */
    EY_SCHEMA_ERROR_MISSING    /* a required field is missing */
} EySchemaError_t;

EY_ERROR_DOMAIN(Schema);
#define EY_SCHEMA_ERROR EySchema_ErrorDomain()

typedef enum EyFieldKind {
    EY_FIELD_NONE, /* terminates a table */
    EY_FIELD_BOOL,
    EY_FIELD_U8,
    EY_FIELD_U16,
    EY_FIELD_U32,
    EY_FIELD_U64,
    EY_FIELD_I64,
    EY_FIELD_F64,
    EY_FIELD_ENUM,   /* an int-sized enum; in JSON a string of names */
    EY_FIELD_FIXED,  /* a NUL-terminated char array */
    EY_FIELD_STRING, /* char *, a child of the talloc context; may be NULL */
    EY_FIELD_BYTES,  /* EyBytes_t, in the talloc context; in JSON a string */
    EY_FIELD_STRUCT, /* a nested struct with schema sub */
    EY_FIELD_ARRAY   /* pointer to structs with schema sub, and a count */
} EyFieldKind_t;

struct EySchema;

/** One field of a struct. */
typedef struct EyField {
    const char *name;
    EyFieldKind_t kind;
    uint32_t offset_bytes;
    /** FIXED: size of the array, with NUL. STRING, BYTES: maximum length in
     * bytes. ARRAY: maximum number of items. ENUM: number of names. */
    uint32_t limit;
    /** ARRAY: offset of the uint32_t member with the number of items. */
    uint32_t count_offset_bytes;
    const struct EySchema *sub;
    const char *const *names;
    bool required; /* in JSON only */
} EyField_t;

/** The fields of a struct, terminated by EY_FIELD_END. */
typedef struct EySchema {
    const char *name;
    uint32_t size_bytes;
    const EyField_t *fields;
} EySchema_t;

/** A number or bool. */
#define EY_FIELD(type, member, field_kind)                                    \
    {                                                                         \
        .name = #member, .kind = (field_kind),                                \
        .offset_bytes = offsetof(type, member)                                \
    }

/** A char array. */
#define EY_FIELD_TEXT(type, member)                                           \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_FIXED,                              \
        .offset_bytes = offsetof(type, member),                               \
        .limit = sizeof(((type *)0)->member)                                  \
    }

/** A char array, required in JSON. */
#define EY_FIELD_REQUIRED_TEXT(type, member)                                  \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_FIXED,                              \
        .offset_bytes = offsetof(type, member),                               \
        .limit = sizeof(((type *)0)->member), .required = true                \
    }

/** A number or bool, required in JSON. */
#define EY_FIELD_REQUIRED(type, member, field_kind)                           \
    {                                                                         \
        .name = #member, .kind = (field_kind),                                \
        .offset_bytes = offsetof(type, member), .required = true              \
    }

/** An enum with names as in EY_FIELD_NAMED_ENUM, required in JSON. */
#define EY_FIELD_REQUIRED_NAMED_ENUM(type, member, name_array, name_count)    \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_ENUM,                               \
        .offset_bytes = offsetof(type, member), .limit = (name_count),        \
        .names = (name_array), .required = true                               \
    }

/** An array as in EY_FIELD_ARRAY_OF, required in JSON. */
#define EY_FIELD_REQUIRED_ARRAY_OF(type, member, count_member, schema,        \
                                   max_items)                                 \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_ARRAY,                              \
        .offset_bytes = offsetof(type, member), .limit = (max_items),         \
        .count_offset_bytes = offsetof(type, count_member), .sub = &(schema), \
        .required = true                                                      \
    }

/** A char * of at most max_bytes bytes. */
#define EY_FIELD_STRING_MAX(type, member, max_bytes)                          \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_STRING,                             \
        .offset_bytes = offsetof(type, member), .limit = (max_bytes)          \
    }

/** An EyBytes_t of at most max_bytes bytes. */
#define EY_FIELD_BYTES_MAX(type, member, max_bytes)                           \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_BYTES,                              \
        .offset_bytes = offsetof(type, member), .limit = (max_bytes)          \
    }

/** An enum whose values index name_array, an array of name_count strings. */
#define EY_FIELD_NAMED_ENUM(type, member, name_array, name_count)             \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_ENUM,                               \
        .offset_bytes = offsetof(type, member), .limit = (name_count),        \
        .names = (name_array)                                                 \
    }

/** A nested struct. */
#define EY_FIELD_NESTED(type, member, schema)                                 \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_STRUCT,                             \
        .offset_bytes = offsetof(type, member), .sub = &(schema)              \
    }

/** An array of at most max_items structs: member points to the first one and
 * count_member has their number. */
#define EY_FIELD_ARRAY_OF(type, member, count_member, schema, max_items)      \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_ARRAY,                              \
        .offset_bytes = offsetof(type, member), .limit = (max_items),         \
        .count_offset_bytes = offsetof(type, count_member), .sub = &(schema)  \
    }

#define EY_FIELD_END                                                          \
    {                                                                         \
        .kind = EY_FIELD_NONE                                                 \
    }

#define EY_SCHEMA(type, field_table)                                          \
    {                                                                         \
        .name = #type, .size_bytes = sizeof(type), .fields = (field_table)    \
    }

/** Schema of EyName_t, for arrays of names; in JSON an array of strings. */
extern const EySchema_t EyName_schema;

/** Encodes object as msgpack; the result is a child of ctx. */
EyBytes_t
EySchema_Pack(const EySchema_t *self, const void *ctx, const void *object);

/**
 * Decodes msgpack into object, which is zeroed first; strings and arrays are
 * allocated as children of ctx. On failure it returns false with
 * EY_SCHEMA_ERROR, and the content of object must not be used.
 */
bool
EySchema_Unpack(const EySchema_t *self, const void *ctx, const uint8_t *data,
                uint32_t size_bytes, void *object, GError **error);

/** Encodes object as JSON; the caller owns the returned reference. */
json_t *
EySchema_ToJson(const EySchema_t *self, const void *object);

/** Decodes JSON into object; otherwise as EySchema_Unpack. */
bool
EySchema_FromJson(const EySchema_t *self, const void *ctx, json_t *json,
                  void *object, GError **error);

#ifdef __cplusplus
}
#endif

#endif
