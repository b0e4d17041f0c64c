#include "backends/transfer.h"

#include "backends/body_end.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/settings.h"
#include "exchange/body.h"
#include "exchange/hop_headers.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <strings.h>

/* A kept connection that was idle for longer isn't reused; backend servers
 * close idle connections later than this. */
#define CONNECTION_IDLE_MAX_S 20L
/* The same for a call that must not run twice: if the server closes the
 * connection while it is being sent, whether it ran is unknown. */
#define CONNECTION_IDLE_SEND_ONCE_MAX_S 1L
/* libcurl reads from a socket up to 100 times before it returns to the loop.
 * With its own 16 KiB, a body in chunks of one byte held the loop for 28 ms a
 * turn, and each other call needs several turns. */
#define READ_BUFFER_BYTES 4096L

/** True if the server was chosen too long ago, as this thread is overloaded:
 * the router has to choose again. */
static bool
is_choice_outdated(const EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    int64_t age_ms = EyClock_NowMs() - attempt->chosen_ms;
    return attempt->chosen_ms > 0 &&
           age_ms > attempt->connect_timeout_ms + EY_ATTEMPT_CHOICE_AGE_MAX_MS;
}

/** Called by libcurl when the connection is open, just before the request is
 * sent. */
static int /* NOLINTNEXTLINE(readability-non-const-parameter) */
on_connected(void *data, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
    (void)local_ip;
    EyTransfer_t *self = data;
    if (self->failure != EY_FAILURE_NONE) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (EyCancellation_IsSet(self->attempt->cancellation)) {
        self->failure = EY_FAILURE_CANCELLED;
        return CURL_PREREQFUNC_ABORT;
    }
    if (self->attempt->deadline_ms > 0 &&
        EyClock_NowMs() >= self->attempt->deadline_ms)
    {
        /* On an overloaded thread its timer may not have run yet. */
        self->failure = EY_FAILURE_DEADLINE;
        return CURL_PREREQFUNC_ABORT;
    }
    if (self->sent) {
        /* A kept connection broke, and libcurl would send the call again. That
         * is for the gateway to decide: the retry budget counts each one. */
        self->failure = EY_FAILURE_BROKEN;
        return CURL_PREREQFUNC_ABORT;
    }
    if (is_choice_outdated(self)) {
        self->failure = EY_FAILURE_CANCELLED; /* not the server's fault */
        return CURL_PREREQFUNC_ABORT;
    }
    /* Also called for a new connection, so that it is tracked from now on. */
    bool is_usable = EyConnections_Begin(self->connections, local_port,
                                         remote_ip, remote_port, &self->use);
    if (!is_usable && !self->new_connection) {
        self->connection_stale = true;
        return CURL_PREREQFUNC_ABORT;
    }
    self->last_activity_ms = EyClock_NowMs();
    EyClient_OnSending(self->client, self);
    if (self->failure != EY_FAILURE_NONE) {
        return CURL_PREREQFUNC_ABORT;
    }
    self->sent = true;
    return CURL_PREREQFUNC_OK;
}

static bool
fail(EyTransfer_t *self, EyAttemptFailure_t failure)
{
    if (self->failure == EY_FAILURE_NONE) {
        self->failure = failure;
    }
    return false;
}

static bool
is_success(const EyTransfer_t *self)
{
    return self->head.answer->status / 100 == 2;
}

/** Sets up the framing and size of a streamed answer and reports its head. */
static void
start_stream(EyTransfer_t *self)
{
    EyAnswer_t *answer = self->head.answer;
    bool is_framed_stream =
        self->attempt->body_mode == EY_ATTEMPT_EVENTS && answer->is_events;
    if (is_framed_stream) {
        self->framer = EyEventFramer_New(self);
    }
    /* The length of events proves nothing, and a broken stream of them may be
     * resumed at another server, with another length. */
    answer->stream_size_bytes = answer->is_events || self->head.chunked
                                    ? -1
                                    : self->head.content_size_bytes;
    EyClient_OnHead(self->client, self);
}

/** True if the announced size is small enough to collect the answer. */
static bool
is_within_collect_limit(const EyTransfer_t *self)
{
    int64_t size_bytes = self->head.content_size_bytes;
    return !self->head.chunked && size_bytes >= 0 &&
           size_bytes <= (int64_t)self->attempt->collect_max_bytes;
}

