#include "instances/peer_secret.h"

#include <string.h>
#include <zmq.h>

#define KEY_BYTES 32

/* Domain separation: other uses of the secret must derive other keys. */
static const char KeyContext[] = "ebonyyard peers 1";

static bool
refuse(GError **error, const char *secret_file, const char *expected)
{
    g_set_error(error, EY_PEERS_ERROR, EY_PEERS_ERROR_SECRET,
                "peer secret file %s: expected %s", secret_file, expected);
    return false;
}

static bool
derive(EyPeerKeys_t *self, const char *secret, gsize size_bytes)
{
    uint8_t key[KEY_BYTES];
    gsize key_bytes = sizeof(key);
    GChecksum *hash = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(hash, (const guchar *)KeyContext, sizeof(KeyContext));
    g_checksum_update(hash, (const guchar *)secret, (gssize)size_bytes);
    g_checksum_get_digest(hash, key, &key_bytes);
    g_checksum_free(hash);
    bool ok = zmq_z85_encode(self->server_secret, key, key_bytes) != NULL &&
              zmq_curve_public(self->server_public, self->server_secret) == 0;
    explicit_bzero(key, sizeof(key));
    return ok;
}

bool
EyPeerKeys_Read(EyPeerKeys_t *self, const char *secret_file, GError **error)
{
    char *secret = NULL;
    gsize size_bytes = 0;
    if (!g_file_get_contents(secret_file, &secret, &size_bytes, error)) {
        EyError_Wrap(error, EY_PEERS_ERROR, EY_PEERS_ERROR_SECRET,
                     "peer secret file");
        return false;
    }
    while (size_bytes > 0 && g_ascii_isspace(secret[size_bytes - 1])) {
        size_bytes--;
    }
    bool ok = true;
    if (size_bytes < EY_PEER_SECRET_MIN_BYTES) {
        ok = refuse(error, secret_file, "at least 16 bytes");
    }
    else if (zmq_has("curve") == 0 || !derive(self, secret, size_bytes)) {
        ok = refuse(error, secret_file, "a ZeroMQ library with CURVE");
    }
    explicit_bzero(secret, size_bytes);
    g_free(secret);
    return ok;
}

bool
EyPeerKeys_SetServer(const EyPeerKeys_t *self, void *socket)
{
    const int32_t is_server = 1;
    return zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &is_server,
                          sizeof(is_server)) == 0 &&
           zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, self->server_secret,
                          EY_PEER_KEY_SIZE_BYTES) == 0;
}

bool
EyPeerKeys_SetClient(const EyPeerKeys_t *self, void *socket)
{
    char client_public[EY_PEER_KEY_SIZE_BYTES];
    char client_secret[EY_PEER_KEY_SIZE_BYTES];
    if (zmq_curve_keypair(client_public, client_secret) != 0) {
        return false;
    }
    bool ok = zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, self->server_public,
                             EY_PEER_KEY_SIZE_BYTES) == 0 &&
              zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, client_public,
                             EY_PEER_KEY_SIZE_BYTES) == 0 &&
              zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, client_secret,
                             EY_PEER_KEY_SIZE_BYTES) == 0;
    explicit_bzero(client_secret, sizeof(client_secret));
    return ok;
}
