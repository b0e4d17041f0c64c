#include "routing/reach.h"

#include "core/memory.h"

#include <glib.h>

/** Last outcomes of attempts at a server; 0: none. */
typedef struct Server {
    int64_t failed_ms;
    int64_t first_failed_ms; /* of the failures in a row */
    uint32_t failures;       /* in a row */
    int64_t answered_ms;
} Server_t;

typedef struct Way {
    GHashTable *servers; /* id -> Server_t with evidence of the last while */
    bool is_broken;
    EyReachEvidence_t evidence;
    int64_t probed_ms;
    int64_t returned_ms;     /* when it was last found sound again; 0: never */
    uint32_t answers;        /* in a row while it is broken */
    uint32_t answers_needed; /* for its return */
} Way_t;

struct EyReach {
    GHashTable *ways; /* target -> Way_t */
};

static void
free_way(gpointer way)
{
    g_hash_table_unref(((Way_t *)way)->servers);
    g_free(way);
}

static int
destroy_reach(EyReach_t *self)
{
    g_hash_table_unref(self->ways);
    return 0;
}

EyReach_t *
EyReach_New(const void *ctx)
{
    EyReach_t *self = EY_NEW(ctx, EyReach_t);
    self->ways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_way);
    talloc_set_destructor(self, destroy_reach);
    return self;
}

static Way_t *
obtain_way(EyReach_t *self, const char *target)
{
    Way_t *way = g_hash_table_lookup(self->ways, target);
    if (way == NULL) {
        way = g_new0(Way_t, 1);
        way->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        way->answers_needed = EY_REACH_ANSWERS_NEEDED;
        (void)g_hash_table_insert(self->ways, g_strdup(target), way);
    }
    return way;
}

static Server_t *
obtain_server(Way_t *way, const char *id)
{
    Server_t *server = g_hash_table_lookup(way->servers, id);
    if (server == NULL) {
        server = g_new0(Server_t, 1);
        (void)g_hash_table_insert(way->servers, g_strdup(id), server);
    }
    return server;
}

static bool
has_failed(const Server_t *server)
{
    return server->failures > 0;
}

static void
add_failure(Server_t *server, int64_t now_ms)
{
    if (server->failures == 0) {
        server->first_failed_ms = now_ms;
    }
    server->failures++;
    server->failed_ms = now_ms;
}

static gboolean
is_old(gpointer id, gpointer value, gpointer now_ms)
{
    (void)id;
    const Server_t *server = value;
    int64_t last_ms = MAX(server->failed_ms, server->answered_ms);
    return *(const int64_t *)now_ms - last_ms > EY_REACH_EVIDENCE_MS;
}

/** True if at least half of the known servers, and most of those that were
 * tried since the first failure that counts, can't be reached. */
static bool
is_evidence_enough(Way_t *way, int64_t now_ms, uint32_t known)
{
    (void)g_hash_table_foreach_remove(way->servers, is_old, &now_ms);
    GHashTableIter each;
    gpointer value = NULL;
    int64_t first_ms = now_ms;
    uint32_t failed = 0;
    uint32_t failures = 0;
    g_hash_table_iter_init(&each, way->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const Server_t *server = value;
        if (has_failed(server)) {
            failed++;
            failures += server->failures;
            first_ms = MIN(first_ms, server->first_failed_ms);
        }
    }
    uint32_t answered = 0;
    g_hash_table_iter_init(&each, way->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const Server_t *server = value;
        answered += !has_failed(server) && server->answered_ms >= first_ms;
    }
    way->evidence = (EyReachEvidence_t){
        .failed = failed,
        .answered = answered,
        .span_ms = now_ms - first_ms,
    };
    bool is_single_enough = failures >= EY_REACH_SINGLE_FAILURES_MIN &&
                            now_ms - first_ms >= EY_REACH_SINGLE_MS;
    return (failed > 1 || is_single_enough) && failed * 2 >= known &&
           failed >= answered * EY_REACH_FAILED_PER_ANSWERED;
}

static void
set_broken(Way_t *way, int64_t now_ms)
{
    bool is_flapping =
        way->returned_ms != 0 && now_ms - way->returned_ms < EY_REACH_FLAP_MS;
    way->answers_needed =
        is_flapping ? MIN(way->answers_needed * 2, EY_REACH_ANSWERS_NEEDED_MAX)
                    : EY_REACH_ANSWERS_NEEDED;
    way->is_broken = true;
    way->answers = 0;
    way->probed_ms = now_ms;
}

EyReachChange_t
EyReach_Failed(EyReach_t *self, int64_t now_ms, const char *target,
               const char *server, uint32_t known)
{
    Way_t *way = obtain_way(self, target);
    add_failure(obtain_server(way, server), now_ms);
    way->answers = 0;
    if (way->is_broken || !is_evidence_enough(way, now_ms, known)) {
        return EY_REACH_UNCHANGED;
    }
    set_broken(way, now_ms);
    return EY_REACH_BROKE;
}

EyReachChange_t
EyReach_Answered(EyReach_t *self, int64_t now_ms, const char *target,
                 const char *server)
{
    Way_t *way = obtain_way(self, target);
    Server_t *answering = obtain_server(way, server);
    answering->answered_ms = now_ms;
    answering->failures = 0;
    if (!way->is_broken) {
        return EY_REACH_UNCHANGED;
    }
    way->answers++;
    if (way->answers < way->answers_needed) {
        return EY_REACH_UNCHANGED;
    }
    way->is_broken = false;
    way->returned_ms = now_ms;
    g_hash_table_remove_all(way->servers);
    return EY_REACH_RETURNED;
}

bool
EyReach_HasFailed(const EyReach_t *self, const char *target,
                  const char *server)
{
    const Way_t *way = g_hash_table_lookup(self->ways, target);
    const Server_t *found =
        way != NULL ? g_hash_table_lookup(way->servers, server) : NULL;
    return found != NULL && has_failed(found);
}

EyReachEvidence_t
EyReach_Evidence(const EyReach_t *self, const char *target)
{
    const Way_t *way = g_hash_table_lookup(self->ways, target);
    return way != NULL ? way->evidence : (EyReachEvidence_t){.failed = 0};
}

bool
EyReach_IsBroken(const EyReach_t *self, const char *target)
{
    const Way_t *way = g_hash_table_lookup(self->ways, target);
    return way != NULL && way->is_broken;
}

bool
EyReach_TakeProbe(EyReach_t *self, int64_t now_ms, const char *target,
                  bool has_other_way)
{
    Way_t *way = g_hash_table_lookup(self->ways, target);
    if (way == NULL || !way->is_broken) {
        return false;
    }
    int64_t interval_ms = way->answers == 0 && has_other_way
                              ? EY_REACH_PROBE_INTERVAL_MS
                              : EY_REACH_FAST_PROBE_INTERVAL_MS;
    if (now_ms - way->probed_ms < interval_ms) {
        return false;
    }
    way->probed_ms = now_ms;
    return true;
}

void
EyReach_EachBroken(const EyReach_t *self,
                   void (*visit)(void *data, const char *target), void *data)
{
    GHashTableIter each;
    gpointer target = NULL;
    gpointer way = NULL;
    g_hash_table_iter_init(&each, self->ways);
    while (g_hash_table_iter_next(&each, &target, &way)) {
        if (((const Way_t *)way)->is_broken) {
            visit(data, target);
        }
    }
}
