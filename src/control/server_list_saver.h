/**
 * Keeps the list of the region's backend servers on the disk while a control
 * process runs, on a thread of its own, and shows it after a start.
 */
#ifndef EY_CONTROL_SERVER_LIST_SAVER_H
#define EY_CONTROL_SERVER_LIST_SAVER_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyServerListSaver EyServerListSaver_t;

/** Reads the list of the node's data folder and starts the thread. */
EyServerListSaver_t *
EyServerListSaver_Start(const void *ctx, EyNode_t *node);

/** A backend server is new, changed or gone. */
void
EyServerListSaver_OnBackend(EyServerListSaver_t *self,
                            EyRegistryChange_t change);

/** Ends the thread; what was to be written is. */
void
EyServerListSaver_Stop(EyServerListSaver_t *self);

#ifdef __cplusplus
}
#endif

#endif
