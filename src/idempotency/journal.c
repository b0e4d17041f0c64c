#include "idempotency/journal.h"

#include "core/memory.h"
#include "idempotency/record.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

EY_DEFINE_ERROR_DOMAIN(Journal, "ey-journal")

#define FILE_NAME "idempotency.journal"
/** Each entry: magic, size of the payload, its checksum, the payload. */
#define ENTRY_MAGIC 0x314a5945U /* "EYJ1" */
#define ENTRY_MAX_BYTES (64U * 1024 * 1024)
/** Smallest file that is compacted, whenever its size has doubled. */
#define COMPACT_MIN_BYTES (8ULL * 1024 * 1024)
/** Limits of one entry of a snapshot: count of records, size of answers. */
#define SNAPSHOT_RECORDS_MAX 1024
#define SNAPSHOT_BYTES_MAX (8ULL * 1024 * 1024)

typedef struct EntryHeader {
    uint32_t magic;
    uint32_t size_bytes;
    uint64_t checksum;
} EntryHeader_t;

struct EyJournal {
    char *folder;
    char *path;
    int file;
    uint64_t size_bytes;      /* of the entries that are written whole */
    uint64_t compacted_bytes; /* size after the last compaction */
    bool has_failed;          /* what is behind them is unknown */
};

/** State of loading. */
typedef struct Loading {
    EyGroupState_t *state; /* newest entry; NULL before the first one */
    GHashTable *records;   /* key -> EyRecord_t, owned by ctx */
    void *ctx;
} Loading_t;

static bool
fail(GError **error, EyJournalError_t code, const char *path, const char *what)
{
    g_set_error(error, EY_JOURNAL_ERROR, (gint)code, "%s: %s: %s", path, what,
                g_strerror(errno));
    return false;
}

static int
journal_destroy(EyJournal_t *self)
{
    if (self->file >= 0) {
        (void)close(self->file);
    }
    return 0;
}

/* Loading */

/** Applies an entry to the state loaded so far. */
static void
apply_entry(Loading_t *loading, EyGroupState_t *entry)
{
    if (entry->clear) {
        g_hash_table_remove_all(loading->records);
    }
    for (uint32_t i = 0; i < entry->record_count; i++) {
        EyRecord_t *record = &entry->records[i];
        if (record->key != NULL) {
            (void)g_hash_table_replace(loading->records, record->key, record);
        }
    }
    loading->state = entry;
}

/** Reads and applies the entry at data; false if it is incomplete or corrupt.
 */
static bool
read_entry(Loading_t *loading, const uint8_t *data, uint64_t left_bytes,
           uint64_t *used_bytes)
{
    EntryHeader_t header;
    if (left_bytes < sizeof(header)) {
        return false;
    }
    memcpy(&header, data, sizeof(header));
    const uint8_t *payload = data + sizeof(header);
    if (header.magic != ENTRY_MAGIC || header.size_bytes > ENTRY_MAX_BYTES ||
        header.size_bytes > left_bytes - sizeof(header) ||
        header.checksum != XXH3_64bits(payload, header.size_bytes))
    {
        return false;
    }
    EyGroupState_t *entry = EY_NEW(loading->ctx, EyGroupState_t);
    if (!EySchema_Unpack(&EyGroupState_schema, entry, payload,
                         header.size_bytes, entry, NULL))
    {
        return false;
    }
    apply_entry(loading, entry);
    *used_bytes = sizeof(header) + header.size_bytes;
    return true;
}

/** True if a valid entry starts anywhere in the data. If so, the data before
 * it was acknowledged and isn't just an incomplete last write. */
static bool
has_later_entry(const uint8_t *data, uint64_t size_bytes)
{
    for (uint64_t at = 1; at + sizeof(EntryHeader_t) <= size_bytes; at++) {
        EntryHeader_t header;
        memcpy(&header, data + at, sizeof(header));
        uint64_t left_bytes = size_bytes - at - sizeof(header);
        if (header.magic == ENTRY_MAGIC && header.size_bytes <= left_bytes &&
            header.checksum ==
                XXH3_64bits(data + at + sizeof(header), header.size_bytes))
        {
            return true;
        }
    }
    return false;
}

static bool
read_all(const EyJournal_t *self, uint8_t *data, uint64_t size_bytes)
{
    uint64_t done = 0;
    while (done < size_bytes) {
        ssize_t got =
            pread(self->file, data + done, size_bytes - done, (off_t)done);
        if (got == 0) {
            errno = EIO;
            return false;
        }
        if (got < 0 && errno != EINTR) {
            return false;
        }
        done += got > 0 ? (uint64_t)got : 0;
    }
    return true;
}

