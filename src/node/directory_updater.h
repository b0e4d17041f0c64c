/** Keeps the daemon's directory of gateways up to date. */
#ifndef EY_NODE_DIRECTORY_UPDATER_H
#define EY_NODE_DIRECTORY_UPDATER_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Creates node->directory and updates it from membership periodically. */
void
EyDirectoryUpdater_Start(EyNode_t *node);

#ifdef __cplusplus
}
#endif

#endif
