/* The router's part of barring requests that crash servers, and prompts whose
 * parts crash engines. */
#include "core/memory.h"
#include "routing/router_internal.h"

#include <string.h>
#include <xxhash.h>

/** After a longer gap between events, as when the process was stopped, the
 * times of answers that began before it are unknown: a break of their
 * connection may not have been seen yet. */
#define EVENT_GAP_MAX_MS 1000

/** Most answers that wait for their engine to be seen running; above it the
 * newest aren't kept. */
#define COMPLETED_MAX 1024
/** An engine may end this long after it has completed an answer on which it
 * crashes. */
#define COMPLETED_DOUBT_MS 250
/** An engine that is seen running later may have been started again. */
#define COMPLETED_KEPT_MS 1000

/** An answer that was completed sooner than its server may end on it. It
 * clears its request and prompt's parts once the server is seen running later.
 */
typedef struct CompletedAnswer {
    char *target; /* NULL: no parts are cleared */
    uint64_t *parts;
    uint32_t part_count;
    uint64_t request;
    int64_t completed_ms;
} CompletedAnswer_t;

static void
free_completed(gpointer answers)
{
    g_queue_free_full(answers, EyMemory_Free);
}

void
ey_router_open_suspects(EyRouter_t *self)
{
    self->suspects = EyCrashSuspects_New(self, self->region);
    self->inferred_ends = EyInferredEnds_New(self);
    ey_router_open_begun_answers(self);
    self->completed_answers = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, g_free, free_completed);
}

void
ey_router_close_suspects(EyRouter_t *self)
{
    ey_router_close_begun_answers(self);
    g_hash_table_unref(self->completed_answers);
}

static EyPromptParts_t
parts_of(const EyRoutingRequest_t *request)
{
    return (EyPromptParts_t){
        .target = request->target,
        .ids = request->parts,
        .count = request->kind == EY_BACKEND_MODEL ? request->part_count : 0,
        .request = request->request_key,
    };
}

static EyPromptParts_t
tracked_parts(const EyTrackedRequest_t *tracked)
{
    return (EyPromptParts_t){
        .target = tracked->target,
        .ids = tracked->parts,
        .count = tracked->part_count,
        .request = tracked->request,
    };
}

EyRefusal_t
ey_router_check_suspect(EyRouter_t *self, int64_t now_ms,
                        const EyRoutingRequest_t *request,
                        EySuspicionResult_t *result)
{
    const EyPromptParts_t parts = parts_of(request);
    *result = EyCrashSuspects_Check(self->suspects, now_ms, &parts);
    if (result->suspicion != EY_SUSPICION_BARRED) {
        return EY_REFUSAL_NONE;
    }
    return result->is_request ? EY_REFUSAL_SUSPECT_REQUEST
                              : EY_REFUSAL_SUSPECT_PROMPT;
}

static uint64_t
hash_address(const EyBackend_t *backend)
{
    return XXH64(backend->address, strlen(backend->address), 0);
}

void
ey_router_track_parts(EyRouter_t *self, int64_t now_ms,
                      const EyRoutingRequest_t *request,
                      EyTrackedRequest_t *tracked, const EyBackend_t *backend)
{
    const EyPromptParts_t parts = parts_of(request);
    if (parts.count == 0 && parts.request == 0) {
        return;
    }
    if (parts.count > 0) {
        tracked->parts = EyMemory_Copy(tracked, parts.ids,
                                       parts.count * sizeof(*parts.ids));
        tracked->part_count = parts.count;
    }
    tracked->request = parts.request;
    tracked->crash =
        EyCrashSuspects_CrashKey(backend->id, backend->incarnation);
    tracked->address = hash_address(backend);
    tracked->incarnation = backend->incarnation;
    EyCrashSuspects_StartTrial(self->suspects, now_ms, &parts,
                               request->number);
}

/** True if the request may be suspected, or be found innocent. */
static bool
is_watched(const EyTrackedRequest_t *tracked)
{
    return tracked->part_count > 0 || tracked->request != 0;
}

static GQueue *
completed_of(EyRouter_t *self, uint64_t crash)
{
    GQueue *answers = g_hash_table_lookup(self->completed_answers, &crash);
    if (answers == NULL) {
        answers = g_queue_new();
        (void)g_hash_table_insert(self->completed_answers,
                                  g_memdup2(&crash, sizeof(crash)), answers);
    }
    return answers;
}

