/* The replicated log's file after a power loss during a write: whatever bytes
 * are left of a write that was never confirmed, the process starts with all
 * that was. */
#include "config/raft_file.h"
#include "config/raft_record.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CONFIRMED_ENTRIES 3
#define SECTOR_BYTES 512
/** Of one entry, so that a write of three spans several sectors. */
#define DATA_BYTES 700

typedef struct Fixture {
    char folder[64];
    char path[96];
    uint8_t *data;
    size_t start_bytes; /* of the write that the power loss interrupts */
    size_t size_bytes;
} Fixture_t;

static bool loses_power;

static ssize_t
write_through(int file, const void *data, size_t size_bytes,
              off_t offset_bytes)
{
    return pwrite(file, data, size_bytes, offset_bytes);
}

static int
sync_or_lose_power(int file)
{
    if (loses_power) {
        errno = EIO;
        return -1;
    }
    return fdatasync(file);
}

static const EyRaftFileCalls_t Calls = {
    .write_at = write_through,
    .sync = sync_or_lose_power,
};

static bool
write_entries(EyRaftFile_t *file, uint64_t first, uint32_t count,
              uint64_t commit)
{
    uint8_t data[DATA_BYTES];
    memset(data, 'x', sizeof(data));
    EyRaftEntry_t entries[CONFIRMED_ENTRIES];
    for (uint32_t i = 0; i < count; i++) {
        entries[i] = (EyRaftEntry_t){
            .index = first + i,
            .term = 2,
            .kind = EY_RAFT_COMMAND,
            .data = {.data = data, .size_bytes = sizeof(data)},
        };
    }
    EyRaftDiskWrite_t disk_write = {
        .cluster = 7,
        .term = 2,
        .commit = commit,
        .entries = entries,
        .entry_count = count,
    };
    return EyRaftFile_Write(file, &disk_write, NULL);
}

/** Confirms three entries, one of them in a write of its own, and writes up to
 * three more without a confirmation. */
static Fixture_t
interrupt_write(uint32_t unconfirmed_entries)
{
    Fixture_t fixture = {.folder = "/tmp/ey-power-loss-XXXXXX"};
    cr_assert_not_null(mkdtemp(fixture.folder));
    (void)snprintf(fixture.path, sizeof(fixture.path), "%s/%s", fixture.folder,
                   EY_RAFT_FILE_NAME);
    EyRaftDiskState_t disk;
    loses_power = false;
    EyRaftFile_t *file =
        EyRaftFile_Open(NULL, fixture.folder, &Calls, &disk, NULL);
    cr_assert_not_null(file);
    cr_assert(write_entries(file, 1, CONFIRMED_ENTRIES - 1, 1));
    cr_assert(write_entries(file, CONFIRMED_ENTRIES, 1, 2));
    fixture.start_bytes = EyRaftFile_SizeBytes(file);
    loses_power = true;
    cr_assert_not(write_entries(file, CONFIRMED_ENTRIES + 1,
                                unconfirmed_entries, CONFIRMED_ENTRIES));
    loses_power = false;
    talloc_free(file);
    gchar *data = NULL;
    cr_assert(
        g_file_get_contents(fixture.path, &data, &fixture.size_bytes, NULL));
    fixture.data = (uint8_t *)data;
    cr_assert_gt(fixture.size_bytes, fixture.start_bytes);
    return fixture;
}

static void
remove_fixture(Fixture_t *fixture)
{
    static const char *const Names[] = {"control.log", "control.lock",
                                        "control.log.new"};
    for (uint32_t i = 0; i < G_N_ELEMENTS(Names); i++) {
        char path[96];
        (void)snprintf(path, sizeof(path), "%s/%s", fixture->folder, Names[i]);
        (void)unlink(path);
    }
    (void)rmdir(fixture->folder);
    g_free(fixture->data);
}

