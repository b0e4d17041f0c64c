/**
 * Directing callers: which entry instances a caller is told to use. Answers
 * are in weighted random order, so that callers spread by capacity and load.
 * Weights fall at once when an instance leaves, quickly when it is overloaded
 * and rise slowly, and times to live differ, so that callers don't move all
 * together.
 */
#ifndef EY_MEMBERSHIP_DIRECTORY_H
#define EY_MEMBERSHIP_DIRECTORY_H

#include "core/types.h"
#include "membership/message.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Most instances in an answer. */
#define EY_DIRECTORY_ANSWER_MAX 16
/** Longest time to live of an answer. */
#define EY_DIRECTORY_TTL_MAX_MS 6000

/** An entry instance as this one sees it. */
typedef struct EyDirectoryInstance {
    EyName_t id;
    EyAddress_t address; /* of its HTTP interface */
    EyName_t region;
    EyName_t zone;
    EyMemberState_t state;
    bool suspect;
    uint32_t capacity;
    uint32_t load_per_mille;
} EyDirectoryInstance_t;

/** One line of an answer. */
typedef struct EyDirectoryEntry {
    EyName_t id;
    EyAddress_t address;
    EyName_t region;
    EyName_t zone;
    EyMemberState_t state;
    uint32_t weight; /* relative; 0: only if no other answers */
} EyDirectoryEntry_t;

typedef struct EyDirectory EyDirectory_t;

EyDirectory_t *
EyDirectory_New(const void *ctx, uint64_t seed);

/** All entry instances of the region, about every second. */
void
EyDirectory_Update(EyDirectory_t *self, int64_t now_ms,
                   const EyDirectoryInstance_t *instances, uint32_t count);

/** Fills entries, best first, for a caller in zone (empty: not known);
 * returns how many. */
uint32_t
EyDirectory_Choose(EyDirectory_t *self, const char *zone,
                   EyDirectoryEntry_t *entries, uint32_t count);

/** How long an answer holds; another for each. */
uint32_t
EyDirectory_TtlMs(EyDirectory_t *self);

/** The answer to GET /v1/instances; the caller owns the reference. */
json_t *
EyDirectory_Answer(EyDirectory_t *self, const char *zone);

/** The address of an instance to use instead of one that refuses; false if
 * there is none. */
bool
EyDirectory_FindAlternative(EyDirectory_t *self, const char *refusing_id,
                            EyAddress_t address);

/** State for a dump; the caller owns the reference. */
json_t *
EyDirectory_Dump(const EyDirectory_t *self);

#ifdef __cplusplus
}
#endif

#endif
