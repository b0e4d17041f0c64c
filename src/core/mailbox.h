/**
 * A bounded ring of messages into one thread, from any number of others.
 * A message is a talloc root; posting hands the whole root over. A full ring
 * is backpressure: the poster keeps the message and must refuse its work.
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

/** Takes one message over; called in the reader's thread. */
typedef void (*EyMailboxHandler_t)(void *data, void *message);

/** A mailbox for capacity messages; capacity must be a power of two. */
EyMailbox_t *
EyMailbox_New(const void *ctx, uint32_t capacity);

/** Posts a message from any thread; false, message kept, if it is full. */
bool
EyMailbox_Post(EyMailbox_t *self, void *message);

/**
 * Posts a message from any thread, waiting while the mailbox is full. Only
 * for messages that must arrive, to a reader that never waits for the poster.
 */
void
EyMailbox_PostWait(EyMailbox_t *self, void *message);

/** The next message, or NULL; the reader's thread only. */
void *
EyMailbox_Take(EyMailbox_t *self);

/** A descriptor that is readable while messages may wait. */
int
EyMailbox_Descriptor(const EyMailbox_t *self);

/** Clears the descriptor; call before taking messages until NULL comes. */
void
EyMailbox_Acknowledge(EyMailbox_t *self);

/** Hands each message to handler on the loop's thread. */
void
EyMailbox_Attach(EyMailbox_t *self, struct tevent_context *loop,
                 EyMailboxHandler_t handler, void *data);

/** Ends EyMailbox_Attach; on the loop's thread, before its loop is freed. */
void
EyMailbox_Detach(EyMailbox_t *self);

/** Messages that wait, for dumps; may be old by the time it is read. */
uint32_t
EyMailbox_Length(const EyMailbox_t *self);

#ifdef __cplusplus
}
#endif

#endif
