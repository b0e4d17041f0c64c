/** Graceful shutdown of a daemon: requests are accepted until callers have had
 * time to move to other instances, then refused; the daemon stops when those
 * in flight have ended, or shortly before it is killed. */
#ifndef EY_NODE_SHUTDOWN_H
#define EY_NODE_SHUTDOWN_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Begins the shutdown that a signal asks for; does nothing if it has begun.
 */
void
EyShutdown_Begin(EyNode_t *node, int signal_number);

#ifdef __cplusplus
}
#endif

#endif
