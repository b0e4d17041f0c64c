/**
 * Refusals of routed calls before they are assigned to a server: by the route
 * table, or for want of one that is known to be the newest. Each is counted by
 * its reason and logged.
 */
#ifndef EY_GATEWAY_ROUTE_REFUSALS_H
#define EY_GATEWAY_ROUTE_REFUSALS_H

#include "core/metrics.h"
#include "exchange/answer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyRouteRefusal {
    EY_ROUTE_REFUSAL_NO_TABLE,
    EY_ROUTE_REFUSAL_HELD,      /* a newer table may be missing */
    EY_ROUTE_REFUSAL_NO_ROUTE,  /* for good: 404 */
    EY_ROUTE_REFUSAL_KEY,       /* for good: 401 */
    EY_ROUTE_REFUSAL_KEY_AGE,   /* strict revocation: the keys may be old */
    EY_ROUTE_REFUSAL_BOUND,     /* the regions that the data is bound to may be
                                 * others */
    EY_ROUTE_REFUSAL_NO_REGION, /* none is allowed by route and account */
    EY_ROUTE_REFUSAL_COUNT,
    EY_ROUTE_REFUSAL_NONE = EY_ROUTE_REFUSAL_COUNT /* the call goes on */
} EyRouteRefusal_t;

extern const char *const EyRouteRefusal_names[EY_ROUTE_REFUSAL_COUNT];

/** Calls refused, by reason; to be registered by the gateway. */
extern EyMetric_t EyRouteRefusal_metrics[EY_ROUTE_REFUSAL_COUNT];

/** Most log lines a second for one reason. */
#define EY_ROUTE_REFUSAL_LINES_PER_S_MAX 20

/** How many lines were written for a reason. */
typedef struct EyRefusalLog {
    int64_t since_ms; /* start of the present second */
    uint32_t lines;   /* in it */
} EyRefusalLog_t;

/** Counts a line; returns false if there were too many in this second. */
bool
EyRefusalLog_Take(EyRefusalLog_t *self, int64_t now_ms);

/** Returns the answer to a refused call. may_reject: the table is known to be
 * the newest; if it isn't, no answer is final. */
EyAnswer_t *
EyRouteRefusal_Answer(EyRouteRefusal_t reason, bool may_reject);

#ifdef __cplusplus
}
#endif

#endif
