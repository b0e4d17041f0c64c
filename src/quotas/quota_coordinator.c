#include "quotas/quota_coordinator.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

#define MS_PER_S 1000.0
/** How long reports are collected before fractions are named: two reports of
 * each gateway, which may have noticed the failure of the former coordinator
 * 0.3 s apart. Longer if no report carries a level. */
#define COLLECT_MS 600
#define COLLECT_UNKNOWN_MS 1000
/** Interval at which silent gateways are looked for. */
#define SWEEP_MS 100
/** Interval at which the sums of demand are recomputed. */
#define SUM_MS 5000
/** A gateway is forgotten after this time without a report. */
#define FORGOTTEN_MS 600000
/** A coordinator that at least this part of the gateways report to may give
 * out the whole rate; one with less only what those had. */
#define WHOLE_FLEET_PART 0.9
/** And one with at least this part after the others' shares have expired. */
#define MAJORITY_PART 0.5
/** Most accounts above their limit that are named to a gateway which doesn't
 * report them. */
#define CONSTRAINED_MAX 64
#define DUMP_MAX 100
/** A gateway is silent when this many of its reports are missing. */
#define REPORTS_MISSED 3
#define INTERVAL_MAX_MS 9000

/** One account of the fleet. */
typedef struct Account {
    EyQuotaLimit_t limit;
    double level;          /* units */
    int64_t updated_ms;    /* of the level */
    int64_t level_from_ms; /* when the level that was taken over was named;
                              INT64_MIN: none was */
    double spent;          /* units since the account is known */
    double demand_per_s;   /* of the gateways that report */
    double reserved_per_s; /* for silent ones */
    double inherited;      /* sum of the shares in first reports */
    double scale;          /* of the rate, for the gateways that report */
} Account_t;

/** One account at one gateway. */
typedef struct Entry {
    Account_t *account;
    double admitted; /* as last reported */
    double asked_per_s;
    double share;    /* in its last answer */
    double fraction; /* in its last answer */
    double reserved; /* units counted as spent while it is silent */
    double reserved_per_s;
    uint64_t report_number; /* that named it last */
} Entry_t;

typedef struct Gateway {
    uint64_t incarnation;
    uint64_t report_number;
    int64_t reported_ms;
    uint32_t interval_ms;      /* of its reports */
    int64_t reserved_until_ms; /* silent: up to which shares were counted */
    bool is_silent;
    bool has_expired;    /* silent, and its shares are no longer kept */
    GHashTable *entries; /* Account_t -> Entry_t */
} Gateway_t;

struct EyQuotaCoordinator {
    EyQuotaBounds_t bounds;
    GHashTable *limits;     /* name -> EyQuotaLimit_t */
    GHashTable *accounts;   /* name -> Account_t */
    GHashTable *gateways;   /* id -> Gateway_t */
    GPtrArray *constrained; /* Account_t, of which calls are refused */
    int64_t active_from_ms; /* first report; -1: there is none */
    int64_t reported_ms;    /* of any gateway */
    uint32_t interval_ms;   /* in that report */
    int64_t swept_ms;
    int64_t summed_ms;
    uint32_t reporting_count; /* of gateways that aren't silent */
    uint32_t carried_count;   /* of gateways, by former answers */
    bool has_carried_level;
    bool is_ready;
    double fleet_part; /* of the gateways, that report; when ready */
};

/** Silence of a gateway that reports at this interval is noticed after this
 * time. */
static int64_t
silent_after_ms(uint32_t interval_ms)
{
    return MAX(EY_QUOTA_SILENT_MS,
               REPORTS_MISSED * (int64_t)MIN(interval_ms, INTERVAL_MAX_MS));
}

static void
gateway_free(void *data)
{
    Gateway_t *gateway = data;
    g_hash_table_destroy(gateway->entries);
    talloc_free(gateway);
}

static GHashTable *
new_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
}

