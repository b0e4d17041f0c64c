/**
 * A limit on the memory that a process uses for one purpose, over all threads.
 * A share of it belongs to a talloc object and is given back with it. A budget
 * may be a part of another one: what is taken of it is taken of both.
 */
#ifndef EY_CORE_MEMORY_BUDGET_H
#define EY_CORE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyMemoryBudget {
    uint64_t limit_bytes;
    uint64_t used_bytes;           /* atomic */
    struct EyMemoryBudget *parent; /* must outlive it; NULL: none */
} EyMemoryBudget_t;

typedef struct EyMemoryShare EyMemoryShare_t;

/** Buffers up to this size aren't counted by EyMemoryBudget_Cover, so that
 * every user of a budget makes progress even when it is exhausted. */
#define EY_MEMORY_BUDGET_UNCOUNTED_BYTES 8192

/** Takes size_bytes for a talloc object; NULL if there is no room. The budget
 * must outlive ctx. */
EyMemoryShare_t *
EyMemoryBudget_Take(EyMemoryBudget_t *self, const void *ctx,
                    uint64_t size_bytes);

/** Makes the share at least size_bytes large; false, and unchanged, if there
 * is no room. */
bool
EyMemoryShare_Reserve(EyMemoryShare_t *self, uint64_t size_bytes);

/** Has *share, made below ctx if it is NULL, cover a buffer for size_bytes
 * whose sizes double as it grows. True without a share if the buffer is small
 * or there is no budget (self is NULL); false if there is no room. */
bool
EyMemoryBudget_Cover(EyMemoryBudget_t *self, const void *ctx,
                     EyMemoryShare_t **share, uint64_t size_bytes);

/** True if less than half of the budget, or of one that it is a part of, is
 * left. */
bool
EyMemoryBudget_IsScarce(const EyMemoryBudget_t *self);

uint64_t
EyMemoryBudget_UsedBytes(const EyMemoryBudget_t *self);

#ifdef __cplusplus
}
#endif

#endif
