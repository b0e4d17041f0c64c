/**
 * Estimates how late messages of other instances are, including the time that
 * they wait in queues of both processes. Clocks of two machines aren't
 * synchronized: the smallest recent difference between the receiver's time and
 * the sender's time is taken as the baseline, and a message is late by what
 * its own difference exceeds that.
 */
#ifndef EY_INSTANCES_MESSAGE_DELAYS_H
#define EY_INSTANCES_MESSAGE_DELAYS_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The fastest message is forgotten after one to two of these, as the ways
 * between instances change. */
#define EY_MESSAGE_DELAYS_WINDOW_MS INT64_C(60000)
/** Most instances that are remembered. */
#define EY_MESSAGE_DELAYS_INSTANCES_MAX 2048

typedef struct EyMessageDelays EyMessageDelays_t;

EyMessageDelays_t *
EyMessageDelays_New(const void *ctx);

/** Counts a message that an instance sent at sent_ms of its own clock, and
 * returns how late it is in milliseconds; 0 if that isn't known: sent_ms is 0,
 * or it is the first message of this incarnation. */
int64_t
EyMessageDelays_Add(EyMessageDelays_t *self, int64_t now_ms, const char *from,
                    uint64_t incarnation, int64_t sent_ms);

#ifdef __cplusplus
}
#endif

#endif
