#include "config/config_replica.h"

#include "core/memory.h"

#include <stdlib.h>
#include <string.h>

/** Control processes asked by each pull in addition to the tree's source. */
#define EXTRA_CONTROLS 2U
/** Sources asked by each pull until one has answered. */
#define STARTUP_SOURCES 3
/** Unanswered pulls after which other sources are tried in turn. */
#define UNANSWERED_PULLS_MAX 1
/** Time after which a source that hasn't answered is asked again. */
#define ANSWER_MAX_MS 500
/** Most sources that one pull asks. */
#define ASKED_MAX 8
/** Time that a source has to send what it was asked for, in addition to that
 * of its size on a slow link, after which another source is asked. */
#define FETCH_MIN_MS 200
/** Time that control processes have to announce a change. */
#define CONTROL_ANSWER_MS 400

struct EyConfigReplica {
    EyName_t id;
    EyRandom_t random;
    EyConfigReplicaHooks_t hooks;
    EyStore_t *store;
    EyFeed_t *feed;
    EyName_t *gateways; /* of the local region, own id included, sorted */
    uint32_t gateway_count;
    EyName_t *controls;
    uint32_t control_count;
    uint32_t root_control;     /* index of the tree root's control process */
    uint32_t extra_control;    /* index of the last additional one asked */
    uint64_t highest_revision; /* revision that a peer announced */
    int64_t started_ms;
    int64_t pull_ms;         /* when to pull next */
    int64_t fetch_ends_ms;   /* until then a source is expected to send what
                                is missing; 0: none was asked */
    int64_t control_ends_ms; /* until then a control process is expected to
                                announce what a gateway has announced; 0:
                                none was asked since the last change */
    EyName_t announcer;      /* gateway that announced it last; or empty */
    uint64_t announced_bytes;
    bool wants_snapshot;       /* the last commands couldn't be applied */
    uint32_t unanswered_pulls; /* pulls since the last push */
    int64_t pulled_ms;         /* time of the last pull */
    EyName_t asked[ASKED_MAX]; /* by it; without those that have answered */
    uint32_t asked_count;
    bool has_answer; /* since the start */
    bool is_ready;   /* unless the store is held back */
    bool is_used;    /* the store was passed to the changed hook */
    bool has_confirmed_source;
    uint64_t confirmed_revision; /* lowest one of a confirmed source */
    int64_t held_since_ms;       /* since then the store is held back; 0: no */
    int64_t awaits_leader_ms; /* when a control process last said so; 0: never
                               */
    int64_t use_checked_ms;   /* last time that this was looked at */
    /** Control processes that answered without a confirmation. */
    EyName_t older_controls[EY_CONFIG_REPLICA_OLDER_MAX];
    uint32_t older_control_count;
    uint64_t stale_pushes; /* pushes of an older revision */
    int64_t clock_ms;      /* of the current call */
    int64_t current_ms;    /* as EyConfigReplica_CurrentMs */
};

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
    EyFeed_SetConfirmation(self->feed, EY_CONFIRMATION_PENDING);
    self->started_ms = now_ms;
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
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_PULL,
        .revision = self->store->config.revision,
        .wants_snapshot = self->wants_snapshot,
        .is_probe = is_probe,
        .pulled_ms = self->clock_ms,
        .controls.index = self->feed->controls.index,
    };
    self->hooks.send(self->hooks.data, source, &message);
}

/** Asks for the source's revision, and for changes if they are small; also
 * subscribes. */
