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
#include "gateway/forward.h"
#include "gateway/gateway.h"
#include "gateway/policy_board.h"
#include "gateway/records.h"
#include "instances/peers.h"
#include "routing/router.h"

/** Answer buffers: what one slow caller can make the gateway hold. */
#define EY_GATEWAY_STREAM_BYTES (256 * 1024)
/** Most requests in flight; more are refused. */
#define EY_GATEWAY_LIVES_MAX 8192

typedef enum EyGatewayMetric {
    EY_GATEWAY_REQUESTS,
    EY_GATEWAY_COMPLETED,
    EY_GATEWAY_NOT_RUN,
    EY_GATEWAY_UNKNOWN,
    EY_GATEWAY_RETRIES,
    EY_GATEWAY_SENT_AWAY,
    EY_GATEWAY_SENT_AWAY_BYTES,
    EY_GATEWAY_LATENCY,
    EY_GATEWAY_METRIC_COUNT
} EyGatewayMetric_t;

extern EyMetric_t EyGateway_metrics[EY_GATEWAY_METRIC_COUNT];

struct EyGateway;
struct EyLive;

/** Where an exchange's answer goes: to a caller or to another instance. */
typedef struct EySinkClass {
    void (*answer)(struct EyGateway *gateway, struct EyLive *live,
                   EyAnswer_t *answer);
} EySinkClass_t;

/** An exchange while it lasts. */
typedef struct EyLive {
    struct EyGateway *gateway;
    EyExchange_t *exchange;
    const EySinkClass_t *sink;
    EyStream_t *stream; /* of a streamed answer */
    EyTimer_t *deadline;
    EyTimer_t *patience;      /* until the present attempt's answer begins */
    bool is_impatient;        /* the present attempt was ended for that */
    EyAddress_t cache_source; /* of the attempt in hand, or "" */
    double expected_ms;       /* until the answer begins, when it was sent */
    EyName_t sink_id;         /* for another instance: its id */
    uint64_t sink_attempt;    /* and the number that it gave */
    EyName_t away_id;         /* the instance that it was sent to, or empty */
    uint32_t away_sequence;
    uint32_t away_received_bytes;
    uint32_t away_credited_bytes;
    int64_t away_credited_ms;  /* when more was last asked for */
    EyName_t *allowed_regions; /* where its data may be processed */
    uint32_t allowed_region_count;
    bool is_routed; /* the router counts it as in flight */
    bool was_away;
} EyLive_t;

typedef struct EyGateway {
    EyNode_t *node;
    EyOutbound_t *outbound;
    EyMailbox_t *attempt_events;
    GHashTable *lives;    /* request number -> EyLive_t */
    GHashTable *attempts; /* attempt number -> EyLive_t */
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
    bool router_ticks_often; /* the tick in hand is a short one */
    EyTimer_t *members_wakeup;
    EyTimer_t *credit_wakeup; /* NULL: no answer comes from another region */
    EyTimer_t *pump_wakeup;   /* NULL: none is passed on to one */
    EyPolicyBoard_t *policy;
    GHashTable *pumps;       /* request number -> pump, see forwarded.c */
    EyMailbox_t *pump_wakes; /* streams that have something to read */
    uint64_t last_forwarded;
    int64_t news_told_ms;   /* when the region last got a word of news */
    uint32_t news_audience; /* gateways that got it */
    bool news_had_engines;  /* it named engines */
} EyGateway_t;

/** Starts the life of a request that came by HTTP. */
void
EyGateway_Accept(EyGateway_t *self, EyRequest_t *request);

/** Makes an exchange's life; takes the request over. It doesn't start yet. */
EyLive_t *
EyLive_New(EyGateway_t *gateway, EyRequest_t *request, bool may_repeat,
           bool needs_claim, const EySinkClass_t *sink);

/** Gives an event to an exchange and carries out what follows. The exchange
 * may have ended afterwards. */
void
EyLive_Step(EyLive_t *self, EyExchangeEvent_t *event);

/** Takes an event of an attempt. */
void
EyGateway_OnAttempt(EyGateway_t *self, EyAttemptEvent_t *from);

/** The caller of a request hung up. */
void
EyGateway_OnGone(EyGateway_t *self, uint64_t number);

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
EyGateway_Operate(EyGateway_t *self, EyRequest_t *request);

void
EyGateway_ReceiveConfig(EyGateway_t *self, const EyPeerMessage_t *message);

/** What the gateway takes from and gives to the cluster, each second. */
void
EyGateway_OpenNeighbours(EyGateway_t *self);

/** Starts to tell other gateways of model engines. */
void
EyGateway_OpenNews(EyGateway_t *self);

/** Takes a message of kind EY_PEER_NEWS. */
void
EyGateway_ReceiveNews(EyGateway_t *self, const EyPeerMessage_t *message);

/** Which zones are evacuated may have changed. */
void
EyGateway_ReviewBackends(EyGateway_t *self);

/** An instance of the region is new or changed. */
void
EyGateway_OnMember(EyGateway_t *self);

/** A backend server is new, changed or gone. */
void
EyGateway_OnBackend(EyGateway_t *self, EyRegistryChange_t change,
                    const EyBackend_t *backend);

/** A gateway of a region to send a request to; NULL: none is known. */
const char *
EyGateway_Neighbour(EyGateway_t *self, const char *region);

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
EyGateway_SendAway(EyLive_t *live, const EyExchangeAction_t *action);

/** Ends an attempt in another region. */
void
EyGateway_CancelAway(EyLive_t *live, uint64_t attempt);

/** Finds the route of a routed call and puts its terms into the request;
 * an answer refuses it. */
EyAnswer_t *
EyGateway_ApplyRoute(EyGateway_t *self, EyRequest_t *request);

/** Looks at a request's head before its body is read; any thread. */
EyAnswer_t *
EyGateway_CheckHead(void *part, const EyRequest_t *request);

/** Makes what answers to other regions need. */
void
EyGateway_OpenForwarded(EyGateway_t *self);

void
EyGateway_CloseForwarded(EyGateway_t *self);

/** Takes a message of kind EY_PEER_FORWARD. */
void
EyGateway_ReceiveForward(EyGateway_t *self, const EyPeerMessage_t *message);

/** A message about a request from another region, to the instance that sent
 * it. */
void
EyGateway_TakeForwarded(EyGateway_t *self, const char *from,
                        EyForward_t *forward);

/** Starts the life of a request from another region. */
void
EyGateway_AcceptForwarded(EyGateway_t *self, EyRequest_t *request,
                          const EySinkClass_t *sink, const char *from,
                          uint64_t attempt);

/** Fails a live exchange's attempt of which nothing was sent. */
void
EyLive_FailUnsent(EyLive_t *self, uint64_t attempt);

/** Remembers which exchange an attempt belongs to. */
void
EyLive_AddAttempt(EyLive_t *self, uint64_t attempt);

/** Asks the router where the request goes. */
void
EyGateway_Route(EyLive_t *live);

/** Withdraws the request from the router. */
void
EyGateway_Unroute(EyLive_t *live);

/** Tells the router how an attempt ended. */
void
EyGateway_RouteFinished(EyLive_t *live, const EyRoutingResult_t *result);

/** Has the router decide what waits, soon. */
void
EyGateway_WakeRouter(EyGateway_t *self);

/** Answers a request that this instance answers itself; false if it isn't
 * the gateway's. */
bool
EyGateway_AnswerLocally(EyGateway_t *self, EyRequest_t *request);

/** The state of the exchanges. */
json_t *
EyGateway_DumpLives(const EyGateway_t *self);

#endif
