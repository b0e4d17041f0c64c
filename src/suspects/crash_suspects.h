/**
 * What may crash backend servers: a request, which may come again and again,
 * or a part of prompts, which other prompts may share. A server that ends
 * while it may run a request is evidence against that request, and that of a
 * model engine against each shared part of the prompt as well. An answer that
 * completes clears them. A suspect with several crashes since it was last
 * cleared is barred: requests with it are refused for a time that grows with
 * each further crash. After that single requests with it are tried.
 *
 * Sound parts are in the prompts beside a fatal one, or in all of a route. So
 * the crashes on a part are weighed against what happens without it: engines
 * that end without the part, other parts with the same crashes, and, where the
 * evidence is weak, answers of the target that complete meanwhile.
 *
 * Requests that ran beside a fatal one on the same servers have some of its
 * crashes: those are explained by the suspect that has more. Requests with
 * equal crashes run one at a time until one of them crashes alone. A part is
 * barred only if its crashes came under different requests.
 *
 * Gateways share evidence, cleared parts and bars by engine updates. Evidence
 * is a set of (suspect, crash), so that it counts once however many gateways
 * saw the crash and however often it is reported.
 *
 * Only crashes add suspects; all tables are bounded.
 */
#ifndef EY_SUSPECTS_CRASH_SUSPECTS_H
#define EY_SUSPECTS_CRASH_SUSPECTS_H

#include "routing/engine_update.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** An answer to a request that has gone on for this long didn't crash its
 * server, unless others ended later than that. */
#define EY_CRASH_SURVIVAL_MS 2000
/** Crashes on a part within this time add up. */
#define EY_CRASH_WINDOW_MS 60000
/** Those on a request: it may come once in several minutes, and any answer to
 * it meanwhile clears it. */
#define EY_CRASH_REQUEST_WINDOW_MS 600000
/** Crashes from which on a part is barred. */
#define EY_CRASH_BAR_CRASHES 3
/** Crashes bar a suspect only if the first and the last of them are this far
 * apart: many servers may be killed at the same time. */
#define EY_CRASH_SPAN_MS 400
/** They are held against it only after this time, in which other gateways can
 * report that the part was cleared there. */
#define EY_CRASH_SETTLE_MS 700
/** A gateway that started more recently hasn't seen many parts cleared: it
 * only takes over the bars of others. */
#define EY_CRASH_START_MS 5000
/** An engine that begins or completes an answer in this time after it seemed
 * to crash didn't crash: its connection broke off for another reason. Answers
 * that it began before may be seen a little later, and after some seconds it
 * may have been started again. */
#define EY_CRASH_REFUTED_FROM_MS 200
#define EY_CRASH_REFUTED_UNTIL_MS 1500
/** A crash that is seen this much later than it was refuted is another one:
 * the engine went on and crashed after that. Within this time gateways still
 * report the refuted one. */
#define EY_CRASH_REFUTED_COVERS_MS 2000
/** Duration of the first bar; each further crash makes it FACTOR times as
 * long. */
#define EY_CRASH_BAR_MS 30000
#define EY_CRASH_BAR_FACTOR 4
#define EY_CRASH_BAR_MAX_MS 1800000
/** Most bars; an update has EY_ENGINE_UPDATE_BARS_MAX of them, in turn. */
#define EY_CRASH_BARS_MAX 256
/** Most suspects; one crash may bring those of 64 requests and their parts. */
#define EY_CRASH_SUSPECTS_MAX 4096
/** Most crashes whose times, or whose refutations, are remembered. */
#define EY_CRASH_TIMES_MAX 1024
/** Most crashes that are kept of one part; updates have fewer. */
#define EY_CRASHES_MAX 16
/** Most requests with a part that are distinguished at one crash. */
#define EY_CRASH_REQUESTS_MAX 8

typedef struct EyCrashSuspects EyCrashSuspects_t;

/** The parts of a prompt that other prompts may share, and the request. */
typedef struct EyPromptParts {
    const char *target;
    const uint64_t *ids;
    uint32_t count;
    uint64_t request; /* key, equal for equal requests; 0: unknown */
    /* Of an answer that broke off: */
    bool is_unbegun; /* its head wasn't seen */
    int64_t ran_ms;  /* since its head was seen */
} EyPromptParts_t;

/** What may be done with a prompt; a later value goes before an earlier one.
 */
typedef enum EySuspicion {
    EY_SUSPICION_NONE,
    EY_SUSPICION_TRIAL, /* run it as the only one with that suspect */
    EY_SUSPICION_BARRED /* refuse it */
} EySuspicion_t;

typedef struct EySuspicionResult {
    EySuspicion_t suspicion;
    int64_t left_ms;      /* BARRED: until it may be tried here */
    bool is_request;      /* because of the request itself */
    bool has_running_bar; /* BARRED: by a bar that runs, not only until another
                             request's trial ends or this gateway's turn */
} EySuspicionResult_t;

