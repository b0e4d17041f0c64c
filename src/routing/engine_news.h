/**
 * What gateways tell each other of model engines: how much each has sent
 * there that is still to be read, and which beginnings of prompts engines
 * hold since. News may come late or not at all; nothing relies on them.
 */
#ifndef EY_ROUTING_ENGINE_NEWS_H
#define EY_ROUTING_ENGINE_NEWS_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most engines, and most beginnings of one engine, in one message. */
#define EY_ENGINE_NEWS_ENGINES_MAX 4096
#define EY_ENGINE_NEWS_HELD_MAX 1024

/** A beginning of a prompt, by the hash of its parts. */
typedef struct EyHeldStart {
    uint64_t hash;
} EyHeldStart_t;

/** About one engine. */
typedef struct EyEngineWord {
    EyName_t id;             /* empty: of another region, by its address */
    EyName_t region;         /* empty: the sender's own */
    EyAddress_t address;     /* empty if id isn't */
    uint32_t reading_tokens; /* the sender's, that aren't read yet */
    EyHeldStart_t *held;     /* since the sender's last word */
    uint32_t held_count;
} EyEngineWord_t;

/** One gateway's news: an engine of the own region that isn't named has
 * nothing of the sender's to read. */
typedef struct EyEngineNews {
    EyEngineWord_t *engines;
    uint32_t engine_count;
} EyEngineNews_t;

extern const EySchema_t EyEngineNews_schema;

#ifdef __cplusplus
}
#endif

#endif
