#include "exchange/stream_versions.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/** A stream in the table, which owns it. */
typedef struct Stream {
    uint64_t key;
    const char *version; /* interned in versions */
    int64_t added_ms;
} Stream_t;

struct EyStreamVersions {
    GHashTable *streams;    /* key -> Stream_t */
    GQueue ages;            /* of Stream_t, the oldest first */
    GStringChunk *versions; /* few names that occur in many streams */
};

static const EyField_t RecordFields[] = {
    EY_FIELD(EyStreamRecord_t, key, EY_FIELD_U64),
    EY_FIELD_TEXT(EyStreamRecord_t, version),
    EY_FIELD_END,
};
const EySchema_t EyStreamRecord_schema =
    EY_SCHEMA(EyStreamRecord_t, RecordFields);

static int
destroy(EyStreamVersions_t *self)
{
    g_queue_clear(&self->ages);
    g_hash_table_destroy(self->streams);
    g_string_chunk_free(self->versions);
    return 0;
}

EyStreamVersions_t *
EyStreamVersions_New(const void *ctx)
{
    enum { CHUNK_BYTES = 1024 };
    EyStreamVersions_t *self = EY_NEW(ctx, EyStreamVersions_t);
    self->streams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&self->ages);
    self->versions = g_string_chunk_new(CHUNK_BYTES);
    talloc_set_destructor(self, destroy);
    return self;
}

uint64_t
EyStreamVersions_Key(const char *attempt_id)
{
    return XXH64(attempt_id, strlen(attempt_id), 0);
}

static bool
is_old(const Stream_t *stream, int64_t now_ms)
{
    return now_ms - stream->added_ms > EY_STREAM_VERSIONS_KEPT_MS;
}

static void
forget_oldest(EyStreamVersions_t *self)
{
    Stream_t *oldest = g_queue_pop_head(&self->ages);
    (void)g_hash_table_remove(self->streams, &oldest->key);
}

static void
forget_old(EyStreamVersions_t *self, int64_t now_ms)
{
    const Stream_t *oldest = NULL;
    while ((oldest = g_queue_peek_head(&self->ages)) != NULL &&
           is_old(oldest, now_ms))
    {
        forget_oldest(self);
    }
    if (self->ages.length == 0) {
        g_string_chunk_clear(self->versions);
    }
}

void
EyStreamVersions_Add(EyStreamVersions_t *self, int64_t now_ms,
                     const EyStreamRecord_t *record)
{
    forget_old(self, now_ms);
    Stream_t *known = g_hash_table_lookup(self->streams, &record->key);
    if (known != NULL) {
        (void)g_queue_remove(&self->ages, known);
        (void)g_hash_table_remove(self->streams, &record->key);
    }
    else if (self->ages.length >= EY_STREAM_VERSIONS_MAX) {
        forget_oldest(self);
    }
    Stream_t *stream = g_new0(Stream_t, 1);
    stream->key = record->key;
    stream->version =
        g_string_chunk_insert_const(self->versions, record->version);
    stream->added_ms = now_ms;
    (void)g_hash_table_insert(self->streams, &stream->key, stream);
    g_queue_push_tail(&self->ages, stream);
}

EyServerVersion_t
EyStreamVersions_Find(EyStreamVersions_t *self, int64_t now_ms, uint64_t key)
{
    const Stream_t *stream = g_hash_table_lookup(self->streams, &key);
    if (stream == NULL || is_old(stream, now_ms)) {
        return (EyServerVersion_t){.is_set = false};
    }
    return EyServerVersion_Make(stream->version);
}

uint32_t
EyStreamVersions_Count(const EyStreamVersions_t *self)
{
    return self->ages.length;
}
