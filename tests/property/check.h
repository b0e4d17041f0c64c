/** RapidCheck inside Criterion: a failing property fails the test. */
#ifndef EY_TESTS_PROPERTY_CHECK_H
#define EY_TESTS_PROPERTY_CHECK_H

#include <criterion/criterion.h>
#include <rapidcheck.h>

/**
 * Checks a property and fails the Criterion test if it doesn't hold. The
 * seed and the count of cases come from RC_PARAMS.
 */
#define EY_CHECK(description, ...)                                            \
    cr_assert(rc::check((description), __VA_ARGS__), "property failed: %s",   \
              (description))

#endif
