#include "callers/inbound_request.h"

#include "core/log.h"
#include "exchange/hop_headers.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* Bytes that libmicrohttpd reads from a stream at a time. */
#define READ_BLOCK_SIZE_BYTES 16384

/* Sent to a caller of server-sent events before its stream is aborted. */
static const char StreamErrorEvent[] =
    "event: error\n"
    "data: {\"type\":\"backend-failed\",\"title\":\"The answer is "
    "incomplete\","
    "\"status\":502,\"outcome\":\"unknown\"}\n\n";

static void
on_readable(void *data)
{
    EyInboundRequest_t *self = data;
    EySuspension_Wake(&self->suspension);
}

/** Resets the caller's connection: an orderly close would mark the end of a
 * whole answer. */
static void
reset_connection(const EyInboundRequest_t *self)
{
    const struct sockaddr none = {.sa_family = AF_UNSPEC};
    if (connect(EyInboundRequest_Socket(self), &none, sizeof(none)) != 0) {
        EY_LOG(EY_LOG_WARNING, "callers", "reset_failed",
               EY_LOG_TEXT("request_id", self->id),
               EY_LOG_NUMBER("error", errno));
    }
}

/** True if an error event can be sent: its callers expect one, and it would be
 * an event of its own. */
static bool
may_send_error_event(const EyInboundRequest_t *self, size_t room_bytes)
{
    return self->names->sends_stream_error_event && self->answer->is_events &&
           !self->error_event_sent &&
           EyEventBoundary_IsBetween(&self->boundary) &&
           room_bytes >= sizeof(StreamErrorEvent) - 1;
}

/** Gives the error event, once, if it can be sent; else aborts the connection.
 */