/** What happened, for logs and metrics. */
typedef enum EySuspectEventKind {
    EY_SUSPECT_CRASH,   /* an engine crashed on the part, seen here */
    EY_SUSPECT_BARRED,  /* the part is barred, or for longer than before */
    EY_SUSPECT_CLEARED, /* it was suspected and is cleared */
    EY_SUSPECT_TRIAL,   /* a request with it is run as a trial */
    EY_SUSPECT_SPARED,  /* its crashes don't bar it, see reason */
    EY_SUSPECT_EVENT_COUNT
} EySuspectEventKind_t;

/** Why a part isn't barred by its crashes. */
typedef enum EySpareReason {
    EY_SPARE_NONE,
    EY_SPARE_FEW_CRASHES, /* more are needed: it was cleared before, or engines
                             end without it too */
    EY_SPARE_ONE_KILL,    /* all crashes came at the same time */
    EY_SPARE_NO_CONTRAST, /* hardly any answers complete without it either */
    EY_SPARE_EXPLAINED,   /* they have another cause that is more likely */
    EY_SPARE_REASON_COUNT
} EySpareReason_t;

typedef struct EySuspectEvent {
    EySuspectEventKind_t kind;
    EySpareReason_t reason; /* of SPARED */
    bool is_request;        /* about a request, not a part */
    uint64_t part_id;       /* as callers send it; of a request: its key */
    uint32_t crashes;
    bool is_unbegun; /* of CRASH: the answer's head wasn't seen */
    int64_t ran_ms;  /* of CRASH: since its head was seen */
    int64_t bar_ms;  /* duration of the bar */
} EySuspectEvent_t;

EyCrashSuspects_t *
EyCrashSuspects_New(const void *ctx, const char *region);

/** Sets this gateway's rank among those of the region: when a bar ends, they
 * take turns to try the part. */
void
EyCrashSuspects_SetRank(EyCrashSuspects_t *self, uint32_t rank,
                        uint32_t count);

/** The key of a part for all gateways. */
uint64_t
EyCrashSuspects_PartKey(const char *target, uint64_t id);

/** The key of a crash for all gateways: an incarnation of an engine ends once.
 */
uint64_t
EyCrashSuspects_CrashKey(const char *engine, uint64_t incarnation);

/** A server crashed while it may have run the request; prompt: of that the
 * parts which may have caused it. */
void
EyCrashSuspects_AddCrash(EyCrashSuspects_t *self, int64_t now_ms,
                         const EyPromptParts_t *prompt, uint64_t crash);

/** A server completed an answer to the request; prompt: of that the parts
 * which are cleared by it. */
void
EyCrashSuspects_Clear(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyPromptParts_t *prompt);

/** A server went on with an answer to the request for EY_CRASH_SURVIVAL_MS:
 * clears it of its crashes if all came sooner. A part of its prompt may end
 * the engine later. */
void
EyCrashSuspects_Survive(EyCrashSuspects_t *self, int64_t now_ms,
                        uint64_t request);

/** An engine has begun or completed an answer; crash: key of the crash of its
 * incarnation. */
void
EyCrashSuspects_EngineRuns(EyCrashSuspects_t *self, int64_t now_ms,
                           uint64_t crash);

/** What may be done with the prompt now. */
EySuspicionResult_t
EyCrashSuspects_Check(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyPromptParts_t *prompt);

/** The request with this number and prompt is sent to an engine: if a bar of
 * one of its parts has ended, it is the trial of that part until
 * EyCrashSuspects_EndTrial. */
void
EyCrashSuspects_StartTrial(EyCrashSuspects_t *self, int64_t now_ms,
                           const EyPromptParts_t *prompt, uint64_t number);

void
EyCrashSuspects_EndTrial(EyCrashSuspects_t *self, uint64_t number);

/** Adds what other gateways should know to an update; is_own_region: it goes
 * to those of the local region, which also get what remote regions reported.
 */
void
EyCrashSuspects_Collect(EyCrashSuspects_t *self, int64_t now_ms,
                        bool is_own_region, EyEngineUpdate_t *update);

/** Applies an update of a gateway of the local region or of another one. */
void
EyCrashSuspects_Apply(EyCrashSuspects_t *self, int64_t now_ms,
                      bool is_own_region, const EyEngineUpdate_t *update);

/** Counts the answers that completed at the gateway which sent the update. */
void
EyCrashSuspects_ApplyAnswers(EyCrashSuspects_t *self, int64_t now_ms,
                             const char *gateway,
                             const EyEngineUpdate_t *update);

/** Takes the next event; false: there is none. The oldest are dropped if
 * nobody takes them. */
bool
EyCrashSuspects_NextEvent(EyCrashSuspects_t *self, EySuspectEvent_t *event);

/** Number of parts and requests that are barred now. */
uint32_t
EyCrashSuspects_BarCount(const EyCrashSuspects_t *self, int64_t now_ms);

/** The barred parts and requests as JSON, a new reference. */
json_t *
EyCrashSuspects_Dump(const EyCrashSuspects_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
