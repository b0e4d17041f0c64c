/** Internal to the gateway. */
#ifndef EY_GATEWAY_INTERNAL_H
#define EY_GATEWAY_INTERNAL_H

#include "backends/backend.h"
#include "backends/client_thread.h"
#include "callers/server.h"
#include "config/config_replica.h"
#include "config/proposer.h"
#include "core/mailbox.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/timers.h"
#include "exchange/exchange.h"
#include "exchange/shared_body.h"
#include "gateway/departures.h"
#include "gateway/forward_message.h"
#include "gateway/gateway.h"
#include "gateway/records.h"
#include "gateway/residency_policy.h"
#include "gateway/restored_zones.h"
#include "gateway/resumptions.h"
#include "gateway/route_refusals.h"
#include "gateway/table_waits.h"
#include "instances/peers.h"
#include "quotas/quota_client.h"
#include "routing/forward_targets.h"
#include "routing/router.h"

/** Size of an answer buffer: bounds the memory that one slow caller uses. */
#define EY_GATEWAY_STREAM_BYTES (256 * 1024)
/** Most requests in flight; further ones are refused. */
#define EY_GATEWAY_IN_FLIGHT_MAX 8192

typedef enum EyGatewayMetric {
    EY_GATEWAY_REQUESTS,
    EY_GATEWAY_COMPLETED,
    EY_GATEWAY_NOT_RUN,
    EY_GATEWAY_UNKNOWN,
    EY_GATEWAY_RETRIES,
    EY_GATEWAY_FORWARDED,
    EY_GATEWAY_FORWARDED_BYTES,
    EY_GATEWAY_FORWARDED_LATE,
    EY_GATEWAY_TABLE_SAME,
    EY_GATEWAY_TABLE_OLDER,
    EY_GATEWAY_TABLE_NEWER,
    EY_GATEWAY_LEAVING_NOTICES,
    EY_GATEWAY_PAUSES,
    EY_GATEWAY_LIMITS,
    EY_GATEWAY_CRASHES,
    EY_GATEWAY_BARS,
    EY_GATEWAY_BARRED_PARTS,
    EY_GATEWAY_SUSPECT_REFUSALS,
    EY_GATEWAY_UNREACHABLE,
    EY_GATEWAY_CONFIG_AGE,
    EY_GATEWAY_CONFIG_STATE,
    EY_GATEWAY_CONFIG_ANSWERING,
    EY_GATEWAY_CONFIG_CONFIRMED,
    EY_GATEWAY_CONFIG_DELAY,
    EY_GATEWAY_RESTORED_ZONES,
    EY_GATEWAY_KEY_MISSING,
    EY_GATEWAY_KEY_MALFORMED,
    EY_GATEWAY_KEY_DUPLICATED,
    EY_GATEWAY_KEY_UNKNOWN,
    EY_GATEWAY_LATENCY,
    EY_GATEWAY_START_ERROR,
    EY_GATEWAY_CLOSE_WAITING,
    EY_GATEWAY_CLOSE_FORWARDED,
    EY_GATEWAY_METRIC_COUNT
} EyGatewayMetric_t;

extern EyMetric_t EyGateway_metrics[EY_GATEWAY_METRIC_COUNT];

struct EyGateway;
struct EyActiveRequest;

/** Delivers the answer of an exchange to a caller or to the gateway that
 * forwarded the request. */
typedef struct EyResponderClass {
    void (*answer)(struct EyGateway *gateway, struct EyActiveRequest *active,
                   EyAnswer_t *answer);
} EyResponderClass_t;

