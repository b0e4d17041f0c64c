#include "node/descriptors.h"

#include "callers/server.h"

#include <sys/resource.h>

/* For files, listening sockets, and connections between instances. */
#define OWN_DESCRIPTORS 128
/* More are of no use: both listeners' connections, and as many to servers. */
#define RAISED_MAX 65536
/* With fewer descriptors than these no limit of connections helps. */
#define CALLERS_MIN 16

uint64_t
EyDescriptors_Raise(void)
{
    struct rlimit limit = {.rlim_cur = 0};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 0;
    }
    rlim_t wanted = limit.rlim_max < RAISED_MAX ? limit.rlim_max : RAISED_MAX;
    if (limit.rlim_cur >= wanted) {
        return limit.rlim_cur;
    }
    const struct rlimit raised = {.rlim_cur = wanted,
                                  .rlim_max = limit.rlim_max};
    return setrlimit(RLIMIT_NOFILE, &raised) == 0 ? raised.rlim_cur
                                                  : limit.rlim_cur;
}

uint32_t
EyDescriptors_CallersMax(uint64_t limit)
{
    uint64_t callers =
        limit > OWN_DESCRIPTORS ? (limit - OWN_DESCRIPTORS) / 2 : 0;
    if (callers < CALLERS_MIN) {
        return CALLERS_MIN;
    }
    return callers < EY_SERVER_CONNECTIONS_MAX ? (uint32_t)callers
                                               : EY_SERVER_CONNECTIONS_MAX;
}
