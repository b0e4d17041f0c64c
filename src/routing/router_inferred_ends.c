/* The router's part of settling answers whose end was inferred from the end of
 * their connection. */
#include "routing/router_internal.h"

/** Executes the verdicts on settled ends. */
static void
execute_verdicts(EyRouter_t *self, int64_t now_ms)
{
    EyInferredVerdict_t verdict;
    while (EyInferredEnds_Next(self->inferred_ends, &verdict)) {
        if (verdict.is_crash) {
            EyCrashSuspects_AddCrash(self->suspects, verdict.at_ms,
                                     &verdict.prompt, verdict.crash);
        }
        else {
            EyCrashSuspects_Clear(self->suspects, now_ms, &verdict.prompt);
        }
    }
}

void
ey_router_add_server_sign(EyRouter_t *self, int64_t now_ms,
                          EyServerSign_t sign, uint64_t crash)
{
    EyInferredEnds_AddSign(self->inferred_ends, now_ms, sign, crash);
    execute_verdicts(self, now_ms);
}

void
ey_router_add_inferred_end(EyRouter_t *self, int64_t now_ms,
                           const EyTrackedRequest_t *tracked,
                           const EyPromptParts_t *parts)
{
    const EyReplica_t *replica = tracked->in_flight.replica;
    bool may_be_stopped =
        replica == NULL || replica->backend->state == EY_BACKEND_LEAVING;
    if (may_be_stopped) {
        return;
    }
    const EyInferredServer_t server = {
        .crash = tracked->crash,
        .address = replica->backend->address,
        .incarnation =
            tracked->incarnation > 0 ? replica->backend->incarnation : 0,
    };
    EyInferredEnds_Add(self->inferred_ends, now_ms, &server, parts);
    execute_verdicts(self, now_ms);
}

void
ey_router_read_result_signs(EyRouter_t *self, int64_t now_ms,
                            const EyTrackedRequest_t *tracked,
                            const EyRoutingResult_t *result)
{
    if (result->answer_end == EY_ANSWER_END_BROKEN) {
        ey_router_add_server_sign(self, now_ms, EY_SERVER_SIGN_BROKEN,
                                  tracked->crash);
    }
    else if (result->is_connect_refused) {
        ey_router_add_server_sign(self, now_ms, EY_SERVER_SIGN_REFUSED,
                                  tracked->crash);
    }
    else if (result->kind == EY_RESULT_MISDIRECTED) {
        ey_router_add_server_sign(self, now_ms, EY_SERVER_SIGN_REPLACED,
                                  tracked->crash);
    }
}

void
ey_router_read_announced_state(EyRouter_t *self, int64_t now_ms,
                               const EyBackend_t *backend)
{
    const EyInferredServer_t server = {
        .crash = EyCrashSuspects_CrashKey(backend->id, backend->incarnation),
        .address = backend->address,
        .incarnation = backend->incarnation,
    };
    if (backend->state == EY_BACKEND_LEAVING) {
        ey_router_add_server_sign(self, now_ms, EY_SERVER_SIGN_LEAVING,
                                  server.crash);
    }
    const EyReplica_t *known =
        g_hash_table_lookup(self->replicas, backend->id);
    if (known == NULL || known->backend->incarnation != backend->incarnation) {
        EyInferredEnds_AddStart(self->inferred_ends, now_ms, &server);
        execute_verdicts(self, now_ms);
        ey_router_judge_predecessors(self, now_ms, backend);
    }
}

void
EyRouter_NoteAnnouncement(EyRouter_t *self, int64_t now_ms,
                          const EyBackend_t *backend)
{
    if (backend->incarnation > 0) {
        ey_router_add_server_sign(
            self, now_ms, EY_SERVER_SIGN_ANNOUNCED,
            EyCrashSuspects_CrashKey(backend->id, backend->incarnation));
    }
}
