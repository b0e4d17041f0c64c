/**
 * A fake model engine: continuous batching over slots, prefill time with a
 * bounded prefix cache, time per token by speed and batch size, streams that
 * can be resumed after a given event, and load and unload orders with fencing
 * numbers. The tokens depend on the prompt only, so a stream that is resumed
 * at another server continues with the same tokens. Event n of a stream (from
 * 1) has index n - 1.
 */
#include "core/random.h"
#include "fakes/server.h"

#include <stdlib.h>
#include <string.h>

/** Tokens generated if the request has no max_tokens. */
#define TOKENS_DEFAULT 16
#define PREFILL_BYTES_PER_MS 100.0
#define TOKEN_MS 10.0
/** Fraction of TOKEN_MS that each further request in the batch adds. */
#define BATCH_SLOWDOWN 0.05
/** Prompts with the same first bytes share an entry of the prefix cache. */
#define PREFIX_SIZE_BYTES 256
#define PREFIX_CACHE_ENTRIES 16
/** Fraction of the prefill time that a cached prefix saves. */
#define PREFIX_SAVING 0.8
#define EVENT_MAX_BYTES 512

/** Hashes of cached prefixes, oldest overwritten first; guarded by the
 * server's lock. */
static uint32_t prefix_cache[PREFIX_CACHE_ENTRIES];
static uint32_t prefix_cache_next;

