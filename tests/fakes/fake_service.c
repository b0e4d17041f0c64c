/**
 * A plain service. The header Fake-Behaviour of a request asks for faults,
 * several at once:
 * delay=MS,crash-after-read,close-midway,wrong-id,truncate,never,big=BYTES,
 * status=N.
 */
#include "fakes/server.h"

#include <stdlib.h>
#include <string.h>

#define BODY_STEP_BYTES 16384

typedef struct Behaviour {
    int64_t delay_ms;
    bool crash_after_read;
    bool close_midway;
    bool wrong_id;
    bool truncate;
    bool never;
    uint64_t big_bytes;
    uint32_t status;
} Behaviour_t;

/** A body that is given out in steps and may break off halfway. */
typedef struct Body {
    char *data;
    uint64_t size_bytes;
    uint64_t end_bytes; /* where it breaks off */
} Body_t;

static void
read_word(Behaviour_t *behaviour, const char *word)
{
    const char *value = strchr(word, '=');
    uint64_t number = value != NULL ? strtoull(value + 1, NULL, 10) : 0;
    if (g_str_has_prefix(word, "delay=")) {
        behaviour->delay_ms = (int64_t)number;
    }
    else if (g_str_has_prefix(word, "big=")) {
        behaviour->big_bytes = number;
    }
    else if (g_str_has_prefix(word, "status=")) {
        behaviour->status = (uint32_t)number;
    }
    behaviour->crash_after_read |= strcmp(word, "crash-after-read") == 0;
    behaviour->close_midway |= strcmp(word, "close-midway") == 0;
    behaviour->wrong_id |= strcmp(word, "wrong-id") == 0;
    behaviour->truncate |= strcmp(word, "truncate") == 0;
    behaviour->never |= strcmp(word, "never") == 0;
}

static Behaviour_t
read_behaviour(const FakeRequest_t *request)
{
    Behaviour_t behaviour = {.status = MHD_HTTP_OK};
    const char *text = FakeRequest_Header(request, "Fake-Behaviour");
    char **words = g_strsplit(text != NULL ? text : "", ",", -1);
    for (char **word = words; *word != NULL; word++) {
        read_word(&behaviour, g_strstrip(*word));
    }
    g_strfreev(words);
    return behaviour;
}

static ssize_t
read_body(void *data, uint64_t offset_bytes, char *buffer, size_t room_bytes)
{
    const Body_t *body = data;
    if (offset_bytes >= body->end_bytes) {
        return body->end_bytes < body->size_bytes
                   ? MHD_CONTENT_READER_END_WITH_ERROR
                   : MHD_CONTENT_READER_END_OF_STREAM;
    }
    uint64_t left_bytes = body->end_bytes - offset_bytes;
    size_t step_bytes = left_bytes < room_bytes ? left_bytes : room_bytes;
    memcpy(buffer, body->data + offset_bytes, step_bytes);
    return (ssize_t)step_bytes;
}

static void
free_body(void *data)
{
    Body_t *body = data;
    g_free(body->data);
    g_free(body);
}

static char *
answer_text(const FakeRequest_t *request, uint64_t run, const char *key,
            uint64_t big_bytes)
{
    char *filler = g_strnfill(big_bytes, 'x');
    const char *id = FakeRequest_Header(request, "X-Request-Id");
    json_t *json = json_pack(
        "{s:I,s:s,s:s,s:s,s:s,s:s,s:I}", "run", (json_int_t)run, "key",
        key != NULL ? key : "", "request_id", id != NULL ? id : "", "path",
        request->path, "method", request->method, "server", request->peer->id,
        "body_bytes", (json_int_t)request->body->len);
    if (big_bytes > 0) {
        json_object_set_new(json, "filler", json_string(filler));
    }
    char *text = json_dumps(json, JSON_COMPACT);
    char *copy = g_strdup(text);
    free(text);
    json_decref(json);
    g_free(filler);
    return copy;
}

static enum MHD_Result
respond(const FakeRequest_t *request, const Behaviour_t *behaviour, char *text)
{
    Body_t *body = g_new0(Body_t, 1);
    body->data = text;
    body->size_bytes = strlen(text);
    body->end_bytes = body->size_bytes;
    if (behaviour->close_midway || behaviour->truncate) {
        body->end_bytes /= 2;
    }
    uint64_t announced_bytes =
        behaviour->close_midway ? MHD_SIZE_UNKNOWN : body->size_bytes;
    struct MHD_Response *response = MHD_create_response_from_callback(
        announced_bytes, BODY_STEP_BYTES, read_body, body, free_body);
    if (behaviour->wrong_id) {
        MHD_add_response_header(response, "X-Request-Id", "someone-elses");
    }
    return FakeRequest_Respond(request, behaviour->status, "application/json",
                               response);
}

static enum MHD_Result
handle(FakeRequest_t *request)
{
    FakeServer_t *peer = request->peer;
    Behaviour_t behaviour = read_behaviour(request);
    const char *key = FakeRequest_Header(request, "Idempotency-Key");
    if (!FakeServer_TakeSlot(request)) {
        return MHD_NO;
    }
    uint64_t run = FakeServer_CountRun(
        peer, FakeRequest_Header(request, "X-Request-Id"), key);
    bool stays = FakeRequest_Sleep(request, behaviour.delay_ms);
    while (stays && behaviour.never) {
        stays = FakeRequest_Sleep(request, 100);
    }
    enum MHD_Result result = MHD_NO;
    if (stays && !behaviour.crash_after_read) {
        char *text = answer_text(request, run, key, behaviour.big_bytes);
        result = respond(request, &behaviour, text);
    }
    FakeServer_GiveSlot(peer);
    return result;
}

int
main(int argc, const char **argv)
{
    static const FakeKind_t kind = {
        .program = "fake-service",
        .name = "service",
        .targets = "services",
        .handler = handle,
    };
    return FakeServer_Main(&kind, argc, argv);
}
