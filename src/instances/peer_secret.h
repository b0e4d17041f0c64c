/**
 * CURVE keys for messages between instances, derived from the fleet's secret
 * file. All instances use the same server key pair, derived from the secret.
 * A client needs the server's public key to connect, so only holders of the
 * secret can connect.
 */
#ifndef EY_INSTANCES_PEER_SECRET_H
#define EY_INSTANCES_PEER_SECRET_H

#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of a key in Z85 encoding, with NUL. */
#define EY_PEER_KEY_SIZE_BYTES 41
/** Minimum length of the secret, without trailing white space. */
#define EY_PEER_SECRET_MIN_BYTES 16

typedef struct EyPeerKeys {
    char server_secret[EY_PEER_KEY_SIZE_BYTES];
    char server_public[EY_PEER_KEY_SIZE_BYTES];
} EyPeerKeys_t;

/** Derives the keys from the file; false with EY_PEERS_ERROR_SECRET. */
bool
EyPeerKeys_Read(EyPeerKeys_t *self, const char *secret_file, GError **error);

/** Configures a ZeroMQ socket as CURVE server; false on failure. */
bool
EyPeerKeys_SetServer(const EyPeerKeys_t *self, void *socket);

/** Configures a ZeroMQ socket as CURVE client; false on failure. */
bool
EyPeerKeys_SetClient(const EyPeerKeys_t *self, void *socket);

#ifdef __cplusplus
}
#endif

#endif
