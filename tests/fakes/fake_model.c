/**
 * A model engine: continuous batching over slots, prefill time with a limited
 * prefix cache, token time by speed and batch size, streams that resume at an
 * exact event, orders with fencing numbers. The tokens depend on the prompt
 * only. A stream's event n (from 1) bears index n - 1.
 */
#include "core/random.h"
#include "fakes/server.h"

#include <stdlib.h>
#include <string.h>

#define TOKENS_UNSET 16
#define PREFILL_BYTES_PER_MS 100.0
#define TOKEN_MS 10.0
/** Share of a token's time that each further request of the batch adds. */
#define BATCH_SLOWDOWN 0.05
#define PREFIX_BYTES 256
#define PREFIX_CACHE_ENTRIES 16
/** Share of the prefill time that a cached prefix saves. */
#define PREFIX_SAVING 0.8
#define EVENT_MAX_BYTES 512

/** Prefixes in the cache, oldest overwritten first; guarded by the peer. */
static uint32_t prefix_cache[PREFIX_CACHE_ENTRIES];
static uint32_t prefix_cache_next;

/** One generation. */
typedef struct Generation {
    FakeRequest_t *request;
    FakeServer_t *peer;
    uint64_t seed;
    uint32_t next; /* index of the next token */
    uint32_t token_count;
    bool is_chat;
    bool done;
    double owed_ms; /* parts of a millisecond not slept yet */
    char pending[EVENT_MAX_BYTES];
    size_t pending_bytes;
    size_t pending_given_bytes;
} Generation_t;

static char *
prompt_text(json_t *json)
{
    GString *text = g_string_new(NULL);
    const char *prompt = json_string_value(json_object_get(json, "prompt"));
    g_string_append(text, prompt != NULL ? prompt : "");
    size_t i;
    json_t *message;
    json_array_foreach(json_object_get(json, "messages"), i, message)
    {
        const char *content =
            json_string_value(json_object_get(message, "content"));
        g_string_append(text, content != NULL ? content : "");
    }
    return g_string_free(text, FALSE);
}

static bool
use_prefix(FakeServer_t *peer, const char *prompt)
{
    char *prefix = g_strndup(prompt, PREFIX_BYTES);
    uint32_t hash = g_str_hash(prefix);
    g_free(prefix);
    bool cached = false;
    pthread_mutex_lock(&peer->lock);
    for (uint32_t i = 0; i < PREFIX_CACHE_ENTRIES; i++) {
        cached = cached || prefix_cache[i] == hash;
    }
    if (!cached) {
        prefix_cache[prefix_cache_next] = hash;
        prefix_cache_next = (prefix_cache_next + 1) % PREFIX_CACHE_ENTRIES;
    }
    pthread_mutex_unlock(&peer->lock);
    return cached;
}

static bool
prefill(FakeRequest_t *request, const char *prompt)
{
    double cost_ms = (double)strlen(prompt) / PREFILL_BYTES_PER_MS;
    if (use_prefix(request->peer, prompt)) {
        cost_ms *= 1.0 - PREFIX_SAVING;
    }
    return FakeRequest_Sleep(request,
                             (int64_t)(cost_ms / request->peer->speed));
}

/* Waits for the next token and writes its text; false on hang-up. */
static bool
generate(Generation_t *self, char *text, size_t size_bytes)
{
    FakeServer_t *peer = self->peer;
    pthread_mutex_lock(&peer->lock);
    double batch = 1.0 + BATCH_SLOWDOWN * (double)(peer->running - 1);
    peer->tokens++;
    pthread_mutex_unlock(&peer->lock);
    self->owed_ms += TOKEN_MS * batch / peer->speed;
    int64_t pause_ms = (int64_t)self->owed_ms;
    self->owed_ms -= (double)pause_ms;
    EyRandom_t random = EyRandom_Make(self->seed + self->next);
    (void)g_snprintf(text, size_bytes, "w%u ",
                     (uint32_t)EyRandom_Below(&random, 10000));
    self->next++;
    return FakeRequest_Sleep(self->request, pause_ms);
}