/** Forgets all reports. */
static void
reset(EyQuotaCoordinator_t *self)
{
    g_ptr_array_set_size(self->constrained, 0);
    g_hash_table_remove_all(self->gateways);
    g_hash_table_remove_all(self->accounts);
    self->active_from_ms = -1;
    self->reporting_count = 0;
    self->carried_count = 0;
    self->has_carried_level = false;
    self->is_ready = false;
    self->fleet_part = 1.0;
}

static int
coordinator_destroy(EyQuotaCoordinator_t *self)
{
    g_ptr_array_free(self->constrained, TRUE);
    g_hash_table_destroy(self->gateways);
    g_hash_table_destroy(self->accounts);
    g_hash_table_destroy(self->limits);
    return 0;
}

EyQuotaCoordinator_t *
EyQuotaCoordinator_New(const void *ctx, const EyQuotaBounds_t *bounds)
{
    EyQuotaCoordinator_t *self = EY_NEW(ctx, EyQuotaCoordinator_t);
    self->bounds = *bounds;
    self->limits = new_table(EyMemory_Free);
    self->accounts = new_table(EyMemory_Free);
    self->gateways = new_table(gateway_free);
    self->constrained = g_ptr_array_new();
    reset(self);
    talloc_set_destructor(self, coordinator_destroy);
    return self;
}

/* The level of an account */

static double
rate_per_s(const Account_t *account)
{
    return account->limit.rate_per_s * account->scale;
}

static void
advance(const EyQuotaCoordinator_t *self, Account_t *account, int64_t now_ms)
{
    double elapsed_s = (double)MAX(now_ms - account->updated_ms, 0) / MS_PER_S;
    double level_max =
        EyQuotaLimit_LevelMax(&account->limit, &self->bounds) * account->scale;
    account->level +=
        (rate_per_s(account) - account->reserved_per_s) * elapsed_s;
    account->level = MIN(account->level, level_max);
    account->updated_ms = MAX(now_ms, account->updated_ms);
}

/** Takes units off the level; a negative number gives them back. Use that is
 * older than the window doesn't matter for the bound, so the debt is limited.
 */
static void
spend(const EyQuotaCoordinator_t *self, Account_t *account, int64_t now_ms,
      double units)
{
    advance(self, account, now_ms);
    double debt_max = account->limit.burst +
                      EyQuotaLimit_Headroom(&account->limit, &self->bounds);
    account->spent += units;
    account->level = MAX(account->level - units, -debt_max);
    advance(self, account, now_ms);
}

/** Units a second that the reporting gateways may be given. */
static double
available_per_s(const Account_t *account)
{
    return MAX(rate_per_s(account) - account->reserved_per_s, 0.0);
}

static double
fraction(const EyQuotaCoordinator_t *self, const Account_t *account)
{
    return EyQuotaLimit_Fraction(&account->limit, &self->bounds,
                                 available_per_s(account), account->level,
                                 account->demand_per_s);
}

static Account_t *
find_account(EyQuotaCoordinator_t *self, int64_t now_ms, const char *name)
{
    Account_t *account = g_hash_table_lookup(self->accounts, name);
    const EyQuotaLimit_t *limit = g_hash_table_lookup(self->limits, name);
    if (account != NULL || limit == NULL) {
        return account;
    }
    account = EY_NEW(NULL, Account_t);
    account->limit = *limit;
    account->scale = self->fleet_part;
    account->level_from_ms = INT64_MIN;
    /* Nothing is known of what was sent before the first report. */
    account->updated_ms = self->active_from_ms;
    advance(self, account, now_ms);
    (void)g_hash_table_insert(self->accounts, g_strdup(name), account);
    return account;
}