static void
probe(EyConfigReplica_t *self, const char *source)
{
    if (source != NULL && self->asked_count < ASKED_MAX) {
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
    return self->asked_count > 0 && now_ms - self->pulled_ms >= ANSWER_MAX_MS;
}

/** Pulls from some control processes in turn, so that a source that answers
 * but is partitioned from the others isn't relied on for long. */
static void
pull_extra(EyConfigReplica_t *self)
{
    uint32_t count = MIN(EXTRA_CONTROLS, self->control_count);
    for (uint32_t i = 0; i < count; i++) {
        self->extra_control++;
        probe(self, self->controls[self->extra_control % self->control_count]);
    }
}

static void
pull(EyConfigReplica_t *self, int64_t now_ms)
{
    self->pulled_ms = now_ms;
    self->asked_count = 0;
    probe(self, tree_source(self));
    if (self->has_answer) {
        pull_extra(self);
    }
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
    bool is_starting = !self->has_answer || self->held_since_ms != 0;
    self->pull_ms =
        now_ms + (is_starting ? EY_CONFIG_REPLICA_START_PULL_INTERVAL_MS
                              : EY_CONFIG_REPLICA_PULL_INTERVAL_MS);
}

/** Sets is_ready for good. Does nothing while the store is held back, because
 * a higher revision may still be announced. */
static void
check_ready(EyConfigReplica_t *self, int64_t now_ms)
{
    if (self->held_since_ms != 0) {
        return;
    }
    bool is_current = self->has_answer &&
                      self->store->config.revision >= self->highest_revision;
    if (is_current ||
        now_ms - self->started_ms >= EY_CONFIG_REPLICA_READY_TIMEOUT_MS)
    {
        self->is_ready = true;
    }
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

static bool
is_control(const EyConfigReplica_t *self, const char *id)
{
    for (uint32_t i = 0; i < self->control_count; i++) {
        if (strcmp(self->controls[i], id) == 0) {
            return true;
        }
    }
    return false;
}

/* Confirmation */

static bool
is_confirmed(const EyConfigReplica_t *self)
{
    return self->feed->confirmation == EY_CONFIRMATION_DONE;
}

static void
note_older_control(EyConfigReplica_t *self, const char *from)
{
    for (uint32_t i = 0; i < self->older_control_count; i++) {
        if (strcmp(self->older_controls[i], from) == 0) {
            return;
        }
    }
    if (self->older_control_count < EY_CONFIG_REPLICA_OLDER_MAX) {
        (void)EY_COPY(self->older_controls[self->older_control_count], from);
        self->older_control_count++;
    }
}

/** Records what a push says of its sender's revision. */
static void
note_confirmation(EyConfigReplica_t *self, int64_t now_ms, const char *from,
                  const EyConfigMessage_t *push)
{
    if (push->awaits_leader && is_control(self, from)) {
        self->awaits_leader_ms = now_ms;
    }
    if (push->confirmation == EY_CONFIRMATION_DONE) {
        self->confirmed_revision =
            self->has_confirmed_source
                ? MIN(self->confirmed_revision, push->revision)
                : push->revision;
        self->has_confirmed_source = true;
    }
    if (push->confirmation == EY_CONFIRMATION_UNKNOWN &&
        is_control(self, from)) {
        note_older_control(self, from);
    }
}

/** Notes that a control process has confirmed the store. The time of the pull
 * counts, as the answer may have waited for this process. */
static void
note_current(EyConfigReplica_t *self, const char *from,
             const EyConfigMessage_t *push)
{
    bool is_answer = push->pulled_ms > 0 && push->pulled_ms <= self->clock_ms;
    if (push->is_current && is_answer && push->current_age_ms >= 0 &&
        self->store->config.revision >= push->revision &&
        is_control(self, from))
    {
        self->current_ms =
            MAX(self->current_ms, push->pulled_ms - push->current_age_ms);
    }
}

/** True if control processes of older builds are the majority, have answered,
 * and the store is the newest one that they have announced. */
static bool
is_newest_of_older_builds(const EyConfigReplica_t *self)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < self->older_control_count; i++) {
        count += is_control(self, self->older_controls[i]);
    }
    return count > self->control_count / 2 &&
           self->store->config.revision >= self->highest_revision;
}

/** Marks the store as confirmed once it is; returns true if it became so. */
static bool
update_confirmation(EyConfigReplica_t *self)
{
    bool is_confirmed_now =
        (self->has_confirmed_source &&
         self->store->config.revision >= self->confirmed_revision) ||
        is_newest_of_older_builds(self);
    if (is_confirmed(self) || !is_confirmed_now) {
        return false;
    }
    EyFeed_SetConfirmation(self->feed, EY_CONFIRMATION_DONE);
    return true;
}

static void
report_unconfirmed(const EyConfigReplica_t *self, int64_t now_ms, bool is_used)
{
    if (self->hooks.unconfirmed != NULL) {
        self->hooks.unconfirmed(self->hooks.data, self->store,
                                now_ms - self->held_since_ms, is_used);
    }
}

/** Passes the store to the changed hook. */
static void
use_store(EyConfigReplica_t *self)
{
    self->held_since_ms = 0;
    self->is_used = true;
    if (self->hooks.changed != NULL) {
        self->hooks.changed(self->hooks.data, self->store);
    }
}

/** Leaves out of the wait any time for which this process was paused, as it
 * hasn't handled what it was sent meanwhile. */
