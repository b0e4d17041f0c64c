#include "soak/ledger.h"

#include "process/harness.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define SAMPLES_MAX 5
/** Time that a machine must have been undisturbed to be in touch. */
#define CONTACT_MS 5000

static const char *const RuleNames[RULE_COUNT] = {"ORDER",   "MIXED", "TWICE",
                                                  "REFUSED", "HOME",  "BUDGET",
                                                  "CONFIG",  "GONE",  "ENDED"};

const RouteInfo_t Soak_routes[ROUTE_COUNT] = {
    [ROUTE_RESUMABLE] = {.name = "resumable",
                         .call_kind = "stream",
                         .service = "guide",
                         .is_stream = true},
    [ROUTE_ONCE_STREAM] = {.name = "once-stream",
                           .call_kind = "stream",
                           .service = "guide",
                           .is_stream = true,
                           .runs_once = true},
    [ROUTE_IDEMPOTENT] = {.name = "idempotent",
                          .call_kind = "idempotent",
                          .service = "booking"},
    [ROUTE_AT_MOST_ONCE] = {.name = "once",
                            .call_kind = "at_most_once",
                            .service = "booking",
                            .runs_once = true},
    [ROUTE_HOME] = {.name = "home",
                    .call_kind = "idempotent",
                    .service = "booking",
                    .has_home = true},
};

void
Ledger_Init(Ledger_t *self)
{
    memset(self, 0, sizeof(*self));
    g_mutex_init(&self->lock);
    self->calls = g_array_new(FALSE, TRUE, sizeof(SoakCall_t));
    self->runs = g_array_new(FALSE, TRUE, sizeof(SoakRun_t));
    self->troubles = g_array_new(FALSE, TRUE, sizeof(SoakTrouble_t));
}

void
Ledger_Clear(Ledger_t *self)
{
    g_array_unref(self->calls);
    g_array_unref(self->runs);
    g_array_unref(self->troubles);
    g_mutex_clear(&self->lock);
}

void
Ledger_AddCall(Ledger_t *self, const SoakCall_t *call)
{
    g_mutex_lock(&self->lock);
    g_array_append_vals(self->calls, call, 1);
    g_mutex_unlock(&self->lock);
}

void
Ledger_AddRun(Ledger_t *self, const char *id, int64_t lasts_ms)
{
    SoakRun_t run = {.began_ms = Harness_NowMs()};
    (void)g_strlcpy(run.id, id, sizeof(run.id));
    run.worked_ms = run.began_ms;
    run.planned_until_ms = run.began_ms + lasts_ms;
    g_mutex_lock(&self->lock);
    g_array_append_val(self->runs, run);
    g_mutex_unlock(&self->lock);
}

void
Ledger_NoteWork(Ledger_t *self, const char *id)
{
    g_mutex_lock(&self->lock);
    for (guint i = self->runs->len; i > 0; i--) {
        SoakRun_t *run = &g_array_index(self->runs, SoakRun_t, i - 1);
        if (strcmp(run->id, id) == 0) {
            run->worked_ms = Harness_NowMs();
            break;
        }
    }
    g_mutex_unlock(&self->lock);
}

uint32_t
Ledger_BeginTrouble(Ledger_t *self, uint32_t gateway)
{
    const SoakTrouble_t trouble = {
        .gateway = gateway, .from_ms = Harness_NowMs(), .until_ms = INT64_MAX};
    g_mutex_lock(&self->lock);
    g_array_append_val(self->troubles, trouble);
    uint32_t number = self->troubles->len - 1;
    g_mutex_unlock(&self->lock);
    return number;
}

void
Ledger_EndTrouble(Ledger_t *self, uint32_t trouble)
{
    g_mutex_lock(&self->lock);
    g_array_index(self->troubles, SoakTrouble_t, trouble).until_ms =
        Harness_NowMs();
    g_mutex_unlock(&self->lock);
}

bool
Ledger_IsInTouch(Ledger_t *self, uint32_t gateway, int64_t from_ms,
                 int64_t until_ms)
{
    bool is_in_touch = true;
    g_mutex_lock(&self->lock);
    for (guint i = 0; i < self->troubles->len; i++) {
        const SoakTrouble_t *trouble =
            &g_array_index(self->troubles, SoakTrouble_t, i);
        bool concerns = trouble->gateway == gateway ||
                        trouble->gateway == LEDGER_ALL_GATEWAYS;
        if (concerns && trouble->from_ms <= until_ms &&
            (trouble->until_ms == INT64_MAX ||
             trouble->until_ms + CONTACT_MS >= from_ms))
        {
            is_in_touch = false;
        }
    }
    g_mutex_unlock(&self->lock);
    return is_in_touch;
}

void
Ledger_Break(Ledger_t *self, SoakRule_t rule, const char *format, ...)
{
    g_mutex_lock(&self->lock);
    self->broken[rule]++;
    if (self->broken[rule] <= SAMPLES_MAX) {
        va_list values;
        va_start(values, format);
        char *text = g_strdup_vprintf(format, values);
        va_end(values);
        char *escaped = g_strescape(text, NULL);
        (void)printf("%s at %" G_GINT64_FORMAT " ms: %.600s\n",
                     RuleNames[rule], Harness_NowMs(), escaped);
        (void)fflush(stdout);
        g_free(escaped);
        g_free(text);
    }
    g_mutex_unlock(&self->lock);
}

bool
Ledger_Report(Ledger_t *self)
{
    uint32_t sum = 0;
    g_mutex_lock(&self->lock);
    (void)printf("calls %u, runs %u, troubles %u; broken:", self->calls->len,
                 self->runs->len, self->troubles->len);
    for (uint32_t i = 0; i < RULE_COUNT; i++) {
        (void)printf(" %s %u", RuleNames[i], self->broken[i]);
        sum += self->broken[i];
    }
    (void)printf("\n");
    g_mutex_unlock(&self->lock);
    return sum == 0;
}
