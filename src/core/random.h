/** A seeded random source, so that a run can be repeated. Not for keys. */
#ifndef EY_CORE_RANDOM_H
#define EY_CORE_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRandom {
    uint64_t state;
} EyRandom_t;

/** A source that gives the same numbers for the same seed. */
EyRandom_t
EyRandom_Make(uint64_t seed);

uint64_t
EyRandom_Next(EyRandom_t *self);

/** A number below limit; limit must not be 0. */
uint64_t
EyRandom_Below(EyRandom_t *self, uint64_t limit);

/** A number from 0.0 to below 1.0. */
double
EyRandom_Unit(EyRandom_t *self);

/** A seed from the operating system, for daemons and incarnations. */
uint64_t
EyRandom_SystemSeed(void);

#ifdef __cplusplus
}
#endif

#endif
