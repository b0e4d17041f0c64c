#include "callers/server.h"

#include "callers/inbound_request.h"
#include "callers/listener.h"
#include "callers/parse.h"
#include "callers/socket_watcher.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/metrics.h"
#include "core/random.h"
#include "exchange/body.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Total size limit of the bodies of all requests in flight. */
/** A body without a length takes memory in steps of this size. */
#define BODY_STEP_BYTES (UINT64_C(64) * 1024)
/* Retry-After of a request that is refused because of a full queue. */
#define RETRY_AFTER_QUEUE_FULL_S 1
/* How long the server waits for aborted requests to end when it stops. */
#define STOP_POLLS_MAX 200
#define STOP_POLL_INTERVAL_US 5000

EY_DEFINE_ERROR_DOMAIN(Server, "ey-server")

/** One listening address, with its own thread of libmicrohttpd. */
typedef struct Listener {
    struct EyServer *server;
    struct MHD_Daemon *daemon;
    EyListenerCallbacks_t callbacks;
    int descriptor; /* listening socket, taken from the daemon on quiesce;
                       -1: not yet */
    bool is_routed;
} Listener_t;

/* How long the caller of a late body may take to read its answer and close. */
#define LATE_BODY_LINGER_MS 2000

struct EyServer {
    EyServerHooks_t hooks;
    const EyHeaderNames_t *names;
    Listener_t listeners[EY_SERVER_LISTENERS_MAX];
    uint32_t listener_count;
    EySocketWatcher_t *socket_watcher;
    pthread_mutex_t lock;
    EyRandom_t random;    /* under the lock */
    GHashTable *inbounds; /* by number; under the lock */
    uint32_t reading;     /* inbounds whose bodies come; under the lock */
    int64_t quiesced_ms;  /* 0: not quiesced */
    bool closing;         /* under the lock: answers close their connections */
    bool stopping;        /* under the lock */
};

enum {
    METRIC_REQUESTS,
    METRIC_ANSWERS,
    METRIC_ANSWERS_END = METRIC_ANSWERS + EY_OUTCOME_COUNT,
    METRIC_DISCONNECTED = METRIC_ANSWERS_END,
    METRIC_LEFT_UNREAD,
    METRIC_BROKEN,
    METRIC_BODY_BYTES,
    METRIC_IN_FLIGHT,
    METRIC_DURATION,
    METRIC_COUNT
};

static EyMetric_t Metrics[METRIC_COUNT] = {
    [METRIC_REQUESTS] = {.name = "caller_requests_total",
                         .help = "Requests whose head was read"},
    [METRIC_ANSWERS +
        EY_OUTCOME_COMPLETED] = {.name = "caller_answers_total",
                                 .labels = "outcome=\"completed\"",
                                 .help = "Answers wholly sent, by outcome"},
    [METRIC_ANSWERS + EY_OUTCOME_NOT_RUN] = {.name = "caller_answers_total",
                                             .labels = "outcome=\"not-run\"",
                                             .help = ""},
    [METRIC_ANSWERS + EY_OUTCOME_UNKNOWN] = {.name = "caller_answers_total",
                                             .labels = "outcome=\"unknown\"",
                                             .help = ""},
    [METRIC_DISCONNECTED] =
        {.name = "caller_gone_total",
         .help = "Callers that hung up before their answer's end"},
    [METRIC_LEFT_UNREAD] =
        {.name = "caller_gone_unread_total",
         .help = "Requests that were dropped because their callers had hung "
                 "up before they were read"},
    [METRIC_BROKEN] = {.name = "caller_answers_broken_total",
                       .help = "Answers that were broken off midway"},
    [METRIC_BODY_BYTES] = {.name = "caller_stream_bytes_total",
                           .help = "Bytes of streamed answers"},
    [METRIC_IN_FLIGHT] = {.name = "caller_requests_in_flight",
                          .help = "Requests not wholly answered",
                          .kind = EY_METRIC_GAUGE},
    [METRIC_DURATION] = {.name = "caller_request_seconds",
                         .help = "From a request's head to its answer's end",
                         .kind = EY_METRIC_HISTOGRAM},
};

