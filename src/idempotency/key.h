/**
 * Idempotency keys: the caller's own, or issued by the system with the region
 * and the epoch of the group that keeps their records.
 */
#ifndef EY_IDEMPOTENCY_KEY_H
#define EY_IDEMPOTENCY_KEY_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What an issued key says; a plain key has an empty region. */
typedef struct EyKeyOrigin {
    EyName_t region;
    uint64_t epoch;
} EyKeyOrigin_t;

/** True for 1 to 255 visible ASCII characters. */
bool
EyKey_IsValid(const char *key);

/**
 * Issues a key, unique by 128 bits that the caller takes from the system's
 * random source (EyRandom_SystemSeed for each half).
 */
void
EyKey_Issue(const char *region, uint64_t epoch, uint64_t random_high,
            uint64_t random_low, EyKey_t key);

/** Reads the origin; false for a plain key. */
bool
EyKey_Parse(const char *key, EyKeyOrigin_t *origin);

#ifdef __cplusplus
}
#endif

#endif
