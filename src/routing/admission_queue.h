/**
 * The admission queue of one target: requests waiting for a replica, bounded
 * in number and ordered by earliest deadline first, or, for a target with
 * predictive routing, as queue_order.h says.
 */
#ifndef EY_ROUTING_ADMISSION_QUEUE_H
#define EY_ROUTING_ADMISSION_QUEUE_H

#include "routing/queue_order.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A queued request; owned by the queue. */
typedef struct EyQueuedRequest {
    EyRoutingRequest_t *request;
    double work;
    double run_ms;    /* expected time on a replica, without waiting */
    EyQueueKey_t key; /* of an ordered queue */
    uint32_t passed;  /* if it is large: later ones of its urgency that were
                         served first */
    int64_t held_ms;  /* since when others wait for it; 0: they don't */
} EyQueuedRequest_t;

typedef struct EyAdmissionQueue {
    GSequence *waiting;   /* of EyQueuedRequest_t, by deadline */
    double work;          /* sum over the queued requests */
    bool is_ordered;      /* by their keys, not by deadline */
    EyQueueState_t state; /* that the keys were made with */
} EyAdmissionQueue_t;

/** Makes an empty queue as a talloc child of ctx. */
EyAdmissionQueue_t *
EyAdmissionQueue_New(const void *ctx);

uint32_t
EyAdmissionQueue_Length(const EyAdmissionQueue_t *self);

/** Adds a copy of the request; the returned iterator stays valid until the
 * request is removed. */
GSequenceIter *
EyAdmissionQueue_Add(EyAdmissionQueue_t *self,
                     const EyRoutingRequest_t *request, double work,
                     double run_ms);

void
EyAdmissionQueue_Remove(EyAdmissionQueue_t *self, GSequenceIter *position);

/** Orders the requests by their keys in this state, from now on. */
void
EyAdmissionQueue_Order(EyAdmissionQueue_t *self, const EyQueueState_t *state);

/** Orders the requests by deadline, from now on. */
void
EyAdmissionQueue_OrderByDeadline(EyAdmissionQueue_t *self);

/** Work queued before a call with that key. */
double
EyAdmissionQueue_WorkBefore(const EyAdmissionQueue_t *self,
                            const EyQueueKey_t *key);

/** A request was sent: counts it for the large ones of its urgency that
 * arrived before it and still wait. */
void
EyAdmissionQueue_NotePassed(EyAdmissionQueue_t *self,
                            const EyRoutingRequest_t *sent);

/** The first request, that with the earliest deadline unless the queue is
 * ordered by keys; or NULL. */
const EyQueuedRequest_t *
EyAdmissionQueue_First(const EyAdmissionQueue_t *self);

/** Work queued ahead of a request with that deadline. */
double
EyAdmissionQueue_WorkAhead(const EyAdmissionQueue_t *self,
                           int64_t deadline_ms);

/**
 * True if work with that deadline may be inserted without making any queued
 * request with a later deadline miss it that would meet it otherwise. The
 * queue drains at work_per_ms.
 */
bool
EyAdmissionQueue_MayInsert(const EyAdmissionQueue_t *self, int64_t now_ms,
                           int64_t deadline_ms, double work,
                           double work_per_ms);

#ifdef __cplusplus
}
#endif

#endif
