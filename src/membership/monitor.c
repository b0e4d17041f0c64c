#include "core/metrics.h"
#include "membership/membership_state.h"

#include <string.h>

#define PING_INTERVAL_MS 1000
/* Instances that each instance monitors, in addition to suspects that precede
 * them on the ring. */
#define MONITORED_MAX 2
#define SUSPECTS_MONITORED_MAX 4
/* Instances that are asked to probe a suspect, and how long they wait for its
 * acknowledgement. */
#define PROBERS_MAX 3
#define PROBE_TIMEOUT_MS 2500
/* Failed probes by others that are needed to declare a suspect gone. */
#define FAILED_PROBES_NEEDED 2

enum { COUNT_GONE, COUNT_SUSPECT, COUNT_ALL };

static EyMetric_t Counts[COUNT_ALL] = {
    [COUNT_GONE] = {"membership_gone_total", NULL,
                    "Instances declared gone by this monitor",
                    EY_METRIC_COUNTER},
    [COUNT_SUSPECT] = {"membership_suspect_total", NULL,
                       "Times that a monitored instance became suspect",
                       EY_METRIC_COUNTER},
};

void
EyMonitor_HandleAck(EyMembership_t *self, int64_t now_ms, const char *id)
{
    self->last_ack_ms = now_ms;
    EyMemberEntry_t *entry = EyMembers_Find(self->members, id);
    if (entry == NULL) {
        return;
    }
    EyLinkQuality_RecordAck(&entry->quality, now_ms);
    entry->suspect = false;
    entry->failed_probes = 0;
}

/* Probes on behalf of other monitors */

static void
send_probe_result(EyMembership_t *self, EyProbe_t *probe, bool answered)
{
    const EyMemberEntry_t *origin =
        EyMembers_Find(self->members, probe->origin);
    if (origin != NULL && !EyMember_IsGone(&origin->member)) {
        EyClusterMessage_t message =
            EyMembership_Message(self, EY_CLUSTER_PROBED);
        message.answered = answered;
        (void)EY_COPY(message.target, probe->target);
        EyMembership_SendTo(self, &origin->member, &message);
    }
    *probe = (EyProbe_t){0};
}

void
EyMonitor_StartProbe(EyMembership_t *self, int64_t now_ms, const char *origin,
                     const char *target)
{
    const EyMemberEntry_t *entry = EyMembers_Find(self->members, target);
    if (entry == NULL || EyMember_IsGone(&entry->member)) {
        return;
    }
    for (uint32_t i = 0; i < EY_PROBES_MAX; i++) {
        EyProbe_t *probe = &self->probes[i];
        if (probe->number != 0) {
            continue;
        }
        probe->number = ++self->number;
        probe->deadline_ms = now_ms + PROBE_TIMEOUT_MS;
        (void)EY_COPY(probe->origin, origin);
        (void)EY_COPY(probe->target, target);
        EyMembership_SendPing(self, &entry->member, probe->number);
        return;
    }
}

static void
expire_probes(EyMembership_t *self, int64_t now_ms)
{
    for (uint32_t i = 0; i < EY_PROBES_MAX; i++) {
        EyProbe_t *probe = &self->probes[i];
        if (probe->number != 0 && now_ms >= probe->deadline_ms) {
            send_probe_result(self, probe, false);
        }
    }
}

void
EyMonitor_HandleProbeAck(EyMembership_t *self, const char *from,
                         uint64_t number)
{
    for (uint32_t i = 0; i < EY_PROBES_MAX; i++) {
        EyProbe_t *probe = &self->probes[i];
        if (probe->number == number && strcmp(probe->target, from) == 0) {
            send_probe_result(self, probe, true);
        }
    }
}

void
EyMonitor_HandleProbeResult(EyMembership_t *self, int64_t now_ms,
                            const EyClusterMessage_t *message)
{
    EyMemberEntry_t *entry = EyMembers_Find(self->members, message->target);
    self->last_ack_ms = now_ms;
    if (entry == NULL) {
        return;
    }
    if (message->answered) {
        EyMonitor_HandleAck(self, now_ms, message->target);
    }
    else if (entry->suspect) {
        entry->failed_probes++;
    }
}

/* Monitoring */

