/**
 * Which version of a server's software began which stream, for the time that a
 * caller may take it up again. A stream is named by the id of the caller's
 * attempt that brought its first event.
 */
#ifndef EY_EXCHANGE_STREAM_VERSIONS_H
#define EY_EXCHANGE_STREAM_VERSIONS_H

#include "exchange/server_version.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A stream is remembered for this time after it was begun or resumed. */
#define EY_STREAM_VERSIONS_KEPT_MS 60000
/** Most streams that are remembered; the oldest ones are forgotten first. */
#define EY_STREAM_VERSIONS_MAX 262144

/** One stream. */
typedef struct EyStreamRecord {
    uint64_t key; /* from EyStreamVersions_Key */
    EyName_t version;
} EyStreamRecord_t;

extern const EySchema_t EyStreamRecord_schema;

typedef struct EyStreamVersions EyStreamVersions_t;

EyStreamVersions_t *
EyStreamVersions_New(const void *ctx);

/** The key of the stream that an attempt has begun. */
uint64_t
EyStreamVersions_Key(const char *attempt_id);

/** Remembers a stream, or remembers it for longer. */
void
EyStreamVersions_Add(EyStreamVersions_t *self, int64_t now_ms,
                     const EyStreamRecord_t *record);

/** The version that began a stream; none if it isn't known. */
EyServerVersion_t
EyStreamVersions_Find(EyStreamVersions_t *self, int64_t now_ms, uint64_t key);

uint32_t
EyStreamVersions_Count(const EyStreamVersions_t *self);

#ifdef __cplusplus
}
#endif

#endif
