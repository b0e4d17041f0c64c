/* What gateways report to each other about suspects. */
#include "core/memory.h"
#include "suspects_fixture.h"

#include <criterion/criterion.h>

Test(crash_suspects, crashes_seen_by_several_gateways_add_up_and_count_once)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *all[3];
    for (int i = 0; i < 3; i++) {
        all[i] = suspects_make(ctx, "istra");
        suspects_add_crash(all[i], SUSPECTS_LATER_MS + 500 * (int64_t)i,
                           SUSPECTS_PART, 1U + (uint64_t)i);
        suspects_add_crash(all[i], SUSPECTS_LATER_MS + 500 * (int64_t)i,
                           SUSPECTS_OTHER_PART, 9);
    }
    for (int from = 0; from < 3; from++) {
        for (int to = 0; to < 3; to++) {
            if (from != to) {
                suspects_send(all[from], all[to], SUSPECTS_LATER_MS + 1500,
                              SUSPECTS_LATER_MS + 1520, true);
            }
        }
    }
    for (int i = 0; i < 3; i++) {
        EySuspicionResult_t part =
            suspects_check(all[i], SUSPECTS_LATER_MS + 1600, SUSPECTS_PART);
        EySuspicionResult_t other = suspects_check(
            all[i], SUSPECTS_LATER_MS + 1600, SUSPECTS_OTHER_PART);
        cr_expect_eq(part.suspicion, EY_SUSPICION_BARRED, "%d", i);
        cr_expect_eq(other.suspicion, EY_SUSPICION_NONE, "%d", i);
    }
    talloc_free(ctx);
}

Test(crash_suspects, evidence_arrives_though_messages_are_lost)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *one = suspects_make(ctx, "istra");
    EyCrashSuspects_t *other = suspects_make(ctx, "istra");
    for (int i = 0; i < 3; i++) {
        suspects_add_crash(one, SUSPECTS_LATER_MS + 500 * (int64_t)i,
                           SUSPECTS_PART, 1U + (uint64_t)i);
    }
    for (int64_t at_ms = 1000; at_ms < 8000; at_ms += 500) {
        EyEngineUpdate_t *lost = EY_NEW(ctx, EyEngineUpdate_t);
        EyCrashSuspects_Collect(one, SUSPECTS_LATER_MS + at_ms, true, lost);
    }
    suspects_send(one, other, SUSPECTS_LATER_MS + 8000,
                  SUSPECTS_LATER_MS + 8020, true);
    cr_expect_eq(suspects_check(other, SUSPECTS_LATER_MS + 8020, SUSPECTS_PART)
                     .suspicion,
                 EY_SUSPICION_BARRED);
    talloc_free(ctx);
}

Test(crash_suspects, a_success_at_one_gateway_clears_the_part_at_others)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *one = suspects_make(ctx, "istra");
    EyCrashSuspects_t *other = suspects_make(ctx, "istra");
    suspects_clear(other, SUSPECTS_LATER_MS - 5000, SUSPECTS_PART);
    for (int i = 0; i < 3; i++) {
        suspects_add_crash(one, SUSPECTS_LATER_MS + 500 * (int64_t)i,
                           SUSPECTS_PART, 1U + (uint64_t)i);
    }
    cr_expect_eq(
        suspects_check(one, SUSPECTS_LATER_MS + 1000, SUSPECTS_PART).suspicion,
        EY_SUSPICION_BARRED);
    suspects_send(one, other, SUSPECTS_LATER_MS + 1000,
                  SUSPECTS_LATER_MS + 1020, true);
    cr_expect_eq(suspects_check(other, SUSPECTS_LATER_MS + 1020, SUSPECTS_PART)
                     .suspicion,
                 EY_SUSPICION_NONE);
    suspects_send(other, one, SUSPECTS_LATER_MS + 1200,
                  SUSPECTS_LATER_MS + 1220, true);
    cr_expect_eq(
        suspects_check(one, SUSPECTS_LATER_MS + 1220, SUSPECTS_PART).suspicion,
        EY_SUSPICION_NONE);
    suspects_add_crash(one, SUSPECTS_LATER_MS + 2000, SUSPECTS_PART, 4);
    cr_expect_eq(
        suspects_check(one, SUSPECTS_LATER_MS + 2000, SUSPECTS_PART).suspicion,
        EY_SUSPICION_NONE);
    talloc_free(ctx);
}