/** True if the request id in the answer is that of this request. An answer
 * that reports that nothing was run may lack it, but not on a connection that
 * was used before: it could be an earlier refusal, written once more. */
static bool
is_answer_of_request(const EyTransfer_t *self)
{
    const char *echoed_id = self->head.echoed_id;
    if (echoed_id != NULL) {
        return strcmp(echoed_id, self->attempt->request_id) == 0;
    }
    return self->names->always_echoes_request_id && self->use.is_first &&
           EyAnswer_ReportsNotRun(self->head.answer, self->names, true);
}

/** True if the answer can't go on with the stream of events that the attempt
 * resumes: whatever it has would be read as a part or as the end of that. */
static bool
breaks_resumed_stream(const EyTransfer_t *self)
{
    return self->attempt->continues_stream && is_success(self) &&
           !self->head.answer->is_events;
}

static bool
end_head(EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    self->head_done = true;
    if (attempt->check_echo && !is_answer_of_request(self)) {
        return fail(self, EY_FAILURE_WRONG_ID);
    }
    if (breaks_resumed_stream(self)) {
        return fail(self, EY_FAILURE_MALFORMED);
    }
    self->collects = attempt->body_mode == EY_ATTEMPT_COLLECT ||
                     attempt->stream == NULL || !is_success(self) ||
                     is_within_collect_limit(self);
    if (!self->collects) {
        start_stream(self);
    }
    else if (self->head.content_size_bytes >
                 (int64_t)EY_ANSWER_BODY_MAX_BYTES &&
             strcmp(attempt->method, "HEAD") != 0)
    {
        return fail(self, EY_FAILURE_TOO_LARGE);
    }
    return self->failure == EY_FAILURE_NONE;
}

static size_t
on_header(char *line, size_t unit, size_t count, void *data)
{
    EyTransfer_t *self = data;
    size_t size_bytes = unit * count;
    self->last_activity_ms = EyClock_NowMs();
    if (self->failure != EY_FAILURE_NONE) {
        return 0;
    }
    if (self->head_done) {
        bool is_within_limit =
            EyResponseHead_CountTrailer(&self->head, size_bytes) ||
            fail(self, EY_FAILURE_MALFORMED);
        return is_within_limit ? size_bytes : 0;
    }
    if (self->first_byte_us == 0) {
        self->first_byte_us = EyClock_NowUs() - self->started_us;
    }
    EyHeadProgress_t progress =
        EyResponseHead_AddLine(&self->head, line, size_bytes);
    bool continues = true;
    if (progress == EY_HEAD_MALFORMED) {
        continues = fail(self, EY_FAILURE_MALFORMED);
    }
    else if (progress == EY_HEAD_COMPLETE) {
        continues = end_head(self);
    }
    return continues ? size_bytes : 0;
}

/** Takes the memory that the answer's buffer needs for so many bytes. */
static bool
take_memory(EyTransfer_t *self, size_t size_bytes)
{
    return EyMemoryBudget_Cover(self->attempt->answers, self, &self->share,
                                size_bytes) ||
           fail(self, EY_FAILURE_NO_MEMORY);
}

static bool
collect(EyTransfer_t *self, const char *data, size_t size_bytes)
{
    if (!take_memory(self, self->collected.size_bytes + size_bytes)) {
        return false;
    }
    return EyBody_Append(self, &self->collected, data, size_bytes,
                         EY_ANSWER_BODY_MAX_BYTES) ||
           fail(self, EY_FAILURE_TOO_LARGE);
}

/** Writes to the stream. A refused write is tried again if the stream is
 * empty: then no reader will make room, and there is no memory. */
static bool
try_write(EyTransfer_t *self, const void *data, uint32_t size_bytes)
{
    EyStream_t *stream = self->attempt->stream;
    if (EyStream_Write(stream, data, size_bytes)) {
        return true;
    }
    if (EyStream_State(stream) != EY_STREAM_OPEN) {
        return fail(self, EY_FAILURE_CANCELLED);
    }
    if (EyStream_SizeBytes(stream) > 0) {
        return false;
    }
    return EyStream_Write(stream, data, size_bytes) ||
           fail(self, EY_FAILURE_NO_MEMORY);
}

