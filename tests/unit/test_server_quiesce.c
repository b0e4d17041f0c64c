/* Calls that arrive while a server stops accepting: a connection that was
 * established must be answered, also when its handshake ends at that moment.
 */
#include "server_fixture.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define CALLERS 16
#define ROUNDS 100
/* Time in which the callers reach their full rate. */
#define WARM_UP_US 3000
/* A connection attempt that gets no reply for so long is given up, so that a
 * round doesn't wait for the kernel's first repeat after a second. */
#define CONNECT_TIMEOUT_US 50000

typedef struct Caller {
    pthread_t thread;
    uint16_t port;
    uint32_t answered;
    uint32_t lost; /* connected, but not answered */
    char last_error[64];
} Caller_t;

/** True if the call on the new connection is answered whole. */
static bool
is_answered(Caller_t *caller, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    errno = 0;
    (void)raw_send_text(socket,
                        "GET /v1/services/seats/free HTTP/1.1\r\nHost: a\r\n"
                        "Connection: close\r\n\r\n");
    (void)raw_read_until(socket, "fine", SERVER_WAIT_MS, text);
    if (status_of(text) == 200 && strstr(text, "fine") != NULL) {
        return true;
    }
    (void)snprintf(caller->last_error, sizeof(caller->last_error), "%s",
                   strerror(errno));
    return false;
}

/** Connects to the server; -1 if it refuses or doesn't reply. */
static int
connect_or_give_up(uint16_t port)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval timeout = {.tv_usec = CONNECT_TIMEOUT_US};
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    (void)setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout,
                     sizeof(timeout));
    if (connect(descriptor, (struct sockaddr *)&address, sizeof(address)) == 0)
    {
        return descriptor;
    }
    (void)close(descriptor);
    return -1;
}

/** Calls without pause until the server accepts no more connections. */
static void *
call_until_stopped(void *data)
{
    Caller_t *caller = data;
    int socket = -1;
    while ((socket = connect_or_give_up(caller->port)) >= 0) {
        if (is_answered(caller, socket)) {
            caller->answered++;
        }
        else {
            caller->lost++;
        }
        (void)close(socket);
    }
    return NULL;
}

/** Quiesces one server under load and adds up what its callers saw. */
static void
play_round(Caller_t *total)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    Caller_t callers[CALLERS];
    for (uint32_t i = 0; i < CALLERS; i++) {
        callers[i] = (Caller_t){.port = EyServer_Port(fixture->server)};
        cr_assert_eq(pthread_create(&callers[i].thread, NULL,
                                    call_until_stopped, &callers[i]),
                     0);
    }
    (void)usleep(WARM_UP_US);
    EyServer_Quiesce(fixture->server);
    for (uint32_t i = 0; i < CALLERS; i++) {
        (void)pthread_join(callers[i].thread, NULL);
        total->answered += callers[i].answered;
        total->lost += callers[i].lost;
        if (callers[i].lost > 0) {
            memcpy(total->last_error, callers[i].last_error,
                   sizeof(total->last_error));
        }
    }
    server_fixture_free(fixture);
}

Test(server_quiesce, no_established_connection_is_lost, .timeout = 120)
{
    Caller_t total = {.answered = 0};
    for (uint32_t i = 0; i < ROUNDS; i++) {
        play_round(&total);
    }
    cr_expect_eq(total.lost, 0, "%u calls lost, %u answered; last error: %s",
                 total.lost, total.answered, total.last_error);
    cr_expect_gt(total.answered, 0);
}
