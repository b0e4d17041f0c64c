#include "config/raft_file.h"
#include "config/raft_record.h"
#include "core/memory.h"
#include "sync_calls.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define ENTRIES 3

typedef struct Fixture {
    char folder[64];
    char path[96];
} Fixture_t;

static Fixture_t
make_folder(void)
{
    Fixture_t fixture = {.folder = "/tmp/ey-log-file-XXXXXX"};
    cr_assert_not_null(mkdtemp(fixture.folder));
    (void)snprintf(fixture.path, sizeof(fixture.path), "%s/%s", fixture.folder,
                   EY_RAFT_FILE_NAME);
    return fixture;
}

static void
remove_folder(const Fixture_t *fixture)
{
    char path[96];
    (void)chmod(fixture->folder, 0700);
    (void)unlink(fixture->path);
    (void)snprintf(path, sizeof(path), "%s/control.lock", fixture->folder);
    (void)unlink(path);
    (void)snprintf(path, sizeof(path), "%s/control.log.new", fixture->folder);
    (void)unlink(path);
    (void)rmdir(fixture->folder);
}

static EyRaftFile_t *
open_good(const Fixture_t *fixture, EyRaftDiskState_t *disk)
{
    GError *error = NULL;
    EyRaftFile_t *file =
        EyRaftFile_Open(NULL, fixture->folder, NULL, disk, &error);
    cr_assert_not_null(file, "%s", error != NULL ? error->message : "");
    return file;
}

static bool
write_entry(EyRaftFile_t *file, uint64_t index, uint64_t term, GError **error)
{
    EyRaftEntry_t entry = {
        .index = index,
        .term = term,
        .kind = EY_RAFT_COMMAND,
        .data = {.data = (uint8_t *)"abc", .size_bytes = 3},
    };
    EyRaftDiskWrite_t disk_write = {
        .cluster = 7,
        .term = term,
        .vote = "10.0.0.1:7000",
        .vote_incarnation = 9,
        .entries = &entry,
        .entry_count = 1,
    };
    return EyRaftFile_Write(file, &disk_write, error);
}

static void
write_entries(EyRaftFile_t *file)
{
    for (uint64_t i = 1; i <= ENTRIES; i++) {
        cr_assert(write_entry(file, i, 2, NULL));
    }
}

static uint8_t *
read_bytes(const Fixture_t *fixture, size_t *size_bytes)
{
    gchar *data = NULL;
    cr_assert(g_file_get_contents(fixture->path, &data, size_bytes, NULL));
    return (uint8_t *)data;
}

static void
write_bytes(const Fixture_t *fixture, const uint8_t *data, size_t size_bytes)
{
    int file = open(fixture->path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    cr_assert(file >= 0);
    cr_assert_eq(write(file, data, size_bytes), (ssize_t)size_bytes);
    (void)close(file);
}

Test(raft_file, reopened_file_returns_the_written_state)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t first;
    EyRaftFile_t *file = open_good(&fixture, &first);
    cr_assert_neq(first.incarnation, 0);
    write_entries(file);
    cr_assert(write_entry(file, 2, 3, NULL)); /* replaces 2 and 3 */
    talloc_free(file);

    EyRaftDiskState_t disk;
    file = open_good(&fixture, &disk);
    cr_assert_eq(disk.incarnation, first.incarnation);
    cr_assert_eq(disk.cluster, 7);
    cr_assert_eq(disk.term, 3);
    cr_assert_str_eq(disk.vote, "10.0.0.1:7000");
    cr_assert_eq(disk.vote_incarnation, 9);
    cr_assert_eq(disk.entry_count, 2);
    cr_assert_eq(disk.entries[0].term, 2);
    cr_assert_eq(disk.entries[1].term, 3);
    cr_assert_arr_eq(disk.entries[1].data.data, "abc", 3);
    talloc_free(file);
    remove_folder(&fixture);
}

