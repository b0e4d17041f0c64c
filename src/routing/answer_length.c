#include "routing/answer_length.h"

#include "core/memory.h"

#include <math.h>

/** Keys are looked up among this many places. */
#define WAYS 4
#define SETS (EY_ANSWER_LENGTH_KEYS / WAYS)
/** Answers that the mean and spread adapt over. */
#define SAMPLES_MAX 64.0
/** Weight of the target's figures beside those of a key, and of the defaults
 * beside those of the target, in answers. */
#define PRIOR_SAMPLES 4.0
#define DEFAULT_LOG_LENGTH 5.0 /* 148 tokens */
#define DEFAULT_LOG_SPREAD 1.0
#define LOG_VARIANCE_MIN 0.01
#define LOG_VARIANCE_MAX 6.0
/** The normal quantiles of 0.75 and 0.9. */
#define QUANTILE_75 0.6745
#define QUANTILE_90 1.2816
/** Below this probability the tail is approximated. */
#define TAIL_MIN 1e-6

/** Mean and variance of the logarithms seen. */
typedef struct LogStats {
    double count;
    double mean;
    double variance;
} LogStats_t;

typedef struct Entry {
    uint64_t key;
    uint64_t used; /* serial number of the last use; 0: free */
    LogStats_t stats;
} Entry_t;

struct EyAnswerLengths {
    Entry_t entries[SETS][WAYS];
    LogStats_t all[2]; /* by Figure_t */
    uint64_t serial;
};

EyAnswerLengths_t *
EyAnswerLengths_New(const void *ctx)
{
    return EY_NEW(ctx, EyAnswerLengths_t);
}

/** What is learned of a key. */
typedef enum Figure {
    FIGURE_LENGTH, /* logarithm of the length */
    FIGURE_RATIO,  /* logarithm of the ratio of the length to the hint */
    FIGURE_COUNT
} Figure_t;

static uint64_t
entry_key(const EyLengthTerms_t *terms, Figure_t figure)
{
    return terms->key * FIGURE_COUNT + (uint64_t)figure;
}

static Entry_t *
find_entry(EyAnswerLengths_t *self, uint64_t key, bool adds)
{
    Entry_t *set = self->entries[(key ^ (key >> 32)) % SETS];
    Entry_t *oldest = &set[0];
    for (uint32_t i = 0; i < WAYS; i++) {
        if (set[i].used > 0 && set[i].key == key) {
            set[i].used = ++self->serial;
            return &set[i];
        }
        oldest = set[i].used < oldest->used ? &set[i] : oldest;
    }
    if (!adds) {
        return NULL;
    }
    *oldest = (Entry_t){.key = key, .used = ++self->serial};
    return oldest;
}

static void
add_sample(LogStats_t *stats, double sample)
{
    stats->count = fmin(stats->count + 1.0, SAMPLES_MAX);
    double distance = sample - stats->mean;
    stats->mean += distance / stats->count;
    double moved = sample - stats->mean;
    stats->variance += (distance * moved - stats->variance) / stats->count;
}

/** Combines figures with those of a wider group. */
static LogStats_t
with_prior(const LogStats_t *stats, const LogStats_t *prior)
{
    double count = stats->count + PRIOR_SAMPLES;
    double mean =
        (stats->mean * stats->count + prior->mean * PRIOR_SAMPLES) / count;
    double own = stats->mean - mean;
    double other = prior->mean - mean;
    return (LogStats_t){
        .count = count,
        .mean = mean,
        .variance = (stats->count * (stats->variance + own * own) +
                     PRIOR_SAMPLES * (prior->variance + other * other)) /
                    count,
    };
}

static double
bounded_tokens(double tokens)
{
    return fmin(fmax(tokens, 1.0), EY_ANSWER_LENGTH_MAX);
}

/** The hint, which callers may set to anything, within the limit. */
static double
bounded_hint(const EyLengthTerms_t *terms)
{
    double hint = bounded_tokens(terms->hint);
    return terms->limit > 0 ? fmin(hint, terms->limit) : hint;
}

static void
learn(EyAnswerLengths_t *self, const EyLengthTerms_t *terms, Figure_t figure,
      double sample)
{
    add_sample(&find_entry(self, entry_key(terms, figure), true)->stats,
               sample);
    add_sample(&self->all[figure], sample);
}

