/** State of EyCrashSuspects_t, shared by its own files only. */
#ifndef EY_SUSPECTS_CRASH_SUSPECTS_INTERNAL_H
#define EY_SUSPECTS_CRASH_SUSPECTS_INTERNAL_H

#include "suspects/cleared_suspects.h"
#include "suspects/crash_suspects.h"
#include "suspects/run_outcomes.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Evidence of a part is kept for this time after its bar, so that a crash of
 * its trial bars it for longer. */
#define EY_CRASH_BAR_KEPT_MS EY_CRASH_BAR_MAX_MS

typedef struct EyCrash {
    uint64_t crash;
    int64_t crash_ms;
    uint64_t requests[EY_CRASH_REQUESTS_MAX]; /* with the part; 0: unknown */
    uint32_t request_count;
    bool is_unbegun; /* no answer with the part had begun */
} EyCrash_t;

/** A part or a request with evidence that wasn't cleared. */
typedef struct EyCrashSuspect {
    uint64_t key;
    uint64_t part_id;
    uint64_t target; /* key; 0: unknown */
    bool is_request;
    bool is_late; /* a server ended long after an answer's head */
    EyCrash_t crashes[EY_CRASHES_MAX]; /* distinct, earliest evidence first */
    uint32_t crash_count;
    uint32_t dropped_count; /* crashes after the first that aren't kept */
    uint32_t free_crashes;  /* those that don't make the bar longer */
    int64_t barred_ms;      /* when its first bar began */
    int64_t bar_ms;         /* duration of the last bar; 0: never barred */
    int64_t bar_end_ms;
    bool has_trial;
    uint64_t trial;         /* number of the request */
    EySpareReason_t spared; /* why it isn't barred, as last reported */
    int64_t harmless_ms;    /* when it was last found harmless */
} EyCrashSuspect_t;

typedef enum EyReportScope {
    EY_REPORT_OWN_REGION,
    EY_REPORT_OTHER_REGIONS,
    EY_REPORT_SCOPE_COUNT
} EyReportScope_t;

struct EyCrashSuspects {
    EyName_t region;
    bool has_started;
    int64_t started_ms; /* time of the first call that has a time */
    int64_t expired_ms; /* time at which old entries were last dropped */
    uint32_t rank;
    uint32_t rank_count;
    GHashTable *by_key;      /* of EyCrashSuspect_t */
    GHashTable *crash_times; /* by crash, time of its first evidence */
    bool has_trials;         /* a suspect may have one */
    EyClearedSuspects_t *cleared;
    EyClearedSuspects_t *cleared_requests;
    GQueue
        evidence_reports[EY_REPORT_SCOPE_COUNT]; /* to be sent, see update.c */
    GQueue cleared_reports[EY_REPORT_SCOPE_COUNT];
    GQueue refuted_reports[EY_REPORT_SCOPE_COUNT];
    uint32_t
        next_bar[EY_REPORT_SCOPE_COUNT]; /* to be reported, by its position */
    EyRunOutcomes_t *outcomes;
    GHashTable *refuted; /* by crash, time at which it was refuted */
    GQueue events;       /* of EySuspectEvent_t */
};

/* crash_suspects_table.c */

void
ey_crash_suspects_add_event(EyCrashSuspects_t *self, EySuspectEventKind_t kind,
                            const EyCrashSuspect_t *suspect);

/** An event of that kind about the suspect. */
EySuspectEvent_t
ey_crash_suspects_event_of(EySuspectEventKind_t kind,
                           const EyCrashSuspect_t *suspect);

/** Adds an event; the oldest is dropped if there are too many. */
void
ey_crash_suspects_push_event(EyCrashSuspects_t *self,
                             const EySuspectEvent_t *event);

/** Reports why a part isn't barred, once for each change. */
void
ey_crash_suspects_note_spared(EyCrashSuspects_t *self, EyCrashSuspect_t *part,
                              EySpareReason_t reason);

bool
ey_crash_suspects_was_barred(const EyCrashSuspect_t *suspect);

/** The suspect with that key, or NULL. */
EyCrashSuspect_t *
ey_crash_suspects_find(const EyCrashSuspects_t *self, uint64_t part);

