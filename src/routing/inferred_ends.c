#include "routing/inferred_ends.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

/** Most times of signs that are kept. */
#define SIGN_TIMES_MAX 64

/** An end that isn't settled, or a settled one for EyInferredEnds_Next. */
typedef struct End {
    EyInferredVerdict_t verdict; /* its pointers are talloc children */
    int64_t ended_ms;
} End_t;

/** A server with ends, or one whose connections broke shortly before. */
typedef struct Server {
    uint64_t crash;
    uint64_t incarnation;
    EyAddress_t address;
    GQueue ends; /* of End_t, oldest first */
    bool has_broken;
    int64_t broken_ms;
} Server_t;

struct EyInferredEnds {
    GHashTable *servers; /* by crash, of Server_t */
    uint32_t count;
    GQueue settled;                        /* of End_t */
    End_t *taken;                          /* last one that was taken */
    int64_t sign_times_ms[SIGN_TIMES_MAX]; /* a ring, of signs that settled
                                              ends as crashes */
    uint32_t sign_count;
};

/** Ages of the ends that a sign settles, in milliseconds. */
typedef struct SignRule {
    bool is_crash;
    int64_t from_ms;
    int64_t until_ms;
} SignRule_t;

static const SignRule_t Rules[EY_SERVER_SIGN_COUNT] = {
    [EY_SERVER_SIGN_RUNS] = {.from_ms = EY_INFERRED_DOUBT_MS,
                             .until_ms = EY_INFERRED_RUNS_MAX_MS},
    [EY_SERVER_SIGN_ANNOUNCED] = {.from_ms = EY_INFERRED_ANNOUNCED_MS,
                                  .until_ms = EY_INFERRED_KEPT_MS},
    /* Settles none: its ends are dropped. */
    [EY_SERVER_SIGN_LEAVING] = {.from_ms = 0, .until_ms = -1},
    [EY_SERVER_SIGN_BROKEN] = {.is_crash = true,
                               .until_ms = EY_INFERRED_DOUBT_MS},
    [EY_SERVER_SIGN_REFUSED] = {.is_crash = true,
                                .until_ms = EY_INFERRED_REFUSED_MAX_MS},
    [EY_SERVER_SIGN_REPLACED] = {.is_crash = true,
                                 .until_ms = EY_INFERRED_REPLACED_MAX_MS},
};

static void
free_server(gpointer object)
{
    Server_t *server = object;
    g_queue_clear_full(&server->ends, EyMemory_Free);
    g_free(server);
}

static int
destroy_ends(EyInferredEnds_t *self)
{
    g_hash_table_unref(self->servers);
    g_queue_clear_full(&self->settled, EyMemory_Free);
    talloc_free(self->taken);
    return 0;
}

EyInferredEnds_t *
EyInferredEnds_New(const void *ctx)
{
    EyInferredEnds_t *self = EY_NEW(ctx, EyInferredEnds_t);
    self->servers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_server);
    g_queue_init(&self->settled);
    talloc_set_destructor(self, destroy_ends);
    return self;
}

/** The server with that crash key, new if there was none; NULL if there are
 * too many. */
static Server_t *
get_server(EyInferredEnds_t *self, uint64_t crash)
{
    Server_t *server = g_hash_table_lookup(self->servers, &crash);
    if (server == NULL &&
        g_hash_table_size(self->servers) < EY_INFERRED_SERVERS_MAX)
    {
        server = g_new0(Server_t, 1);
        server->crash = crash;
        g_queue_init(&server->ends);
        (void)g_hash_table_insert(self->servers, &server->crash, server);
    }
    return server;
}

static End_t *
make_end(int64_t now_ms, uint64_t crash, const EyPromptParts_t *prompt)
{
    End_t *end = EY_NEW(NULL, End_t);
    end->ended_ms = now_ms;
    end->verdict.crash = crash;
    end->verdict.prompt = (EyPromptParts_t){.request = prompt->request};
    if (prompt->count > 0) {
        end->verdict.prompt.target = EyMemory_Strdup(end, prompt->target);
        end->verdict.prompt.ids = EyMemory_Copy(
            end, prompt->ids, prompt->count * sizeof(*prompt->ids));
        end->verdict.prompt.count = prompt->count;
    }
    return end;
}

/** The time of the first sign of an ended server after the end. */
static int64_t
date_of(const EyInferredEnds_t *self, const End_t *end, int64_t now_ms)
{
    int64_t first_ms = now_ms;
    uint32_t count = MIN(self->sign_count, SIGN_TIMES_MAX);
    for (uint32_t i = 0; i < count; i++) {
        int64_t sign_ms = self->sign_times_ms[i];
        if (sign_ms >= end->ended_ms) {
            first_ms = MIN(first_ms, sign_ms);
        }
    }
    return first_ms;
}