/** Of servers without a budget of their own. */
static EyMemoryBudget_t CommonBodies = {.limit_bytes = EY_SERVER_BODIES_BYTES};

/* Request numbers are unique in the process, across all servers. */
static uint64_t LastNumber;

static void
register_inbound(EyServer_t *self, EyInboundRequest_t *inbound)
{
    (void)pthread_mutex_lock(&self->lock);
    (void)g_hash_table_insert(self->inbounds, &inbound->number, inbound);
    EyMetric_Set(&Metrics[METRIC_IN_FLIGHT],
                 g_hash_table_size(self->inbounds));
    if (self->stopping) {
        EySuspension_Close(&inbound->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

/** Notes that the body of the request begins to be read. */
static void
begin_reading(EyServer_t *self, EyInboundRequest_t *inbound)
{
    (void)pthread_mutex_lock(&self->lock);
    inbound->is_reading = true;
    self->reading++;
    (void)pthread_mutex_unlock(&self->lock);
}

/** The lock must be held. */
static void
end_reading_locked(EyServer_t *self, EyInboundRequest_t *inbound)
{
    self->reading -= inbound->is_reading;
    inbound->is_reading = false;
}

/** Ends the reading of the body; false if it was late and has been answered.
 */
static bool
end_reading(EyServer_t *self, EyInboundRequest_t *inbound)
{
    (void)pthread_mutex_lock(&self->lock);
    bool is_in_time = inbound->answer == NULL;
    end_reading_locked(self, inbound);
    (void)pthread_mutex_unlock(&self->lock);
    return is_in_time;
}

/** Removes the request; true if the server is stopping. */
static bool
unregister_inbound(EyServer_t *self, EyInboundRequest_t *inbound)
{
    (void)pthread_mutex_lock(&self->lock);
    end_reading_locked(self, inbound);
    (void)g_hash_table_remove(self->inbounds, &inbound->number);
    EyMetric_Set(&Metrics[METRIC_IN_FLIGHT],
                 g_hash_table_size(self->inbounds));
    bool stopping = self->stopping;
    (void)pthread_mutex_unlock(&self->lock);
    return stopping;
}

/** True once nothing more is written for the answer: a caller that closes its
 * connection then may just have read all of it. */
static bool
is_answer_whole(const EyInboundRequest_t *inbound)
{
    const EyAnswer_t *answer = inbound->answer;
    return answer != NULL &&
           (answer->stream == NULL ||
            EyStream_State(answer->stream) != EY_STREAM_OPEN);
}

/** Reports to the daemon, once, that the caller of a submitted request has
 * disconnected. The lock must be held. */
static void
report_disconnect(const EyServer_t *self, EyInboundRequest_t *inbound)
{
    if (inbound->submitted && !inbound->disconnect_reported) {
        inbound->disconnect_reported = true;
        self->hooks.disconnected(self->hooks.data, inbound->number);
    }
}

/** Called on the socket watcher's thread. */
static void
on_disconnect(void *data, uint64_t number)
{
    EyServer_t *self = data;
    (void)pthread_mutex_lock(&self->lock);
    EyInboundRequest_t *inbound = g_hash_table_lookup(self->inbounds, &number);
    if (inbound != NULL && !is_answer_whole(inbound)) {
        EyCancellation_Set(inbound->cancellation);
        report_disconnect(self, inbound);
    }
    if (inbound != NULL) {
        EySuspension_Close(&inbound->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

/** Starts a request; keeps its path as sent, before libmicrohttpd decodes it.
 */
static void *
on_request_line(void *data, const char *path,
                struct MHD_Connection *connection)
{
    const Listener_t *listener = data;
    EyInboundRequest_t *inbound = EY_NEW(NULL, EyInboundRequest_t);
    inbound->names = listener->server->names;
    inbound->is_routed = listener->is_routed;
    inbound->number = __atomic_add_fetch(&LastNumber, 1, __ATOMIC_RELAXED);
    inbound->path = EyMemory_Strdup(inbound, path);
    inbound->started_us = EyClock_NowUs();
    EySuspension_Init(&inbound->suspension, connection);
    EyListener_SetBusy(&listener->callbacks, connection, true);
    return inbound;
}

/** Queues the response for inbound->answer. */
static enum MHD_Result
send_answer(EyServer_t *self, EyInboundRequest_t *inbound)
{
    inbound->stage = EY_INBOUND_ANSWERED;
    (void)pthread_mutex_lock(&self->lock);
    bool closes = self->closing;
    (void)pthread_mutex_unlock(&self->lock);
    uint32_t status = inbound->answer->status;
    if (status < 200 || status > 999) {
        status = MHD_HTTP_BAD_GATEWAY;
    }
    struct MHD_Response *response =
        EyInboundRequest_MakeResponse(inbound, closes);
    if (response == NULL) {
        return MHD_NO;
    }
    enum MHD_Result queued =
        MHD_queue_response(inbound->suspension.connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

/** Refuses the request without submitting it to the daemon. */
static enum MHD_Result
refuse(EyServer_t *self, EyInboundRequest_t *inbound, EyAnswer_t *refusal)
{
    inbound->answer = refusal;
    return send_answer(self, inbound);
}

static enum MHD_Result
parse_header(void *data, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
    (void)kind;
    EyParse_Header(data, name, value != NULL ? value : "");
    return MHD_YES;
}

static void
generate_id(EyServer_t *self, EyRequest_t *request)
{
    (void)pthread_mutex_lock(&self->lock);
    (void)snprintf(request->id, sizeof(request->id), "%016llx%016llx",
                   (unsigned long long)EyRandom_Next(&self->random),
                   (unsigned long long)EyRandom_Next(&self->random));
    (void)pthread_mutex_unlock(&self->lock);
}

/** What the body of the request is counted towards. */
static EyMemoryBudget_t *
body_budget(const EyServer_t *self, const EyRequest_t *request)
{
    return self->hooks.account_bodies != NULL
               ? EyAccountBudgets_Of(self->hooks.account_bodies,
                                     request->account)
               : self->hooks.bodies;
}

/** Makes the request's share of the memory for bodies large enough; returns
 * the refusal if there is no room. */
static EyAnswer_t *
reserve_memory(EyServer_t *self, EyInboundRequest_t *inbound,
               uint64_t size_bytes)
{
    bool has_room = true;
    if (inbound->body_share == NULL) {
        inbound->body_share = EyMemoryBudget_Take(
            body_budget(self, inbound->request), inbound->request, size_bytes);
        has_room = inbound->body_share != NULL;
    }
    else {
        has_room = EyMemoryShare_Reserve(inbound->body_share, size_bytes);
    }
    return has_room ? NULL
                    : EyAnswer_Problem(
                          EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN,
                          RETRY_AFTER_QUEUE_FULL_S,
                          "the bodies of requests in flight use all of the "
                          "memory that is set aside for them");
}

/** Parses the head; sets has_body if a body follows. The memory of a body
 * whose length is known is taken at once, so that a request that has been
 * accepted isn't refused midway. */
static EyAnswer_t *
read_head(EyServer_t *self, EyInboundRequest_t *inbound, const char *method,
          bool *has_body)
{
    EyRequest_t *request = inbound->request;
    EyParsedHead_t head = {
        .request = request, .names = self->names, .content_size_bytes = -1};
    EyAnswer_t *refusal =
        inbound->is_routed ? EyParse_RoutedLine(request, method, inbound->path)
                           : EyParse_Line(request, method, inbound->path);
    (void)MHD_get_connection_values(inbound->suspension.connection,
                                    MHD_HEADER_KIND, parse_header, &head);
    EyAnswer_t *head_refusal = EyParse_FinishHead(&head);
    if (refusal == NULL) {
        refusal = head_refusal;
    }
    else {
        talloc_free(head_refusal);
    }
    if (request->id[0] == '\0') {
        generate_id(self, request);
    }
    (void)EY_COPY(inbound->id, request->id);
    request->number = inbound->number;
    request->arrived_ms = EyClock_NowMs();
    if (head.timeout_ms > 0) {
        request->deadline_ms = request->arrived_ms + head.timeout_ms;
    }
    *has_body = head.framing_headers > 0 && head.content_size_bytes != 0;
    if (refusal == NULL && head.content_size_bytes > 0) {
        refusal =
            reserve_memory(self, inbound, (uint64_t)head.content_size_bytes);
    }
    if (refusal == NULL && head.content_size_bytes > 0) {
        EyBody_Reserve(request, &request->body,
                       (uint32_t)head.content_size_bytes);
    }
    return refusal;
}

static enum MHD_Result
on_head(EyServer_t *self, EyInboundRequest_t *inbound, const char *method)
{
    EyMetric_Add(&Metrics[METRIC_REQUESTS], 1);
    inbound->stage = EY_INBOUND_BODY;
    inbound->request = EyRequest_New();
    inbound->cancellation = EyCancellation_New(inbound);
    inbound->request->cancellation =
        EyCancellation_Ref(inbound->cancellation, inbound->request);
    register_inbound(self, inbound);
    bool has_body = false;
    EyAnswer_t *refusal = read_head(self, inbound, method, &has_body);
    if (refusal == NULL && self->hooks.check != NULL) {
        refusal = self->hooks.check(self->hooks.data, inbound->request);
    }
    if (refusal == NULL) {
        begin_reading(self, inbound);
        return MHD_YES;
    }
    if (has_body) {
        /* Its body is never read; the connection is closed after the
         * answer. */
        inbound->drain_after_answer = true;
        return refuse(self, inbound, refusal);
    }
    inbound->refusal = refusal;
    return MHD_YES;
}

/** Refuses a request while its body is being read. */
static enum MHD_Result
refuse_body(EyServer_t *self, EyInboundRequest_t *inbound, EyAnswer_t *refusal)
{
    if (!end_reading(self, inbound)) {
        talloc_free(refusal);
        return MHD_NO;
    }
    inbound->answer = refusal;
    inbound->drain_after_answer = true;
    EyInboundRequest_AnswerRaw(inbound);
    return MHD_NO;
}

/** Appends a part of the body. */
static enum MHD_Result
on_body(EyServer_t *self, EyInboundRequest_t *inbound, const char *data,
        size_t size_bytes)
{
    EyRequest_t *request = inbound->request;
    uint64_t needed_bytes = request->body.size_bytes + size_bytes;
    EyAnswer_t *refusal =
        reserve_memory(self, inbound,
                       (needed_bytes + BODY_STEP_BYTES - 1) / BODY_STEP_BYTES *
                           BODY_STEP_BYTES);
    if (refusal != NULL) {
        return refuse_body(self, inbound, refusal);
    }
    if (!EyBody_Append(request, &request->body, data, size_bytes,
                       EY_REQUEST_BODY_MAX_BYTES))
    {
        return refuse_body(self, inbound,
                           EyAnswer_Problem(EY_PROBLEM_TOO_LARGE,
                                            EY_OUTCOME_NOT_RUN, 0, NULL));
    }
    return MHD_YES;
}

/** Sends the answer if there is one, else suspends the connection; ends it if
 * the caller has disconnected or the server stops. */
static enum MHD_Result
send_or_suspend(EyServer_t *self, EyInboundRequest_t *inbound)
{
    for (;;) {
        if (EySuspension_IsClosed(&inbound->suspension)) {
            return MHD_NO;
        }
        (void)pthread_mutex_lock(&self->lock);
        bool answered = inbound->answer != NULL;
        (void)pthread_mutex_unlock(&self->lock);
        if (answered) {
            return send_answer(self, inbound);
        }
        if (EySuspension_TrySuspend(&inbound->suspension)) {
            return MHD_YES;
        }
    }
}

static void
watch(EyServer_t *self, EyInboundRequest_t *inbound)
{
    inbound->watched = true;
    EySocketWatcher_Watch(self->socket_watcher,
                          EyInboundRequest_Socket(inbound), inbound->number);
}

static void
set_submitted(EyServer_t *self, EyInboundRequest_t *inbound, bool submitted)
{
    (void)pthread_mutex_lock(&self->lock);
    inbound->submitted = submitted;
    (void)pthread_mutex_unlock(&self->lock);
}

/** True if the caller has closed its side of the connection, whatever it sent
 * behind the request. */
static bool
has_caller_closed(const EyInboundRequest_t *inbound)
{
    struct pollfd socket = {.fd = EyInboundRequest_Socket(inbound),
                            .events = POLLRDHUP};
    return poll(&socket, 1, 0) > 0;
}

/** Refuses an order whose caller has closed the connection before it was read:
 * this process may have been paused, and the caller has given the same order,
 * or a newer one, elsewhere. NULL for all other requests. */
static EyAnswer_t *
refuse_abandoned_order(const EyInboundRequest_t *inbound)
{
    const EyRequest_t *request = inbound->request;
    if (request->call != EY_CALL_OPERATOR ||
        EyRequest_HasSafeMethod(request) || !has_caller_closed(inbound))
    {
        return NULL;
    }
    EY_LOG(EY_LOG_WARNING, "callers", "order_abandoned",
           EY_LOG_TEXT("request_id", inbound->id),
           EY_LOG_TEXT("path", request->path));
    return EyAnswer_Problem(EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN, 0,
                            "the connection was closed before the order was "
                            "read");
}

/** Submits a completely received request to the daemon. */
static enum MHD_Result
on_complete_request(EyServer_t *self, EyInboundRequest_t *inbound)
{
    if (!end_reading(self, inbound)) {
        return MHD_NO;
    }
    EyAnswer_t *refusal = inbound->refusal;
    inbound->refusal = NULL;
    if (refusal == NULL) {
        refusal = EyParse_Body(inbound->request);
    }
    if (refusal == NULL) {
        refusal = refuse_abandoned_order(inbound);
    }
    if (refusal != NULL) {
        return refuse(self, inbound, refusal);
    }
    if (EyRequest_IsForBackend(inbound->request) && has_caller_closed(inbound))
    {
        /* Nobody waits for the answer any more. */
        EyMetric_Add(&Metrics[METRIC_LEFT_UNREAD], 1);
        return MHD_NO;
    }
    EY_LOG(EY_LOG_DEBUG, "callers", "request",
           EY_LOG_TEXT("request_id", inbound->id),
           EY_LOG_TEXT("call", EyCall_names[inbound->request->call]),
           EY_LOG_TEXT("target", inbound->request->target));
    EyRequest_t *request = inbound->request;
    inbound->request = NULL;
    inbound->stage = EY_INBOUND_WAITING;
    set_submitted(self, inbound, true);
    if (!self->hooks.submit(self->hooks.data, request)) {
        inbound->request = request;
        set_submitted(self, inbound, false);
        return refuse(
            self, inbound,
            EyAnswer_Problem(EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN,
                             RETRY_AFTER_QUEUE_FULL_S,
                             "the request queue of this instance is full"));
    }
    watch(self, inbound);
    return send_or_suspend(self, inbound);
}

/** libmicrohttpd's access handler: called for the head, for each part of the
 * body, at the end of the request and after each resume. */
static enum MHD_Result /* NOLINTNEXTLINE(readability-function-size) */
on_access(void *data, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *upload,
          size_t *upload_size_bytes, void **place)
{
    (void)connection;
    (void)url;
    EyServer_t *self = ((Listener_t *)data)->server;
    EyInboundRequest_t *inbound = *place;
    if (inbound->stage == EY_INBOUND_HEAD) {
        inbound->lacks_chunks = strcmp(version, MHD_HTTP_VERSION_1_1) != 0;
        return on_head(self, inbound, method);
    }
    if (inbound->stage == EY_INBOUND_BODY && *upload_size_bytes > 0) {
        size_t size_bytes = *upload_size_bytes;
        *upload_size_bytes = 0;
        return on_body(self, inbound, upload, size_bytes);
    }
    if (inbound->stage == EY_INBOUND_BODY) {
        return on_complete_request(self, inbound);
    }
    return send_or_suspend(self, inbound);
}

static void
record_completion(const EyInboundRequest_t *inbound, bool completed)
{
    const EyAnswer_t *answer = inbound->answer;
    if (completed && answer != NULL) {
        EyMetric_Add(&Metrics[METRIC_ANSWERS + answer->outcome], 1);
    }
    if (inbound->aborted) {
        EyMetric_Add(&Metrics[METRIC_BROKEN], 1);
    }
    int64_t total_us = EyClock_NowUs() - inbound->started_us;
    EyMetric_Add(&Metrics[METRIC_BODY_BYTES], inbound->sent_bytes);
    EyMetric_Observe(&Metrics[METRIC_DURATION], total_us);
    EY_LOG(EY_LOG_DEBUG, "callers", completed ? "answer_sent" : "answer_cut",
           EY_LOG_TEXT("request_id", inbound->id),
           EY_LOG_NUMBER("status", answer != NULL ? answer->status : 0),
           EY_LOG_NUMBER("total_us", total_us));
}

/** The answer was sent completely, or the connection ended before that. */
static void
on_completed(void *data, struct MHD_Connection *connection, void **place,
             enum MHD_RequestTerminationCode code)
{
    const Listener_t *listener = data;
    EyServer_t *self = listener->server;
    EyInboundRequest_t *inbound = *place;
    *place = NULL;
    if (inbound == NULL) {
        return;
    }
    EyListener_SetBusy(&listener->callbacks, connection, false);
    bool stopping = unregister_inbound(self, inbound);
    bool completed =
        code == MHD_REQUEST_TERMINATED_COMPLETED_OK || inbound->answered_raw;
    if (inbound->watched) {
        EySocketWatcher_Unwatch(self->socket_watcher,
                                EyInboundRequest_Socket(inbound));
    }
    if (inbound->drain_after_answer && !stopping) {
        EySocketWatcher_Drain(self->socket_watcher,
                              EyInboundRequest_Socket(inbound));
    }
    if (inbound->answer != NULL && inbound->answer->stream != NULL) {
        EyStream_SetReader(inbound->answer->stream, NULL, NULL);
        EyStream_CloseReader(inbound->answer->stream);
    }
    if (inbound->stage != EY_INBOUND_HEAD) {
        record_completion(inbound, completed);
    }
    if (inbound->submitted && !completed && !inbound->aborted && !stopping) {
        EyMetric_Add(&Metrics[METRIC_DISCONNECTED], 1);
        EyCancellation_Set(inbound->cancellation);
        (void)pthread_mutex_lock(&self->lock);
        report_disconnect(self, inbound);
        (void)pthread_mutex_unlock(&self->lock);
    }
    EySuspension_Clear(&inbound->suspension);
    talloc_free(inbound->answer);
    talloc_free(inbound->refusal);
    talloc_free(inbound->request);
    talloc_free(inbound);
}

static void
free_parts(EyServer_t *self)
{
    EySocketWatcher_Stop(self->socket_watcher);
    g_hash_table_destroy(self->inbounds);
    (void)pthread_mutex_destroy(&self->lock);
}

EyServer_t *
EyServer_Start(const void *ctx, const char *address,
               const EyServerHooks_t *hooks, GError **error)
{
    EyMetrics_Register(Metrics, METRIC_COUNT);
    EyServer_t *self = EY_NEW(ctx, EyServer_t);
    self->hooks = *hooks;
    if (self->hooks.bodies == NULL) {
        self->hooks.bodies = &CommonBodies;
    }
    if (self->hooks.connections_max == 0) {
        self->hooks.connections_max = EY_SERVER_CONNECTIONS_MAX;
    }
    self->names = hooks->names != NULL ? hooks->names : &EyHeaderNames_native;
    self->random = EyRandom_Make(EyRandom_SystemSeed());
    (void)pthread_mutex_init(&self->lock, NULL);
    self->inbounds = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->socket_watcher = EySocketWatcher_Start(self, on_disconnect, self);
    if (!EyServer_Listen(self, address, false, error)) {
        free_parts(self);
        talloc_free(self);
        return NULL;
    }
    return self;
}

bool
EyServer_Listen(EyServer_t *self, const char *address, bool is_routed,
                GError **error)
{
    if (self->listener_count == EY_SERVER_LISTENERS_MAX) {
        g_set_error(error, EY_SERVER_ERROR, EY_SERVER_ERROR_LISTEN,
                    "can't listen on '%s': at most %d addresses are allowed",
                    address, EY_SERVER_LISTENERS_MAX);
        return false;
    }
    Listener_t *listener = &self->listeners[self->listener_count];
    *listener = (Listener_t){
        .server = self,
        .descriptor = -1,
        .is_routed = is_routed,
    };
    listener->callbacks = (EyListenerCallbacks_t){
        .on_access = on_access,
        .on_request_line = on_request_line,
        .on_completed = on_completed,
        .data = listener,
        .connections_max = self->hooks.connections_max,
        .connections =
            EyKeptConnections_New(self, self->hooks.connections_max),
    };
    listener->daemon = EyListener_Start(address, &listener->callbacks);
    if (listener->daemon == NULL) {
        g_set_error(error, EY_SERVER_ERROR, EY_SERVER_ERROR_LISTEN,
                    "can't listen on '%s': not IP:port, or can't be bound",
                    address);
        return false;
    }
    self->listener_count++;
    return true;
}

uint16_t
EyServer_Port(const EyServer_t *self)
{
    return EyListener_Port(self->listeners[0].daemon);
}

void
EyServer_Answer(EyServer_t *self, uint64_t number, EyAnswer_t *answer)
{
    (void)pthread_mutex_lock(&self->lock);
    EyInboundRequest_t *inbound = g_hash_table_lookup(self->inbounds, &number);
    bool accepted =
        inbound != NULL && inbound->submitted && inbound->answer == NULL;
    if (accepted) {
        inbound->answer = answer;
        EySuspension_Wake(&inbound->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (!accepted) {
        if (answer->stream != NULL) {
            EyStream_CloseReader(answer->stream);
        }
        talloc_free(answer);
    }
}

/** Answers a request whose body is late, and ends what is sent to its caller.
 * The socket still takes what the caller sends: a socket that is closed with
 * unread bytes resets the connection, and its caller may lose the answer. The
 * lock must be held. */
static void
answer_late_body(EyInboundRequest_t *inbound)
{
    EY_LOG(EY_LOG_INFO, "callers", "body_late",
           EY_LOG_TEXT("request_id", inbound->id),
           EY_LOG_TEXT("path", inbound->path));
    inbound->answer =
        EyAnswer_Problem(EY_PROBLEM_REQUEST_LATE, EY_OUTCOME_NOT_RUN, 0,
                         "the body did not come in time");
    inbound->drain_after_answer = true;
    EyInboundRequest_AnswerRaw(inbound);
    (void)shutdown(EyInboundRequest_Socket(inbound), SHUT_WR);
}

/** Ends the reading of a body beyond its time. The lock must be held. */
static void
end_late_body(EyServer_t *self, EyInboundRequest_t *inbound, int64_t now_ms)
{
    if (inbound->answer == NULL) {
        answer_late_body(inbound);
        inbound->read_until_ms = now_ms + LATE_BODY_LINGER_MS;
        return;
    }
    /* Its caller hasn't closed: libmicrohttpd reads an end, and closes. */
    end_reading_locked(self, inbound);
    (void)shutdown(EyInboundRequest_Socket(inbound), SHUT_RD);
}

void
EyServer_EndLateBodies(EyServer_t *self, int64_t now_ms,
                       EyBodyDeadline_t deadline, void *data)
{
    (void)pthread_mutex_lock(&self->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->inbounds);
    while (self->reading > 0 &&
           g_hash_table_iter_next(&iterator, NULL, &value)) {
        EyInboundRequest_t *inbound = value;
        if (!inbound->is_reading) {
            continue;
        }
        if (inbound->read_until_ms == 0) {
            int64_t until_ms = deadline(data, inbound->request);
            inbound->read_until_ms = until_ms > 0 ? until_ms : INT64_MAX;
        }
        if (inbound->read_until_ms <= now_ms) {
            end_late_body(self, inbound, now_ms);
        }
    }
    (void)pthread_mutex_unlock(&self->lock);
}

uint32_t
EyServer_InFlight(const EyServer_t *self)
{
    EyServer_t *server = (EyServer_t *)self;
    (void)pthread_mutex_lock(&server->lock);
    uint32_t count = g_hash_table_size(server->inbounds);
    (void)pthread_mutex_unlock(&server->lock);
    return count;
}

static bool
has_connections(const EyServer_t *self)
{
    for (uint32_t i = 0; i < self->listener_count; i++) {
        if (EyListener_ConnectionCount(self->listeners[i].daemon) > 0) {
            return true;
        }
    }
    return false;
}

bool
EyServer_IsIdle(const EyServer_t *self)
{
    if (EyServer_InFlight(self) > 0 ||
        EySocketWatcher_IsDraining(self->socket_watcher))
    {
        return false;
    }
    bool may_deliver =
        self->quiesced_ms == 0 ||
        EyClock_NowMs() - self->quiesced_ms < EY_SERVER_LATE_REQUEST_MS;
    return !may_deliver || !has_connections(self);
}

void
EyServer_CloseAfterAnswers(EyServer_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->closing = true;
    (void)pthread_mutex_unlock(&self->lock);
}

/** Stops accepting on all listeners. Connections whose handshakes have begun
 * are accepted first: shutting the sockets down would reset them after their
 * callers had sent requests. */
static void
quiesce_listeners(EyServer_t *self)
{
    for (uint32_t i = 0; i < self->listener_count; i++) {
        Listener_t *listener = &self->listeners[i];
        listener->descriptor = EyListener_Detach(listener->daemon);
        EyListener_AcceptQueued(listener->daemon, listener->descriptor);
    }
    (void)usleep(EY_LISTENER_HANDSHAKE_MS * 1000);
    for (uint32_t i = 0; i < self->listener_count; i++) {
        const Listener_t *listener = &self->listeners[i];
        EyListener_AcceptQueued(listener->daemon, listener->descriptor);
        if (listener->descriptor >= 0) {
            /* libmicrohttpd's thread may still pass the descriptor to epoll,
             * so it is closed only after that thread has ended. */
            (void)shutdown(listener->descriptor, SHUT_RDWR);
        }
    }
}

void
EyServer_Quiesce(EyServer_t *self)
{
    EyServer_CloseAfterAnswers(self);
    if (self->quiesced_ms == 0) {
        quiesce_listeners(self);
        self->quiesced_ms = EyClock_NowMs();
    }
}

static void
close_all_connections(EyServer_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->stopping = true;
    GHashTableIter iterator;
    gpointer inbound = NULL;
    g_hash_table_iter_init(&iterator, self->inbounds);
    while (g_hash_table_iter_next(&iterator, NULL, &inbound)) {
        EySuspension_Close(&((EyInboundRequest_t *)inbound)->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

void
EyServer_Stop(EyServer_t *self)
{
    EyServer_Quiesce(self);
    close_all_connections(self);
    for (int i = 0; i < STOP_POLLS_MAX && EyServer_InFlight(self) > 0; i++) {
        (void)usleep(STOP_POLL_INTERVAL_US);
    }
    for (uint32_t i = 0; i < self->listener_count; i++) {
        const Listener_t *listener = &self->listeners[i];
        MHD_stop_daemon(listener->daemon);
        if (listener->descriptor >= 0) {
            (void)close(listener->descriptor);
        }
    }
    free_parts(self);
    talloc_free(self);
}
