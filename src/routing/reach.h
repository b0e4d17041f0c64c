/**
 * Whether this gateway reaches the backend servers of a target (a model or a
 * service, by EyPool_Key), judged by its own attempts. A gateway that can
 * connect to few of them, while others of its region reach them, must neither
 * blame the servers nor send its callers there. It has no sockets, clock or
 * randomness.
 *
 * A connect that failed, with nothing sent, counts as evidence; an answer that
 * is only late doesn't, so that a silent server alone changes nothing. The end
 * of a single server fails its own connects only, and answers of other servers
 * outweigh them. When all servers have crashed the verdict is wrong, but
 * harmless: other gateways don't reach them either and report it at once.
 */
#ifndef EY_ROUTING_REACH_H
#define EY_ROUTING_REACH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A failed connect to a server is evidence for this long. */
#define EY_REACH_EVIDENCE_MS 5000
/** Failed connects in a row to a single server, and the time since the first
 * of them, that are enough if no other server answered in that time: a request
 * that it fails is retried at the others, so it is the only one. */
#define EY_REACH_SINGLE_FAILURES_MIN 2
#define EY_REACH_SINGLE_MS 500
/** Failed servers for each one that answered since. */
#define EY_REACH_FAILED_PER_ANSWERED 2
/** Interval of requests that try the own way while it is broken. */
#define EY_REACH_PROBE_INTERVAL_MS 2000
/** The same once a probe has been answered, and if there is no other way: a
 * request that isn't tried is refused then. */
#define EY_REACH_FAST_PROBE_INTERVAL_MS 250
/** Answers in a row after which the own way is sound; doubled each time that
 * it breaks again within EY_REACH_FLAP_MS. */
#define EY_REACH_ANSWERS_NEEDED 1
#define EY_REACH_ANSWERS_NEEDED_MAX 16
#define EY_REACH_FLAP_MS 15000

typedef struct EyReach EyReach_t;

typedef enum EyReachChange {
    EY_REACH_UNCHANGED,
    EY_REACH_BROKE,
    EY_REACH_RETURNED
} EyReachChange_t;

/** What a verdict was based on. */
typedef struct EyReachEvidence {
    uint32_t failed;   /* servers with failed connects */
    uint32_t answered; /* servers that answered since the first failure */
    int64_t span_ms;   /* since that failure */
} EyReachEvidence_t;

EyReach_t *
EyReach_New(const void *ctx);

/** A connect to the server failed; nothing was sent. known: servers of the
 * target in all; while most of them weren't tried, some may just have ended.
 */
EyReachChange_t
EyReach_Failed(EyReach_t *self, int64_t now_ms, const char *target,
               const char *server, uint32_t known);

/** The server answered. */
EyReachChange_t
EyReach_Answered(EyReach_t *self, int64_t now_ms, const char *target,
                 const char *server);

/** True if the last attempt at the server failed to connect. */
bool
EyReach_HasFailed(const EyReach_t *self, const char *target,
                  const char *server);

/** What the last verdict that the way is broken was based on. */
EyReachEvidence_t
EyReach_Evidence(const EyReach_t *self, const char *target);

/** True if requests for the target should go another way. */
bool
EyReach_IsBroken(const EyReach_t *self, const char *target);

/** True if the way is broken and the next request should try it nevertheless;
 * counts as that probe. */
bool
EyReach_TakeProbe(EyReach_t *self, int64_t now_ms, const char *target,
                  bool has_other_way);

/** Calls visit with each target whose way is broken. */
void
EyReach_EachBroken(const EyReach_t *self,
                   void (*visit)(void *data, const char *target), void *data);

#ifdef __cplusplus
}
#endif

#endif
