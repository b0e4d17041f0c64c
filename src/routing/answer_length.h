/**
 * Output tokens of model calls, learned for each route and account: the
 * natural logarithms of the length and of its ratio to the caller's hint, by
 * mean and spread. Lengths are taken as log-normal, as a few answers are many
 * times longer than most. A call with a hint is estimated from both: the more
 * exact the hints have been, the more they count.
 */
#ifndef EY_ROUTING_ANSWER_LENGTH_H
#define EY_ROUTING_ANSWER_LENGTH_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most routes and accounts that are distinguished; the least recently used
 * ones are dropped. */
#define EY_ANSWER_LENGTH_KEYS 512

/** Longest answer that is learned or expected, in tokens. */
#define EY_ANSWER_LENGTH_MAX 1000000.0

/** The distribution of the length of one answer. */
typedef struct EyLengthEstimate {
    double log_median;
    double log_spread; /* standard deviation of the logarithm */
    double limit;      /* no answer is longer, in tokens */
} EyLengthEstimate_t;

/** What callers of a route say of the length of an answer. */
typedef struct EyLengthTerms {
    uint64_t key;   /* of the route and account */
    uint32_t hint;  /* expected tokens; 0: none */
    uint32_t limit; /* most tokens; 0: unknown */
} EyLengthTerms_t;

typedef struct EyAnswerLengths EyAnswerLengths_t;

EyAnswerLengths_t *
EyAnswerLengths_New(const void *ctx);

/** Learns from an answer that wasn't cut off. */
void
EyAnswerLengths_Learn(EyAnswerLengths_t *self, const EyLengthTerms_t *terms,
                      double tokens);

EyLengthEstimate_t
EyAnswerLengths_Estimate(EyAnswerLengths_t *self,
                         const EyLengthTerms_t *terms);

/** The length that half of the answers exceed. */
double
EyLengthEstimate_Median(const EyLengthEstimate_t *self);

/** The expected length. */
double
EyLengthEstimate_Mean(const EyLengthEstimate_t *self);

/** The length that three quarters of the answers exceed. */
double
EyLengthEstimate_LowerQuartile(const EyLengthEstimate_t *self);

/** The length that a tenth of the answers exceed. */
double
EyLengthEstimate_P90(const EyLengthEstimate_t *self);

/** Tokens that an answer of which so many have been generated is expected to
 * have left: more, the longer it has turned out. */
double
EyLengthEstimate_Left(const EyLengthEstimate_t *self, double generated);

#ifdef __cplusplus
}
#endif

#endif
