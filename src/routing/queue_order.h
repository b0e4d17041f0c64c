/**
 * The order of queued calls for a target with predictive routing. Without
 * sockets, threads or clocks.
 *
 * Under sustained overload, earliest deadline first serves the oldest calls,
 * which are already late. So while the queue is overloaded for a call, that
 * is, its expected wait exceeds the call's objective, calls that can still
 * begin within their objective go before those that can't, within the same
 * urgency.
 */
#ifndef EY_ROUTING_QUEUE_ORDER_H
#define EY_ROUTING_QUEUE_ORDER_H

#include "routing/decision.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A large call that this many later ones of its urgency were served before
 * goes first. A gateway sends a target a few calls in the time of an
 * objective, so a larger bound would never be reached. */
#define EY_QUEUE_PASSED_MAX 4

/** The position of a call; compared field by field, smaller ones first. */
typedef struct EyQueueKey {
    uint32_t priority;
    bool is_late;   /* can't begin within its objective any more */
    int64_t due_ms; /* when it should begin, or when it can last */
    uint64_t number;
} EyQueueKey_t;

/** What the order depends on besides the call. */
typedef struct EyQueueState {
    int64_t now_ms;
    double wait_ms;    /* expected wait of a call that joins the queue's end */
    double large_work; /* calls with at least this work are large */
} EyQueueState_t;

/** The objective for the start of the answer; 0: none. */
uint32_t
EyRoutingRequest_ObjectiveMs(const EyRoutingRequest_t *self);

/** Until when the call should begin: the end of its objective, or its deadline
 * without one. */
int64_t
EyRoutingRequest_DueMs(const EyRoutingRequest_t *self, int64_t now_ms);

/** Until when the call can begin: until its caller leaves. */
int64_t
EyRoutingRequest_PatienceEndMs(const EyRoutingRequest_t *self);

/** The key of a call that takes run_ms to begin without a wait; passed: number
 * of later calls of its urgency that were served before it, if it is large. */
EyQueueKey_t
EyQueueKey_Make(const EyRoutingRequest_t *request, const EyQueueState_t *state,
                double run_ms, uint32_t passed);

/** Negative, 0 or positive. */
int
EyQueueKey_Compare(const EyQueueKey_t *self, const EyQueueKey_t *other);

#ifdef __cplusplus
}
#endif

#endif