static ssize_t
abort_stream(EyInboundRequest_t *self, char *buffer, size_t room_bytes)
{
    self->aborted = true;
    if (may_send_error_event(self, room_bytes)) {
        self->error_event_sent = true;
        memcpy(buffer, StreamErrorEvent, sizeof(StreamErrorEvent) - 1);
        return (ssize_t)sizeof(StreamErrorEvent) - 1;
    }
    if (self->lacks_chunks && self->answer->stream_size_bytes < 0) {
        reset_connection(self);
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

static ssize_t
end_stream(EyInboundRequest_t *self, EyStreamState_t state, char *buffer,
           size_t room_bytes)
{
    int64_t expected_bytes = self->answer->stream_size_bytes;
    bool whole =
        state == EY_STREAM_COMPLETE &&
        !EyEventBoundary_IsInside(&self->boundary) &&
        (expected_bytes < 0 || self->sent_bytes == (uint64_t)expected_bytes);
    if (whole) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    return abort_stream(self, buffer, room_bytes);
}

/** libmicrohttpd's read callback: gives the stream's next bytes; 0 if none yet
 * and the connection was suspended. */
static ssize_t
read_stream(void *data, uint64_t position, char *buffer, size_t room_bytes)
{
    (void)position;
    EyInboundRequest_t *self = data;
    uint32_t wanted_bytes =
        room_bytes > UINT32_MAX ? UINT32_MAX : (uint32_t)room_bytes;
    for (;;) {
        if (EySuspension_IsClosed(&self->suspension)) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        EyStreamState_t state = EY_STREAM_OPEN;
        uint32_t got =
            EyStream_Read(self->answer->stream, buffer, wanted_bytes, &state);
        if (got > 0) {
            self->sent_bytes += got;
            if (self->answer->is_events) {
                EyEventBoundary_Add(&self->boundary, buffer, got);
            }
            return (ssize_t)got;
        }
        if (state != EY_STREAM_OPEN) {
            return end_stream(self, state, buffer, room_bytes);
        }
        if (EySuspension_TrySuspend(&self->suspension)) {
            return 0;
        }
    }
}

/** True for headers that the server sets itself. */
static bool
is_set_by_server(const EyInboundRequest_t *self, const char *name)
{
    return strcasecmp(name, "Date") == 0 ||
           EyHeaderNames_Is(self->names, EY_HEADER_REQUEST_ID, name) ||
           EyHeaderNames_Is(self->names, EY_HEADER_OUTCOME, name);
}

static void
add_header(const EyInboundRequest_t *self, struct MHD_Response *response,
           EyHeaderRole_t role, const char *value)
{
    const char *name = self->names->by_role[role];
    if (name != NULL) {
        (void)MHD_add_response_header(response, name, value);
    }
}

/** Writes the seconds of Retry-After, rounded up unless the header names allow
 * fractions. */
static void
write_retry_after(const EyInboundRequest_t *self, char *seconds,
                  size_t size_bytes)
{
    uint32_t after_ms = self->answer->retry_after_ms;
    if (self->names->has_fractional_retry_after) {
        (void)snprintf(seconds, size_bytes, "%u.%03u", after_ms / 1000,
                       after_ms % 1000);
        return;
    }
    (void)snprintf(seconds, size_bytes, "%u", (after_ms + 999) / 1000);
}

static void
add_headers(EyInboundRequest_t *self, struct MHD_Response *response)
{
    const EyAnswer_t *answer = self->answer;
    for (uint32_t i = 0; i < answer->header_count; i++) {
        const EyHeader_t *header = &answer->headers[i];
        bool replaced = answer->retry_after_ms > 0 &&
                        strcasecmp(header->name, "Retry-After") == 0;
        if (!replaced && !is_set_by_server(self, header->name) &&
            !EyHopHeaders_Has(header->name))
        {
            (void)MHD_add_response_header(response, header->name,
                                          header->value);
        }
    }
    add_header(self, response, EY_HEADER_REQUEST_ID, self->id);
    add_header(self, response, EY_HEADER_OUTCOME,
               EyOutcome_Name(answer->outcome));
    if (answer->retry_after_ms > 0) {
        char seconds[16];
        write_retry_after(self, seconds, sizeof(seconds));
        (void)MHD_add_response_header(response, "Retry-After", seconds);
    }
}

struct MHD_Response *
EyInboundRequest_MakeResponse(EyInboundRequest_t *self, bool closes)
{
    const EyAnswer_t *answer = self->answer;
    struct MHD_Response *response = NULL;
    if (answer->stream != NULL) {
        EyStream_SetReader(answer->stream, on_readable, self);
        uint64_t size_bytes = answer->stream_size_bytes < 0
                                  ? MHD_SIZE_UNKNOWN
                                  : (uint64_t)answer->stream_size_bytes;
        response = MHD_create_response_from_callback(
            size_bytes, READ_BLOCK_SIZE_BYTES, read_stream, self, NULL);
    }
    else {
        response = MHD_create_response_from_buffer(answer->body.size_bytes,
                                                   answer->body.data,
                                                   MHD_RESPMEM_PERSISTENT);
    }
    if (response == NULL) {
        return NULL;
    }
    add_headers(self, response);
    if (closes) {
        (void)MHD_add_response_header(response, "Connection", "close");
    }
    return response;
}

int
EyInboundRequest_Socket(const EyInboundRequest_t *self)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        self->suspension.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info != NULL ? info->connect_fd : -1;
}

void
EyInboundRequest_AnswerRaw(EyInboundRequest_t *self)
{
    const EyAnswer_t *answer = self->answer;
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n%s: %s\r\n"
        "Connection: close\r\n",
        answer->status, MHD_get_reason_phrase_for(answer->status),
        EyAnswer_Header(answer, "Content-Type"),
        self->names->by_role[EY_HEADER_REQUEST_ID], self->id);
    if (self->names->by_role[EY_HEADER_OUTCOME] != NULL) {
        g_string_append_printf(text, "%s: %s\r\n",
                               self->names->by_role[EY_HEADER_OUTCOME],
                               EyOutcome_Name(answer->outcome));
    }
    if (answer->retry_after_ms > 0) {
        char seconds[16];
        write_retry_after(self, seconds, sizeof(seconds));
        g_string_append_printf(text, "Retry-After: %s\r\n", seconds);
    }
    g_string_append_printf(text, "Content-Length: %u\r\n\r\n",
                           answer->body.size_bytes);
    g_string_append_len(text, (const char *)answer->body.data,
                        answer->body.size_bytes);
    ssize_t sent = send(EyInboundRequest_Socket(self), text->str, text->len,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    self->answered_raw = sent == (ssize_t)text->len;
    g_string_free(text, TRUE);
}