/** Writes to the stream; false if it is full or its reader has closed it. */
static bool
write_stream(EyTransfer_t *self, const void *data, uint32_t size_bytes)
{
    bool is_written = try_write(self, data, size_bytes);
    self->bytes_passed += is_written ? size_bytes : 0;
    return is_written;
}

/** Writes the complete events to the stream. False as write_stream; the new
 * data is then not buffered either. */
static bool
forward_events(EyTransfer_t *self, const char *data, uint32_t size_bytes)
{
    EyEventFramer_t *framer = self->framer;
    if (!take_memory(self, EyEventFramer_HeldBytes(framer) + size_bytes)) {
        return false;
    }
    if (!EyEventFramer_Add(framer, data, size_bytes)) {
        return fail(self, EY_FAILURE_TOO_LARGE);
    }
    uint32_t whole_bytes = EyEventFramer_WholeBytes(framer);
    if (whole_bytes == 0) {
        EyEventFramer_Commit(framer);
        return true;
    }
    if (!write_stream(self, EyEventFramer_Data(framer), whole_bytes)) {
        EyEventFramer_Rollback(framer);
        return false;
    }
    self->events_passed += EyEventFramer_WholeEvents(framer);
    EyEventFramer_Drop(framer);
    (void)EY_COPY(self->last_event, EyEventFramer_LastId(framer));
    return true;
}

/** Buffers or passes on the next bytes of the body; false, without a failure,
 * if they have to come again once the stream has room. */
static bool
take_body(EyTransfer_t *self, const char *data, size_t size_bytes)
{
    if (self->collects) {
        return collect(self, data, size_bytes);
    }
    return self->framer != NULL
               ? forward_events(self, data, (uint32_t)size_bytes)
               : write_stream(self, data, (uint32_t)size_bytes);
}

/** Notes that the server has sent bytes of the body. Those that only lengthen
 * an incomplete event don't count as activity: the caller gets none of them,
 * and a stalled server that sends one now and then would hold the call until
 * its deadline. Comments, which keep a stream open, count. */
static void
note_activity(EyTransfer_t *self, uint64_t passed_before)
{
    if (self->framer == NULL || self->bytes_passed > passed_before ||
        !EyEventBoundary_IsInside(&self->boundary))
    {
        self->last_activity_ms = EyClock_NowMs();
    }
}

static size_t
on_body(char *data, size_t unit, size_t count, void *context)
{
    EyTransfer_t *self = context;
    size_t size_bytes = unit * count;
    uint64_t passed_before = self->bytes_passed;
    if (self->failure != EY_FAILURE_NONE || !self->head_done) {
        return 0;
    }
    if (take_body(self, data, size_bytes)) {
        if (is_success(self) && self->head.answer->is_events) {
            EyEventBoundary_Add(&self->boundary, data, size_bytes);
        }
        note_activity(self, passed_before);
        return size_bytes;
    }
    if (self->failure != EY_FAILURE_NONE) {
        return 0;
    }
    self->paused = true;
    return CURL_WRITEFUNC_PAUSE;
}

static void
add_line(EyTransfer_t *self, const char *name, const char *value)
{
    /* libcurl's notation for a header without a value is "Name;". */
    char *line = *value != '\0' ? talloc_asprintf(NULL, "%s: %s", name, value)
                                : talloc_asprintf(NULL, "%s;", name);
    self->headers = curl_slist_append(self->headers, line);
    talloc_free(line);
}

/** True for headers that the client sets itself and doesn't copy from the
 * caller's request. */
static bool
is_set_by_client(const EyTransfer_t *self, const char *name)
{
    bool resumes = self->attempt->last_event[0] != '\0';
    return EyHeaderNames_Is(self->names, EY_HEADER_REQUEST_ID, name) ||
           EyHeaderNames_Is(self->names, EY_HEADER_RESUME_AFTER, name) ||
           EyHeaderNames_Is(self->names, EY_HEADER_TIMEOUT, name) ||
           (resumes &&
            EyHeaderNames_Is(self->names, EY_HEADER_LAST_EVENT, name));
}

