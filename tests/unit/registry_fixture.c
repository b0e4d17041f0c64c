#include "registry_fixture.h"

static void
ignore_message(void *data, const char *to, const char *address,
               const EyClusterMessage_t *message)
{
    (void)data;
    (void)to;
    (void)address;
    (void)message;
}

static void
ignore_change(void *data, EyRegistryChange_t change,
              const EyBackend_t *backend)
{
    (void)data;
    (void)change;
    (void)backend;
}

EyRegistry_t *
registry_fixture_new(void *ctx, EyMemberRole_t role, int64_t now_ms)
{
    EyMember_t own = {.incarnation = 1, .role = role};
    (void)EY_COPY(own.id, "own-1");
    (void)EY_COPY(own.region, "istra");
    const EyMembershipHooks_t membership_hooks = {.send = ignore_message};
    EyMembership_t *membership =
        EyMembership_New(ctx, &own, &membership_hooks, 1, now_ms);
    const EyRegistryHooks_t hooks = {.send = ignore_message,
                                     .changed = ignore_change};
    return EyRegistry_New(ctx, membership, &hooks, 1, now_ms);
}
