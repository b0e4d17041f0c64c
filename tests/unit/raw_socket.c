#include "raw_socket.h"

#include "core/clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in
loopback(uint16_t port)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
}

int
raw_listen(uint16_t *port)
{
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = loopback(0);
    socklen_t size_bytes = sizeof(address);
    if (listener < 0 ||
        bind(listener, (struct sockaddr *)&address, size_bytes) != 0 ||
        listen(listener, 64) != 0 ||
        getsockname(listener, (struct sockaddr *)&address, &size_bytes) != 0)
    {
        abort();
    }
    *port = ntohs(address.sin_port);
    return listener;
}

int
raw_connect(uint16_t port)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = loopback(port);
    if (connect(descriptor, (struct sockaddr *)&address, sizeof(address)) != 0)
    {
        (void)close(descriptor);
        return -1;
    }
    return descriptor;
}

bool
raw_send(int socket, const void *data, size_t size_bytes)
{
    const char *rest = data;
    while (size_bytes > 0) {
        ssize_t sent = send(socket, rest, size_bytes, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        rest += sent;
        size_bytes -= (size_t)sent;
    }
    return true;
}

bool
raw_send_text(int socket, const char *text)
{
    return raw_send(socket, text, strlen(text));
}

/** Waits until bytes arrive or the peer closes; false if until_ms passes. */
static bool
wait_readable(int socket, int64_t until_ms)
{
    int64_t left_ms = until_ms - EyClock_NowMs();
    struct pollfd poller = {.fd = socket, .events = POLLIN};
    return left_ms > 0 && poll(&poller, 1, (int)left_ms) > 0;
}

size_t
raw_read_until(int socket, const char *marker, int64_t timeout_ms,
               char text[RAW_TEXT_MAX_BYTES])
{
    int64_t until_ms = EyClock_NowMs() + timeout_ms;
    size_t size_bytes = 0;
    text[0] = '\0';
    while (size_bytes < RAW_TEXT_MAX_BYTES - 1 &&
           (marker == NULL || strstr(text, marker) == NULL) &&
           wait_readable(socket, until_ms))
    {
        ssize_t got = recv(socket, text + size_bytes,
                           RAW_TEXT_MAX_BYTES - 1 - size_bytes, 0);
        if (got <= 0) {
            break;
        }
        size_bytes += (size_t)got;
        text[size_bytes] = '\0';
    }
    return size_bytes;
}

bool
raw_is_closed(int socket, int64_t timeout_ms)
{
    int64_t until_ms = EyClock_NowMs() + timeout_ms;
    char discarded[4096];
    while (wait_readable(socket, until_ms)) {
        if (recv(socket, discarded, sizeof(discarded), 0) <= 0) {
            return true;
        }
    }
    return false;
}

static int
connect_unaccepted(uint16_t port)
{
    const struct sockaddr_in address = loopback(port);
    int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    (void)connect(filler, (const struct sockaddr *)&address, sizeof(address));
    return filler;
}

RawFullListener_t
raw_listen_full(void)
{
    RawFullListener_t self = {.listener = -1};
    self.listener = raw_listen(&self.port);
    (void)listen(self.listener, 0);
    for (int i = 0; i < RAW_FILLERS; i++) {
        self.fillers[i] = connect_unaccepted(self.port);
    }
    return self;
}

void
raw_full_drain(RawFullListener_t *self)
{
    (void)listen(self->listener, SOMAXCONN);
    for (int i = 0; i < RAW_FILLERS; i++) {
        (void)close(self->fillers[i]);
        self->fillers[i] = -1;
    }
}

void
raw_full_close(RawFullListener_t *self)
{
    raw_full_drain(self);
    (void)close(self->listener);
}
