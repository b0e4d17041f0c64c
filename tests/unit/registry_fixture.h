/** A registry of backend servers whose messages and changes are ignored. */
#ifndef EY_TESTS_UNIT_REGISTRY_FIXTURE_H
#define EY_TESTS_UNIT_REGISTRY_FIXTURE_H

#include "membership/membership.h"
#include "membership/registry.h"

EyRegistry_t *
registry_fixture_new(void *ctx, EyMemberRole_t role, int64_t now_ms);

#endif
