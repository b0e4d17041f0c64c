#include "core/liveness.h"

#include "core/log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Probes of a silent connection: after so long, so often, so many. */
#define PROBE_AFTER_S 1
#define PROBE_INTERVAL_S 1
#define PROBES 3

typedef struct Option {
    int level;
    int name;
    int value;
} Option_t;

static const Option_t Options[] = {
    {IPPROTO_TCP, TCP_USER_TIMEOUT, EY_LIVENESS_TIMEOUT_MS},
    {SOL_SOCKET, SO_KEEPALIVE, 1},
    {IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S},
    {IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S},
    {IPPROTO_TCP, TCP_KEEPCNT, PROBES},
};

void
EyLiveness_Watch(int socket)
{
    for (size_t i = 0; i < sizeof(Options) / sizeof(Options[0]); i++) {
        const Option_t *option = &Options[i];
        if (setsockopt(socket, option->level, option->name, &option->value,
                       sizeof(option->value)) != 0)
        {
            EY_LOG(EY_LOG_WARNING, "core", "socket_option_refused",
                   EY_LOG_NUMBER("option", option->name),
                   EY_LOG_TEXT("reason", strerror(errno)));
        }
    }
}
