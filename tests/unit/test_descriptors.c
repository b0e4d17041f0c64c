#include "callers/server.h"
#include "node/descriptors.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

Test(descriptors, half_of_them_are_left_for_servers)
{
    static const struct {
        uint64_t limit;
        uint32_t callers;
    } Cases[] = {
        {0, 16},
        {128, 16},
        {1024, 448},
        {4096, 1984},
        {20000, EY_SERVER_CONNECTIONS_MAX},
        {RLIM_INFINITY, EY_SERVER_CONNECTIONS_MAX},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        cr_expect_eq(EyDescriptors_CallersMax(Cases[i].limit),
                     Cases[i].callers, "%llu",
                     (unsigned long long)Cases[i].limit);
    }
}

Test(descriptors, the_soft_limit_is_raised_to_the_hard_one)
{
    struct rlimit limit = {.rlim_cur = 0};
    cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    limit.rlim_cur = limit.rlim_max < 100 ? limit.rlim_max : 100;
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
    rlim_t wanted = limit.rlim_max < 65536 ? limit.rlim_max : 65536;
    cr_expect_eq(EyDescriptors_Raise(), wanted);
    cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    cr_expect_eq(limit.rlim_cur, wanted);
}
