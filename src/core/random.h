/** A seeded pseudo-random generator, so that runs are reproducible. Not for
 * cryptographic use. */
#ifndef EY_CORE_RANDOM_H
#define EY_CORE_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRandom {
    uint64_t state;
} EyRandom_t;

/** Creates a generator; the same seed gives the same sequence. */
EyRandom_t
EyRandom_Make(uint64_t seed);

uint64_t
EyRandom_Next(EyRandom_t *self);

/** A number in [0, limit); limit must not be 0. */
uint64_t
EyRandom_Below(EyRandom_t *self, uint64_t limit);

/** A number in [0.0, 1.0). */
double
EyRandom_Unit(EyRandom_t *self);

/** A seed from the operating system, also used as an incarnation. */
uint64_t
EyRandom_SystemSeed(void);

#ifdef __cplusplus
}
#endif

#endif
