#include "config/raft_file.h"

#include "config/raft_file_reader.h"
#include "config/raft_record.h"
#include "core/memory.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

EY_DEFINE_ERROR_DOMAIN(RaftFile, "ey-log-file")

#define LOCK_NAME "control.lock"
#define NEW_NAME "control.log.new"
#define FOLDER_MODE 0700
#define FILE_MODE 0600

struct EyRaftFile {
    char *folder;
    int lock;
    int file;
    uint64_t size_bytes; /* synced */
    bool has_failed;     /* the disk's content is unknown; writes fail */
    uint64_t incarnation;
    bool has_lost_data;        /* as in EyRaftDiskState_t */
    uint64_t file_id;          /* as in EyRaftCompleteRecord_t */
    uint64_t chain;            /* checksum of the last record */
    EyRaftStateRecord_t state; /* last one in the file */
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

static EyRaftStateRecord_t
state_of(const EyRaftDiskWrite_t *disk_write)
{
    EyRaftStateRecord_t state = {
        .cluster = disk_write->cluster,
        .term = disk_write->term,
        .vote_incarnation = disk_write->vote_incarnation,
        .commit = disk_write->commit,
    };
    (void)EY_COPY(state.vote, disk_write->vote);
    return state;
}

static bool
is_same_state(const EyRaftStateRecord_t *left,
              const EyRaftStateRecord_t *right)
{
    return left->commit == right->commit &&
           EyRaftStateRecord_HasSamePromises(left, right);
}

/** Adds the records of the entries; returns the last one's checksum. */
static uint64_t
add_entries(GByteArray *buffer, uint64_t chain,
            const EyRaftDiskWrite_t *disk_write, bool is_chained)
{
    for (uint32_t i = 0; i < disk_write->entry_count; i++) {
        uint64_t checksum =
            EyRaftRecord_Add(buffer, chain, EY_RAFT_RECORD_ENTRY,
                             &EyRaftEntry_schema, &disk_write->entries[i]);
        chain = is_chained ? checksum : chain;
    }
    return chain;
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

/** Writes and syncs a buffer behind the content; *end_bytes, where it goes,
 * becomes its end. */
static bool
append(EyRaftFile_t *self, const GByteArray *buffer, uint64_t *end_bytes,
       GError **error)
{
    if (!write_all(self, self->file, buffer, *end_bytes)) {
        (void)fail_errno(error, EY_RAFT_FILE_ERROR_WRITE, EY_RAFT_FILE_NAME);
        /* Drop the incomplete records; the next write overwrites them. */
        if (ftruncate(self->file, (off_t)self->size_bytes) != 0) {
            self->has_failed = true;
        }
        return false;
    }
    if (self->calls.sync(self->file) != 0) {
        self->has_failed = true;
        return fail_errno(error, EY_RAFT_FILE_ERROR_SYNC, EY_RAFT_FILE_NAME);
    }
    *end_bytes += buffer->len;
    return true;
}

/** Appends a confirmation of all records up to *end_bytes, which becomes its
 * own end. */
static bool
confirm(EyRaftFile_t *self, uint64_t chain, uint64_t *end_bytes,
        GError **error)
{
    EyRaftConfirmationRecord_t confirmation = {
        .file_id = self->file_id,
        .offset_bytes = *end_bytes,
        .chain = chain,
    };
    GByteArray *buffer = g_byte_array_new();
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_CONFIRMATION,
                           &EyRaftConfirmationRecord_schema, &confirmation);
    bool done = append(self, buffer, end_bytes, error);
    g_byte_array_free(buffer, TRUE);
    return done;
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

/** A file that takes the place of the one in use. */
typedef struct NewFile {
    int file;
    uint64_t size_bytes;
    uint64_t file_id;
    uint64_t chain;
} NewFile_t;

/** Renames the new file over the old one; after a crash one of them is
 * there. */
static bool
rename_over(EyRaftFile_t *self, const NewFile_t *new_file,
            const char *new_path, const char *path, GError **error)
{
    if (rename(new_path, path) != 0) {
        (void)fail_errno(error, EY_RAFT_FILE_ERROR_WRITE, path);
        (void)close(new_file->file);
        (void)unlink(new_path);
        return false;
    }
    if (self->file >= 0) {
        (void)close(self->file);
    }
    self->file = new_file->file;
    self->size_bytes = new_file->size_bytes;
    self->file_id = new_file->file_id;
    self->chain = new_file->chain;
    if (!sync_folder(self)) {
        self->has_failed = true;
        return fail_errno(error, EY_RAFT_FILE_ERROR_SYNC, self->folder);
    }
    return true;
}

static bool
replace_file(EyRaftFile_t *self, const GByteArray *buffer, NewFile_t *new_file,
             GError **error)
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
        new_file->file = file;
        new_file->size_bytes = buffer->len;
        done = rename_over(self, new_file, new_path, path, error);
    }
    talloc_free(ctx);
    return done;
}

