#include "quotas/quota_client.h"

#include "core/memory.h"
#include "core/random.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0
#define REPORT_MS 200
/** Interval of reports without accounts. */
#define EMPTY_REPORT_MS 1000
/** With more accounts in a report than this the interval grows in proportion,
 * so that the bytes a second stay bounded. */
#define REPORT_ACCOUNTS 256
/** When a report has waited this long for its answer, the next control process
 * is asked. */
#define CONTROL_TIMEOUT_MS 600
/** When a report has waited this long for its answer, the share applies; also
 * after a pause of this process of that length. */
#define CONTACT_MS 1000
/** When a report has waited this long, which is longer than an answer takes
 * between the farthest regions, the last answer is extrapolated. */
#define LATE_ANSWER_MS 450
/** Out of contact, the last answer is extrapolated for this time before the
 * share applies: when a coordinator fails, the next one answers sooner, and a
 * share of few calls a second refuses calls of accounts below their limits. */
#define FORECAST_MS 3000
/** Least own demand, as a part of the rate divided among the gateways, of
 * which a growth is taken for a growth of the whole fleet's demand. */
#define FORECAST_BASE_PART 0.5
/** Half of a growth is believed that is seen in this many calls a second. */
#define GROWTH_CALLS_PER_S 10.0
/** An answer about an account applies for this time. */
#define ANSWER_KEPT_MS 2000
/** A gateway out of contact keeps its share for less time than the
 * coordinator reserves it (EY_QUOTA_RESERVED_MS), as it may run late. */
#define SHARE_KEPT_MS 28000
/** Reports whose answers are recognised: 3.2 s of them. */
#define REPORTS_KEPT 16
/** A report is made early if the demand of an account has grown by this factor
 * since the last one, by at least this number of calls. */
#define SURGE_FACTOR 2.0
#define SURGE_CALLS 3
/** A gateway that knows fewer gateways than this may be cut off; with less it
 * would take too large a part of the overage. */
#define GATEWAYS_MIN 16
/** After the first limits, the coordinator learns the demand first. */
#define FIRST_LIMITS_MS 2000
/** An estimate of demand below this part of the rate is taken for 0. */
#define DEMAND_MIN_PART 1e-4
/** Bounds and jitter of Retry-After. */
#define RETRY_MIN_S 0.25
#define RETRY_MAX_S 8.0
#define RETRY_JITTER 0.25
/** Retry-After of a gateway that has had no answer yet. */
#define RETRY_UNKNOWN_S 0.5
#define DUMP_MAX 100

const char *const EyQuotaClient_mode_names[EY_QUOTA_MODE_COUNT] = {
    [EY_QUOTA_BY_ANSWER] = "answer",
    [EY_QUOTA_BY_FORECAST] = "forecast",
    [EY_QUOTA_BY_SHARE] = "share",
};

/** An account that this gateway gets calls of. */
typedef struct Account {
    EyQuotaLimit_t limit;
    /* What this gateway sees. */
    double asked;       /* units since the last tick */
    uint32_t calls;     /* since the last report */
    uint32_t new_calls; /* since the last tick */
    double calls_per_s; /* smoothed, at ticked_ms */
    double asked_per_s; /* smoothed, at ticked_ms */
    int64_t ticked_ms;
    double reported_per_s; /* demand in the last report */
    double admitted;       /* units since the start */
    double credit;         /* given back; taken off what is admitted next */
    double answered;       /* units of admitted in the last answered report */
    double admitted_at[REPORTS_KEPT]; /* by report number */
    double asked_at[REPORTS_KEPT];    /* demand, by report number */
    uint64_t joined_number; /* the first report that can have named it */
    double debt;            /* of the fraction: calls to admit, see admit() */
    int64_t refused_ms;     /* start of the window of the last logged refusal;
                               INT64_MIN: none */
    /* What the last answer said. */
    bool has_answer;
    EyQuotaAnswerEntry_t answer;
    int64_t answer_sent_ms; /* of the report that was answered */
    double base_per_s;      /* own demand in that report */
    /* The share, as a local token bucket. */
    double share;
    double level; /* units */
    int64_t level_ms;
} Account_t;

