/** One attempt of a caller on a connection that is kept. */
#ifndef EY_TESTS_SOAK_EXCHANGE_CALL_H
#define EY_TESTS_SOAK_EXCHANGE_CALL_H

#include "soak/answer_reader.h"
#include "soak/ledger.h"

typedef struct CallPlan {
    const char *story;
    uint32_t last_event;    /* that the caller has; 0: none */
    const char *resumes;    /* the attempt that began the stream; "": none */
    int64_t leave_after_ms; /* the caller closes its connection; 0: it stays */
} CallPlan_t;

/** Sends the attempt, whose id, route and gateway are set in call, and waits
 * for its end; notes times and status there. socket: the connection, opened if
 * it is -1, and -1 again when it has ended. The caller clears the answer. */
ReadAnswer_t
Call_Exchange(SoakCall_t *call, const CallPlan_t *plan, uint16_t port,
              int *socket);

#endif
