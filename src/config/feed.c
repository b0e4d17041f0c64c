#include "config/feed.h"

#include "core/memory.h"

#include <string.h>

EyFeed_t *
EyFeed_New(const void *ctx, EyFeedSend_t send, void *data)
{
    EyFeed_t *self = EY_NEW(ctx, EyFeed_t);
    self->recent = EY_NEW_ARRAY(self, EyCommand_t, EY_PUSH_COMMANDS_MAX);
    self->send = send;
    self->data = data;
    return self;
}

static EyCommand_t *
slot(const EyFeed_t *self, uint64_t revision)
{
    return &self->recent[revision % EY_PUSH_COMMANDS_MAX];
}

static void
drop_command(EyFeed_t *self, EyCommand_t *command)
{
    self->documents_bytes -= command->document.size_bytes;
    talloc_free(command->group.members);
    talloc_free(command->document.data);
    *command = (EyCommand_t){.kind = EY_COMMAND_NONE};
}

void
EyFeed_Add(EyFeed_t *self, const EyCommand_t *command, uint64_t revision)
{
    uint64_t size_bytes = command->document.size_bytes;
    if (revision != self->last + 1 ||
        self->documents_bytes + size_bytes > EY_FEED_DOCUMENTS_MAX_BYTES)
    {
        EyFeed_Clear(self);
    }
    EyCommand_t *copy = slot(self, revision);
    drop_command(self, copy);
    *copy = EyCommand_Copy(self, command);
    self->documents_bytes += size_bytes;
    self->last = revision;
    if (self->first == 0) {
        self->first = revision;
    }
    if (revision - self->first >= EY_PUSH_COMMANDS_MAX) {
        self->first = revision - EY_PUSH_COMMANDS_MAX + 1;
    }
}

void
EyFeed_SetFreshness(EyFeed_t *self, const EyFreshness_t *freshness)
{
    self->tells_freshness = true;
    self->freshness = *freshness;
}

bool
EyFeed_IsConfirmed(const EyFeed_t *self, int64_t now_ms)
{
    int64_t age_ms = EyFreshness_AgeMs(&self->freshness, now_ms);
    return age_ms >= 0 && age_ms <= EY_FRESHNESS_START_MAX_MS;
}

bool
EyFeed_SetControls(EyFeed_t *self, const EyControlSet_t *controls)
{
    return EyControlSet_Update(&self->controls, self, controls);
}

void
EyFeed_Clear(EyFeed_t *self)
{
    for (uint32_t i = 0; i < EY_PUSH_COMMANDS_MAX; i++) {
        drop_command(self, &self->recent[i]);
    }
    self->first = 0;
    self->last = 0;
}

/** Returns the size of the route tables in the commands of these revisions. */
static uint64_t
documents_bytes(const EyFeed_t *self, uint64_t first, uint64_t last)
{
    uint64_t size_bytes = 0;
    for (uint64_t revision = first; revision <= last; revision++) {
        size_bytes += slot(self, revision)->document.size_bytes;
    }
    return size_bytes;
}

/** Returns true if the commands after a revision are there and are no more
 * than a snapshot, which has only the last route table. */
static bool
sends_commands(const EyFeed_t *self, const EyStore_t *store, uint64_t revision)
{
    uint64_t last = store->config.revision;
    return self->first != 0 && revision + 1 >= self->first &&
           self->last == last &&
           documents_bytes(self, revision + 1, last) <=
               store->routes.size_bytes;
}

/** Returns the approximate size of everything after a revision. */
static uint64_t
missing_bytes(const EyFeed_t *self, const EyStore_t *store, uint64_t revision)
{
    enum { RECORD_BYTES = 256 };
    uint64_t last = store->config.revision;
    if (revision >= last) {
        return 0;
    }
    if (sends_commands(self, store, revision)) {
        return documents_bytes(self, revision + 1, last) +
               (last - revision) * RECORD_BYTES;
    }
    uint64_t records = (uint64_t)store->history_count + store->group_count +
                       store->lease_count;
    return store->routes.size_bytes + records * RECORD_BYTES;
}

