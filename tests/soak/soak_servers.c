#include "soak/soak_servers.h"

#include "soak/answer_plan.h"
#include "soak/story.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINE_SLOTS 6
#define SERVICE_SLOTS 10
#define PROBE_INTERVAL_MS 10
#define DOWN_MIN_MS 1000
#define DOWN_MAX_MS 4000
#define CRASH_DELAY_MIN_MS 5
#define CRASH_DELAY_MAX_MS 100
/** By how much a length is declared that isn't reached. */
#define EXCESS_BYTES 40

struct SoakServers {
    char *name;
    char *version; /* "": plain services */
    char *fields;
    uint64_t seed;
    EndShares_t shares;
    Ledger_t *ledger;
    BackendKind_t kind;
    Backends_t *servers;
};

/** What a request asks for and how it is answered; found again from the
 * request at each step. */
typedef struct Work {
    char story[LEDGER_ID_SIZE_BYTES];
    uint32_t first; /* piece */
    uint32_t last;
    AnswerPlan_t plan;
} Work_t;

static bool
is_engine(const SoakServers_t *self)
{
    return self->version[0] != '\0';
}

static void
read_story(const BackendConnection_t *connection, char *story,
           size_t size_bytes)
{
    const char *body =
        strstr(BackendConnection_Request(connection), "\r\n\r\n");
    body = body != NULL ? body + 4 : "";
    (void)g_strlcpy(story, body, size_bytes);
}

static Work_t
read_work(const SoakServers_t *self, const BackendConnection_t *connection)
{
    Work_t work = {.first = 1,
                   .last = is_engine(self) ? STORY_EVENTS : STORY_LINES};
    char last_event[24];
    char instance[BACKENDS_ID_SIZE_BYTES];
    read_story(connection, work.story, sizeof(work.story));
    (void)BackendConnection_Header(connection, "Last-Event-Id", last_event,
                                   sizeof(last_event));
    (void)BackendConnection_Header(connection, "Expect-Instance", instance,
                                   sizeof(instance));
    if (is_engine(self)) {
        work.first = (uint32_t)strtoul(last_event, NULL, 10) + 1;
    }
    /* The caller may have all events and lack only the end. */
    if (strcmp(work.story, SOAK_PROBE) == 0 || work.first > work.last) {
        work.plan = (AnswerPlan_t){.framing = FRAMED_CHUNKS,
                                   .interval_ms = PROBE_INTERVAL_MS};
        return work;
    }
    /* The same request is answered otherwise at another server. */
    uint64_t mixed = self->seed;
    mixed = mixed * 31 + g_str_hash(BackendConnection_RequestId(connection));
    mixed = mixed * 31 + g_str_hash(instance);
    mixed = mixed * 31 + work.first;
    work.plan = AnswerPlan_Draw(&self->shares, mixed, is_engine(self),
                                work.first, work.last);
    return work;
}

static char *
make_piece(const SoakServers_t *self, const Work_t *work, uint32_t number)
{
    return is_engine(self) ? Story_Event(work->story, self->version, number)
                           : Story_Line(work->story, number);
}

static size_t
piece_size(const SoakServers_t *self, const Work_t *work, uint32_t number)
{
    char *piece = make_piece(self, work, number);
    size_t size_bytes = strlen(piece);
    g_free(piece);
    return size_bytes;
}

/** Part of a piece that is sent before the answer ends inside of it. */
static size_t
part_size(const Work_t *work, size_t piece_bytes)
{
    size_t size_bytes = (size_t)(work->plan.piece_part * (double)piece_bytes);
    return work->plan.piece_part > 0.0 ? MAX(size_bytes, 1) : 0;
}

static size_t
declared_length(const SoakServers_t *self, const Work_t *work)
{
    size_t sum = 0;
    for (uint32_t i = work->first; i <= work->last; i++) {
        size_t size_bytes = piece_size(self, work, i);
        if (work->plan.end == END_LENGTH_SHORT && i == work->plan.piece) {
            return sum + part_size(work, size_bytes);
        }
        sum += size_bytes;
    }
    return sum + (work->plan.end == END_LENGTH_LONG ? EXCESS_BYTES : 0);
}

static bool
send_head(const SoakServers_t *self, BackendConnection_t *connection,
          const Work_t *work)
{
    static const char *const Framings[] = {
        [FRAMED_CHUNKS] = "Transfer-Encoding: chunked",
        [FRAMED_CLOSE] = "Connection: close",
    };
    char length[64];
    (void)snprintf(length, sizeof(length), "Content-Length: %zu",
                   declared_length(self, work));
    char *head = g_strdup_printf(
        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n"
        "Content-Type: %s\r\n%s\r\n\r\n",
        BackendConnection_RequestId(connection), work->story,
        is_engine(self) ? "text/event-stream" : "text/plain",
        work->plan.framing == FRAMED_LENGTH ? length
                                            : Framings[work->plan.framing]);
    bool is_sent = BackendConnection_Send(connection, head);
    g_free(head);
    return is_sent;
}

static void
send_bytes(BackendConnection_t *connection, const Work_t *work,
           const char *text, size_t size_bytes)
{
    if (size_bytes == 0) {
        return;
    }
    char *part = work->plan.framing == FRAMED_CHUNKS
                     ? g_strdup_printf("%zx\r\n%.*s\r\n", size_bytes,
                                       (int)size_bytes, text)
                     : g_strndup(text, size_bytes);
    (void)BackendConnection_Send(connection, part);
    g_free(part);
}