/** Asks random other instances to probe a suspect. */
static void
request_probes(EyMembership_t *self, int64_t now_ms, EyMemberEntry_t *suspect)
{
    if (now_ms - suspect->probe_request_ms < PING_INTERVAL_MS) {
        return;
    }
    suspect->probe_request_ms = now_ms;
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_PROBE);
    (void)EY_COPY(message.target, suspect->member.id);
    for (uint32_t i = 0; i < PROBERS_MAX; i++) {
        uint64_t at = EyRandom_Below(&self->random, self->members->ring->len);
        const EyMemberEntry_t *prober = self->members->ring->pdata[at];
        if (prober != self->members->own && prober != suspect &&
            !prober->suspect) {
            EyMembership_SendTo(self, &prober->member, &message);
        }
    }
}

/** True if enough others failed to reach the suspect. If there are no others
 * to ask, this instance may itself be isolated, and the suspect isn't declared
 * gone. */
static bool
is_confirmed(const EyMembership_t *self, const EyMemberEntry_t *suspect)
{
    uint32_t others = 0;
    for (uint32_t i = 0; i < self->members->ring->len; i++) {
        const EyMemberEntry_t *entry = self->members->ring->pdata[i];
        if (entry != self->members->own && entry != suspect && !entry->suspect)
        {
            others++;
        }
    }
    return others > 0 &&
           suspect->failed_probes >= MIN(others, FAILED_PROBES_NEEDED);
}

static void
check_failure(EyMembership_t *self, int64_t now_ms, EyMemberEntry_t *entry)
{
    int64_t since_ack_ms = EyLinkQuality_SinceAckMs(&entry->quality, now_ms);
    int64_t slack_ms = EyLinkQuality_SlackMs(&entry->quality);
    if (since_ack_ms < EY_MEMBERSHIP_SUSPECT_MS + slack_ms) {
        return;
    }
    if (!entry->suspect) {
        EyMetric_Add(&Counts[COUNT_SUSPECT], 1);
    }
    entry->suspect = true;
    request_probes(self, now_ms, entry);
    int64_t gone_ms =
        MIN(EY_MEMBERSHIP_GONE_MS + 2 * slack_ms, EY_MEMBERSHIP_GONE_MAX_MS);
    if (since_ack_ms < gone_ms || !is_confirmed(self, entry)) {
        return;
    }
    EyMember_t gone = entry->member;
    gone.state = EY_MEMBER_GONE;
    EyMetric_Add(&Counts[COUNT_GONE], 1);
    EyMembership_Store(self, now_ms, &gone);
}

static void
ping_if_due(EyMembership_t *self, int64_t now_ms, EyMemberEntry_t *entry)
{
    if (!entry->monitored) {
        entry->monitored = true;
        entry->failed_probes = 0;
        EyLinkQuality_Start(&entry->quality, now_ms);
        entry->pinged_ms = 0;
    }
    if (entry->pinged_ms == 0 || now_ms - entry->pinged_ms >= PING_INTERVAL_MS)
    {
        entry->pinged_ms = now_ms;
        EyMembership_SendPing(self, &entry->member, ++self->number);
    }
}

/** Monitors the next instances on the ring: up to MONITORED_MAX that answer
 * and the suspects between them, so that when a whole zone fails the instances
 * behind the first failed ones are monitored too. */
void
EyMonitor_Tick(EyMembership_t *self, int64_t now_ms)
{
    EyMetrics_Register(Counts, COUNT_ALL);
    expire_probes(self, now_ms);
    EyMemberEntry_t *chosen[MONITORED_MAX + SUSPECTS_MONITORED_MAX];
    uint32_t count = 0;
    uint32_t healthy = 0;
    uint32_t ring_index = EyMembers_OwnRingIndex(self->members);
    for (uint32_t i = 1; i < self->members->ring->len; i++) {
        EyMemberEntry_t *entry =
            self->members->ring
                ->pdata[(ring_index + i) % self->members->ring->len];
        if (healthy == MONITORED_MAX || count == G_N_ELEMENTS(chosen)) {
            entry->monitored = false;
            entry->suspect = false;
            continue;
        }
        chosen[count++] = entry;
        if (!entry->suspect) {
            healthy++;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        ping_if_due(self, now_ms, chosen[i]);
    }
    for (uint32_t i = 0; i < count; i++) {
        check_failure(self, now_ms, chosen[i]);
    }
}

void
EyMonitor_Restart(EyMembership_t *self, int64_t now_ms)
{
    for (uint32_t i = 0; i < self->members->ring->len; i++) {
        EyMemberEntry_t *entry = self->members->ring->pdata[i];
        entry->monitored = false;
        entry->suspect = false;
    }
    self->last_ack_ms = now_ms;
}