/** What a receiver has, as far as the sender knows. */
typedef struct Known {
    uint64_t revision;
    uint64_t controls_index;
    int64_t now_ms;
    int64_t pulled_ms; /* of the pull that is answered; 0: none */
} Known_t;

/** Adds the freshness of the store to a push. */
static void
add_freshness(const EyFeed_t *self, int64_t now_ms, EyConfigMessage_t *push)
{
    if (!self->tells_freshness) {
        return;
    }
    push->confirmation = EyFeed_IsConfirmed(self, now_ms)
                             ? EY_CONFIRMATION_DONE
                             : EY_CONFIRMATION_PENDING;
    push->is_current = self->freshness.as_of_ms > 0;
    if (push->is_current) {
        push->current_age_ms = EyFreshness_AgeMs(&self->freshness, now_ms);
        push->confirmed_term = self->freshness.term;
        (void)EY_COPY(push->confirmed_by, self->freshness.confirmed_by);
    }
}

/** Returns a push without changes. */
static EyConfigMessage_t
make_push(const EyFeed_t *self, const EyStore_t *store, Known_t known)
{
    EyConfigMessage_t push = {
        .kind = EY_CONFIG_PUSH,
        .revision = store->config.revision,
        .awaits_leader = self->awaits_leader,
        .hears_majority = self->hears_majority,
        .pulled_ms = known.pulled_ms,
    };
    add_freshness(self, known.now_ms, &push);
    if (known.controls_index < self->controls.index) {
        push.controls = self->controls;
    }
    return push;
}

/** Adds everything after the receiver's revision; its data is below ctx. */
static void
add_changes(const EyFeed_t *self, const void *ctx, const EyStore_t *store,
            uint64_t revision, EyConfigMessage_t *push)
{
    if (revision >= push->revision) {
        return;
    }
    if (!sends_commands(self, store, revision)) {
        push->snapshot = EyStore_SharedSnapshot(store, ctx);
        return;
    }
    push->first_revision = revision + 1;
    push->command_count = (uint32_t)(push->revision - revision);
    push->commands = EY_NEW_ARRAY(ctx, EyCommand_t, push->command_count);
    for (uint32_t i = 0; i < push->command_count; i++) {
        push->commands[i] = *slot(self, push->first_revision + i);
    }
}

static void
send_push(const EyFeed_t *self, const EyStore_t *store, const char *to,
          Known_t known)
{
    void *ctx = talloc_new(NULL);
    EyConfigMessage_t push = make_push(self, store, known);
    add_changes(self, ctx, store, known.revision, &push);
    self->send(self->data, to, &push);
    talloc_free(ctx);
}

/** Sends everything after a revision if it is small, else announces it.
 * Returns the revision that the receiver has then, if nothing is lost. */
static uint64_t
push_or_announce(const EyFeed_t *self, const EyStore_t *store, const char *to,
                 Known_t known)
{
    uint64_t omitted_bytes = missing_bytes(self, store, known.revision);
    if (omitted_bytes <= EY_PUSH_UNASKED_MAX_BYTES) {
        send_push(self, store, to, known);
        return MAX(store->config.revision, known.revision);
    }
    EyConfigMessage_t push = make_push(self, store, known);
    push.omitted_bytes = omitted_bytes;
    self->send(self->data, to, &push);
    return known.revision;
}

/** True if the subscription lasts and isn't that of except (or NULL). */
static bool
is_receiver(const EyFeedSubscriber_t *subscriber, int64_t now_ms,
            const char *except)
{
    return subscriber->id[0] != '\0' && subscriber->ends_ms > now_ms &&
           (except == NULL || strcmp(subscriber->id, except) != 0);
}

