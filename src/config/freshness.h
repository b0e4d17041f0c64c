/**
 * How fresh a gateway's copy of the configuration is, and what the gateway may
 * do by it. The one place that decides this; it knows no messages or timers.
 *
 * A control process that has heard from a leader with a quorum knows that its
 * copy held all acknowledged changes at that time. A gateway that has
 * this copy knows the same, as of that time on its own clock. What it may do
 * beyond that depends on whether the group of control processes is present: a
 * region that is alone must serve by what it has, while a gateway that most
 * control processes answer may not act on a copy which these may soon replace.
 */
#ifndef EY_CONFIG_FRESHNESS_H
#define EY_CONFIG_FRESHNESS_H

#include "core/types.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A copy in use counts as current for this time after it was confirmed;
 * longer than an election. */
#define EY_FRESHNESS_CURRENT_MAX_MS 5000
/** ... and one that isn't used yet for this time: a few heartbeats and an
 * interval of pulls. */
#define EY_FRESHNESS_START_MAX_MS 2500
/** Time for which a gateway that is cut off and has just started holds back a
 * copy that was confirmed before. */
#define EY_FRESHNESS_ALONE_TIMEOUT_MS 1500
/** The same for one that never was: control processes that have lost power
 * must be able to elect a leader in it. */
#define EY_FRESHNESS_UNCONFIRMED_TIMEOUT_MS 6000
/** Time that the control processes have to confirm a copy in use once they are
 * present again. */
#define EY_FRESHNESS_REGAIN_TIMEOUT_MS 3000
/** Longest wait for a confirmation while the control processes are present: by
 * then a group without a leader has lost its quorum for good. */
#define EY_FRESHNESS_GROUP_TIMEOUT_MS 30000
/** Time for which a known newer revision may be missing. */
#define EY_FRESHNESS_BEHIND_MAX_MS 2000

/** Up to when a copy is known to hold all acknowledged changes. */
typedef struct EyFreshness {
    EyName_t
        confirmed_by; /* control process that confirmed it; empty: unknown */
    uint64_t term;    /* of its leader; 0: unknown */
    int64_t as_of_ms; /* clock of this process; 0: never confirmed */
} EyFreshness_t;

/** Returns the time since the confirmation; -1: there was none. */
int64_t
EyFreshness_AgeMs(const EyFreshness_t *self, int64_t now_ms);

/** Takes over a confirmation if it is of a later time. */
void
EyFreshness_Update(EyFreshness_t *self, const EyFreshness_t *other);

typedef enum EyFreshnessState {
    EY_FRESHNESS_NONE,        /* there is no configuration */
    EY_FRESHNESS_HELD,        /* not used: it may lack acknowledged changes
                               * that control processes may soon announce */
    EY_FRESHNESS_UNCONFIRMED, /* used while cut off, never confirmed */
    EY_FRESHNESS_AGED,        /* used; confirmed, but not recently */
    EY_FRESHNESS_BEHIND,      /* used; a newer one is known but didn't come */
    EY_FRESHNESS_CURRENT,
    EY_FRESHNESS_STATE_COUNT
} EyFreshnessState_t;

extern const char *const EyFreshness_state_names[EY_FRESHNESS_STATE_COUNT];

/** What a gateway may do in a state. */
typedef struct EyFreshnessPermissions {
    bool may_be_ready;
    bool may_serve;       /* calls whose data may be anywhere */
    bool may_serve_bound; /* calls whose data is bound to regions */
    bool may_reject;      /* refuse for good (401, 404), where a newer
                           * configuration might allow the call */
} EyFreshnessPermissions_t;

extern const EyFreshnessPermissions_t
    EyFreshness_permissions[EY_FRESHNESS_STATE_COUNT];

/** What decides the state; times by the clock of this process. */
typedef struct EyFreshnessFacts {
    EyFreshness_t freshness;
    int64_t now_ms;
    bool has_copy;
    bool is_used;           /* it was used already since the start */
    bool group_is_present;  /* most control processes answer, and one of them
                             * hears most of them */
    bool awaits_leader;     /* one of them reaches most others and is about to
                             * have a leader */
    int64_t present_for_ms; /* how long it has been present */
    int64_t last_alone_ms;  /* last time that most of them didn't answer */
    int64_t held_for_ms;    /* how long it has been held back */
    int64_t behind_for_ms;  /* how long a newer revision has been missing */
} EyFreshnessFacts_t;

EyFreshnessState_t
EyFreshness_Decide(const EyFreshnessFacts_t *facts);

#ifdef __cplusplus
}
#endif

#endif
