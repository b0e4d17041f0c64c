/**
 * What a call costs at a model engine. An engine generates a token of each
 * running request in every step; each additional run makes the steps longer,
 * and prompts are prefilled in chunks between them. The time of a step as a
 * linear function of the number of runs is learned for all engines of a target
 * together, from the times of completed runs; how much slower or faster each
 * engine is than its peers, for each engine, as a gateway sees few runs of
 * each.
 */
#ifndef EY_ROUTING_ENGINE_COST_H
#define EY_ROUTING_ENGINE_COST_H

#include "routing/speed_factor.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The time of a token on a typical engine whose machine is as usual, as a
 * function of the number of runs: sums of a linear regression in which older
 * samples weigh less. */
typedef struct EyStepTime {
    double weight;
    double runs;
    double runs_squared;
    double token_ms;
    double runs_token_ms;
    double base_ms;    /* at no runs */
    double per_run_ms; /* added by each run */
} EyStepTime_t;

/** Starts from token_ms for one run and slowdown times that for full slots. */
EyStepTime_t
EyStepTime_Make(double token_ms, double slots, double slowdown);

double
EyStepTime_At(const EyStepTime_t *self, double runs);

/** Multiplies all times. */
void
EyStepTime_Scale(EyStepTime_t *self, double factor);

/** The state of one engine. */
typedef struct EyEngineCost {
    EySpeedFactor_t factor; /* of its machine */
    double slowness;  /* its token time relative to its peers; 0: unknown */
    uint32_t samples; /* of slowness */
    double first_event_ms;    /* learned: time of a first event apart from what
                                 is predicted for its prefill and wait */
    double own_left_tokens;   /* to generate for runs of this gateway */
    uint32_t own_runs;        /* that own_left_tokens counts */
    double other_left_tokens; /* the same of other gateways, as reported */
    double other_runs;
    double reported_factor; /* the last one that the engine itself reported; 0:
                               none */
    int64_t reported_factor_ms;
    uint32_t outstanding_at_report; /* own requests when it last reported its
                                       load */
    double least_slack; /* of the own runs that can still meet their deadlines:
                           time left divided by the expected time to the end */
} EyEngineCost_t;

/** A run whose answer was completed by the engine. */
typedef struct EyRunSample {
    double token_ms; /* mean time between its tokens */
    double factor;   /* mean speed factor of the machine meanwhile */
    double runs;     /* mean number of runs at the engine */
} EyRunSample_t;

/** Learns from a run. */
void
EyEngineCost_LearnRun(EyEngineCost_t *self, EyStepTime_t *step,
                      const EyRunSample_t *sample);

/** Learns from a first event: the time until it, and the one predicted without
 * first_event_ms. */
void
EyEngineCost_LearnFirstEvent(EyEngineCost_t *self, double waited_ms,
                             double predicted_ms);

/** The learned time, or the default if it is 0. */
double
EyEngineCost_FirstEventMs(double learned_ms);

/** Token time relative to the engine's peers. */
double
EyEngineCost_Slowness(const EyEngineCost_t *self);

/** Adds (sign 1.0) or removes (sign -1.0) what another gateway reported. */
void
EyEngineCost_AddOtherRuns(EyEngineCost_t *self, double runs,
                          double left_tokens, double sign);

/** A call that could go to an engine. */
typedef struct EyEngineCall {
    double prefill_ms;    /* own prefill at the usual speed */
    double ahead_ms;      /* prefill ahead of it at the usual speed */
    double tokens;        /* expected length */
    double likely_tokens; /* length that most such answers exceed */
    double stride;        /* tokens in an event */
    double runs;          /* at the engine, without it */
    double slots;
} EyEngineCall_t;

/** The prediction for a call at an engine. Times count from now. */
typedef struct EyEngineForecast {
    double start_ms; /* until the first event */
    double pause_ms; /* the longest gap between events, of it and the others */
    double finish_ms; /* until the end, if it has likely_tokens */
    double begin_ms;  /* from the begin of its prefill to the first event */
    double run_ms;    /* from the begin of its prefill to the end */
    double generation_ms; /* of the expected length */
    double wait_ms;       /* for a slot in the batch */
    double delay_ms;      /* that it causes, summed over the other runs */
    double work_ms;       /* until all runs there have ended, without it */
    double factor;        /* speed factor expected until the first event */
} EyEngineForecast_t;

EyEngineForecast_t
EyEngineCost_Predict(const EyEngineCost_t *self, const EyStepTime_t *step,
                     int64_t now_ms, const EyEngineCall_t *call);

#ifdef __cplusplus
}
#endif

#endif