void
EyQuotaCoordinator_SetLimits(EyQuotaCoordinator_t *self, int64_t now_ms,
                             const EyQuotaLimit_t *limits, uint32_t count)
{
    g_hash_table_remove_all(self->limits);
    for (uint32_t i = 0; i < count; i++) {
        if (limits[i].rate_per_s > 0.0) {
            EyQuotaLimit_t *limit = EY_NEW(NULL, EyQuotaLimit_t);
            *limit = limits[i];
            (void)g_hash_table_insert(self->limits, g_strdup(limit->name),
                                      limit);
        }
    }
    /* An account without a limit stays while gateways report it; they ignore
     * what they are told of it. */
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Account_t *account = value;
        const EyQuotaLimit_t *limit =
            g_hash_table_lookup(self->limits, account->limit.name);
        advance(self, account, now_ms);
        if (limit != NULL) {
            account->limit = *limit;
            advance(self, account, now_ms);
        }
    }
}

/* Gateways that are silent or restarted */

/** Counts what a silent gateway may send up to now. */
static void
reserve(EyQuotaCoordinator_t *self, Gateway_t *gateway, int64_t now_ms)
{
    int64_t until_ms =
        MIN(now_ms, gateway->reported_ms + EY_QUOTA_RESERVED_MS);
    double elapsed_s =
        (double)MAX(until_ms - gateway->reserved_until_ms, 0) / MS_PER_S;
    bool expires = now_ms - gateway->reported_ms >= EY_QUOTA_RESERVED_MS &&
                   !gateway->has_expired;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Entry_t *entry = value;
        /* advance() takes it off the level. */
        entry->reserved += entry->reserved_per_s * elapsed_s;
        advance(self, entry->account, now_ms);
        if (expires) {
            entry->account->reserved_per_s -= entry->reserved_per_s;
            entry->reserved_per_s = 0.0;
        }
    }
    gateway->reserved_until_ms = MAX(until_ms, gateway->reserved_until_ms);
    gateway->has_expired |= expires;
}

static void
begin_silence(EyQuotaCoordinator_t *self, Gateway_t *gateway, int64_t now_ms)
{
    double silent_s = (double)(now_ms - gateway->reported_ms) / MS_PER_S;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Entry_t *entry = value;
        Account_t *account = entry->account;
        double share_per_s = entry->share * rate_per_s(account);
        double units =
            share_per_s * silent_s + entry->share * MAX(account->level, 0.0);
        account->demand_per_s -= entry->asked_per_s;
        entry->asked_per_s = 0.0;
        spend(self, account, now_ms, units);
        entry->reserved = units;
        entry->reserved_per_s = share_per_s;
        account->reserved_per_s += share_per_s;
    }
    gateway->is_silent = true;
    gateway->reserved_until_ms = now_ms;
    self->reporting_count--;
}

/** The gateway reports again. If it is the same process, what it was reserved
 * is settled with what it reports. */
static void
end_silence(EyQuotaCoordinator_t *self, Gateway_t *gateway, int64_t now_ms)
{
    reserve(self, gateway, now_ms);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Entry_t *entry = value;
        entry->account->reserved_per_s -= entry->reserved_per_s;
        entry->reserved_per_s = 0.0;
    }
    gateway->is_silent = false;
    gateway->has_expired = false;
    self->reporting_count++;
}

/** Takes off the level what a gateway has admitted since its last report, less
 * what was reserved for it meanwhile. Of a reservation that it didn't use, no
 * more is given back than the depth of its own bucket: the rest would have
 * been lost there, and 28 s of it exceed the bound when they are spent at
 * once. */
static void
settle(EyQuotaCoordinator_t *self, Entry_t *entry, int64_t now_ms,
       double admitted)
{
    double depth =
        entry->share * entry->account->limit.burst * entry->account->scale;
    double unused = MIN(entry->reserved - admitted, depth);
    spend(self, entry->account, now_ms,
          entry->reserved > 0.0 ? -unused : admitted);
    entry->reserved = 0.0;
}

/** Counts what the former process of a gateway may have sent after its last
 * report, and forgets that process. */
static void
end_incarnation(EyQuotaCoordinator_t *self, Gateway_t *gateway, int64_t now_ms)
{
    double gap_s = (double)(now_ms - gateway->reported_ms) / MS_PER_S;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Entry_t *entry = value;
        if (!gateway->is_silent) {
            spend(self, entry->account, now_ms,
                  entry->asked_per_s * entry->fraction * gap_s);
        }
        entry->account->demand_per_s -= entry->asked_per_s;
    }
    if (gateway->is_silent) {
        end_silence(self, gateway, now_ms);
    }
    g_hash_table_remove_all(gateway->entries);
    gateway->report_number = 0;
}

