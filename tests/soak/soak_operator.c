#include "soak/soak_operator.h"

#include "core/random.h"

#include <stdio.h>
#include <string.h>

#define CHANGE_TIMEOUT_MS 2500
#define READ_TIMEOUT_MS 300
#define PAUSE_MIN_MS 100
#define PAUSE_SPAN_MS 300
/** A version that was acknowledged is in force everywhere after this. */
#define APPLY_MS 3000

/** A version and when it was sent or acknowledged. */
typedef struct Mark {
    int64_t at_ms;
    uint32_t version;
} Mark_t;

struct SoakOperator {
    SoakFleet_t *fleet;
    Ledger_t *ledger;
    GThread *thread;
    gint stops;
    EyRandom_t random;
    uint32_t version; /* sent last */
    GArray *sent;
    GArray *acknowledged;
    uint32_t read[SOAK_GATEWAYS]; /* newest that was read in this life */
    uint32_t seen[SOAK_GATEWAYS]; /* newest whose route served a call */
    gint lives[SOAK_GATEWAYS];
    uint32_t reads;
    uint32_t marker_calls;
    uint32_t marker_answers;
};

static void
change(SoakOperator_t *self)
{
    self->version++;
    const Mark_t sent = {.at_ms = Harness_NowMs(), .version = self->version};
    g_array_append_val(self->sent, sent);
    char *table = SoakFleet_RouteTable(self->version);
    const RoutedGateways_t *gateways = &self->fleet->gateways;
    uint32_t target =
        (uint32_t)EyRandom_Below(&self->random, SOAK_GATEWAYS + 1);
    uint16_t port = target < SOAK_GATEWAYS ? gateways->gateways[target].port
                                           : gateways->control.port;
    Reply_t reply = Http_Call(port, "PUT", "/v1/config/routes", NULL, table,
                              CHANGE_TIMEOUT_MS);
    if (reply.status == 200 && reply.complete) {
        const Mark_t entry = {.at_ms = Harness_NowMs(),
                              .version = self->version};
        g_array_append_val(self->acknowledged, entry);
    }
    Reply_Clear(&reply);
    g_free(table);
}

/** The newest version that must be in force for a read sent then. */
static uint32_t
oldest_allowed(const SoakOperator_t *self, int64_t sent_ms)
{
    uint32_t version = 0;
    for (guint i = 0; i < self->acknowledged->len; i++) {
        const Mark_t *entry = &g_array_index(self->acknowledged, Mark_t, i);
        if (entry->at_ms + APPLY_MS < sent_ms) {
            version = entry->version;
        }
    }
    return version;
}

static void
check_read(SoakOperator_t *self, uint32_t gateway, uint32_t version,
           int64_t sent_ms, const char *body)
{
    uint32_t oldest = oldest_allowed(self, sent_ms);
    char marker[32];
    (void)snprintf(marker, sizeof(marker), "/marker-%u/", version);
    if (version < oldest) {
        Ledger_Break(self->ledger, RULE_CONFIG,
                     "gateway %u reads version %u, %u was acknowledged",
                     gateway, version, oldest);
    }
    if (version < self->read[gateway]) {
        Ledger_Break(self->ledger, RULE_CONFIG,
                     "gateway %u reads version %u after %u", gateway, version,
                     self->read[gateway]);
    }
    if (strstr(body, marker) == NULL) {
        Ledger_Break(self->ledger, RULE_CONFIG,
                     "gateway %u reads other content as version %u: %s",
                     gateway, version, body);
    }
    self->read[gateway] = MAX(self->read[gateway], version);
    self->reads++;
}

static void
read_back(SoakOperator_t *self, uint32_t gateway)
{
    gint life = g_atomic_int_get(&self->fleet->lives[gateway]);
    if (life != self->lives[gateway]) {
        self->lives[gateway] = life;
        self->read[gateway] = 0;
        self->seen[gateway] = 0;
    }
    int64_t sent_ms = Harness_NowMs();
    Reply_t reply =
        Http_Call(self->fleet->gateways.gateways[gateway].port, "GET",
                  "/v1/config/routes", NULL, NULL, READ_TIMEOUT_MS);
    json_t *json =
        reply.status == 200 && reply.complete ? Reply_Json(&reply) : NULL;
    if (json != NULL && g_atomic_int_get(&self->fleet->lives[gateway]) == life)
    {
        uint32_t version =
            (uint32_t)json_integer_value(json_object_get(json, "version"));
        check_read(self, gateway, version, sent_ms, reply.body);
    }
    json_decref(json);
    Reply_Clear(&reply);
}

/** Calls the route of a version; the status, or 0 if the process has ended
 * meanwhile. */
