/**
 * The keys that encrypt messages between instances, from the fleet's secret
 * file. All instances hold one server key pair, derived from the secret, so
 * only who knows the secret knows the public key that a client needs.
 */
#ifndef EY_INSTANCES_PEER_SECRET_H
#define EY_INSTANCES_PEER_SECRET_H

#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Length of a key as Z85 text, with NUL. */
#define EY_PEER_KEY_SIZE_BYTES 41
/** Shortest secret, without white space at its end. */
#define EY_PEER_SECRET_MIN_BYTES 16

typedef struct EyPeerKeys {
    char server_secret[EY_PEER_KEY_SIZE_BYTES];
    char server_public[EY_PEER_KEY_SIZE_BYTES];
} EyPeerKeys_t;

/** Derives the keys; false with EY_PEERS_ERROR_SECRET names the fault. */
bool
EyPeerKeys_Read(EyPeerKeys_t *self, const char *secret_file, GError **error);

/** Makes a zmq socket a server or a client with these keys. */
bool
EyPeerKeys_SetServer(const EyPeerKeys_t *self, void *socket);

bool
EyPeerKeys_SetClient(const EyPeerKeys_t *self, void *socket);

#ifdef __cplusplus
}
#endif

#endif