Test(crash_suspects, an_engine_that_goes_on_has_not_crashed)
{
    static const struct {
        const char *name;
        int64_t runs_ms; /* after the third crash */
        EySuspicion_t expected;
    } Cases[] = {
        {"an answer that began before is seen late", 50, EY_SUSPICION_BARRED},
        {"another answer begins", 500, EY_SUSPICION_NONE},
        {"the engine may have been started again", 3000, EY_SUSPICION_BARRED},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        void *ctx = talloc_new(NULL);
        EyCrashSuspects_t *one = suspects_make(ctx, "istra");
        EyCrashSuspects_t *other = suspects_make(ctx, "istra");
        for (int crash = 1; crash <= 3; crash++) {
            int64_t now_ms = SUSPECTS_LATER_MS + 500 * (int64_t)crash;
            suspects_add_crash(one, now_ms, SUSPECTS_PART, (uint64_t)crash);
        }
        suspects_send(one, other, SUSPECTS_LATER_MS + 1500,
                      SUSPECTS_LATER_MS + 1520, true);
        int64_t runs_ms = SUSPECTS_LATER_MS + 1500 + Cases[i].runs_ms;
        EyCrashSuspects_EngineRuns(one, runs_ms, 3);
        suspects_send(one, other, runs_ms, runs_ms + 20, true);
        suspects_send(other, one, runs_ms + 100, runs_ms + 120, true);
        cr_expect_eq(
            suspects_check(one, runs_ms + 200, SUSPECTS_PART).suspicion,
            Cases[i].expected, "%s", Cases[i].name);
        cr_expect_eq(
            suspects_check(other, runs_ms + 200, SUSPECTS_PART).suspicion,
            Cases[i].expected, "%s", Cases[i].name);
        talloc_free(ctx);
    }
}

Test(crash_suspects, a_remote_gateway_relays_to_its_region)
{
    static const struct {
        const char *name;
        bool is_cleared;
        EySuspicion_t expected;
    } Cases[] = {
        {"evidence", false, EY_SUSPICION_BARRED},
        {"success", true, EY_SUSPICION_NONE},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        void *ctx = talloc_new(NULL);
        EyCrashSuspects_t *far = suspects_make(ctx, "zadar");
        EyCrashSuspects_t *relay = suspects_make(ctx, "istra");
        EyCrashSuspects_t *last = suspects_make(ctx, "istra");
        for (int crash = 1; crash <= 3; crash++) {
            int64_t now_ms = SUSPECTS_LATER_MS + 500 * (int64_t)crash;
            suspects_add_crash(far, now_ms, SUSPECTS_PART, (uint64_t)crash);
        }
        suspects_send(far, relay, SUSPECTS_LATER_MS + 2000,
                      SUSPECTS_LATER_MS + 2050, false);
        suspects_send(relay, last, SUSPECTS_LATER_MS + 2100,
                      SUSPECTS_LATER_MS + 2120, true);
        if (Cases[i].is_cleared) {
            suspects_clear(far, SUSPECTS_LATER_MS + 2200, SUSPECTS_PART);
            suspects_send(far, relay, SUSPECTS_LATER_MS + 2300,
                          SUSPECTS_LATER_MS + 2350, false);
            suspects_send(relay, last, SUSPECTS_LATER_MS + 2400,
                          SUSPECTS_LATER_MS + 2420, true);
        }
        cr_expect_eq(
            suspects_check(last, SUSPECTS_LATER_MS + 2500, SUSPECTS_PART)
                .suspicion,
            Cases[i].expected, "%s", Cases[i].name);
        talloc_free(ctx);
    }
}

Test(crash_suspects, a_restarted_gateway_learns_bars_and_ended_bars)
{
    static const struct {
        int64_t at_ms; /* after the third crash */
        EySuspicion_t expected;
    } Cases[] = {
        {15000, EY_SUSPICION_BARRED},
        {60000, EY_SUSPICION_TRIAL},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        void *ctx = talloc_new(NULL);
        EyCrashSuspects_t *one = suspects_make(ctx, "istra");
        for (int crash = 0; crash < 3; crash++) {
            int64_t now_ms = SUSPECTS_LATER_MS + 500 * (int64_t)crash;
            suspects_add_crash(one, now_ms, SUSPECTS_PART,
                               1U + (uint64_t)crash);
        }
        EyCrashSuspects_t *restarted = EyCrashSuspects_New(ctx, "istra");
        int64_t now_ms = SUSPECTS_LATER_MS + Cases[i].at_ms;
        suspects_send(one, restarted, now_ms, now_ms + 20, true);
        EySuspicionResult_t result =
            suspects_check(restarted, now_ms + 20, SUSPECTS_PART);
        cr_expect_eq(result.suspicion, Cases[i].expected, "%ld: %d",
                     (long)Cases[i].at_ms, (int)result.suspicion);
        cr_expect_leq(result.left_ms, 30000 * 5 / 4);
        talloc_free(ctx);
    }
}

Test(crash_suspects, gateways_that_tell_each_other_do_not_prolong_a_bar)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *all[6];
    for (int i = 0; i < 6; i++) {
        all[i] = suspects_make(ctx, "istra");
    }
    for (int crash = 0; crash < 3; crash++) {
        int64_t now_ms = SUSPECTS_LATER_MS + 500 * (int64_t)crash;
        suspects_add_crash(all[0], now_ms, SUSPECTS_PART,
                           1U + (uint64_t)crash);
    }
    for (int64_t at_ms = 1000; at_ms < 31500; at_ms += 40) {
        int from = (int)(at_ms / 40 % 6);
        for (int to = 0; to < 6; to++) {
            if (to != from) {
                suspects_send(all[from], all[to], SUSPECTS_LATER_MS + at_ms,
                              SUSPECTS_LATER_MS + at_ms + 30, true);
            }
        }
    }
    for (int i = 0; i < 6; i++) {
        cr_expect_eq(
            EyCrashSuspects_BarCount(all[i], SUSPECTS_LATER_MS + 31500), 0,
            "%d", i);
    }
    talloc_free(ctx);
}

