/* A request that ends each server of a plain service which runs it. */
#include "service_fleet.h"

#include <criterion/criterion.h>

/* Arrivals of a fatal request at servers from 5 s after its third crash on. */
#define LATE_ARRIVALS_MAX 3
/* Least share of sound requests served, of what is served without the fatal
 * ones. */
#define SERVED_SHARE_MIN 0.95

/* The same in a run with a restart of all gateways. */
#define RESTART_SERVED_SHARE_MIN 0.8

#define NEVER SERVICE_FLEET_NEVER

static ServiceFleetOptions_t
base_options(void)
{
    return (ServiceFleetOptions_t){
        .regions = 1,
        .gateways = 3,
        .servers = 12,
        .unique_per_s = 60,
        .fatal_requests = 1,
        .is_idempotent = true,
        .fatal_from_ms = 10000,
        .release_ms = NEVER,
        .end_ms = 50000,
    };
}

static double
served_share(const ServiceFleetCounts_t *counts)
{
    return (double)counts->sound_served / (double)counts->sound;
}

static void
expect_sound_unbarred(const ServiceFleetOptions_t *options,
                      const ServiceFleetCounts_t *counts)
{
    cr_expect_eq(counts->popular_refused, 0, "%s: popular refused %u",
                 options->name, counts->popular_refused);
    cr_expect_eq(counts->poll_refused, 0, "%s: poll refused %u", options->name,
                 counts->poll_refused);
    cr_expect_eq(counts->unique_refused, 0, "%s: unique refused %u",
                 options->name, counts->unique_refused);
}

static void
check_case(const ServiceFleetOptions_t *options)
{
    ServiceFleetOptions_t calm = *options;
    calm.fatal_requests = 0;
    ServiceFleetCounts_t without = service_fleet_run(&calm);
    ServiceFleetCounts_t counts = service_fleet_run(options);
    double share = served_share(&counts) / served_share(&without);
    cr_log_info("%s: %u crashes, %u late, sound %.4f (%.4f), refused %u %u %u",
                options->name, counts.fatal_crashes, counts.late_arrivals,
                served_share(&counts), served_share(&without),
                counts.popular_refused, counts.poll_refused,
                counts.unique_refused);
    cr_expect_leq(counts.late_arrivals,
                  LATE_ARRIVALS_MAX * options->fatal_requests, "%s: %u late",
                  options->name, counts.late_arrivals);
    cr_expect_geq(share, SERVED_SHARE_MIN, "%s: served %f", options->name,
                  share);
    expect_sound_unbarred(options, &counts);
}

Test(crash_suspects_services,
     a_request_that_ends_its_servers_stops_reaching_them)
{
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t servers;
        uint32_t fatal_requests;
        uint32_t fatal_begun_share;
        bool is_idempotent;
        bool keeps_ids;
    } Cases[] = {
        {"12 servers, before a byte", 1, 12, 1, 0, true, false},
        {"12 servers, after the head", 2, 12, 1, 100, true, false},
        {"12 servers, at most once", 3, 12, 1, 0, false, false},
        {"12 servers, some heads", 4, 12, 1, 50, true, true},
        {"3 servers, before a byte", 5, 3, 1, 0, true, false},
        {"3 servers, after the head", 6, 3, 1, 100, true, true},
        {"3 servers, at most once", 7, 3, 1, 50, false, false},
        {"two fatal requests in turn", 8, 12, 2, 50, true, false},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.servers = Cases[i].servers;
        options.fatal_requests = Cases[i].fatal_requests;
        options.fatal_begun_share = Cases[i].fatal_begun_share;
        options.is_idempotent = Cases[i].is_idempotent;
        options.keeps_ids = Cases[i].keeps_ids;
        check_case(&options);
    }
}

Test(crash_suspects_services, a_fatal_request_stops_at_all_sizes_of_the_fleet)
{
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t regions;
        uint32_t gateways;
        int64_t end_ms;
    } Cases[] = {
        {"3 gateways of three regions", 11, 3, 1, 120000},
        {"6 gateways", 12, 3, 2, 120000},
        {"9 gateways", 13, 3, 3, 120000},
        {"60 gateways", 14, 3, 20, 60000},
        {"195 gateways", 15, 3, 65, 45000},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.regions = Cases[i].regions;
        options.gateways = Cases[i].gateways;
        options.fatal_begun_share = 50;
        options.end_ms = Cases[i].end_ms;
        check_case(&options);
    }
}

Test(crash_suspects_services,
     a_barred_request_is_not_tried_by_many_when_bars_end)
{
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t gateways; /* of each of three regions */
        int64_t end_ms;
    } Cases[] = {
        {"3 gateways, 15 minutes", 31, 1, 15 * INT64_C(60000)},
        {"18 gateways, 15 minutes", 32, 6, 15 * INT64_C(60000)},
        {"60 gateways, two bars", 33, 20, 230000},
        {"195 gateways, a minute", 34, 65, 60000},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.regions = 3;
        options.gateways = Cases[i].gateways;
        options.servers = 4;
        options.unique_per_s = 10;
        options.end_ms = Cases[i].end_ms;
        check_case(&options);
    }
}

Test(crash_suspects_services,
     servers_that_end_for_other_reasons_bar_no_request)
{
    static const struct {
        const char *name;
        uint64_t seed;
        int64_t kill_period_ms;
        int64_t release_ms;
    } Cases[] = {
        {"kill of a third each 2 s", 21, 2000, NEVER},
        {"kill of a third each 10 s", 22, 10000, NEVER},
        {"a release", 23, 0, 11000},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.kill_period_ms = Cases[i].kill_period_ms;
        options.release_ms = Cases[i].release_ms;
        options.fatal_requests = 0;
        options.end_ms = 40000;
        ServiceFleetCounts_t counts = service_fleet_run(&options);
        cr_expect_gt(counts.sound, 0, "%s", options.name);
        expect_sound_unbarred(&options, &counts);
    }
}

