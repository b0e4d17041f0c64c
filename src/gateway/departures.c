#include "gateway/departures.h"

#define MS_PER_S 1000

const char *const EyDeparture_wait_names[EY_DEPARTURE_WAIT_COUNT] = {
    [EY_DEPARTURE_QUEUE] = "queue",
    [EY_DEPARTURE_FIRST_EVENT] = "first_event",
    [EY_DEPARTURE_EVENT] = "event",
    [EY_DEPARTURE_BODY] = "body",
};

#define DEPARTURE(kind_text, wait_text)                                       \
    {                                                                         \
        .name = "callers_left_total",                                         \
        .labels = "kind=\"" kind_text "\",waited_for=\"" wait_text "\"",      \
        .help = "Callers that left before the end of their answer"            \
    }
#define DEPARTURES(kind_text)                                                 \
    DEPARTURE(kind_text, "queue"), DEPARTURE(kind_text, "first_event"),       \
        DEPARTURE(kind_text, "event"), DEPARTURE(kind_text, "body")

EyMetric_t
    EyDeparture_metrics[EY_DEPARTURE_KIND_COUNT * EY_DEPARTURE_WAIT_COUNT] = {
        DEPARTURES("stream"),
        DEPARTURES("idempotent"),
        DEPARTURES("once"),
};

EyDepartureWait_t
EyDeparture_Wait(const EyExchange_t *exchange, bool has_content)
{
    if (exchange->state != EY_EXCHANGE_TRYING && !exchange->head_passed) {
        return EY_DEPARTURE_QUEUE;
    }
    if (!has_content) {
        return EY_DEPARTURE_FIRST_EVENT;
    }
    return exchange->request->streamed ? EY_DEPARTURE_EVENT
                                       : EY_DEPARTURE_BODY;
}

EyDepartureKind_t
EyDeparture_Kind(const EyExchange_t *exchange)
{
    if (exchange->request->streamed) {
        return EY_DEPARTURE_STREAM;
    }
    return exchange->is_idempotent ? EY_DEPARTURE_IDEMPOTENT
                                   : EY_DEPARTURE_ONCE;
}

bool
EyDepartures_TakeLine(EyDepartures_t *self, int64_t now_ms, uint32_t *unlogged)
{
    int64_t second = now_ms / MS_PER_S;
    if (second != self->second) {
        self->second = second;
        self->lines = 0;
    }
    if (self->lines >= EY_DEPARTURE_LINES_PER_S) {
        self->unlogged++;
        return false;
    }
    self->lines++;
    *unlogged = self->unlogged;
    self->unlogged = 0;
    return true;
}
