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

/** Makes claims and replica, and their timer; restores the replica if the
 * instance has a disk. NULL with an error if its journal can't be used. */
EyGatewayRecords_t *
EyGatewayRecords_Start(struct EyGateway *gateway, GError **error);

/** Ends the journal's thread. */
void
EyGatewayRecords_Stop(EyGatewayRecords_t *self);

/** The configuration changed: the group's epoch may have. */
void
EyGatewayRecords_Configure(EyGatewayRecords_t *self, const EyStore_t *store);

/** The active gateways of the region: one of them may know the group. */
void
EyGatewayRecords_SetCandidates(EyGatewayRecords_t *self,
                               const EyName_t *gateways, uint32_t count);

void
EyGatewayRecords_Receive(EyGatewayRecords_t *self,
                         const EyPeerMessage_t *message);

/** Claims the key of a active exchange. */
void
EyGatewayRecords_Claim(EyGatewayRecords_t *self,
                       struct EyActiveRequest *active);

/** The claimed request completed with an answer. */
void
EyGatewayRecords_Complete(EyGatewayRecords_t *self,
                          struct EyActiveRequest *active,
                          const EyAnswer_t *answer);

/** The claim was granted and nothing was sent. */
void
EyGatewayRecords_NotSent(EyGatewayRecords_t *self,
                         struct EyActiveRequest *active);

/** The claim was granted and what became of it isn't known. */
void
EyGatewayRecords_Unknown(EyGatewayRecords_t *self,
                         struct EyActiveRequest *active);

/** The claim isn't wanted any more and was not granted yet. */
void
EyGatewayRecords_Abandon(EyGatewayRecords_t *self,
                         struct EyActiveRequest *active);

/** The epoch of the region's group, for keys; 0: not known yet. */
uint64_t
EyGatewayRecords_Epoch(const EyGatewayRecords_t *self);

/** Claims whose end isn't on all replicas yet. */
uint32_t
EyGatewayRecords_OpenCount(const EyGatewayRecords_t *self);

json_t *
EyGatewayRecords_Dump(const EyGatewayRecords_t *self);

#ifdef __cplusplus
}
#endif

#endif
