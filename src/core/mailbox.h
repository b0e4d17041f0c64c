/**
 * A bounded queue of messages with many producer threads and one consumer.
 * A message is a talloc root; posting transfers its ownership. A full queue
 * exerts backpressure: the producer keeps the message and must refuse the
 * work that it stands for.
 */
#ifndef EY_CORE_MAILBOX_H
#define EY_CORE_MAILBOX_H

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyMailbox EyMailbox_t;

/** Takes ownership of one message; called on the consumer's thread. */
typedef void (*EyMailboxHandler_t)(void *data, void *message);

/** Creates a mailbox for capacity messages; capacity must be a power of two.
 */
EyMailbox_t *
EyMailbox_New(const void *ctx, uint32_t capacity);

/** Posts a message from any thread. False if the mailbox is full; the caller
 * then still owns the message. */
bool
EyMailbox_Post(EyMailbox_t *self, void *message);

/**
 * Posts a message from any thread, waiting while the mailbox is full. Only
 * for messages that must be delivered, and only if the consumer never waits
 * for the caller, as that would deadlock.
 */
void
EyMailbox_PostWait(EyMailbox_t *self, void *message);

/** As EyMailbox_PostWait, but gives up once *is_stopping, read atomically, is
 * set while the mailbox is full. False: the caller then still owns the
 * message. */
bool
EyMailbox_PostUntil(EyMailbox_t *self, void *message, const bool *is_stopping);

/** The next message, or NULL; on the consumer's thread only. */
void *
EyMailbox_Take(EyMailbox_t *self);

/** A file descriptor that is readable while messages may be queued. */
int
EyMailbox_Descriptor(const EyMailbox_t *self);

/** Clears the descriptor. Call it first, then take messages until NULL. */
void
EyMailbox_Acknowledge(EyMailbox_t *self);

/** Calls handler with each message, on the loop's thread. */
void
EyMailbox_Attach(EyMailbox_t *self, struct tevent_context *loop,
                 EyMailboxHandler_t handler, void *data);

/** Undoes EyMailbox_Attach; on the loop's thread, before the loop is freed. */
void
EyMailbox_Detach(EyMailbox_t *self);

/** Number of queued messages, for state dumps; may be out of date. */
uint32_t
EyMailbox_Length(const EyMailbox_t *self);

#ifdef __cplusplus
}
#endif

#endif
