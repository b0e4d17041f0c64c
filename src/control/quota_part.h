/** The quota coordinator in a control process: answers the reports of
 * gateways. */
#ifndef EY_CONTROL_QUOTA_PART_H
#define EY_CONTROL_QUOTA_PART_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyQuotaPart EyQuotaPart_t;

EyQuotaPart_t *
EyQuotaPart_New(const void *ctx, EyNode_t *node);

/** Applies the limits of the node's route table. */
void
EyQuotaPart_Configure(EyQuotaPart_t *self);

/** Handles a message of kind EY_PEER_QUOTA. */
void
EyQuotaPart_Receive(EyQuotaPart_t *self, const EyPeerMessage_t *message);

/** The accounts; the caller owns the reference. */
json_t *
EyQuotaPart_Dump(const EyQuotaPart_t *self);

#ifdef __cplusplus
}
#endif

#endif
