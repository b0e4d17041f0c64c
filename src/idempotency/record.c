#include "idempotency/record.h"

#include "core/memory.h"

#include <string.h>

/** Memory that a record takes in addition to its key and answer. */
#define RECORD_OVERHEAD_BYTES 320

const char *const EyRecord_state_names[EY_RECORD_STATE_COUNT] = {
    [EY_RECORD_CLAIMED] = "claimed",
    [EY_RECORD_COMPLETED] = "completed",
    [EY_RECORD_NOT_RUN] = "not-run",
    [EY_RECORD_UNKNOWN] = "unknown",
};

static const EyField_t ClaimIdFields[] = {
    EY_FIELD_TEXT(EyClaimId_t, instance),
    EY_FIELD(EyClaimId_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyClaimId_t, number, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyClaimId_schema = EY_SCHEMA(EyClaimId_t, ClaimIdFields);

static const EyField_t RecordFields[] = {
    EY_FIELD_STRING_MAX(EyRecord_t, key, EY_KEY_SIZE_BYTES - 1),
    EY_FIELD(EyRecord_t, version, EY_FIELD_U64),
    EY_FIELD_NAMED_ENUM(EyRecord_t, state, EyRecord_state_names,
                        EY_RECORD_STATE_COUNT),
    EY_FIELD_NESTED(EyRecord_t, claim, EyClaimId_schema),
    EY_FIELD(EyRecord_t, fingerprint, EY_FIELD_U64),
    EY_FIELD(EyRecord_t, age_ms, EY_FIELD_I64),
    EY_FIELD_BYTES_MAX(EyRecord_t, answer, EY_RECORD_ANSWER_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyRecord_schema = EY_SCHEMA(EyRecord_t, RecordFields);

/** A record in the table. */
typedef struct Entry {
    EyRecord_t record;
    int64_t changed_ms; /* in age-clock time */
    GList *link;        /* in EyRecords.order */
} Entry_t;

struct EyRecords {
    EyRecordsLimits_t limits;
    GHashTable *by_key;  /* record.key -> Entry_t */
    GHashTable *claimed; /* as by_key, open claims only */
    GQueue order;        /* Entry_t by version, oldest first */
    uint64_t size_bytes;
};

bool
EyClaimId_Equals(const EyClaimId_t *a, const EyClaimId_t *b)
{
    return a->number == b->number && a->incarnation == b->incarnation &&
           strcmp(a->instance, b->instance) == 0;
}

void
EyRecord_CopyInto(const void *ctx, EyRecord_t *self, const EyRecord_t *from)
{
    *self = *from;
    self->key = EyMemory_Strdup(ctx, from->key);
    if (from->answer.data != NULL) {
        self->answer.data =
            EyMemory_Copy(ctx, from->answer.data, from->answer.size_bytes);
    }
}

static int
records_destroy(EyRecords_t *self)
{
    g_hash_table_destroy(self->by_key);
    g_hash_table_destroy(self->claimed);
    g_queue_clear(&self->order);
    return 0;
}

EyRecords_t *
EyRecords_New(const void *ctx, const EyRecordsLimits_t *limits)
{
    EyRecords_t *self = EY_NEW(ctx, EyRecords_t);
    self->limits = *limits;
    self->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    self->claimed = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&self->order);
    talloc_set_destructor(self, records_destroy);
    return self;
}

static const Entry_t *
find_entry(const EyRecords_t *self, const char *key)
{
    return g_hash_table_lookup(self->by_key, key);
}

const EyRecord_t *
EyRecords_Find(const EyRecords_t *self, const char *key)
{
    const Entry_t *entry = find_entry(self, key);
    return entry != NULL ? &entry->record : NULL;
}

static uint64_t
entry_size_bytes(const Entry_t *entry)
{
    return RECORD_OVERHEAD_BYTES + strlen(entry->record.key) +
           entry->record.answer.size_bytes;
}

static void
remove_entry(EyRecords_t *self, Entry_t *entry)
{
    self->size_bytes -= entry_size_bytes(entry);
    g_queue_delete_link(&self->order, entry->link);
    (void)g_hash_table_remove(self->claimed, entry->record.key);
    (void)g_hash_table_remove(self->by_key, entry->record.key);
    talloc_free(entry);
}

/** Inserts the entry into the order, after the last one of a lower version. */
static void
link_entry(EyRecords_t *self, Entry_t *entry)
{
    GList *at = self->order.tail;
    while (at != NULL &&
           ((Entry_t *)at->data)->record.version > entry->record.version)
    {
        at = at->prev;
    }
    if (at == NULL) {
        g_queue_push_head(&self->order, entry);
        entry->link = self->order.head;
        return;
    }
    g_queue_insert_after(&self->order, at, entry);
    entry->link = at->next;
}

void
EyRecords_Put(EyRecords_t *self, const EyRecord_t *record, int64_t now_ms)
{
    Entry_t *entry = EY_NEW(self, Entry_t);
    EyRecord_CopyInto(entry, &entry->record, record);
    entry->changed_ms = now_ms - record->age_ms;
    Entry_t *old = (Entry_t *)find_entry(self, record->key);
    if (old != NULL) {
        remove_entry(self, old);
    }
    (void)g_hash_table_insert(self->by_key, entry->record.key, entry);
    if (record->state == EY_RECORD_CLAIMED) {
        (void)g_hash_table_insert(self->claimed, entry->record.key, entry);
    }
    link_entry(self, entry);
    self->size_bytes += entry_size_bytes(entry);
}

void
EyRecords_Expire(EyRecords_t *self, int64_t now_ms)
{
    Entry_t *entry = g_queue_peek_head(&self->order);
    while (entry != NULL && entry->record.state != EY_RECORD_CLAIMED &&
           now_ms - entry->changed_ms >= self->limits.retention_ms)
    {
        remove_entry(self, entry);
        entry = g_queue_peek_head(&self->order);
    }
}

void
EyRecords_Clear(EyRecords_t *self)
{
    Entry_t *entry = g_queue_peek_head(&self->order);
    while (entry != NULL) {
        remove_entry(self, entry);
        entry = g_queue_peek_head(&self->order);
    }
}

bool
EyRecords_IsFull(const EyRecords_t *self)
{
    return self->order.length >= self->limits.count_max ||
           self->size_bytes >= self->limits.size_bytes_max;
}

uint32_t
EyRecords_Count(const EyRecords_t *self)
{
    return self->order.length;
}

uint64_t
EyRecords_SizeBytes(const EyRecords_t *self)
{
    return self->size_bytes;
}

/** The oldest record newer than a version, or NULL. */
static GList *
first_newer(const EyRecords_t *self, uint64_t version)
{
    GList *first = NULL;
    GList *at = self->order.tail;
    while (at != NULL && ((Entry_t *)at->data)->record.version > version) {
        first = at;
        at = at->prev;
    }
    return first;
}

EyRecord_t *
EyRecords_After(const EyRecords_t *self, const void *ctx, uint64_t version,
                uint64_t size_bytes_max, int64_t now_ms, uint32_t *count)
{
    GList *first = first_newer(self, version);
    uint64_t size_bytes = 0;
    *count = 0;
    for (GList *at = first; at != NULL; at = at->next) {
        size_bytes += entry_size_bytes(at->data);
        if (*count > 0 && size_bytes > size_bytes_max) {
            break;
        }
        (*count)++;
    }
    EyRecord_t *records = EY_NEW_ARRAY(ctx, EyRecord_t, *count);
    GList *at = first;
    for (uint32_t i = 0; i < *count && at != NULL; i++) {
        const Entry_t *entry = at->data;
        EyRecord_CopyInto(records, &records[i], &entry->record);
        records[i].age_ms = now_ms - entry->changed_ms;
        at = at->next;
    }
    return records;
}

uint64_t
EyRecords_NewestVersion(const EyRecords_t *self)
{
    const GList *last = self->order.tail;
    return last != NULL ? ((const Entry_t *)last->data)->record.version : 0;
}

void
EyRecords_ForEachClaimed(const EyRecords_t *self, EyRecordVisit_t visit,
                         void *data)
{
    GHashTableIter iter;
    gpointer entry = NULL;
    g_hash_table_iter_init(&iter, self->claimed);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        visit(data, &((const Entry_t *)entry)->record);
    }
}
