#include "core/clock.h"

#include <time.h>

static int64_t
read_us(clockid_t id)
{
    struct timespec now;
    (void)clock_gettime(id, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
EyClock_NowMs(void)
{
    return read_us(CLOCK_BOOTTIME) / 1000;
}

int64_t
EyClock_NowUs(void)
{
    return read_us(CLOCK_BOOTTIME);
}

int64_t
EyClock_WallMs(void)
{
    return read_us(CLOCK_REALTIME) / 1000;
}
