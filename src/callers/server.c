#include "callers/server.h"

#include "callers/hangup.h"
#include "callers/inbound.h"
#include "callers/parse.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/random.h"
#include "core/settings.h"
#include "exchange/body.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections at once; more wait in the kernel's queue. */
#define CONNECTIONS_MAX 8192
/* Silence after which a connection is closed, unless its answer is awaited. */
#define CONNECTION_IDLE_TIMEOUT_S 30
/* Room for one connection's head and buffers. */
#define CONNECTION_MEMORY_BYTES 32768
/* Deeply nested JSON is read on this stack. */
#define THREAD_STACK_SIZE_BYTES (4 * 1024 * 1024)
/* When a caller should come back after a full ring. */
#define RETRY_AFTER_FULL_S 1
/* Time for cut-off requests to end while the server stops. */
#define STOP_TURNS_MAX 200
#define STOP_TURN_US 5000

EY_DEFINE_ERROR_DOMAIN(Server, "ey-server")

struct EyServer {
    EyServerHooks_t hooks;
    struct MHD_Daemon *daemon;
    EyHangups_t *hangups;
    uint16_t port;
    int listener;      /* once it is quiescing */
    EyRandom_t random; /* of libmicrohttpd's thread */
    pthread_mutex_t lock;
    GHashTable *inbounds; /* by number; under the lock */
    bool quiescing;       /* under the lock */
    bool stopping;        /* under the lock */
};

