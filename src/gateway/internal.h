/** What the files of the gateway share; not for others. */
#ifndef EY_GATEWAY_INTERNAL_H
#define EY_GATEWAY_INTERNAL_H

#include "backends/backend.h"
#include "backends/outbound.h"
#include "callers/server.h"
#include "config/config_replica.h"
#include "config/proposer.h"
#include "core/counters.h"
#include "core/mailbox.h"
#include "core/random.h"
#include "core/timers.h"
#include "exchange/exchange.h"
#include "gateway/forward_message.h"
#include "gateway/gateway.h"
#include "gateway/records.h"
#include "gateway/residency_policy.h"
#include "instances/peers.h"
#include "routing/router.h"

/** Answer buffers: what one slow caller can make the gateway hold. */
#define EY_GATEWAY_STREAM_BYTES (256 * 1024)
/** Most requests in flight; more are refused. */
#define EY_GATEWAY_IN_FLIGHT_MAX 8192

typedef enum EyGatewayMetric {
    EY_GATEWAY_REQUESTS,
    EY_GATEWAY_COMPLETED,
    EY_GATEWAY_NOT_RUN,
    EY_GATEWAY_UNKNOWN,
    EY_GATEWAY_RETRIES,
    EY_GATEWAY_FORWARDED,
    EY_GATEWAY_FORWARDED_BYTES,
    EY_GATEWAY_LATENCY,
    EY_GATEWAY_METRIC_COUNT
} EyGatewayMetric_t;

extern EyMetric_t EyGateway_metrics[EY_GATEWAY_METRIC_COUNT];

struct EyGateway;
struct EyActiveRequest;

/** Where an exchange's answer goes: to a caller or to another instance. */
typedef struct EyResponderClass {
    void (*answer)(struct EyGateway *gateway, struct EyActiveRequest *active,
                   EyAnswer_t *answer);
} EyResponderClass_t;

/** An exchange while it lasts. */
typedef struct EyActiveRequest {
    struct EyGateway *gateway;
    EyExchange_t *exchange;
    const EyResponderClass_t *responder;
    EyStream_t *stream; /* of a streamed answer */
    EyTimer_t *deadline;
    EyTimer_t
        *first_byte_timer;     /* until the present attempt's answer begins */
    bool first_byte_timed_out; /* the present attempt was ended for that */
    EyAddress_t cache_source;  /* of the attempt in hand, or "" */
    double expected_ms;        /* until the answer begins, when it was sent */
    EyName_t origin_id;        /* for another instance: its id */
    uint64_t origin_attempt;   /* and the number that it gave */
    EyName_t remote_id;        /* the instance that it was sent to, or empty */
    uint32_t remote_sequence;
    uint32_t remote_received_bytes;
    uint32_t remote_credited_bytes;
    int64_t remote_credited_ms; /* when more was last asked for */
    EyName_t *allowed_regions;  /* where its data may be processed */
    uint32_t allowed_region_count;
    bool is_routed; /* the router counts it as in flight */
    bool tried_remote;
} EyActiveRequest_t;

typedef struct EyGateway {
    EyNode_t *node;
    EyOutbound_t *outbound;
    EyMailbox_t *attempt_events;
    GHashTable *active_requests; /* request number -> EyActiveRequest_t */
    GHashTable *attempts;        /* attempt number -> EyActiveRequest_t */
    uint64_t next_attempt;
    const EyHeaderNames_t *names; /* towards callers and backend servers */
    EyConfigReplica_t *configuration;
    EyProposer_t *proposer;
    uint64_t last_proposal;
    GHashTable *proposals; /* number -> EyRequest_t of an operator */
    EyGatewayRecords_t *records;
    EyRouter_t *router;
    GArray *pending_decisions; /* of EyRoutingDecision_t */
    EyTimer_t *router_wakeup;
    EyTimer_t *router_tick;
    bool router_tick_is_short; /* the tick in hand is a short one */
    EyTimer_t *members_timer;
    EyTimer_t *credit_timer; /* NULL: no answer comes from another region */
    EyTimer_t *relay_timer;  /* NULL: none is passed on to one */
    EyResidencyPolicy_t *residency_policy;
    GHashTable *relays;         /* request number -> pump, see forwarded.c */
    EyMailbox_t *relay_wakeups; /* streams that have something to read */
    uint64_t last_forwarded_number;
    int64_t
        engine_update_sent_ms; /* when the region last got a word of news */
    uint32_t engine_update_receiver_count; /* gateways that got it */
    bool engine_update_had_engines;        /* it named engines */
} EyGateway_t;

/** Starts the life of a request that came by HTTP. */
void
EyGateway_Accept(EyGateway_t *self, EyRequest_t *request);

/** Makes an exchange's life; takes the request over. It doesn't start yet. */
EyActiveRequest_t *
EyActiveRequest_New(EyGateway_t *gateway, EyRequest_t *request,
                    bool may_repeat, bool needs_claim,
                    const EyResponderClass_t *responder);

/** Gives an event to an exchange and carries out what follows. The exchange
 * may have ended afterwards. */
