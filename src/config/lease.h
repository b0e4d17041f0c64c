/**
 * One gateway's view of a lease in the replicated log. It does no I/O; times
 * are of the local monotonic clock.
 *
 * A holder counts the lease from the time at which it sent the request that
 * acquired or renewed it. Others count from when they observed that renewal,
 * which is later, and try to acquire the lease only after its whole duration
 * and a margin for clock drift; if it is renewed meanwhile, the store rejects
 * their attempt. So a new holder starts only after the old one has stopped
 * by its own clock, which it checks before each message to an engine. A
 * holder that was paused finds that its lease has expired.
 *
 * Messages to engines carry the fencing token. An engine that checks it
 * refuses late messages from a former holder. At an engine that doesn't, a
 * late message may still take effect, so a holder resends the desired state
 * until the engine reports it, and checks later reports too.
 */
#ifndef EY_CONFIG_LEASE_H
#define EY_CONFIG_LEASE_H

#include "config/config_message.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_LEASE_DURATION_MS 6000
#define EY_LEASE_RENEW_MS 2000
/** Added to the duration by an instance that waits for the lease, for clocks
 * that run at different rates. */
#define EY_LEASE_DRIFT_MARGIN_MS 600

typedef struct EyLeaseOptions {
    EyName_t name;
    EyName_t self;
    uint64_t incarnation;
} EyLeaseOptions_t;

typedef struct EyLeaseHooks {
    /** Proposes a command; the caller reports its outcome to
     * EyLease_HandleOutcome with the same number. */
    void (*propose)(void *data, uint64_t number, const EyCommand_t *command);
    void *data;
} EyLeaseHooks_t;

typedef struct EyLease EyLease_t;

EyLease_t *
EyLease_New(const void *ctx, const EyLeaseOptions_t *options,
            const EyLeaseHooks_t *hooks, int64_t now_ms);

/** Sets whether this instance wants the lease; if not, releases it. */
void
EyLease_SetWanted(EyLease_t *self, int64_t now_ms, bool is_wanted);

/** Updates the lease's record from the store; call when the store changed. */
void
EyLease_Observe(EyLease_t *self, int64_t now_ms, const EyStore_t *store);

/** Handles the outcome of a proposal. */
void
EyLease_HandleOutcome(EyLease_t *self, int64_t now_ms, uint64_t number,
                      EyProposalOutcome_t outcome,
                      const EyCommandResult_t *result);

void
EyLease_Tick(EyLease_t *self, int64_t now_ms);

int64_t
EyLease_DueMs(const EyLease_t *self);

/** Returns the fencing token if this instance holds the lease now, else 0.
 * Call before each message to an engine, with the time read just then. */
uint64_t
EyLease_FencingToken(const EyLease_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
