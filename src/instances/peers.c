#include "instances/peers.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "instances/peer_message.h"
#include "instances/peer_path.h"
#include "instances/peer_secret.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

EY_DEFINE_ERROR_DOMAIN(Peers, "ey-peers")

#define OUTBOUND_CAPACITY 4096
/* ZeroMQ's high-water mark: queued messages per connection and direction. */
#define QUEUED_MESSAGES_MAX 256
/* How long EyPeers_Stop waits for queued messages to be sent. */
#define STOP_LINGER_MS 200
#define HANDSHAKE_TIMEOUT_MS 5000
/* Closes a connection whose data stays unacknowledged for this time. A change
 * of the configuration must reach everyone within 3 s. */
#define UNACKNOWLEDGED_TIMEOUT_MS 1500
/* An idle connection is probed after this time, and closed if the probe stays
 * unanswered for the interval. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 1
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 500
/* A connection attempt that takes longer is abandoned and repeated: a machine
 * without power drops the first SYN, and the kernel retransmits it only after
 * seconds. */
#define CONNECT_TIMEOUT_MS 400
/* Longest routing id of ZeroMQ that is kept. */
#define ROUTING_ID_MAX_BYTES 16
/* An unused connection is closed after this time. */
#define LINK_IDLE_TIMEOUT_MS 60000
#define IDLE_CHECK_INTERVAL_MS 10000
#define ENTRIES_MAX 8192
#define ENDPOINT_SIZE_BYTES (EY_ADDRESS_SIZE_BYTES + 8)
/* Messages handled in one direction before the other direction is served. */
#define MESSAGES_PER_ITERATION_MAX 256

typedef enum CommandKind {
    COMMAND_SEND,
    COMMAND_KEEP_LINK,
    COMMAND_SET_ADDRESS,
    COMMAND_SET_BLOCKED,
    COMMAND_STOP
} CommandKind_t;

/** The connection on which a message has arrived. */
typedef struct Route {
    bool socket_is_listener;
    const uint8_t *id;
    size_t id_bytes;
} Route_t;

/** A command of another thread to the peers' thread; a talloc root. */
typedef struct Command {
    CommandKind_t kind;
    EyPeerMessage_t *message; /* a talloc child, for COMMAND_SEND */
    EyName_t id;
    EyAddress_t address;
    bool blocked;
} Command_t;

/** An instance and its address, from EyPeers_SetPeerAddress or its messages.
 */
typedef struct PeerEntry {
    EyAddress_t address;
    uint64_t incarnation; /* highest one seen in a message */
    bool blocked;
    /* The instance's own connection to this one; size 0: none. */
    uint8_t inbound_id[ROUTING_ID_MAX_BYTES];
    size_t inbound_id_bytes;
    EyPeerPath_t path;
} PeerEntry_t;

/** An outgoing connection to one address. Routing ids aren't used twice:
 * ZeroMQ ends the process if one is set while an earlier connection with it is
 * still being closed. */
typedef struct Link {
    uint64_t routing_id;
    int64_t used_ms;
} Link_t;

struct EyPeers {
    EyPeersOptions_t options;
    EyAddress_t address; /* with the actual port */
    bool encrypted;
    EyPeerKeys_t keys;
    EyMailbox_t *inbox;
    EyMailbox_t *outbound;
    void *zmq;
    void *listener;      /* takes connections */
    void *connector;     /* has all connections that this instance opens */
    GHashTable *entries; /* id -> PeerEntry_t */
    GHashTable *links;   /* address -> Link_t */
    uint64_t last_routing_id;
    int64_t idle_checked_ms;
    bool stopping;
    pthread_t thread;
    bool running;
};

enum {
    DROP_MALFORMED,
    DROP_TOO_LARGE,
    DROP_VERSION,
    DROP_KIND,
    DROP_DESTINATION,
    DROP_INBOX_FULL,
    DROP_BLOCKED,
    DROP_NO_ADDRESS,
    DROP_BACKLOG,
    DROP_COUNT
};

#define DROPPED_METRIC(reason)                                                \
    {                                                                         \
        "peer_dropped_total", "reason=\"" reason "\"",                        \
            "Messages between instances that were dropped",                   \
            EY_METRIC_COUNTER,                                                \
    }
