/**
 * Idempotency keys. A plain key is chosen by the caller; an issued key is
 * created by the system and contains the region and the epoch of the group
 * that stores its record.
 */
#ifndef EY_IDEMPOTENCY_KEY_H
#define EY_IDEMPOTENCY_KEY_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Region and epoch of an issued key; a plain key has an empty region. */
typedef struct EyKeyOrigin {
    EyName_t region;
    uint64_t epoch;
} EyKeyOrigin_t;

/** True for 1 to 255 visible ASCII characters. */
bool
EyKey_IsValid(const char *key);

/**
 * Issues a key. It is unique by its 128 random bits, for which the caller uses
 * the system's random source (EyRandom_SystemSeed for each half).
 */
void
EyKey_Issue(const char *region, uint64_t epoch, uint64_t random_high,
            uint64_t random_low, EyKey_t key);

/** Parses the origin of an issued key; false for a plain key. */
bool
EyKey_Parse(const char *key, EyKeyOrigin_t *origin);

#ifdef __cplusplus
}
#endif

#endif
