/**
 * A control process as witness of other regions' record groups: it votes on
 * their views and holds no records.
 */
#ifndef EY_CONTROL_WITNESSES_H
#define EY_CONTROL_WITNESSES_H

#include "config/store.h"
#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Control processes that offer themselves as a region's witnesses. One of
 * them may be the region's own, which does not; the group's leader takes as
 * many as it wants. */
#define EY_WITNESSES_OFFERED_PER_REGION 3

typedef struct EyWitnesses EyWitnesses_t;

EyWitnesses_t *
EyWitnesses_New(const void *ctx, EyNode_t *node);

/** The configuration changed: groups may be new or of another epoch. */
void
EyWitnesses_Configure(EyWitnesses_t *self, const EyStore_t *store);

/** A message of kind EY_PEER_GROUP. */
void
EyWitnesses_Receive(EyWitnesses_t *self, const EyPeerMessage_t *message);

json_t *
EyWitnesses_Dump(const EyWitnesses_t *self);

#ifdef __cplusplus
}
#endif

#endif
