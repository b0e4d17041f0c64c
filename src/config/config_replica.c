#include "config/config_replica_internal.h"
#include "core/memory.h"

#include <stdlib.h>
#include <string.h>

/** Sources asked by each pull until one has answered. */
#define STARTUP_SOURCES 3
/** Unanswered pulls after which other sources are tried in turn. */
#define UNANSWERED_PULLS_MAX 1
/** Time that a source has to send what it was asked for, in addition to that
 * of its size on a slow link, after which another source is asked. */
#define FETCH_MIN_MS 200
/** Time that control processes have to announce a change. */
#define CONTROL_ANSWER_MS 400

EyConfigReplica_t *
EyConfigReplica_New(const void *ctx, const char *id, uint64_t seed,
                    const EyConfigReplicaHooks_t *hooks, int64_t now_ms)
{
    EyConfigReplica_t *self = EY_NEW(ctx, EyConfigReplica_t);
    (void)EY_COPY(self->id, id);
    self->random = EyRandom_Make(seed);
    self->hooks = *hooks;
    self->store = EyStore_New(self);
    self->feed = EyFeed_New(self, hooks->send, hooks->data);
    EyFeed_SetFreshness(self->feed, &self->freshness);
    self->started_ms = now_ms;
    self->last_alone_ms = now_ms;
    self->group_absent_ms = now_ms;
    self->pull_ms = now_ms;
    self->use_checked_ms = now_ms;
    return self;
}

static int
compare_names(const void *left, const void *right)
{
    return strcmp(left, right);
}

static void
copy_names(const void *ctx, EyName_t **into, const EyName_t *names,
           uint32_t count)
{
    talloc_free(*into);
    *into = EY_NEW_ARRAY(ctx, EyName_t, count + 1);
    for (uint32_t i = 0; i < count; i++) {
        (void)EY_COPY((*into)[i], names[i]);
    }
}

void
EyConfigReplica_SetSources(EyConfigReplica_t *self, const EyName_t *gateways,
                           uint32_t gateway_count, const EyName_t *controls,
                           uint32_t control_count)
{
    copy_names(self, &self->gateways, gateways, gateway_count);
    self->gateway_count = gateway_count;
    bool has_self = false;
    for (uint32_t i = 0; i < gateway_count; i++) {
        has_self = has_self || strcmp(gateways[i], self->id) == 0;
    }
    if (!has_self) {
        (void)EY_COPY(self->gateways[gateway_count], self->id);
        self->gateway_count++;
    }
    qsort(self->gateways, self->gateway_count, sizeof(EyName_t),
          compare_names);
    copy_names(self, &self->controls, controls, control_count);
    self->control_count = control_count;
}

static const char *
control_source(const EyConfigReplica_t *self)
{
    return self->control_count > 0
               ? self->controls[self->root_control % self->control_count]
               : NULL;
}

/** Returns the parent in the region's tree or, for the root, a control
 * process. */
static const char *
tree_source(const EyConfigReplica_t *self)
{
    for (uint32_t i = 1; i < self->gateway_count; i++) {
        if (strcmp(self->gateways[i], self->id) == 0) {
            return self->gateways[(i - 1) / EY_CONFIG_REPLICA_FANOUT];
        }
    }
    return control_source(self);
}

/** Returns a random other gateway of the region or control process, or NULL. A
 * control process may have the own id, because one process can be both. */
static const char *
random_source(EyConfigReplica_t *self)
{
    uint32_t count = self->gateway_count + self->control_count;
    if (count == 0) {
        return NULL;
    }
    uint32_t pick = (uint32_t)EyRandom_Below(&self->random, count);
    if (pick >= self->gateway_count) {
        return self->controls[pick - self->gateway_count];
    }
    bool is_own = strcmp(self->gateways[pick], self->id) == 0;
    return is_own ? NULL : self->gateways[pick];
}

