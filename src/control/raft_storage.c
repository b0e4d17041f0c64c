#include "control/raft_storage.h"

#include "core/log.h"
#include "core/memory.h"
#include "core/worker.h"

#define QUEUE_MAX 1024
/** Interval at which a failed write is repeated. */
#define REPEAT_INTERVAL_MS 250

struct EyRaftStorage {
    EyRaftStored_t stored;
    void *data;
    EyRaftFile_t *file; /* the storage thread's while that runs */
    EyWorker_t *thread;
    EyMailbox_t *results;
    GQueue overflow;  /* of EyRaftDiskWrite_t: wait for room in the mailbox */
    bool is_stopping; /* atomic; results are no longer read */
    bool is_failing;  /* as last logged */
};

/** The result of a try, from the storage thread. */
typedef struct Result {
    uint64_t serial;
    bool done;
    uint32_t waiting_count;
    char reason[200];
} Result_t;

/* Called on the storage thread. */

typedef struct Thread {
    EyRaftStorage_t *storage;
    EyRaftWriter_t *writer;
    EyTimers_t *timers;
    bool waits; /* a write has failed and its timer runs */
} Thread_t;

static void
on_written(void *data, uint64_t serial, const char *reason,
           uint32_t waiting_count)
{
    const Thread_t *self = data;
    Result_t *result = EY_NEW(NULL, Result_t);
    result->serial = serial;
    result->done = reason == NULL;
    result->waiting_count = waiting_count;
    if (reason != NULL) {
        (void)EY_COPY(result->reason, reason);
    }
    if (!EyMailbox_PostUntil(self->storage->results, result,
                             &self->storage->is_stopping))
    {
        talloc_free(result);
    }
}

static void
on_repeat(void *data, int64_t now_ms)
{
    (void)now_ms;
    Thread_t *self = data;
    self->waits = !EyRaftWriter_Flush(self->writer);
    if (self->waits) {
        (void)EyTimers_After(self->timers, REPEAT_INTERVAL_MS, on_repeat,
                             self);
    }
}

static void *
thread_open(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
            void *data)
{
    (void)loop;
    Thread_t *self = EY_NEW(ctx, Thread_t);
    self->storage = data;
    self->timers = timers;
    self->writer =
        EyRaftWriter_New(self, self->storage->file, on_written, self);
    return self;
}

static void
thread_handle(void *state, void *message)
{
    Thread_t *self = state;
    EyRaftWriter_Add(self->writer, message);
    if (!self->waits) {
        on_repeat(self, 0);
    }
}

static const EyWorkerClass_t ThreadClass = {
    .name = "storage",
    .open = thread_open,
    .handle = thread_handle,
};

/* Called on the thread of the loop. */

static void
log_result(EyRaftStorage_t *self, const Result_t *result)
{
    if (self->is_failing == !result->done) {
        return;
    }
    self->is_failing = !result->done;
    if (self->is_failing) {
        EY_LOG(EY_LOG_ERROR, "control", "write_failed",
               EY_LOG_TEXT("reason", result->reason),
               EY_LOG_NUMBER("serial", result->serial),
               EY_LOG_TEXT("outcome", "repeated until it is done"));
        return;
    }
    EY_LOG(EY_LOG_WARNING, "control", "write_recovered",
           EY_LOG_NUMBER("serial", result->serial),
           EY_LOG_NUMBER("waiting", result->waiting_count));
}

static void
post_overflow(EyRaftStorage_t *self)
{
    while (self->overflow.length > 0 &&
           EyWorker_Post(self->thread, self->overflow.head->data))
    {
        (void)g_queue_pop_head(&self->overflow);
    }
}

static void
on_result(void *data, void *message)
{
    EyRaftStorage_t *self = data;
    const Result_t *result = message;
    log_result(self, result);
    post_overflow(self);
    self->stored(self->data, result->serial, result->done);
    talloc_free(message);
}

/** Opens the file. A damaged one is set aside: the process goes on as a new
 * member of the group, which has what it acknowledged, instead of ending at
 * each start. */
static EyRaftFile_t *
open_file(const void *ctx, const char *folder, EyRaftDiskState_t *disk,
          GError **error)
{
    GError *cause = NULL;
    EyRaftFile_t *file = EyRaftFile_Open(ctx, folder, NULL, disk, &cause);
    if (file != NULL || !g_error_matches(cause, EY_RAFT_FILE_ERROR,
                                         EY_RAFT_FILE_ERROR_CORRUPT))
    {
        if (cause != NULL) {
            g_propagate_error(error, cause);
        }
        return file;
    }
    EY_LOG(EY_LOG_ERROR, "control", "log_damaged",
           EY_LOG_TEXT("reason", cause->message),
           EY_LOG_TEXT("folder", folder),
           EY_LOG_TEXT("outcome", "set aside as " EY_RAFT_FILE_DAMAGED_NAME
                                  "; joins again as a new member"));
    g_error_free(cause);
    return EyRaftFile_SetAside(folder, error)
               ? EyRaftFile_Open(ctx, folder, NULL, disk, error)
               : NULL;
}

bool
EyRaftStorage_MayOpenLater(const GError *error)
{
    return !g_error_matches(error, EY_RAFT_FILE_ERROR,
                            EY_RAFT_FILE_ERROR_FOLDER) &&
           !g_error_matches(error, EY_RAFT_FILE_ERROR,
                            EY_RAFT_FILE_ERROR_LOCKED);
}

EyRaftStorage_t *
EyRaftStorage_Start(const void *ctx, const char *folder,
                    struct tevent_context *loop, EyRaftStored_t stored,
                    void *data, EyRaftDiskState_t *disk, GError **error)
{
    EyRaftStorage_t *self = EY_NEW(ctx, EyRaftStorage_t);
    self->stored = stored;
    self->data = data;
    self->file = open_file(self, folder, disk, error);
    if (self->file == NULL) {
        talloc_free(self);
        return NULL;
    }
    if (disk->dropped_bytes > 0) {
        EY_LOG(EY_LOG_WARNING, "control", "log_tail_dropped",
               EY_LOG_TEXT("folder", folder),
               EY_LOG_NUMBER("bytes", disk->dropped_bytes),
               EY_LOG_TEXT("reason", "left of a write that was never "
                                     "confirmed"));
    }
    g_queue_init(&self->overflow);
    self->results = EyMailbox_New(self, QUEUE_MAX * 2);
    EyMailbox_Attach(self->results, loop, on_result, self);
    self->thread = EyWorker_Start(self, &ThreadClass, QUEUE_MAX, self);
    return self;
}

void
EyRaftStorage_Write(EyRaftStorage_t *self, EyRaftDiskWrite_t *disk_write)
{
    g_queue_push_tail(&self->overflow, disk_write);
    post_overflow(self);
}

void
EyRaftStorage_Stop(EyRaftStorage_t *self)
{
    __atomic_store_n(&self->is_stopping, true, __ATOMIC_RELEASE);
    EyWorker_Stop(self->thread);
    g_queue_clear_full(&self->overflow, EyMemory_Free);
    talloc_free(self);
}