static void
find_constrained(EyQuotaCoordinator_t *self, int64_t now_ms)
{
    g_ptr_array_set_size(self->constrained, 0);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Account_t *account = value;
        advance(self, account, now_ms);
        if (self->constrained->len < CONSTRAINED_MAX &&
            fraction(self, account) < 1.0) {
            g_ptr_array_add(self->constrained, account);
        }
    }
}

/** The sums of all gateways' demand, without the rounding errors that adding
 * and subtracting leaves. */
static void
sum_demand(EyQuotaCoordinator_t *self)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((Account_t *)value)->demand_per_s = 0.0;
        ((Account_t *)value)->reserved_per_s = 0.0;
    }
    g_hash_table_iter_init(&iterator, self->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        GHashTableIter entries;
        gpointer item = NULL;
        g_hash_table_iter_init(&entries, ((Gateway_t *)value)->entries);
        while (g_hash_table_iter_next(&entries, NULL, &item)) {
            const Entry_t *entry = item;
            entry->account->demand_per_s += entry->asked_per_s;
            entry->account->reserved_per_s += entry->reserved_per_s;
        }
    }
}

/** Sets the part of the fleet that the coordinator may give out. */
static void
set_scale(EyQuotaCoordinator_t *self, int64_t now_ms, double whole_part)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    if (self->fleet_part >= whole_part) {
        self->fleet_part = 1.0;
    }
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Account_t *account = value;
        bool is_whole =
            self->fleet_part >= 1.0 || account->inherited >= whole_part;
        double part =
            account->inherited > 0.0 ? account->inherited : self->fleet_part;
        double scale = is_whole ? 1.0 : MIN(part, 1.0);
        advance(self, account, now_ms);
        if (account->level > 0.0) {
            account->level *= MIN(scale / account->scale, 1.0);
        }
        account->scale = scale;
    }
}

static void
become_ready(EyQuotaCoordinator_t *self, int64_t now_ms)
{
    int64_t collect_ms =
        self->has_carried_level ? COLLECT_MS : COLLECT_UNKNOWN_MS;
    if (now_ms - self->active_from_ms < collect_ms) {
        return;
    }
    self->is_ready = true;
    uint32_t count = g_hash_table_size(self->gateways);
    if (self->carried_count > count) {
        self->fleet_part = (double)count / self->carried_count;
    }
    set_scale(self, now_ms, WHOLE_FLEET_PART);
}

static void
sweep(EyQuotaCoordinator_t *self, int64_t now_ms)
{
    if (now_ms - self->swept_ms < SWEEP_MS) {
        return;
    }
    self->swept_ms = now_ms;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Gateway_t *gateway = value;
        int64_t silent_ms = now_ms - gateway->reported_ms;
        if (gateway->is_silent) {
            reserve(self, gateway, now_ms);
        }
        else if (silent_ms > silent_after_ms(gateway->interval_ms)) {
            begin_silence(self, gateway, now_ms);
        }
        if (silent_ms > FORGOTTEN_MS) {
            g_hash_table_iter_remove(&iterator);
        }
    }
    if (now_ms - self->summed_ms >= SUM_MS) {
        self->summed_ms = now_ms;
        sum_demand(self);
    }
    if (!self->is_ready) {
        become_ready(self, now_ms);
    }
    else if (now_ms - self->active_from_ms > EY_QUOTA_RESERVED_MS &&
             self->fleet_part < 1.0 && self->fleet_part >= MAJORITY_PART)
    {
        set_scale(self, now_ms, MAJORITY_PART);
    }
    find_constrained(self, now_ms);
}

/* Reports */

