/* Reports of requests and parts of prompts that are suspected of crashing
 * backend servers. */
#include "core/log.h"
#include "gateway/internal.h"

static const char *const EventNames[EY_SUSPECT_EVENT_COUNT] = {
    [EY_SUSPECT_CRASH] = "prompt_part_crash",
    [EY_SUSPECT_BARRED] = "prompt_part_barred",
    [EY_SUSPECT_CLEARED] = "prompt_part_cleared",
    [EY_SUSPECT_TRIAL] = "prompt_part_trial",
    [EY_SUSPECT_SPARED] = "prompt_part_spared",
};

static const char *const SpareReasons[EY_SPARE_REASON_COUNT] = {
    [EY_SPARE_NONE] = "none",           [EY_SPARE_FEW_CRASHES] = "few_crashes",
    [EY_SPARE_ONE_KILL] = "one_kill",   [EY_SPARE_NO_CONTRAST] = "no_contrast",
    [EY_SPARE_EXPLAINED] = "explained",
};

static void
log_event(const EySuspectEvent_t *event)
{
    char part[17];
    (void)g_snprintf(part, sizeof(part), "%016" G_GINT64_MODIFIER "x",
                     event->part_id);
    EY_LOG(
        event->kind == EY_SUSPECT_BARRED ? EY_LOG_WARNING : EY_LOG_INFO,
        "gateway", EventNames[event->kind],
        EY_LOG_TEXT("suspect", event->is_request ? "request" : "part"),
        EY_LOG_TEXT(event->is_request ? "request_key" : "prompt_part", part),
        EY_LOG_TEXT("reason", SpareReasons[event->reason]),
        EY_LOG_NUMBER("crashes", event->crashes),
        EY_LOG_NUMBER("has_head", !event->is_unbegun),
        EY_LOG_NUMBER("ran_ms", event->ran_ms),
        EY_LOG_NUMBER("bar_ms", event->bar_ms));
}

void
EyGateway_ReportSuspects(EyGateway_t *self, int64_t now_ms)
{
    EySuspectEvent_t event;
    while (EyRouter_NextSuspectEvent(self->router, &event)) {
        log_event(&event);
        if (event.kind == EY_SUSPECT_CRASH) {
            EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_CRASHES], 1);
        }
        else if (event.kind == EY_SUSPECT_BARRED) {
            EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_BARS], 1);
        }
    }
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_BARRED_PARTS],
                 EyRouter_BarredParts(self->router, now_ms));
}