/** Reads all entries, truncates an incomplete last one and syncs the file. */
static bool
load_entries(EyJournal_t *self, Loading_t *loading, const uint8_t *data,
             uint64_t size_bytes, GError **error)
{
    uint64_t at = 0;
    uint64_t used_bytes = 0;
    while (at < size_bytes &&
           read_entry(loading, data + at, size_bytes - at, &used_bytes))
    {
        at += used_bytes;
    }
    if (at < size_bytes) {
        if (has_later_entry(data + at, size_bytes - at)) {
            g_set_error(error, EY_JOURNAL_ERROR, EY_JOURNAL_ERROR_DAMAGED,
                        "%s: corrupt entry at byte %" G_GUINT64_FORMAT
                        "; acknowledged records can't be read",
                        self->path, at);
            return false;
        }
        if (ftruncate(self->file, (off_t)at) != 0) {
            return fail(error, EY_JOURNAL_ERROR_WRITE, self->path,
                        "can't truncate an incomplete entry");
        }
    }
    /* A process that was killed may not have synced its last entries, which
     * the member acknowledges from now on. */
    if (fdatasync(self->file) != 0) {
        return fail(error, EY_JOURNAL_ERROR_WRITE, self->path, "can't sync");
    }
    self->size_bytes = at;
    self->compacted_bytes = at;
    return true;
}

static void
collect_records(Loading_t *loading, EyGroupState_t **state)
{
    *state = loading->state;
    if (loading->state == NULL) {
        return;
    }
    uint32_t count = g_hash_table_size(loading->records);
    EyRecord_t *records = EY_NEW_ARRAY(loading->ctx, EyRecord_t, count);
    GHashTableIter iter;
    gpointer record = NULL;
    g_hash_table_iter_init(&iter, loading->records);
    for (uint32_t i = 0;
         i < count && g_hash_table_iter_next(&iter, NULL, &record); i++)
    {
        records[i] = *(const EyRecord_t *)record;
    }
    loading->state->records = records;
    loading->state->record_count = count;
}

static bool
load(EyJournal_t *self, EyGroupState_t **state, GError **error)
{
    struct stat status;
    if (fstat(self->file, &status) != 0) {
        return fail(error, EY_JOURNAL_ERROR_READ, self->path, "can't stat");
    }
    uint64_t size_bytes = (uint64_t)status.st_size;
    void *scratch = talloc_new(self);
    uint8_t *data = EyMemory_Array(scratch, 1, size_bytes + 1, "journal");
    Loading_t loading = {
        .records = g_hash_table_new(g_str_hash, g_str_equal),
        .ctx = talloc_new(self),
    };
    bool is_ok = read_all(self, data, size_bytes);
    if (!is_ok) {
        (void)fail(error, EY_JOURNAL_ERROR_READ, self->path, "can't read");
    }
    is_ok = is_ok && load_entries(self, &loading, data, size_bytes, error);
    if (is_ok) {
        collect_records(&loading, state);
    }
    g_hash_table_destroy(loading.records);
    talloc_free(scratch);
    return is_ok;
}

/* Writing */

static bool
sync_folder(const char *folder)
{
    int file = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0) {
        return false;
    }
    bool is_ok = fsync(file) == 0;
    (void)close(file);
    return is_ok;
}

static bool
write_all(int file, const uint8_t *data, uint64_t size_bytes)
{
    uint64_t done = 0;
    while (done < size_bytes) {
        ssize_t put = write(file, data + done, size_bytes - done);
        if (put < 0 && errno != EINTR) {
            return false;
        }
        done += put > 0 ? (uint64_t)put : 0;
    }
    return true;
}

/** Writes one entry; its size is added to *size_bytes. */
static bool
write_entry(int file, const EyGroupState_t *state, uint64_t *size_bytes)
{
    void *scratch = talloc_new(NULL);
    EyBytes_t packed = EySchema_Pack(&EyGroupState_schema, scratch, state);
    EntryHeader_t header = {
        .magic = ENTRY_MAGIC,
        .size_bytes = packed.size_bytes,
        .checksum = XXH3_64bits(packed.data, packed.size_bytes),
    };
    uint64_t entry_bytes = sizeof(header) + packed.size_bytes;
    uint8_t *entry = EyMemory_Array(scratch, 1, entry_bytes, "entry");
    memcpy(entry, &header, sizeof(header));
    memcpy(entry + sizeof(header), packed.data, packed.size_bytes);
    bool is_ok = write_all(file, entry, entry_bytes);
    *size_bytes += entry_bytes;
    talloc_free(scratch);
    return is_ok;
}

