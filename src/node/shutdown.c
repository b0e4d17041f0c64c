#include "node/shutdown.h"

#include "core/clock.h"
#include "core/log.h"

#define STOP_CHECK_MS 50
/** Maximum time that a graceful shutdown waits for requests in flight, where
 * the time until the process is killed isn't known. */
#define STOP_DRAIN_MAX_MS 120000
/** Time before the process is killed at which requests in flight are ended,
 * and after which it stops whether their answers have been sent or not. */
#define STOP_ENDING_MS 800
#define STOP_ANSWERING_MS 500

static bool
is_idle(const EyNode_t *self)
{
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->is_idle != NULL &&
            !part->class_table->is_idle(part->state))
        {
            return false;
        }
    }
    return EyServer_IsIdle(self->server);
}

static void
on_stop_check(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyNode_t *self = data;
    if (is_idle(self)) {
        self->is_stopping = true;
    }
}

static void
on_stop_deadline(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyNode_t *self = data;
    EY_LOG(EY_LOG_WARNING, "node", "stop_cut_off",
           EY_LOG_NUMBER("in_flight", EyServer_InFlight(self->server)));
    self->is_stopping = true;
}

/** The process is killed soon: has the parts end what is in flight. */
static void
on_ending(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyNode_t *self = data;
    EY_LOG(EY_LOG_WARNING, "node", "ending_requests",
           EY_LOG_NUMBER("in_flight", EyServer_InFlight(self->server)));
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->on_ending != NULL) {
            part->class_table->on_ending(part->state);
        }
    }
    (void)EyTimers_After(self->timers, STOP_ANSWERING_MS, on_stop_deadline,
                         self);
}

static void
limit_stop(EyNode_t *self)
{
    int64_t grace_ms = self->settings->stop_grace_ms;
    if (grace_ms > STOP_ENDING_MS) {
        (void)EyTimers_After(self->timers, grace_ms - STOP_ENDING_MS,
                             on_ending, self);
        return;
    }
    (void)EyTimers_After(self->timers, STOP_DRAIN_MAX_MS, on_stop_deadline,
                         self);
}

static void
leave_parts(const EyNode_t *self)
{
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->on_leaving != NULL) {
            part->class_table->on_leaving(part->state);
        }
    }
}

/** Callers have had time to move to other instances: refuses new requests and
 * stops when those in flight have ended. */
static void
on_linger_end(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyNode_t *self = data;
    self->refuses_requests = true;
    EyServer_Quiesce(self->server);
    (void)EyTimers_Every(self->timers, STOP_CHECK_MS, on_stop_check, self);
}

void
EyShutdown_Begin(EyNode_t *node, int signal_number)
{
    if (node->state == EY_NODE_LEAVING) {
        return;
    }
    EY_LOG(EY_LOG_INFO, "node", "leaving",
           EY_LOG_NUMBER("signal", signal_number));
    node->state = EY_NODE_LEAVING;
    EyMembership_Leave(EyCluster_Membership(node->cluster));
    leave_parts(node);
    EyServer_CloseAfterAnswers(node->server);
    limit_stop(node);
    if (node->settings->stop_linger_ms == 0) {
        on_linger_end(node, EyClock_NowMs());
        return;
    }
    (void)EyTimers_After(node->timers, node->settings->stop_linger_ms,
                         on_linger_end, node);
}
