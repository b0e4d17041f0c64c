#include "membership/cluster.h"

#include "core/memory.h"
#include "core/metrics.h"

#include <string.h>

struct EyCluster {
    EyClusterHooks_t hooks;
    EyMembership_t *membership;
    EyRegistry_t *registry;
    EySummary_t *summary;
    int64_t now_ms;
};

static EyMetric_t Malformed[] = {
    {"membership_malformed_total", NULL,
     "Messages of membership that couldn't be read", EY_METRIC_COUNTER},
};

static void
on_send(void *data, const char *to, const char *address,
        const EyClusterMessage_t *message)
{
    EyCluster_t *self = data;
    EyPeerMessage_t *packed = EyPeerMessage_New(
        EY_PEER_MEMBERSHIP, to, &EyClusterMessage_schema, message);
    (void)EY_COPY(packed->to_address, address);
    self->hooks.send(self->hooks.data, packed);
}

static void
on_member(void *data, const EyMember_t *member)
{
    const EyCluster_t *self = data;
    if (self->hooks.member != NULL) {
        self->hooks.member(self->hooks.data, member);
    }
}

static void
on_contact(void *data, const EyMember_t *member)
{
    const EyCluster_t *self = data;
    if (self->hooks.contact != NULL) {
        self->hooks.contact(self->hooks.data, member);
    }
}

static void
on_incarnation_raised(void *data, uint64_t incarnation)
{
    const EyCluster_t *self = data;
    (void)incarnation;
    EyRegistry_UpdateIncarnation(self->registry, self->now_ms);
}

static void
on_backend(void *data, EyRegistryChange_t change, const EyBackend_t *backend)
{
    const EyCluster_t *self = data;
    if (self->hooks.backend != NULL) {
        self->hooks.backend(self->hooks.data, change, backend);
    }
}

EyCluster_t *
EyCluster_New(const void *ctx, const EyMember_t *self_member,
              const EyClusterHooks_t *hooks, uint64_t seed, int64_t now_ms)
{
    EyMetrics_Register(Malformed, G_N_ELEMENTS(Malformed));
    EyCluster_t *self = EY_NEW(ctx, EyCluster_t);
    self->hooks = *hooks;
    self->now_ms = now_ms;
    const EyMembershipHooks_t membership_hooks = {
        .send = on_send,
        .changed = on_member,
        .contact = on_contact,
        .incarnation_raised = on_incarnation_raised,
        .data = self,
    };
    const EyRegistryHooks_t registry_hooks = {
        .send = on_send,
        .changed = on_backend,
        .data = self,
    };
    const EySummaryHooks_t summary_hooks = {.send = on_send, .data = self};
    self->membership =
        EyMembership_New(self, self_member, &membership_hooks, seed, now_ms);
    self->registry = EyRegistry_New(self, self->membership, &registry_hooks,
                                    seed + 1, now_ms);
    self->summary =
        EySummary_New(self, self->membership, &summary_hooks, seed + 2);
    return self;
}

void
EyCluster_Tick(EyCluster_t *self, int64_t now_ms)
{
    self->now_ms = now_ms;
    EyMembership_Tick(self->membership, now_ms);
    EyRegistry_Tick(self->registry, now_ms);
    if (EyMembership_Self(self->membership)->role == EY_MEMBER_GATEWAY) {
        EySummary_Tick(self->summary, now_ms);
    }
    EySummary_ShareContacts(self->summary, now_ms);
}

static void
dispatch(EyCluster_t *self, int64_t now_ms, const EyPeerMessage_t *from,
         const EyClusterMessage_t *message)
{
    if (message->type <= EY_CLUSTER_DIGEST) {
        EyMembership_Receive(self->membership, now_ms, from->from,
                             from->from_address, message);
        EySummary_Receive(self->summary, now_ms, from->from,
                          from->from_address, message);
        return;
    }
    if (!EyMembership_IsFenced(self->membership, now_ms, from->from,
                               from->from_address, message))
    {
        EyRegistry_Receive(self->registry, now_ms, from->from,
                           from->from_address, message);
    }
}

bool
EyCluster_Receive(EyCluster_t *self, int64_t now_ms,
                  const EyPeerMessage_t *message)
{
    self->now_ms = now_ms;
    void *ctx = talloc_new(NULL);
    EyClusterMessage_t decoded;
    bool is_valid =
        EySchema_Unpack(&EyClusterMessage_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &decoded, NULL);
    if (is_valid) {
        dispatch(self, now_ms, message, &decoded);
    }
    else {
        EyMetric_Add(&Malformed[0], 1);
    }
    (void)talloc_free(ctx);
    return is_valid;
}

EyMembership_t *
EyCluster_Membership(EyCluster_t *self)
{
    return self->membership;
}

EyRegistry_t *
EyCluster_Registry(EyCluster_t *self)
{
    return self->registry;
}

EySummary_t *
EyCluster_Summary(EyCluster_t *self)
{
    return self->summary;
}

json_t *
EyCluster_Dump(const EyCluster_t *self, int64_t now_ms)
{
    return json_pack("{s:o, s:o, s:o}", "membership",
                     EyMembership_Dump(self->membership), "registry",
                     EyRegistry_Dump(self->registry), "summaries",
                     EySummary_Dump(self->summary, now_ms));
}