static long
call_marker(SoakOperator_t *self, uint32_t gateway, uint32_t version)
{
    char id[64];
    char path[64];
    const char *const headers[] = {id, "Deadline-Ms: 300", NULL};
    self->marker_calls++;
    (void)snprintf(id, sizeof(id), "Attempt-Id: m%u", self->marker_calls);
    (void)snprintf(path, sizeof(path), "/marker-%u/", version);
    Reply_t reply =
        Http_Call(self->fleet->gateways.routed_ports[gateway], "PUT", path,
                  headers, SOAK_PROBE, READ_TIMEOUT_MS);
    long status = reply.status;
    Reply_Clear(&reply);
    bool lives_on =
        g_atomic_int_get(&self->fleet->lives[gateway]) == self->lives[gateway];
    self->marker_answers += lives_on && status != 0;
    return lives_on ? status : 0;
}

/** Checks that the route of a version that must be in force is served. */
static void
check_added(SoakOperator_t *self, uint32_t gateway)
{
    int64_t sent_ms = Harness_NowMs();
    uint32_t version = oldest_allowed(self, sent_ms);
    if (version == 0 || version + SOAK_MARKERS <= self->version) {
        return;
    }
    if (call_marker(self, gateway, version) == 404 &&
        Ledger_IsInTouch(self->ledger, gateway, sent_ms, Harness_NowMs()))
    {
        Ledger_Break(self->ledger, RULE_CONFIG,
                     "gateway %u does not serve version %u", gateway, version);
    }
}

/** Checks that a version that was in force once in this life still is. */
static void
check_kept(SoakOperator_t *self, uint32_t gateway)
{
    uint32_t seen = self->seen[gateway];
    if (seen > 0 && seen + SOAK_MARKERS > self->version &&
        call_marker(self, gateway, seen) == 404)
    {
        Ledger_Break(self->ledger, RULE_CONFIG,
                     "gateway %u served version %u and does not now", gateway,
                     seen);
    }
    if (call_marker(self, gateway, self->version) == 200) {
        self->seen[gateway] = self->version;
    }
}

/** Checks that a route that must have been dropped isn't served. */
static void
check_dropped(SoakOperator_t *self, uint32_t gateway)
{
    int64_t sent_ms = Harness_NowMs();
    uint32_t version = oldest_allowed(self, sent_ms);
    if (version <= SOAK_MARKERS) {
        return;
    }
    if (call_marker(self, gateway, version - SOAK_MARKERS) == 200 &&
        Ledger_IsInTouch(self->ledger, gateway, sent_ms, Harness_NowMs()))
    {
        Ledger_Break(self->ledger, RULE_CONFIG,
                     "gateway %u serves a route that version %u dropped",
                     gateway, version);
    }
}

static void *
run_operator(void *data)
{
    SoakOperator_t *self = data;
    while (!g_atomic_int_get(&self->stops)) {
        change(self);
        for (uint32_t i = 0; i < SOAK_GATEWAYS; i++) {
            read_back(self, i);
            check_added(self, i);
            check_kept(self, i);
            check_dropped(self, i);
        }
        Harness_SleepMs(PAUSE_MIN_MS +
                        (int64_t)EyRandom_Below(&self->random, PAUSE_SPAN_MS));
    }
    return NULL;
}

SoakOperator_t *
SoakOperator_Start(SoakFleet_t *fleet, uint64_t seed, Ledger_t *ledger)
{
    SoakOperator_t *self = g_new0(SoakOperator_t, 1);
    self->fleet = fleet;
    self->ledger = ledger;
    self->random = EyRandom_Make(seed);
    self->version = 1;
    self->sent = g_array_new(FALSE, TRUE, sizeof(Mark_t));
    self->acknowledged = g_array_new(FALSE, TRUE, sizeof(Mark_t));
    self->thread = g_thread_new("operator", run_operator, self);
    return self;
}

void
SoakOperator_Stop(SoakOperator_t *self)
{
    g_atomic_int_set(&self->stops, 1);
    (void)g_thread_join(self->thread);
    (void)printf("route tables: %u sent, %u acknowledged, %u reads, %u of %u "
                 "calls of their routes answered\n",
                 self->version, self->acknowledged->len, self->reads,
                 self->marker_answers, self->marker_calls);
}

bool
SoakOperator_MayBeHome(const SoakOperator_t *self, uint32_t region,
                       int64_t sent_ms, int64_t arrived_ms)
{
    uint32_t oldest = MAX(oldest_allowed(self, sent_ms), 1);
    bool may_be = SoakFleet_IsHome(oldest, region);
    for (guint i = 0; i < self->sent->len && !may_be; i++) {
        const Mark_t *sent = &g_array_index(self->sent, Mark_t, i);
        may_be = sent->version >= oldest && sent->at_ms <= arrived_ms &&
                 SoakFleet_IsHome(sent->version, region);
    }
    return may_be;
}

void
SoakOperator_Free(SoakOperator_t *self)
{
    g_array_unref(self->sent);
    g_array_unref(self->acknowledged);
    g_free(self);
}