struct EyQuotaClient {
    EyQuotaBounds_t bounds;
    uint64_t incarnation;
    EyRandom_t random;
    GHashTable *limits;                       /* name -> EyQuotaLimit_t */
    GHashTable *accounts;                     /* name -> Account_t */
    EyName_t controls[EY_QUOTA_CONTROLS_MAX]; /* by name */
    uint32_t control_count;
    uint32_t control;        /* index of the current one */
    uint64_t control_number; /* last report that it needn't answer any more */
    uint32_t gateway_count;
    uint32_t answered_gateway_count; /* as the last answer named; 0: none */
    uint64_t number;                 /* of the last report */
    int64_t sent_ms[REPORTS_KEPT];   /* by report number */
    int64_t reported_ms;             /* of the last report */
    int64_t interval_ms;             /* of reports */
    int64_t ticked_ms;               /* -1: never */
    int64_t answered_ms; /* when the newest answered report was sent; -1:
                            none was */
    uint64_t answered_number;
    uint64_t resumed_number; /* first report after the last pause: an answer to
                                an earlier one doesn't restore contact */
    bool has_limits;         /* they were set, to none or more */
    int64_t enforced_from_ms; /* until then all calls are admitted */
};

static int
client_destroy(EyQuotaClient_t *self)
{
    g_hash_table_destroy(self->accounts);
    g_hash_table_destroy(self->limits);
    return 0;
}

static GHashTable *
new_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 EyMemory_Free);
}

EyQuotaClient_t *
EyQuotaClient_New(const void *ctx, const EyQuotaBounds_t *bounds,
                  uint64_t incarnation, uint64_t seed)
{
    EyQuotaClient_t *self = EY_NEW(ctx, EyQuotaClient_t);
    self->bounds = *bounds;
    self->incarnation = incarnation;
    self->random = EyRandom_Make(seed);
    self->limits = new_table();
    self->accounts = new_table();
    self->answered_ms = -1;
    self->ticked_ms = -1;
    self->reported_ms = INT64_MIN / 2;
    self->interval_ms = REPORT_MS;
    talloc_set_destructor(self, client_destroy);
    return self;
}

void
EyQuotaClient_SetLimits(EyQuotaClient_t *self, int64_t now_ms,
                        const EyQuotaLimit_t *limits, uint32_t count)
{
    bool was_unlimited = self->has_limits && !EyQuotaClient_IsActive(self);
    g_hash_table_remove_all(self->limits);
    for (uint32_t i = 0; i < count; i++) {
        if (limits[i].rate_per_s > 0.0) {
            EyQuotaLimit_t *limit = EY_NEW(NULL, EyQuotaLimit_t);
            *limit = limits[i];
            (void)g_hash_table_insert(self->limits, g_strdup(limit->name),
                                      limit);
        }
    }
    self->has_limits = true;
    if (was_unlimited && EyQuotaClient_IsActive(self)) {
        self->enforced_from_ms = now_ms + FIRST_LIMITS_MS;
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Account_t *account = value;
        const EyQuotaLimit_t *limit =
            g_hash_table_lookup(self->limits, account->limit.name);
        if (limit == NULL) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        account->limit = *limit;
    }
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(a, b);
}

void
EyQuotaClient_SetControls(EyQuotaClient_t *self, const EyName_t *controls,
                          uint32_t count)
{
    EyName_t current = "";
    if (self->control_count > 0) {
        (void)EY_COPY(current, self->controls[self->control]);
    }
    self->control_count = MIN(count, EY_QUOTA_CONTROLS_MAX);
    for (uint32_t i = 0; i < self->control_count; i++) {
        (void)EY_COPY(self->controls[i], controls[i]);
    }
    qsort(self->controls, self->control_count, sizeof(EyName_t),
          compare_names);
    self->control = 0;
    for (uint32_t i = 0; i < self->control_count; i++) {
        if (strcmp(self->controls[i], current) == 0) {
            self->control = i;
        }
    }
}

void
EyQuotaClient_SetGatewayCount(EyQuotaClient_t *self, uint32_t count)
{
    self->gateway_count = count;
}

