/* Model engines as a kind of backend servers. */
#include "process/engines.h"

#include <stdio.h>
#include <stdlib.h>

#define SLOTS 4
/** Events of one stream and the time between two of them. */
#define EVENTS 10
#define EVENT_INTERVAL_MS 35
#define DOWN_MIN_MS 2000

struct Engines {
    EngineFault_t fault;
    gint is_fatal; /* atomic: the part of the fault ends engines */
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
    if (self->fault.part == 0 || g_atomic_int_get(&self->is_fatal) == 0 ||
        !BackendConnection_Header(connection, "Prompt-Prefix", parts,
                                  sizeof(parts)))
    {
        return false;
    }
    char **items = g_strsplit(parts, ",", -1);
    bool found = false;
    for (char **item = items; item[0] != NULL && item[1] != NULL; item++) {
        found = found || g_ascii_strtoull(*item, NULL, 16) == self->fault.part;
    }
    g_strfreev(items);
    return found;
}

/** The last event that the caller got; one that has a part of the stream names
 * it. */
static uint32_t
last_event(const BackendConnection_t *connection)
{
    char number[24];
    (void)BackendConnection_Header(connection, "Last-Event-Id", number,
                                   sizeof(number));
    return (uint32_t)strtoul(number, NULL, 10);
}

static uint32_t
next_event(BackendConnection_t *connection)
{
    return last_event(connection) + BackendConnection_CountStep(connection);
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
    BackendConnection_ProceedAfter(connection, self->fault.event_interval_ms);
}

/** Sets the time of the engine's end if it is due after so many events of the
 * answer. */
static void
end_engine_if_due(const Engines_t *self, BackendConnection_t *connection,
                  uint32_t events)
{
    if (BackendConnection_IsFatal(connection) &&
        events == self->fault.after_events)
    {
        BackendConnection_EndServer(connection, self->fault.delay_min_ms,
                                    self->fault.delay_max_ms);
    }
}

/** Sends the head and the first event, unless the engine ends before. */
static void
begin_stream(const void *context, BackendConnection_t *connection)
{
    const Engines_t *self = context;
    if (BackendConnection_IsFatal(connection) && self->fault.after_events == 0)
    {
        end_engine_if_due(self, connection, 0);
        return;
    }
    char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n",
                                 BackendConnection_RequestId(connection));
    if (BackendConnection_Send(connection, head)) {
        send_event(self, connection, next_event(connection));
    }
    g_free(head);
    end_engine_if_due(self, connection, 1);
}

static void
continue_stream(const void *context, BackendConnection_t *connection)
{
    const Engines_t *self = context;
    uint32_t number = next_event(connection);
    if (number <= self->fault.events) {
        send_event(self, connection, number);
        end_engine_if_due(self, connection, number - last_event(connection));
        return;
    }
    (void)BackendConnection_Send(connection, "0\r\n\r\n");
    BackendConnection_Finish(connection);
}

static EngineFault_t
with_defaults(const EngineFault_t *fault)
{
    EngineFault_t full = *fault;
    if (full.down_max_ms == 0) {
        full.down_min_ms = DOWN_MIN_MS;
        full.down_max_ms = ENGINES_DOWN_MAX_MS;
    }
    full.slots = full.slots > 0 ? full.slots : SLOTS;
    full.events = full.events > 0 ? full.events : EVENTS;
    if (full.event_interval_ms == 0) {
        full.event_interval_ms = EVENT_INTERVAL_MS;
    }
    return full;
}

Engines_t *
Engines_Start(const char *service, const BackendSite_t *sites, uint32_t count,
              const EngineFault_t *fault, const char *version)
{
    Engines_t *self = g_new0(Engines_t, 1);
    self->fault = with_defaults(fault);
    self->is_fatal = !fault->is_latent;
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
        .slots = self->fault.slots,
        .down_min_ms = self->fault.down_min_ms,
        .down_max_ms = self->fault.down_max_ms,
        .end = fault->end,
        .is_fatal = has_fatal_part,
        .begin = begin_stream,
        .proceed = continue_stream,
    };
    self->servers = Backends_Start(&self->kind, self, service, sites, count);
    return self;
}

void
Engines_SetFatal(Engines_t *self)
{
    g_atomic_int_set(&self->is_fatal, 1);
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
