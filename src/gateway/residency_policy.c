#include "gateway/residency_policy.h"

#include "core/memory.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

struct EyResidencyPolicy {
    pthread_mutex_t lock;
    EyName_t own_region;
    EyConfig_t *config;   /* a talloc root of its own: threads share it */
    GHashTable *gateways; /* region -> addresses */
};

static int
residency_policy_destroy(EyResidencyPolicy_t *self)
{
    talloc_free(self->config);
    g_hash_table_destroy(self->gateways);
    (void)pthread_mutex_destroy(&self->lock);
    return 0;
}

EyResidencyPolicy_t *
EyResidencyPolicy_New(const void *ctx, const char *own_region)
{
    EyResidencyPolicy_t *self = EY_NEW(ctx, EyResidencyPolicy_t);
    (void)pthread_mutex_init(&self->lock, NULL);
    (void)EY_COPY(self->own_region, own_region);
    self->config = EyConfig_New(NULL);
    self->gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, residency_policy_destroy);
    return self;
}

void
EyResidencyPolicy_SetConfig(EyResidencyPolicy_t *self,
                            const EyConfig_t *config)
{
    EyConfig_t *copy = EyConfig_Copy(NULL, config);
    (void)pthread_mutex_lock(&self->lock);
    EyConfig_t *previous = self->config;
    self->config = copy;
    (void)pthread_mutex_unlock(&self->lock);
    talloc_free(previous);
}

void
EyResidencyPolicy_SetGateways(EyResidencyPolicy_t *self, const char *region,
                              const char *addresses)
{
    (void)pthread_mutex_lock(&self->lock);
    g_hash_table_replace(self->gateways, g_strdup(region),
                         g_strdup(addresses));
    (void)pthread_mutex_unlock(&self->lock);
}

void
EyResidencyPolicy_GatewayAddresses(EyResidencyPolicy_t *self,
                                   const char *region, char *text,
                                   uint32_t text_size_bytes)
{
    (void)pthread_mutex_lock(&self->lock);
    const char *addresses = g_hash_table_lookup(self->gateways, region);
    (void)EyText_Copy(text, text_size_bytes,
                      addresses != NULL ? addresses : "");
    (void)pthread_mutex_unlock(&self->lock);
}

/** Splits a comma-separated list and skips empty names. */
static uint32_t
split_names(const char *text, EyName_t *names, uint32_t names_max)
{
    uint32_t count = 0;
    gchar **parts = g_strsplit(text, ",", -1);
    for (gchar **part = parts; *part != NULL && count < names_max; part++) {
        const char *name = g_strstrip(*part);
        if (*name != '\0' && EY_COPY(names[count], name)) {
            count++;
        }
    }
    g_strfreev(parts);
    return count;
}

uint32_t
EyResidencyPolicy_AllowedRegions(EyResidencyPolicy_t *self,
                                 const EyRequest_t *request, EyName_t *regions)
{
    char text[EY_VALUE_SIZE_BYTES];
    (void)pthread_mutex_lock(&self->lock);
    (void)EY_COPY(
        text, EyConfig_Get(self->config, EY_DEFAULT_RESIDENCY_REGIONS,
                           request->home, request->account, request->target));
    (void)pthread_mutex_unlock(&self->lock);
    return split_names(text, regions, EY_RESIDENCY_REGIONS_MAX);
}

EyResidency_t
EyResidencyPolicy_Check(EyResidencyPolicy_t *self, const EyRequest_t *request,
                        const char *destination)
{
    EyName_t allowed[EY_RESIDENCY_REGIONS_MAX];
    uint32_t count = EyResidencyPolicy_AllowedRegions(self, request, allowed);
    return EyResidency_CheckRequest(request, self->own_region, destination,
                                    allowed, count);
}