static EyRaftDiskWrite_t
make_snapshot_write(const void *ctx)
{
    EyRaftDiskWrite_t disk_write = {
        .cluster = 7,
        .term = 4,
        .snapshot = {.index = 10,
                     .term = 3,
                     .data = {.data = (uint8_t *)"state", .size_bytes = 5}},
    };
    disk_write.snapshot.members.items = EY_NEW_ARRAY(ctx, EyRaftMember_t, 1);
    disk_write.snapshot.members.count = 1;
    return disk_write;
}

Test(raft_file, snapshot_replaces_entries)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    void *ctx = talloc_new(NULL);
    EyRaftFile_t *file = open_good(&fixture, &disk);
    write_entries(file);
    uint64_t before_bytes = EyRaftFile_SizeBytes(file);
    EyRaftDiskWrite_t disk_write = make_snapshot_write(ctx);
    cr_assert(EyRaftFile_Write(file, &disk_write, NULL));
    cr_assert(write_entry(file, 11, 4, NULL));
    cr_assert_neq(EyRaftFile_SizeBytes(file), before_bytes);
    talloc_free(file);

    file = open_good(&fixture, &disk);
    cr_assert_eq(disk.snapshot.index, 10);
    cr_assert_eq(disk.snapshot.members.count, 1);
    cr_assert_arr_eq(disk.snapshot.data.data, "state", 5);
    cr_assert_eq(disk.entry_count, 1);
    cr_assert_eq(disk.entries[0].index, 11);
    talloc_free(file);
    talloc_free(ctx);
    remove_folder(&fixture);
}

/** Sets the ends of the entries' records in a file's content. */
static void
find_entry_ends(const uint8_t *data, size_t size_bytes, uint64_t *ends)
{
    uint64_t at = 0;
    uint64_t chain = 0;
    uint32_t count = 0;
    bool is_chained = false;
    EyRaftRecord_t record;
    while (at < size_bytes) {
        cr_assert_eq(
            EyRaftRecord_Read(data + at, size_bytes - at, chain, &record),
            EY_RAFT_RECORD_VALID);
        at += record.whole_bytes;
        is_chained |= record.kind == EY_RAFT_RECORD_COMPLETE;
        if (is_chained && record.kind != EY_RAFT_RECORD_CONFIRMATION) {
            chain = record.checksum;
        }
        if (record.kind == EY_RAFT_RECORD_ENTRY) {
            cr_assert_lt(count, ENTRIES);
            ends[count++] = at;
        }
    }
    cr_assert_eq(count, ENTRIES);
}

/* Records appended after the last rename may be truncated at any byte, as by a
 * crash while writing: the complete ones are read. Truncating the records
 * written before the rename is corruption. */
Test(raft_file, truncated_tail_is_dropped_at_any_byte)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    EyRaftFile_t *file = open_good(&fixture, &disk);
    size_t head_bytes = EyRaftFile_SizeBytes(file);
    write_entries(file);
    talloc_free(file);
    size_t size_bytes = 0;
    uint8_t *data = read_bytes(&fixture, &size_bytes);
    uint64_t ends[ENTRIES];
    find_entry_ends(data, size_bytes, ends);
    for (size_t cut = 0; cut <= size_bytes; cut++) {
        write_bytes(&fixture, data, cut);
        GError *error = NULL;
        file = EyRaftFile_Open(NULL, fixture.folder, NULL, &disk, &error);
        if (cut < head_bytes) {
            cr_assert_null(file, "cut at %zu", cut);
            cr_assert(g_error_matches(error, EY_RAFT_FILE_ERROR,
                                      EY_RAFT_FILE_ERROR_CORRUPT));
            g_error_free(error);
            continue;
        }
        cr_assert_not_null(file, "cut at %zu", cut);
        uint32_t whole = 0;
        while (whole < ENTRIES && ends[whole] <= cut) {
            whole++;
        }
        cr_assert_eq(disk.entry_count, whole, "cut at %zu", cut);
        cr_assert(write_entry(file, whole + 1, 3, NULL));
        talloc_free(file);
        file = open_good(&fixture, &disk);
        cr_assert_eq(disk.entry_count, whole + 1);
        talloc_free(file);
    }
    g_free(data);
    remove_folder(&fixture);
}