static void
send_pull(EyConfigReplica_t *self, const char *source, bool is_probe)
{
    if (source == NULL) {
        return;
    }
    const char *regular = tree_source(self);
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_PULL,
        .revision = self->store->config.revision,
        .wants_snapshot = self->wants_snapshot,
        .is_probe = is_probe,
        .is_tree_source = regular != NULL && strcmp(regular, source) == 0,
        .pulled_ms = self->clock_ms,
        .controls.index = self->feed->controls.index,
    };
    self->hooks.send(self->hooks.data, source, &message);
}

static bool
was_asked(const EyConfigReplica_t *self, const char *source)
{
    for (uint32_t i = 0; i < self->asked_count; i++) {
        if (strcmp(self->asked[i], source) == 0) {
            return true;
        }
    }
    return false;
}

/** Asks for the source's revision, and for changes if they are small; also
 * subscribes. A pull asks each source once. */
static void
probe(EyConfigReplica_t *self, const char *source)
{
    if (source == NULL || was_asked(self, source)) {
        return;
    }
    if (self->asked_count < EY_CONFIG_REPLICA_ASKED_MAX) {
        (void)EY_COPY(self->asked[self->asked_count], source);
        self->asked_count++;
    }
    send_pull(self, source, true);
}

static void
note_answer(EyConfigReplica_t *self, const char *source)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < self->asked_count; i++) {
        if (strcmp(self->asked[i], source) != 0) {
            if (kept < i) {
                (void)EY_COPY(self->asked[kept], self->asked[i]);
            }
            kept++;
        }
    }
    self->asked_count = kept;
}

/** True if a source hasn't answered the last pull in time: its connection may
 * have fallen silent, and a change with it. */
static bool
lacks_answer(const EyConfigReplica_t *self, int64_t now_ms)
{
    return self->asked_count > 0 &&
           now_ms - self->pulled_ms >= EY_CONFIG_REPLICA_ANSWER_MAX_MS;
}

/** True if a store is used that wasn't confirmed by the last pulls. */
static bool
has_lost_contact(const EyConfigReplica_t *self)
{
    return self->is_used && self->clock_ms - self->freshness.as_of_ms >
                                EY_CONFIG_REPLICA_CONTACT_MAX_MS;
}

uint32_t
ey_config_replica_extra_controls(const EyConfigReplica_t *self)
{
    return has_lost_contact(self) ? EY_CONFIG_REPLICA_ASKED_MAX - 1
                                  : EY_CONFIG_REPLICA_EXTRA_CONTROLS;
}

/** Pulls from some control processes in turn, so that a source that answers
 * but is partitioned from the others isn't relied on for long. */
static void
pull_extra(EyConfigReplica_t *self)
{
    uint32_t count =
        MIN(ey_config_replica_extra_controls(self), self->control_count);
    for (uint32_t i = 0; i < count; i++) {
        self->extra_control++;
        probe(self, self->controls[self->extra_control % self->control_count]);
    }
}

static int64_t
pull_interval_ms(const EyConfigReplica_t *self)
{
    bool awaits_first = !self->is_used && self->highest_revision > 0;
    if (!self->has_answer || awaits_first || self->held_since_ms != 0) {
        return EY_CONFIG_REPLICA_START_PULL_INTERVAL_MS;
    }
    return has_lost_contact(self) ? EY_CONFIG_REPLICA_REGAIN_PULL_INTERVAL_MS
                                  : EY_CONFIG_REPLICA_PULL_INTERVAL_MS;
}

static void
pull(EyConfigReplica_t *self, int64_t now_ms)
{
    self->pulled_ms = now_ms;
    self->asked_count = 0;
    probe(self, tree_source(self));
    pull_extra(self);
    if (!self->has_answer) {
        for (uint32_t i = 1; i < STARTUP_SOURCES; i++) {
            probe(self, random_source(self));
        }
    }
    else if (self->unanswered_pulls > UNANSWERED_PULLS_MAX) {
        probe(self, random_source(self));
    }
    if (self->unanswered_pulls > UNANSWERED_PULLS_MAX) {
        self->root_control++;
    }
    self->unanswered_pulls++;
    self->pull_ms = now_ms + pull_interval_ms(self);
}

