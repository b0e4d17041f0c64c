#include "control/quota_part.h"

#include "config/route_table.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "quotas/quota_coordinator.h"

/** A gateway asks another control process when a report has waited this long.
 * Older ones, which were queued while this process was paused, have been
 * answered by another process and are ignored. */
#define REPORT_LATE_MAX_MS 600

struct EyQuotaPart {
    EyNode_t *node;
    EyQuotaCoordinator_t *coordinator;
};

EyQuotaPart_t *
EyQuotaPart_New(const void *ctx, EyNode_t *node)
{
    EyQuotaPart_t *self = EY_NEW(ctx, EyQuotaPart_t);
    const EyQuotaBounds_t bounds = EyQuotaBounds_Make(node->settings);
    self->node = node;
    self->coordinator = EyQuotaCoordinator_New(self, &bounds);
    return self;
}

void
EyQuotaPart_Configure(EyQuotaPart_t *self)
{
    uint32_t count = 0;
    EyQuotaLimit_t *limits =
        EyQuotaLimit_OfTable(self, self->node->routes, &count);
    EyQuotaCoordinator_SetLimits(self->coordinator, EyClock_NowMs(), limits,
                                 count);
    talloc_free(limits);
}

void
EyQuotaPart_Receive(EyQuotaPart_t *self, const EyPeerMessage_t *message)
{
    if (message->late_ms > REPORT_LATE_MAX_MS) {
        EY_LOG(EY_LOG_INFO, "control", "quota_report_late",
               EY_LOG_TEXT("from", message->from),
               EY_LOG_NUMBER("late_ms", message->late_ms),
               EY_LOG_TEXT("outcome", "ignored"));
        return;
    }
    void *ctx = talloc_new(NULL);
    EyQuotaReport_t report;
    bool is_valid =
        EySchema_Unpack(&EyQuotaReport_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &report, NULL) &&
        EyQuotaReport_IsValid(&report);
    if (!is_valid) {
        EY_LOG(EY_LOG_WARNING, "control", "quota_report_unreadable",
               EY_LOG_TEXT("from", message->from),
               EY_LOG_TEXT("outcome", "ignored"));
        talloc_free(ctx);
        return;
    }
    const EyQuotaAnswer_t *answer = EyQuotaCoordinator_Report(
        self->coordinator, ctx, EyClock_NowMs(), message->from, &report);
    if (answer != NULL) {
        EyNode_Send(self->node, EY_PEER_QUOTA_ANSWER, message->from,
                    &EyQuotaAnswer_schema, answer);
    }
    talloc_free(ctx);
}

json_t *
EyQuotaPart_Dump(const EyQuotaPart_t *self)
{
    return EyQuotaCoordinator_Dump(self->coordinator, EyClock_NowMs());
}