static uint64_t
random_id(void)
{
    uint64_t id = 0;
    while (id == 0) {
        id = EyRandom_SystemSeed();
    }
    return id;
}

/** Writes a complete file: head, state, snapshot, entries. */
static bool
write_new_file(EyRaftFile_t *self, const EyRaftDiskWrite_t *disk_write,
               GError **error)
{
    GByteArray *buffer = g_byte_array_new();
    EyRaftHeadRecord_t head = {
        .incarnation = self->incarnation,
        .has_lost_data = self->has_lost_data,
    };
    EyRaftStateRecord_t state = state_of(disk_write);
    EyRaftCompleteRecord_t complete = {
        .incarnation = self->incarnation,
        .file_id = random_id(),
    };
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_HEAD,
                           &EyRaftHeadRecord_schema, &head);
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_STATE,
                           &EyRaftStateRecord_schema, &state);
    if (disk_write->snapshot.index != 0) {
        (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_SNAPSHOT,
                               &EyRaftSnapshot_schema, &disk_write->snapshot);
    }
    (void)add_entries(buffer, 0, disk_write, false);
    NewFile_t new_file = {
        .file_id = complete.file_id,
        .chain = EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_COMPLETE,
                                  &EyRaftCompleteRecord_schema, &complete),
    };
    bool done = replace_file(self, buffer, &new_file, error);
    g_byte_array_free(buffer, TRUE);
    if (done) {
        self->state = state;
    }
    return done;
}

/** Appends the records of a write to the buffer; returns the last one's
 * checksum. */
static uint64_t
add_changes(const EyRaftFile_t *self, GByteArray *buffer,
            const EyRaftDiskWrite_t *disk_write)
{
    uint64_t chain = self->chain;
    EyRaftStateRecord_t state = state_of(disk_write);
    /* Before the state, whose commit may cover entries that replace these: a
     * torn write ends after any record. */
    if (disk_write->truncate_from != 0) {
        EyRaftTruncateRecord_t truncation = {.from_index =
                                                 disk_write->truncate_from};
        chain = EyRaftRecord_Add(buffer, chain, EY_RAFT_RECORD_TRUNCATE,
                                 &EyRaftTruncateRecord_schema, &truncation);
    }
    if (!is_same_state(&state, &self->state)) {
        chain = EyRaftRecord_Add(buffer, chain, EY_RAFT_RECORD_STATE,
                                 &EyRaftStateRecord_schema, &state);
    }
    return add_entries(buffer, chain, disk_write, true);
}

/** True if a write has more than a new commit index. */
static bool
needs_confirmation(const EyRaftFile_t *self,
                   const EyRaftDiskWrite_t *disk_write)
{
    EyRaftStateRecord_t state = state_of(disk_write);
    return disk_write->truncate_from != 0 || disk_write->entry_count > 0 ||
           !EyRaftStateRecord_HasSamePromises(&state, &self->state);
}

static bool
append_changes(EyRaftFile_t *self, const EyRaftDiskWrite_t *disk_write,
               GError **error)
{
    GByteArray *buffer = g_byte_array_new();
    uint64_t chain = add_changes(self, buffer, disk_write);
    uint64_t end_bytes = self->size_bytes;
    bool done = buffer->len == 0 || append(self, buffer, &end_bytes, error);
    if (done && needs_confirmation(self, disk_write)) {
        done = confirm(self, chain, &end_bytes, error);
    }
    g_byte_array_free(buffer, TRUE);
    if (done) {
        self->size_bytes = end_bytes;
        self->chain = chain;
        self->state = state_of(disk_write);
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

/** Writes what was read of a file without confirmations to a new one. */
static bool
convert(EyRaftFile_t *self, const EyRaftDiskState_t *disk, GError **error)
{
    EyRaftDiskWrite_t disk_write = {
        .cluster = disk->cluster,
        .term = disk->term,
        .vote_incarnation = disk->vote_incarnation,
        .commit = disk->commit,
        .entries = disk->entries,
        .entry_count = disk->entry_count,
        .snapshot = disk->snapshot,
    };
    (void)EY_COPY(disk_write.vote, disk->vote);
    return write_new_file(self, &disk_write, error);
}

/** Makes the file hold what was read, synced and confirmed, and nothing
 * behind it. */
static bool
settle(EyRaftFile_t *self, const EyRaftDiskState_t *disk,
       const EyRaftFileContent_t *content, GError **error)
{
    self->size_bytes = content->size_bytes;
    self->file_id = content->file_id;
    self->chain = content->chain;
    self->state = content->state;
    self->incarnation = disk->incarnation;
    self->has_lost_data = disk->has_lost_data;
    if (ftruncate(self->file, (off_t)self->size_bytes) != 0 ||
        fsync(self->file) != 0)
    {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, EY_RAFT_FILE_NAME);
    }
    /* An earlier process may have ended between the rename of a new file and
     * the sync of the folder. */
    if (!sync_folder(self)) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, self->folder);
    }
    if (self->file_id == 0) {
        return convert(self, disk, error);
    }
    return !content->needs_confirmation ||
           confirm(self, self->chain, &self->size_bytes, error);
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
    EyRaftFileContent_t content;
    bool done = EyRaftFileReader_Read(self, (const uint8_t *)data, size_bytes,
                                      disk, &content, error);
    g_free(data);
    if (!done) {
        return false;
    }
    disk->dropped_bytes = size_bytes - content.size_bytes;
    self->file = open(path, O_RDWR | O_CLOEXEC);
    if (self->file < 0) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, path);
    }
    return settle(self, disk, &content, error);
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