/** A follower's log ends with entries 2 and 3 of term 2, committed up to 1; it
 * then replaces 3 by one of term 3, which is committed already. Returns the
 * size before the second write. */
static uint64_t
replace_entry(const Fixture_t *fixture)
{
    EyRaftEntry_t entries[] = {
        {.index = 1, .term = 2, .kind = EY_RAFT_NO_OP},
        {.index = 2, .term = 2, .kind = EY_RAFT_COMMAND},
        {.index = 3, .term = 2, .kind = EY_RAFT_COMMAND},
    };
    EyRaftEntry_t replacement = {
        .index = 3, .term = 3, .kind = EY_RAFT_COMMAND};
    EyRaftDiskWrite_t before = {
        .cluster = 7,
        .term = 2,
        .commit = 1,
        .entries = entries,
        .entry_count = 3,
    };
    EyRaftDiskWrite_t after = {
        .cluster = 7,
        .term = 3,
        .commit = 3,
        .truncate_from = 3,
        .entries = &replacement,
        .entry_count = 1,
    };
    EyRaftDiskState_t disk;
    EyRaftFile_t *file = open_good(fixture, &disk);
    cr_assert(EyRaftFile_Write(file, &before, NULL));
    uint64_t before_bytes = EyRaftFile_SizeBytes(file);
    cr_assert(EyRaftFile_Write(file, &after, NULL));
    talloc_free(file);
    return before_bytes;
}

Test(raft_file, torn_write_commits_no_entry_that_it_replaces)
{
    Fixture_t fixture = make_folder();
    uint64_t before_bytes = replace_entry(&fixture);
    size_t size_bytes = 0;
    uint8_t *data = read_bytes(&fixture, &size_bytes);
    for (size_t cut = before_bytes; cut <= size_bytes; cut++) {
        write_bytes(&fixture, data, cut);
        EyRaftDiskState_t disk;
        EyRaftFile_t *file = open_good(&fixture, &disk);
        bool holds_replaced =
            disk.entry_count == 3 && disk.entries[2].term == 2;
        cr_expect(!holds_replaced || disk.commit < 3,
                  "cut at %zu of %zu: the replaced entry counts as committed",
                  cut, size_bytes);
        cr_expect(cut < size_bytes || disk.commit == 3);
        talloc_free(file);
    }
    g_free(data);
    remove_folder(&fixture);
}

Test(raft_file, torn_write_that_ends_in_zeros_is_dropped)
{
    Fixture_t fixture = make_folder();
    uint64_t before_bytes = replace_entry(&fixture);
    size_t size_bytes = 0;
    uint8_t *data = read_bytes(&fixture, &size_bytes);
    uint8_t *torn = g_malloc0(size_bytes);
    for (size_t cut = before_bytes; cut < size_bytes; cut++) {
        memcpy(torn, data, cut);
        write_bytes(&fixture, torn, size_bytes);
        EyRaftDiskState_t disk;
        GError *error = NULL;
        EyRaftFile_t *file =
            EyRaftFile_Open(NULL, fixture.folder, NULL, &disk, &error);
        cr_expect_not_null(file, "zeros from %zu of %zu on: %s", cut,
                           size_bytes, error != NULL ? error->message : "");
        g_clear_error(&error);
        talloc_free(file);
    }
    g_free(torn);
    g_free(data);
    remove_folder(&fixture);
}

/* The rest of a long incomplete record must not follow a shorter one that is
 * written over it. */
Test(raft_file, torn_record_is_truncated_on_open)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    uint8_t data[500];
    memset(data, 'x', sizeof(data));
    EyRaftEntry_t entry = {
        .index = 1,
        .term = 2,
        .kind = EY_RAFT_COMMAND,
        .data = {.data = data, .size_bytes = sizeof(data)},
    };
    EyRaftDiskWrite_t disk_write = {
        .term = 2,
        .entries = &entry,
        .entry_count = 1,
    };
    EyRaftFile_t *file = open_good(&fixture, &disk);
    uint64_t start_bytes = EyRaftFile_SizeBytes(file);
    cr_assert(EyRaftFile_Write(file, &disk_write, NULL));
    talloc_free(file);
    cr_assert_eq(truncate(fixture.path, (off_t)(start_bytes + sizeof(data))),
                 0);

    file = open_good(&fixture, &disk);
    cr_assert_eq(disk.entry_count, 0);
    cr_assert(write_entry(file, 1, 3, NULL));
    talloc_free(file);
    file = open_good(&fixture, &disk);
    cr_assert_eq(disk.entry_count, 1);
    talloc_free(file);
    remove_folder(&fixture);
}

