/* A part of prompts that crashes each engine which begins to answer it. */
#include "crash_fleet.h"

#include <criterion/criterion.h>

/* Requests with the part that may reach engines from 5 s after the fifth crash
 * on. */
#define LATE_ARRIVALS_MAX 3
/* Least share of sound requests whose first attempt begins. */
#define SOUND_SHARE_MIN 0.99

#define NEVER CRASH_FLEET_NEVER

static void
check_case(const CrashFleetOptions_t *options)
{
    CrashFleetCounts_t counts = crash_fleet_run(options);
    double share = (double)counts.sound_begun / (double)counts.sound;
    cr_log_info("%s: %u crashes, fifth at %ld ms, %u late arrivals, %u sound, "
                "%.4f begun, %u sound suspect",
                options->name, counts.fatal_crashes,
                (long)counts.fifth_crash_ms, counts.late_arrivals,
                counts.sound, share, counts.sound_suspect);
    cr_expect_leq(counts.late_arrivals, LATE_ARRIVALS_MAX, "%s: %u",
                  options->name, counts.late_arrivals);
    cr_expect(share >= SOUND_SHARE_MIN, "%s: %f", options->name, share);
    cr_expect_eq(counts.sound_suspect, 0, "%s: %u", options->name,
                 counts.sound_suspect);
}

/** Plays a case without fatal requests. */
static void
check_no_suspects(const CrashFleetOptions_t *options)
{
    CrashFleetCounts_t counts = crash_fleet_run(options);
    cr_log_info("%s: %u of %u suspect", options->name, counts.sound_suspect,
                counts.sound);
    cr_expect_gt(counts.sound, 0, "%s", options->name);
    cr_expect_eq(counts.sound_suspect, 0, "%s: %u", options->name,
                 counts.sound_suspect);
}

static CrashFleetOptions_t
base_options(void)
{
    return (CrashFleetOptions_t){
        .gateways = 20,
        .engines = 16,
        .sound_per_s = 40,
        .fatal_per_s = 3,
        .fatal_position = 2,
        .loss_percent = 2,
        .fatal_from_ms = 10000,
        .served_from_ms = NEVER,
        .kill_ms = NEVER,
        .restart_ms = NEVER,
        .end_ms = 120000,
    };
}

Test(crash_suspects_fleet, a_part_that_crashes_engines_stops_reaching_them)
{
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t fatal_position;
        uint32_t fatal_per_s;
        uint32_t loss_percent;
        int64_t kill_ms;
        int64_t restart_ms;
    } Cases[] = {
        {"last shared part", 1, 2, 3, 2, NEVER, NEVER},
        {"first part", 2, 0, 3, 2, NEVER, NEVER},
        {"ten a second", 3, 1, 10, 2, NEVER, NEVER},
        {"one a second", 4, 2, 1, 2, NEVER, NEVER},
        {"a third of the updates lost", 5, 2, 3, 33, NEVER, NEVER},
        {"kill of a third among the crashes", 6, 2, 3, 2, 11000, NEVER},
        {"restart of gateways while it is barred", 7, 2, 3, 2, NEVER, 25000},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        CrashFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.fatal_position = Cases[i].fatal_position;
        options.fatal_per_s = Cases[i].fatal_per_s;
        options.loss_percent = Cases[i].loss_percent;
        options.kill_ms = Cases[i].kill_ms;
        options.restart_ms = Cases[i].restart_ms;
        check_case(&options);
    }
}