EyJournal_t *
EyJournal_Open(const void *ctx, const char *folder, EyGroupState_t **state,
               GError **error)
{
    *state = NULL;
    EyJournal_t *self = EY_NEW(ctx, EyJournal_t);
    self->folder = EyMemory_Strdup(self, folder);
    self->path = talloc_asprintf(self, "%s/%s", folder, FILE_NAME);
    self->file = open(self->path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC,
                      S_IRUSR | S_IWUSR);
    talloc_set_destructor(self, journal_destroy);
    bool is_ok = self->file >= 0 && flock(self->file, LOCK_EX | LOCK_NB) == 0;
    if (!is_ok) {
        (void)fail(error, EY_JOURNAL_ERROR_OPEN, self->path, "can't open");
    }
    else if (!sync_folder(folder)) {
        is_ok = fail(error, EY_JOURNAL_ERROR_OPEN, folder, "can't sync");
    }
    if (!is_ok || !load(self, state, error)) {
        talloc_free(self);
        return NULL;
    }
    return self;
}

bool
EyJournal_SetAside(const char *folder, GError **error)
{
    char *path = talloc_asprintf(NULL, "%s/%s", folder, FILE_NAME);
    char *aside = talloc_asprintf(path, "%s.damaged", path);
    bool is_ok = true;
    if (rename(path, aside) != 0) {
        is_ok = fail(error, EY_JOURNAL_ERROR_OPEN, path, "can't rename");
    }
    else if (!sync_folder(folder)) {
        is_ok = fail(error, EY_JOURNAL_ERROR_OPEN, folder, "can't sync");
    }
    talloc_free(path);
    return is_ok;
}

/** After a failed write: drops what it left behind the whole entries. */
static bool
recover(EyJournal_t *self)
{
    if (self->has_failed) {
        self->has_failed =
            ftruncate(self->file, (off_t)self->size_bytes) != 0 ||
            fdatasync(self->file) != 0 || !sync_folder(self->folder);
    }
    return !self->has_failed;
}

bool
EyJournal_Append(EyJournal_t *self, const EyGroupState_t *state,
                 GError **error)
{
    uint64_t size_bytes = self->size_bytes;
    if (!recover(self) || !write_entry(self->file, state, &size_bytes) ||
        fdatasync(self->file) != 0)
    {
        self->has_failed = true;
        return fail(error, EY_JOURNAL_ERROR_WRITE, self->path, "can't write");
    }
    self->size_bytes = size_bytes;
    return true;
}

bool
EyJournal_NeedsCompaction(const EyJournal_t *self)
{
    return self->size_bytes >= COMPACT_MIN_BYTES &&
           self->size_bytes >= 2 * self->compacted_bytes;
}

/** Writes a snapshot as entries of bounded size; the first one has clear set.
 */
static bool
write_snapshot(int file, const EyGroupState_t *snapshot, uint64_t *size_bytes)
{
    EyGroupState_t part = *snapshot;
    uint32_t at = 0;
    part.clear = true;
    do {
        uint64_t bytes = 0;
        uint32_t count = 0;
        while (at + count < snapshot->record_count &&
               count < SNAPSHOT_RECORDS_MAX && bytes < SNAPSHOT_BYTES_MAX)
        {
            bytes += snapshot->records[at + count].answer.size_bytes;
            count++;
        }
        part.records = count > 0 ? &snapshot->records[at] : NULL;
        part.record_count = count;
        if (!write_entry(file, &part, size_bytes)) {
            return false;
        }
        part.clear = false;
        at += count;
    } while (at < snapshot->record_count);
    return true;
}

bool
EyJournal_Compact(EyJournal_t *self, const EyGroupState_t *snapshot,
                  GError **error)
{
    char *path = talloc_asprintf(self, "%s.new", self->path);
    uint64_t size_bytes = 0;
    int file = open(path, O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
                    S_IRUSR | S_IWUSR);
    bool is_ok = file >= 0 && flock(file, LOCK_EX | LOCK_NB) == 0 &&
                 write_snapshot(file, snapshot, &size_bytes) &&
                 fdatasync(file) == 0 && rename(path, self->path) == 0;
    if (!is_ok) {
        /* The old file is unchanged and stays in use. */
        (void)fail(error, EY_JOURNAL_ERROR_WRITE, path, "can't compact");
        if (file >= 0) {
            (void)close(file);
            (void)unlink(path);
        }
        talloc_free(path);
        return false;
    }
    (void)close(self->file);
    self->file = file;
    self->size_bytes = size_bytes;
    self->compacted_bytes = size_bytes;
    talloc_free(path);
    if (!sync_folder(self->folder)) {
        self->has_failed = true;
        return fail(error, EY_JOURNAL_ERROR_WRITE, self->folder, "can't sync");
    }
    return true;
}

uint64_t
EyJournal_SizeBytes(const EyJournal_t *self)
{
    return self->size_bytes;
}
