/**
 * Remembers for the gateways which version of a server's software began which
 * stream: gateways have no disk, and all of them may be killed at once.
 */
#ifndef EY_CONTROL_STREAM_KEEPER_H
#define EY_CONTROL_STREAM_KEEPER_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyStreamKeeper EyStreamKeeper_t;

EyStreamKeeper_t *
EyStreamKeeper_New(const void *ctx, EyNode_t *node);

/** Handles a message of kind EY_PEER_STREAM. */
void
EyStreamKeeper_Receive(EyStreamKeeper_t *self, const EyPeerMessage_t *message);

/** The number of streams that are remembered. */
uint32_t
EyStreamKeeper_Count(const EyStreamKeeper_t *self);

#ifdef __cplusplus
}
#endif

#endif