#define TRAFFIC_METRIC(name, kind, help)                                      \
    {                                                                         \
        name, "kind=\"" kind "\"", help, EY_METRIC_COUNTER,                   \
    }
#define TRAFFIC_METRICS(name, help)                                           \
    {                                                                         \
        [EY_PEER_MEMBERSHIP] = TRAFFIC_METRIC(name, "membership", help),      \
        [EY_PEER_GROUP] = TRAFFIC_METRIC(name, "group", help),                \
        [EY_PEER_RAFT] = TRAFFIC_METRIC(name, "log", help),                   \
        [EY_PEER_CONFIG] = TRAFFIC_METRIC(name, "config", help),              \
        [EY_PEER_FORWARD] = TRAFFIC_METRIC(name, "forward", help),            \
        [EY_PEER_ANNOUNCE] = TRAFFIC_METRIC(name, "announce", help),          \
        [EY_PEER_ENGINE_UPDATE] = TRAFFIC_METRIC(name, "engine", help),       \
        [EY_PEER_STREAM] = TRAFFIC_METRIC(name, "stream", help),              \
        [EY_PEER_QUOTA] = TRAFFIC_METRIC(name, "quota", help),                \
        [EY_PEER_QUOTA_ANSWER] = TRAFFIC_METRIC(name, "quota_answer", help),  \
    }

static EyMetric_t Dropped[DROP_COUNT] = {
    [DROP_MALFORMED] = DROPPED_METRIC("malformed"),
    [DROP_TOO_LARGE] = DROPPED_METRIC("too_large"),
    [DROP_VERSION] = DROPPED_METRIC("version"),
    [DROP_KIND] = DROPPED_METRIC("kind"),
    [DROP_DESTINATION] = DROPPED_METRIC("destination"),
    [DROP_INBOX_FULL] = DROPPED_METRIC("inbox_full"),
    [DROP_BLOCKED] = DROPPED_METRIC("cut"),
    [DROP_NO_ADDRESS] = DROPPED_METRIC("no_route"),
    [DROP_BACKLOG] = DROPPED_METRIC("backlog"),
};
static EyMetric_t SentBytes[EY_PEER_KIND_COUNT] =
    TRAFFIC_METRICS("peer_sent_bytes_total", "Bytes sent to instances");
static EyMetric_t Sent[EY_PEER_KIND_COUNT] =
    TRAFFIC_METRICS("peer_sent_total", "Messages sent to instances");
static EyMetric_t Received[EY_PEER_KIND_COUNT] =
    TRAFFIC_METRICS("peer_received_total", "Messages taken from instances");

static const uint32_t DropReasons[] = {
    [EY_PEER_FAULT_MALFORMED] = DROP_MALFORMED,
    [EY_PEER_FAULT_TOO_LARGE] = DROP_TOO_LARGE,
    [EY_PEER_FAULT_VERSION] = DROP_VERSION,
    [EY_PEER_FAULT_KIND] = DROP_KIND,
};

static void
drop(uint32_t reason, EyPeerMessage_t *message)
{
    EyMetric_Add(&Dropped[reason], 1);
    (void)talloc_free(message);
}

static bool
is_loopback(const char *address)
{
    char ip[EY_ADDRESS_SIZE_BYTES];
    uint16_t port = 0;
    if (!EyAddress_Split(address, ip, sizeof(ip), &port)) {
        return false;
    }
    return g_str_has_prefix(ip, "127.") || strcmp(ip, "::1") == 0;
}

static bool
set_int_option(void *socket, int option, int32_t value)
{
    return zmq_setsockopt(socket, option, &value, sizeof(value)) == 0;
}

/** Sets the options of both sockets. A message to a connection that has gone
 * fails, instead of being dropped silently. */
