/** Keeps the daemon's directory of entry instances up to date. */
#ifndef EY_NODE_ENTRIES_H
#define EY_NODE_ENTRIES_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Makes node->directory and renews it from membership, now and then. */
void
EyEntries_Watch(EyNode_t *node);

#ifdef __cplusplus
}
#endif

#endif