bool
EyQuotaClient_IsActive(const EyQuotaClient_t *self)
{
    return g_hash_table_size(self->limits) > 0;
}

const EyQuotaLimit_t *
EyQuotaClient_Limit(const EyQuotaClient_t *self, const char *account)
{
    return g_hash_table_lookup(self->limits, account);
}

/* Decisions */

/** How long the first report after the one with a number has waited; 0 if
 * there is none. */
static int64_t
waiting_ms(const EyQuotaClient_t *self, int64_t now_ms, uint64_t number)
{
    if (number >= self->number) {
        return 0;
    }
    if (number + REPORTS_KEPT <= self->number) {
        return INT64_MAX;
    }
    return now_ms - self->sent_ms[(number + 1) % REPORTS_KEPT];
}

/** True if this process stood still since the last tick. */
static bool
is_paused(const EyQuotaClient_t *self, int64_t now_ms)
{
    return self->ticked_ms >= 0 && now_ms - self->ticked_ms > CONTACT_MS;
}

/** True if there was an answer since this process started or last stood still.
 */
static bool
has_valid_answer(const EyQuotaClient_t *self, int64_t now_ms)
{
    return self->answered_ms >= 0 &&
           self->answered_number >= self->resumed_number &&
           !is_paused(self, now_ms);
}

static bool
is_in_contact(const EyQuotaClient_t *self, int64_t now_ms)
{
    return has_valid_answer(self, now_ms) &&
           waiting_ms(self, now_ms, self->answered_number) <= CONTACT_MS;
}

/** A smoothed rate at a time after the last tick, since which there was count
 * more. */
static double
smooth(const EyQuotaClient_t *self, const Account_t *account, int64_t now_ms,
       double per_s, double count)
{
    double elapsed_s = (double)MAX(now_ms - account->ticked_ms, 1) / MS_PER_S;
    double decay = exp(
        -elapsed_s / EyQuotaLimit_SmoothingS(&account->limit, &self->bounds));
    return per_s * decay + count / elapsed_s * (1.0 - decay);
}

/** The smoothed demand at a time after the last tick, in units a second. */
static double
demand_per_s(const EyQuotaClient_t *self, const Account_t *account,
             int64_t now_ms)
{
    return smooth(self, account, now_ms, account->asked_per_s, account->asked);
}

/** The share of the rate that this gateway may spend out of contact. */
static double
share(const EyQuotaClient_t *self, const Account_t *account, int64_t now_ms)
{
    uint32_t count = MAX(self->gateway_count, self->answered_gateway_count);
    double least = self->bounds.overage / MAX(count, GATEWAYS_MIN);
    bool is_kept = account->has_answer &&
                   now_ms - account->answer_sent_ms < SHARE_KEPT_MS;
    return is_kept ? MAX(account->share, least) : least;
}

static void
advance_level(const EyQuotaClient_t *self, Account_t *account, int64_t now_ms)
{
    double part = share(self, account, now_ms);
    double elapsed_s = (double)MAX(now_ms - account->level_ms, 0) / MS_PER_S;
    account->level += part * account->limit.rate_per_s * elapsed_s;
    account->level = MIN(account->level, part * account->limit.burst);
    account->level_ms = MAX(now_ms, account->level_ms);
}

/** Decides by this gateway's share of the rate: as the coordinator does for
 * the fleet. A bucket that lets one call pass while it isn't empty would send
 * up to one call too many at each gateway, which is more than the bound
 * allows for an account with a low rate. */
static void
decide_by_share(const EyQuotaClient_t *self, Account_t *account,
                int64_t now_ms, EyQuotaDecision_t *decision)
{
    advance_level(self, account, now_ms);
    decision->mode = EY_QUOTA_BY_SHARE;
    decision->demand = demand_per_s(self, account, now_ms);
    decision->level = account->level;
    double supply_per_s =
        share(self, account, now_ms) * account->limit.rate_per_s +
        account->level;
    decision->fraction = supply_per_s >= decision->demand
                             ? 1.0
                             : MAX(supply_per_s, 0.0) / decision->demand;
}

