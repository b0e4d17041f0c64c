/** RapidCheck inside Criterion: a failing property fails the test. */
#ifndef EY_TESTS_PROPERTY_CHECK_H
#define EY_TESTS_PROPERTY_CHECK_H

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>

/**
 * Has this test's properties run so many cases, unless RC_PARAMS says how
 * many; for faults that few cases show. To be called before the first check.
 */
static inline void
Check_Cases(unsigned count)
{
    const char *given = std::getenv("RC_PARAMS");
    std::string params = given != nullptr ? given : "";
    if (params.find("max_success") == std::string::npos &&
        params.find("reproduce") == std::string::npos)
    {
        params += " max_success=" + std::to_string(count);
        (void)setenv("RC_PARAMS", params.c_str(), 1);
    }
}

/**
 * Checks a property and fails the Criterion test if it doesn't hold. The
 * seed and the count of cases come from RC_PARAMS.
 */
#define EY_CHECK(description, ...)                                            \
    cr_assert(rc::check((description), __VA_ARGS__), "property failed: %s",   \
              (description))

#endif
