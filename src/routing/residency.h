/**
 * Data residency: where a request's data may be processed. Every path that
 * serves a request, forwards it to a remote region, accepts one from a remote
 * region or returns a stored answer checks here first, and nothing else
 * decides it.
 */
#ifndef EY_ROUTING_RESIDENCY_H
#define EY_ROUTING_RESIDENCY_H

#include "core/types.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyResidency {
    EY_RESIDENCY_ALLOW,
    EY_RESIDENCY_WRONG_REGION, /* its data may not be there */
    EY_RESIDENCY_LOOP, /* it would be forwarded twice or return to a region */
    EY_RESIDENCY_COUNT
} EyResidency_t;

extern const char *const EyResidency_names[EY_RESIDENCY_COUNT];

/** The input of a check; strings and arrays are borrowed from the caller. */
typedef struct EyResidencyQuery {
    const char *home;        /* region that the data is bound to, or "" */
    const char *own;         /* region where the request is now */
    const char *destination; /* equal to own: to be served or answered there */
    const EyName_t *allowed; /* regions besides home where the data of a bound
                                request may be, from the configuration */
    uint32_t allowed_count;
    const EyName_t *visited; /* regions before this one, in order */
    uint32_t visited_count;
} EyResidencyQuery_t;

/** Checks a request; a residency violation takes precedence over a loop. */
EyResidency_t
EyResidency_Check(const EyResidencyQuery_t *query);

/** The same check for an EyRequest_t. */
EyResidency_t
EyResidency_CheckRequest(const EyRequest_t *request, const char *own,
                         const char *destination, const EyName_t *allowed,
                         uint32_t allowed_count);

#ifdef __cplusplus
}
#endif

#endif