int64_t
ey_crash_suspects_last_crash_ms(const EyCrashSuspect_t *suspect);

/** Time in which crashes on a request, or on a part, add up. */
int64_t
ey_crash_suspects_window_ms(bool is_request);

/** Drops the crashes that no longer add up with later ones. */
void
ey_crash_suspects_drop_old(EyCrashSuspect_t *suspect, int64_t now_ms);

/** True if there is less reason to keep one than other. */
bool
ey_crash_suspects_has_less(const EyCrashSuspect_t *one,
                           const EyCrashSuspect_t *other);

/** The suspect with the least evidence of those that were barred; count: of
 * these. */
EyCrashSuspect_t *
ey_crash_suspects_find_least_barred(const EyCrashSuspects_t *self,
                                    uint32_t *count);

/** The suspect with that key, new if there was none. */
EyCrashSuspect_t *
ey_crash_suspects_add_suspect(EyCrashSuspects_t *self, int64_t now_ms,
                              uint64_t key, uint64_t part_id, bool is_request);

/** The cleared parts, or the cleared requests. */
EyClearedSuspects_t *
ey_crash_suspects_cleared(const EyCrashSuspects_t *self, bool is_request);

EyCrash_t *
ey_crash_suspects_find_crash(EyCrashSuspect_t *suspect, uint64_t crash);

bool
ey_crash_suspects_has_crash(const EyCrashSuspect_t *suspect, uint64_t crash);

/** Makes it a suspect that was never barred. */
void
ey_crash_suspects_lift_bar(EyCrashSuspect_t *suspect);

/** Adds a crash; the second one makes room. */
void
ey_crash_suspects_append_crash(EyCrashSuspect_t *suspect, EyCrash_t crash);

/** Time of the first of the crashes that are kept; now_ms if there are none.
 */
int64_t
ey_crash_suspects_first_crash_ms(const EyCrashSuspect_t *suspect,
                                 int64_t now_ms);

/** The part was cleared at cleared_ms: drops the crashes before, and a bar
 * that the others don't justify. */
void
ey_crash_suspects_clear_until(EyCrashSuspects_t *self, int64_t now_ms,
                              EyCrashSuspect_t *suspect, int64_t cleared_ms);

/* crash_suspects_weight.c */

/** What is done with a part of prompts. */
typedef struct EyPartVerdict {
    EySpareReason_t reason; /* why it isn't barred; NONE: it is */
    bool is_throttled;      /* it may have ended all engines: its requests run
                               one at a time, in turns of the gateways */
} EyPartVerdict_t;

/** Weighs the crashes on a part. */
EyPartVerdict_t
ey_crash_suspects_weigh_part(const EyCrashSuspects_t *self, int64_t now_ms,
                             const EyCrashSuspect_t *part);

/** True if the crashes came at the same time, as when many servers are killed.
 */
bool
ey_crash_suspects_is_one_kill(const EyCrashSuspect_t *suspect, int64_t now_ms);

/** True if more crashes are needed to bar the suspect. */
bool
ey_crash_suspects_has_few_crashes(const EyCrashSuspects_t *self,
                                  int64_t now_ms,
                                  const EyCrashSuspect_t *suspect);

/** True if so many crashes may bar a part with that key. */
bool
ey_crash_suspects_suffice(const EyCrashSuspects_t *self, int64_t now_ms,
                          uint64_t key, uint32_t crash_count);

/** True if the part was cleared within EY_CLEARED_TTL_MS. */
bool
ey_crash_suspects_is_established(const EyCrashSuspects_t *self, int64_t now_ms,
                                 uint64_t key);

/* crash_suspects_ties.c */

/** True if one and the same request had the part at each crash. */
bool
ey_crash_suspects_is_of_one_request(const EyCrashSuspect_t *part);

/** How the crashes on a part compare with those on other parts. */
typedef struct EyPartRivals {
    bool has_better;   /* another one has all of them and more */
    bool has_equal;    /* another one has the same, and as many begun */
    bool has_narrower; /* another one has the same under fewer requests */
} EyPartRivals_t;