static void
free_generation(void *data)
{
    Generation_t *self = data;
    if (!self->done) {
        pthread_mutex_lock(&self->peer->lock);
        self->peer->cancelled++;
        pthread_mutex_unlock(&self->peer->lock);
    }
    FakeServer_GiveSlot(self->peer);
    g_free(self);
}

static bool
fill_event(Generation_t *self)
{
    if (self->next == self->token_count) {
        self->done = true;
        self->pending_bytes = g_strlcpy(self->pending, "data: [DONE]\n\n",
                                        sizeof(self->pending));
        return true;
    }
    char text[32];
    uint32_t index = self->next;
    if (!generate(self, text, sizeof(text))) {
        return false;
    }
    json_t *choice =
        self->is_chat
            ? json_pack("{s:i,s:{s:s}}", "index", 0, "delta", "content", text)
            : json_pack("{s:i,s:s}", "index", 0, "text", text);
    json_t *json =
        json_pack("{s:i,s:[o]}", "index", (int)index, "choices", choice);
    char *line = json_dumps(json, JSON_COMPACT);
    self->pending_bytes = (size_t)g_snprintf(
        self->pending, sizeof(self->pending), "data: %s\n\n", line);
    free(line);
    json_decref(json);
    return true;
}

static ssize_t
read_events(void *data, uint64_t offset_bytes, char *buffer, size_t room_bytes)
{
    (void)offset_bytes;
    Generation_t *self = data;
    if (self->pending_given_bytes == self->pending_bytes) {
        if (self->done) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        self->pending_given_bytes = 0;
        self->pending_bytes = 0;
        if (!fill_event(self)) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    size_t step_bytes = self->pending_bytes - self->pending_given_bytes;
    step_bytes = step_bytes < room_bytes ? step_bytes : room_bytes;
    memcpy(buffer, self->pending + self->pending_given_bytes, step_bytes);
    self->pending_given_bytes += step_bytes;
    return (ssize_t)step_bytes;
}

static enum MHD_Result
respond_stream(Generation_t *self)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, EVENT_MAX_BYTES, read_events, self, free_generation);
    return FakeRequest_Respond(self->request, MHD_HTTP_OK, "text/event-stream",
                               response);
}

static enum MHD_Result
respond_whole(Generation_t *self)
{
    GString *text = g_string_new(NULL);
    bool stays = true;
    while (stays && self->next < self->token_count) {
        char word[32];
        stays = generate(self, word, sizeof(word));
        g_string_append(text, word);
    }
    self->done = stays;
    enum MHD_Result result = MHD_NO;
    if (stays) {
        json_t *choice =
            self->is_chat
                ? json_pack("{s:i,s:{s:s,s:s}}", "index", 0, "message", "role",
                            "assistant", "content", text->str)
                : json_pack("{s:i,s:s}", "index", 0, "text", text->str);
        json_t *json = json_pack("{s:s,s:[o],s:{s:i}}", "server",
                                 self->peer->id, "choices", choice, "usage",
                                 "completion_tokens", (int)self->token_count);
        result = FakeRequest_RespondJson(self->request, MHD_HTTP_OK, json);
    }
    g_string_free(text, TRUE);
    free_generation(self);
    return result;
}

static Generation_t *
make_generation(FakeRequest_t *request, json_t *json, const char *prompt)
{
    Generation_t *self = g_new0(Generation_t, 1);
    self->request = request;
    self->peer = request->peer;
    self->is_chat = strstr(request->path, "/chat/") != NULL;
    self->seed = (uint64_t)g_str_hash(prompt) << 20;
    json_t *limit = json_object_get(json, "max_tokens");
    self->token_count = json_is_integer(limit)
                            ? (uint32_t)json_integer_value(limit)
                            : TOKENS_UNSET;
    const char *after = FakeRequest_Header(request, "Ebonyyard-Resume-After");
    if (after != NULL) {
        uint32_t events = (uint32_t)strtoul(after, NULL, 10);
        self->next = events < self->token_count ? events : self->token_count;
    }
    return self;
}

