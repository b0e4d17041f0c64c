/** RapidCheck inside Criterion: a failing property fails the test. */
#ifndef EY_TESTS_PROPERTY_CHECK_H
#define EY_TESTS_PROPERTY_CHECK_H

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>

/**
 * Sets the number of cases for the properties of this test, unless RC_PARAMS
 * sets it or reproduces a case; for faults that occur in few cases. Call it
 * before the first check.
 */
static inline void
Check_SetCaseCount(unsigned count)
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
 * Checks a property and fails the Criterion test if it doesn't hold. RC_PARAMS
 * sets the seed and the number of cases.
 */
#define EY_CHECK(description, ...)                                            \
    cr_assert(rc::check((description), __VA_ARGS__), "property failed: %s",   \
              (description))

#endif
