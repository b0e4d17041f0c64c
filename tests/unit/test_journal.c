#include "core/memory.h"
#include "gateway/record_storage.h"
#include "idempotency/journal.h"
#include "sync_calls.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

static char *Folder;
static char *Path;
static void *Ctx;

static void
make_folder(void)
{
    Folder = g_dir_make_tmp("journal-XXXXXX", NULL);
    Path = g_build_filename(Folder, "idempotency.journal", NULL);
    Ctx = talloc_new(NULL);
}

static void
remove_folder(void)
{
    talloc_free(Ctx);
    (void)g_unlink(Path);
    (void)g_rmdir(Folder);
    g_free(Path);
    g_free(Folder);
}

TestSuite(journal, .init = make_folder, .fini = remove_folder);

static EyGroupState_t
make_state(uint64_t serial, EyRecord_t *record)
{
    return (EyGroupState_t){
        .serial = serial,
        .incarnation = 7,
        .promised = serial * 16,
        .version = serial,
        .records = record,
        .record_count = record != NULL ? 1 : 0,
    };
}

static EyRecord_t
make_record(const char *key, EyRecordState_t state)
{
    return (EyRecord_t){
        .key = EyMemory_Strdup(Ctx, key),
        .state = state,
        .answer = {.data = EyMemory_Copy(Ctx, "paid", 4), .size_bytes = 4},
    };
}

static void
append(EyJournal_t *journal, uint64_t serial, const char *key,
       EyRecordState_t record_state)
{
    EyRecord_t record = make_record(key, record_state);
    EyGroupState_t state = make_state(serial, &record);
    cr_assert(EyJournal_Append(journal, &state, NULL));
}

/** Writes three entries for two keys; sizes gets the file size after each. */
static void
write_three(uint64_t *sizes)
{
    EyGroupState_t *state = NULL;
    EyJournal_t *journal = EyJournal_Open(Ctx, Folder, &state, NULL);
    cr_assert_not_null(journal);
    cr_assert_null(state);
    append(journal, 1, "a", EY_RECORD_CLAIMED);
    sizes[0] = EyJournal_SizeBytes(journal);
    append(journal, 2, "b", EY_RECORD_CLAIMED);
    sizes[1] = EyJournal_SizeBytes(journal);
    append(journal, 3, "a", EY_RECORD_COMPLETED);
    sizes[2] = EyJournal_SizeBytes(journal);
    talloc_free(journal);
}

static EyGroupState_t *
reload(GError **error)
{
    EyGroupState_t *state = NULL;
    EyJournal_t *journal = EyJournal_Open(Ctx, Folder, &state, error);
    return journal != NULL ? state : NULL;
}

static const EyRecord_t *
find(const EyGroupState_t *state, const char *key)
{
    for (uint32_t i = 0; i < state->record_count; i++) {
        if (strcmp(state->records[i].key, key) == 0) {
            return &state->records[i];
        }
    }
    return NULL;
}

Test(journal, newest_state_is_restored)
{
    uint64_t sizes[3];
    write_three(sizes);
    EyGroupState_t *state = reload(NULL);
    cr_assert_eq(state->serial, 3);
    cr_assert_eq(state->incarnation, 7);
    cr_assert_eq(state->promised, 48);
    cr_assert_eq(state->record_count, 2);
    cr_assert_eq(find(state, "a")->state, EY_RECORD_COMPLETED);
    cr_assert_eq(find(state, "b")->state, EY_RECORD_CLAIMED);
    cr_assert_arr_eq(find(state, "a")->answer.data, "paid", 4);
}

Test(journal, every_torn_tail_is_dropped)
{
    uint64_t sizes[3];
    write_three(sizes);
    for (uint64_t size = sizes[2] - 1; size > sizes[1]; size--) {
        cr_assert_eq(truncate(Path, (off_t)size), 0);
        void *scratch = talloc_new(Ctx);
        EyGroupState_t *state = NULL;
        EyJournal_t *journal = EyJournal_Open(scratch, Folder, &state, NULL);
        cr_assert_not_null(journal);
        cr_assert_eq(state->serial, 2, "cut to %d bytes", (int)size);
        cr_assert_eq(EyJournal_SizeBytes(journal), sizes[1]);
        talloc_free(scratch);
        /* Opening truncated the file; extends it again with zero bytes. */
        cr_assert_eq(truncate(Path, (off_t)size), 0);
    }
}

