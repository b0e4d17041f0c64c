#include "core/random.h"

#include <stdlib.h>
#include <sys/random.h>

#define UNIT_SCALE 0x1.0p-53

EyRandom_t
EyRandom_Make(uint64_t seed)
{
    return (EyRandom_t){.state = seed};
}

/* splitmix64 */
uint64_t
EyRandom_Next(EyRandom_t *self)
{
    self->state += 0x9e3779b97f4a7c15U;
    uint64_t mixed = self->state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31);
}

uint64_t
EyRandom_Below(EyRandom_t *self, uint64_t limit)
{
    return EyRandom_Next(self) % limit;
}

double
EyRandom_Unit(EyRandom_t *self)
{
    return (double)(EyRandom_Next(self) >> 11) * UNIT_SCALE;
}

uint64_t
EyRandom_SystemSeed(void)
{
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed)) {
        abort();
    }
    return seed;
}
