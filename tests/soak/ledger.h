/** What callers and backend servers of a soak saw, and the rules that they
 * found broken. All functions may be called on any thread. */
#ifndef EY_TESTS_SOAK_LEDGER_H
#define EY_TESTS_SOAK_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define LEDGER_ID_SIZE_BYTES 64

typedef enum SoakRule {
    RULE_ORDER,
    RULE_MIXED,
    RULE_TWICE,
    RULE_REFUSED,
    RULE_HOME,
    RULE_BUDGET,
    RULE_CONFIG,
    RULE_GONE,
    RULE_ENDED, /* a process ended by itself, or not when it should */
    RULE_COUNT
} SoakRule_t;

typedef enum SoakRoute {
    ROUTE_RESUMABLE, /* a stream that may be taken up again */
    ROUTE_ONCE_STREAM,
    ROUTE_IDEMPOTENT,
    ROUTE_AT_MOST_ONCE,
    ROUTE_HOME, /* idempotent, bound to the first region */
    ROUTE_COUNT
} SoakRoute_t;

typedef struct RouteInfo {
    const char *name;
    const char *call_kind;
    const char *service;
    bool is_stream;
    bool runs_once;
    bool has_home;
} RouteInfo_t;

extern const RouteInfo_t Soak_routes[ROUTE_COUNT];

/** One attempt of a caller; times are of Harness_NowMs. */
typedef struct SoakCall {
    char id[LEDGER_ID_SIZE_BYTES];
    SoakRoute_t route;
    uint32_t gateway;
    int64_t sent_ms;
    int64_t head_ms;  /* first byte of the answer; 0: none came */
    int64_t ended_ms; /* of the answer or the connection */
    int64_t left_ms;  /* the caller left; 0: it did not */
    long status;      /* 0: no head came */
    bool is_complete;
} SoakCall_t;

/** A request that a server began to run. */
typedef struct SoakRun {
    char id[LEDGER_ID_SIZE_BYTES];
    int64_t began_ms;
    int64_t worked_ms; /* when it last wrote a part of its answer */
    int64_t planned_until_ms;
} SoakRun_t;

/** When a gateway, or all of them, was disturbed. */
typedef struct SoakTrouble {
    uint32_t gateway; /* LEDGER_ALL_GATEWAYS: the control process */
    int64_t from_ms;
    int64_t until_ms;
} SoakTrouble_t;

#define LEDGER_ALL_GATEWAYS UINT32_MAX

typedef struct Ledger {
    GMutex lock;
    GArray *calls;    /* SoakCall_t */
    GArray *runs;     /* SoakRun_t */
    GArray *troubles; /* SoakTrouble_t */
    uint32_t broken[RULE_COUNT];
} Ledger_t;

void
Ledger_Init(Ledger_t *self);

void
Ledger_Clear(Ledger_t *self);

void
Ledger_AddCall(Ledger_t *self, const SoakCall_t *call);

/** A server began to run a request; lasts_ms: until its answer's end. */
void
Ledger_AddRun(Ledger_t *self, const char *id, int64_t lasts_ms);

/** A server wrote a part of the answer to its latest run of a request. */
void
Ledger_NoteWork(Ledger_t *self, const char *id);

/** Returns the number of the trouble, which lasts until it is ended. */
uint32_t
Ledger_BeginTrouble(Ledger_t *self, uint32_t gateway);

void
Ledger_EndTrouble(Ledger_t *self, uint32_t trouble);

/** True if a gateway was in touch all the time from contact_ms before from_ms
 * until until_ms. */
bool
Ledger_IsInTouch(Ledger_t *self, uint32_t gateway, int64_t from_ms,
                 int64_t until_ms);

/** Counts a broken rule and prints the first ones of each rule. */
void
Ledger_Break(Ledger_t *self, SoakRule_t rule, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** Prints one line with the counts; true if no rule was broken. */
bool
Ledger_Report(Ledger_t *self);

#endif