/** One generation. */
typedef struct Generation {
    FakeRequest_t *request;
    FakeServer_t *server;
    uint64_t seed;
    uint32_t next_token; /* index of the next token */
    uint32_t token_count;
    bool is_chat;
    bool done;
    double unslept_ms; /* fraction of a millisecond not slept yet */
    char pending[EVENT_MAX_BYTES]; /* the event being sent */
    size_t pending_bytes;
    size_t pending_sent_bytes;
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

/* Returns whether the prompt's prefix is cached; adds it if it is not. */
static bool
touch_prefix_cache(FakeServer_t *server, const char *prompt)
{
    char *prefix = g_strndup(prompt, PREFIX_SIZE_BYTES);
    uint32_t hash = g_str_hash(prefix);
    g_free(prefix);
    bool cached = false;
    pthread_mutex_lock(&server->lock);
    for (uint32_t i = 0; i < PREFIX_CACHE_ENTRIES; i++) {
        cached = cached || prefix_cache[i] == hash;
    }
    if (!cached) {
        prefix_cache[prefix_cache_next] = hash;
        prefix_cache_next = (prefix_cache_next + 1) % PREFIX_CACHE_ENTRIES;
    }
    pthread_mutex_unlock(&server->lock);
    return cached;
}

static bool
prefill(FakeRequest_t *request, const char *prompt)
{
    double cost_ms = (double)strlen(prompt) / PREFILL_BYTES_PER_MS;
    if (touch_prefix_cache(request->server, prompt)) {
        cost_ms *= 1.0 - PREFIX_SAVING;
    }
    return FakeRequest_Sleep(request,
                             (int64_t)(cost_ms / request->server->speed));
}

/* Waits as long as one token takes and writes its text; false if the caller
 * disconnects. */
static bool
generate_token(Generation_t *self, char *text, size_t size_bytes)
{
    FakeServer_t *server = self->server;
    pthread_mutex_lock(&server->lock);
    double batch = 1.0 + BATCH_SLOWDOWN * (double)(server->running - 1);
    server->tokens++;
    pthread_mutex_unlock(&server->lock);
    self->unslept_ms += TOKEN_MS * batch / server->speed;
    int64_t pause_ms = (int64_t)self->unslept_ms;
    self->unslept_ms -= (double)pause_ms;
    EyRandom_t random = EyRandom_Make(self->seed + self->next_token);
    (void)g_snprintf(text, size_bytes, "w%u ",
                     (uint32_t)EyRandom_Below(&random, 10000));
    self->next_token++;
    return FakeRequest_Sleep(self->request, pause_ms);
}

static void
free_generation(void *data)
{
    Generation_t *self = data;
    if (!self->done) {
        pthread_mutex_lock(&self->server->lock);
        self->server->cancelled++;
        pthread_mutex_unlock(&self->server->lock);
    }
    FakeServer_ReleaseSlot(self->server);
    g_free(self);
}

/* Writes the next event to pending; false if the caller disconnects. */
static bool
fill_event(Generation_t *self)
{
    if (self->next_token == self->token_count) {
        self->done = true;
        self->pending_bytes = g_strlcpy(self->pending, "data: [DONE]\n\n",
                                        sizeof(self->pending));
        return true;
    }
    char text[32];
    uint32_t index = self->next_token;
    if (!generate_token(self, text, sizeof(text))) {
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
read_events(void *data, uint64_t offset_bytes, char *buffer, size_t max_bytes)
{
    (void)offset_bytes;
    Generation_t *self = data;
    if (self->pending_sent_bytes == self->pending_bytes) {
        if (self->done) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        self->pending_sent_bytes = 0;
        self->pending_bytes = 0;
        if (!fill_event(self)) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    size_t copy_bytes = self->pending_bytes - self->pending_sent_bytes;
    copy_bytes = copy_bytes < max_bytes ? copy_bytes : max_bytes;
    memcpy(buffer, self->pending + self->pending_sent_bytes, copy_bytes);
    self->pending_sent_bytes += copy_bytes;
    return (ssize_t)copy_bytes;
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
respond_complete(Generation_t *self)
{
    GString *text = g_string_new(NULL);
    bool connected = true;
    while (connected && self->next_token < self->token_count) {
        char word[32];
        connected = generate_token(self, word, sizeof(word));
        g_string_append(text, word);
    }
    self->done = connected;
    enum MHD_Result result = MHD_NO;
    if (connected) {
        json_t *choice =
            self->is_chat
                ? json_pack("{s:i,s:{s:s,s:s}}", "index", 0, "message", "role",
                            "assistant", "content", text->str)
                : json_pack("{s:i,s:s}", "index", 0, "text", text->str);
        json_t *json = json_pack("{s:s,s:[o],s:{s:i}}", "server",
                                 self->server->id, "choices", choice, "usage",
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
    self->server = request->server;
    self->is_chat = strstr(request->path, "/chat/") != NULL;
    self->seed = (uint64_t)g_str_hash(prompt) << 20;
    json_t *limit = json_object_get(json, "max_tokens");
    self->token_count = json_is_integer(limit)
                            ? (uint32_t)json_integer_value(limit)
                            : TOKENS_DEFAULT;
    const char *resume_after =
        FakeRequest_Header(request, "Ebonyyard-Resume-After");
    if (resume_after != NULL) {
        uint32_t events = (uint32_t)strtoul(resume_after, NULL, 10);
        self->next_token =
            events < self->token_count ? events : self->token_count;
    }
    return self;
}

static enum MHD_Result
handle_generation(FakeRequest_t *request, json_t *json)
{
    if (!FakeServer_AcquireSlot(request)) {
        return MHD_NO;
    }
    (void)FakeServer_CountRun(
        request->server, FakeRequest_Header(request, "X-Request-Id"), NULL);
    char *prompt = prompt_text(json);
    bool connected = prefill(request, prompt);
    Generation_t *generation = make_generation(request, json, prompt);
    g_free(prompt);
    if (!connected) {
        free_generation(generation);
        return MHD_NO;
    }
    if (json_is_true(json_object_get(json, "stream"))) {
        return respond_stream(generation);
    }
    return respond_complete(generation);
}

static bool
find_model(const FakeServer_t *server, const char *model, guint *index)
{
    return g_ptr_array_find_with_equal_func(server->targets, model,
                                            g_str_equal, index);
}

/* Executes a load or unload order; false if its fencing number is lower than
 * one seen before. */
static bool
execute_order(FakeServer_t *server, uint64_t fencing, const char *model,
              bool load)
{
    bool accepted = server->no_fencing || fencing >= server->highest_fencing;
    server->highest_fencing =
        fencing > server->highest_fencing ? fencing : server->highest_fencing;
    if (!accepted) {
        server->orders_refused++;
        return false;
    }
    server->orders++;
    guint index = 0;
    bool loaded = find_model(server, model, &index);
    if (load && !loaded) {
        g_ptr_array_add(server->targets, g_strdup(model));
    }
    else if (!load && loaded) {
        g_ptr_array_remove_index(server->targets, index);
    }
    return true;
}

static enum MHD_Result
handle_order(FakeRequest_t *request, json_t *json)
{
    FakeServer_t *server = request->server;
    json_t *fencing = json_object_get(json, "fencing");
    const char *model = json_string_value(json_object_get(json, "model"));
    const char *action = json_string_value(json_object_get(json, "action"));
    if (!json_is_integer(fencing) || model == NULL || action == NULL) {
        return FakeRequest_RespondJson(request, MHD_HTTP_BAD_REQUEST,
                                       json_object());
    }
    pthread_mutex_lock(&server->lock);
    bool accepted =
        execute_order(server, (uint64_t)json_integer_value(fencing), model,
                      strcmp(action, "load") == 0);
    json_t *answer =
        json_pack("{s:I}", "fencing", (json_int_t)server->highest_fencing);
    pthread_mutex_unlock(&server->lock);
    return FakeRequest_RespondJson(
        request, accepted ? MHD_HTTP_OK : MHD_HTTP_CONFLICT, answer);
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
