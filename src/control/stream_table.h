/**
 * The streams that gateways have begun, with the version of the server
 * software that began each. Control processes keep them for the gateways, all
 * of which may be killed at the same time.
 */
#ifndef EY_CONTROL_STREAM_TABLE_H
#define EY_CONTROL_STREAM_TABLE_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyStreamTable EyStreamTable_t;

EyStreamTable_t *
EyStreamTable_New(const void *ctx, EyNode_t *node);

/** Handles a message of kind EY_PEER_STREAM. */
void
EyStreamTable_Receive(EyStreamTable_t *self, const EyPeerMessage_t *message);

/** The number of streams that are remembered. */
uint32_t
EyStreamTable_Count(const EyStreamTable_t *self);

#ifdef __cplusplus
}
#endif

#endif
