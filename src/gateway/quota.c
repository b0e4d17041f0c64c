/* Quotas of client accounts: counts calls, reports to the coordinator, and
 * refuses what is above a quota. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

/** Accounts with metrics of their own; the others are counted together. */
#define METRIC_ACCOUNTS_MAX 32
#define LABELS_SIZE_BYTES (EY_NAME_SIZE_BYTES + 16)

/** The metrics of one account; the first element of each array is that of all
 * accounts without their own. */
static EyMetric_t AdmittedUnits[METRIC_ACCOUNTS_MAX + 1];
static EyMetric_t RefusedCalls[METRIC_ACCOUNTS_MAX + 1];
static char Labels[METRIC_ACCOUNTS_MAX + 1][LABELS_SIZE_BYTES];
static EyName_t MetricAccounts[METRIC_ACCOUNTS_MAX + 1];
static uint32_t MetricCount;

static void
add_metrics(const char *account)
{
    uint32_t index = MetricCount++;
    (void)EY_COPY(MetricAccounts[index], account);
    (void)g_snprintf(Labels[index], LABELS_SIZE_BYTES, "account=\"%s\"",
                     account);
    /* A name may have characters that a label must not have. */
    char *name = Labels[index] + strlen("account=\"");
    for (char *c = name; *c != '\0' && c[1] != '\0'; c++) {
        bool is_plain = g_ascii_isprint(*c) && *c != '"' && *c != '\\';
        if (!is_plain) {
            *c = '_';
        }
    }
    AdmittedUnits[index] = (EyMetric_t){
        .name = "quota_admitted_units_total",
        .labels = Labels[index],
        .help = "Units, requests or tokens, admitted for a client account"};
    RefusedCalls[index] = (EyMetric_t){
        .name = "quota_refused_total",
        .labels = Labels[index],
        .help = "Calls refused because of a client account's quota"};
    EyMetrics_Register(AdmittedUnits, MetricCount);
    EyMetrics_Register(RefusedCalls, MetricCount);
}

/** The index of an account's metrics. */
static uint32_t
find_metrics(const char *account)
{
    if (MetricCount == 0) {
        add_metrics("");
    }
    for (uint32_t i = 1; i < MetricCount; i++) {
        if (strcmp(MetricAccounts[i], account) == 0) {
            return i;
        }
    }
    if (MetricCount > METRIC_ACCOUNTS_MAX) {
        return 0;
    }
    add_metrics(account);
    return MetricCount - 1;
}

static void
on_tick(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    void *ctx = talloc_new(NULL);
    EyQuotaDispatch_t dispatch = EyQuotaClient_Tick(self->quotas, ctx, now_ms);
    for (uint32_t i = 0; dispatch.report != NULL && i < 2; i++) {
        if (dispatch.to[i] != NULL) {
            EyNode_Send(self->node, EY_PEER_QUOTA, dispatch.to[i],
                        &EyQuotaReport_schema, dispatch.report);
        }
    }
    talloc_free(ctx);
}

void
EyGateway_OpenQuotas(EyGateway_t *self)
{
    EyNode_t *node = self->node;
    const EyQuotaBounds_t bounds = EyQuotaBounds_Make(node->settings);
    self->quotas = EyQuotaClient_New(self, &bounds, node->incarnation,
                                     EyRandom_Next(&node->random));
}

void
EyGateway_ConfigureQuotas(EyGateway_t *self)
{
    EyNode_t *node = self->node;
    if (node->routes == NULL) {
        return;
    }
    uint32_t count = 0;
    EyQuotaLimit_t *limits = EyQuotaLimit_OfTable(self, node->routes, &count);
    EyQuotaClient_SetLimits(self->quotas, EyClock_NowMs(), limits, count);
    talloc_free(limits);
    if (!EyQuotaClient_IsActive(self->quotas)) {
        talloc_free(self->quota_timer);
        self->quota_timer = NULL;
    }
    else if (self->quota_timer == NULL) {
        self->quota_timer =
            EyTimers_Every(node->timers, EY_QUOTA_TICK_MS, on_tick, self);
    }
}

static void
log_refusal(const EyRequest_t *request, const EyQuotaLimit_t *limit,
            const EyQuotaDecision_t *decision)
{
    EY_LOG(EY_LOG_WARNING, "gateway", "quota_exceeded",
           EY_LOG_TEXT("account", limit->name),
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_TEXT("mode", EyQuotaClient_mode_names[decision->mode]),
           EY_LOG_NUMBER("admitted_permille", decision->fraction * 1000.0),
           EY_LOG_NUMBER("level", decision->level),
           EY_LOG_NUMBER("demand_per_s", decision->demand),
           EY_LOG_NUMBER("rate_per_s", limit->rate_per_s),
           EY_LOG_NUMBER("answer_age_ms", decision->age_ms),
           EY_LOG_NUMBER("retry_after_ms", decision->retry_after_ms));
}

EyAnswer_t *
EyGateway_CheckQuota(EyGateway_t *self, EyRequest_t *request)
{
    if (self->quota_timer == NULL || !request->terms.is_account_checked) {
        return NULL;
    }
    const EyQuotaLimit_t *limit =
        EyQuotaClient_Limit(self->quotas, request->account);
    if (limit == NULL) {
        return NULL;
    }
    double tokens =
        (double)request->prompt_tokens + (double)request->tokens_max;
    double units = EyQuotaLimit_Units(limit, tokens);
    EyQuotaDecision_t decision = EyQuotaClient_Admit(
        self->quotas, EyClock_NowMs(), request->account, units);
    uint32_t metrics = find_metrics(request->account);
    if (decision.is_admitted) {
        request->quota_units = units;
        EyMetric_Add(&AdmittedUnits[metrics], (uint64_t)units);
        return NULL;
    }
    EyMetric_Add(&RefusedCalls[metrics], 1);
    if (decision.is_first_refusal) {
        log_refusal(request, limit, &decision);
    }
    EyAnswer_t *answer =
        EyAnswer_Problem(EY_PROBLEM_QUOTA, EY_OUTCOME_NOT_RUN, 0,
                         "the calls of this client account exceed its quota");
    answer->retry_after_ms = (uint32_t)decision.retry_after_ms;
    return answer;
}

void
EyGateway_ReturnQuota(EyGateway_t *self, EyRequest_t *request)
{
    if (request->quota_units > 0.0) {
        EyQuotaClient_GiveBack(self->quotas, request->account,
                               request->quota_units);
        request->quota_units = 0.0;
    }
}

void
EyGateway_ReceiveQuota(EyGateway_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyQuotaAnswer_t answer;
    if (EySchema_Unpack(&EyQuotaAnswer_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &answer, NULL) &&
        EyQuotaAnswer_IsValid(&answer))
    {
        EyQuotaClient_Answer(self->quotas, EyClock_NowMs(), message->from,
                             &answer);
    }
    else {
        EY_LOG(EY_LOG_WARNING, "gateway", "quota_answer_unreadable",
               EY_LOG_TEXT("from", message->from),
               EY_LOG_TEXT("outcome", "ignored"));
    }
    talloc_free(ctx);
}
