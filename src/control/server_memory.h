/**
 * Keeps the list of the region's backend servers on the disk while a control
 * process runs, on a thread of its own, and shows it after a start.
 */
#ifndef EY_CONTROL_SERVER_MEMORY_H
#define EY_CONTROL_SERVER_MEMORY_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyServerMemory EyServerMemory_t;

/** Reads the list of the node's data folder and starts the thread. */
EyServerMemory_t *
EyServerMemory_Start(const void *ctx, EyNode_t *node);

/** A backend server is new, changed or gone. */
void
EyServerMemory_OnBackend(EyServerMemory_t *self, EyRegistryChange_t change);

/** Ends the thread; what was to be written is. */
void
EyServerMemory_Stop(EyServerMemory_t *self);

#ifdef __cplusplus
}
#endif

#endif
