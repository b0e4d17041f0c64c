/** Encoding, decoding and validation of messages between instances. */
#ifndef EY_INSTANCES_PEER_MESSAGE_H
#define EY_INSTANCES_PEER_MESSAGE_H

#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum size of the envelope without the payload. */
#define EY_PEER_ENVELOPE_MAX_BYTES 1024
/** Maximum size of a ZeroMQ frame. */
#define EY_PEER_FRAME_MAX_BYTES                                               \
    (EY_PEER_MESSAGE_MAX_BYTES + EY_PEER_ENVELOPE_MAX_BYTES)

/** Why a received message is rejected. */
typedef enum EyPeerFault {
    EY_PEER_FAULT_NONE,
    EY_PEER_FAULT_MALFORMED,
    EY_PEER_FAULT_TOO_LARGE,
    EY_PEER_FAULT_VERSION,
    EY_PEER_FAULT_KIND
} EyPeerFault_t;

/** Encodes the message as one frame, a child of ctx. */
EyBytes_t
EyPeerMessage_Encode(const EyPeerMessage_t *self, const void *ctx);

/** Decodes a frame into a new talloc root. Sets fault if it returns NULL. */
EyPeerMessage_t *
EyPeerMessage_Decode(const uint8_t *data, size_t size_bytes,
                     EyPeerFault_t *fault);

#ifdef __cplusplus
}
#endif

#endif
