/** A backend server in the test process whose answers have no end: bytes up to
 * a size at once, then some more now and then until the caller closes. */
#ifndef EY_TESTS_PROCESS_ENDLESS_SERVER_H
#define EY_TESTS_PROCESS_ENDLESS_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/** The path of a call ends with the number of its answer. */
typedef struct EndlessAnswer {
    const char *name;
    const char *head;       /* status line, headers and what begins the body */
    const char *repeated;   /* sent again and again; "" for a whole answer */
    uint32_t at_once_bytes; /* of it, before the slow rest */
    bool is_stream;         /* asked for by a route of streams */
    bool is_silent;         /* sends nothing after the head */
} EndlessAnswer_t;

typedef struct EndlessServer EndlessServer_t;

EndlessServer_t *
EndlessServer_Start(const EndlessAnswer_t *answers, uint32_t count);

uint16_t
EndlessServer_Port(const EndlessServer_t *self);

/** Connections that are open at this moment. */
uint32_t
EndlessServer_Open(const EndlessServer_t *self);

/** Closes all connections and frees the server. */
void
EndlessServer_Stop(EndlessServer_t *self);

#endif
