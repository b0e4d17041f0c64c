#include "routing/decision.h"

#include "core/memory.h"

#include <string.h>

const char *const EyDecision_kind_names[EY_DECISION_KIND_COUNT] = {
    [EY_DECISION_DISPATCH] = "dispatch",
    [EY_DECISION_QUEUED] = "queued",
    [EY_DECISION_FORWARD] = "forward",
    [EY_DECISION_REFUSE] = "refuse",
};

const char *const EyRefusal_names[EY_REFUSAL_COUNT] = {
    [EY_REFUSAL_NONE] = "none",
    [EY_REFUSAL_NO_BACKEND] = "no-backend",
    [EY_REFUSAL_PAUSED] = "paused",
    [EY_REFUSAL_OVERLOADED] = "overloaded",
    [EY_REFUSAL_QUEUE_FULL] = "queue-full",
    [EY_REFUSAL_DEADLINE] = "deadline",
    [EY_REFUSAL_RETRY_BUDGET] = "retry-budget",
    [EY_REFUSAL_NOT_REPEATABLE] = "not-repeatable",
    [EY_REFUSAL_WRONG_REGION] = "wrong-region",
    [EY_REFUSAL_INVALID] = "invalid",
    [EY_REFUSAL_SUSPECT_PROMPT] = "suspect-prompt",
    [EY_REFUSAL_SUSPECT_REQUEST] = "suspect-request",
    [EY_REFUSAL_PATIENCE] = "patience",
    [EY_REFUSAL_WARM_UP] = "warm-up",
};

static const EyField_t SummaryFields[] = {
    EY_FIELD_TEXT(EyRegionSummary_t, region),
    EY_FIELD_NAMED_ENUM(EyRegionSummary_t, kind, EyBackend_kind_names,
                        EY_BACKEND_KIND_COUNT),
    EY_FIELD_TEXT(EyRegionSummary_t, target),
    EY_FIELD(EyRegionSummary_t, expected_wait_ms, EY_FIELD_I64),
    EY_FIELD(EyRegionSummary_t, unit_ms, EY_FIELD_F64),
    EY_FIELD(EyRegionSummary_t, free_slots, EY_FIELD_U32),
    EY_FIELD(EyRegionSummary_t, accepts, EY_FIELD_BOOL),
    EY_FIELD(EyRegionSummary_t, first_event_ms, EY_FIELD_U32),
    EY_FIELD(EyRegionSummary_t, work_per_s, EY_FIELD_U32),
    EY_FIELD_END,
};
const EySchema_t EyRegionSummary_schema =
    EY_SCHEMA(EyRegionSummary_t, SummaryFields);

bool
EyRoutingRequest_MayRunIn(const EyRoutingRequest_t *self, const char *region)
{
    if (self->allowed_region_count == 0) {
        return self->home[0] == '\0' || strcmp(self->home, region) == 0;
    }
    for (uint32_t i = 0; i < self->allowed_region_count; i++) {
        if (strcmp(self->allowed_regions[i], region) == 0) {
            return true;
        }
    }
    return false;
}

bool
EyRoutingRequest_TakesRetry(const EyRoutingRequest_t *self)
{
    return self->is_retry && !self->is_paid;
}

bool
EyRoutingRequest_Excludes(const EyRoutingRequest_t *self, const char *backend)
{
    for (uint32_t i = 0; i < self->excluded_count; i++) {
        if (strcmp(self->excluded[i], backend) == 0) {
            return true;
        }
    }
    return false;
}

EyRoutingRequest_t *
EyRoutingRequest_Copy(const void *ctx, const EyRoutingRequest_t *from)
{
    EyRoutingRequest_t *self = EY_NEW(ctx, EyRoutingRequest_t);
    *self = *from;
    if (from->allowed_region_count > 0) {
        self->allowed_regions =
            EyMemory_Copy(self, from->allowed_regions,
                          sizeof(EyName_t) * from->allowed_region_count);
    }
    return self;
}
