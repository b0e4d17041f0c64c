/**
 * The runtime shared by all daemons: settings, the main thread, whose event
 * loop makes the decisions, the HTTP server, the thread for messages between
 * instances, signals, and graceful shutdown. The parts of a daemon (gateway,
 * control) are plugged in as tables of functions, so that one process can run
 * several.
 */
#ifndef EY_NODE_NODE_H
#define EY_NODE_NODE_H

#include "callers/server.h"
#include "config/control_set.h"
#include "core/account_budgets.h"
#include "core/pauses.h"
#include "core/random.h"
#include "core/settings.h"
#include "core/timers.h"
#include "instances/message_delays.h"
#include "instances/peers.h"
#include "membership/cluster.h"
#include "membership/directory.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyNodeError {
    EY_NODE_ERROR_START /* startup failed; the message has the cause */
} EyNodeError_t;

EY_ERROR_DOMAIN(Node);
#define EY_NODE_ERROR EyNode_ErrorDomain()

/** Maximum number of parts in one process. */
#define EY_NODE_PARTS_MAX 3

typedef enum EyNodeState {
    EY_NODE_STARTING,
    EY_NODE_SERVING,
    EY_NODE_LEAVING,
    EY_NODE_STATE_COUNT
} EyNodeState_t;

extern const char *const EyNode_state_names[EY_NODE_STATE_COUNT];

struct EyNode;
struct EyRouteTable;

/** Functions of a part of a daemon. All but name and open may be NULL. Called
 * on the main thread, except check. */
typedef struct EyPartClass {
    const char *name;
    bool serves_callers; /* an instance with this part accepts callers'
                            requests */
    /** Validates the settings that the part uses; false with an error. */
    bool (*check_settings)(const EySettings_t *settings, GError **error);
    /** Creates the part below ctx; NULL with an error of any domain. */
    void *(*open)(const void *ctx, struct EyNode *node, GError **error);
    /** Stops the part's threads; the part is freed afterwards. */
    void (*close)(void *part);
    /** Called on HTTP threads with the head of a request; an answer refuses
     * the request before its body is read, NULL accepts it. */
    EyAnswer_t *(*check)(void *part, const EyRequest_t *request);
    /** The time until which a request for a backend server must have its body,
     * from its head; 0: any time. */
    int64_t (*body_deadline_ms)(void *part, const EyRequest_t *request);
    /** True if the part handles the request; it then owns the request. */
    bool (*on_request)(void *part, EyRequest_t *request);
    /** The caller of a request, given by its number, has disconnected. */
    void (*on_disconnected)(void *part, uint64_t number);
    /** Handles a message of one of the part's kinds. */
    void (*on_message)(void *part, const EyPeerMessage_t *message);
    /** Whether the part handles this kind of message. */
    bool (*handles_kind)(void *part, EyPeerMessageKind_t kind);
    /** An instance of the region is new or changed. */
    void (*on_member)(void *part, const EyMember_t *member);
    /** A backend server of the region was added, changed or removed. */
    void (*on_backend)(void *part, EyRegistryChange_t change,
                       const EyBackend_t *backend);
    /** The instance is leaving: the part must accept no new work. */
    void (*on_leaving)(void *part);
    /** The process ends soon: the part must end what is in flight, each
     * request with its truthful answer. */
    void (*on_ending)(void *part);
    /** True when nothing is in flight. */
    bool (*is_idle)(void *part);
    /** False until the part can serve requests. */
    bool (*is_ready)(void *part);
    /** The part's state as JSON; the caller owns the reference. */
    json_t *(*dump)(void *part);
} EyPartClass_t;

/** A part with its state. */
typedef struct EyPart {
    const EyPartClass_t *class_table;
    void *state;
} EyPart_t;

/** The daemon; parts use its fields on the main thread. */
typedef struct EyNode {
    const EySettings_t *settings;
    EyNodeState_t state;
    uint64_t incarnation;
    EyRandom_t random;
    char *operator_token; /* NULL: operators need no token */
    struct tevent_context *loop;
    EyTimers_t *timers;
    EyPauses_t pauses;
    EyMemoryBudget_t bodies;  /* of requests, callers' and forwarded ones */
    EyMemoryBudget_t answers; /* what is buffered of them */
    /* What one client account may take of the two. */
    EyAccountBudgets_t *account_bodies;
    EyAccountBudgets_t *account_answers;
    EyServer_t *server;
    EyPeers_t *peers;
    EyCluster_t *cluster;
    EyDirectory_t *directory; /* of the region's gateways */
    /* The current route table, set by the parts that receive configuration;
     * NULL: none received yet. */
    struct EyRouteTable *routes;
    EyMailbox_t *requests;
    EyMailbox_t *disconnects;
    EyMailbox_t *peer_messages;
    EyMessageDelays_t *message_delays;
    EyPart_t parts[EY_NODE_PARTS_MAX];
    uint32_t part_count;
    bool refuses_requests; /* the time to linger after SIGTERM has passed */
    bool is_stopping;
} EyNode_t;

/** Starts a daemon with the given parts; NULL with EY_NODE_ERROR. */
EyNode_t *
EyNode_Start(const void *ctx, const EySettings_t *settings,
             const EyPartClass_t *const *parts, uint32_t part_count,
             GError **error);

/** Runs the event loop until graceful shutdown is complete. */
void
EyNode_Run(EyNode_t *self);

/** Stops all threads and frees the daemon. */
void
EyNode_Stop(EyNode_t *self);

/** Sends an object to an instance, which may be this one. The message may be
 * lost. */
void
EyNode_Send(EyNode_t *self, EyPeerMessageKind_t kind, const char *to,
            const EySchema_t *schema, const void *object);

/** Sends an object to the instance at an address. The message may be lost. */
void
EyNode_SendToAddress(EyNode_t *self, EyPeerMessageKind_t kind,
                     const char *address, const EySchema_t *schema,
                     const void *object);

/** Contacts the control processes that form the group now: those named by the
 * settings may all have been replaced. Logs the set. */
void
EyNode_ContactControls(EyNode_t *self, const EyControlSet_t *controls);

/** When the caller of a request sent it at the earliest: it may have waited
 * while this process stood still. */
int64_t
EyNode_SentMs(const EyNode_t *self, const EyRequest_t *request);

/** Answers an HTTP request and frees it; takes ownership of answer. */
void
EyNode_Answer(EyNode_t *self, EyRequest_t *request, EyAnswer_t *answer);

/** The state of the daemon and its parts; the caller owns the reference. */
json_t *
EyNode_Dump(const EyNode_t *self);

/** Implements main of a daemon: reads the settings, starts, runs and stops.
 * choose sets the parts for the settings and returns their number. Returns the
 * exit code. */
int
EyNode_Main(const char *program, int argc, const char **argv,
            uint32_t (*choose)(const EySettings_t *settings,
                               const EyPartClass_t **parts));

#ifdef __cplusplus
}
#endif

#endif
