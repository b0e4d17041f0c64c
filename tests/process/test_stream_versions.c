/* Streams that clients take up at a gateway that was out of step while engines
 * of a new software version joined: it stood still, or was cut off from all
 * other instances. */
#include "process/engines.h"
#include "process/harness.h"
#include "process/routed_gateways.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENGINES 2 /* of each version */
#define STREAMS 12
/** Streams that begin at a time. */
#define BATCH 6
#define START_TIMEOUT_MS 15000
/** Time until the gateway is in step again and streams go on. */
#define RECOVERY_MS 12000
#define STREAM_MS 3000
/** Streams are broken off by their client after this event, of ten. */
#define BREAK_EVENT 3
#define LAST_EVENT 10

enum { STALE, OTHER, GATEWAYS };

typedef enum Trouble { STANDS_STILL, IS_CUT_OFF } Trouble_t;

static const uint32_t Regions[GATEWAYS] = {0, 0};
static const char Routes[] =
    "{\"version\":3,\"routes\":[{\"name\":\"plan\",\"host\":\"127.0.0.1\","
    "\"path_prefix\":\"/plan/\",\"call_kind\":\"stream\",\"resumable\":"
    "true,\"timeout_ms\":5000,\"latency_objective_ms\":1500,\"priority\":"
    "1,\"service\":\"guide\",\"attempts_max\":3}],\"services\":[{\"name\":"
    "\"guide\",\"engine\":{\"slots\":4}}]}";

/** A stream that its client broke off. */
typedef struct Stream {
    char id[32];      /* of the attempt that began it */
    char version[16]; /* of the engine that began it */
    bool goes_on;
} Stream_t;

/** What became of the attempts to take streams up. */
typedef struct Outcome {
    uint32_t joined; /* of two versions */
    uint32_t refused;
    uint32_t gone_on;
} Outcome_t;

static RoutedGateways_t Fleet;
static Engines_t *Old;
static Engines_t *New;
static char CutFile[HARNESS_ARG_SIZE_BYTES + 16];
static uint32_t LastAttempt;

static void
stop_engines(Engines_t **engines)
{
    if (*engines != NULL) {
        Engines_Stop(*engines);
        *engines = NULL;
    }
}

static void
end_all(void)
{
    stop_engines(&Old);
    stop_engines(&New);
    RoutedGateways_Kill(&Fleet);
    (void)unlink(CutFile);
}

TestSuite(stream_version_gateways, .fini = end_all, .timeout = 90);

/* Fleet */

/** Lists the instances whose messages no instance takes. */
static void
write_cut(const char *ids)
{
    cr_assert(g_file_set_contents(CutFile, ids, -1, NULL));
}

static void
start_gateways(void)
{
    char folder[HARNESS_ARG_SIZE_BYTES];
    Harness_MakeFolder(folder, sizeof(folder), "versions-cut");
    (void)snprintf(CutFile, sizeof(CutFile), "%s/cut", folder);
    write_cut("");
    (void)setenv("EBONYYARD_TEST_CUT_FILE", CutFile, 1);
    RoutedGateways_Start(&Fleet, "versions", Regions, GATEWAYS, "platform");
    RoutedGateways_PutRoutes(&Fleet, Routes);
}

/** Starts engines that announce themselves to the other gateway. */
static Engines_t *
start_engines(const char *version)
{
    BackendSite_t sites[ENGINES] = {{.zone = NULL}};
    for (uint32_t i = 0; i < ENGINES; i++) {
        sites[i].zone = RoutedGateways_zones[0];
        sites[i].gateway_ports[0] = Fleet.gateways[OTHER].port;
    }
    static const EngineFault_t None = {.part = 0};
    return Engines_Start("guide", sites, ENGINES, &None, version);
}

static void
set_trouble(Trouble_t trouble, bool is_on)
{
    const Process_t *gateway = &Fleet.gateways[STALE];
    if (trouble == STANDS_STILL) {
        Process_Signal(gateway, is_on ? SIGSTOP : SIGCONT);
        return;
    }
    write_cut(is_on ? gateway->name : "");
}

/* Streams */

static int
send_stream(uint32_t gateway, const char *id, const char *resumption)
{
    int socket = raw_connect(Fleet.routed_ports[gateway]);
    cr_assert_geq(socket, 0);
    char *text =
        g_strdup_printf("POST /plan/trip HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                        "Attempt-Id: %s\r\nDeadline-Ms: 4000\r\n"
                        "Token-Usage: 1700,20\r\nPrompt-Prefix: %x:840"
                        "\r\n%sConnection: close\r\nContent-Length: 2\r\n\r\n"
                        "{}",
                        id, 0x10000 + LastAttempt, resumption);
    (void)raw_send_text(socket, text);
    g_free(text);
    return socket;
}

static void
next_id(char *id, size_t size_bytes)
{
    LastAttempt++;
    (void)snprintf(id, size_bytes, "versions-%u", LastAttempt);
}

/** Reads the first events of a stream and breaks it off; false if it was
 * refused. */