static void
keep_completed(EyRouter_t *self, int64_t now_ms, uint64_t crash,
               const EyPromptParts_t *parts)
{
    if (self->completed_count == COMPLETED_MAX) {
        return;
    }
    CompletedAnswer_t *answer = EY_NEW(NULL, CompletedAnswer_t);
    if (parts->count > 0) {
        answer->target = EyMemory_Strdup(answer, parts->target);
        answer->parts = EyMemory_Copy(answer, parts->ids,
                                      parts->count * sizeof(*parts->ids));
        answer->part_count = parts->count;
    }
    answer->request = parts->request;
    answer->completed_ms = now_ms;
    g_queue_push_tail(completed_of(self, crash), answer);
    self->completed_count++;
}

/** The server with these completed answers runs now: those that are old enough
 * clear their requests. */
static void
clear_completed(EyRouter_t *self, int64_t now_ms, GQueue *answers)
{
    CompletedAnswer_t *answer = g_queue_peek_head(answers);
    while (answer != NULL &&
           now_ms - answer->completed_ms >= COMPLETED_DOUBT_MS) {
        const EyPromptParts_t parts = {
            .target = answer->target,
            .ids = answer->parts,
            .count = answer->part_count,
            .request = answer->request,
        };
        if (now_ms - answer->completed_ms < COMPLETED_KEPT_MS) {
            EyCrashSuspects_Clear(self->suspects, now_ms, &parts);
        }
        talloc_free(g_queue_pop_head(answers));
        self->completed_count--;
        answer = g_queue_peek_head(answers);
    }
}

/** The server's connections broke: what it completed shortly before clears
 * nothing. */
static void
drop_doubtful(EyRouter_t *self, int64_t now_ms, uint64_t crash)
{
    GQueue *answers = g_hash_table_lookup(self->completed_answers, &crash);
    CompletedAnswer_t *answer =
        answers != NULL ? g_queue_peek_tail(answers) : NULL;
    while (answer != NULL &&
           now_ms - answer->completed_ms < COMPLETED_DOUBT_MS) {
        talloc_free(g_queue_pop_tail(answers));
        self->completed_count--;
        answer = g_queue_peek_tail(answers);
    }
}

/** Drops the answers of servers that weren't seen running any more. */
static void
expire_completed(EyRouter_t *self, int64_t now_ms)
{
    if (now_ms - self->completed_expired_ms < COMPLETED_KEPT_MS) {
        return;
    }
    self->completed_expired_ms = now_ms;
    EyInferredEnds_Expire(self->inferred_ends, now_ms);
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->completed_answers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        GQueue *answers = value;
        const CompletedAnswer_t *last = g_queue_peek_tail(answers);
        if (last == NULL || now_ms - last->completed_ms >= COMPLETED_KEPT_MS) {
            self->completed_count -= answers->length;
            g_hash_table_iter_remove(&each);
        }
    }
}

/** The server has begun or completed an answer: if it seemed to have crashed
 * shortly before, it didn't. */
static void
note_running(EyRouter_t *self, int64_t now_ms,
             const EyTrackedRequest_t *tracked)
{
    if (tracked->incarnation > 0) {
        EyCrashSuspects_EngineRuns(self->suspects, now_ms, tracked->crash);
    }
    ey_router_add_server_sign(self, now_ms, EY_SERVER_SIGN_RUNS,
                              tracked->crash);
    GQueue *answers =
        g_hash_table_lookup(self->completed_answers, &tracked->crash);
    if (answers != NULL) {
        clear_completed(self, now_ms, answers);
    }
}

/** True if the answer has gone on for so long that its engine would have ended
 * on it. */
static bool
clears_at_once(const EyTrackedRequest_t *tracked, int64_t now_ms)
{
    return tracked->has_begun &&
           now_ms - tracked->begun_ms >= COMPLETED_DOUBT_MS;
}

void
ey_router_track_answer(EyRouter_t *self, int64_t now_ms,
                       EyTrackedRequest_t *tracked)
{
    if (!is_watched(tracked) || tracked->has_begun) {
        return;
    }
    note_running(self, now_ms, tracked);
    tracked->has_begun = true;
    tracked->begun_ms = now_ms;
    ey_router_watch_begun_answer(self, now_ms, tracked);
}

