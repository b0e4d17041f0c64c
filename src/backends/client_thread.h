/**
 * The thread that runs the HTTP client for calls to backend servers. Commands
 * are posted to its mailbox; events are posted to the mailbox of its owner.
 */
#ifndef EY_BACKENDS_CLIENT_THREAD_H
#define EY_BACKENDS_CLIENT_THREAD_H

#include "backends/client.h"
#include "core/mailbox.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyClientThread EyClientThread_t;

/** Starts the thread; EyAttemptEvent_t roots are posted to events. */
EyClientThread_t *
EyClientThread_Start(const void *ctx, EyMailbox_t *events);

/** Starts an attempt and takes ownership of it. False if the thread's mailbox
 * is full: nothing was sent and the caller keeps the attempt. */
bool
EyClientThread_Send(EyClientThread_t *self, EyAttempt_t *attempt);

/** Cancels an attempt. Has no effect if the thread's mailbox is full; the
 * attempt then ends at its deadline. */
void
EyClientThread_Cancel(EyClientThread_t *self, uint64_t number);

/** Cancels an attempt unless the head of its answer has been read; otherwise
 * like EyClientThread_Cancel. */
void
EyClientThread_CancelUnanswered(EyClientThread_t *self, uint64_t number);

/** Stops the thread and drops all attempts in flight. */
void
EyClientThread_Stop(EyClientThread_t *self);

#ifdef __cplusplus
}
#endif

#endif