void
EyConfigReplica_ObserveRevision(EyConfigReplica_t *self, int64_t now_ms,
                                uint64_t revision)
{
    if (revision <= self->highest_revision) {
        return;
    }
    self->highest_revision = revision;
    if (revision > self->store->config.revision) {
        self->pull_ms = now_ms;
        if (self->behind_since_ms == 0) {
            self->behind_since_ms = now_ms;
        }
    }
}

void
EyConfigReplica_ObservePeer(EyConfigReplica_t *self, int64_t now_ms,
                            const char *peer, uint64_t revision)
{
    bool is_first = revision > self->highest_revision;
    EyConfigReplica_ObserveRevision(self, now_ms, revision);
    if (is_first && revision > self->store->config.revision) {
        self->clock_ms = now_ms;
        send_pull(self, peer, true);
    }
}

/** Applies the commands after the current revision. If one fails, although it
 * was applied at the sender, as may happen between different builds, asks for
 * a snapshot. */
static void
apply_commands(EyConfigReplica_t *self, const EyConfigMessage_t *push)
{
    for (uint32_t i = 0; i < push->command_count; i++) {
        uint64_t revision = push->first_revision + i;
        uint64_t present = self->store->config.revision;
        if (revision <= present) {
            continue;
        }
        if (revision != present + 1) {
            return;
        }
        EyCommandResult_t result =
            EyStore_Apply(self->store, &push->commands[i]);
        if (result.status != EY_COMMAND_RESULT_DONE) {
            self->wants_snapshot = true;
            return;
        }
        EyFeed_Add(self->feed, &push->commands[i], revision);
    }
}

static void
restore_snapshot(EyConfigReplica_t *self, const EyConfigMessage_t *push)
{
    EyStore_t *store = EyStore_Restore(self, &push->snapshot, NULL);
    if (store == NULL) {
        return;
    }
    if (store->config.revision <= self->store->config.revision) {
        talloc_free(store);
        return;
    }
    talloc_free(self->store);
    self->store = store;
    self->wants_snapshot = false;
    EyFeed_Clear(self->feed);
}

bool
ey_config_replica_is_control(const EyConfigReplica_t *self, const char *id)
{
    for (uint32_t i = 0; i < self->control_count; i++) {
        if (strcmp(self->controls[i], id) == 0) {
            return true;
        }
    }
    return false;
}

/** Returns when to pull next: sooner than at the interval that applied to the
 * last pull, if contact has been lost since. */
static int64_t
next_pull_ms(const EyConfigReplica_t *self)
{
    int64_t lost_ms =
        self->freshness.as_of_ms + EY_CONFIG_REPLICA_CONTACT_MAX_MS + 1;
    bool is_lost_since = self->is_used && lost_ms > self->pulled_ms;
    return is_lost_since ? MIN(self->pull_ms, lost_ms) : self->pull_ms;
}

/* Readiness */

/** True if the store is as new as any that was announced. One answer without
 * a configuration may be of a process that has lost its disk: that there is
 * none at all is known from most control processes. */
static bool
is_newest_announced(const EyConfigReplica_t *self, int64_t now_ms)
{
    bool is_known = self->store->config.revision > 0 ||
                    self->freshness.as_of_ms > 0 ||
                    ey_config_replica_majority_answers(self, now_ms);
    return self->has_answer && is_known &&
           self->store->config.revision >= self->highest_revision;
}

/** Sets is_ready for good. Does nothing while the store is held back, because
 * a higher revision may still be announced. */
static void
check_ready(EyConfigReplica_t *self, int64_t now_ms)
{
    if (self->held_since_ms != 0) {
        return;
    }
    if (is_newest_announced(self, now_ms) ||
        now_ms - self->started_ms >= EY_CONFIG_REPLICA_READY_TIMEOUT_MS)
    {
        self->is_ready = true;
    }
}

/** True while control processes may still announce a large change that a
 * gateway has announced; asks them first. They have the better links, but may
 * be cut off, and a source that doesn't answer isn't to be waited for as long
 * as one that sends. */
