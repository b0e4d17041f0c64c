#include "config/lease.h"

#include "core/memory.h"

#include <string.h>

/** A proposal without an answer is abandoned after this. */
#define PROPOSAL_TIMEOUT_MS 5000

struct EyLease {
    EyLeaseOptions_t options;
    EyLeaseHooks_t hooks;
    bool is_wanted;
    EyLeaseRecord_t observed; /* last observed in the store */
    int64_t observed_ms;      /* when observed last changed */
    uint64_t fencing;         /* token while the lease is held; 0: not held */
    int64_t held_from_ms;     /* when the request that acquired or renewed it
                               * was sent */
    uint64_t pending_number;  /* number of the pending proposal; 0: none */
    EyCommandKind_t pending_kind;
    int64_t proposed_ms;
    uint64_t last_number;
    int64_t next_ms; /* when the next tick is due */
};

EyLease_t *
EyLease_New(const void *ctx, const EyLeaseOptions_t *options,
            const EyLeaseHooks_t *hooks, int64_t now_ms)
{
    EyLease_t *self = EY_NEW(ctx, EyLease_t);
    self->options = *options;
    self->hooks = *hooks;
    (void)EY_COPY(self->observed.name, options->name);
    self->observed_ms = now_ms;
    self->next_ms = now_ms;
    return self;
}

static bool
has_expired(const EyLease_t *self, int64_t now_ms)
{
    return now_ms - self->held_from_ms >= EY_LEASE_DURATION_MS;
}

uint64_t
EyLease_FencingToken(const EyLease_t *self, int64_t now_ms)
{
    return self->is_wanted && !has_expired(self, now_ms) ? self->fencing : 0;
}

static void
propose(EyLease_t *self, int64_t now_ms, EyCommandKind_t kind)
{
    EyCommand_t command = {.kind = kind, .lease = self->observed};
    (void)EY_COPY(command.lease.holder, self->options.self);
    command.lease.incarnation = self->options.incarnation;
    if (kind != EY_COMMAND_TAKE_LEASE) {
        command.lease.fencing = self->fencing;
    }
    self->pending_number = ++self->last_number;
    self->pending_kind = kind;
    self->proposed_ms = now_ms;
    self->hooks.propose(self->hooks.data, self->pending_number, &command);
}

/** Returns true if the last holder has released the lease, or must have
 * stopped by its own clock. */
static bool
may_take(const EyLease_t *self, int64_t now_ms)
{
    return self->observed.holder[0] == '\0' ||
           now_ms - self->observed_ms >=
               EY_LEASE_DURATION_MS + EY_LEASE_DRIFT_MARGIN_MS;
}

static void
run(EyLease_t *self, int64_t now_ms)
{
    if (self->fencing != 0 && has_expired(self, now_ms)) {
        self->fencing = 0;
    }
    if (self->pending_number != 0 &&
        now_ms - self->proposed_ms < PROPOSAL_TIMEOUT_MS)
    {
        return;
    }
    self->pending_number = 0;
    if (self->fencing != 0) {
        if (!self->is_wanted) {
            propose(self, now_ms, EY_COMMAND_RELEASE_LEASE);
        }
        else if (now_ms - self->held_from_ms >= EY_LEASE_RENEW_MS) {
            propose(self, now_ms, EY_COMMAND_RENEW_LEASE);
        }
        return;
    }
    if (self->is_wanted && may_take(self, now_ms)) {
        propose(self, now_ms, EY_COMMAND_TAKE_LEASE);
    }
}

void
EyLease_Tick(EyLease_t *self, int64_t now_ms)
{
    if (now_ms < self->next_ms) {
        return;
    }
    self->next_ms = now_ms + EY_LEASE_DRIFT_MARGIN_MS;
    run(self, now_ms);
}

int64_t
EyLease_DueMs(const EyLease_t *self)
{
    return self->next_ms;
}

void
EyLease_SetWanted(EyLease_t *self, int64_t now_ms, bool is_wanted)
{
    self->is_wanted = is_wanted;
    self->next_ms = now_ms;
}

void
EyLease_Observe(EyLease_t *self, int64_t now_ms, const EyStore_t *store)
{
    const EyLeaseRecord_t *record =
        EyStore_FindLease(store, self->options.name);
    if (record == NULL || (record->fencing == self->observed.fencing &&
                           record->renewals == self->observed.renewals))
    {
        return;
    }
    self->observed = *record;
    self->observed_ms = now_ms;
    if (self->fencing != 0 && record->fencing > self->fencing) {
        self->fencing = 0;
    }
}

static void
apply_result(EyLease_t *self, const EyCommandResult_t *result)
{
    if (result->status != EY_COMMAND_RESULT_DONE) {
        self->fencing = 0;
        return;
    }
    switch (self->pending_kind) {
    case EY_COMMAND_TAKE_LEASE:
        self->fencing = result->fencing;
        self->held_from_ms = self->proposed_ms;
        break;
    case EY_COMMAND_RENEW_LEASE:
        self->held_from_ms = self->proposed_ms;
        break;
    default:
        self->fencing = 0;
    }
}

void
EyLease_HandleOutcome(EyLease_t *self, int64_t now_ms, uint64_t number,
                      EyProposalOutcome_t outcome,
                      const EyCommandResult_t *result)
{
    if (number != self->pending_number) {
        return;
    }
    self->pending_number = 0;
    if (outcome == EY_PROPOSAL_APPLIED) {
        apply_result(self, result);
    }
    self->next_ms = MIN(self->next_ms, now_ms + EY_LEASE_DRIFT_MARGIN_MS);
}
