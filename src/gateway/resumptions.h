/**
 * Finds the version of the server software that began a stream which a caller
 * resumes. A gateway stores the streams that it has begun and reports them to
 * the nearest control processes; a gateway that doesn't have a stream asks all
 * control processes. If none has it, the request is refused, because a server
 * of another version might continue the stream.
 */
#ifndef EY_GATEWAY_RESUMPTIONS_H
#define EY_GATEWAY_RESUMPTIONS_H

#include "exchange/request.h"
#include "exchange/stream_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of control processes that each stream is reported to. */
#define EY_RESUMPTIONS_COPIES 3
/** Longest delay of a report. */
#define EY_RESUMPTIONS_REPORT_MS 100
/** A resumption is refused if its version isn't known after this time. */
#define EY_RESUMPTIONS_ASK_MAX_MS 400
/** Most resumptions that wait for an answer; further ones are refused. */
#define EY_RESUMPTIONS_WAITING_MAX 1024

typedef struct EyResumptionsHooks {
    void (*send)(void *data, const char *to, const EyStreamMessage_t *message);
    /** The answer to EyResumptions_Begin: the request has its begun_by set, or
     * its version isn't known. The receiver takes the request over. */
    void (*decided)(void *data, EyRequest_t *request, bool is_known);
    void *data;
} EyResumptionsHooks_t;

typedef struct EyResumptions EyResumptions_t;

EyResumptions_t *
EyResumptions_New(const void *ctx, uint64_t seed,
                  const EyResumptionsHooks_t *hooks);

/** Sets the control processes, nearest first. */
void
EyResumptions_SetControls(EyResumptions_t *self, const EyName_t *controls,
                          uint32_t count);

/** True if a request takes a stream up, and which version began it has to be
 * found out before it is routed. */
bool
EyResumptions_Concerns(const EyRequest_t *request);

/** Finds the version of a request that EyResumptions_Concerns; takes it over
 * and calls the decided hook, within this call or later. */
void
EyResumptions_Begin(EyResumptions_t *self, int64_t now_ms,
                    EyRequest_t *request);

/** A caller has disconnected: drops its request if it waits. */
void
EyResumptions_Cancel(EyResumptions_t *self, uint64_t request_number);

/** A stream has begun to answer a request at a version. */
void
EyResumptions_Began(EyResumptions_t *self, int64_t now_ms,
                    const EyRequest_t *request,
                    const EyServerVersion_t *version);

void
EyResumptions_Receive(EyResumptions_t *self, int64_t now_ms, const char *from,
                      const EyStreamMessage_t *message);

/** Runs the timers; call no later than at EyResumptions_DueMs. */
void
EyResumptions_Tick(EyResumptions_t *self, int64_t now_ms);

/** When the next timer is due; INT64_MAX: none is. */
int64_t
EyResumptions_DueMs(const EyResumptions_t *self);

/** How many resumptions wait for an answer. */
uint32_t
EyResumptions_Waiting(const EyResumptions_t *self);

#ifdef __cplusplus
}
#endif

#endif
