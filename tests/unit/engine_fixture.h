/** Test fixture for the router: a region of model engines and prompts for
 * them. */
#ifndef EY_TESTS_UNIT_ENGINE_FIXTURE_H
#define EY_TESTS_UNIT_ENGINE_FIXTURE_H

#include "routing/router.h"

#define ENGINE_FIXTURE_NOW_MS 1000
#define ENGINE_FIXTURE_ENGINES 4
#define ENGINE_FIXTURE_SLOTS 64
/* Time in which an engine surely has prefilled a prompt of the fixture. */
#define ENGINE_FIXTURE_PREFILL_MS 500

/** Makes the router of one of several gateways of a region, with the engines
 * PREFIX0 to PREFIX3 at the addresses ID:80. gateways: number of gateways of
 * the region that send to these engines. */
EyRouter_t *
engine_fixture_router(void *ctx, const char *region, const char *prefix,
                      uint64_t seed, uint32_t gateways);

/** Announces an engine of the fixture again, with room for cache_tokens. */
void
engine_fixture_set_cache(EyRouter_t *router, const char *id,
                         double cache_tokens);

/** Makes a request with a prompt of three parts, the second of which is
 * selected by shared_prefix and has shared_tokens; its deadline is in 12 s. */
EyRoutingRequest_t
engine_fixture_request(uint64_t number, uint64_t shared_prefix,
                       uint32_t shared_tokens);

#endif
