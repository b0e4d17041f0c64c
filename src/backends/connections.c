#include "backends/connections.h"

#include "core/liveness.h"
#include "core/log.h"
#include "core/memory.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Free handles kept for later calls. */
#define FREE_HANDLES_MAX 64
/* Longest local-port/remote-ip/remote-port text, with NUL. */
#define KEY_SIZE_BYTES (INET6_ADDRSTRLEN + 16)

/** One socket; its key is set once it is connected. */
typedef struct Entry {
    EyConnections_t *connections;
    int descriptor;
    char key[KEY_SIZE_BYTES];
    uint64_t use;            /* number of the last one; 0: none */
    struct tevent_fd *event; /* while it is unused; NULL: not watched */
} Entry_t;

struct EyConnections {
    struct tevent_context *loop;
    int closed_socket; /* has no connection */
    uint64_t last_use;
    GHashTable *by_descriptor; /* owns the entries */
    GHashTable *by_key;        /* entries with a key */
    GQueue without_key;        /* of Entry_t */
    GQueue free_handles;       /* of CURL */
};

static void
free_entry(gpointer data)
{
    Entry_t *entry = data;
    talloc_free(entry->event);
    g_free(entry);
}

static int
connections_destroy(EyConnections_t *self)
{
    CURL *easy = NULL;
    while ((easy = g_queue_pop_head(&self->free_handles)) != NULL) {
        curl_easy_cleanup(easy);
    }
    g_queue_clear(&self->without_key);
    g_hash_table_destroy(self->by_key);
    g_hash_table_destroy(self->by_descriptor);
    (void)close(self->closed_socket);
    return 0;
}

EyConnections_t *
EyConnections_New(const void *ctx, struct tevent_context *loop)
{
    EyConnections_t *self = EY_NEW(ctx, EyConnections_t);
    self->loop = loop;
    self->closed_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (self->closed_socket < 0) {
        abort();
    }
    self->by_descriptor =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_entry);
    self->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&self->without_key);
    g_queue_init(&self->free_handles);
    talloc_set_destructor(self, connections_destroy);
    return self;
}

static void
remove_socket(EyConnections_t *self, int descriptor)
{
    Entry_t *entry =
        g_hash_table_lookup(self->by_descriptor, GINT_TO_POINTER(descriptor));
    if (entry == NULL) {
        return;
    }
    if (entry->key[0] == '\0') {
        (void)g_queue_remove(&self->without_key, entry);
    }
    else if (g_hash_table_lookup(self->by_key, entry->key) == entry) {
        (void)g_hash_table_remove(self->by_key, entry->key);
    }
    (void)g_hash_table_remove(self->by_descriptor,
                              GINT_TO_POINTER(descriptor));
}

static curl_socket_t
on_open(void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
    (void)purpose;
    EyConnections_t *self = data;
    int descriptor = socket(address->family, address->socktype | SOCK_CLOEXEC,
                            address->protocol);
    if (descriptor < 0) {
        return CURL_SOCKET_BAD;
    }
    /* libcurl closes a socket that isn't connected yet without calling
     * on_close, and the kernel then reuses its descriptor. */
    remove_socket(self, descriptor);
    EyLiveness_EnableUserTimeout(descriptor);
    Entry_t *entry = g_new0(Entry_t, 1);
    entry->connections = self;
    entry->descriptor = descriptor;
    (void)g_hash_table_insert(self->by_descriptor, GINT_TO_POINTER(descriptor),
                              entry);
    g_queue_push_tail(&self->without_key, entry);
    return descriptor;
}

static int
on_close(void *data, curl_socket_t descriptor)
{
    EyConnections_t *self = data;
    remove_socket(self, descriptor);
    return close(descriptor);
}

CURL *
EyConnections_AcquireHandle(EyConnections_t *self)
{
    CURL *easy = g_queue_pop_tail(&self->free_handles);
    if (easy == NULL) {
        easy = curl_easy_init();
    }
    if (easy != NULL) {
        (void)curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
        (void)curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, self);
        (void)curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
        (void)curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, self);
    }
    return easy;
}

