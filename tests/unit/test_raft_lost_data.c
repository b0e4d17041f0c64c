/* Control processes that find their log damaged or their disk full at the
 * start: they run, and no configuration is replaced by an empty one. */
#include "config/raft_file.h"
#include "control/raft_storage.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <unistd.h>

#define PROCESSES 3
#define RUN_MS 30000
#define STEP_MS 50

/* Files */

static const char *const Names[] = {
    EY_RAFT_FILE_NAME, EY_RAFT_FILE_DAMAGED_NAME,
    EY_RAFT_FILE_DAMAGED_AGAIN_NAME, "control.log.new", "control.lock"};

static void
remove_folder(const char *folder)
{
    for (uint32_t i = 0; i < G_N_ELEMENTS(Names); i++) {
        gchar *path = g_build_filename(folder, Names[i], NULL);
        (void)g_remove(path);
        g_free(path);
    }
    (void)g_rmdir(folder);
}

static bool
is_there(const char *folder, const char *name)
{
    gchar *path = g_build_filename(folder, name, NULL);
    bool found = g_file_test(path, G_FILE_TEST_EXISTS);
    g_free(path);
    return found;
}

/** Changes a byte of the file's first record. */
static void
damage(const char *folder)
{
    gchar *path = g_build_filename(folder, EY_RAFT_FILE_NAME, NULL);
    gchar *data = NULL;
    gsize size_bytes = 0;
    cr_assert(g_file_get_contents(path, &data, &size_bytes, NULL));
    data[20] = (gchar)(data[20] ^ 0x41);
    cr_assert(g_file_set_contents(path, data, (gssize)size_bytes, NULL));
    g_free(data);
    g_free(path);
}

static void
on_stored(void *data, uint64_t serial, bool done)
{
    (void)data;
    (void)serial;
    (void)done;
}

/** Starts and stops the storage; returns what it read. */
static EyRaftDiskState_t
start(const char *folder)
{
    void *ctx = talloc_new(NULL);
    struct tevent_context *loop = tevent_context_init(ctx);
    EyRaftDiskState_t disk;
    GError *error = NULL;
    EyRaftStorage_t *storage =
        EyRaftStorage_Start(ctx, folder, loop, on_stored, NULL, &disk, &error);
    cr_assert_not_null(storage, "%s", error != NULL ? error->message : "");
    EyRaftStorage_Stop(storage);
    talloc_free(ctx);
    return disk;
}

Test(raft_lost_data, damaged_log_is_set_aside_and_the_process_starts)
{
    char folder[] = "/tmp/ey-lost-data-XXXXXX";
    cr_assert_not_null(mkdtemp(folder));
    EyRaftDiskState_t first = start(folder);
    cr_assert_not(first.has_lost_data);
    for (uint32_t i = 0; i < 2; i++) {
        damage(folder);
        EyRaftDiskState_t disk = start(folder);
        cr_assert(disk.has_lost_data);
        cr_assert_neq(disk.incarnation, first.incarnation);
        cr_assert(start(folder).has_lost_data, "after one more start");
    }
    cr_assert(is_there(folder, EY_RAFT_FILE_DAMAGED_NAME));
    cr_assert(is_there(folder, EY_RAFT_FILE_DAMAGED_AGAIN_NAME));
    remove_folder(folder);
}

Test(raft_lost_data, process_killed_after_setting_a_log_aside_knows_of_it)
{
    char folder[] = "/tmp/ey-lost-data-XXXXXX";
    cr_assert_not_null(mkdtemp(folder));
    (void)start(folder);
    cr_assert(EyRaftFile_SetAside(folder, NULL));
    cr_assert(start(folder).has_lost_data);
    remove_folder(folder);
}

