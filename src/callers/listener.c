#include "callers/listener.h"

#include "core/liveness.h"
#include "core/log.h"
#include "core/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* Inactivity after which a connection is closed, unless it waits for its
 * answer. */
#define CONNECTION_IDLE_TIMEOUT_S 120
/* Memory for the head and buffers of one connection. */
#define CONNECTION_MEMORY_BYTES 32768
/* Deeply nested JSON is parsed recursively on this stack. */
#define THREAD_STACK_SIZE_BYTES (4 * 1024 * 1024)
/* The byte of a TCP header that has the flags, and two of them. */
#define TCP_FLAGS_OFFSET_BYTES 13
#define TCP_FLAG_SYN 0x02
#define TCP_FLAG_ACK 0x10
/* Results of a socket filter: how much of a packet is kept. */
#define FILTER_DROP 0
#define FILTER_KEEP UINT32_MAX

static void
log_library(void *data, const char *format, va_list arguments)
{
    (void)data;
    char text[512];
    (void)vsnprintf(text, sizeof(text), format, arguments);
    EY_LOG(EY_LOG_DEBUG, "callers", "microhttpd", EY_LOG_TEXT("text", text));
}

/** Parses IP:port into a socket address; false if it is malformed. */
static bool
make_socket_address(const char *address, struct sockaddr_storage *storage)
{
    char ip[EY_ADDRESS_SIZE_BYTES];
    uint16_t port = 0;
    if (!EyAddress_Split(address, ip, sizeof(ip), &port)) {
        return false;
    }
    memset(storage, 0, sizeof(*storage));
    struct sockaddr_in *ipv4 = (struct sockaddr_in *)storage;
    struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)storage;
    if (inet_pton(AF_INET, ip, &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(port);
        return true;
    }
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(port);
    return inet_pton(AF_INET6, ip, &ipv6->sin6_addr) == 1;
}

static void
on_connection(void *data, struct MHD_Connection *connection, void **place,
              enum MHD_ConnectionNotificationCode code)
{
    EyKeptConnections_t *connections = data;
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (code == MHD_CONNECTION_NOTIFY_STARTED && info != NULL) {
        EyLiveness_EnableKeepalive(info->connect_fd);
        *place = EyKeptConnections_Add(connections, info->connect_fd);
    }
    else if (*place != NULL) {
        EyKeptConnections_Remove(connections, *place);
        *place = NULL;
    }
}

void
EyListener_SetBusy(const EyListenerCallbacks_t *callbacks,
                   struct MHD_Connection *connection, bool is_busy)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    if (info != NULL && info->socket_context != NULL) {
        EyKeptConnections_SetBusy(callbacks->connections, info->socket_context,
                                  is_busy);
    }
}

static struct MHD_Daemon *
start(const struct sockaddr_storage *address,
      const EyListenerCallbacks_t *callbacks)
{
    unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ERROR_LOG |
                         MHD_ALLOW_SUSPEND_RESUME;
    if (address->ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    return MHD_start_daemon(
        flags, 0, NULL, NULL, callbacks->on_access, callbacks->data,
        MHD_OPTION_EXTERNAL_LOGGER, log_library, NULL, MHD_OPTION_SOCK_ADDR,
        (const struct sockaddr *)address, MHD_OPTION_URI_LOG_CALLBACK,
        callbacks->on_request_line, callbacks->data,
        MHD_OPTION_NOTIFY_COMPLETED, callbacks->on_completed, callbacks->data,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, callbacks->connections,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned int)callbacks->connections_max,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_IDLE_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_SIZE_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, (unsigned int)1, MHD_OPTION_END);
}

struct MHD_Daemon *
EyListener_Start(const char *address, const EyListenerCallbacks_t *callbacks)
{
    struct sockaddr_storage socket_address;
    if (!make_socket_address(address, &socket_address)) {
        return NULL;
    }
    return start(&socket_address, callbacks);
}

uint16_t
EyListener_Port(struct MHD_Daemon *daemon)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info != NULL ? info->port : 0;
}

uint32_t
EyListener_ConnectionCount(struct MHD_Daemon *daemon)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info != NULL ? info->num_connections : 0;
}

/** Lets the kernel drop packets that begin a handshake (SYN without ACK). A
 * TCP socket's filter is given packets from the TCP header on, for IPv4 and
 * IPv6 alike. */
static bool
drop_new_handshakes(int descriptor)
{
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET_BYTES),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_FLAG_SYN | TCP_FLAG_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAG_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, FILTER_DROP),
        BPF_STMT(BPF_RET | BPF_K, FILTER_KEEP),
    };
    struct sock_fprog program = {
        .len = sizeof(code) / sizeof(code[0]),
        .filter = code,
    };
    return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}

int
EyListener_Detach(struct MHD_Daemon *daemon)
{
    int descriptor = MHD_quiesce_daemon(daemon);
    if (descriptor >= 0 && !drop_new_handshakes(descriptor)) {
        EY_LOG(EY_LOG_WARNING, "callers", "handshake_filter_refused",
               EY_LOG_TEXT("error", strerror(errno)),
               EY_LOG_TEXT("effect", "connections that are made while the "
                                     "socket is shut down are reset"));
    }
    return descriptor;
}

void
EyListener_AcceptQueued(struct MHD_Daemon *daemon, int descriptor)
{
    struct sockaddr_storage address;
    socklen_t size_bytes = sizeof(address);
    int socket = -1;
    while ((socket = accept4(descriptor, (struct sockaddr *)&address,
                             &size_bytes, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
        (void)MHD_add_connection(daemon, socket, (struct sockaddr *)&address,
                                 size_bytes);
        size_bytes = sizeof(address);
    }
}
