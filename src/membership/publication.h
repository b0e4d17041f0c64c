/**
 * Publication of the entry list in the platform's directory for clients: when
 * to push what, as a state machine. One gateway of a region publishes; the
 * daemon carries the push out and says what came of it.
 */
#ifndef EY_MEMBERSHIP_PUBLICATION_H
#define EY_MEMBERSHIP_PUBLICATION_H

#include "core/random.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Pushes are at least this far apart. */
#define EY_PUBLICATION_INTERVAL_MIN_MS 1000
/** An unchanged list is pushed again so often. */
#define EY_PUBLICATION_REPEAT_MS 30000
/** Longest wait after failures. */
#define EY_PUBLICATION_RETRY_MAX_MS 15000
/** A push that has no result by then counts as failed. */
#define EY_PUBLICATION_TIMEOUT_MS 5000

typedef struct EyPublication {
    EyRandom_t random;
    bool publishes;       /* this gateway is the one that does */
    uint64_t wanted_hash; /* a hash of the list that is to be published_hash */
    uint64_t published_hash; /* of the one that was last accepted; 0: none */
    uint64_t pushed_hash;    /* of the one on its way */
    uint64_t number;         /* of the last push */
    bool is_pushing;
    uint32_t failures;   /* in a row */
    int64_t pushed_ms;   /* when the last push began */
    int64_t earliest_ms; /* of the next one */
} EyPublication_t;

EyPublication_t
EyPublication_Make(uint64_t seed, int64_t now_ms);

/** Whether this gateway publishes; one that takes over pushes at once. */
void
EyPublication_SetPublisher(EyPublication_t *self, bool publishes);

/** A hash of the list that is to be seen by clients. */
void
EyPublication_SetList(EyPublication_t *self, uint64_t list_hash);

/** True if the list is to be pushed now; number names the push. */
bool
EyPublication_Tick(EyPublication_t *self, int64_t now_ms, uint64_t *number);

/** The result of a push; those of earlier pushes are ignored. */
void
EyPublication_Done(EyPublication_t *self, uint64_t number, bool accepted,
                   int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