Test(raft_lost_data, file_that_cannot_be_created_now_may_be_opened_later)
{
    static const struct {
        EyRaftFileError_t code;
        bool may_open_later;
    } Cases[] = {
        {EY_RAFT_FILE_ERROR_FOLDER, false}, {EY_RAFT_FILE_ERROR_LOCKED, false},
        {EY_RAFT_FILE_ERROR_OPEN, true},    {EY_RAFT_FILE_ERROR_WRITE, true},
        {EY_RAFT_FILE_ERROR_SYNC, true},
    };
    for (uint32_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        GError *error =
            g_error_new_literal(EY_RAFT_FILE_ERROR, (gint)Cases[i].code, "");
        cr_expect_eq(EyRaftStorage_MayOpenLater(error),
                     Cases[i].may_open_later);
        g_error_free(error);
    }
    char folder[] = "/tmp/ey-lost-data-XXXXXX";
    cr_assert_not_null(mkdtemp(folder));
    /* A folder in the place of the new file, which can't be written then. */
    gchar *path = g_build_filename(folder, "control.log.new", NULL);
    cr_assert_eq(g_mkdir(path, 0700), 0);
    GError *error = NULL;
    EyRaftDiskState_t disk;
    cr_assert_null(EyRaftFile_Open(NULL, folder, NULL, &disk, &error));
    cr_assert(EyRaftStorage_MayOpenLater(error));
    g_error_free(error);
    g_free(path);
    remove_folder(folder);
}

/* The bootstrap */

typedef struct Cluster {
    EyRaft_t *processes[PROCESSES];
    EyAddress_t addresses[PROCESSES];
    GQueue messages; /* EyRaftMessage_t */
} Cluster_t;

static Cluster_t
make_cluster(void *ctx, uint32_t damaged_count)
{
    Cluster_t cluster = {
        .addresses = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}};
    g_queue_init(&cluster.messages);
    for (uint32_t i = 0; i < PROCESSES; i++) {
        EyRaftOptions_t options = {
            .addresses = cluster.addresses,
            .address_count = PROCESSES,
            .seed = i + 1,
        };
        (void)EY_COPY(options.self, cluster.addresses[i]);
        EyRaftDiskState_t disk = {
            .incarnation = i + 1,
            .has_lost_data = i < damaged_count,
        };
        cluster.processes[i] = EyRaft_New(ctx, &options, &disk, 0);
    }
    return cluster;
}

static void
step(Cluster_t *self, uint32_t process, int64_t now_ms,
     const EyRaftEvent_t *event)
{
    EyRaft_t *raft = self->processes[process];
    EyRaftActions_t *actions = EyRaft_Step(raft, NULL, now_ms, event);
    for (uint32_t i = 0; i < actions->count; i++) {
        EyRaftAction_t *action = actions->items[i];
        if (action->kind == EY_RAFT_ACTION_SEND) {
            g_queue_push_tail(&self->messages,
                              talloc_steal(raft, action->message));
        }
        if (action->kind == EY_RAFT_ACTION_PERSIST) {
            EyRaftEvent_t persisted = {.kind = EY_RAFT_EVENT_PERSISTED,
                                       .number = action->disk_write->serial};
            step(self, process, now_ms, &persisted);
        }
    }
    talloc_free(actions);
}

static void
run(Cluster_t *self)
{
    const EyRaftEvent_t tick = {.kind = EY_RAFT_EVENT_TICK};
    for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS) {
        for (uint32_t i = 0; i < PROCESSES; i++) {
            step(self, i, now_ms, &tick);
        }
        for (guint left = self->messages.length; left > 0; left--) {
            EyRaftMessage_t *message = g_queue_pop_head(&self->messages);
            const EyRaftEvent_t event = {.kind = EY_RAFT_EVENT_MESSAGE,
                                         .message = message};
            for (uint32_t i = 0; i < PROCESSES; i++) {
                if (strcmp(message->to, self->addresses[i]) == 0) {
                    step(self, i, now_ms, &event);
                }
            }
            talloc_free(message);
        }
    }
    g_queue_clear_full(&self->messages, EyMemory_Free);
}

Test(raft_lost_data, cluster_is_founded_only_without_damaged_disks)
{
    for (uint32_t damaged = 0; damaged <= PROCESSES; damaged++) {
        void *ctx = talloc_new(NULL);
        Cluster_t cluster = make_cluster(ctx, damaged);
        run(&cluster);
        for (uint32_t i = 0; i < PROCESSES; i++) {
            EyRaftStatus_t status = EyRaft_Status(cluster.processes[i]);
            cr_expect_eq(status.cluster != 0, damaged == 0,
                         "%u damaged: process %u", damaged, i);
        }
        talloc_free(ctx);
    }
}
