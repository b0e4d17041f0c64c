#include "routing/admission_queue.h"

#include "core/memory.h"

static int
destroy_queue(EyAdmissionQueue_t *self)
{
    g_sequence_free(self->waiting);
    return 0;
}

EyAdmissionQueue_t *
EyAdmissionQueue_New(const void *ctx)
{
    EyAdmissionQueue_t *self = EY_NEW(ctx, EyAdmissionQueue_t);
    self->waiting = g_sequence_new(EyMemory_Free);
    talloc_set_destructor(self, destroy_queue);
    return self;
}

uint32_t
EyAdmissionQueue_Length(const EyAdmissionQueue_t *self)
{
    return (uint32_t)g_sequence_get_length(self->waiting);
}

static gint
compare_deadlines(gconstpointer one, gconstpointer other, gpointer data)
{
    (void)data;
    const EyRoutingRequest_t *first =
        ((const EyQueuedRequest_t *)one)->request;
    const EyRoutingRequest_t *second =
        ((const EyQueuedRequest_t *)other)->request;
    if (first->deadline_ms != second->deadline_ms) {
        return first->deadline_ms < second->deadline_ms ? -1 : 1;
    }
    if (first->number != second->number) {
        return first->number < second->number ? -1 : 1;
    }
    return 0;
}

static gint
compare_keys(gconstpointer one, gconstpointer other, gpointer data)
{
    (void)data;
    return EyQueueKey_Compare(&((const EyQueuedRequest_t *)one)->key,
                              &((const EyQueuedRequest_t *)other)->key);
}

GSequenceIter *
EyAdmissionQueue_Add(EyAdmissionQueue_t *self,
                     const EyRoutingRequest_t *request, double work,
                     double run_ms)
{
    EyQueuedRequest_t *waiting = EY_NEW(NULL, EyQueuedRequest_t);
    waiting->request = EyRoutingRequest_Copy(waiting, request);
    waiting->work = work;
    waiting->run_ms = run_ms;
    self->work += work;
    waiting->key = EyQueueKey_Make(waiting->request, &self->state, run_ms, 0);
    return g_sequence_insert_sorted(
        self->waiting, waiting,
        self->is_ordered ? compare_keys : compare_deadlines, NULL);
}

void
EyAdmissionQueue_Order(EyAdmissionQueue_t *self, const EyQueueState_t *state)
{
    self->state = *state;
    self->is_ordered = true;
    GSequenceIter *each = g_sequence_get_begin_iter(self->waiting);
    for (; !g_sequence_iter_is_end(each); each = g_sequence_iter_next(each)) {
        EyQueuedRequest_t *waiting = g_sequence_get(each);
        waiting->key = EyQueueKey_Make(waiting->request, state,
                                       waiting->run_ms, waiting->passed);
    }
    g_sequence_sort(self->waiting, compare_keys, NULL);
}

void
EyAdmissionQueue_OrderByDeadline(EyAdmissionQueue_t *self)
{
    if (self->is_ordered) {
        self->is_ordered = false;
        g_sequence_sort(self->waiting, compare_deadlines, NULL);
    }
}

double
EyAdmissionQueue_WorkBefore(const EyAdmissionQueue_t *self,
                            const EyQueueKey_t *key)
{
    double work = 0.0;
    GSequenceIter *each = g_sequence_get_begin_iter(self->waiting);
    for (; !g_sequence_iter_is_end(each); each = g_sequence_iter_next(each)) {
        const EyQueuedRequest_t *waiting = g_sequence_get(each);
        if (EyQueueKey_Compare(&waiting->key, key) > 0) {
            break;
        }
        work += waiting->work;
    }
    return work;
}

void
EyAdmissionQueue_NotePassed(EyAdmissionQueue_t *self,
                            const EyRoutingRequest_t *sent)
{
    GSequenceIter *each = g_sequence_get_begin_iter(self->waiting);
    for (; !g_sequence_iter_is_end(each); each = g_sequence_iter_next(each)) {
        EyQueuedRequest_t *waiting = g_sequence_get(each);
        const EyRoutingRequest_t *request = waiting->request;
        bool is_passed = request->arrived_ms < sent->arrived_ms &&
                         request->priority == sent->priority;
        if (is_passed && waiting->work >= self->state.large_work) {
            waiting->passed++;
        }
    }
}

void
EyAdmissionQueue_Remove(EyAdmissionQueue_t *self, GSequenceIter *position)
{
    const EyQueuedRequest_t *waiting = g_sequence_get(position);
    self->work -= waiting->work;
    g_sequence_remove(position);
    if (g_sequence_is_empty(self->waiting)) {
        self->work = 0.0; /* prevents rounding errors from accumulating */
    }
}

const EyQueuedRequest_t *
EyAdmissionQueue_First(const EyAdmissionQueue_t *self)
{
    GSequenceIter *first = g_sequence_get_begin_iter(self->waiting);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

double
EyAdmissionQueue_WorkAhead(const EyAdmissionQueue_t *self, int64_t deadline_ms)
{
    double work = 0.0;
    GSequenceIter *each = g_sequence_get_begin_iter(self->waiting);
    for (; !g_sequence_iter_is_end(each); each = g_sequence_iter_next(each)) {
        const EyQueuedRequest_t *waiting = g_sequence_get(each);
        if (waiting->request->deadline_ms > deadline_ms) {
            break;
        }
        work += waiting->work;
    }
    return work;
}

bool
EyAdmissionQueue_MayInsert(const EyAdmissionQueue_t *self, int64_t now_ms,
                           int64_t deadline_ms, double work,
                           double work_per_ms)
{
    double ahead = 0.0;
    GSequenceIter *each = g_sequence_get_begin_iter(self->waiting);
    for (; !g_sequence_iter_is_end(each); each = g_sequence_iter_next(each)) {
        const EyQueuedRequest_t *waiting = g_sequence_get(each);
        ahead += waiting->work;
        if (waiting->request->deadline_ms <= deadline_ms) {
            continue;
        }
        double left_ms =
            (double)(waiting->request->deadline_ms - now_ms) - waiting->run_ms;
        bool meets_before = ahead / work_per_ms <= left_ms;
        bool meets_after = (ahead + work) / work_per_ms <= left_ms;
        if (meets_before && !meets_after) {
            return false;
        }
    }
    return true;
}
