/** The table of paths and methods that callers can use. */
#ifndef EY_CALLERS_ROUTE_H
#define EY_CALLERS_ROUTE_H

#include "exchange/answer.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Sets the call, the path and, where the path contains it, the target of a
 * request from its method and path (with query). Returns NULL, or an answer
 * that refuses the request.
 */
EyAnswer_t *
EyRoute_Apply(EyRequest_t *request, const char *path);

#ifdef __cplusplus
}
#endif

#endif
