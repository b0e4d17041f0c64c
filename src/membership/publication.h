/**
 * Publication of the region's gateways in the platform's directory for
 * clients: a state machine that decides when to push which list. One gateway
 * of a region publishes; the daemon executes the pushes and reports their
 * results.
 */
#ifndef EY_MEMBERSHIP_PUBLICATION_H
#define EY_MEMBERSHIP_PUBLICATION_H

#include "core/random.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Minimum time between pushes. */
#define EY_PUBLICATION_INTERVAL_MIN_MS 1000
/** Interval at which an unchanged list is pushed again. */
#define EY_PUBLICATION_REPEAT_MS 30000
/** Maximum back-off after failures. */
#define EY_PUBLICATION_RETRY_MAX_MS 15000
/** A push without a result after this time counts as failed. */
#define EY_PUBLICATION_TIMEOUT_MS 5000

typedef struct EyPublication {
    EyRandom_t random;
    bool publishes;          /* this gateway is the region's publisher */
    uint64_t wanted_hash;    /* hash of the list to be published */
    uint64_t published_hash; /* hash of the last accepted list; 0: none */
    uint64_t pushed_hash;    /* hash of the list being pushed */
    uint64_t number;         /* of the last push */
    bool is_pushing;
    uint32_t failures;   /* consecutive */
    int64_t pushed_ms;   /* start of the last push */
    int64_t earliest_ms; /* earliest start of the next push */
} EyPublication_t;

EyPublication_t
EyPublication_Make(uint64_t seed, int64_t now_ms);

/** Sets whether this gateway publishes; one that takes over pushes at once. */
void
EyPublication_SetPublisher(EyPublication_t *self, bool publishes);

/** Sets the hash of the list that clients should see. */
void
EyPublication_SetList(EyPublication_t *self, uint64_t list_hash);

/** True if the list is to be pushed now; number identifies the push. */
bool
EyPublication_Tick(EyPublication_t *self, int64_t now_ms, uint64_t *number);

/** Result of a push; results of earlier pushes are ignored. */
void
EyPublication_Done(EyPublication_t *self, uint64_t number, bool accepted,
                   int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
