/**
 * Engine updates that gateways send each other: how many prompt tokens each
 * gateway has sent to a model engine that are still in prefill, and which
 * prompt prefixes engines have cached since the last update. Updates may
 * arrive late or not at all; correctness never depends on them.
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

/** The update of one gateway. An engine of its region that isn't listed has no
 * pending prefill from the sender. */
typedef struct EyEngineUpdate {
    EyEngineUpdateEntry_t *engines;
    uint32_t engine_count;
} EyEngineUpdate_t;

extern const EySchema_t EyEngineUpdate_schema;

#ifdef __cplusplus
}
#endif

#endif
