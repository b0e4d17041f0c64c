/**
 * The thread that runs the HTTP client for calls to backend servers. Commands
 * are posted to its mailbox; events are posted to the mailbox of its owner.
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

/** Starts an attempt and takes ownership of it. False if the thread's mailbox
 * is full: nothing was sent and the caller keeps the attempt. */
bool
EyOutbound_Send(EyOutbound_t *self, EyAttempt_t *attempt);

/** Cancels an attempt. Has no effect if the thread's mailbox is full; the
 * attempt then ends at its deadline. */
void
EyOutbound_Cancel(EyOutbound_t *self, uint64_t number);

/** Stops the thread and drops all attempts in flight. */
void
EyOutbound_Stop(EyOutbound_t *self);

#ifdef __cplusplus
}
#endif

#endif
