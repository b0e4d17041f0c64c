/* What callers get from several gateways in overload, with predictive routing
 * and without. */
#include "admission_fleet.h"

#include <criterion/criterion.h>

#define SEEDS 6

static AdmissionOutcome_t
play(AdmissionLoad_t load)
{
    AdmissionOutcome_t outcome = {.calls = 0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        load.seed = seed;
        admission_fleet_play(&load, &outcome);
    }
    cr_log_info(
        "predictive %d: %u calls, on time %u, served %u, large %u of %u, "
        "urgent %u of %u, left %u (%u queued), refused %u, twice %u, "
        "held %u, longest wait %ld ms, forwarded %u",
        load.is_predictive, outcome.calls, outcome.on_time, outcome.served,
        outcome.large_served, outcome.large_calls, outcome.urgent_served,
        outcome.urgent_calls, outcome.left, outcome.left_queued,
        outcome.refused, outcome.refused_twice, outcome.held_refused,
        (long)outcome.longest_wait_ms, outcome.forwarded);
    return outcome;
}

static const AdmissionLoad_t Overload = {
    .regions = 1,
    .overload = 2.0,
    .overload_ms = 6000,
    .urgent_share = 0.3,
    .is_predictive = true,
};

/* Failure: callers leave while their calls are queued, or never get a
 * decision. */
Test(admission_load, no_call_waits_past_the_patience_of_its_caller)
{
    AdmissionOutcome_t outcome = play(Overload);
    cr_expect_eq(outcome.undecided, 0);
    cr_expect_eq(outcome.left_queued, 0);
    cr_expect_leq(outcome.longest_wait_ms, ADMISSION_FLEET_PATIENCE_MS);
}

/* Failure: admission by patience serves fewer calls in time than admission by
 * deadline. */
Test(admission_load, overload_leaves_no_fewer_calls_on_time)
{
    AdmissionLoad_t without = Overload;
    without.is_predictive = false;
    AdmissionOutcome_t with_outcome = play(Overload);
    AdmissionOutcome_t without_outcome = play(without);
    cr_expect_eq(with_outcome.calls, without_outcome.calls);
    cr_expect_geq(with_outcome.on_time, without_outcome.on_time);
    cr_expect_leq(with_outcome.left, without_outcome.left);
}

/* Failure: large or less urgent calls are starved, or urgent ones are served
 * less often than others. */
Test(admission_load, no_kind_of_call_is_starved)
{
    AdmissionOutcome_t outcome = play(Overload);
    double all = (double)outcome.served / outcome.calls;
    double large = (double)outcome.large_served / outcome.large_calls;
    double urgent = (double)outcome.urgent_served / outcome.urgent_calls;
    double others = (double)(outcome.served - outcome.urgent_served) /
                    (outcome.calls - outcome.urgent_calls);
    cr_expect_geq(large, all / 2.0, "large %.2f, all %.2f", large, all);
    cr_expect_geq(urgent, others, "urgent %.2f, others %.2f", urgent, others);
    cr_expect_geq(others, all / 4.0, "others %.2f, all %.2f", others, all);
}

/* Failure: callers that return when they were told to are refused again more
 * often than without a schedule of returns. */
Test(admission_load, a_schedule_of_returns_has_fewer_calls_refused_twice)
{
    AdmissionLoad_t load = Overload;
    load.returns_to_same = true;
    AdmissionLoad_t without = load;
    without.is_predictive = false;
    AdmissionOutcome_t with_outcome = play(load);
    AdmissionOutcome_t without_outcome = play(without);
    double with_share =
        (double)with_outcome.refused_twice / (with_outcome.refused + 1);
    double without_share =
        (double)without_outcome.refused_twice / (without_outcome.refused + 1);
    cr_expect_leq(with_share, without_share, "%.2f, without %.2f", with_share,
                  without_share);
}

/* Failure: the largest region has calls wait until they are late while other
 * regions have room; or it fills those up, so that fewer calls are on time in
 * all regions together. */
Test(admission_load, regions_with_room_serve_calls_of_a_region_in_overload)
{
    AdmissionLoad_t load = Overload;
    load.regions = 3;
    AdmissionLoad_t without = load;
    without.is_predictive = false;
    AdmissionOutcome_t with_outcome = play(load);
    AdmissionOutcome_t without_outcome = play(without);
    cr_expect_eq(with_outcome.undecided, 0);
    cr_expect_eq(with_outcome.left_queued, 0);
    cr_expect_gt(with_outcome.forwarded, 0);
    cr_expect_geq(with_outcome.on_time, without_outcome.on_time);
}
