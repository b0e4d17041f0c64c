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
    EyRaftFileContent_t *content;
    bool is_complete; /* EY_RAFT_RECORD_COMPLETE was read */
    GError **error;
} Reading_t;

static bool
corrupt(const Reading_t *reading, const char *what)
{
    g_set_error(reading->error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_CORRUPT,
                "%s: corrupt at byte %" G_GUINT64_FORMAT ": %s",
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
    reading->disk->has_lost_data = head.has_lost_data;
    return true;
}

static bool
read_state(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftStateRecord_t state;
    if (!unpack(reading, &EyRaftStateRecord_schema, NULL, payload, &state)) {
        return false;
    }
    EyRaftFileContent_t *content = reading->content;
    content->needs_confirmation |=
        !EyRaftStateRecord_HasSamePromises(&state, &content->state);
    content->state = state;
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
    reading->content->needs_confirmation = true;
    g_ptr_array_add(reading->entries, entry);
    return true;
}

static bool
read_truncate(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftTruncateRecord_t truncation;
    reading->content->needs_confirmation = true;
    return unpack(reading, &EyRaftTruncateRecord_schema, NULL, payload,
                  &truncation) &&
           truncate_entries(reading, truncation.from_index);
}

static bool
read_complete(Reading_t *reading, const EyBytes_t *payload)
{
    EyRaftCompleteRecord_t complete;
    if (!unpack(reading, &EyRaftCompleteRecord_schema, NULL, payload,
                &complete)) {
        return false;
    }
    reading->content->file_id = complete.file_id;
    reading->content->needs_confirmation = false;
    reading->is_complete = true;
    return true;
}

/** True if a record at this offset confirms all before it in this file. */
static bool
is_confirmation(const Reading_t *reading, uint64_t offset_bytes,
                const EyRaftRecord_t *record,
                EyRaftConfirmationRecord_t *confirmation)
{
    return record->kind == EY_RAFT_RECORD_CONFIRMATION &&
           EySchema_Unpack(&EyRaftConfirmationRecord_schema, NULL,
                           record->payload.data, record->payload.size_bytes,
                           confirmation, NULL) &&
           confirmation->file_id == reading->content->file_id &&
           confirmation->offset_bytes == offset_bytes;
}

static bool
read_confirmation(Reading_t *reading, const EyBytes_t *payload)
{
    (void)payload;
    reading->content->needs_confirmation = false;
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
    [EY_RAFT_RECORD_CONFIRMATION] = read_confirmation,
};

typedef enum ReadStatus {
    READ_RECORD, /* a record was read */
    READ_END,    /* no more records, or an incomplete last one */
    READ_CORRUPT /* corrupt; the error is set */
} ReadStatus_t;

/** True if a confirmation follows somewhere behind the current offset. */
static bool
has_later_confirmation(const Reading_t *reading)
{
    EyRaftRecord_t record = {.whole_bytes = 0};
    EyRaftConfirmationRecord_t confirmation;
    for (uint64_t at = reading->offset_bytes; at < reading->content_bytes;
         at++) {
        EyRaftRecordStatus_t status = EyRaftRecord_Read(
            reading->data + at, reading->content_bytes - at, 0, &record);
        if (status == EY_RAFT_RECORD_VALID &&
            is_confirmation(reading, at, &record, &confirmation))
        {
            return true;
        }
    }
    return false;
}

/** Handles a damaged record: the end of the content if no confirmation covers
 * it, else an error. */
static ReadStatus_t
read_damaged(const Reading_t *reading, const char *what)
{
    bool has_confirmations = reading->content->file_id != 0;
    if (has_confirmations && !has_later_confirmation(reading)) {
        return READ_END;
    }
    (void)corrupt(reading, what);
    return READ_CORRUPT;
}

/** Returns what is wrong with a valid record's place; NULL: nothing. */
static const char *
misplaced(const Reading_t *reading, const EyRaftRecord_t *record)
{
    bool is_first = reading->offset_bytes == 0;
    if (is_first != (record->kind == EY_RAFT_RECORD_HEAD)) {
        return "invalid record header";
    }
    EyRaftConfirmationRecord_t confirmation;
    if (record->kind == EY_RAFT_RECORD_CONFIRMATION &&
        (!is_confirmation(reading, reading->offset_bytes, record,
                          &confirmation) ||
         confirmation.chain != reading->content->chain))
    {
        return "a confirmation of other records";
    }
    return NULL;
}

static ReadStatus_t
read_valid(Reading_t *reading, const EyRaftRecord_t *record)
{
    const char *what = misplaced(reading, record);
    if (what != NULL) {
        return read_damaged(reading, what);
    }
    if (!Readers[record->kind](reading, &record->payload)) {
        return READ_CORRUPT;
    }
    EyRaftFileContent_t *content = reading->content;
    if (content->file_id != 0 && record->kind != EY_RAFT_RECORD_CONFIRMATION) {
        content->chain = record->checksum;
    }
    reading->offset_bytes += record->whole_bytes;
    return READ_RECORD;
}

static ReadStatus_t
read_record(Reading_t *reading)
{
    EyRaftRecord_t record = {.whole_bytes = 0};
    switch (EyRaftRecord_Read(reading->data + reading->offset_bytes,
                              reading->content_bytes - reading->offset_bytes,
                              reading->content->chain, &record))
    {
    case EY_RAFT_RECORD_INCOMPLETE:
        return reading->content->file_id != 0
                   ? read_damaged(reading, "a record is cut off")
                   : READ_END;
    case EY_RAFT_RECORD_BAD_HEADER:
        return read_damaged(reading, "invalid record header");
    case EY_RAFT_RECORD_BAD_CHECKSUM:
        return read_damaged(reading, "checksum mismatch in a record");
    case EY_RAFT_RECORD_VALID:
        break;
    }
    return read_valid(reading, &record);
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

bool
EyRaftFileReader_Read(const void *ctx, const uint8_t *data,
                      uint64_t size_bytes, EyRaftDiskState_t *disk,
                      EyRaftFileContent_t *content, GError **error)
{
    *content = (EyRaftFileContent_t){.size_bytes = 0};
    Reading_t reading = {
        .ctx = ctx,
        .data = data,
        .content_bytes = EyRaftRecord_ContentBytes(data, size_bytes),
        .disk = disk,
        .entries = g_ptr_array_new(),
        .content = content,
        .error = error,
    };
    bool done = read_records(&reading);
    if (done) {
        move_entries(&reading);
    }
    g_ptr_array_free(reading.entries, TRUE);
    content->size_bytes = reading.offset_bytes;
    return done;
}
