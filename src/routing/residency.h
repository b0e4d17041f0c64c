/**
 * Where a request's data may go. Every path that serves a request, sends it
 * to another region, takes one from another region or gives a stored answer
 * asks here first, and nowhere else is it decided.
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
    EY_RESIDENCY_WRONG_REGION, /* its data must not be there */
    EY_RESIDENCY_LOOP,         /* it would cross twice, or come back */
    EY_RESIDENCY_COUNT
} EyResidency_t;

extern const char *const EyResidency_names[EY_RESIDENCY_COUNT];

/** One question; the texts and lists are the caller's. */
typedef struct EyResidencyQuery {
    const char *home;        /* region that the data is bound to, or empty */
    const char *own;         /* region where the request is now */
    const char *destination; /* own: to be served or answered here */
    const EyName_t *allowed; /* regions besides home where a bound request
                                may be, as the configuration has it */
    uint32_t allowed_count;
    const EyName_t *visited; /* regions before this one, in order */
    uint32_t visited_count;
} EyResidencyQuery_t;

/** Decides on a request; residency goes before loops. */
EyResidency_t
EyResidency_Check(const EyResidencyQuery_t *query);

/** The same for a request as the parts hand it on. */
EyResidency_t
EyResidency_CheckRequest(const EyRequest_t *request, const char *own,
                         const char *destination, const EyName_t *allowed,
                         uint32_t allowed_count);

#ifdef __cplusplus
}
#endif

#endif
