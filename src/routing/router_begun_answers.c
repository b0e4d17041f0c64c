/* Running answers. One that runs for EY_CRASH_SURVIVAL_MS clears its request
 * of crashes that came sooner after a head. */
#include "routing/router_internal.h"

typedef struct BegunAnswer {
    uint64_t number;
    int64_t begun_ms;
} BegunAnswer_t;

void
ey_router_open_begun_answers(EyRouter_t *self)
{
    g_queue_init(&self->begun_answers);
}

void
ey_router_close_begun_answers(EyRouter_t *self)
{
    g_queue_clear_full(&self->begun_answers, g_free);
}

void
ey_router_watch_begun_answer(EyRouter_t *self, int64_t now_ms,
                             const EyTrackedRequest_t *tracked)
{
    BegunAnswer_t *begun = g_new0(BegunAnswer_t, 1);
    *begun = (BegunAnswer_t){.number = tracked->in_flight.number,
                             .begun_ms = now_ms};
    g_queue_push_tail(&self->begun_answers, begun);
}

/** The request whose answer it is, or NULL: it has ended. */
static EyTrackedRequest_t *
find_begun(const EyRouter_t *self, const BegunAnswer_t *begun)
{
    EyTrackedRequest_t *tracked =
        g_hash_table_lookup(self->tracked, &begun->number);
    bool is_same = tracked != NULL && tracked->has_begun &&
                   tracked->begun_ms == begun->begun_ms;
    return is_same ? tracked : NULL;
}

void
ey_router_restart_begun_answers(EyRouter_t *self, int64_t now_ms)
{
    for (GList *link = self->begun_answers.head; link != NULL;
         link = link->next) {
        BegunAnswer_t *begun = link->data;
        EyTrackedRequest_t *tracked = find_begun(self, begun);
        if (tracked != NULL) {
            tracked->begun_ms = now_ms;
        }
        begun->begun_ms = now_ms;
    }
}

void
ey_router_check_begun_answers(EyRouter_t *self, int64_t now_ms)
{
    const BegunAnswer_t *first = g_queue_peek_head(&self->begun_answers);
    while (first != NULL && now_ms - first->begun_ms >= EY_CRASH_SURVIVAL_MS) {
        const EyTrackedRequest_t *tracked = find_begun(self, first);
        if (tracked != NULL) {
            EyCrashSuspects_Survive(self->suspects, now_ms, tracked->request);
        }
        g_free(g_queue_pop_head(&self->begun_answers));
        first = g_queue_peek_head(&self->begun_answers);
    }
}