void
EyAnswerLengths_Learn(EyAnswerLengths_t *self, const EyLengthTerms_t *terms,
                      double tokens)
{
    if (!(tokens > 0.0)) {
        return;
    }
    double sample = log(bounded_tokens(tokens));
    learn(self, terms, FIGURE_LENGTH, sample);
    if (terms->hint > 0) {
        learn(self, terms, FIGURE_RATIO, sample - log(bounded_hint(terms)));
    }
}

/** Mean and variance of a figure. */
static LogStats_t
find_stats(EyAnswerLengths_t *self, const EyLengthTerms_t *terms,
           Figure_t figure)
{
    const LogStats_t initial = {
        .mean = figure == FIGURE_RATIO ? 0.0 : DEFAULT_LOG_LENGTH,
        .variance = DEFAULT_LOG_SPREAD * DEFAULT_LOG_SPREAD,
    };
    LogStats_t stats = with_prior(&self->all[figure], &initial);
    const Entry_t *entry = find_entry(self, entry_key(terms, figure), false);
    if (entry != NULL) {
        stats = with_prior(&entry->stats, &stats);
    }
    stats.variance =
        fmin(fmax(stats.variance, LOG_VARIANCE_MIN), LOG_VARIANCE_MAX);
    return stats;
}

EyLengthEstimate_t
EyAnswerLengths_Estimate(EyAnswerLengths_t *self, const EyLengthTerms_t *terms)
{
    LogStats_t stats = find_stats(self, terms, FIGURE_LENGTH);
    if (terms->hint > 0) {
        /* A hint is an inexact measurement of the length: the more exact
         * hints have been, the less the lengths of other answers count.
         * Otherwise long answers would be expected too long and short ones
         * too short. */
        LogStats_t ratio = find_stats(self, terms, FIGURE_RATIO);
        double weight = stats.variance / (stats.variance + ratio.variance);
        double hinted = log(bounded_hint(terms)) + ratio.mean;
        stats.mean += weight * (hinted - stats.mean);
        stats.variance *= 1.0 - weight;
    }
    return (EyLengthEstimate_t){
        .log_median = stats.mean,
        .log_spread = sqrt(fmax(stats.variance, LOG_VARIANCE_MIN)),
        .limit = terms->limit > 0 ? bounded_tokens(terms->limit)
                                  : EY_ANSWER_LENGTH_MAX,
    };
}

static double
within_limit(const EyLengthEstimate_t *self, double tokens)
{
    return fmin(fmax(tokens, 1.0), self->limit);
}

double
EyLengthEstimate_Median(const EyLengthEstimate_t *self)
{
    return within_limit(self, exp(self->log_median));
}

double
EyLengthEstimate_Mean(const EyLengthEstimate_t *self)
{
    double spread = self->log_spread;
    return within_limit(self, exp(self->log_median + spread * spread / 2.0));
}

double
EyLengthEstimate_LowerQuartile(const EyLengthEstimate_t *self)
{
    return within_limit(
        self, exp(self->log_median - QUANTILE_75 * self->log_spread));
}

double
EyLengthEstimate_P90(const EyLengthEstimate_t *self)
{
    return within_limit(
        self, exp(self->log_median + QUANTILE_90 * self->log_spread));
}

/** The probability that a standard normal variable exceeds z. */
static double
upper_tail(double z)
{
    return 0.5 * erfc(z / M_SQRT2);
}

double
EyLengthEstimate_Left(const EyLengthEstimate_t *self, double generated)
{
    if (generated < 1.0) {
        return EyLengthEstimate_Mean(self);
    }
    double spread = self->log_spread;
    double z = (log(generated) - self->log_median) / spread;
    double longer = upper_tail(z);
    double left = 0.0;
    if (longer > TAIL_MIN) {
        double mean = exp(self->log_median + spread * spread / 2.0);
        left = mean * upper_tail(z - spread) / longer - generated;
    }
    else {
        left = generated * spread / z;
    }
    double most = fmax(self->limit - generated, 1.0);
    return fmin(fmax(left, 1.0), most);
}