static void
finish(BackendConnection_t *connection, const Work_t *work)
{
    if (work->plan.framing == FRAMED_CLOSE ||
        work->plan.end == END_LENGTH_LONG || work->plan.end == END_CLOSE)
    {
        BackendConnection_Close(connection);
        return;
    }
    if (work->plan.framing == FRAMED_CHUNKS) {
        (void)BackendConnection_Send(connection, "0\r\n\r\n");
    }
    BackendConnection_Finish(connection);
}

/** Ends the answer inside or before a piece. */
static void
break_off(BackendConnection_t *connection, const Work_t *work,
          const char *piece)
{
    send_bytes(connection, work, piece, part_size(work, strlen(piece)));
    if (work->plan.end == END_RESET) {
        BackendConnection_Reset(connection);
        return;
    }
    finish(connection, work);
}

static bool
breaks_off(const AnswerPlan_t *plan)
{
    return plan->end == END_LAST_CHUNK || plan->end == END_RESET ||
           plan->end == END_CLOSE ||
           (plan->end == END_LENGTH_SHORT && !plan->sends_beyond);
}

static void
send_piece(const SoakServers_t *self, BackendConnection_t *connection,
           const Work_t *work, uint32_t number)
{
    char *piece = make_piece(self, work, number);
    bool is_last = number == work->plan.piece;
    int64_t pause_ms = work->plan.interval_ms;
    Ledger_NoteWork(self->ledger, BackendConnection_RequestId(connection));
    if (is_last && breaks_off(&work->plan)) {
        break_off(connection, work, piece);
        g_free(piece);
        return;
    }
    send_bytes(connection, work, piece, strlen(piece));
    g_free(piece);
    if (is_last && work->plan.end == END_CRASH) {
        BackendConnection_EndServer(connection, CRASH_DELAY_MIN_MS,
                                    CRASH_DELAY_MAX_MS);
    }
    if (is_last && work->plan.end == END_SILENCE) {
        pause_ms = work->plan.silence_ms;
    }
    BackendConnection_ProceedAfter(connection, pause_ms);
}

static void
decline(BackendConnection_t *connection)
{
    char *text = g_strdup_printf("HTTP/1.1 503 Service Unavailable\r\n"
                                 "Attempt-Id: %s\r\nNot-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 BackendConnection_RequestId(connection));
    (void)BackendConnection_Send(connection, text);
    g_free(text);
    BackendConnection_Finish(connection);
}

static int64_t
planned_ms(const Work_t *work)
{
    uint32_t last = breaks_off(&work->plan) || work->plan.end == END_CRASH
                        ? work->plan.piece
                        : work->last;
    int64_t silence_ms =
        work->plan.end == END_SILENCE ? work->plan.silence_ms : 0;
    return (last - work->first) * work->plan.interval_ms + silence_ms;
}

static void
begin(const void *context, BackendConnection_t *connection)
{
    const SoakServers_t *self = context;
    Work_t work = read_work(self, connection);
    if (work.plan.end == END_DECLINE) {
        decline(connection);
        return;
    }
    Ledger_AddRun(self->ledger, BackendConnection_RequestId(connection),
                  planned_ms(&work));
    /* Half of the crashes come before the head. */
    if (work.plan.end == END_CRASH && work.plan.sends_beyond) {
        BackendConnection_EndServer(connection, CRASH_DELAY_MIN_MS,
                                    CRASH_DELAY_MAX_MS);
        return;
    }
    if (!send_head(self, connection, &work)) {
        return;
    }
    if (work.first > work.last) {
        finish(connection, &work);
    }
    else {
        send_piece(self, connection, &work, work.first);
    }
}

static void
proceed(const void *context, BackendConnection_t *connection)
{
    const SoakServers_t *self = context;
    Work_t work = read_work(self, connection);
    uint32_t number = work.first + BackendConnection_CountStep(connection);
    if (number <= work.last) {
        send_piece(self, connection, &work, number);
        return;
    }
    finish(connection, &work);
}

static char *
make_fields(const SoakServers_t *self, const char *service)
{
    return is_engine(self)
               ? g_strdup_printf("\"engine_models\":[{\"name\":\"%s\"}],"
                                 "\"version\":\"%s\",",
                                 service, self->version)
               : g_strdup("");
}

SoakServers_t *
SoakServers_Start(const char *name, const char *service, const char *version,
                  const BackendSite_t *sites, uint32_t count, uint64_t seed,
                  Ledger_t *ledger)
{
    SoakServers_t *self = g_new0(SoakServers_t, 1);
    self->name = g_strdup(name);
    self->version = g_strdup(version);
    self->fields = make_fields(self, service);
    self->seed = seed;
    self->shares = EndShares_Draw(seed);
    self->ledger = ledger;
    self->kind = (BackendKind_t){
        .name = self->name,
        .fields = self->fields,
        .start_field = "born",
        .id_header = "Attempt-Id",
        .expected_header = "Expect-Instance",
        .not_run_header = "Not-Executed",
        .slots = is_engine(self) ? ENGINE_SLOTS : SERVICE_SLOTS,
        .down_min_ms = DOWN_MIN_MS,
        .down_max_ms = DOWN_MAX_MS,
        .begin = begin,
        .proceed = proceed,
    };
    self->servers = Backends_Start(&self->kind, self, service, sites, count);
    return self;
}

Backends_t *
SoakServers_Backends(SoakServers_t *self)
{
    return self->servers;
}

void
SoakServers_Stop(SoakServers_t *self)
{
    Backends_Stop(self->servers);
    g_free(self->name);
    g_free(self->version);
    g_free(self->fields);
    g_free(self);
}
