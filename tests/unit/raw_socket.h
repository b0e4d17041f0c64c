/** Loopback sockets for tests: what is sent and read is exact bytes. */
#ifndef EY_TESTS_UNIT_RAW_SOCKET_H
#define EY_TESTS_UNIT_RAW_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest text that is read at once. */
#define RAW_TEXT_MAX_BYTES 65536

/** Connections that fill a queue of no length, and some more. */
#define RAW_FILLERS 4

/** Listens on a free port of 127.0.0.1. */
int
raw_listen(uint16_t *port);

/** A listener whose queue is full: further connections hang, as to a machine
 * without power. */
typedef struct RawFullListener {
    int listener;
    uint16_t port;
    int fillers[RAW_FILLERS];
} RawFullListener_t;

RawFullListener_t
raw_listen_full(void);

/** Takes what waits in the queue off it, so that others come through. */
void
raw_full_drain(RawFullListener_t *self);

void
raw_full_close(RawFullListener_t *self);

/** Connects to a port of 127.0.0.1; -1 if it is refused. */
int
raw_connect(uint16_t port);

/** Sends all bytes; false if the other side is gone. */
bool
raw_send(int socket, const void *data, size_t size_bytes);

/** Sends a text. */
bool
raw_send_text(int socket, const char *text);

/**
 * Reads until the text holds marker (NULL: until the other side closes) or
 * timeout_ms passed; always ends with NUL. Returns the bytes read.
 */
size_t
raw_read_until(int socket, const char *marker, int64_t timeout_ms,
               char text[RAW_TEXT_MAX_BYTES]);

/** True if the other side closes within timeout_ms; what it sends is lost. */
bool
raw_is_closed(int socket, int64_t timeout_ms);

#endif