static bool
set_common_options(void *socket)
{
    const int64_t frame_max_bytes = EY_PEER_FRAME_MAX_BYTES;
    return set_int_option(socket, ZMQ_LINGER, 0) &&
           set_int_option(socket, ZMQ_ROUTER_MANDATORY, 1) &&
           zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &frame_max_bytes,
                          sizeof(frame_max_bytes)) == 0 &&
           set_int_option(socket, ZMQ_SNDHWM, QUEUED_MESSAGES_MAX) &&
           set_int_option(socket, ZMQ_RCVHWM, QUEUED_MESSAGES_MAX) &&
           set_int_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS) &&
           set_int_option(socket, ZMQ_TCP_KEEPALIVE, 1) &&
           set_int_option(socket, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS) &&
           set_int_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S) &&
           set_int_option(socket, ZMQ_TCP_KEEPALIVE_INTVL,
                          KEEPALIVE_INTERVAL_S) &&
           set_int_option(socket, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
}

/* Connections and the table of instances */

static void
make_endpoint(char *endpoint, size_t size_bytes, const char *address)
{
    (void)g_snprintf(endpoint, size_bytes, "tcp://%s", address);
}

static void
link_close(const EyPeers_t *self, const char *address)
{
    char endpoint[ENDPOINT_SIZE_BYTES];
    make_endpoint(endpoint, sizeof(endpoint), address);
    (void)zmq_disconnect(self->connector, endpoint);
}

static Link_t *
link_open(EyPeers_t *self, const char *address)
{
    char endpoint[ENDPOINT_SIZE_BYTES];
    make_endpoint(endpoint, sizeof(endpoint), address);
    uint64_t routing_id = ++self->last_routing_id;
    bool ok = set_int_option(self->connector, ZMQ_IPV6, address[0] == '[') &&
              zmq_setsockopt(self->connector, ZMQ_CONNECT_ROUTING_ID,
                             &routing_id, sizeof(routing_id)) == 0 &&
              zmq_connect(self->connector, endpoint) == 0;
    if (!ok) {
        EY_LOG(EY_LOG_WARNING, "peers", "connect_failed",
               EY_LOG_TEXT("address", address),
               EY_LOG_TEXT("error", zmq_strerror(zmq_errno())));
        return NULL;
    }
    Link_t *link = g_new0(Link_t, 1);
    link->routing_id = routing_id;
    (void)g_hash_table_insert(self->links, g_strdup(address), link);
    return link;
}

static Link_t *
link_get(EyPeers_t *self, const char *address)
{
    Link_t *link = g_hash_table_lookup(self->links, address);
    if (link == NULL) {
        link = link_open(self, address);
    }
    if (link != NULL) {
        link->used_ms = EyClock_NowMs();
    }
    return link;
}

static gboolean
close_if_idle(gpointer address, gpointer data, gpointer peers)
{
    const EyPeers_t *self = peers;
    const Link_t *link = data;
    bool is_idle =
        self->idle_checked_ms - link->used_ms > LINK_IDLE_TIMEOUT_MS;
    if (is_idle) {
        link_close(self, address);
    }
    return is_idle;
}

static void
close_idle_links(EyPeers_t *self)
{
    int64_t now_ms = EyClock_NowMs();
    if (now_ms - self->idle_checked_ms < IDLE_CHECK_INTERVAL_MS) {
        return;
    }
    self->idle_checked_ms = now_ms;
    (void)g_hash_table_foreach_remove(self->links, close_if_idle, self);
}

/** The entry of an instance, created if missing; NULL if the table is full. */
static PeerEntry_t *
entry_get(EyPeers_t *self, const char *id)
{
    PeerEntry_t *entry = g_hash_table_lookup(self->entries, id);
    if (entry == NULL && g_hash_table_size(self->entries) < ENTRIES_MAX) {
        entry = g_new0(PeerEntry_t, 1);
        (void)g_hash_table_insert(self->entries, g_strdup(id), entry);
    }
    return entry;
}

/** Stores the connection on which an instance has sent a message. */
static void
record_inbound(PeerEntry_t *entry, const Route_t *route)
{
    if (route->socket_is_listener && route->id_bytes <= ROUTING_ID_MAX_BYTES) {
        memcpy(entry->inbound_id, route->id, route->id_bytes);
        entry->inbound_id_bytes = route->id_bytes;
        EyPeerPath_Received(&entry->path, EyClock_NowMs());
    }
}

