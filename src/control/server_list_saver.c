#include "control/server_list_saver.h"

#include "control/server_list.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/worker.h"

/** Changes within this time are written together, because each write syncs
 * the disk and delays the syncs of the Raft file. */
#define SAVE_DELAY_MS 1000
#define WRITE_QUEUE_MAX 4
/** Interval at which a failed write is repeated. */
#define REPEAT_INTERVAL_MS 1000

struct EyServerListSaver {
    EyNode_t *node;
    EyServerList_t *restorable; /* NULL once it was restored */
    EyTimer_t *save_timer;
    EyWorker_t *worker;
};

/* Called on the saver's worker thread. */

typedef struct Thread {
    char *folder;
    EyTimers_t *timers;
    EyServerList_t *unsaved; /* the newest list, if it couldn't be written */
    bool repeats;            /* the timer runs */
} Thread_t;

static void *
worker_open(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
            void *data)
{
    (void)loop;
    Thread_t *self = EY_NEW(ctx, Thread_t);
    self->folder = EyMemory_Strdup(self, data);
    self->timers = timers;
    return self;
}

static void
on_repeat(void *data, int64_t now_ms);

/** Writes the list; a failed write is repeated until it is done or there is a
 * newer list. Else the file would show servers that have left since. */
static void
save(Thread_t *self)
{
    GError *error = NULL;
    if (EyServerList_Save(self->unsaved, self->folder, &error)) {
        talloc_free(self->unsaved);
        self->unsaved = NULL;
        return;
    }
    if (!self->repeats) {
        EY_LOG(EY_LOG_WARNING, "control", "server_list_not_written",
               EY_LOG_TEXT("reason", error->message),
               EY_LOG_TEXT("outcome", "repeated until it is done"));
        (void)EyTimers_After(self->timers, REPEAT_INTERVAL_MS, on_repeat,
                             self);
        self->repeats = true;
    }
    g_error_free(error);
}

static void
on_repeat(void *data, int64_t now_ms)
{
    (void)now_ms;
    Thread_t *self = data;
    self->repeats = false;
    if (self->unsaved != NULL) {
        save(self);
    }
}

static void
worker_handle(void *state, void *message)
{
    Thread_t *self = state;
    talloc_free(self->unsaved);
    self->unsaved = talloc_steal(self, message);
    save(self);
}

static const EyWorkerClass_t WorkerClass = {
    .name = "server-list",
    .open = worker_open,
    .handle = worker_handle,
};

/* Called on the main thread. */

static EyRegistry_t *
registry(const EyServerListSaver_t *self)
{
    return EyCluster_Registry(self->node->cluster);
}

static void
on_restore(void *data, int64_t now_ms)
{
    EyServerListSaver_t *self = data;
    uint32_t restored =
        EyServerList_Restore(self->restorable, registry(self), now_ms);
    EY_LOG(EY_LOG_INFO, "control", "server_list_shown",
           EY_LOG_NUMBER("listed", self->restorable->count),
           EY_LOG_NUMBER("shown", restored));
    talloc_free(self->restorable);
    self->restorable = NULL;
}

static void
on_save(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyServerListSaver_t *self = data;
    self->save_timer = NULL;
    EyServerList_t *list = EyServerList_FromRegistry(NULL, registry(self));
    if (!EyWorker_Post(self->worker, list)) {
        /* The queue is full because the disk is slow. */
        talloc_free(list);
        self->save_timer =
            EyTimers_After(self->node->timers, SAVE_DELAY_MS, on_save, self);
    }
}

static EyServerList_t *
load_or_empty(const void *ctx, const char *folder)
{
    GError *error = NULL;
    EyServerList_t *list = EyServerList_Load(ctx, folder, &error);
    if (list == NULL) {
        EY_LOG(EY_LOG_WARNING, "control", "server_list_not_read",
               EY_LOG_TEXT("reason", error->message));
        g_error_free(error);
        return EY_NEW(ctx, EyServerList_t);
    }
    return list;
}

EyServerListSaver_t *
EyServerListSaver_Start(const void *ctx, EyNode_t *node)
{
    EyServerListSaver_t *self = EY_NEW(ctx, EyServerListSaver_t);
    char *folder = node->settings->data_dir;
    self->node = node;
    self->restorable = load_or_empty(self, folder);
    self->worker = EyWorker_Start(self, &WorkerClass, WRITE_QUEUE_MAX, folder);
    /* Runs when the loop starts, before the first server can announce
     * itself. */
    (void)EyTimers_After(node->timers, 0, on_restore, self);
    return self;
}

void
EyServerListSaver_OnBackend(EyServerListSaver_t *self,
                            EyRegistryChange_t change)
{
    if (change != EY_REGISTRY_LOAD_CHANGED && self->save_timer == NULL) {
        self->save_timer =
            EyTimers_After(self->node->timers, SAVE_DELAY_MS, on_save, self);
    }
}

void
EyServerListSaver_Stop(EyServerListSaver_t *self)
{
    EyWorker_Stop(self->worker);
    self->worker = NULL;
}