static bool
break_off(int socket, Stream_t *stream)
{
    char text[RAW_TEXT_MAX_BYTES];
    char marker[32];
    (void)snprintf(marker, sizeof(marker), "w%u\n", BREAK_EVENT);
    (void)raw_read_until(socket, marker, STREAM_MS, text);
    (void)close(socket);
    const char *end = strstr(text, "w1\n");
    const char *data = strstr(text, "data: ");
    if (end == NULL || data == NULL || strstr(text, marker) == NULL) {
        return false;
    }
    data += strlen("data: ");
    (void)snprintf(stream->version, sizeof(stream->version), "%.*s",
                   (int)(end - data), data);
    return true;
}

static bool
begin_stream(uint32_t gateway, Stream_t *stream)
{
    next_id(stream->id, sizeof(stream->id));
    return break_off(send_stream(gateway, stream->id, ""), stream);
}

/** True if the text has all further events, each of a version. */
static bool
has_rest(const char *text, const char *version)
{
    bool has_all = true;
    for (uint32_t i = BREAK_EVENT + 1; i <= LAST_EVENT; i++) {
        char event[64];
        (void)snprintf(event, sizeof(event), "id: %u\ndata: %sw%u\n\n", i,
                       version, i);
        has_all = has_all && strstr(text, event) != NULL;
    }
    return has_all;
}

/** True if the text has an event of another version. */
static bool
has_other(const char *text, const char *version)
{
    char own[32];
    (void)snprintf(own, sizeof(own), "data: %sw", version);
    for (const char *at = strstr(text, "data: "); at != NULL;
         at = strstr(at + 1, "data: "))
    {
        if (strncmp(at, own, strlen(own)) != 0) {
            return true;
        }
    }
    return false;
}

static void
take_up(Stream_t *stream, Outcome_t *outcome)
{
    char text[RAW_TEXT_MAX_BYTES];
    char id[32];
    char *resumption = g_strdup_printf("Last-Event-Id: %u\r\nResumes: %s\r\n",
                                       BREAK_EVENT, stream->id);
    next_id(id, sizeof(id));
    int socket = send_stream(STALE, id, resumption);
    g_free(resumption);
    (void)raw_read_until(socket, NULL, STREAM_MS, text);
    (void)close(socket);
    outcome->joined += has_other(text, stream->version);
    outcome->refused += strstr(text, "HTTP/1.1 503") != NULL;
    stream->goes_on = has_rest(text, stream->version);
    outcome->gone_on += stream->goes_on;
}

static void
await_service(uint32_t gateway)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    Stream_t stream = {.version = ""};
    bool is_served = false;
    while (!is_served && Harness_NowMs() < until_ms) {
        is_served = begin_stream(gateway, &stream);
        Harness_SleepMs(20);
    }
    cr_assert(is_served);
}

/** Begins streams at the other gateway, half of them at each version: several
 * at a time, so that engines of both get some. */
static void
begin_streams(Stream_t *streams)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    uint32_t begun[2] = {0};
    while (begun[0] + begun[1] < STREAMS && Harness_NowMs() < until_ms) {
        Stream_t batch[BATCH] = {{.goes_on = false}};
        int sockets[BATCH];
        for (uint32_t i = 0; i < BATCH; i++) {
            next_id(batch[i].id, sizeof(batch[i].id));
            sockets[i] = send_stream(OTHER, batch[i].id, "");
        }
        for (uint32_t i = 0; i < BATCH; i++) {
            bool has_begun = break_off(sockets[i], &batch[i]);
            bool is_new = strcmp(batch[i].version, "v2") == 0;
            if (has_begun && begun[is_new] < STREAMS / 2) {
                streams[begun[0] + begun[1]] = batch[i];
                begun[is_new]++;
            }
        }
    }
    cr_assert_eq(begun[0], STREAMS / 2);
    cr_assert_eq(begun[1], STREAMS / 2);
}

/** Takes all streams up that have not gone on yet. */
static uint32_t
take_all_up(Stream_t *streams, Outcome_t *outcome)
{
    uint32_t left = 0;
    for (uint32_t i = 0; i < STREAMS; i++) {
        if (!streams[i].goes_on) {
            take_up(&streams[i], outcome);
        }
        left += !streams[i].goes_on;
    }
    return left;
}

static void
check_trouble(Trouble_t trouble)
{
    Stream_t streams[STREAMS];
    Outcome_t outcome = {.joined = 0};
    start_gateways();
    Old = start_engines("v1");
    await_service(STALE);
    await_service(OTHER);
    set_trouble(trouble, true);
    New = start_engines("v2");
    begin_streams(streams);
    if (trouble == IS_CUT_OFF) {
        (void)take_all_up(streams, &outcome);
    }
    set_trouble(trouble, false);
    int64_t until_ms = Harness_NowMs() + RECOVERY_MS;
    uint32_t left = STREAMS;
    while (left > 0 && Harness_NowMs() < until_ms) {
        left = take_all_up(streams, &outcome);
        Harness_SleepMs(50);
    }
    (void)fprintf(stderr, "taken up: %u went on, %u refused, %u joined\n",
                  outcome.gone_on, outcome.refused, outcome.joined);
    cr_expect_eq(outcome.joined, 0, "%u streams of two versions",
                 outcome.joined);
    cr_expect_eq(left, 0, "%u streams did not go on", left);
}

Test(stream_version_gateways, a_gateway_that_stood_still_joins_no_two_versions)
{
    check_trouble(STANDS_STILL);
}

Test(stream_version_gateways, a_gateway_that_was_cut_off_joins_no_two_versions)
{
    check_trouble(IS_CUT_OFF);
}