void
EyConnections_ReleaseHandle(EyConnections_t *self, CURL *easy)
{
    if (g_queue_get_length(&self->free_handles) >= FREE_HANDLES_MAX) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    g_queue_push_tail(&self->free_handles, easy);
}

/** Local port of the socket; 0 if it isn't connected. */
static int
local_port_of(int descriptor)
{
    union {
        struct sockaddr plain;
        struct sockaddr_in ipv4;
        struct sockaddr_in6 ipv6;
    } address = {.ipv6 = {.sin6_family = AF_UNSPEC}};
    socklen_t size_bytes = sizeof(address);
    if (getpeername(descriptor, &address.plain, &size_bytes) != 0) {
        return 0;
    }
    size_bytes = sizeof(address);
    if (getsockname(descriptor, &address.plain, &size_bytes) != 0) {
        return 0;
    }
    return address.plain.sa_family == AF_INET6 ? ntohs(address.ipv6.sin6_port)
                                               : ntohs(address.ipv4.sin_port);
}

/** Finds the new socket with this local port and sets its key; NULL if there
 * is none. */
static Entry_t *
assign_key(EyConnections_t *self, int local_port, const char *key)
{
    for (GList *at = self->without_key.head; at != NULL; at = at->next) {
        Entry_t *entry = at->data;
        if (local_port_of(entry->descriptor) == local_port) {
            (void)g_strlcpy(entry->key, key, sizeof(entry->key));
            (void)g_hash_table_replace(self->by_key, entry->key, entry);
            g_queue_delete_link(&self->without_key, at);
            return entry;
        }
    }
    return NULL;
}

/** True if a kept connection is open and has no unread bytes. */
static bool
is_clean(const Entry_t *entry)
{
    char byte = 0;
    ssize_t got =
        recv(entry->descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
EyConnections_Begin(EyConnections_t *self, int local_port,
                    const char *remote_ip, int remote_port,
                    EyConnectionUse_t *use)
{
    char key[KEY_SIZE_BYTES];
    (void)snprintf(key, sizeof(key), "%d/%s/%d", local_port, remote_ip,
                   remote_port);
    Entry_t *entry = g_hash_table_lookup(self->by_key, key);
    bool is_first = entry == NULL;
    if (is_first) {
        entry = assign_key(self, local_port, key);
        if (entry == NULL) {
            return false;
        }
    }
    else if (!is_clean(entry)) {
        return false;
    }
    TALLOC_FREE(entry->event);
    entry->use = ++self->last_use;
    *use = (EyConnectionUse_t){
        .descriptor = entry->descriptor,
        .number = entry->use,
        .is_first = is_first,
    };
    return true;
}

/** Closes a kept connection on which the server has sent bytes or which it has
 * closed. libcurl owns the descriptor and closes it later: until then it is
 * that of a socket without a connection, which libcurl takes for a dead one.
 */
static void
on_unused_readable(struct tevent_context *loop, struct tevent_fd *event,
                   uint16_t flags, void *data)
{
    (void)loop;
    (void)event;
    (void)flags;
    Entry_t *entry = data;
    EyConnections_t *self = entry->connections;
    TALLOC_FREE(entry->event);
    EY_LOG(EY_LOG_DEBUG, "backends", "kept_connection_closed",
           EY_LOG_TEXT("connection", entry->key));
    /* A new connection may have the same addresses from now on. */
    (void)g_hash_table_remove(self->by_key, entry->key);
    entry->key[0] = '\0';
    if (dup3(self->closed_socket, entry->descriptor, O_CLOEXEC) < 0) {
        EY_LOG(EY_LOG_WARNING, "backends", "kept_connection_not_closed",
               EY_LOG_NUMBER("error", errno));
    }
}

void
EyConnections_End(EyConnections_t *self, const EyConnectionUse_t *use)
{
    if (use->number == 0) {
        return;
    }
    Entry_t *entry = g_hash_table_lookup(self->by_descriptor,
                                         GINT_TO_POINTER(use->descriptor));
    if (entry == NULL || entry->use != use->number) {
        return; /* closed, or used by another call already */
    }
    entry->event = tevent_add_fd(self->loop, self, entry->descriptor,
                                 TEVENT_FD_READ, on_unused_readable, entry);
    if (entry->event == NULL) {
        abort();
    }
}
