/* How fresh a gateway's copy of the configuration is, and whether the control
 * processes are there. */
#include "config/config_replica_internal.h"

#include <string.h>

/** Returns the number of control processes that there are, as far as it is
 * known: of the group, or of those that were met. */
static uint32_t
known_controls(const EyConfigReplica_t *self)
{
    return MAX(self->feed->controls.count, self->control_count);
}

/** Returns the time in which each control process is asked at least once and
 * can answer. */
static int64_t
answer_window_ms(const EyConfigReplica_t *self)
{
    int64_t interval_ms = self->is_used
                              ? EY_CONFIG_REPLICA_REGAIN_PULL_INTERVAL_MS
                              : EY_CONFIG_REPLICA_START_PULL_INTERVAL_MS;
    int64_t rounds =
        known_controls(self) / ey_config_replica_extra_controls(self) + 1;
    return rounds * interval_ms + EY_CONFIG_REPLICA_ANSWER_MAX_MS;
}

uint32_t
ey_config_replica_answering(const EyConfigReplica_t *self, int64_t now_ms)
{
    return EyControlAnswers_CountSince(&self->answers,
                                       now_ms - answer_window_ms(self));
}

bool
ey_config_replica_majority_answers(const EyConfigReplica_t *self,
                                   int64_t now_ms)
{
    return ey_config_replica_answering(self, now_ms) >
           known_controls(self) / 2;
}

static void
note_answer_of_control(EyConfigReplica_t *self, int64_t now_ms,
                       const char *from, const EyConfigMessage_t *push)
{
    if (!ey_config_replica_is_control(self, from)) {
        return;
    }
    EyControlAnswer_t answer = {
        .answered_ms = now_ms,
        .awaits_leader = push->awaits_leader,
        .hears_majority = push->hears_majority,
        .is_older_build = push->confirmation == EY_CONFIRMATION_UNKNOWN,
    };
    (void)EY_COPY(answer.id, from);
    EyControlAnswers_Note(&self->answers, &answer);
}

/** True if a push dates its revision: it was the newest up to then. */
static bool
is_dated(const EyConfigMessage_t *push)
{
    return push->is_current && push->current_age_ms >= 0;
}

/** True if a push answers a pull of this process. */
static bool
is_answer(const EyConfigMessage_t *push, int64_t now_ms)
{
    return push->pulled_ms > 0 && push->pulled_ms <= now_ms;
}

/** Updates the freshness from a push, if the store has its revision. The time
 * of the pull counts, as the answer may have waited for this process; a dated
 * push that answers no pull may have waited too, so it only causes a pull. The
 * confirmation of an older build has no date and counts as of now. */
static void
note_freshness(EyConfigReplica_t *self, int64_t now_ms, const char *from,
               const EyConfigMessage_t *push)
{
    bool is_dated_push = is_dated(push);
    if (self->store->config.revision < push->revision ||
        (!is_dated_push && push->confirmation != EY_CONFIRMATION_DONE))
    {
        return;
    }
    if (is_dated_push && !is_answer(push, now_ms)) {
        bool is_confirmed = EyFeed_IsConfirmed(self->feed, now_ms);
        self->pull_ms = is_confirmed ? self->pull_ms : now_ms;
        return;
    }
    EyFreshness_t told = {
        .term = push->confirmed_term,
        .as_of_ms =
            is_dated_push ? push->pulled_ms - push->current_age_ms : now_ms,
    };
    (void)EY_COPY(told.confirmed_by,
                  push->confirmed_by[0] != '\0' ? push->confirmed_by : from);
    EyFreshness_Update(&self->freshness, &told);
}

/** Notes that a control process itself has confirmed the store. */
static void
note_current(EyConfigReplica_t *self, const char *from,
             const EyConfigMessage_t *push)
{
    if (is_dated(push) && is_answer(push, self->clock_ms) &&
        self->store->config.revision >= push->revision &&
        ey_config_replica_is_control(self, from))
    {
        self->current_ms =
            MAX(self->current_ms, push->pulled_ms - push->current_age_ms);
    }
}

/** Takes the store for confirmed if control processes of older builds are the
 * majority, have answered, and it is the newest one that they have announced.
 */
static void
note_older_builds(EyConfigReplica_t *self, int64_t now_ms,
                  const EyConfigMessage_t *push)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < self->control_count; i++) {
        count +=
            EyControlAnswers_IsOlderBuild(&self->answers, self->controls[i]);
    }
    bool is_told = push->confirmation == EY_CONFIRMATION_UNKNOWN;
    if (is_told && count > self->control_count / 2 &&
        self->store->config.revision >= self->highest_revision)
    {
        const EyFreshness_t told = {.as_of_ms = now_ms};
        EyFreshness_Update(&self->freshness, &told);
    }
}

void
ey_config_replica_note_push(EyConfigReplica_t *self, int64_t now_ms,
                            const char *from, const EyConfigMessage_t *push)
{
    note_answer_of_control(self, now_ms, from, push);
    note_freshness(self, now_ms, from, push);
    note_older_builds(self, now_ms, push);
    note_current(self, from, push);
}

