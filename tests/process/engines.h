/**
 * Model engines that run in the test process: backend servers that answer
 * routed streaming calls with the platform's headers. An engine that runs a
 * prompt with the fatal part ends as the fault says.
 */
#ifndef EY_TESTS_PROCESS_ENGINES_H
#define EY_TESTS_PROCESS_ENGINES_H

#include "process/backend_servers.h"

/** Longest time from the end of an engine to its next start. */
#define ENGINES_DOWN_MAX_MS 3000

typedef struct Engines Engines_t;

/** How engines end on a part of a prompt; what is 0 has a default. */
typedef struct EngineFault {
    uint64_t part;         /* 0: no part is fatal */
    uint32_t after_events; /* of an answer, also one that goes on with a
                              stream; 0: before the head */
    int64_t delay_min_ms;  /* from then to the end */
    int64_t delay_max_ms;
    BackendEnd_t end;
    bool is_latent; /* the part is harmless until Engines_SetFatal */
    int64_t down_min_ms;
    int64_t down_max_ms;
    uint32_t slots;
    uint32_t events; /* of one stream */
    int64_t event_interval_ms;
} EngineFault_t;

/** Starts one engine for each site. Event N of a stream has the data wN, with
 * the version of the engines' software before it; version "": they name none.
 */
Engines_t *
Engines_Start(const char *service, const BackendSite_t *sites, uint32_t count,
              const EngineFault_t *fault, const char *version);

/** From now on prompts with the latent part end engines. */
void
Engines_SetFatal(Engines_t *self);

/** The engines as servers: their arrivals and crashes. */
Backends_t *
Engines_Servers(Engines_t *self);

/** Stops the engines and frees them. */
void
Engines_Stop(Engines_t *self);

#endif