/** Stores a sender's connection, and its address if none is known or its
 * incarnation is newer. */
static void
entry_update(EyPeers_t *self, const EyPeerMessage_t *message,
             const Route_t *route)
{
    if (!EyAddress_IsValid(message->from_address)) {
        return;
    }
    PeerEntry_t *entry = entry_get(self, message->from);
    if (entry == NULL || message->from_incarnation < entry->incarnation) {
        return;
    }
    bool is_newer = message->from_incarnation > entry->incarnation;
    if (is_newer) {
        EyPeerPath_Restarted(&entry->path);
    }
    record_inbound(entry, route);
    if (entry->address[0] == '\0' || is_newer) {
        (void)EY_COPY(entry->address, message->from_address);
    }
    if (is_newer) {
        entry->incarnation = message->from_incarnation;
    }
}

static bool
is_blocked(const EyPeers_t *self, const char *id)
{
    const PeerEntry_t *entry = g_hash_table_lookup(self->entries, id);
    return entry != NULL && entry->blocked;
}

/** True if an instance that listens at the address is blocked. */
static bool
is_address_blocked(const EyPeers_t *self, const char *address)
{
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const PeerEntry_t *entry = data;
        if (entry->blocked && strcmp(entry->address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Sending */

static void
deliver(const EyPeers_t *self, EyPeerMessage_t *message)
{
    EyPeerMessageKind_t kind = message->kind;
    if (!EyMailbox_Post(self->inbox, message)) {
        drop(DROP_INBOX_FULL, message);
        return;
    }
    EyMetric_Add(&Received[kind], 1);
}

static const char *
address_of(const EyPeers_t *self, const EyPeerMessage_t *message)
{
    const PeerEntry_t *entry = g_hash_table_lookup(self->entries, message->to);
    if (entry != NULL && entry->address[0] != '\0') {
        return entry->address;
    }
    return message->to_address;
}

/** Sends a frame on one connection of a socket; false if that has gone or has
 * too much queued. */
static bool
send_frame(void *socket, const void *routing_id, size_t routing_id_bytes,
           const EyBytes_t *frame)
{
    return zmq_send(socket, routing_id, routing_id_bytes,
                    ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
           zmq_send(socket, frame->data, frame->size_bytes, ZMQ_DONTWAIT) >= 0;
}

/** Sends a frame on the receiver's own connection to this instance, if that is
 * the path. So an answer doesn't wait until a connection is open. */
static bool
send_inbound(const EyPeers_t *self, const PeerEntry_t *entry,
             const EyBytes_t *frame)
{
    return entry != NULL && entry->inbound_id_bytes > 0 &&
           EyPeerPath_PrefersInbound(&entry->path, EyClock_NowMs()) &&
           send_frame(self->listener, entry->inbound_id,
                      entry->inbound_id_bytes, frame);
}

static bool
send_outbound(EyPeers_t *self, const char *address, const EyBytes_t *frame)
{
    Link_t *link = link_get(self, address);
    if (link == NULL) {
        EyMetric_Add(&Dropped[DROP_NO_ADDRESS], 1);
        return false;
    }
    bool is_sent = send_frame(self->connector, &link->routing_id,
                              sizeof(link->routing_id), frame);
    if (!is_sent) {
        EyMetric_Add(&Dropped[DROP_BACKLOG], 1);
    }
    return is_sent;
}

static void
transmit(EyPeers_t *self, const char *address, EyPeerMessage_t *message)
{
    EyBytes_t frame = EyPeerMessage_Encode(message, message);
    PeerEntry_t *entry = g_hash_table_lookup(self->entries, message->to);
    bool inbound = send_inbound(self, entry, &frame);
    if (inbound || send_outbound(self, address, &frame)) {
        if (entry != NULL) {
            EyPeerPath_Sent(&entry->path, EyClock_NowMs(), inbound);
        }
        EyMetric_Add(&Sent[message->kind], 1);
        EyMetric_Add(&SentBytes[message->kind], frame.size_bytes);
    }
    (void)talloc_free(message);
}

static void
send_message(EyPeers_t *self, EyPeerMessage_t *message)
{
    if (strcmp(message->to, self->options.id) == 0) {
        deliver(self, message);
        return;
    }
    const char *address = address_of(self, message);
    if (is_blocked(self, message->to) ||
        (message->to[0] == '\0' && is_address_blocked(self, address)))
    {
        drop(DROP_BLOCKED, message);
        return;
    }
    bool is_allowed =
        self->encrypted || self->options.insecure || is_loopback(address);
    if (!EyAddress_IsValid(address) || !is_allowed) {
        drop(DROP_NO_ADDRESS, message);
        return;
    }
    if (message->payload.size_bytes > EY_PEER_MESSAGE_MAX_BYTES) {
        drop(DROP_TOO_LARGE, message);
        return;
    }
    transmit(self, address, message);
}

static void
run_command(EyPeers_t *self, Command_t *command)
{
    PeerEntry_t *entry = NULL;
    switch (command->kind) {
    case COMMAND_SEND:
        send_message(self, talloc_steal(NULL, command->message));
        break;
    case COMMAND_KEEP_LINK:
        (void)link_get(self, command->address);
        break;
    case COMMAND_SET_ADDRESS:
        entry = entry_get(self, command->id);
        if (entry != NULL) {
            (void)EY_COPY(entry->address, command->address);
        }
        break;
    case COMMAND_SET_BLOCKED:
        entry = entry_get(self, command->id);
        if (entry != NULL) {
            entry->blocked = command->blocked;
        }
        break;
    case COMMAND_STOP:
        break;
    }
    (void)talloc_free(command);
}

/** True if more commands may be queued. */
static bool
run_commands(EyPeers_t *self, uint32_t limit)
{
    EyMailbox_Acknowledge(self->outbound);
    for (uint32_t i = 0; i < limit; i++) {
        Command_t *command = EyMailbox_Take(self->outbound);
        if (command == NULL) {
            return false;
        }
        run_command(self, command);
    }
    return true;
}

/* Receiving */

static void
process_frame(EyPeers_t *self, const Route_t *route, const uint8_t *data,
              size_t size_bytes)
{
    EyPeerFault_t fault = EY_PEER_FAULT_NONE;
    EyPeerMessage_t *message = EyPeerMessage_Decode(data, size_bytes, &fault);
    if (message == NULL) {
        EyMetric_Add(&Dropped[DropReasons[fault]], 1);
        return;
    }
    if (message->to[0] != '\0' && strcmp(message->to, self->options.id) != 0) {
        drop(DROP_DESTINATION, message);
        return;
    }
    if (is_blocked(self, message->from)) {
        drop(DROP_BLOCKED, message);
        return;
    }
    entry_update(self, message, route);
    deliver(self, message);
}

/** Reads and drops the remaining frames of a message. */
static void
skip_frames(void *socket)
{
    zmq_msg_t frame;
    int more = 1;
    while (more != 0) {
        (void)zmq_msg_init(&frame);
        more = zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) >= 0 &&
               zmq_msg_more(&frame) != 0;
        (void)zmq_msg_close(&frame);
    }
}

/** Receives the frame that follows the connection's routing id. */
static void
receive_frame(EyPeers_t *self, void *socket, const Route_t *route)
{
    zmq_msg_t frame;
    (void)zmq_msg_init(&frame);
    if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) >= 0) {
        if (zmq_msg_more(&frame) != 0) {
            skip_frames(socket);
            EyMetric_Add(&Dropped[DROP_MALFORMED], 1);
        }
        else {
            process_frame(self, route, zmq_msg_data(&frame),
                          zmq_msg_size(&frame));
        }
    }
    (void)zmq_msg_close(&frame);
}

/** Receives one message: the routing id of its connection and one frame. False
 * if none is available. */
static bool
receive(EyPeers_t *self, void *socket)
{
    zmq_msg_t routing_id;
    (void)zmq_msg_init(&routing_id);
    bool has_message = zmq_msg_recv(&routing_id, socket, ZMQ_DONTWAIT) >= 0;
    if (has_message && zmq_msg_more(&routing_id) == 0) {
        EyMetric_Add(&Dropped[DROP_MALFORMED], 1);
    }
    else if (has_message) {
        const Route_t route = {
            .socket_is_listener = socket == self->listener,
            .id = zmq_msg_data(&routing_id),
            .id_bytes = zmq_msg_size(&routing_id),
        };
        receive_frame(self, socket, &route);
    }
    (void)zmq_msg_close(&routing_id);
    return has_message;
}

static bool
receive_all(EyPeers_t *self, void *socket)
{
    for (uint32_t i = 0; i < MESSAGES_PER_ITERATION_MAX; i++) {
        if (!receive(self, socket)) {
            return false;
        }
    }
    return true;
}

/* The thread */

static void *
run(void *data)
{
    EyPeers_t *self = data;
    zmq_pollitem_t items[] = {
        {.socket = self->listener, .events = ZMQ_POLLIN},
        {.socket = self->connector, .events = ZMQ_POLLIN},
        {.fd = EyMailbox_Descriptor(self->outbound), .events = ZMQ_POLLIN},
    };
    bool has_more = false;
    while (!__atomic_load_n(&self->stopping, __ATOMIC_ACQUIRE)) {
        (void)zmq_poll(items, (int)G_N_ELEMENTS(items),
                       has_more ? 0 : IDLE_CHECK_INTERVAL_MS);
        has_more = run_commands(self, MESSAGES_PER_ITERATION_MAX);
        has_more = receive_all(self, self->listener) || has_more;
        has_more = receive_all(self, self->connector) || has_more;
        close_idle_links(self);
    }
    (void)run_commands(self, OUTBOUND_CAPACITY);
    return NULL;
}

/* Start and stop */

static bool
read_keys(EyPeers_t *self, GError **error)
{
    if (self->options.secret_file != NULL) {
        self->encrypted = true;
        return EyPeerKeys_Read(&self->keys, self->options.secret_file, error);
    }
    if (!self->options.insecure && !is_loopback(self->options.listen)) {
        g_set_error(error, EY_PEERS_ERROR, EY_PEERS_ERROR_SECRET,
                    "%s isn't a loopback address: expected a peer secret "
                    "file, or --insecure-peers to allow unencrypted messages",
                    self->options.listen);
        return false;
    }
    return true;
}

static bool
listener_set_options(const EyPeers_t *self)
{
    return set_common_options(self->listener) &&
           set_int_option(self->listener, ZMQ_IPV6,
                          self->options.listen[0] == '[') &&
           (!self->encrypted ||
            EyPeerKeys_SetServer(&self->keys, self->listener));
}

static bool
connector_set_options(const EyPeers_t *self)
{
    void *socket = self->connector;
    return set_common_options(socket) &&
           set_int_option(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS) &&
           set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS) &&
           set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) &&
           (!self->encrypted || EyPeerKeys_SetClient(&self->keys, socket));
}

