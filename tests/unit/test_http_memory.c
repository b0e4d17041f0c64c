#include "client_fixture.h"
#include "core/memory.h"
#include "server_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Size of the answer; EY_TEST_ANSWER_MB overrides it for longer runs. */
#define ANSWER_MB 256
#define PART_BYTES 65536
#define STREAM_BYTES 65536
/* Memory that client, stream and server may use together, independent of the
 * size of the answer. The sanitizers keep freed memory and its shadow memory.
 */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define GROWTH_MAX_KB (ANSWER_MB * 1024 / 3)
#else
#define GROWTH_MAX_KB 6144
#endif

static uint64_t
answer_bytes(void)
{
    const char *text = getenv("EY_TEST_ANSWER_MB");
    return (text != NULL ? strtoull(text, NULL, 10) : ANSWER_MB) << 20;
}

/** A memory value of this process in kB, such as VmHWM. */
static int64_t
memory_kb(const char *name)
{
    FILE *file = fopen("/proc/self/status", "r");
    cr_assert_not_null(file);
    char line[256];
    int64_t figure_kb = 0;
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, name, strlen(name)) == 0) {
            figure_kb = strtoll(line + strlen(name) + 1, NULL, 10);
        }
    }
    (void)fclose(file);
    return figure_kb;
}

static void
serve_huge(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, OK "Transfer-Encoding: chunked\r\n\r\n");
        memset(text, 'x', sizeof(text));
        for (uint64_t sent = 0; sent < answer_bytes(); sent += PART_BYTES) {
            if (!raw_send_text(socket, "10000\r\n") ||
                !raw_send(socket, text, PART_BYTES) ||
                !raw_send_text(socket, "\r\n"))
            {
                return;
            }
        }
        (void)raw_send_text(socket, "0\r\n\r\n");
    }
}

typedef struct Reader {
    int socket;
    uint64_t size_bytes;
    bool ended;
} Reader_t;

/** Reads nothing for 300 ms, then everything, with a pause every 16 MiB. */
static void *
read_slowly(void *data)
{
    Reader_t *reader = data;
    char text[RAW_TEXT_MAX_BYTES];
    (void)usleep(300000);
    ssize_t got = 0;
    uint64_t pauses = 0;
    while ((got = read(reader->socket, text, sizeof(text))) > 0) {
        reader->size_bytes += (uint64_t)got;
        if (reader->size_bytes >> 24 > pauses) {
            pauses++;
            (void)usleep(5000);
        }
    }
    __atomic_store_n(&reader->ended, true, __ATOMIC_SEQ_CST);
    return NULL;
}

Test(http_memory, large_answer_to_a_slow_caller_uses_bounded_memory,
     .timeout = 280)
{
    ClientFixture_t *client_fixture = client_fixture_new();
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    ScriptedServer_t *peer = scripted_server_start(serve_huge, NULL);
    Reader_t reader = {
        .socket = server_fixture_send(
            fixture, "GET /v1/services/a/x HTTP/1.1\r\nHost: a\r\n"
                     "Connection: close\r\n\r\n"),
    };
    EyRequest_t *request = server_fixture_take(fixture);
    int64_t before_kb = memory_kb("VmRSS:");
    EyAttempt_t *attempt = make_attempt(1, peer->port, "GET", "/x");
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    answer->stream = EyStream_New(STREAM_BYTES);
    attempt->stream = EyStream_Ref(answer->stream);
    attempt->body_mode = EY_ATTEMPT_STREAM;
    attempt->deadline_ms = 0;
    EyServer_Answer(fixture->server, request->number, answer);
    EyClient_Start(client_fixture->client, attempt);
    pthread_t thread;
    (void)pthread_create(&thread, NULL, read_slowly, &reader);
    while (!__atomic_load_n(&reader.ended, __ATOMIC_SEQ_CST)) {
        run_for(client_fixture, 20);
        const EyAttemptEvent_t *event = last_event(client_fixture, 1);
        bool has_failed = event != NULL && event->kind == EY_ATTEMPT_FAILED;
        cr_assert_not(has_failed, "the attempt failed");
    }
    (void)pthread_join(thread, NULL);
    int64_t growth_kb = memory_kb("VmHWM:") - before_kb;
    cr_log_info("%lu bytes read, memory grew by %ld kB", reader.size_bytes,
                growth_kb);
    cr_assert_geq(reader.size_bytes, answer_bytes());
    cr_assert_eq(last_event(client_fixture, 1)->kind, EY_ATTEMPT_DONE);
    cr_assert_eq(last_event(client_fixture, 1)->bytes_passed, answer_bytes());
    cr_assert_lt(growth_kb, GROWTH_MAX_KB, "grew by %ld kB", growth_kb);
    talloc_free(request);
    (void)close(reader.socket);
    server_fixture_free(fixture);
    client_fixture_free(client_fixture);
    scripted_server_stop(peer);
}
