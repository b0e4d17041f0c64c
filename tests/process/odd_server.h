/**
 * Backend servers that give odd answers, by the number at the end of a call's
 * path. They answer as soon as they have the head of a request and may end
 * the connection while its body is being written. A call for a stream that is
 * not resumed gets two events first, and is broken off; the answer that it
 * asks for is given to its resumption.
 */
#ifndef EY_TESTS_PROCESS_ODD_SERVER_H
#define EY_TESTS_PROCESS_ODD_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/** How an answer's connection ends. */
typedef enum OddEnd {
    ODD_END_READ,        /* the request is read whole, then it is closed */
    ODD_END_RESET,       /* nothing more is read; reset after the answer */
    ODD_END_CLOSE,       /* closed in order; nothing more is read */
    ODD_END_CLOSE_RESET, /* closed in order, then reset */
    ODD_END_DRIP         /* drip is sent again and again */
} OddEnd_t;

typedef struct OddAnswer {
    const char *name;
    const char *start;   /* status line without line end */
    const char *headers; /* lines beside the request's id, each with its end */
    const char *body;
    OddEnd_t end;
    const char *drip;
    int64_t drip_interval_ms;
    uint32_t drips_max; /* then the answer's last chunk is sent; 0: no end */
} OddAnswer_t;

typedef struct OddServer OddServer_t;

/** Starts a server on a free port of 127.0.0.1. */
OddServer_t *
OddServer_Start(const OddAnswer_t *answers, uint32_t count);

uint16_t
OddServer_Port(const OddServer_t *self);

/** Times that an answer was given, but for the beginnings of streams. */
uint32_t
OddServer_Given(OddServer_t *self, uint32_t answer);

/** Connections that are open. */
uint32_t
OddServer_Open(OddServer_t *self);

void
OddServer_Stop(OddServer_t *self);

#endif