static bool
open_connector(EyPeers_t *self, GError **error)
{
    self->connector = zmq_socket(self->zmq, ZMQ_ROUTER);
    bool ok = self->connector != NULL && connector_set_options(self);
    if (!ok) {
        g_set_error(error, EY_PEERS_ERROR, EY_PEERS_ERROR_LISTEN,
                    "can't open a socket for other instances: %s",
                    zmq_strerror(zmq_errno()));
    }
    return ok;
}

static bool
start_listener(EyPeers_t *self, GError **error)
{
    char endpoint[ENDPOINT_SIZE_BYTES];
    size_t endpoint_bytes = sizeof(endpoint);
    self->listener = zmq_socket(self->zmq, ZMQ_ROUTER);
    make_endpoint(endpoint, sizeof(endpoint), self->options.listen);
    bool ok = self->listener != NULL && listener_set_options(self) &&
              zmq_bind(self->listener, endpoint) == 0 &&
              zmq_getsockopt(self->listener, ZMQ_LAST_ENDPOINT, endpoint,
                             &endpoint_bytes) == 0;
    if (!ok) {
        g_set_error(error, EY_PEERS_ERROR, EY_PEERS_ERROR_LISTEN,
                    "can't listen on %s: %s", self->options.listen,
                    zmq_strerror(zmq_errno()));
        return false;
    }
    (void)EY_COPY(self->address, endpoint + strlen("tcp://"));
    return true;
}

