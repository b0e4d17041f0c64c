#include "config/raft_writer.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Injected faults of the system calls */

static bool disk_is_full;
static bool sync_fails;

static ssize_t
write_unless_full(int file, const void *data, size_t size_bytes,
                  off_t offset_bytes)
{
    if (disk_is_full) {
        errno = ENOSPC;
        return -1;
    }
    return pwrite(file, data, size_bytes, offset_bytes);
}

static int
sync_unless_failing(int file)
{
    if (sync_fails) {
        errno = EIO;
        return -1;
    }
    return fdatasync(file);
}

static const EyRaftFileCalls_t FaultyCalls = {
    .write_at = write_unless_full,
    .sync = sync_unless_failing,
};

typedef struct Fixture {
    char folder[64];
    EyRaftFile_t *file;
    EyRaftWriter_t *writer;
    uint64_t last_done; /* serial */
    uint32_t failures;
} Fixture_t;

static void
on_written(void *data, uint64_t serial, const char *reason,
           uint32_t waiting_count)
{
    (void)waiting_count;
    Fixture_t *self = data;
    if (reason != NULL) {
        self->failures++;
        return;
    }
    cr_assert_gt(serial, self->last_done, "results come in order");
    self->last_done = serial;
}

static EyRaftFile_t *
open_file(const Fixture_t *self, EyRaftDiskState_t *disk)
{
    GError *error = NULL;
    EyRaftFile_t *file =
        EyRaftFile_Open(NULL, self->folder, &FaultyCalls, disk, &error);
    cr_assert_not_null(file, "%s", error != NULL ? error->message : "");
    return file;
}

static void
open_fixture(Fixture_t *self)
{
    *self = (Fixture_t){.folder = "/tmp/ey-writer-XXXXXX"};
    disk_is_full = false;
    sync_fails = false;
    cr_assert_not_null(mkdtemp(self->folder));
    EyRaftDiskState_t disk;
    self->file = open_file(self, &disk);
    self->writer = EyRaftWriter_New(NULL, self->file, on_written, self);
}

/** Closes the file as a killed process does and returns what a new one reads.
 */
static EyRaftDiskState_t
reopen(Fixture_t *self)
{
    talloc_free(self->writer);
    talloc_free(self->file);
    EyRaftDiskState_t disk;
    self->file = open_file(self, &disk);
    self->writer = NULL;
    return disk;
}

static void
close_fixture(Fixture_t *self)
{
    static const char *const Names[] = {"control.log", "control.lock"};
    talloc_free(self->writer);
    talloc_free(self->file);
    for (size_t i = 0; i < sizeof(Names) / sizeof(Names[0]); i++) {
        char path[96];
        (void)snprintf(path, sizeof(path), "%s/%s", self->folder, Names[i]);
        (void)unlink(path);
    }
    (void)rmdir(self->folder);
}

static EyRaftDiskWrite_t *
make_write(uint64_t serial, uint64_t snapshot_index, uint64_t index)
{
    EyRaftDiskWrite_t *disk_write = EY_NEW(NULL, EyRaftDiskWrite_t);
    disk_write->serial = serial;
    disk_write->cluster = 7;
    disk_write->term = 2;
    disk_write->snapshot.index = snapshot_index;
    disk_write->snapshot.term = snapshot_index == 0 ? 0 : 2;
    disk_write->entry_count = index == 0 ? 0 : 1;
    disk_write->entries = EY_NEW_ARRAY(disk_write, EyRaftEntry_t, 1);
    disk_write->entries[0] = (EyRaftEntry_t){
        .index = index,
        .term = 2,
        .kind = EY_RAFT_COMMAND,
        .data = {.data = (uint8_t *)"abc", .size_bytes = 3},
    };
    return disk_write;
}

static void
add_entry(Fixture_t *self, uint64_t index)
{
    EyRaftWriter_Add(self->writer, make_write(index, 0, index));
}

typedef struct Case {
    const char *name;
    bool is_full;
    bool sync_fails;
    uint64_t failing_from; /* entries 1 to 6 are written */
    uint64_t failing_until;
} Case_t;

static const Case_t Cases[] = {
    {"full for one write", true, false, 3, 4},
    {"full for several writes", true, false, 2, 5},
    {"full from the first write on", true, false, 1, 3},
    {"full for the last write", true, false, 6, 7},
    {"no sync for one write", false, true, 3, 4},
    {"no sync for several writes", false, true, 2, 6},
    {"full, and no sync", true, true, 4, 5},
};

Test(raft_writer, no_write_is_skipped_after_a_failed_one)
{
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        const Case_t *test = &Cases[i];
        Fixture_t fixture;
        open_fixture(&fixture);
        for (uint64_t index = 1; index <= 6; index++) {
            bool fails =
                index >= test->failing_from && index < test->failing_until;
            disk_is_full = fails && test->is_full;
            sync_fails = fails && test->sync_fails;
            add_entry(&fixture, index);
            cr_assert_eq(EyRaftWriter_Flush(fixture.writer), !fails, "%s",
                         test->name);
            cr_assert_eq(fixture.last_done,
                         fails ? test->failing_from - 1 : index, "%s",
                         test->name);
        }
        disk_is_full = false;
        sync_fails = false;
        cr_assert(EyRaftWriter_Flush(fixture.writer), "%s", test->name);
        cr_assert_eq(fixture.last_done, 6, "%s", test->name);
        EyRaftDiskState_t disk = reopen(&fixture);
        cr_assert_eq(disk.entry_count, 6, "%s", test->name);
        close_fixture(&fixture);
    }
}

Test(raft_writer, snapshot_replaces_writes_that_wait)
{
    Fixture_t fixture;
    open_fixture(&fixture);
    disk_is_full = true;
    add_entry(&fixture, 1);
    add_entry(&fixture, 2);
    cr_assert_not(EyRaftWriter_Flush(fixture.writer));
    EyRaftWriter_Add(fixture.writer, make_write(3, 2, 3));
    add_entry(&fixture, 4);
    cr_assert_not(EyRaftWriter_Flush(fixture.writer));
    disk_is_full = false;
    cr_assert(EyRaftWriter_Flush(fixture.writer));
    cr_assert_eq(fixture.last_done, 4);
    EyRaftDiskState_t disk = reopen(&fixture);
    cr_assert_eq(disk.snapshot.index, 2);
    cr_assert_eq(disk.entry_count, 2);
    close_fixture(&fixture);
}
