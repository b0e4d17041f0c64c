/**
 * Engine updates that gateways send each other: how many prompt tokens each
 * gateway has sent to a model engine that are still in prefill, and which
 * prompt prefixes engines have cached since the last update; and which
 * requests and parts of prompts are suspected of crashing servers; and which
 * servers named a limit of requests; and which targets' servers the sender
 * doesn't reach. Updates may arrive late or not at all;
 * correctness never depends on them.
 */
#ifndef EY_ROUTING_ENGINE_UPDATE_H
#define EY_ROUTING_ENGINE_UPDATE_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most engines, and most prefixes of one engine, in one message. */
#define EY_ENGINE_UPDATE_ENGINES_MAX 4096
#define EY_ENGINE_UPDATE_PREFIXES_MAX 1024
/** Most items about parts of prompts that crash engines in one message. */
#define EY_ENGINE_UPDATE_EVIDENCE_MAX 64
#define EY_ENGINE_UPDATE_CLEARED_MAX 64
#define EY_ENGINE_UPDATE_BARS_MAX 16
#define EY_ENGINE_UPDATE_REFUTED_MAX 64
#define EY_ENGINE_UPDATE_BAR_CRASHES_MAX 8
/** Most targets whose answers are counted in one message. */
#define EY_ENGINE_UPDATE_ANSWERS_MAX 64
/** Most limits of servers in one message. */
#define EY_ENGINE_UPDATE_LIMITS_MAX 256
/** Most targets whose servers the sender doesn't reach in one message. */
#define EY_ENGINE_UPDATE_UNREACHED_MAX 256
/** Size of a key by EyPool_Key. */
#define EY_TARGET_KEY_SIZE_BYTES (EY_NAME_SIZE_BYTES + 16)

/** A prompt prefix, by the hash of its parts. */
typedef struct EyCachedPrefix {
    uint64_t hash;
} EyCachedPrefix_t;

/** The state of one engine. */
typedef struct EyEngineUpdateEntry {
    EyName_t id;             /* empty: of a remote region, by its address */
    EyName_t region;         /* empty: the sender's region */
    EyAddress_t address;     /* empty if id is set */
    uint32_t reading_tokens; /* sent by the sender and still in prefill */
    EyCachedPrefix_t *held;  /* cached since the last update */
    uint32_t held_count;
    uint32_t taken_tokens; /* that the sender's requests brought to its cache
                              since the last update */
} EyEngineUpdateEntry_t;

/** A server crashed while it may have run the request, or answered a prompt
 * with the part. Keys are those of crash_suspects.h. */
typedef struct EyCrashEvidence {
    uint64_t key;     /* of the part, or of the request */
    uint64_t part_id; /* as callers send it, for logs; of a request: its key */
    uint64_t crash;
    uint32_t age_ms;
    uint64_t request; /* key of the request that had the part; equal to key: it
                         is against the request; 0: unknown */
    uint64_t target;  /* key of the target; 0: unknown */
    bool is_unbegun;  /* the answer's head wasn't seen */
    bool is_late;     /* the answer had gone on for EY_CRASH_SURVIVAL_MS */
} EyCrashEvidence_t;

/** A server completed an answer to the request or to a prompt with the part,
 * or went on with it. */
typedef struct EySuspectCleared {
    uint64_t key;
    uint32_t age_ms;
    bool is_request;
} EySuspectCleared_t;

/** The key of an engine's crash. */
typedef struct EyCrashKey {
    uint64_t crash;
} EyCrashKey_t;

/** Requests with the part, or equal requests, are refused. */
typedef struct EySuspectBar {
    uint64_t key;
    uint64_t part_id;
    EyCrashKey_t *crashes; /* that it is suspected of */
    uint32_t crash_count;
    int64_t left_ms; /* of the bar; negative: it has ended and the part hasn't
                        been cleared since */
    bool is_request;
    int64_t bar_ms; /* its duration; 0: it follows from the crashes */
} EySuspectBar_t;

/** Answers to prompts for a target that completed at the sender since it
 * started; sent while there are suspects. */
typedef struct EyTargetAnswers {
    uint64_t target; /* its key */
    uint64_t count;
} EyTargetAnswers_t;

/** A limit that a server named in an answer, or its end. */
typedef struct EyObservedLimit {
    EyName_t id;
    uint64_t incarnation;
    double per_s; /* 0: the server names none any more */
    uint32_t age_ms;
} EyObservedLimit_t;

/** A target whose servers the sender reaches few of, see reach.h. */
typedef struct EyUnreachedTarget {
    char key[EY_TARGET_KEY_SIZE_BYTES];
} EyUnreachedTarget_t;

/** Bounds on the fields of EyEngineRuns_t that are used. */
#define EY_ENGINE_RUNS_MAX 10000U
#define EY_ENGINE_RUNS_LEFT_MAX 1000000U

/** The sender's runs at one engine of its region for which predictive routing
 * is active, and the speed factor that the engine last reported to it. */
typedef struct EyEngineRuns {
    uint32_t engine;     /* hash of the engine's id, to keep updates small */
    uint32_t runs;       /* of the sender */
    uint32_t left;       /* to generate for them, in 16 tokens */
    uint32_t factor;     /* in percent; 0: none is known */
    uint32_t factor_age; /* in 10 ms */
} EyEngineRuns_t;

/** The update of one gateway. An engine of its region that isn't listed has no
 * pending prefill from the sender. */
typedef struct EyEngineUpdate {
    EyEngineUpdateEntry_t *engines;
    uint32_t engine_count;
    EyCrashEvidence_t *evidence;
    uint32_t evidence_count;
    EySuspectCleared_t *cleared;
    uint32_t cleared_count;
    EySuspectBar_t *bars;
    uint32_t bar_count;
    EyCrashKey_t *refuted; /* crashes that were none: the engine went on */
    uint32_t refuted_count;
    EyObservedLimit_t *limits; /* own region only */
    uint32_t limit_count;
    EyUnreachedTarget_t *unreached; /* own region only */
    uint32_t unreached_count;
    EyEngineRuns_t *runs; /* own region only; an engine that isn't listed has
                             none */
    uint32_t run_count;
    EyTargetAnswers_t *answers;
    uint32_t answers_count;
} EyEngineUpdate_t;

extern const EySchema_t EyEngineUpdate_schema;

#ifdef __cplusplus
}
#endif

#endif
