#include "gateway/record_storage.h"

#include "core/log.h"
#include "core/mailbox.h"
#include "core/memory.h"
#include "core/worker.h"

#define PENDING_WRITES_MAX 4096
/** Interval at which a failed write is repeated. */
#define REPEAT_INTERVAL_MS 250

struct EyRecordStorage {
    EyRecordStorageHooks_t hooks;
    EyJournal_t *journal; /* used only by the thread while it runs */
    EyWorker_t *worker;
    EyMailbox_t *results;
    GQueue overflow; /* of WriteRequest_t: wait for room in the mailbox */
    bool is_compacting;
};

/** A request to the storage thread: append a state, or replace the journal
 * with a snapshot. */
typedef struct WriteRequest {
    bool is_snapshot;
    EyGroupState_t *state;
} WriteRequest_t;

/** The result of a write request. */
typedef struct WriteResult {
    uint64_t serial;
    bool is_snapshot;
    bool done;
    bool needs_compaction;
    uint32_t waiting_count;
    char reason[200];
} WriteResult_t;

/* The following functions run on the storage thread. */

typedef struct Thread {
    EyRecordStorage_t *storage;
    EyTimers_t *timers;
    GQueue waiting; /* of WriteRequest_t, oldest first */
    bool repeats;   /* the first one has failed and its timer runs */
} Thread_t;

static int
destroy_thread(Thread_t *self)
{
    g_queue_clear_full(&self->waiting, EyMemory_Free);
    return 0;
}

static void *
worker_open(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
            void *data)
{
    (void)loop;
    Thread_t *self = EY_NEW(ctx, Thread_t);
    self->storage = data;
    self->timers = timers;
    g_queue_init(&self->waiting);
    talloc_set_destructor(self, destroy_thread);
    return self;
}

static void
report(const Thread_t *self, const WriteRequest_t *request,
       const GError *error)
{
    WriteResult_t *result = EY_NEW(NULL, WriteResult_t);
    result->serial = request->state->serial;
    result->is_snapshot = request->is_snapshot;
    result->done = error == NULL;
    result->needs_compaction =
        EyJournal_NeedsCompaction(self->storage->journal);
    result->waiting_count = self->waiting.length;
    if (error != NULL) {
        (void)EY_COPY(result->reason, error->message);
    }
    EyMailbox_PostWait(self->storage->results, result);
}

static bool
write_request(EyJournal_t *journal, const WriteRequest_t *request,
              GError **error)
{
    return request->is_snapshot
               ? EyJournal_Compact(journal, request->state, error)
               : EyJournal_Append(journal, request->state, error);
}

static void
flush(Thread_t *self);

static void
on_repeat(void *data, int64_t now_ms)
{
    (void)now_ms;
    Thread_t *self = data;
    flush(self);
}

/** Writes what waits, in order. A state that can't be written is repeated
 * until it is, so that no later one is written without it; a failed compaction
 * leaves the old file, and is left out. */
static void
flush(Thread_t *self)
{
    WriteRequest_t *request = NULL;
    while ((request = g_queue_peek_head(&self->waiting)) != NULL) {
        GError *error = NULL;
        bool done = write_request(self->storage->journal, request, &error);
        bool is_over = done || request->is_snapshot;
        if (is_over || !self->repeats) {
            report(self, request, error);
        }
        g_clear_error(&error);
        self->repeats = !is_over;
        if (self->repeats) {
            (void)EyTimers_After(self->timers, REPEAT_INTERVAL_MS, on_repeat,
                                 self);
            return;
        }
        talloc_free(g_queue_pop_head(&self->waiting));
    }
}

static void
worker_handle(void *state, void *message)
{
    Thread_t *self = state;
    g_queue_push_tail(&self->waiting, message);
    if (!self->repeats) {
        flush(self);
    }
}

static const EyWorkerClass_t Class = {
    .name = "records",
    .open = worker_open,
    .handle = worker_handle,
};

/* The following functions run on the main thread. */

/** Makes a deep copy as a talloc child of ctx. */
static EyGroupState_t *
copy_state(const void *ctx, const EyGroupState_t *from)
{
    EyGroupState_t *state = EY_NEW(ctx, EyGroupState_t);
    *state = *from;
    state->view = *EyView_Copy(state, &from->view);
    state->accepted = *EyView_Copy(state, &from->accepted);
    state->records = EY_NEW_ARRAY(state, EyRecord_t, from->record_count);
    for (uint32_t i = 0; i < from->record_count; i++) {
        EyRecord_CopyInto(state, &state->records[i], &from->records[i]);
    }
    return state;
}

