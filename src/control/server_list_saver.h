/**
 * Saves the list of the region's backend servers to disk while a control
 * process runs, on a thread of its own, and restores it after a start.
 */
#ifndef EY_CONTROL_SERVER_LIST_SAVER_H
#define EY_CONTROL_SERVER_LIST_SAVER_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyServerListSaver EyServerListSaver_t;

/** Reads the list from the node's data folder and starts the thread; the list
 * is restored as soon as the event loop runs. */
EyServerListSaver_t *
EyServerListSaver_Start(const void *ctx, EyNode_t *node);

/** A backend server was added, changed or removed; schedules a write unless
 * only its load changed. */
void
EyServerListSaver_OnBackend(EyServerListSaver_t *self,
                            EyRegistryChange_t change);

/** Ends the thread after the writes that were already posted to it. */
void
EyServerListSaver_Stop(EyServerListSaver_t *self);

#ifdef __cplusplus
}
#endif

#endif
