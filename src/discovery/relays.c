#include "discovery/relays.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

const char *const EyRelays_outcome_names[EY_RELAY_OUTCOME_COUNT] = {
    [EY_RELAY_RECORDED] = "recorded",
    [EY_RELAY_UNREACHABLE] = "unreachable",
    [EY_RELAY_UNANSWERED] = "unanswered",
};

/** A region that an announcement was relayed to. */
typedef struct Target {
    EyName_t region;
    uint32_t unanswered; /* instances that got the last message and have sent
                          * no receipt */
} Target_t;

typedef struct Waiting {
    EyRequest_t *request;
    EyAnnouncement_t announcement;
    Target_t *targets;
    uint32_t target_count;
    int64_t repeat_ms;
    int64_t ends_ms;
} Waiting_t;

struct EyRelays {
    EyRelaysHooks_t hooks;
    uint64_t last_number;
    GPtrArray *waiting; /* Waiting_t, oldest first */
};

static int
destroy(EyRelays_t *self)
{
    for (guint i = 0; i < self->waiting->len; i++) {
        Waiting_t *waiting = g_ptr_array_index(self->waiting, i);
        talloc_free(waiting->request);
    }
    g_ptr_array_free(self->waiting, TRUE);
    return 0;
}

EyRelays_t *
EyRelays_New(const void *ctx, uint64_t seed, const EyRelaysHooks_t *hooks)
{
    EyRelays_t *self = EY_NEW(ctx, EyRelays_t);
    self->hooks = *hooks;
    self->last_number = seed << 32;
    self->waiting = g_ptr_array_new();
    talloc_set_destructor(self, destroy);
    return self;
}

static void
finish(EyRelays_t *self, Waiting_t *waiting, EyRelayOutcome_t outcome)
{
    (void)g_ptr_array_remove(self->waiting, waiting);
    EyRequest_t *request = waiting->request;
    talloc_free(waiting);
    self->hooks.decided(self->hooks.data, request, outcome);
}

/** Sends the announcement to the regions that still have to answer; false if
 * no instance there is known. */
static bool
send_all(EyRelays_t *self, Waiting_t *waiting)
{
    bool is_sent = false;
    waiting->announcement.round++;
    for (uint32_t i = 0; i < waiting->target_count; i++) {
        Target_t *target = &waiting->targets[i];
        if (target->unanswered == 0) {
            continue;
        }
        uint32_t sent = self->hooks.send(self->hooks.data, target->region,
                                         &waiting->announcement);
        /* A region without a known instance can't have recorded it. */
        target->unanswered = MAX(sent, 1);
        is_sent = is_sent || sent > 0;
    }
    return is_sent;
}

void
EyRelays_Begin(EyRelays_t *self, int64_t now_ms, EyRequest_t *request,
               const EyAnnouncement_t *announcement,
               const char *const *regions, uint32_t region_count)
{
    Waiting_t *waiting = EY_NEW(self, Waiting_t);
    waiting->request = request;
    waiting->announcement = *announcement;
    waiting->announcement.backend =
        *EyBackend_Copy(waiting, &announcement->backend);
    waiting->announcement.number = ++self->last_number;
    waiting->targets = EY_NEW_ARRAY(waiting, Target_t, region_count);
    waiting->target_count = region_count;
    for (uint32_t i = 0; i < region_count; i++) {
        (void)EY_COPY(waiting->targets[i].region, regions[i]);
        waiting->targets[i].unanswered = 1;
    }
    waiting->repeat_ms = now_ms + EY_RELAY_REPEAT_MS;
    waiting->ends_ms = now_ms + EY_RELAY_TIMEOUT_MS;
    g_ptr_array_add(self->waiting, waiting);
    if (self->waiting->len > EY_RELAYS_WAITING_MAX) {
        finish(self, waiting, EY_RELAY_UNANSWERED);
    }
    else if (!send_all(self, waiting)) {
        finish(self, waiting, EY_RELAY_UNREACHABLE);
    }
}

static Waiting_t *
find(const EyRelays_t *self, uint64_t number)
{
    for (guint i = 0; i < self->waiting->len; i++) {
        Waiting_t *waiting = g_ptr_array_index(self->waiting, i);
        if (waiting->announcement.number == number) {
            return waiting;
        }
    }
    return NULL;
}

/** Counts the receipt of an instance that doesn't know the server; true if all
 * that were asked last have sent one. */
static bool
count_receipt(Waiting_t *waiting, const EyAnnouncement_t *receipt)
{
    bool is_current = receipt->round == waiting->announcement.round;
    uint32_t unanswered = 0;
    for (uint32_t i = 0; i < waiting->target_count; i++) {
        Target_t *target = &waiting->targets[i];
        bool is_from_it = strcmp(target->region, receipt->backend.region) == 0;
        if (is_current && is_from_it && target->unanswered > 0) {
            target->unanswered--;
        }
        unanswered += target->unanswered;
    }
    return unanswered == 0;
}

void
EyRelays_Receive(EyRelays_t *self, int64_t now_ms,
                 const EyAnnouncement_t *receipt)
{
    (void)now_ms;
    Waiting_t *waiting = find(self, receipt->number);
    if (waiting == NULL) {
        return;
    }
    if (receipt->is_known || count_receipt(waiting, receipt)) {
        finish(self, waiting, EY_RELAY_RECORDED);
    }
}

void
EyRelays_Tick(EyRelays_t *self, int64_t now_ms)
{
    for (guint i = self->waiting->len; i > 0; i--) {
        Waiting_t *waiting = g_ptr_array_index(self->waiting, i - 1);
        if (now_ms >= waiting->ends_ms) {
            finish(self, waiting, EY_RELAY_UNANSWERED);
        }
        else if (now_ms >= waiting->repeat_ms) {
            waiting->repeat_ms = now_ms + EY_RELAY_REPEAT_MS;
            (void)send_all(self, waiting);
        }
    }
}

int64_t
EyRelays_DueMs(const EyRelays_t *self)
{
    int64_t due_ms = INT64_MAX;
    for (guint i = 0; i < self->waiting->len; i++) {
        const Waiting_t *waiting = g_ptr_array_index(self->waiting, i);
        due_ms = MIN(due_ms, MIN(waiting->repeat_ms, waiting->ends_ms));
    }
    return due_ms;
}