static void
write_bytes(const Fixture_t *fixture, const uint8_t *data, size_t size_bytes)
{
    int file = open(fixture->path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    cr_assert(file >= 0);
    cr_assert_eq(write(file, data, size_bytes), (ssize_t)size_bytes);
    (void)close(file);
}

/** Fills bytes that the power loss left as they were before the write, those
 * of another file. */
static void
fill_other(uint8_t *data, size_t from, size_t to)
{
    uint32_t value = 0x9e3779b9U;
    for (size_t i = from; i < to; i++) {
        value = value * 1664525U + 1013904223U;
        data[i] = (uint8_t)(value >> 24U);
    }
}

/** Turns the whole write from start to size into what is left of it; returns
 * the file's new size. */
typedef size_t (*Damage_t)(uint8_t *data, size_t start, size_t size);

static size_t /* NOLINTNEXTLINE(readability-non-const-parameter) */
leave_nothing(uint8_t *data, size_t start, size_t size)
{
    (void)data;
    (void)size;
    return start;
}

static size_t /* NOLINTNEXTLINE(readability-non-const-parameter) */
leave_half(uint8_t *data, size_t start, size_t size)
{
    (void)data;
    return (start + size) / 2;
}

static size_t
leave_zeros(uint8_t *data, size_t start, size_t size)
{
    memset(data + start, 0, size - start);
    return size;
}

static size_t
leave_half_and_zeros(uint8_t *data, size_t start, size_t size)
{
    size_t half = (start + size) / 2;
    memset(data + half, 0, size - half);
    return size;
}

static size_t
leave_half_and_other(uint8_t *data, size_t start, size_t size)
{
    fill_other(data, (start + size) / 2, size);
    return size;
}

static size_t
leave_other(uint8_t *data, size_t start, size_t size)
{
    fill_other(data, start, size);
    return size;
}

static size_t
leave_other_and_rest(uint8_t *data, size_t start, size_t size)
{
    fill_other(data, start, (start + size) / 2);
    return size;
}

static size_t
leave_zeros_and_rest(uint8_t *data, size_t start, size_t size)
{
    size_t half = (start + size) / 2;
    memset(data + start, 0, half - start);
    return size;
}

/** The first whole sector that the write filled is as before. */
static size_t
miss_sector(uint8_t *data, size_t start, size_t size)
{
    size_t from = (start + SECTOR_BYTES - 1) / SECTOR_BYTES * SECTOR_BYTES;
    size_t to = MIN(from + SECTOR_BYTES, size);
    if (from < to) {
        fill_other(data, from, to);
    }
    return size;
}

static size_t
change_last_byte(uint8_t *data, size_t start, size_t size)
{
    (void)start;
    data[size - 1] ^= 0x41;
    return size;
}

static const struct {
    const char *name;
    Damage_t damage;
} Forms[] = {
    {"nothing", leave_nothing},
    {"half of it", leave_half},
    {"zeros", leave_zeros},
    {"half of it, then zeros", leave_half_and_zeros},
    {"half of it, then other bytes", leave_half_and_other},
    {"other bytes", leave_other},
    {"other bytes, then the rest", leave_other_and_rest},
    {"zeros, then the rest", leave_zeros_and_rest},
    {"all but a sector", miss_sector},
    {"all but a byte", change_last_byte},
};

static void
expect_confirmed(const EyRaftDiskState_t *disk, const char *form,
                 uint32_t unconfirmed)
{
    cr_expect_geq(disk->entry_count, CONFIRMED_ENTRIES, "%s (%u): %u entries",
                  form, unconfirmed, disk->entry_count);
    cr_expect_eq(disk->term, 2);
    cr_expect_geq(disk->commit, 2);
    for (uint32_t i = 0; i < disk->entry_count; i++) {
        cr_expect_eq(disk->entries[i].index, i + 1);
        cr_expect_eq(disk->entries[i].data.size_bytes, DATA_BYTES);
    }
}

static void
start_after(Fixture_t *fixture, uint32_t form, uint32_t unconfirmed)
{
    uint8_t *data = g_memdup2(fixture->data, fixture->size_bytes);
    size_t size_bytes =
        Forms[form].damage(data, fixture->start_bytes, fixture->size_bytes);
    write_bytes(fixture, data, size_bytes);
    g_free(data);
    GError *error = NULL;
    EyRaftDiskState_t disk;
    EyRaftFile_t *file =
        EyRaftFile_Open(NULL, fixture->folder, &Calls, &disk, &error);
    cr_expect_not_null(file, "%s (%u): %s", Forms[form].name, unconfirmed,
                       error != NULL ? error->message : "");
    g_clear_error(&error);
    if (file == NULL) {
        return;
    }
    expect_confirmed(&disk, Forms[form].name, unconfirmed);
    uint64_t next = disk.entry_count + 1;
    cr_expect(write_entries(file, next, 1, 2));
    talloc_free(file);
    file = EyRaftFile_Open(NULL, fixture->folder, &Calls, &disk, NULL);
    cr_expect_not_null(file, "%s: after one more write", Forms[form].name);
    if (file != NULL) {
        cr_expect_eq(disk.entry_count, next);
    }
    talloc_free(file);
}

Test(raft_file_power_loss, unconfirmed_write_of_any_form_stops_no_start)
{
    for (uint32_t count = 0; count <= CONFIRMED_ENTRIES; count++) {
        Fixture_t fixture = interrupt_write(count);
        for (uint32_t form = 0; form < G_N_ELEMENTS(Forms); form++) {
            start_after(&fixture, form, count);
        }
        remove_fixture(&fixture);
    }
}

static EyRaftEntry_t
make_entry(uint64_t index, uint64_t term)
{
    return (EyRaftEntry_t){
        .index = index, .term = term, .kind = EY_RAFT_NO_OP};
}

/** Appends an entry's record whose checksum follows that of no other one, as
 * in a file of a build without confirmations. */
static void
add_unchained(GByteArray *buffer, uint64_t index, uint64_t term)
{
    EyRaftEntry_t entry = make_entry(index, term);
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_ENTRY,
                           &EyRaftEntry_schema, &entry);
}

