/**
 * Messages between the processes of the fleet, over ZeroMQ and TCP, by IP
 * address, on one thread. Every message has a kind, a version and a size
 * limit. Delivery is at most once and may fail silently; senders repeat
 * messages that must arrive.
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
    EY_PEERS_ERROR_LISTEN, /* can't listen on the address */
    EY_PEERS_ERROR_SECRET  /* unusable secret, or none and not loopback */
} EyPeersError_t;

EY_ERROR_DOMAIN(Peers);
#define EY_PEERS_ERROR EyPeers_ErrorDomain()

/** Maximum size of a payload; larger messages are counted and dropped. */
#define EY_PEER_MESSAGE_MAX_BYTES (8 * 1024 * 1024)
/** Protocol version that this build sends and accepts. */
#define EY_PEER_VERSION 1

/** Kind of a message; it determines the part that handles it. */
typedef enum EyPeerMessageKind {
    EY_PEER_MEMBERSHIP,    /* gossip, heartbeats, announcements */
    EY_PEER_GROUP,         /* record group: replicas and witnesses */
    EY_PEER_RAFT,          /* replicated configuration log, among control */
    EY_PEER_CONFIG,        /* configuration to and from gateways */
    EY_PEER_FORWARD,       /* forwarded requests and their answers */
    EY_PEER_ANNOUNCE,      /* announcements relayed to the server's region */
    EY_PEER_ENGINE_UPDATE, /* engine updates between gateways */
    EY_PEER_STREAM,        /* which server version began a stream */
    EY_PEER_QUOTA,         /* gateways' reports to the quota coordinator */
    EY_PEER_QUOTA_ANSWER,  /* its answers */
    EY_PEER_KIND_COUNT
} EyPeerMessageKind_t;

extern const char *const EyPeerMessage_kind_names[EY_PEER_KIND_COUNT];

/** One message; a talloc root. The payload is encoded by the sending part. */
typedef struct EyPeerMessage {
    EyPeerMessageKind_t kind;
    EyName_t from;
    uint64_t from_incarnation;
    EyAddress_t from_address; /* the sender's peer-listen address */
    EyName_t to;              /* empty: any instance at to_address */
    EyAddress_t to_address;   /* used if to is empty or has no known address */
    EyBytes_t payload;        /* one msgpack object */
    int64_t sent_ms; /* when it was made, by the sender's clock; 0: unknown */
    int64_t late_ms; /* received: see EyMessageDelays_Add; not sent */
} EyPeerMessage_t;

typedef struct EyPeersOptions {
    EyName_t id;
    uint64_t incarnation;
    EyAddress_t listen;
    const char *secret_file; /* read at startup only; NULL: no encryption */
    bool insecure;           /* allow unencrypted peers off loopback */
} EyPeersOptions_t;

typedef struct EyPeers EyPeers_t;

/** Creates a message to an instance, with object encoded by schema. */
EyPeerMessage_t *
EyPeerMessage_New(EyPeerMessageKind_t kind, const char *to,
                  const EySchema_t *schema, const void *object);

/** Listens and starts the thread. Received messages are posted to inbox; if it
 * is full they are counted and dropped. */
EyPeers_t *
EyPeers_Start(const void *ctx, const EyPeersOptions_t *options,
              EyMailbox_t *inbox, GError **error);

/** The address that is listened on, with the actual port if the configured one
 * is 0. Each message carries it to the receiver. */
const char *
EyPeers_ListenAddress(const EyPeers_t *self);

/** Sends from any thread. True if it took ownership of the message; false if
 * the outbound queue is full, and the caller still owns the message. */
bool
EyPeers_Send(EyPeers_t *self, EyPeerMessage_t *message);

/** Opens a connection to an address, or keeps it open, so that the next
 * message there doesn't wait for it; from any thread. To be repeated within a
 * minute. False if the outbound queue is full. */
bool
EyPeers_KeepLink(EyPeers_t *self, const char *address);

/** Sets the address of an instance, replacing an earlier one; from any thread.
 * False if the outbound queue is full. */
bool
EyPeers_SetPeerAddress(EyPeers_t *self, const char *id, const char *address);

/** For tests of partitions: whether messages from and to an instance are
 * dropped. False if the outbound queue is full. */
bool
EyPeers_SetBlocked(EyPeers_t *self, const char *id, bool blocked);

/** Ends the thread, after a short wait for messages that aren't sent yet. */
void
EyPeers_Stop(EyPeers_t *self);

#ifdef __cplusplus
}
#endif

#endif
