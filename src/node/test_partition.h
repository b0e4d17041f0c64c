/**
 * Simulated partitions for tests: the environment variable
 * EBONYYARD_TEST_CUT_FILE names a file with ids of instances, one per line.
 * Messages from and to an instance are dropped while the file lists it.
 */
#ifndef EY_NODE_TEST_PARTITION_H
#define EY_NODE_TEST_PARTITION_H

#include "core/timers.h"
#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Polls the file if the variable is set; otherwise does nothing. */
void
EyTestPartition_Watch(const void *ctx, EyTimers_t *timers, EyPeers_t *peers);

#ifdef __cplusplus
}
#endif

#endif