static bool
awaits_control(EyConfigReplica_t *self, int64_t now_ms, const char *announcer,
               uint64_t omitted_bytes)
{
    if (omitted_bytes == 0 || self->control_count == 0 ||
        ey_config_replica_is_control(self, announcer))
    {
        return false;
    }
    if (self->control_ends_ms == 0) {
        self->control_ends_ms = now_ms + CONTROL_ANSWER_MS;
        self->pull_ms = MIN(self->pull_ms, self->control_ends_ms);
        probe(self, control_source(self));
        pull_extra(self);
    }
    if (now_ms >= self->control_ends_ms) {
        return false;
    }
    (void)EY_COPY(self->announcer, announcer);
    self->announced_bytes = omitted_bytes;
    return true;
}

/** Returns the least size of the answer to a pull: a snapshot has the whole
 * route table, also if only a small command couldn't be applied. */
static uint64_t
expected_bytes(const EyConfigReplica_t *self, uint64_t omitted_bytes)
{
    return self->wants_snapshot
               ? MAX(omitted_bytes, self->store->routes.size_bytes)
               : omitted_bytes;
}

/** Asks one source for the missing revisions, unless one is being waited
 * for: a second copy would delay the first and take the link from requests. */
static void
fetch(EyConfigReplica_t *self, int64_t now_ms, const char *announcer,
      uint64_t omitted_bytes)
{
    if (now_ms < self->fetch_ends_ms ||
        awaits_control(self, now_ms, announcer, omitted_bytes))
    {
        return;
    }
    uint64_t size_bytes = expected_bytes(self, omitted_bytes);
    self->fetch_ends_ms = now_ms + FETCH_MIN_MS +
                          (int64_t)(size_bytes / EY_SLOW_LINK_BYTES_PER_MS);
    send_pull(self, announcer, false);
}

/** Passes on what a push has changed; before: the revision before it. */
static void
after_push(EyConfigReplica_t *self, int64_t now_ms, const char *from,
           uint64_t before)
{
    bool is_new = self->store->config.revision > before;
    bool was_used = self->is_used;
    if (is_new) {
        self->delay_ms = now_ms - self->behind_since_ms;
        self->fetch_ends_ms = 0;
        self->control_ends_ms = 0;
        self->announcer[0] = '\0';
        self->behind_since_ms =
            self->store->config.revision < self->highest_revision ? now_ms : 0;
    }
    if (ey_config_replica_update_feed(self, now_ms) || is_new) {
        EyFeed_Push(self->feed, self->store, now_ms, from);
    }
    ey_config_replica_update_state(self, now_ms);
    if (is_new && was_used) {
        ey_config_replica_use_store(self);
    }
}

static void
update_controls(EyConfigReplica_t *self, const EyConfigMessage_t *push)
{
    if (EyFeed_SetControls(self->feed, &push->controls) &&
        self->hooks.controls_changed != NULL)
    {
        self->hooks.controls_changed(self->hooks.data, &self->feed->controls);
    }
}

/** Passes on that the end of a zone's evacuation was ordered. */
static void
note_restoring(EyConfigReplica_t *self, int64_t now_ms, const char *from,
               const EyConfigMessage_t *push)
{
    if (push->restoring[0] != '\0' &&
        EyFeed_NotifyRestoring(self->feed, self->store, now_ms, from,
                               push->restoring) &&
        self->hooks.restoring != NULL)
    {
        self->hooks.restoring(self->hooks.data, push->restoring);
    }
}

static void
on_push(EyConfigReplica_t *self, int64_t now_ms, const char *from,
        const EyConfigMessage_t *push)
{
    uint64_t before = self->store->config.revision;
    self->has_answer = true;
    self->unanswered_pulls = 0;
    note_answer(self, from);
    update_controls(self, push);
    note_restoring(self, now_ms, from, push);
    if (push->revision < before) {
        self->stale_pushes++;
    }
    EyConfigReplica_ObserveRevision(self, now_ms, push->revision);
    apply_commands(self, push);
    if (push->snapshot.size_bytes > 0) {
        restore_snapshot(self, push);
    }
    ey_config_replica_note_push(self, now_ms, from, push);
    after_push(self, now_ms, from, before);
    uint64_t after = self->store->config.revision;
    if (after > before && after < self->highest_revision) {
        /* What was announced during the fetch hasn't been asked for. */
        self->pull_ms = now_ms;
    }
    if (after < push->revision) {
        fetch(self, now_ms, from, push->omitted_bytes);
    }
    check_ready(self, now_ms);
}