Test(journal, damage_before_the_tail_refuses_to_open)
{
    uint64_t sizes[3];
    write_three(sizes);
    int file = open(Path, O_RDWR | O_CLOEXEC);
    for (uint64_t at = 0; at < sizes[1]; at += 5) {
        char byte = 0;
        cr_assert_eq(pread(file, &byte, 1, (off_t)at), 1);
        char other = (char)(byte ^ 0x40);
        cr_assert_eq(pwrite(file, &other, 1, (off_t)at), 1);
        GError *error = NULL;
        cr_assert_null(reload(&error));
        cr_assert(
            g_error_matches(error, EY_JOURNAL_ERROR, EY_JOURNAL_ERROR_DAMAGED),
            "byte %d", (int)at);
        g_error_free(error);
        cr_assert_eq(pwrite(file, &byte, 1, (off_t)at), 1);
    }
    (void)close(file);
}

Test(journal, damaged_journal_is_set_aside_and_the_gateway_starts)
{
    uint64_t sizes[3];
    write_three(sizes);
    gchar *data = NULL;
    gsize size_bytes = 0;
    cr_assert(g_file_get_contents(Path, &data, &size_bytes, NULL));
    data[10] = (gchar)(data[10] ^ 0x40);
    cr_assert(g_file_set_contents(Path, data, (gssize)size_bytes, NULL));
    g_free(data);
    struct tevent_context *loop = tevent_context_init(Ctx);
    const EyRecordStorageHooks_t hooks = {.data = NULL};
    EyGroupState_t *restored = NULL;
    GError *error = NULL;
    EyRecordStorage_t *storage =
        EyRecordStorage_Start(Ctx, Folder, loop, &hooks, &restored, &error);
    cr_assert_not_null(storage, "%s", error != NULL ? error->message : "");
    cr_assert_null(restored);
    EyRecordStorage_Stop(storage);
    gchar *aside = g_strconcat(Path, ".damaged", NULL);
    cr_assert_eq(g_unlink(aside), 0);
    g_free(aside);
}

Test(journal, compaction_keeps_all)
{
    EyGroupState_t *state = NULL;
    EyJournal_t *journal = EyJournal_Open(Ctx, Folder, &state, NULL);
    for (uint64_t i = 1; i <= 40; i++) {
        append(journal, i, i % 2 == 0 ? "a" : "b", EY_RECORD_COMPLETED);
    }
    uint64_t size_before = EyJournal_SizeBytes(journal);
    EyRecord_t records[2500];
    for (uint32_t i = 0; i < G_N_ELEMENTS(records); i++) {
        char key[16];
        (void)g_snprintf(key, sizeof(key), "key-%u", i);
        records[i] = make_record(key, EY_RECORD_UNKNOWN);
    }
    EyGroupState_t snapshot = make_state(41, records);
    snapshot.record_count = 2;
    cr_assert(EyJournal_Compact(journal, &snapshot, NULL));
    cr_assert_lt(EyJournal_SizeBytes(journal), size_before);
    snapshot.record_count = G_N_ELEMENTS(records);
    cr_assert(EyJournal_Compact(journal, &snapshot, NULL));
    append(journal, 42, "after", EY_RECORD_CLAIMED);
    talloc_free(journal);
    state = reload(NULL);
    cr_assert_eq(state->serial, 42);
    cr_assert_eq(state->record_count, G_N_ELEMENTS(records) + 1);
}

