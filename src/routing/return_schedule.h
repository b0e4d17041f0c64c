/**
 * When refused callers of a target return. The n-th one since the queue was
 * last empty is told the time at which n calls will have been served, so that
 * returns spread over the time in which capacity frees up. For a part of them
 * a place is kept at that time. Without sockets, threads or clocks.
 */
#ifndef EY_ROUTING_RETURN_SCHEDULE_H
#define EY_ROUTING_RETURN_SCHEDULE_H

#include "core/random.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most refused calls that are remembered; the oldest ones are forgotten. */
#define EY_RETURNS_MAX 1024

typedef struct EyReturnSchedule EyReturnSchedule_t;

/** A call that is refused. */
typedef struct EyRefusedCall {
    uint64_t key;        /* equal for the returning call; 0: unknown */
    int64_t arrived_ms;  /* its first attempt */
    int64_t left_ms;     /* until its deadline */
    double wait_ms;      /* until the calls queued now are served */
    double calls_per_ms; /* rate at which calls are served */
} EyRefusedCall_t;

EyReturnSchedule_t *
EyReturnSchedule_New(const void *ctx);

/** Returns the time in ms after which the refused caller shall return: at most
 * a third of the time that it has left, as callers wait no longer. */
uint32_t
EyReturnSchedule_Refuse(EyReturnSchedule_t *self, int64_t now_ms,
                        const EyRefusedCall_t *call, EyRandom_t *random);

/** What is known of a call that may have been refused before. */
typedef struct EyReturn {
    bool is_return;     /* it was, and is back after its Retry-After */
    bool has_place;     /* and a place was kept for it */
    int64_t arrived_ms; /* its first attempt, if it is back */
} EyReturn_t;

/** Looks the call with that key up and takes its place. */
EyReturn_t
EyReturnSchedule_Return(EyReturnSchedule_t *self, int64_t now_ms,
                        uint64_t key);

/** Number of kept places that are due now and not taken yet. */
uint32_t
EyReturnSchedule_DuePlaces(EyReturnSchedule_t *self, int64_t now_ms);

/** The queue is empty: the next refused caller is the first again. */
void
EyReturnSchedule_NoteEmptyQueue(EyReturnSchedule_t *self);

#ifdef __cplusplus
}
#endif

#endif
