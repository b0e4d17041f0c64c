/**
 * Messages that forward a request to a remote region and return its answer.
 * The link may lose messages, so the parts of an answer carry sequence
 * numbers; a gap aborts the answer.
 */
#ifndef EY_GATEWAY_FORWARD_MESSAGE_H
#define EY_GATEWAY_FORWARD_MESSAGE_H

#include "core/random.h"
#include "exchange/answer.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Largest chunk of a body in one message. */
#define EY_FORWARD_CHUNK_MAX_BYTES (64 * 1024)
/** How much longer than the fastest message a request may be on its way. */
#define EY_FORWARD_LATE_MAX_MS INT64_C(500)
/** What a slow link carries of its body meanwhile, in bytes a millisecond. */
#define EY_FORWARD_SLOW_LINK_BYTES_PER_MS 500
/** Flow-control window: most bytes in flight without further credit. */
#define EY_FORWARD_WINDOW_BYTES (256 * 1024)

typedef enum EyForwardMessageKind {
    EY_FORWARD_REQUEST, /* request */
    EY_FORWARD_CANCEL,
    EY_FORWARD_CREDIT, /* grants size_bytes more of the window */
    EY_FORWARD_HEAD,   /* answer without body; CHUNKs follow */
    EY_FORWARD_CHUNK,  /* chunk */
    EY_FORWARD_END,    /* is_whole: whether the body is complete */
    EY_FORWARD_ANSWER, /* answer with its complete body */
    EY_FORWARD_KIND_COUNT
} EyForwardMessageKind_t;

extern const char *const EyForwardMessage_kind_names[EY_FORWARD_KIND_COUNT];

/** One message; the kind determines which fields are used. */
typedef struct EyForwardMessage {
    EyForwardMessageKind_t kind;
    uint64_t attempt; /* number given by the forwarding gateway; identifies the
                         request, and the life of that gateway, see
                         EyForwardMessage_FirstAttempt */
    uint32_t sequence; /* of HEAD, CHUNK and END, starting at 0 */
    EyRequest_t *request;
    uint32_t request_count;
    EyAnswer_t *answer;
    uint32_t answer_count;
    EyBytes_t chunk;
    uint32_t size_bytes;
    bool is_whole;
    uint64_t config_revision; /* REQUEST, HEAD, ANSWER: of the sender's
                                 configuration; 0: of an older build */
} EyForwardMessage_t;

/** True if a request is refused because it was late_ms longer on its way than
 * the fastest message of its sender: its caller may have left, and what the
 * receiver knows of its servers may be as old. */
bool
EyForwardMessage_IsTooLate(int64_t late_ms, uint32_t body_bytes);

extern const EySchema_t EyForwardMessage_schema;

/** The number of a gateway's first attempt, from which it counts on. Random,
 * so that a gateway that starts again gives no number that it gave before: an
 * answer to a request from before the restart may still arrive. */
uint64_t
EyForwardMessage_FirstAttempt(EyRandom_t *random);

#ifdef __cplusplus
}
#endif

#endif
