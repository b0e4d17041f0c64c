/**
 * What gateways tell each other of model engines: how much each has sent
 * there that is still to be read, and which beginnings of prompts engines
 * hold since. News may come late or not at all; nothing relies on them.
 */
#ifndef EY_ROUTING_ENGINE_UPDATE_H
#define EY_ROUTING_ENGINE_UPDATE_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most engines, and most beginnings of one engine, in one message. */
#define EY_ENGINE_UPDATE_ENGINES_MAX 4096
#define EY_ENGINE_UPDATE_PREFIXES_MAX 1024

/** A beginning of a prompt, by the hash of its parts. */
typedef struct EyCachedPrefix {
    uint64_t hash;
} EyCachedPrefix_t;

/** About one engine. */
typedef struct EyEngineUpdateEntry {
    EyName_t id;             /* empty: of another region, by its address */
    EyName_t region;         /* empty: the sender's own */
    EyAddress_t address;     /* empty if id isn't */
    uint32_t reading_tokens; /* the sender's, that aren't read yet */
    EyCachedPrefix_t *held;  /* since the sender's last word */
    uint32_t held_count;
} EyEngineUpdateEntry_t;

/** One gateway's news: an engine of the own region that isn't named has
 * nothing of the sender's to read. */
typedef struct EyEngineUpdate {
    EyEngineUpdateEntry_t *engines;
    uint32_t engine_count;
} EyEngineUpdate_t;

extern const EySchema_t EyEngineUpdate_schema;

#ifdef __cplusplus
}
#endif

#endif