/* Failure: each gateway that repeats a reported success makes it younger, so
 * that it covers later crashes. */
Test(crash_suspects, a_reported_success_is_not_reported_again)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *saw = suspects_make(ctx, "istra");
    EyCrashSuspects_t *told = suspects_make(ctx, "istra");
    EyCrashSuspects_t *last = suspects_make(ctx, "istra");
    suspects_add_crash(saw, SUSPECTS_LATER_MS, SUSPECTS_PART, 1);
    suspects_clear(saw, SUSPECTS_LATER_MS + 100, SUSPECTS_PART);
    suspects_send(saw, told, SUSPECTS_LATER_MS + 200, SUSPECTS_LATER_MS + 250,
                  true);
    suspects_add_crash(last, SUSPECTS_LATER_MS + 300, SUSPECTS_PART, 2);
    suspects_send(last, told, SUSPECTS_LATER_MS + 400, SUSPECTS_LATER_MS + 450,
                  true);
    EyEngineUpdate_t *update = EY_NEW(ctx, EyEngineUpdate_t);
    EyCrashSuspects_Collect(told, SUSPECTS_LATER_MS + 500, true, update);
    cr_expect_eq(update->cleared_count, 0);
    update = EY_NEW(ctx, EyEngineUpdate_t);
    EyCrashSuspects_Collect(saw, SUSPECTS_LATER_MS + 500, true, update);
    cr_expect_eq(update->cleared_count, 1);
    talloc_free(ctx);
}

Test(crash_suspects, an_update_of_an_older_build_has_no_suspects)
{
    void *ctx = talloc_new(NULL);
    /* An array of one field: the engines, of which there are none. */
    static const uint8_t Old[] = {0x91, 0x90};
    EyEngineUpdate_t update;
    cr_assert(EySchema_Unpack(&EyEngineUpdate_schema, ctx, Old, sizeof(Old),
                              &update, NULL));
    cr_expect_eq(
        update.evidence_count + update.cleared_count + update.bar_count, 0);
    talloc_free(ctx);
}

Test(crash_suspects, evidence_that_was_refuted_is_not_told_any_more)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *saw = suspects_make(ctx, "istra");
    EyCrashSuspects_t *refutes = suspects_make(ctx, "istra");
    EyCrashSuspects_t *later = suspects_make(ctx, "istra");
    for (uint64_t crash = 1; crash <= 3; crash++) {
        int64_t now_ms = SUSPECTS_LATER_MS + 500 * (int64_t)crash;
        suspects_add_crash(saw, now_ms, SUSPECTS_PART, crash);
        suspects_send(saw, refutes, now_ms + 20, now_ms + 40, true);
        EyCrashSuspects_EngineRuns(refutes, now_ms + 300, crash);
        suspects_send(refutes, saw, now_ms + 320, now_ms + 340, true);
    }
    /* The refutations are told for 2 s, the evidence for 10 s. */
    int64_t now_ms = SUSPECTS_LATER_MS + 5000;
    suspects_send(refutes, later, now_ms, now_ms + 20, true);
    suspects_send(saw, later, now_ms, now_ms + 20, true);
    cr_expect_eq(suspects_check(saw, now_ms + 100, SUSPECTS_PART).suspicion,
                 EY_SUSPICION_NONE);
    cr_expect_eq(suspects_check(later, now_ms + 100, SUSPECTS_PART).suspicion,
                 EY_SUSPICION_NONE);
    talloc_free(ctx);
}

Test(crash_suspects, evidence_that_was_refuted_is_not_relayed_to_the_region)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *far = suspects_make(ctx, "zadar");
    EyCrashSuspects_t *relay = suspects_make(ctx, "istra");
    EyCrashSuspects_t *last = suspects_make(ctx, "istra");
    for (uint64_t crash = 1; crash <= 3; crash++) {
        int64_t now_ms = SUSPECTS_LATER_MS + 500 * (int64_t)crash;
        suspects_add_crash(far, now_ms, SUSPECTS_PART, crash);
        suspects_send(far, relay, now_ms + 20, now_ms + 40, false);
        EyCrashSuspects_EngineRuns(relay, now_ms + 300, crash);
    }
    /* The refutations are told no more; far has missed them. */
    int64_t now_ms = SUSPECTS_LATER_MS + 5000;
    suspects_send(far, relay, now_ms, now_ms + 20, false);
    suspects_send(relay, last, now_ms + 100, now_ms + 120, true);
    cr_expect_eq(suspects_check(last, now_ms + 200, SUSPECTS_PART).suspicion,
                 EY_SUSPICION_NONE);
    talloc_free(ctx);
}
