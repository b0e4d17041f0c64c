/**
 * Messages by which a request crosses to another region and its answer comes
 * back. The link may lose messages: pieces of an answer are numbered, and a
 * gap breaks the answer off.
 */
#ifndef EY_GATEWAY_FORWARD_MESSAGE_H
#define EY_GATEWAY_FORWARD_MESSAGE_H

#include "exchange/answer.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Largest piece of a body in one message. */
#define EY_FORWARD_CHUNK_MAX_BYTES (64 * 1024)
/** What may be on its way before the receiver has asked for more. */
#define EY_FORWARD_WINDOW_BYTES (256 * 1024)

typedef enum EyForwardKind {
    EY_FORWARD_REQUEST, /* request */
    EY_FORWARD_CANCEL,
    EY_FORWARD_CREDIT, /* size_bytes more may be sent */
    EY_FORWARD_HEAD,   /* answer without body; its body follows in CHUNKs */
    EY_FORWARD_CHUNK,  /* chunk, events */
    EY_FORWARD_END,    /* the body is whole, or not */
    EY_FORWARD_ANSWER, /* answer with its whole body */
    EY_FORWARD_KIND_COUNT
} EyForwardKind_t;

extern const char *const EyForwardMessage_kind_names[EY_FORWARD_KIND_COUNT];

/** One message; which fields count depends on the kind. */
typedef struct EyForwardMessage {
    EyForwardKind_t kind;
    uint64_t attempt;  /* of the sending gateway; names the request */
    uint32_t sequence; /* of HEAD, CHUNK and END, from 0 */
    EyRequest_t *request;
    uint32_t request_count;
    EyAnswer_t *answer;
    uint32_t answer_count;
    EyBytes_t chunk;
    uint32_t size_bytes;
    bool is_whole;
} EyForwardMessage_t;

extern const EySchema_t EyForwardMessage_schema;

#ifdef __cplusplus
}
#endif

#endif
