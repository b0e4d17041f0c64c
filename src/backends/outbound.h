/**
 * The thread for calls to backend servers. Orders go in through its mailbox;
 * events come out through the mailbox of whoever gave them.
 */
#ifndef EY_BACKENDS_OUTBOUND_H
#define EY_BACKENDS_OUTBOUND_H

#include "backends/client.h"
#include "core/mailbox.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyOutbound EyOutbound_t;

/** Starts the thread; EyAttemptEvent_t roots are posted to events. */
EyOutbound_t *
EyOutbound_Start(const void *ctx, EyMailbox_t *events);

/** Starts an attempt and takes it over; false, attempt kept, if the ring is
 * full: nothing was sent. */
bool
EyOutbound_Send(EyOutbound_t *self, EyAttempt_t *attempt);

/** Cancels an attempt. Lost if the ring is full: its deadline ends it. */
void
EyOutbound_Cancel(EyOutbound_t *self, uint64_t number);

/** Ends the thread, and with it all attempts in flight. */
void
EyOutbound_Stop(EyOutbound_t *self);

#ifdef __cplusplus
}
#endif

#endif