/** Decides by the coordinator's answer, corrected for what the demand of this
 * gateway has grown by since. An account that wasn't named in answers isn't
 * above its limit. */
static void
decide_by_answer(const EyQuotaClient_t *self, const Account_t *account,
                 int64_t now_ms, EyQuotaDecision_t *decision)
{
    decision->mode = EY_QUOTA_BY_ANSWER;
    double own_per_s = demand_per_s(self, account, now_ms);
    if (!account->has_answer || now_ms - account->answer_sent_ms >
                                    MAX(ANSWER_KEPT_MS, 2 * self->interval_ms))
    {
        decision->fraction = 1.0;
        decision->demand = own_per_s;
        return;
    }
    const EyQuotaAnswerEntry_t *answer = &account->answer;
    decision->level = answer->level;
    decision->demand =
        answer->demand + MAX(own_per_s - account->base_per_s, 0.0);
    decision->fraction = EyQuotaLimit_Fraction(
        &account->limit, &self->bounds, answer->rate_per_s, answer->level,
        decision->demand);
}

/** True if the last answer is recent enough to extrapolate the fleet's demand
 * from it. */
static bool
may_forecast(const EyQuotaClient_t *self, int64_t now_ms)
{
    return has_valid_answer(self, now_ms) &&
           now_ms - self->answered_ms <= FORECAST_MS;
}

/** By what factor the fleet's demand is taken to have grown since the last
 * answer: the own one's, but less of it the fewer calls it is made of, as a
 * single large call is no flood. */
static double
growth(const EyQuotaClient_t *self, const Account_t *account, int64_t now_ms,
       double own_per_s)
{
    uint32_t count = MAX(self->answered_gateway_count, 1);
    double base_per_s =
        MAX(account->base_per_s,
            account->limit.rate_per_s * FORECAST_BASE_PART / count);
    double calls_per_s = smooth(self, account, now_ms, account->calls_per_s,
                                (double)account->new_calls);
    double weight = calls_per_s / (calls_per_s + GROWTH_CALLS_PER_S);
    return 1.0 + MAX(own_per_s / base_per_s - 1.0, 0.0) * weight;
}

/** Decides by what the last answer says if the fleet's demand has grown as the
 * own one has, and is spent from the level. An account that wasn't named in
 * recent answers isn't above its limit. */
static void
decide_by_forecast(const EyQuotaClient_t *self, const Account_t *account,
                   int64_t now_ms, EyQuotaDecision_t *decision)
{
    double own_per_s = demand_per_s(self, account, now_ms);
    decision->mode = EY_QUOTA_BY_FORECAST;
    decision->fraction = 1.0;
    decision->demand = own_per_s;
    bool is_named = account->has_answer && decision->age_ms <= FORECAST_MS;
    if (!is_named) {
        return;
    }
    const EyQuotaAnswerEntry_t *answer = &account->answer;
    double age_s = (double)decision->age_ms / MS_PER_S;
    decision->demand =
        answer->demand * growth(self, account, now_ms, own_per_s);
    decision->level =
        MIN(answer->level + (answer->rate_per_s - decision->demand) * age_s,
            EyQuotaLimit_LevelMax(&account->limit, &self->bounds));
    decision->fraction = EyQuotaLimit_Fraction(
        &account->limit, &self->bounds, answer->rate_per_s, decision->level,
        decision->demand);
}

static void
decide(const EyQuotaClient_t *self, Account_t *account, int64_t now_ms,
       EyQuotaDecision_t *decision)
{
    bool is_enforced = now_ms >= self->enforced_from_ms;
    bool is_late =
        waiting_ms(self, now_ms, self->answered_number) > LATE_ANSWER_MS;
    bool in_contact = is_in_contact(self, now_ms);
    if (account->has_answer) {
        decision->age_ms = now_ms - account->answer_sent_ms;
    }
    if (in_contact || !is_enforced) {
        decide_by_answer(self, account, now_ms, decision);
    }
    if (!is_enforced || (in_contact && !is_late)) {
        return;
    }
    if (may_forecast(self, now_ms)) {
        decide_by_forecast(self, account, now_ms, decision);
        return;
    }
    EyQuotaDecision_t by_share = *decision;
    decide_by_share(self, account, now_ms, &by_share);
    if (!in_contact || by_share.fraction < decision->fraction) {
        *decision = by_share;
    }
}

