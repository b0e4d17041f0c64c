/**
 * The command line's HTTP client, by libcurl's easy interface. A request that
 * got no answer is tried again at the next server; a change bears its change
 * id, so it happens once however often it is sent.
 */
#ifndef EY_OPERATORS_CTL_CLIENT_H
#define EY_OPERATORS_CTL_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyCtlClient {
    const char *servers;         /* IP:port, or several joined by commas */
    const char *token;           /* NULL: none */
    uint32_t attempt_timeout_ms; /* for one try */
    uint32_t attempts_max;
} EyCtlClient_t;

typedef struct EyCtlAnswer {
    uint32_t status;      /* 0: no server answered */
    bool was_sent;        /* a server may have seen it */
    json_t *json;         /* NULL: none or not JSON */
    char error_text[256]; /* what went wrong */
} EyCtlAnswer_t;

/**
 * Sends a request; body may be NULL. Tries again while there is no answer,
 * or 503 or 504. The caller owns the answer's JSON.
 */
EyCtlAnswer_t
EyCtlClient_Send(const EyCtlClient_t *self, const char *method,
                 const char *path, const json_t *body);

#ifdef __cplusplus
}
#endif

#endif