static void
settle(EyInferredEnds_t *self, End_t *end, int64_t now_ms, bool is_crash)
{
    end->verdict.is_crash = is_crash;
    end->verdict.at_ms = is_crash ? date_of(self, end, now_ms) : now_ms;
    g_queue_push_tail(&self->settled, end);
}

static void
note_sign_time(EyInferredEnds_t *self, int64_t now_ms)
{
    uint32_t last = (self->sign_count + SIGN_TIMES_MAX - 1) % SIGN_TIMES_MAX;
    if (self->sign_count == 0 || self->sign_times_ms[last] != now_ms) {
        self->sign_times_ms[self->sign_count % SIGN_TIMES_MAX] = now_ms;
        self->sign_count++;
    }
}

void
EyInferredEnds_Add(EyInferredEnds_t *self, int64_t now_ms,
                   const EyInferredServer_t *server,
                   const EyPromptParts_t *prompt)
{
    Server_t *known = get_server(self, server->crash);
    if (known == NULL || self->count >= EY_INFERRED_ENDS_MAX) {
        return;
    }
    (void)EY_COPY(known->address, server->address);
    known->incarnation = server->incarnation;
    End_t *end = make_end(now_ms, server->crash, prompt);
    if (known->has_broken && now_ms - known->broken_ms <= EY_INFERRED_DOUBT_MS)
    {
        note_sign_time(self, now_ms);
        settle(self, end, now_ms, true);
        return;
    }
    g_queue_push_tail(&known->ends, end);
    self->count++;
}

/** Takes an end out of the server's: settles it, or drops it if it is too old
 * for the sign. */
static void
take_end(EyInferredEnds_t *self, int64_t now_ms, const SignRule_t *rule,
         Server_t *server, GList *link)
{
    End_t *end = link->data;
    g_queue_delete_link(&server->ends, link);
    self->count--;
    if (now_ms - end->ended_ms > rule->until_ms) {
        talloc_free(end);
        return;
    }
    if (rule->is_crash) {
        note_sign_time(self, now_ms);
    }
    settle(self, end, now_ms, rule->is_crash);
}

/** Settles the ends of the server whose age is within that of the sign. All
 * others stay, unless the server has ended. */
static void
apply_sign(EyInferredEnds_t *self, int64_t now_ms, EyServerSign_t sign,
           Server_t *server)
{
    const SignRule_t *rule = &Rules[sign];
    bool has_ended = rule->is_crash || sign == EY_SERVER_SIGN_LEAVING;
    GList *link = server->ends.head;
    while (link != NULL) {
        GList *next = link->next;
        const End_t *end = link->data;
        int64_t age_ms = now_ms - end->ended_ms;
        if (has_ended || (age_ms >= rule->from_ms && age_ms <= rule->until_ms))
        {
            take_end(self, now_ms, rule, server, link);
        }
        link = next;
    }
}

void
EyInferredEnds_AddSign(EyInferredEnds_t *self, int64_t now_ms,
                       EyServerSign_t sign, uint64_t crash)
{
    bool is_broken = sign == EY_SERVER_SIGN_BROKEN;
    Server_t *server = is_broken ? get_server(self, crash)
                                 : g_hash_table_lookup(self->servers, &crash);
    if (server == NULL) {
        return;
    }
    if (is_broken) {
        server->has_broken = true;
        server->broken_ms = now_ms;
    }
    apply_sign(self, now_ms, sign, server);
}

void
EyInferredEnds_AddStart(EyInferredEnds_t *self, int64_t now_ms,
                        const EyInferredServer_t *server)
{
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Server_t *known = value;
        if (known->crash != server->crash && known->incarnation > 0 &&
            known->incarnation < server->incarnation &&
            strcmp(known->address, server->address) == 0)
        {
            apply_sign(self, now_ms, EY_SERVER_SIGN_REPLACED, known);
        }
    }
}

bool
EyInferredEnds_Next(EyInferredEnds_t *self, EyInferredVerdict_t *verdict)
{
    talloc_free(self->taken);
    self->taken = g_queue_pop_head(&self->settled);
    if (self->taken == NULL) {
        return false;
    }
    *verdict = self->taken->verdict;
    return true;
}

void
EyInferredEnds_Expire(EyInferredEnds_t *self, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->servers);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Server_t *server = value;
        End_t *end = g_queue_peek_head(&server->ends);
        while (end != NULL && now_ms - end->ended_ms > EY_INFERRED_KEPT_MS) {
            talloc_free(g_queue_pop_head(&server->ends));
            self->count--;
            end = g_queue_peek_head(&server->ends);
        }
        bool is_broken = server->has_broken &&
                         now_ms - server->broken_ms <= EY_INFERRED_DOUBT_MS;
        if (end == NULL && !is_broken) {
            g_hash_table_iter_remove(&each);
        }
    }
}

void
EyInferredEnds_Reset(EyInferredEnds_t *self)
{
    g_hash_table_remove_all(self->servers);
    self->count = 0;
}

uint32_t
EyInferredEnds_Count(const EyInferredEnds_t *self)
{
    return self->count;
}
