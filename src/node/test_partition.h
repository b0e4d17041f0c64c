/**
 * A setting for tests of partitions: the environment variable
 * EBONYYARD_TEST_CUT_FILE names a file with the ids of instances, one a line,
 * whose messages are dropped while they stand there.
 */
#ifndef EY_NODE_TEST_PARTITION_H
#define EY_NODE_TEST_PARTITION_H

#include "core/timers.h"
#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Watches the file if the variable is set; does nothing otherwise. */
void
EyTestPartition_Watch(const void *ctx, EyTimers_t *timers, EyPeers_t *peers);

#ifdef __cplusplus
}
#endif

#endif