/** Adds a header by its role, if the table names it and there is a value. */
static void
add_header_by_role(EyTransfer_t *self, EyHeaderRole_t role, const char *value)
{
    if (self->names->by_role[role] != NULL && value[0] != '\0') {
        add_line(self, self->names->by_role[role], value);
    }
}

static void
add_number_header(EyTransfer_t *self, EyHeaderRole_t role, int64_t number)
{
    char text[24];
    (void)g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, number);
    add_header_by_role(self, role, text);
}

/** Adds the headers that describe the attempt to the server. */
static void
add_client_headers(EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    if (attempt->host != NULL) {
        add_line(self, "Host", attempt->host);
    }
    add_header_by_role(self, EY_HEADER_REQUEST_ID, attempt->request_id);
    add_header_by_role(self, EY_HEADER_EXPECTED_BACKEND,
                       attempt->expected_backend);
    if (attempt->has_urgency) {
        add_number_header(self, EY_HEADER_URGENCY, attempt->urgency);
    }
    add_header_by_role(self, EY_HEADER_CACHE_SOURCE, attempt->cache_source);
    add_header_by_role(self, EY_HEADER_LAST_EVENT, attempt->last_event);
    if (attempt->resume_after > 0) {
        add_number_header(self, EY_HEADER_RESUME_AFTER, attempt->resume_after);
    }
    if (attempt->sends_timeout) {
        int64_t left_ms = attempt->deadline_ms - EyClock_NowMs();
        add_number_header(self, EY_HEADER_TIMEOUT, left_ms > 0 ? left_ms : 1);
    }
}

static void
add_headers(EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    bool has_type = false;
    bool has_accept = false;
    for (uint32_t i = 0; i < attempt->header_count; i++) {
        const EyHeader_t *header = &attempt->headers[i];
        if (EyHopHeaders_Has(header->name) ||
            is_set_by_client(self, header->name)) {
            continue;
        }
        has_type = has_type || strcasecmp(header->name, "Content-Type") == 0;
        has_accept = has_accept || strcasecmp(header->name, "Accept") == 0;
        add_line(self, header->name, header->value);
    }
    /* Suppresses headers that libcurl would add by itself. */
    if (!has_type) {
        self->headers = curl_slist_append(self->headers, "Content-Type:");
    }
    if (!has_accept) {
        self->headers = curl_slist_append(self->headers, "Accept:");
    }
    self->headers = curl_slist_append(self->headers, "Expect:");
    add_client_headers(self);
}

/** True if requests with this method always have a body, even if empty. */
static bool
always_has_body(const char *method)
{
    return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
           strcmp(method, "PATCH") == 0;
}

/** libcurl's read callback for the body of a call that must not run twice. */
static size_t
read_body(char *buffer, size_t unit, size_t count, void *data)
{
    EyTransfer_t *self = data;
    const EyBytes_t *body = &self->attempt->body;
    uint32_t left_bytes = body->size_bytes - self->body_read_bytes;
    size_t room_bytes = unit * count;
    uint32_t size_bytes =
        room_bytes < left_bytes ? (uint32_t)room_bytes : left_bytes;
    memcpy(buffer, body->data + self->body_read_bytes, size_bytes);
    self->body_read_bytes += size_bytes;
    return size_bytes;
}

/** If a kept connection breaks before the answer, libcurl sends the call again
 * and has to rewind its body for that; refusing it prevents a second run. */
static int
refuse_rewind(void *data, curl_off_t offset_bytes, int origin)
{
    (void)data;
    (void)offset_bytes;
    (void)origin;
    return CURL_SEEKFUNC_FAIL;
}

static void
set_body_once(EyTransfer_t *self)
{
    CURL *easy = self->easy;
    (void)curl_easy_setopt(easy, CURLOPT_POST, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                           (curl_off_t)self->attempt->body.size_bytes);
    (void)curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
    (void)curl_easy_setopt(easy, CURLOPT_READDATA, self);
    (void)curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, refuse_rewind);
}

static void
set_method(EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    CURL *easy = self->easy;
    if (self->sends_once) {
        set_body_once(self);
    }
    else if (attempt->body.size_bytes > 0 || always_has_body(attempt->method))
    {
        const void *body = attempt->body.data;
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                               (curl_off_t)attempt->body.size_bytes);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                               body != NULL ? body : "");
    }
    if (strcmp(attempt->method, "HEAD") == 0) {
        (void)curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, attempt->method);
}

