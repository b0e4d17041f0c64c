#include "gateway/record_storage.h"

#include "core/log.h"
#include "core/mailbox.h"
#include "core/memory.h"
#include "core/worker.h"

#define PENDING_WRITES_MAX 4096

struct EyRecordStorage {
    EyRecordStorageHooks_t hooks;
    EyJournal_t *journal; /* used only by the thread while it runs */
    EyWorker_t *worker;
    EyMailbox_t *results;
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
    char reason[200];
} WriteResult_t;

/* The following functions run on the storage thread. */

static void *
worker_open(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
            void *data)
{
    (void)loop;
    (void)timers;
    EyRecordStorage_t **state = EY_NEW(ctx, EyRecordStorage_t *);
    *state = data;
    return state;
}

static void
worker_handle(void *state, void *message)
{
    EyRecordStorage_t *self = *(EyRecordStorage_t **)state;
    const WriteRequest_t *request = message;
    GError *error = NULL;
    WriteResult_t *result = EY_NEW(NULL, WriteResult_t);
    result->serial = request->state->serial;
    result->is_snapshot = request->is_snapshot;
    result->done =
        request->is_snapshot
            ? EyJournal_Compact(self->journal, request->state, &error)
            : EyJournal_Append(self->journal, request->state, &error);
    result->needs_compaction = EyJournal_NeedsCompaction(self->journal);
    if (!result->done) {
        (void)EY_COPY(result->reason, error->message);
        g_error_free(error);
    }
    talloc_free(message);
    EyMailbox_PostWait(self->results, result);
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

static bool
post(EyRecordStorage_t *self, WriteRequest_t *request)
{
    bool posted = EyWorker_Post(self->worker, request);
    if (!posted) {
        talloc_free(request);
    }
    return posted;
}

static void
compact(EyRecordStorage_t *self)
{
    WriteRequest_t *request = EY_NEW(NULL, WriteRequest_t);
    request->is_snapshot = true;
    request->state = self->hooks.snapshot(self->hooks.data, request);
    self->is_compacting = post(self, request);
}

static void
on_result(void *data, void *message)
{
    EyRecordStorage_t *self = data;
    const WriteResult_t *result = message;
    if (!result->done) {
        EY_LOG(EY_LOG_ERROR, "records", "write_failed",
               EY_LOG_TEXT("reason", result->reason));
    }
    if (result->is_snapshot) {
        self->is_compacting = false;
    }
    self->hooks.written(self->hooks.data, result->serial, result->done);
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
    self->worker = EyWorker_Start(self, &Class, PENDING_WRITES_MAX, self);
    return self;
}

void
EyRecordStorage_Write(EyRecordStorage_t *self, const EyGroupState_t *state)
{
    WriteRequest_t *request = EY_NEW(NULL, WriteRequest_t);
    request->state = copy_state(request, state);
    if (!post(self, request)) {
        self->hooks.written(self->hooks.data, state->serial, false);
    }
}

void
EyRecordStorage_Stop(EyRecordStorage_t *self)
{
    EyWorker_Stop(self->worker);
    talloc_free(self);
}