/** A request in flight: its exchange, timers and streams. */
typedef struct EyActiveRequest {
    struct EyGateway *gateway;
    EyExchange_t *exchange;
    const EyResponderClass_t *responder;
    EyStream_t *stream;   /* of a streamed answer */
    uint64_t request_key; /* see EyRequest_Key */
    EyTimer_t *deadline;
    EyTimer_t *first_byte_timer; /* of the current attempt */
    bool first_byte_timed_out;   /* the current attempt was cancelled by it */
    EySharedBody_t *shared_body; /* of the request; NULL: a small one, or no
                                    attempt yet */
    EyAddress_t cache_source;    /* of the current attempt, or "" */
    EyServerVersion_t server_version; /* of the current attempt's server, when
                                         it was sent; none if it is remote */
    double expected_ms;      /* time to the answer's start, predicted at the
                                dispatch */
    EyName_t origin_id;      /* instance that forwarded the request, or "" */
    uint64_t origin_attempt; /* the origin's attempt number */
    EyName_t remote_id;      /* instance that it was forwarded to, or "" */
    uint32_t remote_sequence;
    uint32_t remote_received_bytes;
    uint32_t remote_credited_bytes;
    int64_t remote_credited_ms; /* time of the last credit */
    EyName_t *allowed_regions;  /* where its data may be processed */
    uint32_t allowed_region_count;
    uint32_t paid_arrivals; /* number of the arrival at a server that the last
                               retry was taken from the retry budget for; 0:
                               none */
    bool has_retry_credit;  /* hasn't been counted for the retry budget yet */
    bool is_routed;         /* the router counts it as in flight */
    bool tried_remote;      /* an attempt was assigned to a remote region */
} EyActiveRequest_t;

typedef struct EyGateway {
    EyNode_t *node;
    EyClientThread_t *outbound;
    EyMailbox_t *attempt_events;
    GHashTable *active_requests; /* request number -> EyActiveRequest_t */
    GHashTable *attempts;        /* attempt number -> EyActiveRequest_t */
    uint64_t next_attempt;
    const EyHeaderNames_t *names; /* to and from callers and backend servers */
    EyConfigReplica_t *configuration;
    bool was_current; /* the configuration, since the start */
    EyProposer_t *proposer;
    EyResumptions_t *resumptions;
    EyTimer_t *resumptions_timer; /* NULL: nothing is due */
    uint64_t last_proposal;
    EyRefusalLog_t refusal_log[EY_ROUTE_REFUSAL_COUNT]; /* by reason */
    EyRestoredZones_t *restored_zones;
    EyRefusalLog_t table_check_log;
    EyTableWaits_t *table_waits;
    EyTimer_t *table_waits_timer;    /* NULL: no call waits */
    GHashTable *logged_unknown_keys; /* route -> time of the last line in ms */
    GHashTable *proposals;           /* number -> an operator's EyRequest_t */
    EyGatewayRecords_t *records;
    EyRouter_t *router;
    GArray *pending_decisions; /* of EyRoutingDecision_t */
    EyTimer_t *router_wakeup;
    EyTimer_t *router_tick;
    bool router_tick_is_short; /* the scheduled tick has the short interval */
    EyTimer_t *members_timer;
    EyTimer_t *credit_timer; /* NULL: no remote region streams an answer */
    EyTimer_t *relay_timer;  /* NULL: there are no relays */
    EyResidencyPolicy_t *residency_policy;
    GHashTable *relays;         /* request number -> Relay_t, see
                                    forward_server.c */
    EyMailbox_t *relay_wakeups; /* from readable streams */
    uint64_t last_forwarded_number;
    EyForwardTargets_t *forward_targets;
    EyQuotaClient_t *quotas;
    EyTimer_t *quota_timer; /* NULL: no account has a limit */
    /* The last engine update to the local region. */
    int64_t engine_update_sent_ms;
    uint32_t engine_update_receiver_count;
    bool engine_update_had_content;
    EyDepartures_t departures;
} EyGateway_t;

/** Handles a request that was received by HTTP; takes it over. */
void
EyGateway_Accept(EyGateway_t *self, EyRequest_t *request);

/** Creates an active request without starting its exchange; takes the request
 * over. */
EyActiveRequest_t *
EyActiveRequest_New(EyGateway_t *gateway, EyRequest_t *request,
                    bool may_repeat, bool needs_claim,
                    const EyResponderClass_t *responder);

/** Passes an event to the exchange and executes the resulting actions. May
 * free self. */
void
EyActiveRequest_Step(EyActiveRequest_t *self, EyExchangeEvent_t *event);

/** Passes the router's choice of a server or region to the exchange, unless
 * the caller has left meanwhile: then nothing is sent. May free self. */
