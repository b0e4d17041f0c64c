/**
 * The gateway's side of its region's idempotency records: its claims, and its
 * replica of the records.
 */
#ifndef EY_GATEWAY_RECORDS_H
#define EY_GATEWAY_RECORDS_H

#include "config/store.h"
#include "exchange/answer.h"
#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

struct EyGateway;
struct EyActiveRequest;
typedef struct EyGatewayRecords EyGatewayRecords_t;

/** Creates the claims, the replica and their timer; restores the replica if
 * the instance has a data folder. NULL with an error if its journal can't be
 * used. */
EyGatewayRecords_t *
EyGatewayRecords_Start(struct EyGateway *gateway, GError **error);

/** Ends the storage thread. */
void
EyGatewayRecords_Stop(EyGatewayRecords_t *self);

/** Applies a changed configuration, which may contain a new epoch of the
 * record group. */
void
EyGatewayRecords_Configure(EyGatewayRecords_t *self, const EyStore_t *store);

/** Sets the gateways of the region that are alive, and this one's rank among
 * them. Claims may ask them for the view of the record group. */
void
EyGatewayRecords_SetCandidates(EyGatewayRecords_t *self,
                               const EyName_t *gateways, uint32_t count,
                               uint32_t rank);

void
EyGatewayRecords_Receive(EyGatewayRecords_t *self,
                         const EyPeerMessage_t *message);

/** Claims the idempotency key of an active request. */
void
EyGatewayRecords_Claim(EyGatewayRecords_t *self,
                       struct EyActiveRequest *active);

/** Completes the claim with an answer. */
void
EyGatewayRecords_Complete(EyGatewayRecords_t *self,
                          struct EyActiveRequest *active,
                          const EyAnswer_t *answer);

/** Ends a granted claim whose request was never sent. */
void
EyGatewayRecords_NotSent(EyGatewayRecords_t *self,
                         struct EyActiveRequest *active);

/** Ends a granted claim whose outcome is unknown. */
void
EyGatewayRecords_Unknown(EyGatewayRecords_t *self,
                         struct EyActiveRequest *active);

/** Abandons a claim that has not been granted yet. */
void
EyGatewayRecords_Abandon(EyGatewayRecords_t *self,
                         struct EyActiveRequest *active);

/** The epoch of the region's record group, for issued keys; 0: not known
 * yet. */
uint64_t
EyGatewayRecords_Epoch(const EyGatewayRecords_t *self);

/** The process will end: has the group's next view decided without this
 * instance while it can still hand its records over. */
void
EyGatewayRecords_Leave(EyGatewayRecords_t *self);

/** True if the end of every claim has reached all replicas and the group no
 * longer counts on this instance, or didn't let it go within a bounded time
 * after EyGatewayRecords_Leave. */
bool
EyGatewayRecords_MayEnd(const EyGatewayRecords_t *self);

json_t *
EyGatewayRecords_Dump(const EyGatewayRecords_t *self);

#ifdef __cplusplus
}
#endif

#endif
