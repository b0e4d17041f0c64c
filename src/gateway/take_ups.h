/**
 * Streams that callers take up again: which version of a server's software
 * began them. A gateway remembers the streams that it has begun and tells the
 * nearest control processes of them; a gateway that doesn't know a stream asks
 * all control processes. If none knows it, the take-up is refused: another
 * version might go on with it.
 */
#ifndef EY_GATEWAY_TAKE_UPS_H
#define EY_GATEWAY_TAKE_UPS_H

#include "exchange/request.h"
#include "exchange/stream_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Control processes that are told of each stream. */
#define EY_TAKE_UPS_KEEPERS 3
/** Streams are told of after at most this time. */
#define EY_TAKE_UPS_TELL_MS 100
/** A take-up is refused if its version isn't known after this time. */
#define EY_TAKE_UPS_ASK_MAX_MS 400
/** Most take-ups that wait for an answer; further ones are refused. */
#define EY_TAKE_UPS_WAITING_MAX 1024

typedef struct EyTakeUpsHooks {
    void (*send)(void *data, const char *to, const EyStreamMessage_t *message);
    /** The answer to EyTakeUps_Begin: the request has its begun_by set, or its
     * version isn't known. The receiver takes the request over. */
    void (*decided)(void *data, EyRequest_t *request, bool is_known);
    void *data;
} EyTakeUpsHooks_t;

typedef struct EyTakeUps EyTakeUps_t;

EyTakeUps_t *
EyTakeUps_New(const void *ctx, uint64_t seed, const EyTakeUpsHooks_t *hooks);

/** Sets the control processes, nearest first. */
void
EyTakeUps_SetControls(EyTakeUps_t *self, const EyName_t *controls,
                      uint32_t count);

/** True if a request takes a stream up, and which version began it has to be
 * found out before it is routed. */
bool
EyTakeUps_Concerns(const EyRequest_t *request);

/** Finds the version of a request that EyTakeUps_Concerns; takes it over and
 * calls the decided hook, within this call or later. */
void
EyTakeUps_Begin(EyTakeUps_t *self, int64_t now_ms, EyRequest_t *request);

/** A caller has disconnected: drops its request if it waits. */
void
EyTakeUps_Cancel(EyTakeUps_t *self, uint64_t request_number);

/** A stream has begun to answer a request at a version. */
void
EyTakeUps_Began(EyTakeUps_t *self, int64_t now_ms, const EyRequest_t *request,
                const EyServerVersion_t *version);

void
EyTakeUps_Receive(EyTakeUps_t *self, int64_t now_ms, const char *from,
                  const EyStreamMessage_t *message);

/** Runs the timers; call no later than at EyTakeUps_DueMs. */
void
EyTakeUps_Tick(EyTakeUps_t *self, int64_t now_ms);

/** When the next timer is due; INT64_MAX: none is. */
int64_t
EyTakeUps_DueMs(const EyTakeUps_t *self);

/** How many take-ups wait for an answer. */
uint32_t
EyTakeUps_Waiting(const EyTakeUps_t *self);

#ifdef __cplusplus
}
#endif

#endif
