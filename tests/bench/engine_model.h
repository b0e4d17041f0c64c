/**
 * Simulation parts for the routing experiments: an event queue, and the
 * service times of one replica with slots, a FIFO queue and a prefix cache.
 */
#ifndef EY_TESTS_BENCH_ENGINE_MODEL_H
#define EY_TESTS_BENCH_ENGINE_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ENGINE_PREFIXES 16

typedef struct Event {
    double at_ms;
    uint64_t serial; /* order of events with the same time */
    int32_t kind;
    uint32_t index;
    uint64_t number;
} Event_t;

typedef struct EventQueue {
    GArray *heap;
    uint64_t last_serial;
} EventQueue_t;

void
EventQueue_Push(EventQueue_t *self, Event_t event);

/** Takes the earliest event; false if there is none. */
bool
EventQueue_Pop(EventQueue_t *self, Event_t *event);

typedef struct Engine {
    uint32_t slots;
    double speed;
    double unit_ms;
    double slow_factor; /* 1.0: runs at its announced speed */
    bool is_up;
    uint32_t running;
    GQueue *queue; /* waiting jobs, by number */
    uint64_t prefixes[ENGINE_PREFIXES];
    uint32_t next_prefix;
    double busy_ms; /* busy time summed over all slots */
} Engine_t;

/** Time to run work now; also stores the prefix in the cache. */
double
Engine_RunMs(Engine_t *self, double tokens, double prompt_units,
             uint64_t prefix);

void
Engine_ClearCache(Engine_t *self);

#endif