void
EyConfigReplica_Receive(EyConfigReplica_t *self, int64_t now_ms,
                        const char *from, const EyConfigMessage_t *message)
{
    self->clock_ms = now_ms;
    if (message->kind == EY_CONFIG_PUSH) {
        on_push(self, now_ms, from, message);
    }
    else if (message->kind == EY_CONFIG_PULL) {
        EyConfigReplica_ObserveRevision(self, now_ms, message->revision);
        EyFeed_HandlePull(self->feed, self->store, now_ms, from, message);
    }
}

void
EyConfigReplica_Tick(EyConfigReplica_t *self, int64_t now_ms)
{
    self->clock_ms = now_ms;
    if (self->announcer[0] != '\0' && now_ms >= self->control_ends_ms) {
        fetch(self, now_ms, self->announcer, self->announced_bytes);
        self->announcer[0] = '\0';
    }
    if (now_ms >= next_pull_ms(self) || lacks_answer(self, now_ms)) {
        pull(self, now_ms);
    }
    ey_config_replica_update_state(self, now_ms);
    if (!self->is_ready) {
        check_ready(self, now_ms);
    }
}

int64_t
EyConfigReplica_DueMs(const EyConfigReplica_t *self)
{
    int64_t due_ms = next_pull_ms(self);
    return self->asked_count > 0
               ? MIN(due_ms, self->pulled_ms + EY_CONFIG_REPLICA_ANSWER_MAX_MS)
               : due_ms;
}

bool
EyConfigReplica_IsReady(const EyConfigReplica_t *self)
{
    return self->is_ready && EyFreshness_permissions[self->state].may_be_ready;
}

bool
EyConfigReplica_IsConfirmed(const EyConfigReplica_t *self)
{
    return self->freshness.as_of_ms > 0;
}

const EyFreshnessPermissions_t *
EyConfigReplica_Permissions(const EyConfigReplica_t *self)
{
    return &EyFreshness_permissions[self->state];
}

EyFreshnessState_t
EyConfigReplica_State(const EyConfigReplica_t *self)
{
    return self->state;
}

uint32_t
EyConfigReplica_Answering(const EyConfigReplica_t *self)
{
    return ey_config_replica_answering(self, self->clock_ms);
}

const EyFreshness_t *
EyConfigReplica_Freshness(const EyConfigReplica_t *self)
{
    return &self->freshness;
}

int64_t
EyConfigReplica_CurrentMs(const EyConfigReplica_t *self)
{
    return self->current_ms;
}

int64_t
EyConfigReplica_DelayMs(const EyConfigReplica_t *self)
{
    return self->delay_ms;
}

const EyControlSet_t *
EyConfigReplica_Controls(const EyConfigReplica_t *self)
{
    return &self->feed->controls;
}

const EyStore_t *
EyConfigReplica_Store(const EyConfigReplica_t *self)
{
    return self->store;
}

json_t *
EyConfigReplica_Dump(const EyConfigReplica_t *self)
{
    const char *source = tree_source(self);
    return json_pack(
        "{s:I, s:I, s:I, s:b, s:s, s:s, s:I, s:I, s:b, s:s, s:i, s:I}",
        "version", (json_int_t)self->store->config.version, "revision",
        (json_int_t)self->store->config.revision, "highest_heard",
        (json_int_t)self->highest_revision, "ready",
        EyConfigReplica_IsReady(self), "freshness",
        EyFreshness_state_names[self->state], "confirmed_by",
        self->freshness.confirmed_by, "term", (json_int_t)self->freshness.term,
        "confirmed_ms", (json_int_t)self->freshness.as_of_ms, "used",
        self->is_used, "source", source != NULL ? source : "",
        "unanswered_pulls", (int)self->unanswered_pulls, "stale_pushes",
        (json_int_t)self->stale_pushes);
}