enum {
    METRIC_REQUESTS,
    METRIC_ANSWERS,
    METRIC_ANSWERS_END = METRIC_ANSWERS + EY_OUTCOME_COUNT,
    METRIC_GONE = METRIC_ANSWERS_END,
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
    [METRIC_GONE] = {.name = "caller_gone_total",
                     .help = "Callers that hung up before their answer's end"},
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

/* Numbers are unique in the process, whatever the number of servers. */
static uint64_t LastNumber;

static void
remember(EyServer_t *self, EyInbound_t *inbound)
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

/** Forgets the request; true if the server is stopping. */
static bool
forget(EyServer_t *self, EyInbound_t *inbound)
{
    (void)pthread_mutex_lock(&self->lock);
    (void)g_hash_table_remove(self->inbounds, &inbound->number);
    EyMetric_Set(&Metrics[METRIC_IN_FLIGHT],
                 g_hash_table_size(self->inbounds));
    bool stopping = self->stopping;
    (void)pthread_mutex_unlock(&self->lock);
    return stopping;
}

/** Runs on the watcher's thread. */
static void
on_hangup(void *data, uint64_t number)
{
    EyServer_t *self = data;
    (void)pthread_mutex_lock(&self->lock);
    EyInbound_t *inbound = g_hash_table_lookup(self->inbounds, &number);
    if (inbound != NULL) {
        EySuspension_Close(&inbound->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

/** Takes the raw path before libmicrohttpd decodes it; starts a request. */
static void *
on_request_line(void *data, const char *path,
                struct MHD_Connection *connection)
{
    (void)data;
    EyInbound_t *inbound = EY_NEW(NULL, EyInbound_t);
    inbound->number = __atomic_add_fetch(&LastNumber, 1, __ATOMIC_RELAXED);
    inbound->path = EyMemory_Strdup(inbound, path);
    inbound->started_us = EyClock_NowUs();
    EySuspension_Init(&inbound->suspension, connection);
    return inbound;
}

/** Queues the response for inbound->answer. */
static enum MHD_Result
send_answer(EyServer_t *self, EyInbound_t *inbound)
{
    inbound->stage = EY_INBOUND_ANSWERED;
    (void)pthread_mutex_lock(&self->lock);
    bool closes = self->quiescing;
    (void)pthread_mutex_unlock(&self->lock);
    uint32_t status = inbound->answer->status;
    if (status < 200 || status > 999) {
        status = MHD_HTTP_BAD_GATEWAY;
    }
    struct MHD_Response *response = EyInbound_MakeResponse(inbound, closes);
    if (response == NULL) {
        return MHD_NO;
    }
    enum MHD_Result queued =
        MHD_queue_response(inbound->suspension.connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

/** Answers the request by itself. */
static enum MHD_Result
refuse(EyServer_t *self, EyInbound_t *inbound, EyAnswer_t *refusal)
{
    inbound->answer = refusal;
    return send_answer(self, inbound);
}

static enum MHD_Result
take_header(void *data, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    (void)kind;
    EyParse_Header(data, name, value != NULL ? value : "");
    return MHD_YES;
}

static void
make_id(EyServer_t *self, EyRequest_t *request)
{
    (void)snprintf(request->id, sizeof(request->id), "%016llx%016llx",
                   (unsigned long long)EyRandom_Next(&self->random),
                   (unsigned long long)EyRandom_Next(&self->random));
}

/** Reads the head; has_body tells whether more is to come. */
static EyAnswer_t *
read_head(EyServer_t *self, EyInbound_t *inbound, const char *method,
          bool *has_body)
{
    EyRequest_t *request = inbound->request;
    EyParsedHead_t head = {.request = request, .content_size_bytes = -1};
    EyAnswer_t *refusal = EyParse_Line(request, method, inbound->path);
    (void)MHD_get_connection_values(inbound->suspension.connection,
                                    MHD_HEADER_KIND, take_header, &head);
    EyAnswer_t *head_refusal = EyParse_HeadEnd(&head);
    if (refusal == NULL) {
        refusal = head_refusal;
    }
    else {
        talloc_free(head_refusal);
    }
    if (request->id[0] == '\0') {
        make_id(self, request);
    }
    (void)EY_COPY(inbound->id, request->id);
    request->number = inbound->number;
    request->arrived_ms = EyClock_NowMs();
    if (head.timeout_ms > 0) {
        request->deadline_ms = request->arrived_ms + head.timeout_ms;
    }
    *has_body = head.framing_headers > 0 && head.content_size_bytes != 0;
    return refusal;
}

static enum MHD_Result
on_head(EyServer_t *self, EyInbound_t *inbound, const char *method)
{
    EyMetric_Add(&Metrics[METRIC_REQUESTS], 1);
    inbound->stage = EY_INBOUND_BODY;
    inbound->request = EyRequest_New();
    remember(self, inbound);
    bool has_body = false;
    EyAnswer_t *refusal = read_head(self, inbound, method, &has_body);
    if (refusal == NULL && self->hooks.check != NULL) {
        refusal = self->hooks.check(self->hooks.data, inbound->request);
    }
    if (refusal == NULL) {
        return MHD_YES;
    }
    if (has_body) {
        /* Its body is never read; the connection ends after the answer. */
        return refuse(self, inbound, refusal);
    }
    inbound->refusal = refusal;
    return MHD_YES;
}

/** Adds a part of the body; what follows one that is too large is lost. */
static void
on_body(EyInbound_t *inbound, const char *data, size_t size_bytes)
{
    EyRequest_t *request = inbound->request;
    if (!inbound->too_large &&
        !EyBody_Append(request, &request->body, data, size_bytes,
                       EY_REQUEST_BODY_MAX_BYTES))
    {
        inbound->too_large = true;
    }
}

/** Sends the answer if it is here; else waits for it or ends. */
static enum MHD_Result
on_waiting(EyServer_t *self, EyInbound_t *inbound)
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
        if (EySuspension_Wait(&inbound->suspension)) {
            return MHD_YES;
        }
    }
}

static void
watch(EyServer_t *self, EyInbound_t *inbound)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        inbound->suspension.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != NULL) {
        inbound->watched = true;
        EyHangups_Watch(self->hangups, info->connect_fd, inbound->number);
    }
}

static void
set_submitted(EyServer_t *self, EyInbound_t *inbound, bool submitted)
{
    (void)pthread_mutex_lock(&self->lock);
    inbound->submitted = submitted;
    (void)pthread_mutex_unlock(&self->lock);
}

/** The whole request is here: hands it to the daemon. */
static enum MHD_Result
on_whole(EyServer_t *self, EyInbound_t *inbound)
{
    EyAnswer_t *refusal = inbound->refusal;
    inbound->refusal = NULL;
    if (refusal == NULL && inbound->too_large) {
        refusal = EyAnswer_Problem(EY_PROBLEM_TOO_LARGE, EY_OUTCOME_NOT_RUN, 0,
                                   NULL);
    }
    if (refusal == NULL) {
        refusal = EyParse_Body(inbound->request);
    }
    if (refusal != NULL) {
        return refuse(self, inbound, refusal);
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
        return refuse(self, inbound,
                      EyAnswer_Problem(EY_PROBLEM_OVERLOADED,
                                       EY_OUTCOME_NOT_RUN, RETRY_AFTER_FULL_S,
                                       "this instance is busy"));
    }
    watch(self, inbound);
    return on_waiting(self, inbound);
}

/** libmicrohttpd's handler: head, parts of the body, then each wake-up. */
static enum MHD_Result /* NOLINTNEXTLINE(readability-function-size) */
on_access(void *data, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *upload,
          size_t *upload_size_bytes, void **place)
{
    (void)connection;
    (void)url;
    (void)version;
    EyServer_t *self = data;
    EyInbound_t *inbound = *place;
    if (inbound->stage == EY_INBOUND_HEAD) {
        return on_head(self, inbound, method);
    }
    if (inbound->stage == EY_INBOUND_BODY && *upload_size_bytes > 0) {
        on_body(inbound, upload, *upload_size_bytes);
        *upload_size_bytes = 0;
        return MHD_YES;
    }
    if (inbound->stage == EY_INBOUND_BODY) {
        return on_whole(self, inbound);
    }
    return on_waiting(self, inbound);
}

static void
count_end(const EyInbound_t *inbound, bool completed)
{
    const EyAnswer_t *answer = inbound->answer;
    if (completed && answer != NULL) {
        EyMetric_Add(&Metrics[METRIC_ANSWERS + answer->outcome], 1);
    }
    if (inbound->broken) {
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

/** The answer was wholly sent, or the connection ended before. */
static void
on_completed(void *data, struct MHD_Connection *connection, void **place,
             enum MHD_RequestTerminationCode code)
{
    EyServer_t *self = data;
    EyInbound_t *inbound = *place;
    *place = NULL;
    if (inbound == NULL) {
        return;
    }
    bool completed = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    bool stopping = forget(self, inbound);
    if (inbound->watched) {
        const union MHD_ConnectionInfo *info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        EyHangups_Forget(self->hangups, info->connect_fd);
    }
    if (inbound->answer != NULL && inbound->answer->stream != NULL) {
        EyStream_SetReader(inbound->answer->stream, NULL, NULL);
        EyStream_Leave(inbound->answer->stream);
    }
    if (inbound->stage != EY_INBOUND_HEAD) {
        count_end(inbound, completed);
    }
    if (inbound->submitted && !completed && !inbound->broken && !stopping) {
        EyMetric_Add(&Metrics[METRIC_GONE], 1);
        self->hooks.gone(self->hooks.data, inbound->number);
    }
    EySuspension_Clear(&inbound->suspension);
    talloc_free(inbound->answer);
    talloc_free(inbound->refusal);
    talloc_free(inbound->request);
    talloc_free(inbound);
}

static void
log_library(void *data, const char *format, va_list arguments)
{
    (void)data;
    char text[512];
    (void)vsnprintf(text, sizeof(text), format, arguments);
    EY_LOG(EY_LOG_DEBUG, "callers", "microhttpd", EY_LOG_TEXT("text", text));
}

/** Fills the socket address; false if address isn't IP:port. */
static bool
make_socket_address(const char *address, struct sockaddr_storage *storage)
{
    char ip[EY_ADDRESS_SIZE_BYTES];
    uint16_t port = 0;
    if (!EyAddress_Split(address, ip, sizeof(ip), &port)) {
        return false;
    }
    memset(storage, 0, sizeof(*storage));
    struct sockaddr_in *ipv4 = (struct sockaddr_in *)storage;
    struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)storage;
    if (inet_pton(AF_INET, ip, &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(port);
        return true;
    }
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(port);
    return inet_pton(AF_INET6, ip, &ipv6->sin6_addr) == 1;
}

static struct MHD_Daemon *
start_daemon(EyServer_t *self, const struct sockaddr_storage *address)
{
    unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ERROR_LOG |
                         MHD_ALLOW_SUSPEND_RESUME;
    if (address->ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    return MHD_start_daemon(
        flags, 0, NULL, NULL, on_access, self, MHD_OPTION_EXTERNAL_LOGGER,
        log_library, NULL, MHD_OPTION_SOCK_ADDR,
        (const struct sockaddr *)address, MHD_OPTION_URI_LOG_CALLBACK,
        on_request_line, self, MHD_OPTION_NOTIFY_COMPLETED, on_completed, self,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_IDLE_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_SIZE_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, (unsigned int)1, MHD_OPTION_END);
}

static uint16_t
bound_port(struct MHD_Daemon *daemon)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info != NULL ? info->port : 0;
}

static void
free_parts(EyServer_t *self)
{
    EyHangups_Stop(self->hangups);
    g_hash_table_destroy(self->inbounds);
    (void)pthread_mutex_destroy(&self->lock);
}

EyServer_t *
EyServer_Start(const void *ctx, const char *address,
               const EyServerHooks_t *hooks, GError **error)
{
    struct sockaddr_storage socket_address;
    if (!make_socket_address(address, &socket_address)) {
        g_set_error(error, EY_SERVER_ERROR, EY_SERVER_ERROR_LISTEN,
                    "'%s' isn't IP:port", address);
        return NULL;
    }
    EyMetrics_Register(Metrics, METRIC_COUNT);
    EyServer_t *self = EY_NEW(ctx, EyServer_t);
    self->hooks = *hooks;
    self->listener = -1;
    self->random = EyRandom_Make(EyRandom_SystemSeed());
    (void)pthread_mutex_init(&self->lock, NULL);
    self->inbounds = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->hangups = EyHangups_Start(self, on_hangup, self);
    self->daemon = start_daemon(self, &socket_address);
    if (self->daemon == NULL) {
        g_set_error(error, EY_SERVER_ERROR, EY_SERVER_ERROR_LISTEN,
                    "can't listen on %s", address);
        free_parts(self);
        talloc_free(self);
        return NULL;
    }
    self->port = bound_port(self->daemon);
    return self;
}

uint16_t
EyServer_Port(const EyServer_t *self)
{
    return self->port;
}

void
EyServer_Answer(EyServer_t *self, uint64_t number, EyAnswer_t *answer)
{
    (void)pthread_mutex_lock(&self->lock);
    EyInbound_t *inbound = g_hash_table_lookup(self->inbounds, &number);
    bool taken =
        inbound != NULL && inbound->submitted && inbound->answer == NULL;
    if (taken) {
        inbound->answer = answer;
        EySuspension_Wake(&inbound->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (!taken) {
        if (answer->stream != NULL) {
            EyStream_Leave(answer->stream);
        }
        talloc_free(answer);
    }
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

/** Takes the connections that wait in the kernel's queue. */
static void
accept_waiting(EyServer_t *self, int listener)
{
    struct sockaddr_storage address;
    socklen_t size_bytes = sizeof(address);
    int socket = -1;
    while ((socket = accept4(listener, (struct sockaddr *)&address,
                             &size_bytes, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
        (void)MHD_add_connection(self->daemon, socket,
                                 (struct sockaddr *)&address, size_bytes);
        size_bytes = sizeof(address);
    }
}

void
EyServer_Quiesce(EyServer_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    bool first = !self->quiescing;
    self->quiescing = true;
    (void)pthread_mutex_unlock(&self->lock);
    if (!first) {
        return;
    }
    self->listener = MHD_quiesce_daemon(self->daemon);
    if (self->listener >= 0) {
        accept_waiting(self, self->listener);
        /* libmicrohttpd's thread may still name the descriptor to epoll, so
         * it is closed only after that thread's end. */
        (void)shutdown(self->listener, SHUT_RDWR);
    }
}

static void
close_all(EyServer_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->stopping = true;
    GHashTableIter iterator;
    gpointer inbound = NULL;
    g_hash_table_iter_init(&iterator, self->inbounds);
    while (g_hash_table_iter_next(&iterator, NULL, &inbound)) {
        EySuspension_Close(&((EyInbound_t *)inbound)->suspension);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

void
EyServer_Stop(EyServer_t *self)
{
    EyServer_Quiesce(self);
    close_all(self);
    for (int i = 0; i < STOP_TURNS_MAX && EyServer_InFlight(self) > 0; i++) {
        (void)usleep(STOP_TURN_US);
    }
    MHD_stop_daemon(self->daemon);
    if (self->listener >= 0) {
        (void)close(self->listener);
    }
    free_parts(self);
    talloc_free(self);
}
