/**
 * Assigns callers to gateways. Answers list gateways in weighted random order,
 * so that callers spread by capacity and load. A weight drops to zero at once
 * when an instance leaves, decreases quickly under overload and increases
 * slowly; times to live vary, so that callers don't all move at the same time.
 */
#ifndef EY_MEMBERSHIP_DIRECTORY_H
#define EY_MEMBERSHIP_DIRECTORY_H

#include "core/types.h"
#include "membership/message.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of instances in an answer. */
#define EY_DIRECTORY_ANSWER_MAX 16
/** Maximum time to live of an answer. */
#define EY_DIRECTORY_TTL_MAX_MS 6000

/** A gateway as this instance sees it. */
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

/** One instance in an answer. */
typedef struct EyDirectoryEntry {
    EyName_t id;
    EyAddress_t address;
    EyName_t region;
    EyName_t zone;
    EyMemberState_t state;
    uint32_t weight; /* relative; 0: if no other instance answers */
} EyDirectoryEntry_t;

typedef struct EyDirectory EyDirectory_t;

EyDirectory_t *
EyDirectory_New(const void *ctx, uint64_t seed);

/** Takes all gateways of the region; to be called about every second. */
void
EyDirectory_Update(EyDirectory_t *self, int64_t now_ms,
                   const EyDirectoryInstance_t *instances, uint32_t count);

/** Fills entries in order of preference for a caller in zone (empty: not
 * known) and returns their number. */
uint32_t
EyDirectory_Choose(EyDirectory_t *self, const char *zone,
                   EyDirectoryEntry_t *entries, uint32_t count);

/** Random time to live of one answer. */
uint32_t
EyDirectory_TtlMs(EyDirectory_t *self);

/** The answer to GET /v1/instances; the caller owns the reference. */
json_t *
EyDirectory_Answer(EyDirectory_t *self, const char *zone);

/** Copies the address of another instance, for a caller refused by the
 * instance refusing_id; false if there is none. */
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
