#include "callers/listener.h"

#include "core/liveness.h"
#include "core/log.h"
#include "core/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* Concurrent connections; further ones wait in the kernel's queue. */
#define CONNECTIONS_MAX 8192
/* Inactivity after which a connection is closed, unless it waits for its
 * answer. */
#define CONNECTION_IDLE_TIMEOUT_S 120
/* Memory for the head and buffers of one connection. */
#define CONNECTION_MEMORY_BYTES 32768
/* Deeply nested JSON is parsed recursively on this stack. */
#define THREAD_STACK_SIZE_BYTES (4 * 1024 * 1024)

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
    (void)data;
    (void)place;
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (code == MHD_CONNECTION_NOTIFY_STARTED && info != NULL) {
        EyLiveness_EnableKeepalive(info->connect_fd);
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
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
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
