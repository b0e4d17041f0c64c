/**
 * Messages of kind EY_PEER_STREAM: gateways report to control processes
 * which version began which stream, and query them.
 */
#ifndef EY_EXCHANGE_STREAM_MESSAGE_H
#define EY_EXCHANGE_STREAM_MESSAGE_H

#include "exchange/stream_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most streams in one message. */
#define EY_STREAM_RECORDS_MAX 1024

typedef enum EyStreamMessageKind {
    EY_STREAM_RECORDS, /* records */
    EY_STREAM_QUERY,   /* number, key */
    EY_STREAM_ANSWER,  /* number, version; none: not known there */
    EY_STREAM_MESSAGE_KIND_COUNT
} EyStreamMessageKind_t;

typedef struct EyStreamMessage {
    EyStreamMessageKind_t kind;
    EyStreamRecord_t *records;
    uint32_t record_count;
    uint64_t number; /* chosen by the asking gateway, never used twice */
    uint64_t key;
    EyServerVersion_t version;
} EyStreamMessage_t;

extern const EySchema_t EyStreamMessage_schema;

#ifdef __cplusplus
}
#endif

#endif