static void
set_options(EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    CURL *easy = self->easy;
    char *url =
        talloc_asprintf(self, "http://%s%s", attempt->address, attempt->path);
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, READ_BUFFER_BYTES);
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    (void)curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                           (long)CURL_HTTP_VERSION_1_1);
    (void)curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    (void)curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                           self->sends_once ? CONNECTION_IDLE_SEND_ONCE_MAX_S
                                            : CONNECTION_IDLE_MAX_S);
    (void)curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                           (long)attempt->connect_timeout_ms);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, self->headers);
    (void)curl_easy_setopt(easy, CURLOPT_PRIVATE, self);
    (void)curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_connected);
    (void)curl_easy_setopt(easy, CURLOPT_PREREQDATA, self);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, self);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, self);
    if (!attempt->may_repeat && !self->sends_once) {
        EyTransfer_UseNewConnection(self);
        (void)curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

void
EyTransfer_UseNewConnection(EyTransfer_t *self)
{
    /* libcurl sends a request again only if its connection was reused. */
    self->new_connection = true;
    self->connection_stale = false;
    (void)curl_easy_setopt(self->easy, CURLOPT_FRESH_CONNECT, 1L);
}

EyTransfer_t *
EyTransfer_New(EyClient_t *client, EyConnections_t *connections,
               EyAttempt_t *attempt)
{
    EyTransfer_t *self = EY_NEW(NULL, EyTransfer_t);
    self->client = client;
    self->connections = connections;
    self->attempt = talloc_steal(self, attempt);
    self->names =
        attempt->names != NULL ? attempt->names : &EyHeaderNames_native;
    self->head.names = self->names;
    self->sends_once = attempt->may_reuse_connection && !attempt->may_repeat &&
                       attempt->body.size_bytes > 0;
    self->head.content_size_bytes = -1;
    self->started_us = EyClock_NowUs();
    if (!EyAddress_IsValid(attempt->address) || attempt->path == NULL ||
        attempt->path[0] != '/')
    {
        return self;
    }
    self->easy = EyConnections_AcquireHandle(connections);
    if (self->easy != NULL) {
        add_headers(self);
        set_method(self);
        set_options(self);
    }
    return self;
}

void
EyTransfer_Free(EyTransfer_t *self)
{
    if (self->easy != NULL) {
        EyConnections_ReleaseHandle(self->connections, self->easy);
    }
    curl_slist_free_all(self->headers);
    talloc_free(self->deadline);
    talloc_free(self->idle);
    talloc_free(self->head.answer);
    EyStream_Unref(self->attempt->stream);
    talloc_free(self);
}

/** Maps libcurl's result to a failure, once bytes may have been sent. */
static EyAttemptFailure_t
failure_of(CURLcode result)
{
    switch (result) {
    case CURLE_OK:
        return EY_FAILURE_NONE;
    case CURLE_PARTIAL_FILE:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
        return EY_FAILURE_MALFORMED;
    default:
        return EY_FAILURE_BROKEN;
    }
}

/** True if a collected body is a complete JSON object or array: a truncated
 * one doesn't parse. */
static bool
is_whole_json(const EyTransfer_t *self)
{
    const char *type = EyAnswer_Header(self->head.answer, "Content-Type");
    if (type == NULL || strcasestr(type, "json") == NULL) {
        return false;
    }
    json_t *json =
        json_loadb((const char *)self->collected.data,
                   self->collected.size_bytes, JSON_REJECT_DUPLICATES, NULL);
    json_decref(json);
    return json != NULL;
}

/** True if the head of the answer frames its body. */
static bool
is_framed(const EyTransfer_t *self)
{
    uint32_t status = self->head.answer->status;
    return self->head.chunked || self->head.content_size_bytes >= 0 ||
           status == 204 || status == 304 ||
           strcmp(self->attempt->method, "HEAD") == 0;
}

/** True if the body itself says that nothing follows. */
static bool
says_its_end(const EyTransfer_t *self)
{
    if (self->framer != NULL) {
        return EyEventFramer_IsDone(self->framer) &&
               EyEventFramer_HeldBytes(self->framer) == 0;
    }
    return self->collects && is_whole_json(self);
}

/** True if the whole request was sent. */
static bool
is_request_sent(const EyTransfer_t *self)
{
    curl_off_t sent_bytes = 0;
    return curl_easy_getinfo(self->easy, CURLINFO_SIZE_UPLOAD_T,
                             &sent_bytes) == CURLE_OK &&
           sent_bytes >= (curl_off_t)self->attempt->body.size_bytes;
}

/** True if the end of the connection may be that of the answer. A server that
 * fails while the request is being sent may close the connection in order
 * before it resets it, and libcurl then stops sending and takes the body for
 * whole. */
static bool
may_end_with_connection(const EyTransfer_t *self)
{
    return self->names->accepts_close_delimited_bodies &&
           (!is_success(self) || is_request_sent(self));
}

/** What is known of the end of the answer's body. */
static EyBodyEnd_t
body_end(const EyTransfer_t *self)
{
    bool framed = is_framed(self);
    return (EyBodyEnd_t){
        .is_framed = framed,
        .may_end_with_connection = may_end_with_connection(self),
        .is_inside_event = EyEventBoundary_IsInside(&self->boundary),
        /* Parses the body, which a frame makes needless. */
        .says_its_end = !framed && says_its_end(self),
    };
}

bool
EyTransfer_IsEndInferred(const EyTransfer_t *self)
{
    const EyBodyEnd_t end = body_end(self);
    return EyBodyEnd_IsInferred(&end);
}

bool
EyTransfer_IsConnectRefused(const EyTransfer_t *self)
{
    long number = 0;
    return self->easy != NULL &&
           curl_easy_getinfo(self->easy, CURLINFO_OS_ERRNO, &number) ==
               CURLE_OK &&
           number == ECONNREFUSED;
}

static void
log_cut_event(const EyTransfer_t *self)
{
    const EyAttempt_t *attempt = self->attempt;
    EY_LOG(EY_LOG_INFO, "backends", "answer_ends_inside_event",
           EY_LOG_TEXT("request_id", attempt->request_id),
           EY_LOG_TEXT("address", attempt->address),
           EY_LOG_NUMBER("is_chunked", self->head.chunked),
           EY_LOG_NUMBER("content_bytes", self->head.content_size_bytes),
           EY_LOG_NUMBER("events_passed", self->events_passed),
           EY_LOG_TEXT("last_event", self->last_event));
}

/** Writes what is left of a whole answer, an unfinished comment, if the stream
 * has room for it. */
static EyAttemptFailure_t
forward_rest(EyTransfer_t *self)
{
    uint32_t held_bytes = EyEventFramer_HeldBytes(self->framer);
    if (held_bytes > 0) {
        (void)write_stream(self, EyEventFramer_Data(self->framer), held_bytes);
    }
    return self->failure;
}

EyAttemptFailure_t
EyTransfer_Finish(EyTransfer_t *self, CURLcode result)
{
    if (self->failure != EY_FAILURE_NONE) {
        return self->failure;
    }
    if (result != CURLE_OK && !self->sent) {
        return EY_FAILURE_CONNECT;
    }
    EyAttemptFailure_t failure = failure_of(result);
    if (failure != EY_FAILURE_NONE) {
        return failure;
    }
    if (!self->head_done) {
        return EY_FAILURE_MALFORMED;
    }
    const EyBodyEnd_t end = body_end(self);
    if (end.is_inside_event) {
        log_cut_event(self);
        return EY_FAILURE_CUT_EVENT;
    }
    if (!EyBodyEnd_IsWhole(&end)) {
        return EY_FAILURE_MALFORMED;
    }
    return self->framer != NULL ? forward_rest(self) : EY_FAILURE_NONE;
}

EyAnswer_t *
EyTransfer_TakeAnswer(EyTransfer_t *self)
{
    EyAnswer_t *answer = self->head.answer;
    self->head.answer = NULL;
    if (answer != NULL) {
        answer->body = (EyBytes_t){
            .data = talloc_steal(answer, self->collected.data),
            .size_bytes = self->collected.size_bytes,
        };
        self->collected = (EyBytes_t){.data = NULL};
        (void)talloc_steal(answer, self->share);
        self->share = NULL;
    }
    return answer;
}
