/**
 * A lease from the replicated log, as one gateway sees it, and orders under
 * it. Pure; times are of the own monotonic clock.
 *
 * A holder counts the lease from before it sent the request that gained or
 * renewed it. Others count from when they saw that renewal, which is later,
 * and try to take the lease only after its whole duration and a margin for
 * clock drift; a renewal meanwhile makes their attempt fail in the log. So a
 * new holder begins when the old one has stopped by its own clock, which it
 * looks at before each order. A holder that was frozen finds its lease over.
 *
 * Orders bear the fencing number. An engine that checks it refuses what a
 * former holder sent late. For one that doesn't, a late order may still
 * arrive, so a holder restates the wanted state until the engine reports it,
 * and goes on looking.
 */
#ifndef EY_CONFIG_LEASE_H
#define EY_CONFIG_LEASE_H

#include "config/config_message.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_LEASE_DURATION_MS 6000
#define EY_LEASE_RENEW_MS 2000
/** Added by those who wait, for clocks that run at different rates. */
#define EY_LEASE_DRIFT_MARGIN_MS 600

typedef struct EyLeaseOptions {
    EyName_t name;
    EyName_t self;
    uint64_t incarnation;
} EyLeaseOptions_t;

typedef struct EyLeaseHooks {
    /** Proposes; EyLease_HandleOutcome follows with the same number. */
    void (*propose)(void *data, uint64_t number, const EyCommand_t *command);
    void *data;
} EyLeaseHooks_t;

typedef struct EyLease EyLease_t;

EyLease_t *
EyLease_New(const void *ctx, const EyLeaseOptions_t *options,
            const EyLeaseHooks_t *hooks, int64_t now_ms);

/** Whether this instance wants the lease; giving up releases it. */
void
EyLease_SetWanted(EyLease_t *self, int64_t now_ms, bool is_wanted);

/** The store changed: what it has of the lease. */
void
EyLease_Observe(EyLease_t *self, int64_t now_ms, const EyStore_t *store);

/** What became of a proposal. */
void
EyLease_HandleOutcome(EyLease_t *self, int64_t now_ms, uint64_t number,
                      EyProposalOutcome_t outcome,
                      const EyCommandResult_t *result);

void
EyLease_Tick(EyLease_t *self, int64_t now_ms);

int64_t
EyLease_DueMs(const EyLease_t *self);

/** The fencing number if an order may be sent now, else 0. Call before each
 * order, with the time read just then. */
uint64_t
EyLease_FencingToken(const EyLease_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
