/** The table of paths and methods that callers may use. */
#ifndef EY_CALLERS_ROUTE_H
#define EY_CALLERS_ROUTE_H

#include "exchange/answer.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Sets call, path and, where the path names it, target of a request from its
 * method and path (with query). An answer refuses it; NULL: it is set.
 */
EyAnswer_t *
EyRoute_Apply(EyRequest_t *request, const char *path);

#ifdef __cplusplus
}
#endif

#endif
