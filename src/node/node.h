/**
 * What every daemon is made of: settings, a loop for the decisions, HTTP in,
 * the thread for other instances, signals, and a graceful stop. The parts of
 * a daemon (gateway, control) are plugged in as tables of functions, so that
 * one process can run both.
 */
#ifndef EY_NODE_NODE_H
#define EY_NODE_NODE_H

#include "callers/server.h"
#include "core/random.h"
#include "core/settings.h"
#include "core/timers.h"
#include "instances/peers.h"
#include "membership/cluster.h"
#include "membership/directory.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyNodeError {
    EY_NODE_ERROR_START /* a part couldn't start; the message says why */
} EyNodeError_t;

EY_ERROR_DOMAIN(Node);
#define EY_NODE_ERROR EyNode_ErrorDomain()

/** Most parts of one process. */
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

/** A part of a daemon. All but name and open may be NULL. */
typedef struct EyPartClass {
    const char *name;
    bool is_entry; /* callers may use an instance that has it */
    /** Checks what the part needs of the settings; false with an error. */
    bool (*check_settings)(const EySettings_t *settings, GError **error);
    /** Makes the part below ctx; NULL with an error of any domain. */
    void *(*open)(const void *ctx, struct EyNode *node, GError **error);
    /** Ends the part's threads; it is freed afterwards. */
    void (*close)(void *part);
    /** Called from HTTP threads with the head of a request; see EyServer. */
    EyAnswer_t *(*check)(void *part, const EyRequest_t *request);
    /** Takes a request over if it is the part's; else false. */
    bool (*on_request)(void *part, EyRequest_t *request);
    void (*on_gone)(void *part, uint64_t number);
    /** Looks at a message of a kind that is the part's. */
    void (*on_message)(void *part, const EyPeerMessage_t *message);
    /** Whether the kind of message is the part's. */
    bool (*wants)(void *part, EyPeerKind_t kind);
    /** An instance of the region is new or changed. */
    void (*on_member)(void *part, const EyMember_t *member);
    /** A backend server of the region is new, changed or gone. */
    void (*on_backend)(void *part, EyRegistryChange_t change,
                       const EyBackend_t *backend);
    /** The instance leaves: take nothing new. */
    void (*on_leaving)(void *part);
    /** True when nothing is in flight any more. */
    bool (*is_idle)(void *part);
    /** False while the part can't serve yet. */
    bool (*is_ready)(void *part);
    json_t *(*dump)(void *part);
} EyPartClass_t;

/** A plugged-in part. */
typedef struct EyPart {
    const EyPartClass_t *class_table;
    void *state;
} EyPart_t;

/** The daemon; parts use its fields on the loop's thread. */
typedef struct EyNode {
    const EySettings_t *settings;
    EyNodeState_t state;
    uint64_t incarnation;
    EyRandom_t random;
    char *operator_token; /* NULL: none is asked for */
    struct tevent_context *loop;
    EyTimers_t *timers;
    EyServer_t *server;
    EyPeers_t *peers;
    EyCluster_t *cluster;
    EyDirectory_t *directory; /* of the region's entry instances */
    /* In force, renewed by the parts that have the configuration; NULL: none
     * is known. */
    struct EyRouteTable *routes;
    EyMailbox_t *requests;
    EyMailbox_t *disconnects;
    EyMailbox_t *peer_messages;
    EyPart_t parts[EY_NODE_PARTS_MAX];
    uint32_t part_count;
    bool takes_nothing; /* it leaves, and callers had time to move away */
    bool is_stopping;
} EyNode_t;

/** Starts a daemon with some parts; NULL with EY_NODE_ERROR. */
EyNode_t *
EyNode_Start(const void *ctx, const EySettings_t *settings,
             const EyPartClass_t *const *parts, uint32_t part_count,
             GError **error);

/** Runs until a signal has led to a graceful stop. */
void
EyNode_Run(EyNode_t *self);

/** Ends all threads and frees the daemon. */
void
EyNode_Stop(EyNode_t *self);

/** Sends an object to an instance, this one included. */
void
EyNode_Send(EyNode_t *self, EyPeerKind_t kind, const char *to,
            const EySchema_t *schema, const void *object);

/** Sends an object to whoever listens at an address. */
void
EyNode_SendTo(EyNode_t *self, EyPeerKind_t kind, const char *address,
              const EySchema_t *schema, const void *object);

/** Answers an HTTP request and frees it. */
void
EyNode_Answer(EyNode_t *self, EyRequest_t *request, EyAnswer_t *answer);

/** The state of all parts. */
json_t *
EyNode_Dump(const EyNode_t *self);

/** The whole main of a daemon: settings, start, run, stop; its exit code. */
int
EyNode_Main(const char *program, int argc, const char **argv,
            uint32_t (*choose)(const EySettings_t *settings,
                               const EyPartClass_t **parts));

#ifdef __cplusplus
}
#endif

#endif