Test(raft_file, trailing_zeros_are_truncated)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    EyRaftFile_t *file = open_good(&fixture, &disk);
    write_entries(file);
    uint64_t size_bytes = EyRaftFile_SizeBytes(file);
    talloc_free(file);
    cr_assert_eq(truncate(fixture.path, (off_t)size_bytes + 100), 0);
    file = open_good(&fixture, &disk);
    cr_assert_eq(disk.entry_count, ENTRIES);
    cr_assert_eq(EyRaftFile_SizeBytes(file), size_bytes);
    talloc_free(file);
    remove_folder(&fixture);
}

static void
expect_whole_content(const EyRaftDiskState_t *disk, size_t changed_byte)
{
    cr_assert_eq(disk->entry_count, ENTRIES, "change of byte %zu",
                 changed_byte);
    cr_assert_eq(disk->term, 2);
    cr_assert_str_eq(disk->vote, "10.0.0.1:7000");
    for (uint32_t i = 0; i < ENTRIES; i++) {
        cr_assert_eq(disk->entries[i].index, i + 1);
        cr_assert_eq(disk->entries[i].term, 2);
        cr_assert_arr_eq(disk->entries[i].data.data, "abc", 3);
    }
}

Test(raft_file, any_changed_byte_is_detected_or_loses_nothing)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    EyRaftFile_t *file = open_good(&fixture, &disk);
    write_entries(file);
    talloc_free(file);
    size_t size_bytes = 0;
    uint8_t *data = read_bytes(&fixture, &size_bytes);
    uint64_t ends[ENTRIES];
    find_entry_ends(data, size_bytes, ends);
    for (size_t i = 0; i < size_bytes; i++) {
        data[i] ^= 0x41;
        write_bytes(&fixture, data, size_bytes);
        GError *error = NULL;
        file = EyRaftFile_Open(NULL, fixture.folder, NULL, &disk, &error);
        /* Only the last confirmation can change without a loss. */
        if (i >= ends[ENTRIES - 1]) {
            cr_assert_not_null(file, "byte %zu", i);
            expect_whole_content(&disk, i);
            talloc_free(file);
        }
        else {
            cr_assert_null(file, "change of byte %zu not detected", i);
            cr_assert(g_error_matches(error, EY_RAFT_FILE_ERROR,
                                      EY_RAFT_FILE_ERROR_CORRUPT),
                      "byte %zu", i);
        }
        g_clear_error(&error);
        data[i] ^= 0x41;
    }
    g_free(data);
    remove_folder(&fixture);
}

Test(raft_file, unreadable_file_is_refused)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    GError *error = NULL;
    cr_assert_eq(mkdir(fixture.path, 0700), 0);
    cr_assert_null(EyRaftFile_Open(NULL, fixture.folder, NULL, &disk, &error));
    cr_assert(
        g_error_matches(error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_OPEN));
    g_error_free(error);
    (void)rmdir(fixture.path);
    remove_folder(&fixture);
}

Test(raft_file, folder_in_use_is_refused)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    EyRaftDiskState_t other;
    GError *error = NULL;
    EyRaftFile_t *file = open_good(&fixture, &disk);
    cr_assert_null(
        EyRaftFile_Open(NULL, fixture.folder, NULL, &other, &error));
    cr_assert(
        g_error_matches(error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_LOCKED));
    g_error_free(error);
    talloc_free(file);
    remove_folder(&fixture);
}

/* Injected faults of the system calls */

static int room_bytes;
static int sync_error;

