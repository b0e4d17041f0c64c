/**
 * Sends a store's changes to other instances: at once to subscribers, which
 * are instances that pulled recently, and in answer to any pull. Control
 * processes and gateways both have one, so that the configuration is
 * distributed as a tree with a bounded cost for each node.
 *
 * An instance is a subscriber of several feeds, which all tell it of a change.
 * A change of more than EY_PUSH_UNASKED_MAX_BYTES is therefore only announced;
 * its receiver asks one of them for it.
 */
#ifndef EY_CONFIG_FEED_H
#define EY_CONFIG_FEED_H

#include "config/config_message.h"
#include "config/freshness.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Subscribers aren't notified again of the same zone for this time. */
#define EY_FEED_RESTORING_MS 1000

/** Most subscribers of one feed; further instances may still pull. */
#define EY_FEED_SUBSCRIBERS_MAX 16
/** Duration of the subscription that a pull makes or renews. */
#define EY_FEED_SUBSCRIPTION_MS 3500

/** Total size of the route tables among the kept commands. */
#define EY_FEED_DOCUMENTS_MAX_BYTES (UINT64_C(4) * 1024 * 1024)

/** Sends a message to an instance. */
typedef void (*EyFeedSend_t)(void *data, const char *to,
                             const EyConfigMessage_t *message);

typedef struct EyFeedSubscriber {
    EyName_t id;
    int64_t ends_ms;
    uint64_t revision;       /* revision that it has if no push was lost */
    uint64_t controls_index; /* of its set of control processes, likewise */
    bool is_below;           /* in the tree: other gateways rely on it, so it
                                goes before subscribers that aren't */
} EyFeedSubscriber_t;

typedef struct EyFeed {
    EyCommand_t *recent;      /* ring buffer, indexed by revision */
    uint64_t first;           /* revision of the oldest command; 0: none */
    uint64_t last;            /* revision of the newest command */
    uint64_t documents_bytes; /* size of the route tables among them */
    EyFeedSubscriber_t subscribers[EY_FEED_SUBSCRIBERS_MAX];
    bool tells_freshness;    /* else each push is like an older build's */
    EyFreshness_t freshness; /* of the store */
    bool awaits_leader;      /* as in EyConfigMessage_t */
    bool hears_majority;     /* likewise */
    EyControlSet_t controls; /* the newest that is known */
    EyName_t restoring;      /* zone of the last notification */
    int64_t restoring_ms;    /* when */
    EyFeedSend_t send;
    void *data;
} EyFeed_t;

EyFeed_t *
EyFeed_New(const void *ctx, EyFeedSend_t send, void *data);

/** Adds a deep copy of the command that led to a revision. */
void
EyFeed_Add(EyFeed_t *self, const EyCommand_t *command, uint64_t revision);

/** Sets up to when the store that is sent from now on is known to hold all
 * acknowledged changes. */
void
EyFeed_SetFreshness(EyFeed_t *self, const EyFreshness_t *freshness);

/** True if pushes at this time mark the store as confirmed. */
bool
EyFeed_IsConfirmed(const EyFeed_t *self, int64_t now_ms);

/** Takes over a copy of a newer set of control processes, which subscribers
 * get with the next push; returns true if it is newer. */
bool
EyFeed_SetControls(EyFeed_t *self, const EyControlSet_t *controls);

/** Drops the commands; to be called when a snapshot replaces the store. */
void
EyFeed_Clear(EyFeed_t *self);

/** Sends all subscribers but except (may be NULL) the commands that they
 * lack. */
void
EyFeed_Push(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
            const char *except);

/** Notifies all subscribers but except (may be NULL) that the end of a zone's
 * evacuation has been ordered; returns false if it did so within
 * EY_FEED_RESTORING_MS. */
bool
EyFeed_NotifyRestoring(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
                       const char *except, const char *zone);

/** Answers a PULL from an instance and subscribes the instance. */
void
EyFeed_HandlePull(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
                  const char *from, const EyConfigMessage_t *pull);

#ifdef __cplusplus
}
#endif

#endif