Test(crash_suspects_services, a_fatal_request_that_comes_seldom_is_barred)
{
    static const int64_t IntervalsMs[] = {10000, 31000, 45000, 90000};
    for (size_t i = 0; i < sizeof(IntervalsMs) / sizeof(IntervalsMs[0]); i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = "seldom";
        options.seed = 41 + i;
        options.is_idempotent = false;
        options.unique_per_s = 10;
        options.fatal_interval_ms = IntervalsMs[i];
        options.end_ms = 10 * INT64_C(60000);
        ServiceFleetCounts_t counts = service_fleet_run(&options);
        cr_log_info("each %ld ms: %u crashes, %u late", (long)IntervalsMs[i],
                    counts.fatal_crashes, counts.late_arrivals);
        cr_expect_leq(counts.late_arrivals, LATE_ARRIVALS_MAX,
                      "each %ld ms: %u late", (long)IntervalsMs[i],
                      counts.late_arrivals);
        expect_sound_unbarred(&options, &counts);
    }
}

Test(crash_suspects_services, many_fatal_requests_at_once_are_all_barred)
{
    static const uint32_t Counts[] = {12, 20, 40};
    for (size_t i = 0; i < sizeof(Counts) / sizeof(Counts[0]); i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = "many";
        options.seed = 51 + i;
        options.is_idempotent = false;
        options.servers = 60;
        options.fatal_requests = Counts[i];
        options.fatal_interval_ms = 200;
        options.end_ms = 60000;
        ServiceFleetCounts_t counts = service_fleet_run(&options);
        cr_log_info("%u fatal: %u crashes, %u late, %u of one", Counts[i],
                    counts.fatal_crashes, counts.late_arrivals,
                    counts.late_of_one);
        cr_expect_leq(counts.late_of_one, LATE_ARRIVALS_MAX,
                      "%u fatal: %u late of one", Counts[i],
                      counts.late_of_one);
        expect_sound_unbarred(&options, &counts);
    }
}

Test(crash_suspects_services,
     sound_requests_that_always_come_with_a_fatal_one_are_told_apart)
{
    enum { SEEDS = 3 };
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t gateways;
        uint32_t servers;
        uint32_t companions;
        bool is_idempotent;
    } Cases[] = {
        {"1 server, 1 companion", 61, 3, 1, 1, false},
        {"1 server, 6 companions", 62, 3, 1, 6, false},
        {"1 server, 20 gateways", 63, 20, 1, 3, false},
        {"3 servers, 3 companions", 64, 3, 3, 3, false},
        {"3 servers, 20 gateways", 65, 20, 3, 3, true},
        {"3 servers, 6 companions", 66, 6, 3, 6, true},
        {"1 server, 60 gateways", 67, 60, 1, 3, true},
    };
    for (size_t run = 0; run < SEEDS * sizeof(Cases) / sizeof(Cases[0]); run++)
    {
        size_t i = run / SEEDS;
        ServiceFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed + 100 * (run % SEEDS);
        options.gateways = Cases[i].gateways;
        options.servers = Cases[i].servers;
        options.companions = Cases[i].companions;
        options.is_idempotent = Cases[i].is_idempotent;
        options.end_ms = 60000;
        ServiceFleetCounts_t counts = service_fleet_run(&options);
        cr_log_info("%s: %u crashes, %u late, companions refused %u served %u",
                    options.name, counts.fatal_crashes, counts.late_arrivals,
                    counts.companion_refused, counts.companion_served);
        cr_expect_leq(counts.late_arrivals, LATE_ARRIVALS_MAX, "%s: %u late",
                      options.name, counts.late_arrivals);
        cr_expect_leq(counts.companion_refused, counts.companion_served / 5,
                      "%s: companions refused %u", options.name,
                      counts.companion_refused);
        expect_sound_unbarred(&options, &counts);
    }
}

Test(crash_suspects_services, a_restart_of_all_gateways_lets_few_pass)
{
    for (uint64_t i = 0; i < 3; i++) {
        ServiceFleetOptions_t options = base_options();
        options.name = "restart after 12 s";
        options.seed = 72 + i;
        options.is_idempotent = i > 0;
        options.servers = i == 2 ? 3 : 12;
        options.restart_ms = 22000;
        ServiceFleetCounts_t counts = service_fleet_run(&options);
        cr_log_info("%s: %u crashes, %u late, sound %.4f", options.name,
                    counts.fatal_crashes, counts.late_arrivals,
                    served_share(&counts));
        cr_expect_leq(counts.late_arrivals, LATE_ARRIVALS_MAX, "%lu: %u late",
                      (unsigned long)i, counts.late_arrivals);
        cr_expect_geq(served_share(&counts), RESTART_SERVED_SHARE_MIN,
                      "%lu: served %f", (unsigned long)i,
                      served_share(&counts));
        expect_sound_unbarred(&options, &counts);
    }
}

Test(crash_suspects_services, a_request_that_becomes_fatal_later_is_barred)
{
    ServiceFleetOptions_t options = base_options();
    options.name = "fatal after 10 s";
    options.seed = 71;
    options.fatal_sound_ms = 10000;
    options.end_ms = 60000;
    check_case(&options);
}
