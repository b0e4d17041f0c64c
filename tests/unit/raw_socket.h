/** Loopback sockets for tests that control the exact bytes on the wire. */
#ifndef EY_TESTS_UNIT_RAW_SOCKET_H
#define EY_TESTS_UNIT_RAW_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Buffer size for a text that is read, with NUL. */
#define RAW_TEXT_MAX_BYTES 65536

/** Connections that fill an accept queue of length 0, with some to spare. */
#define RAW_FILLERS 4

/** Listens on a free port of 127.0.0.1. */
int
raw_listen(uint16_t *port);

/** A listener whose accept queue is full: further connection attempts get no
 * reply, as from a machine without power. */
typedef struct RawFullListener {
    int listener;
    uint16_t port;
    int fillers[RAW_FILLERS];
} RawFullListener_t;

RawFullListener_t
raw_listen_full(void);

/** Closes the connections that fill the queue and lengthens it, so that others
 * are accepted. */
void
raw_full_drain(RawFullListener_t *self);

void
raw_full_close(RawFullListener_t *self);

/** Connects to a port of 127.0.0.1; -1 if refused. */
int
raw_connect(uint16_t port);

/** Sends all bytes; false if the connection is closed. */
bool
raw_send(int socket, const void *data, size_t size_bytes);

/** Sends a NUL-terminated text without its NUL. */
bool
raw_send_text(int socket, const char *text);

/**
 * Reads until the text contains marker (NULL: until the peer closes) or
 * timeout_ms have passed; always terminates the text with NUL. Returns the
 * bytes read.
 */
size_t
raw_read_until(int socket, const char *marker, int64_t timeout_ms,
               char text[RAW_TEXT_MAX_BYTES]);

/** True if the peer closes within timeout_ms; bytes that it sends are
 * discarded. */
bool
raw_is_closed(int socket, int64_t timeout_ms);

#endif