void
EyActiveRequest_Step(EyActiveRequest_t *self, EyExchangeEvent_t *event);

/** Takes an event of an attempt. */
void
EyGateway_OnAttemptEvent(EyGateway_t *self, EyAttemptEvent_t *from);

/** The caller of a request hung up. */
void
EyGateway_OnCallerDisconnected(EyGateway_t *self, uint64_t number);

/** Makes the copy of the configuration and its timer. */
void
EyGateway_OpenConfiguration(EyGateway_t *self);

/** Tells the copy of the configuration whom it may pull from, and the
 * proposals to whom they go. */
void
EyGateway_SetSources(EyGateway_t *self, const EyName_t *gateways,
                     uint32_t gateway_count, const EyName_t *controls,
                     uint32_t control_count);

/** False while the region's configuration isn't known since the start. */
bool
EyGateway_IsConfigured(const EyGateway_t *self);

/** The configuration in force. */
const EyConfig_t *
EyGateway_Config(const EyGateway_t *self);

/** Proposes a command of the system's own, which is given a change id; who
 * needs it repeats it until it is in force. */
void
EyGateway_Propose(EyGateway_t *self, EyCommand_t *command);

/** Handles an operator's request. */
void
EyGateway_HandleOperatorRequest(EyGateway_t *self, EyRequest_t *request);

void
EyGateway_ReceiveConfig(EyGateway_t *self, const EyPeerMessage_t *message);

/** What the gateway takes from and gives to the cluster, each second. */
void
EyGateway_OpenClusterUpdates(EyGateway_t *self);

/** Starts to tell other gateways of model engines. */
void
EyGateway_OpenEngineUpdates(EyGateway_t *self);

/** Takes a message of kind EY_PEER_NEWS. */
void
EyGateway_ReceiveEngineUpdate(EyGateway_t *self,
                              const EyPeerMessage_t *message);

/** Which zones are evacuated may have changed. */
void
EyGateway_RefreshBackends(EyGateway_t *self);

/** An instance of the region is new or changed. */
void
EyGateway_OnMember(EyGateway_t *self);

/** A backend server is new, changed or gone. */
void
EyGateway_OnBackend(EyGateway_t *self, EyRegistryChange_t change,
                    const EyBackend_t *backend);

/** A gateway of a region to send a request to; NULL: none is known. */
const char *
EyGateway_FindRemoteGateway(EyGateway_t *self, const char *region);

/** Makes the router and its timer. */
void
EyGateway_OpenRouter(EyGateway_t *self);

/** The configuration changed. */
void
EyGateway_ConfigureRouter(EyGateway_t *self);

void
EyGateway_CloseRouter(EyGateway_t *self);

/** Sends a request to another region as an attempt. */
void
EyGateway_ForwardRequest(EyActiveRequest_t *active,
                         const EyExchangeAction_t *action);

/** Ends an attempt in another region. */
void
EyGateway_CancelForward(EyActiveRequest_t *active, uint64_t attempt);

/** Finds the route of a routed call and puts its terms into the request;
 * an answer refuses it. */
EyAnswer_t *
EyGateway_ApplyRoute(EyGateway_t *self, EyRequest_t *request);

/** Looks at a request's head before its body is read; any thread. */
EyAnswer_t *
EyGateway_CheckHead(void *part, const EyRequest_t *request);

/** Makes what answers to other regions need. */
void
EyGateway_OpenForwardServer(EyGateway_t *self);

void
EyGateway_CloseForwardServer(EyGateway_t *self);

/** Takes a message of kind EY_PEER_FORWARD. */
void
EyGateway_ReceiveForward(EyGateway_t *self, const EyPeerMessage_t *message);

/** A message about a request from another region, to the instance that sent
 * it. */
void
EyGateway_ServeForwardMessage(EyGateway_t *self, const char *from,
                              EyForwardMessage_t *forward);

/** Starts the life of a request from another region. */
void
EyGateway_AcceptForwarded(EyGateway_t *self, EyRequest_t *request,
                          const EyResponderClass_t *responder,
                          const char *from, uint64_t attempt);

/** Fails a active exchange's attempt of which nothing was sent. */
void
EyActiveRequest_FailUnsent(EyActiveRequest_t *self, uint64_t attempt);

/** Remembers which exchange an attempt belongs to. */
void
EyActiveRequest_AddAttempt(EyActiveRequest_t *self, uint64_t attempt);

/** Asks the router where the request goes. */
void
EyGateway_Route(EyActiveRequest_t *active);

/** Withdraws the request from the router. */
void
EyGateway_Unroute(EyActiveRequest_t *active);

/** Tells the router how an attempt ended. */
void
EyGateway_RouteFinished(EyActiveRequest_t *active,
                        const EyRoutingResult_t *result);

/** Has the router decide what waits, soon. */
void
EyGateway_WakeRouter(EyGateway_t *self);

/** Answers a request that this instance answers itself; false if it isn't
 * the gateway's. */
bool
EyGateway_AnswerLocally(EyGateway_t *self, EyRequest_t *request);

/** The state of the exchanges. */
json_t *
EyGateway_DumpActiveRequests(const EyGateway_t *self);

#endif
