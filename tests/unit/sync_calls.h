/** Stands in for the syncs of the C library in the unit tests: passes them on
 * to the kernel, counts them and lets them fail. */
#ifndef EY_TESTS_UNIT_SYNC_CALLS_H
#define EY_TESTS_UNIT_SYNC_CALLS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct SyncCalls {
    uint32_t file_count;
    uint32_t folder_count;
    bool file_fails; /* with EIO, as folder_fails */
    bool folder_fails;
} SyncCalls_t;

/** The calls of this process; a test resets what it sets. */
extern SyncCalls_t Sync_calls;

#endif