static int
peers_destroy(EyPeers_t *self)
{
    EyPeers_Stop(self);
    return 0;
}

EyPeers_t *
EyPeers_Start(const void *ctx, const EyPeersOptions_t *options,
              EyMailbox_t *inbox, GError **error)
{
    EyMetrics_Register(Dropped, DROP_COUNT);
    EyMetrics_Register(SentBytes, EY_PEER_KIND_COUNT);
    EyMetrics_Register(Sent, EY_PEER_KIND_COUNT);
    EyMetrics_Register(Received, EY_PEER_KIND_COUNT);
    EyPeers_t *self = EY_NEW(ctx, EyPeers_t);
    self->options = *options;
    self->inbox = inbox;
    self->outbound = EyMailbox_New(self, OUTBOUND_CAPACITY);
    self->zmq = zmq_ctx_new();
    self->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->links =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, peers_destroy);
    (void)zmq_ctx_set(self->zmq, ZMQ_IO_THREADS, 1);
    if (!read_keys(self, error) || !start_listener(self, error) ||
        !open_connector(self, error))
    {
        (void)talloc_free(self);
        return NULL;
    }
    if (pthread_create(&self->thread, NULL, run, self) != 0) {
        abort();
    }
    self->running = true;
    return self;
}

/** Closes a socket after a short wait for the messages that it has queued. */
static void
close_socket(void *socket)
{
    if (socket != NULL) {
        (void)set_int_option(socket, ZMQ_LINGER, STOP_LINGER_MS);
        (void)zmq_close(socket);
    }
}

