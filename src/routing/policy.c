#include "routing/policy.h"

#include <string.h>

/** Candidates whose cost is within this factor and time of the best count as
 * equal and one of them is chosen at random, so that gateways with the same
 * load reports don't all choose the same replica. */
#define NEAR_BEST_FACTOR 1.1
#define NEAR_BEST_MS 2.0
/** The same for predicted costs, which include the generation of the answer.
 */
#define NEAR_PREDICTED_FACTOR 1.05
#define NEAR_PREDICTED_MS 10.0
/** A candidate is preferred for a prompt's shared prefix while its load is at
 * most this many times the mean. */
#define PREFERRED_LOAD_FACTOR 1.25

static double
load_ratio(const EyCandidate_t *candidate)
{
    return candidate->estimated_requests / candidate->slots;
}

static double
best_cost_ms(const EyCandidate_t *candidates, uint32_t count)
{
    double best_ms = candidates[0].cost_ms;
    for (uint32_t i = 1; i < count; i++) {
        if (candidates[i].cost_ms < best_ms) {
            best_ms = candidates[i].cost_ms;
        }
    }
    return best_ms;
}

/* Mean load of the candidates that count as equal. */
static double
mean_load_ratio(const EyCandidate_t *candidates, uint32_t count,
                double limit_ms)
{
    double sum = 0.0;
    double ties = 0.0;
    for (uint32_t i = 0; i < count; i++) {
        if (candidates[i].cost_ms <= limit_ms) {
            sum += load_ratio(&candidates[i]);
            ties += 1.0;
        }
    }
    return sum / ties;
}

/* Prompts with the same shared prefix go to the same one of equal candidates,
 * as long as that has no more than its part of the load. */
static uint32_t
choose_expected_finish(const EyCandidate_t *candidates, uint32_t count,
                       EyPolicyState_t *state)
{
    double limit_ms =
        best_cost_ms(candidates, count) * NEAR_BEST_FACTOR + NEAR_BEST_MS;
    double load_max =
        mean_load_ratio(candidates, count, limit_ms) * PREFERRED_LOAD_FACTOR;
    uint32_t chosen = 0;
    uint32_t preferred = count;
    uint32_t ties = 0;
    for (uint32_t i = 0; i < count; i++) {
        const EyCandidate_t *each = &candidates[i];
        if (each->cost_ms > limit_ms) {
            continue;
        }
        ties++;
        if (EyRandom_Below(&state->random, ties) == 0) {
            chosen = i;
        }
        bool is_loaded = load_ratio(each) > load_max + 1.0 / each->slots;
        bool is_higher =
            preferred == count || each->rank > candidates[preferred].rank;
        if (each->rank != 0 && !is_loaded && is_higher) {
            preferred = i;
        }
    }
    return preferred < count ? preferred : chosen;
}

/* The candidates of about the least cost, of which there is at least one. */
static uint32_t
count_near_best(const EyCandidate_t *candidates, uint32_t count,
                double limit_ms)
{
    uint32_t near_best = 0;
    for (uint32_t i = 0; i < count; i++) {
        near_best += candidates[i].cost_ms <= limit_ms;
    }
    return near_best;
}

/* Index of the n-th candidate of about the least cost. */
static uint32_t
near_best_at(const EyCandidate_t *candidates, double limit_ms, uint64_t n)
{
    uint32_t i = 0;
    while (candidates[i].cost_ms > limit_ms || n-- > 0) {
        i++;
    }
    return i;
}

/* The preferred one of the candidates of about the least cost; count: none. */
static uint32_t
find_preferred(const EyCandidate_t *candidates, uint32_t count,
               double limit_ms)
{
    uint32_t preferred = count;
    double load_max = 0.0;
    for (uint32_t i = 0; i < count; i++) {
        const EyCandidate_t *each = &candidates[i];
        if (each->rank == 0 || each->cost_ms > limit_ms) {
            continue;
        }
        if (load_max <= 0.0) {
            load_max = mean_load_ratio(candidates, count, limit_ms) *
                       PREFERRED_LOAD_FACTOR;
        }
        bool is_loaded = load_ratio(each) > load_max + 1.0 / each->slots;
        bool is_higher =
            preferred == count || each->rank > candidates[preferred].rank;
        if (!is_loaded && is_higher) {
            preferred = i;
        }
    }
    return preferred;
}

uint32_t
EyPolicy_ChoosePredicted(const EyCandidate_t *candidates, uint32_t count,
                         EyPolicyState_t *state)
{
    double limit_ms = best_cost_ms(candidates, count) * NEAR_PREDICTED_FACTOR +
                      NEAR_PREDICTED_MS;
    uint32_t preferred = find_preferred(candidates, count, limit_ms);
    if (preferred < count) {
        return preferred;
    }
    uint32_t near_best = count_near_best(candidates, count, limit_ms);
    uint32_t one = near_best_at(candidates, limit_ms,
                                EyRandom_Below(&state->random, near_best));
    uint32_t other = near_best_at(candidates, limit_ms,
                                  EyRandom_Below(&state->random, near_best));
    return candidates[one].work_ms <= candidates[other].work_ms ? one : other;
}

static uint32_t
choose_round_robin(const EyCandidate_t *candidates, uint32_t count,
                   EyPolicyState_t *state)
{
    (void)candidates;
    return (uint32_t)(state->turn++ % count);
}

static uint32_t
choose_random(const EyCandidate_t *candidates, uint32_t count,
              EyPolicyState_t *state)
{
    (void)candidates;
    return (uint32_t)EyRandom_Below(&state->random, count);
}

static uint32_t
choose_least_outstanding(const EyCandidate_t *candidates, uint32_t count,
                         EyPolicyState_t *state)
{
    uint32_t chosen = 0;
    uint32_t ties = 0;
    for (uint32_t i = 0; i < count; i++) {
        double difference =
            load_ratio(&candidates[i]) - load_ratio(&candidates[chosen]);
        if (difference < 0.0) {
            ties = 0;
        }
        if (difference <= 0.0 && EyRandom_Below(&state->random, ++ties) == 0) {
            chosen = i;
        }
    }
    return chosen;
}

static uint32_t
choose_two_choices(const EyCandidate_t *candidates, uint32_t count,
                   EyPolicyState_t *state)
{
    uint32_t first = (uint32_t)EyRandom_Below(&state->random, count);
    uint32_t second = (uint32_t)EyRandom_Below(&state->random, count);
    return load_ratio(&candidates[first]) <= load_ratio(&candidates[second])
               ? first
               : second;
}

static const EyPolicy_t policies[] = {
    {.name = "expected_finish",
     .choose = choose_expected_finish,
     .waits_for_room = true},
    {.name = "round_robin", .choose = choose_round_robin},
    {.name = "random", .choose = choose_random},
    {.name = "least_outstanding", .choose = choose_least_outstanding},
    {.name = "two_choices", .choose = choose_two_choices},
};

static const EyPolicy_t *
find_policy(const char *name)
{
    for (uint32_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}

const EyPolicy_t *
EyPolicy_Find(const char *name)
{
    const EyPolicy_t *policy = find_policy(name);
    return policy != NULL ? policy : &policies[0];
}

bool
EyPolicy_Exists(const char *name)
{
    return find_policy(name) != NULL;
}
