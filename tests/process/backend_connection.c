/* One connection and the request that was received on it last. */
#include "process/backend_internal.h"
#include "process/harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/** Copies the value of a header of a text with a head; false if it is absent.
 */
static bool
find_header(const char *text, const char *name, char *value,
            size_t value_size_bytes)
{
    char *mark = g_strdup_printf("\r\n%s:", name);
    const char *start = strcasestr(text, mark);
    size_t mark_bytes = strlen(mark);
    g_free(mark);
    value[0] = '\0';
    if (start == NULL) {
        return false;
    }
    start += mark_bytes;
    start += strspn(start, " ");
    (void)g_strlcpy(value, start,
                    MIN(value_size_bytes, strcspn(start, "\r") + 1));
    return true;
}

/** The size of the whole request; 0 if its head isn't complete yet. */
static size_t
request_size(const BackendConnection_t *connection)
{
    const char *end = strstr(connection->input->str, "\r\n\r\n");
    if (end == NULL) {
        return 0;
    }
    char length[24];
    (void)find_header(connection->input->str, "Content-Length", length,
                      sizeof(length));
    return (size_t)(end - connection->input->str) + 4 +
           strtoul(length, NULL, 10);
}

void
BackendConnection_End(BackendConnection_t *self, bool with_reset)
{
    struct linger no_wait = {.l_onoff = 1, .l_linger = 0};
    if (with_reset) {
        (void)setsockopt(self->socket, SOL_SOCKET, SO_LINGER, &no_wait,
                         sizeof(no_wait));
    }
    (void)close(self->socket);
    self->socket = -1;
    self->state = STATE_CLOSED;
}

void
BackendConnection_Free(void *connection)
{
    BackendConnection_t *self = connection;
    if (self->state != STATE_CLOSED) {
        (void)close(self->socket);
    }
    g_string_free(self->input, TRUE);
    g_free(self->request);
    g_free(self);
}

static void
decline_misdirected(BackendConnection_t *connection)
{
    const BackendKind_t *kind = connection->group->kind;
    char *text = g_strdup_printf("HTTP/1.1 421 Misdirected Request\r\n"
                                 "%s: %s\r\n%s: 1\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 kind->id_header, connection->request_id,
                                 kind->not_run_header);
    (void)BackendConnection_Send(connection, text);
    g_free(text);
}

void
BackendConnection_TakeRequest(BackendConnection_t *self)
{
    size_t size_bytes = request_size(self);
    if (size_bytes == 0 || self->input->len < size_bytes) {
        return;
    }
    const BackendKind_t *kind = self->group->kind;
    g_free(self->request);
    self->request = g_strndup(self->input->str, size_bytes);
    g_string_erase(self->input, 0, (gssize)size_bytes);
    (void)BackendConnection_Header(self, kind->id_header, self->request_id,
                                   sizeof(self->request_id));
    char expected_id[BACKENDS_ID_SIZE_BYTES];
    bool is_misdirected =
        BackendConnection_Header(self, kind->expected_header, expected_id,
                                 sizeof(expected_id)) &&
        strcmp(expected_id, self->server->id) != 0;
    self->is_fatal =
        kind->is_fatal != NULL && kind->is_fatal(self->group->context, self);
    self->step_count = 0;
    self->proceed_at_ms = 0;
    BackendArrival_t arrival = {
        .at_ms = Harness_NowMs(),
        .server = self->server->number,
        .is_fatal = self->is_fatal,
        .is_misdirected = is_misdirected,
    };
    (void)g_strlcpy(arrival.request_id, self->request_id,
                    sizeof(arrival.request_id));
    g_array_append_val(self->group->arrivals, arrival);
    if (is_misdirected) {
        decline_misdirected(self);
    }
    else {
        self->state = STATE_QUEUED;
    }
}

const char *
BackendConnection_Request(const BackendConnection_t *self)
{
    return self->request;
}

const char *
BackendConnection_RequestId(const BackendConnection_t *self)
{
    return self->request_id;
}

bool
BackendConnection_Header(const BackendConnection_t *self, const char *name,
                         char *value, size_t value_size_bytes)
{
    return find_header(self->request, name, value, value_size_bytes);
}

bool
BackendConnection_IsFatal(const BackendConnection_t *self)
{
    return self->is_fatal;
}

uint32_t
BackendConnection_CountStep(BackendConnection_t *self)
{
    self->step_count++;
    return self->step_count;
}

bool
BackendConnection_Send(BackendConnection_t *self, const char *text)
{
    if (self->state == STATE_CLOSED) {
        return false;
    }
    size_t size_bytes = strlen(text);
    ssize_t sent =
        send(self->socket, text, size_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent != (ssize_t)size_bytes) {
        BackendConnection_End(self, true);
    }
    return self->state != STATE_CLOSED;
}

void
BackendConnection_Answer(BackendConnection_t *self, const char *body)
{
    char *answer = g_strdup_printf(
        "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %zu\r\n\r\n%s",
        self->group->kind->id_header, self->request_id, strlen(body), body);
    (void)BackendConnection_Send(self, answer);
    g_free(answer);
    BackendConnection_Finish(self);
}

void
BackendConnection_ProceedAfter(BackendConnection_t *self, int64_t delay_ms)
{
    self->proceed_at_ms = Harness_NowMs() + delay_ms;
}

void
BackendConnection_Finish(BackendConnection_t *self)
{
    if (self->state != STATE_CLOSED) {
        self->state = STATE_READING;
    }
}

void
BackendConnection_Close(BackendConnection_t *self)
{
    if (self->state != STATE_CLOSED) {
        BackendConnection_End(self, false);
    }
}

void
BackendConnection_Reset(BackendConnection_t *self)
{
    if (self->state != STATE_CLOSED) {
        BackendConnection_End(self, true);
    }
}

void
BackendConnection_EndServer(BackendConnection_t *self, int64_t delay_min_ms,
                            int64_t delay_max_ms)
{
    if (self->server->crash_at_ms == 0) {
        self->server->crash_at_ms =
            Harness_NowMs() +
            Backends_RandomBetween(self->group, delay_min_ms, delay_max_ms);
    }
}
