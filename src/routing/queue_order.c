#include "routing/queue_order.h"

/** Longest time to begin that counts; also bounds an infinite one. */
#define RUN_MAX_MS INT64_C(600000)

uint32_t
EyRoutingRequest_ObjectiveMs(const EyRoutingRequest_t *self)
{
    return self->response_objective_ms > 0 ? self->response_objective_ms
                                           : self->objective_ms;
}

int64_t
EyRoutingRequest_DueMs(const EyRoutingRequest_t *self, int64_t now_ms)
{
    uint32_t wanted_ms = EyRoutingRequest_ObjectiveMs(self);
    if (wanted_ms == 0) {
        return self->deadline_ms;
    }
    int64_t arrived_ms = self->arrived_ms != 0 ? self->arrived_ms : now_ms;
    int64_t due_ms = arrived_ms + wanted_ms;
    return due_ms < self->deadline_ms ? due_ms : self->deadline_ms;
}

int64_t
EyRoutingRequest_PatienceEndMs(const EyRoutingRequest_t *self)
{
    return self->leaves_ms != 0 && self->leaves_ms < self->deadline_ms
               ? self->leaves_ms
               : self->deadline_ms;
}

EyQueueKey_t
EyQueueKey_Make(const EyRoutingRequest_t *request, const EyQueueState_t *state,
                double run_ms, uint32_t passed)
{
    EyQueueKey_t key = {
        .priority = request->priority,
        .due_ms = EyRoutingRequest_DueMs(request, state->now_ms),
        .number = request->number,
    };
    if (passed >= EY_QUEUE_PASSED_MAX || request->has_place) {
        key.due_ms = INT64_MIN;
        return key;
    }
    double left_ms = (double)(key.due_ms - state->now_ms);
    uint32_t wanted_ms = EyRoutingRequest_ObjectiveMs(request);
    double objective_ms = wanted_ms > 0 ? (double)wanted_ms : left_ms;
    key.is_late = state->wait_ms > objective_ms && run_ms > left_ms;
    if (key.is_late) {
        key.due_ms = EyRoutingRequest_PatienceEndMs(request);
    }
    /* A call with a long prompt has to be sent sooner. */
    key.due_ms -= run_ms < RUN_MAX_MS ? (int64_t)run_ms : RUN_MAX_MS;
    return key;
}

int
EyQueueKey_Compare(const EyQueueKey_t *self, const EyQueueKey_t *other)
{
    if (self->priority != other->priority) {
        return self->priority < other->priority ? -1 : 1;
    }
    if (self->is_late != other->is_late) {
        return other->is_late ? -1 : 1;
    }
    if (self->due_ms != other->due_ms) {
        return self->due_ms < other->due_ms ? -1 : 1;
    }
    if (self->number != other->number) {
        return self->number < other->number ? -1 : 1;
    }
    return 0;
}
