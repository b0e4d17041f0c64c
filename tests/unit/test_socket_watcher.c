/* Sockets that are drained after a refusal. */
#include "callers/socket_watcher.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_INTERVAL_US 2000
#define WAITS_MAX 1000
#define TEXT "GET / HTTP/1.1\r\n"

static void
ignore(void *data, uint64_t number)
{
    (void)data;
    (void)number;
}

static void
await_end_of_drain(const EySocketWatcher_t *watcher)
{
    for (int i = 0; i < WAITS_MAX && EySocketWatcher_IsDraining(watcher); i++)
    {
        (void)usleep(WAIT_INTERVAL_US);
    }
    cr_assert_not(EySocketWatcher_IsDraining(watcher));
}

/* Guards against bytes that are taken from another connection: a drain has
 * ended while the connection's own descriptor is still open, and a new
 * connection gets the number of the drain's descriptor. Its request lost its
 * head, and its body was read as a request line. */
Test(socket_watcher, an_ended_drain_reads_from_no_other_connection)
{
    EySocketWatcher_t *watcher = EySocketWatcher_Start(NULL, ignore, NULL);
    int refused[2];
    int other[2];
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, refused), 0);
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, other), 0);
    int next = fcntl(refused[0], F_DUPFD_CLOEXEC, 0);
    (void)close(next);
    EySocketWatcher_Drain(watcher, refused[0]);
    (void)close(refused[1]);
    await_end_of_drain(watcher);
    int reused = fcntl(other[0], F_DUPFD_CLOEXEC, next);
    cr_assert_eq(reused, next, "the number of the drain's descriptor");
    cr_assert_eq(write(other[1], TEXT, sizeof(TEXT)), sizeof(TEXT));
    (void)usleep(100 * WAIT_INTERVAL_US);
    char text[sizeof(TEXT) + 1];
    cr_expect_eq(recv(reused, text, sizeof(text), MSG_DONTWAIT), sizeof(TEXT),
                 "its bytes were read by the drain");
    (void)close(reused);
    (void)close(other[0]);
    (void)close(other[1]);
    (void)close(refused[0]);
    EySocketWatcher_Stop(watcher);
}