static void
exclude_pause(EyConfigReplica_t *self, int64_t now_ms)
{
    int64_t paused_ms =
        now_ms - self->use_checked_ms - EY_CONFIG_REPLICA_PULL_INTERVAL_MS;
    self->use_checked_ms = now_ms;
    if (self->held_since_ms != 0 && paused_ms > 0) {
        self->held_since_ms += paused_ms;
        self->awaits_leader_ms += paused_ms;
    }
}

/** True if a control process that reaches a majority waits for a leader: the
 * core is there, so this gateway isn't cut off and its store may be older than
 * what was acknowledged. */
static bool
awaits_leader(const EyConfigReplica_t *self, int64_t now_ms)
{
    return self->awaits_leader_ms != 0 &&
           now_ms - self->awaits_leader_ms <
               EY_CONFIG_REPLICA_AWAITS_LEADER_MS;
}

/** Holds an unconfirmed store back: from its first revision on, until it is
 * confirmed or the time has passed. */
static void
update_use(EyConfigReplica_t *self, int64_t now_ms)
{
    if (self->is_used || self->store->config.revision == 0) {
        return;
    }
    exclude_pause(self, now_ms);
    if (is_confirmed(self)) {
        use_store(self);
        return;
    }
    if (self->held_since_ms == 0) {
        self->held_since_ms = now_ms;
        self->pull_ms = now_ms;
        report_unconfirmed(self, now_ms, false);
    }
    if (now_ms - self->held_since_ms >=
            EY_CONFIG_REPLICA_UNCONFIRMED_TIMEOUT_MS &&
        !awaits_leader(self, now_ms))
    {
        report_unconfirmed(self, now_ms, true);
        use_store(self);
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
        is_control(self, announcer))
    {
        return false;
    }
    if (self->control_ends_ms == 0) {
        self->control_ends_ms = now_ms + CONTROL_ANSWER_MS;
        self->pull_ms = MIN(self->pull_ms, self->control_ends_ms);
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
        self->fetch_ends_ms = 0;
        self->control_ends_ms = 0;
        self->announcer[0] = '\0';
    }
    if (update_confirmation(self) || is_new) {
        EyFeed_Push(self->feed, self->store, now_ms, from);
    }
    update_use(self, now_ms);
    if (is_new && was_used) {
        use_store(self);
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

static void
on_push(EyConfigReplica_t *self, int64_t now_ms, const char *from,
        const EyConfigMessage_t *push)
{
    uint64_t before = self->store->config.revision;
    self->has_answer = true;
    self->unanswered_pulls = 0;
    note_answer(self, from);
    update_controls(self, push);
    if (push->revision < before) {
        self->stale_pushes++;
    }
    EyConfigReplica_ObserveRevision(self, now_ms, push->revision);
    apply_commands(self, push);
    if (push->snapshot.size_bytes > 0) {
        restore_snapshot(self, push);
    }
    note_confirmation(self, now_ms, from, push);
    note_current(self, from, push);
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
    if (now_ms >= self->pull_ms || lacks_answer(self, now_ms)) {
        pull(self, now_ms);
    }
    update_use(self, now_ms);
    if (!self->is_ready) {
        check_ready(self, now_ms);
    }
}

int64_t
EyConfigReplica_DueMs(const EyConfigReplica_t *self)
{
    return self->asked_count > 0
               ? MIN(self->pull_ms, self->pulled_ms + ANSWER_MAX_MS)
               : self->pull_ms;
}

bool
EyConfigReplica_IsReady(const EyConfigReplica_t *self)
{
    return self->is_ready && self->held_since_ms == 0;
}

bool
EyConfigReplica_IsConfirmed(const EyConfigReplica_t *self)
{
    return is_confirmed(self);
}

int64_t
EyConfigReplica_CurrentMs(const EyConfigReplica_t *self)
{
    return self->current_ms;
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
    return json_pack("{s:I, s:I, s:I, s:b, s:b, s:b, s:s, s:i, s:I}",
                     "version", (json_int_t)self->store->config.version,
                     "revision", (json_int_t)self->store->config.revision,
                     "highest_heard", (json_int_t)self->highest_revision,
                     "ready", EyConfigReplica_IsReady(self), "confirmed",
                     is_confirmed(self), "used", self->is_used, "source",
                     source != NULL ? source : "", "unanswered_pulls",
                     (int)self->unanswered_pulls, "stale_pushes",
                     (json_int_t)self->stale_pushes);
}