/** Fails with the cause in errno: a lack of room or of descriptors, or a disk
 * that fails, may end; else the setting is wrong. */
static bool
fail_folder(GError **error, const char *path)
{
    switch (errno) {
    case ENOSPC:
    case EDQUOT:
    case EIO:
    case EMFILE:
    case ENFILE:
    case ENOMEM:
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, path);
    default:
        return fail_errno(error, EY_RAFT_FILE_ERROR_FOLDER, path);
    }
}

static bool
lock_folder(EyRaftFile_t *self, const void *ctx, GError **error)
{
    if (g_mkdir_with_parents(self->folder, FOLDER_MODE) != 0) {
        return fail_folder(error, self->folder);
    }
    char *path = path_of(self, ctx, LOCK_NAME);
    self->lock = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (self->lock < 0) {
        return fail_folder(error, path);
    }
    if (flock(self->lock, LOCK_EX | LOCK_NB) != 0) {
        return fail(error, EY_RAFT_FILE_ERROR_LOCKED, self->folder,
                    "another process uses this data folder");
    }
    return true;
}

static bool
make_file(EyRaftFile_t *self, const void *ctx, EyRaftDiskState_t *disk,
          GError **error)
{
    EyRaftDiskWrite_t nothing = {.serial = 0};
    const char *damaged = path_of(self, ctx, EY_RAFT_FILE_DAMAGED_NAME);
    self->has_lost_data = access(damaged, F_OK) == 0;
    disk->has_lost_data = self->has_lost_data;
    self->incarnation = random_id();
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
    return make_file(self, ctx, disk, error);
}

static EyRaftFile_t *
new_file_of(const void *ctx, const char *folder,
            const EyRaftFileCalls_t *calls)
{
    EyRaftFile_t *self = EY_NEW(ctx, EyRaftFile_t);
    self->folder = EyMemory_Strdup(self, folder);
    self->file = -1;
    self->lock = -1;
    self->calls = calls != NULL ? *calls : SystemCalls;
    talloc_set_destructor(self, file_destroy);
    return self;
}

EyRaftFile_t *
EyRaftFile_Open(const void *ctx, const char *folder,
                const EyRaftFileCalls_t *calls, EyRaftDiskState_t *disk,
                GError **error)
{
    EyRaftFile_t *self = new_file_of(ctx, folder, calls);
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

static bool
rename_damaged(const EyRaftFile_t *self, const void *ctx, GError **error)
{
    const char *path = path_of(self, ctx, EY_RAFT_FILE_NAME);
    const char *aside = path_of(self, ctx, EY_RAFT_FILE_DAMAGED_NAME);
    if (access(aside, F_OK) == 0) {
        aside = path_of(self, ctx, EY_RAFT_FILE_DAMAGED_AGAIN_NAME);
    }
    if (rename(path, aside) != 0) {
        return fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, path);
    }
    /* Else a power loss could bring it back in place of the new file. */
    return sync_folder(self) ||
           fail_errno(error, EY_RAFT_FILE_ERROR_OPEN, self->folder);
}

bool
EyRaftFile_SetAside(const char *folder, GError **error)
{
    EyRaftFile_t *self = new_file_of(NULL, folder, NULL);
    bool done =
        lock_folder(self, self, error) && rename_damaged(self, self, error);
    talloc_free(self);
    return done;
}

uint64_t
EyRaftFile_SizeBytes(const EyRaftFile_t *self)
{
    return self->size_bytes;
}