/** Admits a fraction of the calls, evenly: the debt is what fraction of a call
 * should have been admitted so far. The threshold varies, so that no order of
 * large and small calls is favoured. */
static bool
admit_fraction(EyQuotaClient_t *self, Account_t *account, double part)
{
    if (part >= 1.0) {
        return true;
    }
    account->debt += part;
    if (account->debt < 0.5 + EyRandom_Unit(&self->random)) {
        return false;
    }
    account->debt -= 1.0;
    return true;
}

/** How long the calls that were refused in the last second would take at the
 * account's rate; before the first answer, how long that may take; with
 * jitter. */
static int64_t
retry_after_ms(EyQuotaClient_t *self, double part)
{
    double refused_s = 1.0 / MAX(part, 1.0 / (RETRY_MAX_S + 1.0)) - 1.0;
    double wait_s = self->answered_ms < 0 ? RETRY_UNKNOWN_S : refused_s;
    double jitter =
        1.0 + RETRY_JITTER * (2.0 * EyRandom_Unit(&self->random) - 1.0);
    return (int64_t)(CLAMP(wait_s * jitter, RETRY_MIN_S, RETRY_MAX_S) *
                     MS_PER_S);
}

static Account_t *
find_account(EyQuotaClient_t *self, int64_t now_ms, const char *name)
{
    Account_t *account = g_hash_table_lookup(self->accounts, name);
    if (account != NULL) {
        return account;
    }
    const EyQuotaLimit_t *limit = g_hash_table_lookup(self->limits, name);
    if (limit == NULL) {
        return NULL;
    }
    account = EY_NEW(NULL, Account_t);
    account->limit = *limit;
    account->ticked_ms = now_ms;
    account->level_ms = now_ms;
    account->refused_ms = INT64_MIN;
    account->joined_number = self->number + 1;
    /* Gateways that begin to refuse at the same time do so out of step. */
    account->debt = EyRandom_Unit(&self->random) - 0.5;
    (void)g_hash_table_insert(self->accounts, g_strdup(name), account);
    return account;
}

static void
count_admitted(Account_t *account, double units)
{
    double credit = MIN(account->credit, units);
    account->credit -= credit;
    account->admitted += units - credit;
    account->level -= units - credit;
}

EyQuotaDecision_t
EyQuotaClient_Admit(EyQuotaClient_t *self, int64_t now_ms, const char *account,
                    double units)
{
    EyQuotaDecision_t decision = {
        .is_admitted = true, .fraction = 1.0, .age_ms = -1};
    Account_t *state = find_account(self, now_ms, account);
    if (state == NULL) {
        return decision;
    }
    state->asked += units;
    state->calls++;
    state->new_calls++;
    decide(self, state, now_ms, &decision);
    decision.is_admitted = admit_fraction(self, state, decision.fraction);
    if (decision.is_admitted) {
        advance_level(self, state, now_ms);
        count_admitted(state, units);
        return decision;
    }
    decision.retry_after_ms = retry_after_ms(self, decision.fraction);
    int64_t window_ms = (int64_t)(self->bounds.window_s * MS_PER_S);
    decision.is_first_refusal = state->refused_ms == INT64_MIN ||
                                now_ms - state->refused_ms >= window_ms;
    if (decision.is_first_refusal) {
        state->refused_ms = now_ms;
    }
    return decision;
}

void
EyQuotaClient_GiveBack(EyQuotaClient_t *self, const char *account,
                       double units)
{
    Account_t *state = g_hash_table_lookup(self->accounts, account);
    if (state != NULL) {
        state->credit += units;
        state->level += units;
    }
}

/* Reports */