void
EyActiveRequest_Assign(EyActiveRequest_t *self, EyExchangeEvent_t *event);

/** Creates the part that finds out which version began a stream. */
void
EyGateway_OpenResumptions(EyGateway_t *self);

/** Continues with a request whose route is applied: refuses it, or starts its
 * exchange; takes it over. */
void
EyGateway_StartRequest(EyGateway_t *self, EyRequest_t *request);

/** Finds out which version began the stream that a request resumes, then
 * starts the request or refuses it; takes it over. */
void
EyGateway_BeginResumption(EyGateway_t *self, EyRequest_t *request);

/** Remembers which version began the stream that answers a caller's request.
 */
void
EyGateway_NoteStreamBegun(EyActiveRequest_t *active,
                          const EyServerVersion_t *version);

/** Handles a message of kind EY_PEER_STREAM. */
void
EyGateway_ReceiveStream(EyGateway_t *self, const EyPeerMessage_t *message);

/** Handles an event of an attempt at a backend server; frees it. */
void
EyGateway_OnAttemptEvent(EyGateway_t *self, EyAttemptEvent_t *from);

/** Ends all requests in flight with truthful answers, as the process ends
 * soon. */
void
EyGateway_EndActiveRequests(EyGateway_t *self);

/** Handles the disconnection of a caller. */
void
EyGateway_OnCallerDisconnected(EyGateway_t *self, uint64_t number);

/** Creates the replica of the configuration, the proposer and their timer. */
void
EyGateway_OpenConfiguration(EyGateway_t *self);

/** Sets the instances from which the replica of the configuration pulls, and
 * the control processes that get proposals. */
void
EyGateway_SetSources(EyGateway_t *self, const EyName_t *gateways,
                     uint32_t gateway_count, const EyName_t *controls,
                     uint32_t control_count);

/** False after the start until the configuration of the region is known. */
bool
EyGateway_IsConfigured(const EyGateway_t *self);

/** The current configuration. */
const EyConfig_t *
EyGateway_Config(const EyGateway_t *self);

/** Proposes a command of the system itself and sets its change id. A
 * proposal may be lost: the caller repeats it until the change is applied. */
void
EyGateway_Propose(EyGateway_t *self, EyCommand_t *command);

/** Handles an operator's request; takes it over. */
void
EyGateway_HandleOperatorRequest(EyGateway_t *self, EyRequest_t *request);

void
EyGateway_ReceiveConfig(EyGateway_t *self, const EyPeerMessage_t *message);

/** Starts the periodic exchange of members and summaries with the cluster. */
void
EyGateway_OpenClusterUpdates(EyGateway_t *self);

/** Starts the engine updates to other gateways. */
void
EyGateway_OpenEngineUpdates(EyGateway_t *self);

/** Handles a message of kind EY_PEER_ENGINE_UPDATE: an engine update. */
void
EyGateway_ReceiveEngineUpdate(EyGateway_t *self,
                              const EyPeerMessage_t *message);

/** Creates the client of the quotas. */
void
EyGateway_OpenQuotas(EyGateway_t *self);

/** Applies the limits of the current route table's accounts. */
void
EyGateway_ConfigureQuotas(EyGateway_t *self);

/** Counts a caller's call for its account's quota. Returns NULL, or the answer
 * that refuses it. */
EyAnswer_t *
EyGateway_CheckQuota(EyGateway_t *self, EyRequest_t *request);

/** Gives back what a call was counted as that is refused without having been
 * sent anywhere. */
void
EyGateway_ReturnQuota(EyGateway_t *self, EyRequest_t *request);

/** Handles a message of kind EY_PEER_QUOTA_ANSWER. */
void
EyGateway_ReceiveQuota(EyGateway_t *self, const EyPeerMessage_t *message);

/** The evacuation of a zone ends: its servers count as cold until they have
 * announced themselves. reason: how that is known, for the log. */
void
EyGateway_RestoreZone(EyGateway_t *self, const char *zone, const char *reason);

/** Updates all backend servers in the router; the evacuated zones or the
 * routes may have changed. */
void
EyGateway_RefreshBackends(EyGateway_t *self);

