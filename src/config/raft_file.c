#include "config/raft_file.h"

#include "core/memory.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

EY_DEFINE_ERROR_DOMAIN(RaftFile, "ey-log-file")

#define LOCK_NAME "control.lock"
#define NEW_NAME "control.log.new"
#define FOLDER_MODE 0700
#define FILE_MODE 0600
#define TRAILER 0xe0b05a7dU

typedef enum RecordKind {
    RECORD_HEAD = 1, /* incarnation; the first record of a file */
    RECORD_STATE,    /* cluster, term, vote, commit */
    RECORD_SNAPSHOT,
    RECORD_ENTRY,    /* replaces the entries from its index on */
    RECORD_TRUNCATE, /* drops the entries from its index on */
    RECORD_COMPLETE  /* ends the records written before the file's rename; a
                      * file without it is corrupt */
} RecordKind_t;

/** Precedes each record's payload, which TRAILER follows. */
typedef struct RecordHeader {
    uint32_t kind;
    uint32_t size_bytes;
    uint64_t payload_hash;
    uint64_t header_hash; /* of the fields above */
} RecordHeader_t;

typedef struct HeadRecord {
    uint64_t incarnation;
} HeadRecord_t;

typedef struct StateRecord {
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;
    uint64_t commit;
} StateRecord_t;

typedef struct TruncateRecord {
    uint64_t from_index;
} TruncateRecord_t;