static void
tick_account(const EyQuotaClient_t *self, Account_t *account, int64_t now_ms)
{
    if (now_ms <= account->ticked_ms) {
        return;
    }
    account->asked_per_s = demand_per_s(self, account, now_ms);
    account->calls_per_s = smooth(self, account, now_ms, account->calls_per_s,
                                  account->new_calls);
    account->asked = 0.0;
    account->new_calls = 0;
    account->ticked_ms = now_ms;
    if (account->asked_per_s < DEMAND_MIN_PART * account->limit.rate_per_s) {
        account->asked_per_s = 0.0;
    }
}

/** True if the demand has risen so fast that the coordinator must know before
 * the next report is due. */
static bool
has_surged(const Account_t *account)
{
    return account->calls >= SURGE_CALLS &&
           account->asked_per_s > SURGE_FACTOR * account->reported_per_s;
}

/** True if the coordinator needs to know more of the account. */
static bool
is_reportable(const EyQuotaClient_t *self, const Account_t *account)
{
    uint32_t index = self->answered_number % REPORTS_KEPT;
    return account->asked_per_s > 0.0 ||
           account->admitted > account->answered ||
           (account->joined_number <= self->answered_number &&
            account->asked_at[index] > 0.0);
}

static void
report_account(const EyQuotaClient_t *self, Account_t *account,
               EyQuotaReport_t *report)
{
    uint32_t index = report->number % REPORTS_KEPT;
    account->admitted_at[index] = account->admitted;
    account->asked_at[index] = account->asked_per_s;
    account->reported_per_s = account->asked_per_s;
    account->calls = 0;
    if (!is_reportable(self, account) ||
        report->account_count == EY_QUOTA_ACCOUNTS_MAX)
    {
        return;
    }
    EyQuotaReportEntry_t *entry = &report->accounts[report->account_count++];
    (void)EY_COPY(entry->name, account->limit.name);
    entry->asked_per_s = account->asked_per_s;
    entry->admitted = account->admitted;
    entry->unanswered = account->admitted - account->answered;
    entry->level = account->answer.level;
    entry->share = account->share;
}

static EyQuotaReport_t *
make_report(EyQuotaClient_t *self, const void *ctx, int64_t now_ms)
{
    EyQuotaReport_t *report = EY_NEW(ctx, EyQuotaReport_t);
    report->from_incarnation = self->incarnation;
    report->number = ++self->number;
    report->level_age_ms =
        self->answered_ms < 0 ? -1 : now_ms - self->answered_ms;
    report->gateway_count = self->answered_gateway_count;
    report->accounts = EY_NEW_ARRAY(report, EyQuotaReportEntry_t,
                                    g_hash_table_size(self->accounts));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        report_account(self, value, report);
    }
    self->sent_ms[report->number % REPORTS_KEPT] = now_ms;
    self->reported_ms = now_ms;
    self->interval_ms =
        (int64_t)REPORT_MS * MAX(report->account_count / REPORT_ACCOUNTS, 1);
    report->interval_ms = (uint32_t)self->interval_ms;
    return report;
}

/** Asks the next control process if the current one doesn't answer. */
static void
choose_control(EyQuotaClient_t *self, int64_t now_ms)
{
    if (waiting_ms(self, now_ms, self->control_number) > CONTROL_TIMEOUT_MS) {
        self->control = (self->control + 1) % self->control_count;
        self->control_number = self->number;
    }
}

static bool
is_report_due(const EyQuotaClient_t *self, int64_t now_ms, bool has_surge,
              bool has_content)
{
    int64_t elapsed_ms = now_ms - self->reported_ms;
    return (has_surge && self->interval_ms == REPORT_MS) ||
           elapsed_ms >= MAX(EMPTY_REPORT_MS, self->interval_ms) ||
           (has_content && elapsed_ms >= self->interval_ms);
}

