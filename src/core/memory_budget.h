/**
 * A limit on the memory that a process uses for one purpose, over all threads.
 * A share of it belongs to a talloc object and is given back with it.
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
    uint64_t used_bytes; /* atomic */
} EyMemoryBudget_t;

typedef struct EyMemoryShare EyMemoryShare_t;

/** Takes size_bytes for a talloc object; NULL if there is no room. The budget
 * must outlive ctx. */
EyMemoryShare_t *
EyMemoryBudget_Take(EyMemoryBudget_t *self, const void *ctx,
                    uint64_t size_bytes);

/** Makes the share at least size_bytes large; false, and unchanged, if there
 * is no room. */
bool
EyMemoryShare_Reserve(EyMemoryShare_t *self, uint64_t size_bytes);

uint64_t
EyMemoryBudget_UsedBytes(const EyMemoryBudget_t *self);

#ifdef __cplusplus
}
#endif

#endif