static ssize_t
write_with_room(int file, const void *data, size_t size_bytes,
                off_t offset_bytes)
{
    if (room_bytes <= 0) {
        errno = ENOSPC;
        return -1;
    }
    size_t part_bytes =
        size_bytes < (size_t)room_bytes ? size_bytes : (size_t)room_bytes;
    ssize_t written = pwrite(file, data, part_bytes, offset_bytes);
    room_bytes -= (int)written;
    return written;
}

static int
sync_with_error(int file)
{
    if (sync_error != 0) {
        errno = sync_error;
        return -1;
    }
    return fdatasync(file);
}

static const EyRaftFileCalls_t FaultyCalls = {
    .write_at = write_with_room,
    .sync = sync_with_error,
};

Test(raft_file, failed_write_leaves_the_file_unchanged)
{
    for (int room = 0; room < 120; room += 7) {
        Fixture_t fixture = make_folder();
        EyRaftDiskState_t disk;
        GError *error = NULL;
        room_bytes = 100000;
        sync_error = 0;
        EyRaftFile_t *file =
            EyRaftFile_Open(NULL, fixture.folder, &FaultyCalls, &disk, NULL);
        cr_assert_not_null(file);
        cr_assert(write_entry(file, 1, 2, NULL));
        uint64_t size_bytes = EyRaftFile_SizeBytes(file);
        room_bytes = room;
        if (write_entry(file, 2, 3, &error)) {
            cr_assert_gt(room, 60);
        }
        else {
            cr_assert(g_error_matches(error, EY_RAFT_FILE_ERROR,
                                      EY_RAFT_FILE_ERROR_WRITE));
            g_error_free(error);
            struct stat status;
            cr_assert_eq(stat(fixture.path, &status), 0);
            cr_assert_eq((uint64_t)status.st_size, size_bytes);
            room_bytes = 100000;
            cr_assert(write_entry(file, 2, 3, NULL));
        }
        talloc_free(file);
        file = open_good(&fixture, &disk);
        cr_assert_eq(disk.entry_count, 2);
        talloc_free(file);
        remove_folder(&fixture);
    }
}

Test(raft_file, failed_sync_fails_all_later_writes)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    GError *error = NULL;
    room_bytes = 100000;
    sync_error = 0;
    EyRaftFile_t *file =
        EyRaftFile_Open(NULL, fixture.folder, &FaultyCalls, &disk, NULL);
    cr_assert_not_null(file);
    sync_error = EIO;
    cr_assert_not(write_entry(file, 1, 2, &error));
    cr_assert(
        g_error_matches(error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_SYNC));
    g_clear_error(&error);
    sync_error = 0;
    cr_assert_not(write_entry(file, 1, 2, &error));
    cr_assert(
        g_error_matches(error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_SYNC));
    g_clear_error(&error);
    talloc_free(file);
    remove_folder(&fixture);
}

/* An unsynced rename is undone by a power loss, with all that is appended. */
Test(raft_file, unsynced_rename_is_synced_by_the_next_open)
{
    Fixture_t fixture = make_folder();
    EyRaftDiskState_t disk;
    EyRaftFile_t *file = open_good(&fixture, &disk);
    EyRaftDiskWrite_t disk_write = make_snapshot_write(file);
    Sync_calls.folder_fails = true;
    cr_expect_not(EyRaftFile_Write(file, &disk_write, NULL));
    talloc_free(file);
    GError *error = NULL;
    file = EyRaftFile_Open(NULL, fixture.folder, NULL, &disk, &error);
    Sync_calls.folder_fails = false;
    cr_expect_null(file);
    cr_expect(
        g_error_matches(error, EY_RAFT_FILE_ERROR, EY_RAFT_FILE_ERROR_OPEN));
    g_clear_error(&error);
    talloc_free(file);
    Sync_calls.folder_count = 0;
    file = open_good(&fixture, &disk);
    cr_expect_eq(Sync_calls.folder_count, 1);
    cr_expect_eq(disk.snapshot.index, 10);
    talloc_free(file);
    remove_folder(&fixture);
}