void
EyPeers_Stop(EyPeers_t *self)
{
    if (self->zmq == NULL) {
        return;
    }
    if (self->running) {
        __atomic_store_n(&self->stopping, true, __ATOMIC_RELEASE);
        Command_t *command = EY_NEW(NULL, Command_t);
        command->kind = COMMAND_STOP;
        if (!EyMailbox_Post(self->outbound, command)) {
            (void)talloc_free(command);
        }
        (void)pthread_join(self->thread, NULL);
        self->running = false;
    }
    g_hash_table_destroy(self->links);
    g_hash_table_destroy(self->entries);
    close_socket(self->connector);
    close_socket(self->listener);
    (void)zmq_ctx_term(self->zmq);
    self->zmq = NULL;
    explicit_bzero(&self->keys, sizeof(self->keys));
}

const char *
EyPeers_ListenAddress(const EyPeers_t *self)
{
    return self->address;
}

/* Functions for other threads */

static bool
post(EyPeers_t *self, Command_t *command)
{
    if (EyMailbox_Post(self->outbound, command)) {
        return true;
    }
    if (command->message != NULL) {
        (void)talloc_steal(NULL, command->message);
    }
    (void)talloc_free(command);
    return false;
}

bool
EyPeers_Send(EyPeers_t *self, EyPeerMessage_t *message)
{
    (void)EY_COPY(message->from, self->options.id);
    message->from_incarnation = self->options.incarnation;
    (void)EY_COPY(message->from_address, self->address);
    Command_t *command = EY_NEW(NULL, Command_t);
    command->kind = COMMAND_SEND;
    command->message = talloc_steal(command, message);
    return post(self, command);
}

bool
EyPeers_KeepLink(EyPeers_t *self, const char *address)
{
    Command_t *command = EY_NEW(NULL, Command_t);
    command->kind = COMMAND_KEEP_LINK;
    (void)EY_COPY(command->address, address);
    return post(self, command);
}

bool
EyPeers_SetPeerAddress(EyPeers_t *self, const char *id, const char *address)
{
    Command_t *command = EY_NEW(NULL, Command_t);
    command->kind = COMMAND_SET_ADDRESS;
    (void)EY_COPY(command->id, id);
    (void)EY_COPY(command->address, address);
    return post(self, command);
}

bool
EyPeers_SetBlocked(EyPeers_t *self, const char *id, bool blocked)
{
    Command_t *command = EY_NEW(NULL, Command_t);
    command->kind = COMMAND_SET_BLOCKED;
    (void)EY_COPY(command->id, id);
    command->blocked = blocked;
    return post(self, command);
}
