#include "core/liveness.h"

#include "core/log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Keepalive: idle time before the first probe, interval between probes, and
 * number of unanswered probes that close the connection. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

typedef struct SocketOption {
    int level;
    int name;
    int value;
} SocketOption_t;

/* Closes a connection whose data stays unacknowledged, and also one whose peer
 * is alive but doesn't read. */
static const SocketOption_t UserTimeout = {IPPROTO_TCP, TCP_USER_TIMEOUT,
                                           EY_LIVENESS_USER_TIMEOUT_MS};

static const SocketOption_t KeepaliveOptions[] = {
    {SOL_SOCKET, SO_KEEPALIVE, 1},
    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S},
    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES},
};

static void
set_option(int socket, const SocketOption_t *option)
{
    if (setsockopt(socket, option->level, option->name, &option->value,
                   sizeof(option->value)) != 0)
    {
        EY_LOG(EY_LOG_WARNING, "core", "socket_option_refused",
               EY_LOG_NUMBER("option", option->name),
               EY_LOG_TEXT("reason", strerror(errno)));
    }
}

void
EyLiveness_EnableKeepalive(int socket)
{
    for (size_t i = 0;
         i < sizeof(KeepaliveOptions) / sizeof(KeepaliveOptions[0]); i++)
    {
        set_option(socket, &KeepaliveOptions[i]);
    }
}

void
EyLiveness_EnableUserTimeout(int socket)
{
    EyLiveness_EnableKeepalive(socket);
    set_option(socket, &UserTimeout);
}
