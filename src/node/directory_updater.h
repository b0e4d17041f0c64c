/** Keeps the daemon's directory of entry instances up to date. */
#ifndef EY_NODE_DIRECTORY_UPDATER_H
#define EY_NODE_DIRECTORY_UPDATER_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Makes node->directory and renews it from membership, now and then. */
void
EyDirectoryUpdater_Start(EyNode_t *node);

#ifdef __cplusplus
}
#endif

#endif