/** Drops what is outdated; after a gap between events, as when the process was
 * stopped, also what depends on when things were seen. */
static void
drop_outdated(EyRouter_t *self, int64_t now_ms)
{
    if (now_ms - self->suspects_ms > EVENT_GAP_MAX_MS) {
        ey_router_restart_begun_answers(self, now_ms);
        EyInferredEnds_Reset(self->inferred_ends);
    }
    self->suspects_ms = now_ms;
    expire_completed(self, now_ms);
}

void
ey_router_clear_surviving(EyRouter_t *self, int64_t now_ms)
{
    drop_outdated(self, now_ms);
    ey_router_check_begun_answers(self, now_ms);
}

/** What the end of an answer may be evidence of. */
static EyPromptParts_t
ended_parts(const EyTrackedRequest_t *tracked, int64_t now_ms,
            const EyRoutingResult_t *result)
{
    EyPromptParts_t parts = tracked_parts(tracked);
    parts.is_unbegun = !tracked->has_begun && !result->hides_start &&
                       result->answer_end != EY_ANSWER_END_COMPLETE;
    parts.ran_ms = tracked->has_begun ? now_ms - tracked->begun_ms : 0;
    return parts;
}

void
ey_router_judge_answer(EyRouter_t *self, int64_t now_ms,
                       const EyTrackedRequest_t *tracked,
                       const EyRoutingResult_t *result)
{
    if (!is_watched(tracked)) {
        return;
    }
    EyCrashSuspects_EndTrial(self->suspects, tracked->in_flight.number);
    ey_router_clear_surviving(self, now_ms);
    const EyPromptParts_t parts = ended_parts(tracked, now_ms, result);
    bool is_answered = result->answer_end == EY_ANSWER_END_COMPLETE ||
                       result->answer_end == EY_ANSWER_END_ANSWERED;
    bool is_broken = result->answer_end == EY_ANSWER_END_BROKEN;
    bool is_inferred = is_answered && result->is_end_inferred;
    if (is_answered && !is_inferred) {
        note_running(self, now_ms, tracked);
    }
    ey_router_read_result_signs(self, now_ms, tracked, result);
    if (is_inferred) {
        ey_router_add_inferred_end(self, now_ms, tracked, &parts);
    }
    else if (is_answered && clears_at_once(tracked, now_ms)) {
        EyCrashSuspects_Clear(self->suspects, now_ms, &parts);
    }
    else if (is_answered) {
        keep_completed(self, now_ms, tracked->crash, &parts);
    }
    else if (is_broken) {
        EyCrashSuspects_AddCrash(self->suspects, now_ms, &parts,
                                 tracked->crash);
        drop_doubtful(self, now_ms, tracked->crash);
    }
}

/** True if the request was sent to an earlier server at the address that
 * wasn't stopped orderly. */
static bool
is_at_predecessor(const EyTrackedRequest_t *tracked, uint64_t address,
                  const EyBackend_t *backend)
{
    const EyReplica_t *replica = tracked->in_flight.replica;
    bool is_stopped =
        replica != NULL && replica->backend->state == EY_BACKEND_LEAVING;
    return is_watched(tracked) && tracked->incarnation > 0 &&
           tracked->address == address &&
           tracked->incarnation < backend->incarnation && !is_stopped;
}

void
ey_router_judge_predecessors(EyRouter_t *self, int64_t now_ms,
                             const EyBackend_t *backend)
{
    static const EyRoutingResult_t Silent = {.kind = EY_RESULT_FAILED};
    uint64_t address = hash_address(backend);
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->tracked);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyTrackedRequest_t *tracked = value;
        if (is_at_predecessor(tracked, address, backend)) {
            const EyPromptParts_t parts =
                ended_parts(tracked, now_ms, &Silent);
            EyCrashSuspects_AddCrash(self->suspects, now_ms, &parts,
                                     tracked->crash);
        }
    }
}

bool
EyRouter_NextSuspectEvent(EyRouter_t *self, EySuspectEvent_t *event)
{
    return EyCrashSuspects_NextEvent(self->suspects, event);
}

uint32_t
EyRouter_BarredParts(const EyRouter_t *self, int64_t now_ms)
{
    return EyCrashSuspects_BarCount(self->suspects, now_ms);
}