Test(raft_file_power_loss, stale_records_of_another_file_are_not_read)
{
    Fixture_t fixture = interrupt_write(0);
    GByteArray *buffer = g_byte_array_new();
    g_byte_array_append(buffer, fixture.data, (guint)fixture.start_bytes);
    add_unchained(buffer, CONFIRMED_ENTRIES + 1, 1);
    write_bytes(&fixture, buffer->data, buffer->len);
    g_byte_array_free(buffer, TRUE);
    EyRaftDiskState_t disk;
    EyRaftFile_t *file =
        EyRaftFile_Open(NULL, fixture.folder, &Calls, &disk, NULL);
    cr_assert_not_null(file);
    cr_assert_eq(disk.entry_count, CONFIRMED_ENTRIES);
    talloc_free(file);
    remove_fixture(&fixture);
}

/** A file of a build without confirmations, with two entries. */
static GByteArray *
make_unconfirmed_file(void)
{
    GByteArray *buffer = g_byte_array_new();
    EyRaftHeadRecord_t head = {.incarnation = 5};
    EyRaftStateRecord_t state = {.cluster = 7, .term = 2, .commit = 1};
    EyRaftCompleteRecord_t complete = {.incarnation = 5};
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_HEAD,
                           &EyRaftHeadRecord_schema, &head);
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_STATE,
                           &EyRaftStateRecord_schema, &state);
    (void)EyRaftRecord_Add(buffer, 0, EY_RAFT_RECORD_COMPLETE,
                           &EyRaftCompleteRecord_schema, &complete);
    add_unchained(buffer, 1, 2);
    add_unchained(buffer, 2, 2);
    return buffer;
}

Test(raft_file_power_loss, file_without_confirmations_is_converted)
{
    Fixture_t fixture = interrupt_write(0);
    GByteArray *buffer = make_unconfirmed_file();
    write_bytes(&fixture, buffer->data, buffer->len);
    g_byte_array_free(buffer, TRUE);
    for (uint32_t i = 0; i < 2; i++) {
        EyRaftDiskState_t disk;
        EyRaftFile_t *file =
            EyRaftFile_Open(NULL, fixture.folder, &Calls, &disk, NULL);
        cr_assert_not_null(file);
        cr_assert_eq(disk.incarnation, 5);
        cr_assert_eq(disk.cluster, 7);
        cr_assert_eq(disk.commit, i + 1);
        cr_assert_eq(disk.entry_count, 2 + i);
        cr_assert(write_entries(file, 3 + i, 1, 2));
        talloc_free(file);
    }
    remove_fixture(&fixture);
}

Test(raft_file_power_loss, damage_in_a_file_without_confirmations_is_refused)
{
    Fixture_t fixture = interrupt_write(0);
    GByteArray *buffer = make_unconfirmed_file();
    buffer->data[buffer->len - 1] ^= 0x41;
    write_bytes(&fixture, buffer->data, buffer->len);
    g_byte_array_free(buffer, TRUE);
    GError *error = NULL;
    EyRaftDiskState_t disk;
    cr_assert_null(
        EyRaftFile_Open(NULL, fixture.folder, &Calls, &disk, &error));
    cr_assert(g_error_matches(error, EY_RAFT_FILE_ERROR,
                              EY_RAFT_FILE_ERROR_CORRUPT));
    g_error_free(error);
    remove_fixture(&fixture);
}
