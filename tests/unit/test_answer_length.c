/* Learned lengths of answers. */
#include "core/memory.h"
#include "core/random.h"
#include "routing/answer_length.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>

static double
normal(EyRandom_t *random)
{
    double one = EyRandom_Unit(random) + 1e-12;
    return sqrt(-2.0 * log(one)) * cos(2.0 * G_PI * EyRandom_Unit(random));
}

typedef struct LengthCase {
    const char *name;
    double median; /* of the lengths */
    double spread;
    double hint_spread; /* of hint to length; below 0: no hints */
    double hint_bias;   /* factor that all hints are off by */
} LengthCase_t;

static const LengthCase_t LengthCases[] = {
    {"without hints", 300.0, 1.0, -1.0, 1.0},
    {"short answers", 20.0, 0.5, -1.0, 1.0},
    {"inexact hints", 300.0, 1.0, 0.6, 1.0},
    {"hints of half the length", 300.0, 1.0, 0.3, 0.5},
};

static double
draw(EyRandom_t *random, const LengthCase_t *c, EyLengthTerms_t *terms)
{
    double tokens = c->median * exp(c->spread * normal(random));
    if (c->hint_spread >= 0.0) {
        terms->hint = 1 + (uint32_t)(tokens * c->hint_bias *
                                     exp(c->hint_spread * normal(random)));
    }
    return tokens;
}

/* Placement by wrong lengths is as blind as placement without them: a half of
 * the answers must be longer than the learned median, a tenth longer than the
 * 90th percentile. */
Test(answer_length, medians_and_tails_are_learned)
{
    for (size_t i = 0; i < G_N_ELEMENTS(LengthCases); i++) {
        const LengthCase_t *c = &LengthCases[i];
        EyAnswerLengths_t *lengths = EyAnswerLengths_New(NULL);
        EyRandom_t random = EyRandom_Make(i + 1);
        EyLengthTerms_t terms = {.key = 5};
        uint32_t above_median = 0;
        uint32_t above_p90 = 0;
        enum { LEARNED = 200, SAMPLES = 2000 };
        for (uint32_t j = 0; j < LEARNED + SAMPLES; j++) {
            double tokens = draw(&random, c, &terms);
            EyLengthEstimate_t estimate =
                EyAnswerLengths_Estimate(lengths, &terms);
            if (j >= LEARNED) {
                above_median += tokens > EyLengthEstimate_Median(&estimate);
                above_p90 += tokens > EyLengthEstimate_P90(&estimate);
            }
            EyAnswerLengths_Learn(lengths, &terms, tokens);
        }
        cr_expect_float_eq((double)above_median / SAMPLES, 0.5, 0.07, "%s: %u",
                           c->name, above_median);
        cr_expect_float_eq((double)above_p90 / SAMPLES, 0.1, 0.05, "%s: %u",
                           c->name, above_p90);
        talloc_free(lengths);
    }
}

/* Routes with answers of 2 events and of 112 events are told apart. */
Test(answer_length, keys_are_learned_apart)
{
    EyAnswerLengths_t *lengths = EyAnswerLengths_New(NULL);
    const EyLengthTerms_t brief = {.key = 1};
    const EyLengthTerms_t lengthy = {.key = 2};
    for (uint32_t i = 0; i < 30; i++) {
        EyAnswerLengths_Learn(lengths, &brief, 20.0);
        EyAnswerLengths_Learn(lengths, &lengthy, 1120.0);
    }
    EyLengthEstimate_t of_brief = EyAnswerLengths_Estimate(lengths, &brief);
    EyLengthEstimate_t of_lengthy =
        EyAnswerLengths_Estimate(lengths, &lengthy);
    cr_expect_lt(EyLengthEstimate_Median(&of_brief), 40.0);
    cr_expect_gt(EyLengthEstimate_Median(&of_lengthy), 560.0);
    talloc_free(lengths);
}

/* A run that turns out long must not count as nearly done for ever. */
Test(answer_length, a_long_run_has_more_left_the_longer_it_is)
{
    const EyLengthEstimate_t estimate = {
        .log_median = log(300.0), .log_spread = 1.0, .limit = 1e6};
    static const double Generated[] = {1e3, 1e4, 1e5, 5e5};
    double mean = EyLengthEstimate_Mean(&estimate);
    cr_expect_float_eq(mean, 300.0 * exp(0.5), 0.1);
    cr_expect_float_eq(EyLengthEstimate_Left(&estimate, 0.0), mean, 1e-9);
    double before = 0.0;
    for (size_t i = 0; i < G_N_ELEMENTS(Generated); i++) {
        double left = EyLengthEstimate_Left(&estimate, Generated[i]);
        cr_expect_gt(left, before, "%f: %f", Generated[i], left);
        before = left;
    }
    cr_expect_eq(EyLengthEstimate_Left(&estimate, 1e6), 1.0);
}

/* Callers choose hints and limits: none may give an estimate that is not a
 * number, below one token or above the limit. */
Test(answer_length, odd_hints_and_lengths_are_bounded)
{
    static const uint32_t Hints[] = {0, 1, 300, UINT32_MAX};
    static const uint32_t Limits[] = {0, 1, 500, UINT32_MAX};
    static const double Lengths[] = {-1.0, 0.0, 1.0, 1e12, NAN, INFINITY};
    EyAnswerLengths_t *lengths = EyAnswerLengths_New(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(Hints); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(Limits); j++) {
            const EyLengthTerms_t terms = {
                .key = 1, .hint = Hints[i], .limit = Limits[j]};
            for (size_t k = 0; k < G_N_ELEMENTS(Lengths); k++) {
                EyAnswerLengths_Learn(lengths, &terms, Lengths[k]);
            }
            EyLengthEstimate_t estimate =
                EyAnswerLengths_Estimate(lengths, &terms);
            double limit = Limits[j] > 0 ? fmin(Limits[j], 1e6) : 1e6;
            const double values[] = {EyLengthEstimate_Median(&estimate),
                                     EyLengthEstimate_Mean(&estimate),
                                     EyLengthEstimate_P90(&estimate),
                                     EyLengthEstimate_Left(&estimate, 1e5)};
            for (size_t k = 0; k < G_N_ELEMENTS(values); k++) {
                cr_expect(values[k] >= 1.0 && values[k] <= limit,
                          "hint %u limit %u value %zu: %f", Hints[i],
                          Limits[j], k, values[k]);
            }
        }
    }
    talloc_free(lengths);
}

/* The table is bounded: keys without end drop old ones and nothing else. */
Test(answer_length, many_keys_drop_the_least_recently_used)
{
    EyAnswerLengths_t *lengths = EyAnswerLengths_New(NULL);
    const EyLengthTerms_t kept = {.key = 7};
    for (uint64_t i = 0; i < 100000; i++) {
        const EyLengthTerms_t terms = {.key = i * 0x9e3779b97f4a7c15ULL};
        EyAnswerLengths_Learn(lengths, &terms, 10.0);
        EyAnswerLengths_Learn(lengths, &kept, 1000.0);
    }
    EyLengthEstimate_t estimate = EyAnswerLengths_Estimate(lengths, &kept);
    cr_expect_gt(EyLengthEstimate_Median(&estimate), 500.0);
    talloc_free(lengths);
}
