/**
 * Forwarded calls whose target was chosen by a newer route table than this
 * gateway's: they wait for a short time until it has that table too. Without
 * sockets or clocks.
 */
#ifndef EY_GATEWAY_TABLE_WAITS_H
#define EY_GATEWAY_TABLE_WAITS_H

#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest wait: a pull from the sender in another region takes two round
 * trips if the table is large. */
#define EY_TABLE_WAIT_MAX_MS 500
/** A call waits for this share of the time that is left for it at most. */
#define EY_TABLE_WAIT_SHARE 0.25
/** Most calls that wait. */
#define EY_TABLE_WAITS_MAX 1024

/** A call that waited. */
typedef struct EyTableWait {
    EyRequest_t *request; /* a talloc root */
    EyName_t from;        /* gateway that sent it */
    uint64_t attempt;     /* that gateway's number of it */
    int64_t ends_ms;
} EyTableWait_t;

typedef struct EyTableWaits EyTableWaits_t;

EyTableWaits_t *
EyTableWaits_New(const void *ctx);

/** Adds a call, whose target_version is the table that it waits for, and takes
 * it over; returns false if too many wait. */
bool
EyTableWaits_Add(EyTableWaits_t *self, int64_t now_ms, EyRequest_t *request,
                 const char *from, uint64_t attempt);

/** Removes a call that waits no longer, because the table has this version or
 * because its time is up; returns false if there is none. */
bool
EyTableWaits_Take(EyTableWaits_t *self, int64_t now_ms, uint64_t version,
                  EyTableWait_t *wait);

/** Removes a call that its sender cancels, or NULL if it doesn't wait here. */
EyRequest_t *
EyTableWaits_Cancel(EyTableWaits_t *self, const char *from, uint64_t attempt);

/** When the first wait ends; INT64_MAX: none waits. */
int64_t
EyTableWaits_DueMs(const EyTableWaits_t *self);

uint32_t
EyTableWaits_Count(const EyTableWaits_t *self);

#ifdef __cplusplus
}
#endif

#endif