static Gateway_t *
find_gateway(EyQuotaCoordinator_t *self, int64_t now_ms, const char *id,
             uint64_t incarnation)
{
    Gateway_t *gateway = g_hash_table_lookup(self->gateways, id);
    if (gateway == NULL) {
        gateway = EY_NEW(NULL, Gateway_t);
        gateway->incarnation = incarnation;
        gateway->entries =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        (void)g_hash_table_insert(self->gateways, g_strdup(id), gateway);
        self->reporting_count++;
    }
    else if (gateway->incarnation != incarnation) {
        end_incarnation(self, gateway, now_ms);
        gateway->incarnation = incarnation;
    }
    return gateway;
}

/** Takes the level that a former coordinator named, if it is newer than the
 * one that is known. What was admitted since then comes with the reports. */
static void
take_level(EyQuotaCoordinator_t *self, Account_t *account, int64_t now_ms,
           const EyQuotaReport_t *report, double level)
{
    int64_t named_ms = now_ms - report->level_age_ms;
    if (self->is_ready || report->level_age_ms < 0 ||
        named_ms <= account->level_from_ms)
    {
        return;
    }
    self->has_carried_level = true;
    account->level_from_ms = named_ms;
    account->updated_ms = named_ms;
    account->level = level;
    advance(self, account, now_ms);
    double spent = account->spent;
    spend(self, account, now_ms, spent);
    account->spent = spent;
}

static void
apply_entry(EyQuotaCoordinator_t *self, Gateway_t *gateway, int64_t now_ms,
            const EyQuotaReport_t *report, const EyQuotaReportEntry_t *from)
{
    Account_t *account = find_account(self, now_ms, from->name);
    if (account == NULL) {
        return;
    }
    Entry_t *entry = g_hash_table_lookup(gateway->entries, account);
    double units = from->unanswered;
    if (entry == NULL) {
        /* Not a talloc object: there may be millions of them. */
        entry = g_new0(Entry_t, 1);
        entry->account = account;
        entry->fraction = 1.0;
        entry->share = from->share;
        (void)g_hash_table_insert(gateway->entries, account, entry);
        if (!self->is_ready) {
            account->inherited += from->share;
            take_level(self, account, now_ms, report, from->level);
        }
    }
    else {
        units = MAX(from->admitted - entry->admitted, 0.0);
    }
    settle(self, entry, now_ms, units);
    account->demand_per_s += from->asked_per_s - entry->asked_per_s;
    entry->admitted = from->admitted;
    entry->asked_per_s = from->asked_per_s;
    entry->report_number = report->number;
}

/** An account that a report doesn't name is idle at the gateway. */
static void
remove_absent(EyQuotaCoordinator_t *self, const Gateway_t *gateway,
              int64_t now_ms, uint64_t report_number)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Entry_t *entry = value;
        if (entry->report_number != report_number) {
            settle(self, entry, now_ms, 0.0);
            entry->account->demand_per_s -= entry->asked_per_s;
            g_hash_table_iter_remove(&iterator);
        }
    }
}

static void
add_answer(const EyQuotaCoordinator_t *self, const Gateway_t *gateway,
           const Account_t *account, EyQuotaAnswer_t *answer)
{
    EyQuotaAnswerEntry_t *to = &answer->accounts[answer->account_count++];
    (void)EY_COPY(to->name, account->limit.name);
    to->fraction = fraction(self, account);
    to->demand = MAX(account->demand_per_s, 0.0);
    to->level = account->level;
    to->rate_per_s = available_per_s(account);
    Entry_t *entry = g_hash_table_lookup(gateway->entries, account);
    if (entry == NULL) {
        return;
    }
    to->share = to->demand > 0.0
                    ? CLAMP(entry->asked_per_s / to->demand, 0.0, 1.0)
                    : 0.0;
    entry->share = to->share;
    entry->fraction = to->fraction;
}

