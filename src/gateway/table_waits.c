#include "gateway/table_waits.h"

#include "core/memory.h"

#include <string.h>

struct EyTableWaits {
    GQueue waits; /* of EyTableWait_t, in the order of their arrival */
};

static int
table_waits_destroy(EyTableWaits_t *self)
{
    EyTableWait_t *wait = NULL;
    while ((wait = g_queue_pop_head(&self->waits)) != NULL) {
        talloc_free(wait->request);
        talloc_free(wait);
    }
    return 0;
}

EyTableWaits_t *
EyTableWaits_New(const void *ctx)
{
    EyTableWaits_t *self = EY_NEW(ctx, EyTableWaits_t);
    g_queue_init(&self->waits);
    talloc_set_destructor(self, table_waits_destroy);
    return self;
}

bool
EyTableWaits_Add(EyTableWaits_t *self, int64_t now_ms, EyRequest_t *request,
                 const char *from, uint64_t attempt)
{
    if (EyTableWaits_Count(self) >= EY_TABLE_WAITS_MAX) {
        return false;
    }
    int64_t left_ms = MAX(request->deadline_ms - now_ms, 0);
    int64_t share_ms = (int64_t)((double)left_ms * EY_TABLE_WAIT_SHARE);
    EyTableWait_t *wait = EY_NEW(self, EyTableWait_t);
    wait->request = request;
    (void)EY_COPY(wait->from, from);
    wait->attempt = attempt;
    wait->ends_ms = now_ms + MIN(share_ms, EY_TABLE_WAIT_MAX_MS);
    g_queue_push_tail(&self->waits, wait);
    return true;
}

/** Removes a wait from the queue; the caller takes the request over. */
static EyTableWait_t
remove_wait(EyTableWaits_t *self, GList *at)
{
    EyTableWait_t *wait = at->data;
    EyTableWait_t removed = *wait;
    g_queue_delete_link(&self->waits, at);
    talloc_free(wait);
    return removed;
}

bool
EyTableWaits_Take(EyTableWaits_t *self, int64_t now_ms, uint64_t version,
                  EyTableWait_t *wait)
{
    for (GList *at = self->waits.head; at != NULL; at = at->next) {
        const EyTableWait_t *each = at->data;
        if (each->request->terms.target_version <= version ||
            each->ends_ms <= now_ms) {
            *wait = remove_wait(self, at);
            return true;
        }
    }
    return false;
}

EyRequest_t *
EyTableWaits_Cancel(EyTableWaits_t *self, const char *from, uint64_t attempt)
{
    for (GList *at = self->waits.head; at != NULL; at = at->next) {
        const EyTableWait_t *each = at->data;
        if (each->attempt == attempt && strcmp(each->from, from) == 0) {
            return remove_wait(self, at).request;
        }
    }
    return NULL;
}

int64_t
EyTableWaits_DueMs(const EyTableWaits_t *self)
{
    int64_t due_ms = INT64_MAX;
    for (const GList *at = self->waits.head; at != NULL; at = at->next) {
        const EyTableWait_t *each = at->data;
        due_ms = MIN(due_ms, each->ends_ms);
    }
    return due_ms;
}

uint32_t
EyTableWaits_Count(const EyTableWaits_t *self)
{
    return g_queue_get_length((GQueue *)&self->waits);
}