bool
EyFeed_NotifyRestoring(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
                       const char *except, const char *zone)
{
    bool was_notified = strcmp(self->restoring, zone) == 0 &&
                        now_ms - self->restoring_ms < EY_FEED_RESTORING_MS;
    if (was_notified) {
        return false;
    }
    (void)EY_COPY(self->restoring, zone);
    self->restoring_ms = now_ms;
    for (uint32_t i = 0; i < EY_FEED_SUBSCRIBERS_MAX; i++) {
        const EyFeedSubscriber_t *subscriber = &self->subscribers[i];
        if (!is_receiver(subscriber, now_ms, except)) {
            continue;
        }
        const Known_t known = {.controls_index = subscriber->controls_index,
                               .now_ms = now_ms};
        EyConfigMessage_t push = make_push(self, store, known);
        (void)EY_COPY(push.restoring, zone);
        self->send(self->data, subscriber->id, &push);
    }
    return true;
}

void
EyFeed_Push(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
            const char *except)
{
    for (uint32_t i = 0; i < EY_FEED_SUBSCRIBERS_MAX; i++) {
        EyFeedSubscriber_t *subscriber = &self->subscribers[i];
        if (!is_receiver(subscriber, now_ms, except)) {
            continue;
        }
        /* A subscriber that missed a push detects the gap and pulls. */
        Known_t known = {
            .revision = subscriber->revision,
            .controls_index = subscriber->controls_index,
            .now_ms = now_ms,
        };
        subscriber->revision =
            push_or_announce(self, store, subscriber->id, known);
        subscriber->controls_index = self->controls.index;
    }
}

static EyFeedSubscriber_t *
find_subscriber(EyFeed_t *self, const char *id)
{
    for (uint32_t i = 0; i < EY_FEED_SUBSCRIBERS_MAX; i++) {
        if (strcmp(self->subscribers[i].id, id) == 0) {
            return &self->subscribers[i];
        }
    }
    return NULL;
}

/** Returns a place that is free or whose subscription has ended; for a
 * subscriber below in the tree, also that of one which isn't; or NULL. */
static EyFeedSubscriber_t *
find_place(EyFeed_t *self, int64_t now_ms, bool is_below)
{
    EyFeedSubscriber_t *other = NULL;
    for (uint32_t i = 0; i < EY_FEED_SUBSCRIBERS_MAX; i++) {
        EyFeedSubscriber_t *place = &self->subscribers[i];
        if (place->id[0] == '\0' || place->ends_ms <= now_ms) {
            return place;
        }
        if (is_below && !place->is_below) {
            other = place;
        }
    }
    return other;
}

/** Makes or renews the subscription of the sender of a pull, which has a
 * revision then. */
static void
subscribe(EyFeed_t *self, int64_t now_ms, const char *id,
          const EyConfigMessage_t *pull, uint64_t revision)
{
    EyFeedSubscriber_t *place = find_subscriber(self, id);
    bool is_renewed = place != NULL && place->ends_ms > now_ms;
    bool is_below = pull->is_tree_source || (is_renewed && place->is_below);
    if (place == NULL) {
        place = find_place(self, now_ms, is_below);
    }
    if (place == NULL) {
        return;
    }
    (void)EY_COPY(place->id, id);
    place->ends_ms = now_ms + EY_FEED_SUBSCRIPTION_MS;
    place->revision = revision;
    place->controls_index = self->controls.index;
    place->is_below = is_below;
}

void
EyFeed_HandlePull(EyFeed_t *self, const EyStore_t *store, int64_t now_ms,
                  const char *from, const EyConfigMessage_t *pull)
{
    uint64_t current = store->config.revision;
    Known_t known = {
        .revision = pull->revision,
        .controls_index = pull->controls.index,
        .now_ms = now_ms,
        .pulled_ms = pull->pulled_ms,
    };
    if (pull->is_probe) {
        subscribe(self, now_ms, from, pull,
                  push_or_announce(self, store, from, known));
        return;
    }
    subscribe(self, now_ms, from, pull, MAX(current, pull->revision));
    if (!pull->wants_snapshot || pull->revision >= current) {
        send_push(self, store, from, known);
        return;
    }
    void *ctx = talloc_new(NULL);
    EyConfigMessage_t push = make_push(self, store, known);
    push.snapshot = EyStore_SharedSnapshot(store, ctx);
    self->send(self->data, from, &push);
    talloc_free(ctx);
}