static EyQuotaAnswer_t *
make_answer(const EyQuotaCoordinator_t *self, const void *ctx,
            const Gateway_t *gateway, const EyQuotaReport_t *report)
{
    EyQuotaAnswer_t *answer = EY_NEW(ctx, EyQuotaAnswer_t);
    answer->number = report->number;
    answer->incarnation = report->from_incarnation;
    answer->is_ready = self->is_ready;
    answer->gateway_count = self->reporting_count;
    answer->accounts = EY_NEW_ARRAY(answer, EyQuotaAnswerEntry_t,
                                    report->account_count + CONSTRAINED_MAX);
    if (!self->is_ready) {
        return answer;
    }
    for (uint32_t i = 0; i < report->account_count; i++) {
        const Account_t *account =
            g_hash_table_lookup(self->accounts, report->accounts[i].name);
        if (account != NULL) {
            add_answer(self, gateway, account, answer);
        }
    }
    for (guint i = 0; i < self->constrained->len; i++) {
        const Account_t *account = g_ptr_array_index(self->constrained, i);
        if (g_hash_table_lookup(gateway->entries, account) == NULL) {
            add_answer(self, gateway, account, answer);
        }
    }
    return answer;
}

EyQuotaAnswer_t *
EyQuotaCoordinator_Report(EyQuotaCoordinator_t *self, const void *ctx,
                          int64_t now_ms, const char *from,
                          const EyQuotaReport_t *report)
{
    if (self->active_from_ms >= 0 &&
        now_ms - self->reported_ms > silent_after_ms(self->interval_ms))
    {
        reset(self);
    }
    if (self->active_from_ms < 0) {
        self->active_from_ms = now_ms;
    }
    self->reported_ms = now_ms;
    self->interval_ms = report->interval_ms;
    Gateway_t *gateway =
        find_gateway(self, now_ms, from, report->from_incarnation);
    if (report->number <= gateway->report_number) {
        return NULL;
    }
    if (gateway->is_silent) {
        end_silence(self, gateway, now_ms);
    }
    gateway->report_number = report->number;
    gateway->reported_ms = now_ms;
    gateway->interval_ms = report->interval_ms;
    self->carried_count = MAX(self->carried_count, report->gateway_count);
    for (uint32_t i = 0; i < report->account_count; i++) {
        apply_entry(self, gateway, now_ms, report, &report->accounts[i]);
    }
    remove_absent(self, gateway, now_ms, report->number);
    sweep(self, now_ms);
    return make_answer(self, ctx, gateway, report);
}

static gint
compare_fractions(gconstpointer a, gconstpointer b, gpointer data)
{
    const EyQuotaCoordinator_t *self = data;
    double first = fraction(self, *(const Account_t *const *)a);
    double second = fraction(self, *(const Account_t *const *)b);
    return first < second ? -1 : first > second;
}

static json_t *
dump_account(const EyQuotaCoordinator_t *self, const Account_t *account)
{
    return json_pack(
        "{s:s, s:f, s:f, s:f, s:f, s:f, s:f}", "account", account->limit.name,
        "rate_per_s", account->limit.rate_per_s, "burst", account->limit.burst,
        "level", account->level, "demand_per_s", account->demand_per_s,
        "reserved_per_s", account->reserved_per_s, "fraction",
        fraction(self, account));
}

json_t *
EyQuotaCoordinator_Dump(EyQuotaCoordinator_t *self, int64_t now_ms)
{
    GPtrArray *accounts = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        advance(self, value, now_ms);
        g_ptr_array_add(accounts, value);
    }
    g_ptr_array_sort_with_data(accounts, compare_fractions, self);
    json_t *items = json_array();
    for (guint i = 0; i < accounts->len && i < DUMP_MAX; i++) {
        (void)json_array_append_new(
            items, dump_account(self, g_ptr_array_index(accounts, i)));
    }
    json_t *json = json_pack(
        "{s:i, s:b, s:i, s:f, s:o}", "account_count", (int)accounts->len,
        "is_ready", self->is_ready, "gateways", (int)self->reporting_count,
        "fleet_part", self->fleet_part, "accounts", items);
    g_ptr_array_free(accounts, TRUE);
    return json;
}
