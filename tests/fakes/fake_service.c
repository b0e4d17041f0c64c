/**
 * A fake service. The request header Fake-Behaviour lists faults to inject,
 * separated by commas:
 *   delay=MS          wait before answering
 *   crash-after-read  count the run, then close the connection without answer
 *   close-midway      close in the middle of a body without Content-Length
 *   truncate          close in the middle of a body with Content-Length
 *   wrong-id          answer with the X-Request-Id of another request
 *   never             send no answer until the caller disconnects
 *   big=BYTES         add as many bytes of filler to the body
 *   status=N          answer with this HTTP status
 *   refuse=SECONDS    answer 503 without a run, with this Retry-After, after
 *                     the delay
 *   leaving           say in the answer that this server is leaving
 *   limit=TEXT        name this limit of requests a second in the answer
 *   at=ID             the faults named after it occur at this server only
 */
#include "fakes/server.h"

#include <stdlib.h>
#include <string.h>

#define BODY_BLOCK_BYTES 16384

typedef struct Behaviour {
    int64_t delay_ms;
    bool crash_after_read;
    bool close_midway;
    bool wrong_id;
    bool truncate;
    bool never_answer;
    uint64_t filler_bytes;
    uint32_t status;
    char retry_after[32]; /* "": runs the request */
    char limit[32];       /* "": names none */
    bool says_leaving;
    bool is_elsewhere; /* the further words are for another server */
} Behaviour_t;

/** A body that MHD reads in blocks and that may end early. */
typedef struct Body {
    char *data;
    uint64_t size_bytes;
    uint64_t end_bytes; /* below size_bytes: the connection closes there */
} Body_t;

static void
parse_behaviour(Behaviour_t *behaviour, const char *server, const char *word)
{
    const char *value = strchr(word, '=');
    if (g_str_has_prefix(word, "at=")) {
        behaviour->is_elsewhere = strcmp(value + 1, server) != 0;
    }
    if (behaviour->is_elsewhere) {
        return;
    }
    uint64_t number = value != NULL ? strtoull(value + 1, NULL, 10) : 0;
    if (g_str_has_prefix(word, "delay=")) {
        behaviour->delay_ms = (int64_t)number;
    }
    else if (g_str_has_prefix(word, "big=")) {
        behaviour->filler_bytes = number;
    }
    else if (g_str_has_prefix(word, "status=")) {
        behaviour->status = (uint32_t)number;
    }
    else if (g_str_has_prefix(word, "refuse=")) {
        (void)g_strlcpy(behaviour->retry_after, value + 1,
                        sizeof(behaviour->retry_after));
    }
    else if (g_str_has_prefix(word, "limit=")) {
        (void)g_strlcpy(behaviour->limit, value + 1, sizeof(behaviour->limit));
    }
    behaviour->says_leaving |= strcmp(word, "leaving") == 0;
    behaviour->crash_after_read |= strcmp(word, "crash-after-read") == 0;
    behaviour->close_midway |= strcmp(word, "close-midway") == 0;
    behaviour->wrong_id |= strcmp(word, "wrong-id") == 0;
    behaviour->truncate |= strcmp(word, "truncate") == 0;
    behaviour->never_answer |= strcmp(word, "never") == 0;
}

static Behaviour_t
read_behaviour(const FakeRequest_t *request)
{
    Behaviour_t behaviour = {.status = MHD_HTTP_OK};
    const char *text = FakeRequest_Header(request, "Fake-Behaviour");
    char **words = g_strsplit(text != NULL ? text : "", ",", -1);
    for (char **word = words; *word != NULL; word++) {
        parse_behaviour(&behaviour, request->server->id, g_strstrip(*word));
    }
    g_strfreev(words);
    return behaviour;
}

static ssize_t
read_body(void *data, uint64_t offset_bytes, char *buffer, size_t max_bytes)
{
    const Body_t *body = data;
    if (offset_bytes >= body->end_bytes) {
        return body->end_bytes < body->size_bytes
                   ? MHD_CONTENT_READER_END_WITH_ERROR
                   : MHD_CONTENT_READER_END_OF_STREAM;
    }
    uint64_t left_bytes = body->end_bytes - offset_bytes;
    size_t copy_bytes = left_bytes < max_bytes ? left_bytes : max_bytes;
    memcpy(buffer, body->data + offset_bytes, copy_bytes);
    return (ssize_t)copy_bytes;
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
            uint64_t filler_bytes)
{
    char *filler = g_strnfill(filler_bytes, 'x');
    const char *id = FakeRequest_Header(request, "X-Request-Id");
    json_t *json = json_pack(
        "{s:I,s:s,s:s,s:s,s:s,s:s,s:I}", "run", (json_int_t)run, "key",
        key != NULL ? key : "", "request_id", id != NULL ? id : "", "path",
        request->path, "method", request->method, "server",
        request->server->id, "body_bytes", (json_int_t)request->body->len);
    if (filler_bytes > 0) {
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
    uint64_t declared_bytes =
        behaviour->close_midway ? MHD_SIZE_UNKNOWN : body->size_bytes;
    struct MHD_Response *response = MHD_create_response_from_callback(
        declared_bytes, BODY_BLOCK_BYTES, read_body, body, free_body);
    if (behaviour->wrong_id) {
        MHD_add_response_header(response, "X-Request-Id", "someone-elses");
    }
    if (behaviour->says_leaving) {
        MHD_add_response_header(response, "Ebonyyard-Leaving", "1");
    }
    if (behaviour->limit[0] != '\0') {
        MHD_add_response_header(response, "Ebonyyard-Limit", behaviour->limit);
    }
    return FakeRequest_Respond(request, behaviour->status, "application/json",
                               response);
}

static enum MHD_Result
refuse(const FakeRequest_t *request, const Behaviour_t *behaviour)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(response, "Ebonyyard-Not-Run", "1");
    MHD_add_response_header(response, "Retry-After", behaviour->retry_after);
    return FakeRequest_Respond(request, MHD_HTTP_SERVICE_UNAVAILABLE,
                               "text/plain", response);
}

static enum MHD_Result
handle(FakeRequest_t *request)
{
    FakeServer_t *server = request->server;
    Behaviour_t behaviour = read_behaviour(request);
    const char *key = FakeRequest_Header(request, "Idempotency-Key");
    if (behaviour.retry_after[0] != '\0') {
        return FakeRequest_Sleep(request, behaviour.delay_ms)
                   ? refuse(request, &behaviour)
                   : MHD_NO;
    }
    if (!FakeServer_AcquireSlot(request)) {
        return MHD_NO;
    }
    uint64_t run = FakeServer_CountRun(
        server, FakeRequest_Header(request, "X-Request-Id"), key);
    bool connected = FakeRequest_Sleep(request, behaviour.delay_ms);
    while (connected && behaviour.never_answer) {
        connected = FakeRequest_Sleep(request, 100);
    }
    enum MHD_Result result = MHD_NO;
    if (connected && !behaviour.crash_after_read) {
        char *text = answer_text(request, run, key, behaviour.filler_bytes);
        result = respond(request, &behaviour, text);
    }
    FakeServer_ReleaseSlot(server);
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
