/**
 * Model engines that run in the test process: backend servers that answer
 * routed streaming calls with the platform's headers. An engine that begins to
 * write an answer to a prompt with the fatal part ends shortly after.
 */
#ifndef EY_TESTS_PROCESS_ENGINES_H
#define EY_TESTS_PROCESS_ENGINES_H

#include "process/backend_servers.h"

/** Longest time from the end of an engine to its next start. */
#define ENGINES_DOWN_MAX_MS 3000

typedef struct Engines Engines_t;

/** Starts one engine for each site; fatal_part 0: no part is fatal. Event N of
 * a stream has the data wN, with the version of the engines' software before
 * it; version "": they name none. */
Engines_t *
Engines_Start(const char *service, const BackendSite_t *sites, uint32_t count,
              uint64_t fatal_part, const char *version);

/** The engines as servers: their arrivals and crashes. */
Backends_t *
Engines_Servers(Engines_t *self);

/** Stops the engines and frees them. */
void
Engines_Stop(Engines_t *self);

#endif
