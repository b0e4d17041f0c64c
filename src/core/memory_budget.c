#include "core/memory_budget.h"

#include "core/memory.h"

struct EyMemoryShare {
    EyMemoryBudget_t *budget;
    uint64_t size_bytes;
};

/** Gives bytes back to the budget and to those above it, up to but without
 * end. */
static void
give_back(EyMemoryBudget_t *budget, const EyMemoryBudget_t *end,
          uint64_t size_bytes)
{
    for (; budget != end; budget = budget->parent) {
        (void)__atomic_sub_fetch(&budget->used_bytes, size_bytes,
                                 __ATOMIC_RELAXED);
    }
}

static bool
take(EyMemoryBudget_t *budget, uint64_t size_bytes)
{
    for (EyMemoryBudget_t *at = budget; at != NULL; at = at->parent) {
        uint64_t used_bytes =
            __atomic_add_fetch(&at->used_bytes, size_bytes, __ATOMIC_RELAXED);
        if (used_bytes > at->limit_bytes) {
            give_back(budget, at->parent, size_bytes);
            return false;
        }
    }
    return true;
}

static int
destroy(EyMemoryShare_t *self)
{
    give_back(self->budget, NULL, self->size_bytes);
    return 0;
}

EyMemoryShare_t *
EyMemoryBudget_Take(EyMemoryBudget_t *self, const void *ctx,
                    uint64_t size_bytes)
{
    if (!take(self, size_bytes)) {
        return NULL;
    }
    EyMemoryShare_t *share = EY_NEW(ctx, EyMemoryShare_t);
    share->budget = self;
    share->size_bytes = size_bytes;
    talloc_set_destructor(share, destroy);
    return share;
}

bool
EyMemoryShare_Reserve(EyMemoryShare_t *self, uint64_t size_bytes)
{
    if (size_bytes <= self->size_bytes) {
        return true;
    }
    if (!take(self->budget, size_bytes - self->size_bytes)) {
        return false;
    }
    self->size_bytes = size_bytes;
    return true;
}

bool
EyMemoryBudget_Cover(EyMemoryBudget_t *self, const void *ctx,
                     EyMemoryShare_t **share, uint64_t size_bytes)
{
    if (self == NULL || size_bytes <= EY_MEMORY_BUDGET_UNCOUNTED_BYTES) {
        return true;
    }
    uint64_t buffer_bytes = EY_MEMORY_BUDGET_UNCOUNTED_BYTES;
    while (buffer_bytes < size_bytes) {
        buffer_bytes *= 2;
    }
    if (*share == NULL) {
        *share = EyMemoryBudget_Take(self, ctx, buffer_bytes);
        return *share != NULL;
    }
    return EyMemoryShare_Reserve(*share, buffer_bytes);
}

bool
EyMemoryBudget_IsScarce(const EyMemoryBudget_t *self)
{
    for (; self != NULL; self = self->parent) {
        if (EyMemoryBudget_UsedBytes(self) > self->limit_bytes / 2) {
            return true;
        }
    }
    return false;
}

uint64_t
EyMemoryBudget_UsedBytes(const EyMemoryBudget_t *self)
{
    return __atomic_load_n(&self->used_bytes, __ATOMIC_RELAXED);
}
