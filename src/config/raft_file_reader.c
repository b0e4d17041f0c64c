#include "config/raft_file_reader.h"

#include "config/raft_record.h"
#include "core/memory.h"

typedef struct Reading {
    const void *ctx;
    const uint8_t *data;
    uint64_t content_bytes; /* size without the zeros at its end */
    uint64_t offset_bytes;
    EyRaftDiskState_t *disk;
    GPtrArray *entries; /* EyRaftEntry_t */
    bool is_complete;   /* RECORD_COMPLETE was read */
    GError **error;
} Reading_t;

static bool
corrupt(const Reading_t *reading, const char *what)
{
    g_set_error(reading->error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_CORRUPT,
                "%s: corrupt at byte %" G_GUINT64_FORMAT
                ": %s; restore a good copy, or empty the data folder to join "
                "again as a new member",
                EY_RAFT_FILE_NAME, reading->offset_bytes, what);
    return false;
}

static bool
unpack(const Reading_t *reading, const EySchema_t *schema, const void *ctx,
       const EyBytes_t *payload, void *object)
{
    return EySchema_Unpack(schema, ctx, payload->data, payload->size_bytes,
                           object, NULL) ||
           corrupt(reading, "can't decode a record");
}

static bool
read_head(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftHeadRecord_t head;
    if (!unpack(reading, &EyRaftHeadRecord_schema, NULL, payload, &head)) {
        return false;
    }
    reading->disk->incarnation = head.incarnation;
    return true;
}

static bool
read_state(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftStateRecord_t state;
    if (!unpack(reading, &EyRaftStateRecord_schema, NULL, payload, &state)) {
        return false;
    }
    reading->disk->cluster = state.cluster;
    reading->disk->term = state.term;
    (void)EY_COPY(reading->disk->vote, state.vote);
    reading->disk->vote_incarnation = state.vote_incarnation;
    reading->disk->commit = state.commit;
    return true;
}

static bool
read_snapshot(Reading_t *reading, const EyBytes_t *payload)
{
    return unpack(reading, &EyRaftSnapshot_schema, reading->ctx, payload,
                  &reading->disk->snapshot);
}

static uint64_t
last_index(const Reading_t *reading)
{
    return reading->disk->snapshot.index + reading->entries->len;
}

static bool
truncate_entries(Reading_t *reading, uint64_t from_index)
{
    uint64_t base = reading->disk->snapshot.index;
    if (from_index <= base || from_index > last_index(reading) + 1) {
        return corrupt(reading, "an entry is out of order");
    }
    g_ptr_array_set_size(reading->entries, (gint)(from_index - base - 1));
    return true;
}

static bool
read_entry(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftEntry_t *entry = EY_NEW(reading->ctx, EyRaftEntry_t);
    if (!unpack(reading, &EyRaftEntry_schema, entry, payload, entry) ||
        !truncate_entries(reading, entry->index))
    {
        talloc_free(entry);
        return false;
    }
    g_ptr_array_add(reading->entries, entry);
    return true;
}

static bool
read_truncate(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftTruncateRecord_t truncation;
    return unpack(reading, &EyRaftTruncateRecord_schema, NULL, payload,
                  &truncation) &&
           truncate_entries(reading, truncation.from_index);
}

static bool
read_complete(Reading_t *reading, const EyBytes_t *payload)
{
    (void)payload;
    reading->is_complete = true;
    return true;
}

typedef bool (*Reader_t)(Reading_t *reading, const EyBytes_t *payload);

static const Reader_t Readers[] = {
    [EY_RAFT_RECORD_HEAD] = read_head,
    [EY_RAFT_RECORD_STATE] = read_state,
    [EY_RAFT_RECORD_SNAPSHOT] = read_snapshot,
    [EY_RAFT_RECORD_ENTRY] = read_entry,
    [EY_RAFT_RECORD_TRUNCATE] = read_truncate,
    [EY_RAFT_RECORD_COMPLETE] = read_complete,
};

typedef enum ReadStatus {
    READ_RECORD, /* a record was read */
    READ_END,    /* no more records, or an incomplete last one */
    READ_CORRUPT /* corrupt; the error is set */
} ReadStatus_t;

static ReadStatus_t
fail_read(const Reading_t *reading, const char *what)
{
    (void)corrupt(reading, what);
    return READ_CORRUPT;
}

static ReadStatus_t
read_record(Reading_t *reading)
{
    EyRaftRecord_t record = {.whole_bytes = 0};
    bool is_first = reading->offset_bytes == 0;
    switch (EyRaftRecord_Read(reading->data + reading->offset_bytes,
                              reading->content_bytes - reading->offset_bytes,
                              &record))
    {
    case EY_RAFT_RECORD_INCOMPLETE:
        return READ_END;
    case EY_RAFT_RECORD_BAD_HEADER:
        return fail_read(reading, "invalid record header");
    case EY_RAFT_RECORD_BAD_CHECKSUM:
        return fail_read(reading, "checksum mismatch in a record");
    case EY_RAFT_RECORD_VALID:
        break;
    }
    if (is_first != (record.kind == EY_RAFT_RECORD_HEAD)) {
        return fail_read(reading, "invalid record header");
    }
    if (!Readers[record.kind](reading, &record.payload)) {
        return READ_CORRUPT;
    }
    reading->offset_bytes += record.whole_bytes;
    return READ_RECORD;
}

static bool
read_records(Reading_t *reading)
{
    ReadStatus_t result = READ_RECORD;
    while (result == READ_RECORD) {
        result = read_record(reading);
    }
    if (result == READ_END && !reading->is_complete) {
        return corrupt(reading, "the file is truncated");
    }
    return result == READ_END;
}

static void
move_entries(Reading_t *reading)
{
    EyRaftDiskState_t *disk = reading->disk;
    disk->entry_count = reading->entries->len;
    disk->entries =
        EY_NEW_ARRAY(reading->ctx, EyRaftEntry_t, disk->entry_count);
    for (uint32_t i = 0; i < disk->entry_count; i++) {
        disk->entries[i] =
            *(const EyRaftEntry_t *)g_ptr_array_index(reading->entries, i);
    }
}

uint64_t
EyRaftFileReader_Read(const void *ctx, const uint8_t *data,
                      uint64_t size_bytes, EyRaftDiskState_t *disk,
                      GError **error)
{
    Reading_t reading = {
        .ctx = ctx,
        .data = data,
        .content_bytes = EyRaftRecord_ContentBytes(data, size_bytes),
        .disk = disk,
        .entries = g_ptr_array_new(),
        .error = error,
    };
    bool done = read_records(&reading);
    if (done) {
        move_entries(&reading);
    }
    g_ptr_array_free(reading.entries, TRUE);
    return done ? reading.offset_bytes : 0;
}
