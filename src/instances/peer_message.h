/** The envelope of messages between instances, and its checks. */
#ifndef EY_INSTANCES_PEER_MESSAGE_H
#define EY_INSTANCES_PEER_MESSAGE_H

#include "instances/peers.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Room for the envelope's own fields beside the payload. */
#define EY_PEER_ENVELOPE_MAX_BYTES 1024
/** Largest frame on the wire. */
#define EY_PEER_FRAME_MAX_BYTES                                               \
    (EY_PEER_MESSAGE_MAX_BYTES + EY_PEER_ENVELOPE_MAX_BYTES)

/** Why a received message isn't taken. */
typedef enum EyPeerFault {
    EY_PEER_FAULT_NONE,
    EY_PEER_FAULT_MALFORMED,
    EY_PEER_FAULT_TOO_LARGE,
    EY_PEER_FAULT_VERSION,
    EY_PEER_FAULT_KIND
} EyPeerFault_t;

/** The message as one frame below ctx. */
EyBytes_t
EyPeerMessage_Encode(const EyPeerMessage_t *self, const void *ctx);

/** Reads a frame into a new talloc root; NULL sets fault. */
EyPeerMessage_t *
EyPeerMessage_Decode(const uint8_t *data, size_t size_bytes,
                     EyPeerFault_t *fault);

#ifdef __cplusplus
}
#endif

#endif
