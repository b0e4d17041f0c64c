/** A scripted server on loopback; serve is called for each connection, on a
 * thread of its own. */
#ifndef EY_TESTS_UNIT_RAW_PEER_H
#define EY_TESTS_UNIT_RAW_PEER_H

#include "raw_socket.h"

#include <pthread.h>

#define RAW_PEER_CONNECTIONS_MAX 128

struct RawPeer;

typedef void (*RawServe_t)(struct RawPeer *peer, int socket);

typedef struct RawPeer {
    int listener;
    uint16_t port;
    RawServe_t serve;
    const void *data;
    uint32_t connections; /* atomic */
    uint32_t requests;    /* atomic; counted by raw_peer_read_request */
    int sockets[RAW_PEER_CONNECTIONS_MAX];
    pthread_t threads[RAW_PEER_CONNECTIONS_MAX];
    pthread_t acceptor;
} RawPeer_t;

RawPeer_t *
raw_peer_start(RawServe_t serve, const void *data);

/** Reads one complete request and counts it; false if the connection was
 * closed or nothing came in time. */
bool
raw_peer_read_request(RawPeer_t *peer, int socket,
                      char text[RAW_TEXT_MAX_BYTES]);

uint32_t
raw_peer_requests(RawPeer_t *peer);

uint32_t
raw_peer_connections(RawPeer_t *peer);

void
raw_peer_stop(RawPeer_t *peer);

#endif
