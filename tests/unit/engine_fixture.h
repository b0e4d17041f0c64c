/** A region of model engines and prompts for them, for tests of the router. */
#ifndef EY_TESTS_UNIT_ENGINE_FIXTURE_H
#define EY_TESTS_UNIT_ENGINE_FIXTURE_H

#include "routing/router.h"

#define ENGINE_FIXTURE_NOW_MS 1000
#define ENGINE_FIXTURE_ENGINES 4
#define ENGINE_FIXTURE_SLOTS 64

/** A gateway's router that knows the engines PREFIX0 to PREFIX3, each at the
 * address ID:80; gateways of the region send there. */
EyRouter_t *
engine_fixture_router(void *ctx, const char *region, const char *prefix,
                      uint64_t seed, uint32_t gateways);

/** A prompt of three parts, the second of which names a thing and is of
 * shared_tokens; 12 s are left for it. */
EyRoutingRequest_t
engine_fixture_request(uint64_t number, uint64_t thing,
                       uint32_t shared_tokens);

#endif