static const EyField_t HeadFields[] = {
    EY_FIELD(HeadRecord_t, incarnation, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t HeadSchema = EY_SCHEMA(HeadRecord_t, HeadFields);

static const EyField_t StateFields[] = {
    EY_FIELD(StateRecord_t, cluster, EY_FIELD_U64),
    EY_FIELD(StateRecord_t, term, EY_FIELD_U64),
    EY_FIELD_TEXT(StateRecord_t, vote),
    EY_FIELD(StateRecord_t, vote_incarnation, EY_FIELD_U64),
    EY_FIELD(StateRecord_t, commit, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t StateSchema = EY_SCHEMA(StateRecord_t, StateFields);

static const EyField_t TruncateFields[] = {
    EY_FIELD(TruncateRecord_t, from_index, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t TruncateSchema =
    EY_SCHEMA(TruncateRecord_t, TruncateFields);

struct EyRaftFile {
    char *folder;
    int lock;
    int file;
    uint64_t size_bytes; /* synced */
    bool has_failed;     /* the disk's content is unknown; writes fail */
    uint64_t incarnation;
    StateRecord_t state; /* last one in the file */
    EyRaftFileCalls_t calls;
};

static ssize_t
system_write(int file, const void *data, size_t size_bytes, off_t offset_bytes)
{
    return pwrite(file, data, size_bytes, offset_bytes);
}

static int
system_sync(int file)
{
    return fdatasync(file);
}

static const EyRaftFileCalls_t SystemCalls = {
    .write_at = system_write,
    .sync = system_sync,
};

static bool
fail(GError **error, EyRaftFileError_t code, const char *path,
     const char *what)
{
    g_set_error(error, EY_RAFT_FILE_ERROR, (gint)code, "%s: %s", path, what);
    return false;
}

static bool
fail_errno(GError **error, EyRaftFileError_t code, const char *path)
{
    return fail(error, code, path, g_strerror(errno));
}

static char *
path_of(const EyRaftFile_t *self, const void *ctx, const char *name)
{
    return talloc_asprintf(ctx, "%s/%s", self->folder, name);
}

/* Writing */

static uint64_t
header_hash(const RecordHeader_t *header)
{
    return XXH64(header, offsetof(RecordHeader_t, header_hash), TRAILER);
}

static void
add_record(GByteArray *buffer, RecordKind_t kind, const EySchema_t *schema,
           const void *object)
{
    EyBytes_t payload = EySchema_Pack(schema, NULL, object);
    RecordHeader_t header = {
        .kind = (uint32_t)kind,
        .size_bytes = payload.size_bytes,
        .payload_hash = XXH64(payload.data, payload.size_bytes, kind),
    };
    header.header_hash = header_hash(&header);
    uint32_t trailer = TRAILER;
    g_byte_array_append(buffer, (const guint8 *)&header, sizeof(header));
    g_byte_array_append(buffer, payload.data, payload.size_bytes);
    g_byte_array_append(buffer, (const guint8 *)&trailer, sizeof(trailer));
    talloc_free(payload.data);
}

static StateRecord_t
state_of(const EyRaftDiskWrite_t *disk_write)
{
    StateRecord_t state = {
        .cluster = disk_write->cluster,
        .term = disk_write->term,
        .vote_incarnation = disk_write->vote_incarnation,
        .commit = disk_write->commit,
    };
    (void)EY_COPY(state.vote, disk_write->vote);
    return state;
}

static bool
is_same_state(const StateRecord_t *left, const StateRecord_t *right)
{
    return left->cluster == right->cluster && left->term == right->term &&
           left->vote_incarnation == right->vote_incarnation &&
           left->commit == right->commit &&
           strcmp(left->vote, right->vote) == 0;
}

static void
add_entries(GByteArray *buffer, const EyRaftDiskWrite_t *disk_write)
{
    for (uint32_t i = 0; i < disk_write->entry_count; i++) {
        add_record(buffer, RECORD_ENTRY, &EyRaftEntry_schema,
                   &disk_write->entries[i]);
    }
}

static bool
write_all(const EyRaftFile_t *self, int file, const GByteArray *buffer,
          uint64_t offset_bytes)
{
    guint done = 0;
    while (done < buffer->len) {
        ssize_t written =
            self->calls.write_at(file, buffer->data + done, buffer->len - done,
                                 (off_t)(offset_bytes + done));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            errno = written == 0 ? ENOSPC : errno;
            return false;
        }
        done += (guint)written;
    }
    return true;
}

static bool
append(EyRaftFile_t *self, const GByteArray *buffer, GError **error)
{
    if (buffer->len == 0) {
        return true;
    }
    if (!write_all(self, self->file, buffer, self->size_bytes)) {
        (void)fail_errno(error, EY_RAFT_FILE_ERROR_WRITE, EY_RAFT_FILE_NAME);
        /* Drop the incomplete record; the next write overwrites it. */
        if (ftruncate(self->file, (off_t)self->size_bytes) != 0) {
            self->has_failed = true;
        }
        return false;
    }
    if (self->calls.sync(self->file) != 0) {
        self->has_failed = true;
        return fail_errno(error, EY_RAFT_FILE_ERROR_SYNC, EY_RAFT_FILE_NAME);
    }
    self->size_bytes += buffer->len;
    return true;
}

static bool
sync_folder(const EyRaftFile_t *self)
{
    int folder = open(self->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return false;
    }
    bool done = fsync(folder) == 0;
    (void)close(folder);
    return done;
}

/** Renames the new file over the old one; after a crash one of them is
 * there. */
static bool
rename_over(EyRaftFile_t *self, int file, uint64_t size_bytes,
            const char *new_path, const char *path, GError **error)
{
    if (rename(new_path, path) != 0) {
        (void)fail_errno(error, EY_RAFT_FILE_ERROR_WRITE, path);
        (void)close(file);
        (void)unlink(new_path);
        return false;
    }
    if (self->file >= 0) {
        (void)close(self->file);
    }
    self->file = file;
    self->size_bytes = size_bytes;
    if (!sync_folder(self)) {
        self->has_failed = true;
        return fail_errno(error, EY_RAFT_FILE_ERROR_SYNC, self->folder);
    }
    return true;
}

static bool
replace_file(EyRaftFile_t *self, const GByteArray *buffer, GError **error)
{
    void *ctx = talloc_new(NULL);
    char *new_path = path_of(self, ctx, NEW_NAME);
    char *path = path_of(self, ctx, EY_RAFT_FILE_NAME);
    int file =
        open(new_path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    bool done = file >= 0 && write_all(self, file, buffer, 0) &&
                self->calls.sync(file) == 0;
    if (!done) {
        (void)fail_errno(error, EY_RAFT_FILE_ERROR_WRITE, new_path);
        if (file >= 0) {
            (void)close(file);
            (void)unlink(new_path);
        }
    }
    else {
        done = rename_over(self, file, buffer->len, new_path, path, error);
    }
    talloc_free(ctx);
    return done;
}

/** Writes a complete file: head, state, snapshot, entries. */
static bool
write_new_file(EyRaftFile_t *self, const EyRaftDiskWrite_t *disk_write,
               GError **error)
{
    GByteArray *buffer = g_byte_array_new();
    HeadRecord_t head = {.incarnation = self->incarnation};
    StateRecord_t state = state_of(disk_write);
    add_record(buffer, RECORD_HEAD, &HeadSchema, &head);
    add_record(buffer, RECORD_STATE, &StateSchema, &state);
    if (disk_write->snapshot.index != 0) {
        add_record(buffer, RECORD_SNAPSHOT, &EyRaftSnapshot_schema,
                   &disk_write->snapshot);
    }
    add_entries(buffer, disk_write);
    add_record(buffer, RECORD_COMPLETE, &HeadSchema, &head);
    bool done = replace_file(self, buffer, error);
    g_byte_array_free(buffer, TRUE);
    if (done) {
        self->state = state;
    }
    return done;
}

static bool
append_changes(EyRaftFile_t *self, const EyRaftDiskWrite_t *disk_write,
               GError **error)
{
    GByteArray *buffer = g_byte_array_new();
    StateRecord_t state = state_of(disk_write);
    /* Before the state, whose commit may cover entries that replace these: a
     * torn write ends after any record. */
    if (disk_write->truncate_from != 0) {
        TruncateRecord_t truncation = {.from_index =
                                           disk_write->truncate_from};
        add_record(buffer, RECORD_TRUNCATE, &TruncateSchema, &truncation);
    }
    if (!is_same_state(&state, &self->state)) {
        add_record(buffer, RECORD_STATE, &StateSchema, &state);
    }
    add_entries(buffer, disk_write);
    bool done = append(self, buffer, error);
    g_byte_array_free(buffer, TRUE);
    if (done) {
        self->state = state;
    }
    return done;
}

bool
EyRaftFile_Write(EyRaftFile_t *self, const EyRaftDiskWrite_t *disk_write,
                 GError **error)
{
    if (self->has_failed) {
        return fail(error, EY_RAFT_FILE_ERROR_SYNC, EY_RAFT_FILE_NAME,
                    "the outcome of an earlier write is unknown");
    }
    return disk_write->snapshot.index != 0
               ? write_new_file(self, disk_write, error)
               : append_changes(self, disk_write, error);
}

bool
EyRaftFile_Recover(EyRaftFile_t *self, GError **error)
{
    if (!self->has_failed) {
        return true;
    }
    if (ftruncate(self->file, (off_t)self->size_bytes) != 0 ||
        self->calls.sync(self->file) != 0 || !sync_folder(self))
    {
        return fail_errno(error, EY_RAFT_FILE_ERROR_SYNC, EY_RAFT_FILE_NAME);
    }
    self->has_failed = false;
    return true;
}

/* Reading */

typedef struct Reading {
    const EyRaftFile_t *self;
    const uint8_t *data;
    uint64_t content_bytes; /* size without the zeros at its end */
    uint64_t offset_bytes;
    EyRaftDiskState_t *disk;
    GPtrArray *entries; /* EyRaftEntry_t */
    bool is_complete;   /* RECORD_COMPLETE was read */
    GError **error;
} Reading_t;

/** Returns the size without the zeros at its end: space that was never written
 * reads as zeros after a power failure, and a record ends in none. */
static uint64_t
content_size(const uint8_t *data, uint64_t size_bytes)
{
    while (size_bytes > 0 && data[size_bytes - 1] == 0) {
        size_bytes--;
    }
    return size_bytes;
}

static bool
corrupt(const Reading_t *reading, const char *what)
{
    char text[160];
    (void)g_snprintf(text, sizeof(text),
                     "corrupt at byte %" G_GUINT64_FORMAT
                     ": %s; restore a good copy, or empty the data folder to "
                     "join again as a new member",
                     reading->offset_bytes, what);
    return fail(reading->error, EY_RAFT_FILE_ERROR_CORRUPT, EY_RAFT_FILE_NAME,
                text);
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
    HeadRecord_t head;
    if (!unpack(reading, &HeadSchema, NULL, payload, &head)) {
        return false;
    }
    reading->disk->incarnation = head.incarnation;
    return true;
}

static bool
read_state(Reading_t *reading, const EyBytes_t *payload)
{
    StateRecord_t state;
    if (!unpack(reading, &StateSchema, NULL, payload, &state)) {
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
    return unpack(reading, &EyRaftSnapshot_schema, reading->self, payload,
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
    EyRaftEntry_t *entry = EY_NEW(reading->self, EyRaftEntry_t);
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
    TruncateRecord_t truncation;
    return unpack(reading, &TruncateSchema, NULL, payload, &truncation) &&
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
    [RECORD_HEAD] = read_head,         [RECORD_STATE] = read_state,
    [RECORD_SNAPSHOT] = read_snapshot, [RECORD_ENTRY] = read_entry,
    [RECORD_TRUNCATE] = read_truncate, [RECORD_COMPLETE] = read_complete,
};

typedef enum ReadStatus {
    READ_RECORD, /* a record was read */
    READ_END,    /* no more records, or an incomplete last one */
    READ_CORRUPT /* corrupt; the error is set */
} ReadStatus_t;

static ReadStatus_t
read_payload(Reading_t *reading, const RecordHeader_t *header)
{
    const uint8_t *start = reading->data + reading->offset_bytes;
    const uint8_t *payload_start = start + sizeof(*header);
    uint64_t whole_bytes =
        sizeof(*header) + (uint64_t)header->size_bytes + sizeof(uint32_t);
    if (whole_bytes > reading->content_bytes - reading->offset_bytes) {
        return READ_END;
    }
    EyBytes_t payload = {
        .data = (uint8_t *)payload_start,
        .size_bytes = header->size_bytes,
    };
    uint32_t trailer = 0;
    memcpy(&trailer, payload_start + header->size_bytes, sizeof(trailer));
    uint64_t hash = XXH64(payload.data, payload.size_bytes, header->kind);
    if (trailer != TRAILER || hash != header->payload_hash) {
        (void)corrupt(reading, "checksum mismatch in a record");
        return READ_CORRUPT;
    }
    if (!Readers[header->kind](reading, &payload)) {
        return READ_CORRUPT;
    }
    reading->offset_bytes += whole_bytes;
    return READ_RECORD;
}

static ReadStatus_t
read_record(Reading_t *reading)
{
    const uint8_t *start = reading->data + reading->offset_bytes;
    RecordHeader_t header;
    if (reading->content_bytes < reading->offset_bytes + sizeof(header)) {
        return READ_END;
    }
    memcpy(&header, start, sizeof(header));
    bool is_known =
        header.kind >= RECORD_HEAD && header.kind <= RECORD_COMPLETE;
    bool is_first = reading->offset_bytes == 0;
    if (header.header_hash != header_hash(&header) || !is_known ||
        is_first != (header.kind == RECORD_HEAD))
    {
        (void)corrupt(reading, "invalid record header");
        return READ_CORRUPT;
    }
    return read_payload(reading, &header);
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
        EY_NEW_ARRAY(reading->self, EyRaftEntry_t, disk->entry_count);
    for (uint32_t i = 0; i < disk->entry_count; i++) {
        disk->entries[i] =
            *(const EyRaftEntry_t *)g_ptr_array_index(reading->entries, i);
    }
}

static bool
read_file(EyRaftFile_t *self, const char *path, EyRaftDiskState_t *disk,
          GError **error)
{
    gchar *data = NULL;
    gsize size_bytes = 0;
    GError *cause = NULL;
    if (!g_file_get_contents(path, &data, &size_bytes, &cause)) {
        g_propagate_error(error, cause);
        EyError_Wrap(error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_OPEN,
                     "can't be read");
        return false;
    }
    Reading_t reading = {
        .self = self,
        .data = (const uint8_t *)data,
        .content_bytes = content_size((const uint8_t *)data, size_bytes),
        .disk = disk,
        .entries = g_ptr_array_new(),
        .error = error,
    };
    bool done = read_records(&reading);
    if (done) {
        move_entries(&reading);
    }
    g_ptr_array_free(reading.entries, TRUE);
    g_free(data);
    if (!done) {
        return false;
    }
    self->size_bytes = reading.offset_bytes;
    self->file = open(path, O_RDWR | O_CLOEXEC);
    /* Remove an incomplete record before anything is appended. */
    if (self->file < 0 ||
        ftruncate(self->file, (off_t)self->size_bytes) != 0 ||
        fsync(self->file) != 0)
    {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, path);
    }
    /* An earlier process may have ended between the rename of a new file and
     * the sync of the folder. */
    if (!sync_folder(self)) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, self->folder);
    }
    self->incarnation = disk->incarnation;
    self->state = (StateRecord_t){
        .cluster = disk->cluster,
        .term = disk->term,
        .vote_incarnation = disk->vote_incarnation,
        .commit = disk->commit,
    };
    return EY_COPY(self->state.vote, disk->vote);
}

/* Opening */

static int
file_destroy(EyRaftFile_t *self)
{
    if (self->file >= 0) {
        (void)close(self->file);
    }
    if (self->lock >= 0) {
        (void)close(self->lock);
    }
    return 0;
}

static bool
lock_folder(EyRaftFile_t *self, const void *ctx, GError **error)
{
    if (g_mkdir_with_parents(self->folder, FOLDER_MODE) != 0) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, self->folder);
    }
    char *path = path_of(self, ctx, LOCK_NAME);
    self->lock = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (self->lock < 0) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, path);
    }
    if (flock(self->lock, LOCK_EX | LOCK_NB) != 0) {
        return fail(error, EY_RAFT_FILE_ERROR_LOCKED, self->folder,
                    "another process uses this data folder");
    }
    return true;
}

static bool
make_file(EyRaftFile_t *self, EyRaftDiskState_t *disk, GError **error)
{
    EyRaftDiskWrite_t nothing = {.serial = 0};
    while (self->incarnation == 0) {
        self->incarnation = EyRandom_SystemSeed();
    }
    disk->incarnation = self->incarnation;
    return write_new_file(self, &nothing, error);
}

static bool
open_file(EyRaftFile_t *self, const void *ctx, EyRaftDiskState_t *disk,
          GError **error)
{
    if (!lock_folder(self, ctx, error)) {
        return false;
    }
    char *path = path_of(self, ctx, EY_RAFT_FILE_NAME);
    struct stat status;
    if (lstat(path, &status) == 0) {
        return read_file(self, path, disk, error);
    }
    if (errno != ENOENT) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, path);
    }
    return make_file(self, disk, error);
}

EyRaftFile_t *
EyRaftFile_Open(const void *ctx, const char *folder,
                const EyRaftFileCalls_t *calls, EyRaftDiskState_t *disk,
                GError **error)
{
    EyRaftFile_t *self = EY_NEW(ctx, EyRaftFile_t);
    self->folder = EyMemory_Strdup(self, folder);
    self->file = -1;
    self->lock = -1;
    self->calls = calls != NULL ? *calls : SystemCalls;
    talloc_set_destructor(self, file_destroy);
    *disk = (EyRaftDiskState_t){.incarnation = 0};
    void *scratch = talloc_new(NULL);
    bool done = open_file(self, scratch, disk, error);
    talloc_free(scratch);
    if (!done) {
        talloc_free(self);
        return NULL;
    }
    return self;
}

uint64_t
EyRaftFile_SizeBytes(const EyRaftFile_t *self)
{
    return self->size_bytes;
}
