/**
 * Makes a control process a witness of remote regions' record groups: it votes
 * on their views but stores no records.
 */
#ifndef EY_CONTROL_WITNESSES_H
#define EY_CONTROL_WITNESSES_H

#include "config/control_set.h"
#include "config/store.h"
#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of control processes of other regions that are selected to offer
 * themselves as witnesses of a region's group; the group's leader uses as many
 * as it needs. */
#define EY_WITNESSES_OFFERED_PER_REGION 3

typedef struct EyWitnesses EyWitnesses_t;

EyWitnesses_t *
EyWitnesses_New(const void *ctx, EyNode_t *node);

/** Creates witnesses for the groups of the configuration, if this process is
 * among those of the set that are selected, and passes new epochs to existing
 * ones. To be called when either changes, and now and then, as the regions of
 * other control processes get known later. */
void
EyWitnesses_Configure(EyWitnesses_t *self, const EyStore_t *store,
                      const EyControlSet_t *controls);

/** Handles a message of kind EY_PEER_GROUP. */
void
EyWitnesses_Receive(EyWitnesses_t *self, const EyPeerMessage_t *message);

json_t *
EyWitnesses_Dump(const EyWitnesses_t *self);

#ifdef __cplusplus
}
#endif

#endif
