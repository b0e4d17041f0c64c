/**
 * The HTTP client of ebonyyardctl, on libcurl's easy interface. A request
 * without an answer is retried at the next server. A change carries its change
 * id, so it is applied once however often it is sent.
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
    const char *servers;         /* IP:port, or several, separated by commas */
    const char *token;           /* NULL: none */
    uint32_t attempt_timeout_ms; /* for one attempt */
    uint32_t attempts_max;
} EyCtlClient_t;

typedef struct EyCtlAnswer {
    uint32_t status;      /* 0: no server answered */
    bool was_sent;        /* a server may have received the request */
    json_t *json;         /* NULL: none or not JSON */
    char error_text[256]; /* "": none given */
} EyCtlAnswer_t;

/**
 * Sends a request; body may be NULL. Retries while there is no answer or the
 * answer is 503 or 504. If the last attempt failed too but an earlier one may
 * have applied the change, the status is 504. The caller owns the answer's
 * JSON.
 */
EyCtlAnswer_t
EyCtlClient_Send(const EyCtlClient_t *self, const char *method,
                 const char *path, const json_t *body);

#ifdef __cplusplus
}
#endif

#endif