EyQuotaDispatch_t
EyQuotaClient_Tick(EyQuotaClient_t *self, const void *ctx, int64_t now_ms)
{
    EyQuotaDispatch_t dispatch = {.report = NULL};
    if (!EyQuotaClient_IsActive(self)) {
        return dispatch;
    }
    if (is_paused(self, now_ms)) {
        self->resumed_number = self->number + 1;
        self->control_number = self->number;
    }
    self->ticked_ms = now_ms;
    bool has_surge = false;
    bool has_content = false;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        tick_account(self, value, now_ms);
        has_surge |= has_surged(value);
        has_content |= is_reportable(self, value);
    }
    if (self->control_count == 0 ||
        !is_report_due(self, now_ms, has_surge, has_content))
    {
        return dispatch;
    }
    choose_control(self, now_ms);
    dispatch.report = make_report(self, ctx, now_ms);
    dispatch.to[0] = self->controls[self->control];
    /* The preferred one learns of everything before it takes over again. */
    dispatch.to[1] = self->control > 0 ? self->controls[0] : NULL;
    return dispatch;
}

static void
apply_entry(EyQuotaClient_t *self, int64_t now_ms, int64_t sent_ms,
            uint32_t index, const EyQuotaAnswerEntry_t *entry)
{
    Account_t *account = find_account(self, now_ms, entry->name);
    if (account == NULL) {
        return;
    }
    bool was_reported = account->joined_number <= self->answered_number;
    account->answer = *entry;
    account->has_answer = true;
    account->answer_sent_ms = sent_ms;
    account->share = entry->share;
    account->base_per_s = was_reported ? account->asked_at[index] : 0.0;
    double admitted_since =
        account->admitted - (was_reported ? account->admitted_at[index] : 0.0);
    /* The share of the level, less what was admitted since the report. */
    account->level_ms = sent_ms;
    account->level =
        MIN(entry->share * entry->level, entry->share * account->limit.burst) -
        admitted_since;
    advance_level(self, account, now_ms);
}

/** The reports up to the answered one needn't be repeated. */
static void
acknowledge(EyQuotaClient_t *self, uint32_t index)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Account_t *account = value;
        if (account->joined_number <= self->answered_number) {
            account->answered = account->admitted_at[index];
        }
    }
}

void
EyQuotaClient_Answer(EyQuotaClient_t *self, int64_t now_ms, const char *from,
                     const EyQuotaAnswer_t *answer)
{
    bool is_known = answer->incarnation == self->incarnation &&
                    answer->number <= self->number &&
                    answer->number + REPORTS_KEPT > self->number &&
                    answer->number > self->answered_number;
    bool is_current = self->control_count > 0 &&
                      strcmp(from, self->controls[self->control]) == 0;
    bool is_preferred =
        self->control_count > 0 && strcmp(from, self->controls[0]) == 0;
    if (is_known && is_current) {
        self->control_number = MAX(self->control_number, answer->number);
    }
    if (!is_known || !answer->is_ready || (!is_current && !is_preferred)) {
        return;
    }
    if (!is_current) {
        self->control = 0;
        self->control_number = answer->number;
    }
    uint32_t index = answer->number % REPORTS_KEPT;
    self->answered_number = answer->number;
    self->answered_ms = self->sent_ms[index];
    self->answered_gateway_count = answer->gateway_count;
    acknowledge(self, index);
    for (uint32_t i = 0; i < answer->account_count; i++) {
        apply_entry(self, now_ms, self->answered_ms, index,
                    &answer->accounts[i]);
    }
}

json_t *
EyQuotaClient_Dump(const EyQuotaClient_t *self, int64_t now_ms)
{
    json_t *items = json_array();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (json_array_size(items) < DUMP_MAX &&
           g_hash_table_iter_next(&iterator, NULL, &value))
    {
        const Account_t *account = value;
        (void)json_array_append_new(
            items,
            json_pack("{s:s, s:f, s:f, s:f, s:f, s:f, s:f}", "account",
                      account->limit.name, "rate_per_s",
                      account->limit.rate_per_s, "own_per_s",
                      account->asked_per_s, "demand_per_s",
                      account->answer.demand, "level", account->answer.level,
                      "fraction",
                      account->has_answer ? account->answer.fraction : 1.0,
                      "share", account->share));
    }
    return json_pack(
        "{s:s, s:I, s:b, s:o}", "coordinator",
        self->control_count > 0 ? self->controls[self->control] : "",
        "answer_age_ms",
        (json_int_t)(self->answered_ms < 0 ? -1 : now_ms - self->answered_ms),
        "in_contact", is_in_contact(self, now_ms), "accounts", items);
}
