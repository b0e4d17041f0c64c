/* The thread that writes the file of the replicated log. */
#include "control/raft_storage.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <unistd.h>

/* More writes than both mailboxes hold: 1024, and 2048 results. */
#define WRITES 4000

static void
on_stored(void *data, uint64_t serial, bool done)
{
    (void)data;
    (void)serial;
    (void)done;
}

Test(raft_storage, stop_does_not_wait_for_results_that_nobody_reads,
     .timeout = 20)
{
    char folder[] = "/tmp/ey-storage-XXXXXX";
    cr_assert_not_null(mkdtemp(folder));
    void *ctx = talloc_new(NULL);
    struct tevent_context *loop = tevent_context_init(ctx);
    EyRaftDiskState_t disk;
    EyRaftStorage_t *storage =
        EyRaftStorage_Start(ctx, folder, loop, on_stored, NULL, &disk, NULL);
    cr_assert_not_null(storage);
    for (uint64_t serial = 1; serial <= WRITES; serial++) {
        EyRaftDiskWrite_t *disk_write = EY_NEW(NULL, EyRaftDiskWrite_t);
        disk_write->serial = serial;
        EyRaftStorage_Write(storage, disk_write);
        g_usleep(100);
    }
    EyRaftStorage_Stop(storage);
    talloc_free(ctx);
    char *path = g_strdup_printf("%s/control.log", folder);
    (void)unlink(path);
    g_free(path);
    path = g_strdup_printf("%s/control.lock", folder);
    (void)unlink(path);
    g_free(path);
    (void)rmdir(folder);
}
