/**
 * Callers that leave before the end of their answer: what they waited for, and
 * how many lines of the log they get. Without sockets, threads or clocks.
 */
#ifndef EY_GATEWAY_DEPARTURES_H
#define EY_GATEWAY_DEPARTURES_H

#include "core/metrics.h"
#include "exchange/exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Lines a second at most; the counters have the others. */
#define EY_DEPARTURE_LINES_PER_S 20

/** What a caller waited for. */
typedef enum EyDepartureWait {
    EY_DEPARTURE_QUEUE,       /* a decision of the router, or a claim */
    EY_DEPARTURE_FIRST_EVENT, /* the start of the answer */
    EY_DEPARTURE_EVENT,       /* a further event of a stream */
    EY_DEPARTURE_BODY,        /* the rest of another answer */
    EY_DEPARTURE_WAIT_COUNT
} EyDepartureWait_t;

/** Kind of call, as in the route table. */
typedef enum EyDepartureKind {
    EY_DEPARTURE_STREAM,
    EY_DEPARTURE_IDEMPOTENT,
    EY_DEPARTURE_ONCE, /* must not run twice */
    EY_DEPARTURE_KIND_COUNT
} EyDepartureKind_t;

extern const char *const EyDeparture_wait_names[EY_DEPARTURE_WAIT_COUNT];

/** Counters, indexed by kind * EY_DEPARTURE_WAIT_COUNT + wait. */
extern EyMetric_t
    EyDeparture_metrics[EY_DEPARTURE_KIND_COUNT * EY_DEPARTURE_WAIT_COUNT];

/** Bounds the volume of the log. */
typedef struct EyDepartures {
    int64_t second; /* in which lines were counted last */
    uint32_t lines;
    uint32_t unlogged; /* departures since the last line */
} EyDepartures_t;

/** What the caller of the exchange waits for; has_content: some of the
 * answer's content was passed on. */
EyDepartureWait_t
EyDeparture_Wait(const EyExchange_t *exchange, bool has_content);

EyDepartureKind_t
EyDeparture_Kind(const EyExchange_t *exchange);

/** True if a departure now gets a line; sets how many before it got none. */
bool
EyDepartures_TakeLine(EyDepartures_t *self, int64_t now_ms,
                      uint32_t *unlogged);

#ifdef __cplusplus
}
#endif

#endif