/** Schedules an update after an instance of the region was added or changed.
 */
void
EyGateway_OnMember(EyGateway_t *self);

/** Passes a change of a backend server to the router. */
void
EyGateway_OnBackend(EyGateway_t *self, EyRegistryChange_t change,
                    const EyBackend_t *backend);

/** Finds the gateway of a remote region that the next request is forwarded to,
 * and sets its peer address; NULL if none is known to be alive. */
const char *
EyGateway_FindForwardTarget(EyGateway_t *self, const char *region,
                            const EyRequest_t *request);

/** Finds the gateway of a remote region that gets this one's updates, the same
 * each time while it lives, and sets its peer address; NULL if none is known
 * to be alive. */
const char *
EyGateway_FindRemoteGateway(EyGateway_t *self, const char *region);

/** Creates the router and its timer. */
void
EyGateway_OpenRouter(EyGateway_t *self);

/** Applies the current configuration to the router. */
void
EyGateway_ConfigureRouter(EyGateway_t *self);

void
EyGateway_CloseRouter(EyGateway_t *self);

/** Forwards a request to a remote region as an attempt. */
void
EyGateway_ForwardRequest(EyActiveRequest_t *active,
                         const EyExchangeAction_t *action);

/** The event of a refusal or failure that a remote region answered. If a bar
 * runs there, no other region is tried: it may not know the bar yet. */
EyExchangeEvent_t
EyGateway_ForwardFailure(const EyAnswer_t *answer, uint64_t attempt);

/** A forwarded attempt has ended, or its request; does nothing if there is
 * none. */
void
EyGateway_EndForward(EyActiveRequest_t *active);

/** Cancels an attempt in a remote region. */
void
EyGateway_CancelForward(EyActiveRequest_t *active, uint64_t attempt);

/** True if the route table has client accounts. */
bool
EyGateway_HasAccounts(const EyGateway_t *self);

/** Finds the account whose key a routed call has, and replaces the call's
 * account and the headers about it; account: NULL if there are no accounts, or
 * the route is public and the key isn't known. Returns the reason to refuse
 * the call. */
EyRouteRefusal_t
EyGateway_CheckAccount(EyGateway_t *self, EyRequest_t *request,
                       const EyRouteRule_t *route,
                       const EyAccountRule_t **account);

/** The account in the route table by whose key a call was accepted; NULL if
 * there was none or the table no longer has it. */
const EyAccountRule_t *
EyGateway_AccountOf(const EyGateway_t *self, const EyRequest_t *request);

/** Removes a caller's key and the account that it names before a call is sent
 * on that was accepted by a table without accounts, if there are some now. */
void
EyGateway_RemoveKeys(const EyGateway_t *self, EyRequest_t *request);

/** Finds the route of a routed call and copies its terms into the request.
 * Returns NULL, or the answer that refuses the call. */
EyAnswer_t *
EyGateway_ApplyRoute(EyGateway_t *self, EyRequest_t *request);

/** Chooses the target of a routed call by the present route table, which has
 * its route. */
void
EyGateway_ChooseTarget(EyGateway_t *self, EyRequest_t *request);

/** Chooses the target again of a routed call that no server may have got, if
 * the route table is newer than the choice and doesn't allow it. */
void
EyGateway_UpdateTarget(EyActiveRequest_t *active);

/** Has a route table that is newer than the one that a routed call matched, at
 * this gateway or the one that forwarded it, decide where its data may be. */
void
EyGateway_UpdateRegions(EyActiveRequest_t *active);

/** True if the newest route table allows a routed call to run in the region;
 * the router decided by the one that it had when the call was queued. */
bool
EyGateway_MayRunIn(EyActiveRequest_t *active, const char *region);

/** Checks the residency of a request by its head, before its body is read.
 * Returns NULL, or the answer that refuses it. May be called from any thread.
 */
EyAnswer_t *
EyGateway_CheckHead(void *part, const EyRequest_t *request);

/** The deadline of a request as far as its head tells it; 0: none. */
int64_t
EyGateway_BodyDeadlineMs(void *part, const EyRequest_t *request);

/** Creates the relays that stream answers to remote regions. */
void
EyGateway_OpenForwardServer(EyGateway_t *self);