/** Number of requests with the part that broke at its crashes. */
uint32_t
ey_crash_suspects_count_requests(const EyCrashSuspect_t *part);

/** Number of crashes at which an answer to the part had begun. */
uint32_t
ey_crash_suspects_count_begun(const EyCrashSuspect_t *part);

/** Compares a part with the others that are as suspect by what is known of
 * them from before. */
EyPartRivals_t
ey_crash_suspects_find_rivals(const EyCrashSuspects_t *self, int64_t now_ms,
                              const EyCrashSuspect_t *part);

/** True if the crashes of a request have another cause that is more likely: a
 * request that has more of them, or what is barred. */
bool
ey_crash_suspects_is_explained(const EyCrashSuspects_t *self,
                               const EyCrashSuspect_t *suspect);

/** True if another request has the same crashes as this one; has_trial: one of
 * them is run as a trial. */
bool
ey_crash_suspects_is_tied(const EyCrashSuspects_t *self,
                          const EyCrashSuspect_t *suspect, bool *has_trial);

/** True if another request has all crashes of the suspect. */
bool
ey_crash_suspects_is_covered(const EyCrashSuspects_t *self,
                             const EyCrashSuspect_t *suspect);

/** Takes back recent bars of requests whose crashes all are the suspect's as
 * well: they were barred before its evidence arrived. */
void
ey_crash_suspects_lift_covered(EyCrashSuspects_t *self, int64_t now_ms,
                               const EyCrashSuspect_t *suspect);

/** False if another request with the same crashes has to run first: they came
 * together again though each gateway ran one at a time. */
bool
ey_crash_suspects_has_turn(const EyCrashSuspects_t *self, int64_t now_ms,
                           const EyCrashSuspect_t *suspect);

/* crash_suspects_bars.c */

/** What may be done now with a request that has the part. */
EySuspicionResult_t
ey_crash_suspects_check(EyCrashSuspects_t *self, int64_t now_ms,
                        EyCrashSuspect_t *suspect);

/** True if it is against a request, not against a part. */
bool
ey_crash_evidence_is_request(const EyCrashEvidence_t *evidence);

/** Notes that an engine ended, whatever it is evidence of. */
void
ey_crash_suspects_note_end(EyCrashSuspects_t *self, int64_t crash_ms,
                           const EyCrashEvidence_t *evidence);

/** Adds evidence; false if it is known or too old. */
bool
ey_crash_suspects_add(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyCrashEvidence_t *evidence);

/** Removes the part from the suspects; false if it was none. */
bool
ey_crash_suspects_remove(EyCrashSuspects_t *self, uint64_t part);

/** Takes over the bar that another gateway reported, unless this one has as
 * much evidence. */
void
ey_crash_suspects_adopt_bar(EyCrashSuspects_t *self, int64_t now_ms,
                            const EySuspectBar_t *bar);

/** True if a crash at that time was refuted. */
bool
ey_crash_suspects_is_refuted(const EyCrashSuspects_t *self, uint64_t crash,
                             int64_t crash_ms);

/** The engine didn't crash: takes the crash back from all parts. False if that
 * is known. */
bool
ey_crash_suspects_refute(EyCrashSuspects_t *self, int64_t now_ms,
                         uint64_t crash);

/** Notes the time of the first call. */
void
ey_crash_suspects_note_start(EyCrashSuspects_t *self, int64_t now_ms);

/** Drops parts whose evidence or bar is too old. */
void
ey_crash_suspects_expire(EyCrashSuspects_t *self, int64_t now_ms);

/* crash_suspects_update.c */

void
ey_crash_suspects_report_crash(EyCrashSuspects_t *self, int64_t now_ms,
                               const EyCrashEvidence_t *evidence);

void
ey_crash_suspects_report_cleared(EyCrashSuspects_t *self, int64_t now_ms,
                                 uint64_t key, bool is_request);

void
ey_crash_suspects_report_refuted(EyCrashSuspects_t *self, int64_t now_ms,
                                 uint64_t crash);

/** Stops reporting evidence of the crash. */
void
ey_crash_suspects_stop_reporting(EyCrashSuspects_t *self, uint64_t crash);

#ifdef __cplusplus
}
#endif

#endif