static enum MHD_Result
handle_generation(FakeRequest_t *request, json_t *json)
{
    if (!FakeServer_TakeSlot(request)) {
        return MHD_NO;
    }
    (void)FakeServer_CountRun(
        request->peer, FakeRequest_Header(request, "X-Request-Id"), NULL);
    char *prompt = prompt_text(json);
    bool stays = prefill(request, prompt);
    Generation_t *generation = make_generation(request, json, prompt);
    g_free(prompt);
    if (!stays) {
        free_generation(generation);
        return MHD_NO;
    }
    if (json_is_true(json_object_get(json, "stream"))) {
        return respond_stream(generation);
    }
    return respond_whole(generation);
}

static bool
holds_model(const FakeServer_t *peer, const char *model, guint *place)
{
    return g_ptr_array_find_with_equal_func(peer->targets, model, g_str_equal,
                                            place);
}

/* Carries an order out; false if its fencing number is too old. */
static bool
obey(FakeServer_t *peer, uint64_t fencing, const char *model, bool load)
{
    bool taken = peer->no_fencing || fencing >= peer->fencing;
    peer->fencing = fencing > peer->fencing ? fencing : peer->fencing;
    if (!taken) {
        peer->orders_refused++;
        return false;
    }
    peer->orders++;
    guint place = 0;
    bool held = holds_model(peer, model, &place);
    if (load && !held) {
        g_ptr_array_add(peer->targets, g_strdup(model));
    }
    else if (!load && held) {
        g_ptr_array_remove_index(peer->targets, place);
    }
    return true;
}

static enum MHD_Result
handle_order(FakeRequest_t *request, json_t *json)
{
    FakeServer_t *peer = request->peer;
    json_t *fencing = json_object_get(json, "fencing");
    const char *model = json_string_value(json_object_get(json, "model"));
    const char *action = json_string_value(json_object_get(json, "action"));
    if (!json_is_integer(fencing) || model == NULL || action == NULL) {
        return FakeRequest_RespondJson(request, MHD_HTTP_BAD_REQUEST,
                                       json_object());
    }
    pthread_mutex_lock(&peer->lock);
    bool taken = obey(peer, (uint64_t)json_integer_value(fencing), model,
                      strcmp(action, "load") == 0);
    json_t *answer = json_pack("{s:I}", "fencing", (json_int_t)peer->fencing);
    pthread_mutex_unlock(&peer->lock);
    return FakeRequest_RespondJson(
        request, taken ? MHD_HTTP_OK : MHD_HTTP_CONFLICT, answer);
}

static enum MHD_Result
handle(FakeRequest_t *request)
{
    json_t *json = json_loadb(request->body->str, request->body->len, 0, NULL);
    enum MHD_Result result;
    if (!json_is_object(json)) {
        result = FakeRequest_RespondJson(request, MHD_HTTP_BAD_REQUEST,
                                         json_object());
    }
    else if (strcmp(request->path, "/v1/orders") == 0) {
        result = handle_order(request, json);
    }
    else if (strcmp(request->path, "/v1/chat/completions") == 0 ||
             strcmp(request->path, "/v1/completions") == 0)
    {
        result = handle_generation(request, json);
    }
    else {
        result = FakeRequest_RespondJson(request, MHD_HTTP_NOT_FOUND,
                                         json_object());
    }
    json_decref(json);
    return result;
}

int
main(int argc, const char **argv)
{
    static const FakeKind_t kind = {
        .program = "fake-model",
        .name = "model",
        .targets = "models",
        .handler = handle,
    };
    return FakeServer_Main(&kind, argc, argv);
}
