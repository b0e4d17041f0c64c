/**
 * Requests of one target that wait for a replica: bounded, earliest deadline
 * first.
 */
#ifndef EY_ROUTING_ADMISSION_QUEUE_H
#define EY_ROUTING_ADMISSION_QUEUE_H

#include "routing/decision.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** One that waits; owned by the queue. */
typedef struct EyWaiting {
    EyRoutingRequest_t *request;
    double work;
    double run_ms; /* expected time once it runs */
} EyWaiting_t;

typedef struct EyAdmissionQueue {
    GSequence *waiting; /* of EyWaiting_t */
    double work;        /* of all of them */
} EyAdmissionQueue_t;

/** An empty queue below ctx. */
EyAdmissionQueue_t *
EyAdmissionQueue_New(const void *ctx);

uint32_t
EyAdmissionQueue_Length(const EyAdmissionQueue_t *self);

/** Adds a copy of the request; the result stays valid until it is removed. */
GSequenceIter *
EyAdmissionQueue_Add(EyAdmissionQueue_t *self,
                     const EyRoutingRequest_t *request, double work,
                     double run_ms);

void
EyAdmissionQueue_Remove(EyAdmissionQueue_t *self, GSequenceIter *place);

/** The one with the earliest deadline, or NULL. */
const EyWaiting_t *
EyAdmissionQueue_First(const EyAdmissionQueue_t *self);

/** Work that goes before a request with that deadline. */
double
EyAdmissionQueue_WorkAhead(const EyAdmissionQueue_t *self,
                           int64_t deadline_ms);

/**
 * True if work with that deadline may be put in without making any that waits
 * behind it miss a deadline that it would meet otherwise; the queue drains at
 * work_per_ms.
 */
bool
EyAdmissionQueue_MayPutIn(const EyAdmissionQueue_t *self, int64_t now_ms,
                          int64_t deadline_ms, double work,
                          double work_per_ms);

#ifdef __cplusplus
}
#endif

#endif