static void
post_overflow(EyRecordStorage_t *self)
{
    while (self->overflow.length > 0 &&
           EyWorker_Post(self->worker, self->overflow.head->data))
    {
        (void)g_queue_pop_head(&self->overflow);
    }
}

/** Hands a request over behind all earlier ones. */
static void
post(EyRecordStorage_t *self, WriteRequest_t *request)
{
    g_queue_push_tail(&self->overflow, request);
    post_overflow(self);
}

static void
compact(EyRecordStorage_t *self)
{
    WriteRequest_t *request = EY_NEW(NULL, WriteRequest_t);
    request->is_snapshot = true;
    request->state = self->hooks.snapshot(self->hooks.data, request);
    self->is_compacting = true;
    post(self, request);
}

static void
log_failure(const WriteResult_t *result)
{
    EY_LOG(EY_LOG_ERROR, "records", "write_failed",
           EY_LOG_TEXT("reason", result->reason),
           EY_LOG_NUMBER("waiting", result->waiting_count),
           EY_LOG_TEXT("outcome", result->is_snapshot
                                      ? "the file isn't compacted"
                                      : "repeated until it is done"));
}

static void
on_result(void *data, void *message)
{
    EyRecordStorage_t *self = data;
    const WriteResult_t *result = message;
    if (!result->done) {
        log_failure(result);
    }
    if (result->is_snapshot) {
        self->is_compacting = false;
    }
    post_overflow(self);
    if (result->done || !result->is_snapshot) {
        self->hooks.written(self->hooks.data, result->serial, result->done);
    }
    if (result->needs_compaction && result->done && !self->is_compacting) {
        compact(self);
    }
    talloc_free(message);
}

/** Opens the journal. A damaged one is set aside: the member comes back as one
 * that lost its disk and copies the records, instead of ending at each start.
 */
static EyJournal_t *
open_journal(const void *ctx, const char *folder, EyGroupState_t **restored,
             GError **error)
{
    GError *cause = NULL;
    EyJournal_t *journal = EyJournal_Open(ctx, folder, restored, &cause);
    if (journal != NULL) {
        return journal;
    }
    if (!g_error_matches(cause, EY_JOURNAL_ERROR, EY_JOURNAL_ERROR_DAMAGED)) {
        g_propagate_error(error, cause);
        return NULL;
    }
    EY_LOG(EY_LOG_ERROR, "records", "journal_damaged",
           EY_LOG_TEXT("reason", cause->message),
           EY_LOG_TEXT("outcome", "set aside; comes back without records"));
    g_error_free(cause);
    return EyJournal_SetAside(folder, error)
               ? EyJournal_Open(ctx, folder, restored, error)
               : NULL;
}

EyRecordStorage_t *
EyRecordStorage_Start(const void *ctx, const char *folder,
                      struct tevent_context *loop,
                      const EyRecordStorageHooks_t *hooks,
                      EyGroupState_t **restored, GError **error)
{
    EyRecordStorage_t *self = EY_NEW(ctx, EyRecordStorage_t);
    self->hooks = *hooks;
    self->journal = open_journal(self, folder, restored, error);
    if (self->journal == NULL) {
        talloc_free(self);
        return NULL;
    }
    self->results = EyMailbox_New(self, PENDING_WRITES_MAX * 2);
    EyMailbox_Attach(self->results, loop, on_result, self);
    g_queue_init(&self->overflow);
    self->worker = EyWorker_Start(self, &Class, PENDING_WRITES_MAX, self);
    return self;
}

void
EyRecordStorage_Write(EyRecordStorage_t *self, const EyGroupState_t *state)
{
    WriteRequest_t *request = EY_NEW(NULL, WriteRequest_t);
    request->state = copy_state(request, state);
    post(self, request);
}

void
EyRecordStorage_Stop(EyRecordStorage_t *self)
{
    EyWorker_Stop(self->worker);
    g_queue_clear_full(&self->overflow, EyMemory_Free);
    talloc_free(self);
}
