/**
 * Hands a store's changes on: to those that lately pulled at once, and to
 * anybody who pulls. Control processes and gateways both have one, so that
 * the configuration spreads as a tree with a bounded cost for each node.
 */
#ifndef EY_CONFIG_FEED_H
#define EY_CONFIG_FEED_H

#include "config/config_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most that get pushes from one feed; more may still pull. */
#define EY_FEED_SUBSCRIBERS_MAX 16
/** A pull subscribes for so long. */
#define EY_FEED_SUBSCRIBED_MS 3500

/** Sends a message to an instance. */
typedef void (*EyFeedSend_t)(void *data, const char *to,
                             const EyConfigMessage_t *message);

typedef struct EyFeedSubscriber {
    EyName_t id;
    int64_t ends_ms;
    uint64_t revision; /* what it should have by now */
} EyFeedSubscriber_t;

typedef struct EyFeed {
    EyCommand_t *recent; /* a ring by revision */
    uint64_t first;      /* revision of the oldest in the ring; 0: none */
    uint64_t last;
    EyFeedSubscriber_t subscribers[EY_FEED_SUBSCRIBERS_MAX];
    EyFeedSend_t send;
    void *data;
} EyFeed_t;

EyFeed_t *
EyFeed_New(const void *ctx, EyFeedSend_t send, void *data);

/** Remembers a command that made a revision; the groups' names are copied. */
void
EyFeed_Add(EyFeed_t *self, const EyCommand_t *command, uint64_t revision);

/** Forgets the commands, as the store was replaced by a snapshot. */
void
EyFeed_Clear(EyFeed_t *self);

/** Tells all subscribers what they lack, but not except (may be NULL). */
void
EyFeed_Push(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
            const char *except);

/** Answers a PULL of an instance and subscribes it. */
void
EyFeed_HandlePull(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
                  const char *from, const EyConfigMessage_t *pull);

#ifdef __cplusplus
}
#endif

#endif
