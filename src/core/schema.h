/**
 * One table per message type, from which its msgpack and JSON forms come.
 * A table lists the fields of a struct; decoding checks types, lengths and
 * counts, so that a bad message gives an error and never an odd struct.
 *
 *     static const EyField_t Fields[] = {
 *         EY_FIELD(EyPing_t, serial, EY_FIELD_U64),
 *         EY_FIELD_TEXT(EyPing_t, from),
 *         EY_FIELD_END,
 *     };
 *     const EySchema_t EyPing_schema = EY_SCHEMA(EyPing_t, Fields);
 *
 * In msgpack a struct is an array of its fields in order (a longer array is
 * taken, its rest ignored; a shorter one leaves the missing fields zero, so
 * fields may be appended to a message). In JSON it is an object by name;
 * unknown names are ignored and missing ones stay zero unless required.
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
    EY_SCHEMA_ERROR_MALFORMED, /* not msgpack or JSON at all, or cut off */
    EY_SCHEMA_ERROR_TYPE,      /* a field of the wrong type or range */
    EY_SCHEMA_ERROR_SIZE,      /* a text, array or message too long */
    EY_SCHEMA_ERROR_MISSING    /* a required field lacks */
} EySchemaError_t;

EY_ERROR_DOMAIN(Schema);
#define EY_SCHEMA_ERROR EySchema_ErrorDomain()

typedef enum EyFieldKind {
    EY_FIELD_NONE, /* ends a table */
    EY_FIELD_BOOL,
    EY_FIELD_U8,
    EY_FIELD_U16,
    EY_FIELD_U32,
    EY_FIELD_U64,
    EY_FIELD_I64,
    EY_FIELD_F64,
    EY_FIELD_ENUM,   /* an int-sized enum; JSON by name from names */
    EY_FIELD_FIXED,  /* a char array, NUL-terminated */
    EY_FIELD_STRING, /* char *, below the talloc context; may be NULL */
    EY_FIELD_BYTES,  /* EyBytes_t, below the talloc context; JSON: text */
    EY_FIELD_STRUCT, /* a nested struct by sub */
    EY_FIELD_ARRAY   /* pointer to structs by sub, count in a uint32_t */
} EyFieldKind_t;

struct EySchema;

/** One field of a struct. */
typedef struct EyField {
    const char *name;
    EyFieldKind_t kind;
    uint32_t offset_bytes;
    /** Room of a FIXED; longest STRING or BYTES; most items of an ARRAY;
     * number of names of an ENUM. */
    uint32_t limit;
    /** Where the uint32_t count of an ARRAY stands. */
    uint32_t count_offset_bytes;
    const struct EySchema *sub;
    const char *const *names;
    bool required; /* in JSON */
} EyField_t;

/** A struct's fields, ended by EY_FIELD_END. */
typedef struct EySchema {
    const char *name;
    uint32_t size_bytes;
    const EyField_t *fields;
} EySchema_t;

/** Fields whose kind needs no more: numbers and truth values. */
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

/** A char array that JSON must have. */
#define EY_FIELD_REQUIRED_TEXT(type, member)                                  \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_FIXED,                              \
        .offset_bytes = offsetof(type, member),                               \
        .limit = sizeof(((type *)0)->member), .required = true                \
    }

/** A number or truth value that JSON must have. */
#define EY_FIELD_REQUIRED(type, member, field_kind)                           \
    {                                                                         \
        .name = #member, .kind = (field_kind),                                \
        .offset_bytes = offsetof(type, member), .required = true              \
    }

/** An enum by name that JSON must have. */
#define EY_FIELD_REQUIRED_NAMED(type, member, name_array, name_count)         \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_ENUM,                               \
        .offset_bytes = offsetof(type, member), .limit = (name_count),        \
        .names = (name_array), .required = true                               \
    }

/** Pointer and count of structs that JSON must have. */
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

/** An enum whose names stand in an array of name_count texts. */
#define EY_FIELD_NAMED(type, member, name_array, name_count)                  \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_ENUM,                               \
        .offset_bytes = offsetof(type, member), .limit = (name_count),        \
        .names = (name_array)                                                 \
    }

/** A nested struct. */
#define EY_FIELD_OF(type, member, schema)                                     \
    {                                                                         \
        .name = #member, .kind = EY_FIELD_STRUCT,                             \
        .offset_bytes = offsetof(type, member), .sub = &(schema)              \
    }

/** Pointer and count of structs, at most max_items. */
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

/** A schema for arrays of EyName_t. */
extern const EySchema_t EyName_schema;

/** Packs object as msgpack, below ctx. */
EyBytes_t
EySchema_Pack(const EySchema_t *self, const void *ctx, const void *object);

/**
 * Unpacks msgpack into object, which is zeroed first; texts and arrays come
 * below ctx. False, with EY_SCHEMA_ERROR, leaves object in no usable state.
 */
bool
EySchema_Unpack(const EySchema_t *self, const void *ctx, const uint8_t *data,
                uint32_t size_bytes, void *object, GError **error);

/** The object as JSON; the caller owns the reference. */
json_t *
EySchema_ToJson(const EySchema_t *self, const void *object);

/** Reads JSON into object, as EySchema_Unpack reads msgpack. */
bool
EySchema_FromJson(const EySchema_t *self, const void *ctx, json_t *json,
                  void *object, GError **error);

#ifdef __cplusplus
}
#endif

#endif