Test(crash_suspects_fleet, a_part_stops_that_crashes_engines_in_other_ways)
{
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t gateways;
        uint32_t engines;
        uint32_t fatal_per_s;
        bool ends_before_head;
        int64_t ends_after_ms;
        int64_t served_from_ms;
        int64_t end_period_ms;
    } Cases[] = {
        {"before the head", 21, 20, 16, 3, true, 0, NEVER, 0},
        {"before the head, ten a second", 22, 2, 4, 10, true, 0, NEVER, 0},
        {"before the head, few gateways", 23, 2, 16, 3, true, 0, NEVER, 0},
        {"before the head, others end by themselves", 24, 20, 16, 3, true, 0,
         NEVER, 700},
        {"served before", 25, 20, 16, 3, false, 0, 2000, 0},
        {"served before, before the head", 27, 20, 16, 3, true, 0, 2000, 0},
        {"2.4 s after the head", 28, 20, 16, 3, false, 2400, NEVER, 0},
        {"2.4 s after the head, few gateways", 29, 2, 16, 10, false, 2400,
         NEVER, 0},
        {"20 s after the head", 30, 6, 16, 1, false, 20000, NEVER, 0},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        CrashFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.gateways = Cases[i].gateways;
        options.engines = Cases[i].engines;
        options.fatal_per_s = Cases[i].fatal_per_s;
        options.ends_before_head = Cases[i].ends_before_head;
        options.ends_after_ms = Cases[i].ends_after_ms;
        options.served_from_ms = Cases[i].served_from_ms;
        options.end_period_ms = Cases[i].end_period_ms;
        options.end_from_ms = 8000;
        options.end_until_ms = 30000;
        check_case(&options);
    }
}

Test(crash_suspects_fleet, a_part_that_turns_fatal_at_few_engines_stops)
{
    CrashFleetOptions_t options = base_options();
    options.name = "served before, few engines";
    options.seed = 26;
    options.gateways = 2;
    options.engines = 4;
    options.fatal_per_s = 10;
    options.served_from_ms = 2000;
    check_case(&options);
}

Test(crash_suspects_fleet, engines_that_end_one_by_one_bar_no_part)
{
    static const struct {
        const char *name;
        uint64_t seed;
        uint32_t engines;
        uint32_t sound_per_s;
        int64_t end_period_ms;
        int64_t end_from_ms;
        int64_t end_until_ms;
    } Cases[] = {
        {"twelve in 6 s", 31, 16, 40, 500, 20000, 26000},
        {"twelve in 6 s, soon after the start", 32, 16, 40, 500, 6000, 12000},
        {"five a second", 33, 16, 40, 200, 20000, 30000},
        {"one a second without end", 34, 16, 40, 1000, 6000, NEVER},
        {"ten a second, few prompts", 35, 16, 5, 100, 20000, 30000},
        {"few engines, two a second", 36, 4, 20, 500, 20000, 30000},
        {"few engines, five a second", 37, 4, 20, 200, 20000, 26000},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        CrashFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.engines = Cases[i].engines;
        options.sound_per_s = Cases[i].sound_per_s;
        options.end_period_ms = Cases[i].end_period_ms;
        options.end_from_ms = Cases[i].end_from_ms;
        options.end_until_ms = Cases[i].end_until_ms;
        options.fatal_per_s = 0;
        options.end_ms = 40000;
        check_no_suspects(&options);
    }
}

Test(crash_suspects_fleet, a_part_that_crashes_engines_stops_at_195_gateways)
{
    CrashFleetOptions_t options = base_options();
    options.name = "195 gateways";
    options.seed = 8;
    options.gateways = 65;
    options.engines = 30;
    options.sound_per_s = 80;
    options.end_ms = 40000;
    check_case(&options);
}

Test(crash_suspects_fleet, a_barred_part_is_not_tried_by_many_when_bars_end)
{
    CrashFleetOptions_t options = base_options();
    options.name = "22 minutes";
    options.seed = 9;
    options.gateways = 6;
    options.engines = 8;
    options.sound_per_s = 20;
    options.end_ms = 22 * INT64_C(60000);
    check_case(&options);
}

Test(crash_suspects_fleet, engines_that_end_for_other_reasons_bar_no_part)
{
    static const struct {
        const char *name;
        uint64_t seed;
        int64_t kill_ms;
        int64_t kill_period_ms;
        uint32_t cut_permille;
    } Cases[] = {
        {"kill of a third at the start", 10, 1000, 0, 0},
        {"kill of a third each 10 s", 11, 12000, 10000, 0},
        {"answers broken off", 12, NEVER, 0, 200},
        {"two answers in five broken off", 13, NEVER, 0, 400},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        CrashFleetOptions_t options = base_options();
        options.name = Cases[i].name;
        options.seed = Cases[i].seed;
        options.kill_ms = Cases[i].kill_ms;
        options.kill_period_ms = Cases[i].kill_period_ms;
        options.cut_permille = Cases[i].cut_permille;
        options.fatal_per_s = 0;
        options.end_ms = 40000;
        check_no_suspects(&options);
    }
}
