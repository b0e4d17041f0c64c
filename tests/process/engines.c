/* Model engines as a kind of backend servers. */
#include "process/engines.h"

#include <stdio.h>
#include <stdlib.h>

#define SLOTS 4
/** Events of one stream and the time between two of them. */
#define EVENTS 10
#define EVENT_INTERVAL_MS 35
#define CRASH_DELAY_MIN_MS 50
#define CRASH_DELAY_MAX_MS 150
#define DOWN_MIN_MS 2000

struct Engines {
    uint64_t fatal_part; /* 0: none */
    char *fields;
    char *version;
    char *name;
    BackendKind_t kind;
    Backends_t *servers;
};

/** True if one of the prompt's parts but the last is the fatal one. */
static bool
has_fatal_part(const void *context, const BackendConnection_t *connection)
{
    const Engines_t *self = context;
    char parts[512];
    if (self->fatal_part == 0 ||
        !BackendConnection_Header(connection, "Prompt-Prefix", parts,
                                  sizeof(parts)))
    {
        return false;
    }
    char **items = g_strsplit(parts, ",", -1);
    bool found = false;
    for (char **item = items; item[0] != NULL && item[1] != NULL; item++) {
        found = found || g_ascii_strtoull(*item, NULL, 16) == self->fatal_part;
    }
    g_strfreev(items);
    return found;
}

/** The number of the next event: a caller that has a part of the stream names
 * the last event that it got. */
static uint32_t
next_event(BackendConnection_t *connection)
{
    char last_event[24];
    (void)BackendConnection_Header(connection, "Last-Event-Id", last_event,
                                   sizeof(last_event));
    return (uint32_t)strtoul(last_event, NULL, 10) +
           BackendConnection_CountStep(connection);
}

static void
send_event(const Engines_t *self, BackendConnection_t *connection,
           uint32_t number)
{
    char event[96];
    char chunk[128];
    int size = snprintf(event, sizeof(event), "id: %u\ndata: %.16sw%u\n\n",
                        number, self->version, number);
    (void)snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned)size,
                   event);
    (void)BackendConnection_Send(connection, chunk);
    BackendConnection_ProceedAfter(connection, EVENT_INTERVAL_MS);
}

/** Sends the head and the first event; with the fatal part it also sets the
 * time of the engine's end. */
static void
begin_stream(const void *context, BackendConnection_t *connection)
{
    const Engines_t *self = context;
    char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n",
                                 BackendConnection_RequestId(connection));
    if (BackendConnection_Send(connection, head)) {
        send_event(self, connection, next_event(connection));
    }
    g_free(head);
    if (BackendConnection_IsFatal(connection)) {
        BackendConnection_EndServer(connection, CRASH_DELAY_MIN_MS,
                                    CRASH_DELAY_MAX_MS);
    }
}

static void
continue_stream(const void *context, BackendConnection_t *connection)
{
    const Engines_t *self = context;
    uint32_t number = next_event(connection);
    if (number <= EVENTS) {
        send_event(self, connection, number);
        return;
    }
    (void)BackendConnection_Send(connection, "0\r\n\r\n");
    BackendConnection_Finish(connection);
}

Engines_t *
Engines_Start(const char *service, const BackendSite_t *sites, uint32_t count,
              uint64_t fatal_part, const char *version)
{
    Engines_t *self = g_new0(Engines_t, 1);
    self->fatal_part = fatal_part;
    self->version = g_strdup(version);
    self->name = g_strconcat("engine", version, NULL);
    self->fields =
        g_strdup_printf("\"engine_models\":[{\"name\":\"%s\"}],\"version\":"
                        "\"%s\",",
                        service, version);
    self->kind = (BackendKind_t){
        .name = self->name,
        .fields = self->fields,
        .start_field = "born",
        .id_header = "Attempt-Id",
        .expected_header = "Expect-Instance",
        .not_run_header = "Not-Executed",
        .slots = SLOTS,
        .down_min_ms = DOWN_MIN_MS,
        .down_max_ms = ENGINES_DOWN_MAX_MS,
        .is_fatal = has_fatal_part,
        .begin = begin_stream,
        .proceed = continue_stream,
    };
    self->servers = Backends_Start(&self->kind, self, service, sites, count);
    return self;
}

Backends_t *
Engines_Servers(Engines_t *self)
{
    return self->servers;
}

void
Engines_Stop(Engines_t *self)
{
    Backends_Stop(self->servers);
    g_free(self->fields);
    g_free(self->version);
    g_free(self->name);
    g_free(self);
}
