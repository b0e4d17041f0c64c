/**
 * Messages between the system's own processes: ZeroMQ over TCP by IP number,
 * one thread, every message typed, versioned and size-limited. Delivery is at
 * most once and may fail silently; the parts above repeat what must arrive.
 */
#ifndef EY_INSTANCES_PEERS_H
#define EY_INSTANCES_PEERS_H

#include "core/error.h"
#include "core/mailbox.h"
#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyPeersError {
    EY_PEERS_ERROR_LISTEN, /* the address can't be listened on */
    EY_PEERS_ERROR_SECRET  /* no usable secret, and peers beyond loopback */
} EyPeersError_t;

EY_ERROR_DOMAIN(Peers);
#define EY_PEERS_ERROR EyPeers_ErrorDomain()

/** Largest message; larger ones are counted and dropped. */
#define EY_PEER_MESSAGE_MAX_BYTES (8 * 1024 * 1024)
/** Version that this build speaks and accepts. */
#define EY_PEER_VERSION 1

/** Which part a message is for. */
typedef enum EyPeerKind {
    EY_PEER_MEMBERSHIP, /* gossip, heartbeats, announcements */
    EY_PEER_GROUP,      /* idempotency group: replicas and witnesses */
    EY_PEER_LOG,        /* replicated configuration log, among control */
    EY_PEER_CONFIG,     /* configuration to and from gateways */
    EY_PEER_FORWARD,    /* requests and answers between regions */
    EY_PEER_ANNOUNCE,   /* backend servers' words for their own region */
    EY_PEER_NEWS,       /* what gateways know of model engines */
    EY_PEER_KIND_COUNT
} EyPeerKind_t;

extern const char *const EyPeerMessage_kind_names[EY_PEER_KIND_COUNT];

/** One message; a talloc root. Parts pack their own typed messages. */
typedef struct EyPeerMessage {
    EyPeerKind_t kind;
    EyName_t from;
    uint64_t from_incarnation;
    EyAddress_t from_address; /* the sender's peer-listen address */
    EyName_t to;              /* empty: whoever listens at to_address */
    EyAddress_t to_address;   /* used when to is empty or not yet known */
    EyBytes_t payload;        /* one msgpack object */
} EyPeerMessage_t;

typedef struct EyPeersOptions {
    EyName_t id;
    uint64_t incarnation;
    EyAddress_t listen;
    const char *secret_file; /* only read at the start; NULL: no encryption */
    bool insecure;           /* allow no encryption beyond loopback */
} EyPeersOptions_t;

typedef struct EyPeers EyPeers_t;

/** A message that packs object by schema for an instance. */
EyPeerMessage_t *
EyPeerMessage_New(EyPeerKind_t kind, const char *to, const EySchema_t *schema,
                  const void *object);

/** Listens and starts the thread; received messages are posted to inbox, and
 * dropped with a count if it is full. */
EyPeers_t *
EyPeers_Start(const void *ctx, const EyPeersOptions_t *options,
              EyMailbox_t *inbox, GError **error);

/** The address that is listened on, with the port that was given; other
 * instances learn it from each message. */
const char *
EyPeers_ListenAddress(const EyPeers_t *self);

/** Sends from any thread; takes the message over if true, else the outbound
 * ring is full and the message is still the caller's. */
bool
EyPeers_Send(EyPeers_t *self, EyPeerMessage_t *message);

/** Tells where an instance listens; a later address replaces an earlier. */
bool
EyPeers_SetRoute(EyPeers_t *self, const char *id, const char *address);

/** Test setting: drop what comes from and goes to an instance, or don't. */
bool
EyPeers_SetBlocked(EyPeers_t *self, const char *id, bool blocked);

/** Ends the thread; messages not yet sent get a short time to leave. */
void
EyPeers_Stop(EyPeers_t *self);

#ifdef __cplusplus
}
#endif

#endif