void
EyGateway_CloseForwardServer(EyGateway_t *self);

/** Handles a message of kind EY_PEER_FORWARD. */
void
EyGateway_ReceiveForward(EyGateway_t *self, const EyPeerMessage_t *message);

/** True if another gateway of this region forwarded the request. */
bool
EyGateway_IsFromOwnRegion(const EyGateway_t *self, const EyRequest_t *request);

/** Handles a message from a forwarding gateway: a request, its cancellation or
 * credit for its answer. late_ms: see EyMessageDelays_Add. */
void
EyGateway_ServeForwardMessage(EyGateway_t *self, const char *from,
                              EyForwardMessage_t *forward, int64_t late_ms);

/** Checks the target of a forwarded request by the route table, then starts
 * the request, refuses it, or lets it wait for a newer table; takes it over.
 */
void
EyGateway_AdmitForwarded(EyGateway_t *self, EyRequest_t *request,
                         const char *from, uint64_t attempt);

/** Starts a forwarded request, whose answer goes back to that gateway; takes
 * it over. */
void
EyGateway_StartForwarded(EyGateway_t *self, EyRequest_t *request,
                         const char *from, uint64_t attempt);

/** Answers a forwarded request, which hasn't run here and won't. */
void
EyGateway_RefuseForwarded(const EyGateway_t *self, const char *from,
                          uint64_t attempt, EyProblem_t problem,
                          const char *detail);

/** Creates the list of forwarded requests that wait for a newer table. */
void
EyGateway_OpenTableWaits(EyGateway_t *self);

/** Continues with the requests that waited for the present route table. */
void
EyGateway_WakeTableWaits(EyGateway_t *self);

/** Drops a forwarded request that waits for a newer table; false: none does.
 */
bool
EyGateway_CancelTableWait(EyGateway_t *self, const char *from,
                          uint64_t attempt);

/** Refuses all requests that wait for a newer table, as the process ends. */
void
EyGateway_EndTableWaits(EyGateway_t *self);

/** Starts a request that was forwarded from a remote region; takes it over. */
void
EyGateway_AcceptForwarded(EyGateway_t *self, EyRequest_t *request,
                          const EyResponderClass_t *responder,
                          const char *from, uint64_t attempt);

/** Fails an attempt of which nothing was sent. May free self. */
void
EyActiveRequest_FailUnsent(EyActiveRequest_t *self, uint64_t attempt);

/** The memory for what is buffered of its answer. */
EyMemoryBudget_t *
EyActiveRequest_Answers(const EyActiveRequest_t *self);

/** Registers an attempt, so that its events reach this request. */
void
EyActiveRequest_AddAttempt(EyActiveRequest_t *self, uint64_t attempt);

/** Submits the request to the router and applies its decision. */
void
EyGateway_Route(EyActiveRequest_t *active);

/** True if a server or region that hasn't been tried may serve the request. */
bool
EyGateway_HasAlternative(const EyActiveRequest_t *active);

/** Withdraws the request from the router. */
void
EyGateway_Unroute(EyActiveRequest_t *active);

/** Passes what a backend server's answer says about the server itself to the
 * router and the registry: its load, that it is leaving, or that it wants a
 * pause. */
void
EyGateway_ReadServerNotices(EyActiveRequest_t *active,
                            const EyAnswer_t *answer);

/** Reports the result of an attempt to the router. */
void
EyGateway_RouteFinished(EyActiveRequest_t *active,
                        const EyRoutingResult_t *result);

/** Logs and counts what the router found out about parts of prompts that crash
 * engines. */
void
EyGateway_ReportSuspects(EyGateway_t *self, int64_t now_ms);

/** Schedules a router tick, which decides on queued requests. */
void
EyGateway_WakeRouter(EyGateway_t *self);

/** Answers a request that needs no backend server and takes it over; false,
 * with nothing done, if the gateway has no handler for it. */
bool
EyGateway_AnswerLocally(EyGateway_t *self, EyRequest_t *request);

/** The state of at most 100 active requests. */
json_t *
EyGateway_DumpActiveRequests(const EyGateway_t *self);

#endif