Test(journal, second_process_is_refused)
{
    EyGroupState_t *state = NULL;
    cr_assert_not_null(EyJournal_Open(Ctx, Folder, &state, NULL));
    GError *error = NULL;
    cr_assert_null(EyJournal_Open(Ctx, Folder, &state, &error));
    cr_assert(g_error_matches(error, EY_JOURNAL_ERROR, EY_JOURNAL_ERROR_OPEN));
    g_error_free(error);
}

/** Sets the limit on file sizes, which stands in for a full disk. */
static void
limit_files(rlim_t size_bytes)
{
    struct rlimit limit = {.rlim_max = RLIM_INFINITY};
    (void)getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = MIN(size_bytes, limit.rlim_max);
    cr_assert_eq(setrlimit(RLIMIT_FSIZE, &limit), 0);
}

/* What a failed write left behind must not be read, nor hide what is written
 * when there is room again. */
Test(journal, entries_written_after_a_full_disk_are_read_back)
{
    EyGroupState_t *state = NULL;
    EyJournal_t *journal = EyJournal_Open(Ctx, Folder, &state, NULL);
    append(journal, 1, "a", EY_RECORD_CLAIMED);
    rlim_t size_bytes = (rlim_t)EyJournal_SizeBytes(journal);
    (void)signal(SIGXFSZ, SIG_IGN);
    EyGroupState_t next = make_state(2, NULL);
    for (int i = 0; i < 3; i++) {
        limit_files(size_bytes + 10);
        GError *error = NULL;
        cr_assert_not(EyJournal_Append(journal, &next, &error));
        cr_assert(
            g_error_matches(error, EY_JOURNAL_ERROR, EY_JOURNAL_ERROR_WRITE));
        g_clear_error(&error);
        cr_assert_eq(EyJournal_SizeBytes(journal), size_bytes);
    }
    /* As after a power loss before there is room. */
    limit_files(RLIM_INFINITY);
    talloc_free(journal);
    EyGroupState_t *restored = NULL;
    journal = EyJournal_Open(Ctx, Folder, &restored, NULL);
    cr_assert_not_null(journal);
    cr_assert_eq(restored->serial, 1);
    limit_files(size_bytes + 10);
    cr_assert_not(EyJournal_Append(journal, &next, NULL));
    limit_files(RLIM_INFINITY);
    append(journal, 2, "b", EY_RECORD_CLAIMED);
    append(journal, 3, "c", EY_RECORD_CLAIMED);
    talloc_free(journal);
    state = reload(NULL);
    cr_assert_eq(state->serial, 3);
    cr_assert_eq(state->record_count, 3);
}

Test(journal, failed_compaction_leaves_a_journal_that_goes_on)
{
    EyGroupState_t *state = NULL;
    EyJournal_t *journal = EyJournal_Open(Ctx, Folder, &state, NULL);
    append(journal, 1, "a", EY_RECORD_CLAIMED);
    (void)signal(SIGXFSZ, SIG_IGN);
    EyGroupState_t snapshot = make_state(1, NULL);
    limit_files(10);
    cr_assert_not(EyJournal_Compact(journal, &snapshot, NULL));
    limit_files(RLIM_INFINITY);
    append(journal, 2, "b", EY_RECORD_CLAIMED);
    talloc_free(journal);
    state = reload(NULL);
    cr_assert_eq(state->serial, 2);
    cr_assert_eq(state->record_count, 2);
}

/* A process that was killed may have written an entry without syncing it. */
Test(journal, restored_state_is_synced_before_it_is_used)
{
    uint64_t sizes[3];
    write_three(sizes);
    Sync_calls.file_count = 0;
    cr_assert_not_null(reload(NULL));
    cr_expect_eq(Sync_calls.file_count, 1);
    talloc_free(Ctx);
    Ctx = talloc_new(NULL);
    Sync_calls.file_fails = true;
    GError *error = NULL;
    cr_expect_null(reload(&error));
    Sync_calls.file_fails = false;
    cr_assert_not_null(error);
    cr_expect_eq(error->code, EY_JOURNAL_ERROR_WRITE);
    g_clear_error(&error);
    cr_assert_eq(reload(NULL)->serial, 3);
}