bool
ey_config_replica_update_feed(EyConfigReplica_t *self, int64_t now_ms)
{
    bool was_confirmed = EyFeed_IsConfirmed(self->feed, now_ms);
    EyFeed_SetFreshness(self->feed, &self->freshness);
    return !was_confirmed && EyFeed_IsConfirmed(self->feed, now_ms);
}

static void
report_unconfirmed(const EyConfigReplica_t *self, int64_t now_ms, bool is_used)
{
    if (self->hooks.unconfirmed != NULL) {
        self->hooks.unconfirmed(self->hooks.data, self->store,
                                now_ms - self->held_since_ms, is_used);
    }
}

static void
report_change(const EyConfigReplica_t *self, int64_t now_ms,
              EyFreshnessState_t from)
{
    if (self->hooks.freshness_changed == NULL) {
        return;
    }
    const EyFreshnessChange_t change = {
        .from = from,
        .to = self->state,
        .freshness = self->freshness,
        .revision = self->store->config.revision,
        .highest_revision = self->highest_revision,
        .answering = ey_config_replica_answering(self, now_ms),
        .controls = known_controls(self),
        .since_start_ms = now_ms - self->started_ms,
    };
    self->hooks.freshness_changed(self->hooks.data, &change);
}

void
ey_config_replica_use_store(EyConfigReplica_t *self)
{
    self->is_used = true;
    if (self->hooks.changed != NULL) {
        self->hooks.changed(self->hooks.data, self->store);
    }
}

/** Leaves out of a wait before the first use any time for which this process
 * was paused, as it hasn't handled what it was sent meanwhile. */
static void
exclude_pause(EyConfigReplica_t *self, int64_t now_ms)
{
    int64_t paused_ms =
        now_ms - self->use_checked_ms - EY_CONFIG_REPLICA_PULL_INTERVAL_MS;
    self->use_checked_ms = now_ms;
    if (self->held_since_ms != 0 && !self->is_used && paused_ms > 0) {
        self->held_since_ms += paused_ms;
        EyControlAnswers_Shift(&self->answers, paused_ms);
    }
}

/** True if the group of control processes is present: most of them answer, and
 * one of these hears most of the others. If none does, they are partitioned or
 * gone, and won't confirm anything soon. */
static bool
group_is_present(const EyConfigReplica_t *self, int64_t now_ms)
{
    return ey_config_replica_majority_answers(self, now_ms) &&
           EyControlAnswers_HearsMajority(&self->answers,
                                          now_ms - answer_window_ms(self));
}

static EyFreshnessFacts_t
collect_facts(const EyConfigReplica_t *self, int64_t now_ms)
{
    return (EyFreshnessFacts_t){
        .freshness = self->freshness,
        .now_ms = now_ms,
        .has_copy = self->store->config.revision > 0,
        .is_used = self->is_used,
        .group_is_present = group_is_present(self, now_ms),
        .awaits_leader = EyControlAnswers_AwaitsLeader(
            &self->answers, now_ms - EY_CONFIG_REPLICA_AWAITS_LEADER_MS),
        .present_for_ms = now_ms - self->group_absent_ms,
        .last_alone_ms = self->last_alone_ms,
        .held_for_ms =
            self->held_since_ms != 0 ? now_ms - self->held_since_ms : 0,
        .behind_for_ms =
            self->behind_since_ms != 0 ? now_ms - self->behind_since_ms : 0,
    };
}

/** Begins or ends a wait; uses the store if it ends with the first use. */
static void
enter_state(EyConfigReplica_t *self, int64_t now_ms, EyFreshnessState_t state)
{
    EyFreshnessState_t before = self->state;
    self->state = state;
    if (state == EY_FRESHNESS_HELD) {
        self->held_since_ms = now_ms;
        self->pull_ms = now_ms;
        report_unconfirmed(self, now_ms, false);
    }
    else {
        if (!self->is_used && state == EY_FRESHNESS_UNCONFIRMED) {
            report_unconfirmed(self, now_ms, true);
        }
        self->held_since_ms = 0;
    }
    report_change(self, now_ms, before);
    if (!self->is_used && EyFreshness_permissions[state].may_serve) {
        ey_config_replica_use_store(self);
    }
}

/** Records when most control processes don't answer, and when the group isn't
 * present. The former is known only some time after the last confirmation, as
 * not all of them are asked before. */
static void
update_contact(EyConfigReplica_t *self, int64_t now_ms)
{
    int64_t known_ms = self->freshness.as_of_ms +
                       EY_CONFIG_REPLICA_CONTACT_MAX_MS +
                       answer_window_ms(self);
    bool is_known = !self->is_used || now_ms > known_ms;
    if (is_known && !ey_config_replica_majority_answers(self, now_ms)) {
        self->last_alone_ms = now_ms;
    }
    if (!group_is_present(self, now_ms)) {
        self->group_absent_ms = now_ms;
    }
}

void
ey_config_replica_update_state(EyConfigReplica_t *self, int64_t now_ms)
{
    exclude_pause(self, now_ms);
    update_contact(self, now_ms);
    const EyFreshnessFacts_t facts = collect_facts(self, now_ms);
    EyFreshnessState_t state = EyFreshness_Decide(&facts);
    if (state != self->state) {
        enter_state(self, now_ms, state);
    }
}
