/**
 * Announcements that a server's leaving depends on, on their way to another
 * region: they are acknowledged only once an instance there has recorded them.
 * It does no I/O except through the hooks.
 */
#ifndef EY_DISCOVERY_RELAYS_H
#define EY_DISCOVERY_RELAYS_H

#include "backends/announcement.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most regions that one announcement is relayed to. */
#define EY_RELAY_REGIONS_MAX 64
/** Most announcements that wait for receipts; more are refused. */
#define EY_RELAYS_WAITING_MAX 256
/** An announcement without a receipt is relayed again after this. */
#define EY_RELAY_REPEAT_MS 250
/** A server asks another instance after a second without an answer. */
#define EY_RELAY_TIMEOUT_MS 800

typedef enum EyRelayOutcome {
    EY_RELAY_RECORDED,    /* by an instance that knows the server, or by all
                           * that were asked */
    EY_RELAY_UNREACHABLE, /* no instance of any of the regions is known */
    EY_RELAY_UNANSWERED,  /* may be recorded; or too many wait */
    EY_RELAY_OUTCOME_COUNT
} EyRelayOutcome_t;

extern const char *const EyRelays_outcome_names[EY_RELAY_OUTCOME_COUNT];

typedef struct EyRelaysHooks {
    /** Sends an announcement to instances of a region; the return value is
     * their number. */
    uint32_t (*send)(void *data, const char *region,
                     const EyAnnouncement_t *announcement);
    /** The answer to EyRelays_Begin; the receiver takes the request over. */
    void (*decided)(void *data, EyRequest_t *request,
                    EyRelayOutcome_t outcome);
    void *data;
} EyRelaysHooks_t;

typedef struct EyRelays EyRelays_t;

/** seed: differs at each start, so that receipts for an earlier
 * incarnation of this instance are ignored. */
EyRelays_t *
EyRelays_New(const void *ctx, uint64_t seed, const EyRelaysHooks_t *hooks);

/** Relays the announcement of a request to regions; takes the request over and
 * calls the decided hook, within this call or later. */
void
EyRelays_Begin(EyRelays_t *self, int64_t now_ms, EyRequest_t *request,
               const EyAnnouncement_t *announcement,
               const char *const *regions, uint32_t region_count);

/** Handles a receipt. */
void
EyRelays_Receive(EyRelays_t *self, int64_t now_ms,
                 const EyAnnouncement_t *receipt);

/** Repeats and gives up; call no later than at EyRelays_DueMs. */
void
EyRelays_Tick(EyRelays_t *self, int64_t now_ms);

/** When the next step is due; INT64_MAX: none is. */
int64_t
EyRelays_DueMs(const EyRelays_t *self);

#ifdef __cplusplus
}
#endif

#endif
