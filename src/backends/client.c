#include "backends/client.h"

#include "backends/test_unreachable.h"
#include "backends/transfer.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/metrics.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Idle connections kept for reuse, over all backend servers. */
#define IDLE_CONNECTIONS_MAX 512L

const char *const EyAttemptFailure_names[EY_FAILURE_COUNT] = {
    [EY_FAILURE_NONE] = "none",           [EY_FAILURE_CONNECT] = "connect",
    [EY_FAILURE_BROKEN] = "broken",       [EY_FAILURE_IDLE] = "idle",
    [EY_FAILURE_DEADLINE] = "deadline",   [EY_FAILURE_CANCELLED] = "cancelled",
    [EY_FAILURE_WRONG_ID] = "wrong_id",   [EY_FAILURE_TOO_LARGE] = "too_large",
    [EY_FAILURE_NO_MEMORY] = "no_memory", [EY_FAILURE_MALFORMED] = "malformed",
    [EY_FAILURE_CUT_EVENT] = "cut_event",
};

struct EyClient {
    struct tevent_context *loop;
    EyTimers_t *timers;
    EyAttemptHandler_t handler;
    void *data;
    CURLM *multi;
    EyConnections_t *connections;
    EyTimer_t *timer; /* libcurl's */
    struct tevent_immediate *deferred;
    GHashTable *transfers; /* by number */
    GQueue starting;       /* of EyTransfer_t, not yet passed to libcurl */
    GQueue ending;         /* of EyTransfer_t whose failure is set */
    int wake_descriptor;
    pthread_mutex_t lock;
    GQueue notified; /* of EyTransfer_t whose stream may be written or was
                        closed, or whose caller has left; under the lock */
};

/** A socket of libcurl that the loop watches. */
typedef struct Socket {
    EyClient_t *client;
    curl_socket_t descriptor;
    struct tevent_fd *event;
} Socket_t;

enum {
    METRIC_ATTEMPTS,
    METRIC_DONE,
    METRIC_FAILURES, /* from EY_FAILURE_CONNECT on */
    METRIC_FAILURES_END = METRIC_FAILURES + EY_FAILURE_COUNT - 1,
    METRIC_IN_FLIGHT = METRIC_FAILURES_END,
    METRIC_PAUSES,
    METRIC_STALE,
    METRIC_FIRST_BYTE,
    METRIC_CLOSE_TO_ABORT,
    METRIC_COUNT
};

#define FAILURE_METRIC(failure_name)                                          \
    {                                                                         \
        .name = "attempt_failures_total",                                     \
        .labels = "failure=\"" failure_name "\"",                             \
        .help = "Failed attempts at backend servers, by failure"              \
    }

static EyMetric_t Metrics[METRIC_COUNT] = {
    [METRIC_ATTEMPTS] = {.name = "attempts_total",
                         .help = "Calls started to backend servers"},
    [METRIC_DONE] = {.name = "attempts_done_total",
                     .help = "Calls whose whole answer came"},
    [METRIC_FAILURES + EY_FAILURE_CONNECT - 1] = FAILURE_METRIC("connect"),
    [METRIC_FAILURES + EY_FAILURE_BROKEN - 1] = FAILURE_METRIC("broken"),
    [METRIC_FAILURES + EY_FAILURE_IDLE - 1] = FAILURE_METRIC("idle"),
    [METRIC_FAILURES + EY_FAILURE_DEADLINE - 1] = FAILURE_METRIC("deadline"),
    [METRIC_FAILURES + EY_FAILURE_CANCELLED - 1] = FAILURE_METRIC("cancelled"),
    [METRIC_FAILURES + EY_FAILURE_WRONG_ID - 1] = FAILURE_METRIC("wrong_id"),
    [METRIC_FAILURES + EY_FAILURE_TOO_LARGE - 1] = FAILURE_METRIC("too_large"),
    [METRIC_FAILURES + EY_FAILURE_NO_MEMORY - 1] = FAILURE_METRIC("no_memory"),
    [METRIC_FAILURES + EY_FAILURE_MALFORMED - 1] = FAILURE_METRIC("malformed"),
    [METRIC_FAILURES + EY_FAILURE_CUT_EVENT - 1] = FAILURE_METRIC("cut_event"),
    [METRIC_IN_FLIGHT] = {.name = "attempts_in_flight",
                          .help = "Calls to backend servers in flight",
                          .kind = EY_METRIC_GAUGE},
    [METRIC_PAUSES] = {.name = "attempt_pauses_total",
                       .help = "Pauses for slower readers"},
    [METRIC_STALE] = {.name = "attempt_stale_connections_total",
                      .help = "Kept connections found unusable"},
    [METRIC_FIRST_BYTE] = {.name = "attempt_first_byte_seconds",
                           .help = "From a call's start to its first byte",
                           .kind = EY_METRIC_HISTOGRAM},
    [METRIC_CLOSE_TO_ABORT] =
        {.name = "attempt_close_to_abort_seconds",
         .help = "From the close of a caller's connection, or the deadline of "
                 "its request, to the end of the call to a backend server",
         .kind = EY_METRIC_HISTOGRAM},
};

static void
on_deferred(struct tevent_context *loop, struct tevent_immediate *deferred,
            void *data);

/** Schedules on_deferred to run from the loop, outside of libcurl's callbacks.
 */
static void
schedule_deferred(EyClient_t *self)
{
    tevent_schedule_immediate(self->deferred, self->loop, on_deferred, self);
}

static EyAttemptEvent_t *
make_event(const EyTransfer_t *transfer, EyAttemptEventKind_t kind)
{
    EyAttemptEvent_t *event = EY_NEW(NULL, EyAttemptEvent_t);
    event->number = transfer->attempt->number;
    event->kind = kind;
    event->events_passed = transfer->events_passed;
    event->bytes_passed = transfer->bytes_passed;
    (void)EY_COPY(event->last_event, transfer->last_event);
    return event;
}

void
EyClient_OnSending(EyClient_t *self, EyTransfer_t *transfer)
{
    self->handler(self->data, make_event(transfer, EY_ATTEMPT_SENDING));
}

/** Reports a copy of the head; the transfer keeps its own. */
void
EyClient_OnHead(EyClient_t *self, EyTransfer_t *transfer)
{
    EyAttemptEvent_t *event = make_event(transfer, EY_ATTEMPT_HEAD);
    const EyAnswer_t *from = transfer->head.answer;
    EyAnswer_t *answer = EyAnswer_New(from->status, from->outcome);
    answer->stream_size_bytes = from->stream_size_bytes;
    answer->is_events = from->is_events;
    for (uint32_t i = 0; i < from->header_count; i++) {
        EyAnswer_SetHeader(answer, from->headers[i].name,
                           from->headers[i].value);
    }
    event->answer = talloc_steal(event, answer);
    self->handler(self->data, event);
}

/** Schedules the end of the transfer; the first failure counts. */
static void
schedule_end(EyTransfer_t *transfer, EyAttemptFailure_t failure)
{
    if (transfer->queued_for_end) {
        return;
    }
    if (transfer->failure == EY_FAILURE_NONE) {
        transfer->failure = failure;
    }
    transfer->queued_for_end = true;
    g_queue_push_tail(&transfer->client->ending, transfer);
    schedule_deferred(transfer->client);
}

static void
on_deadline(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyTransfer_t *transfer = data;
    transfer->deadline = NULL;
    schedule_end(transfer, EY_FAILURE_DEADLINE);
}

static void
on_idle(void *data, int64_t now_ms)
{
    EyTransfer_t *transfer = data;
    int64_t limit_ms = transfer->attempt->idle_timeout_ms;
    /* Before the call is sent, and while receiving is paused for a slow
     * reader, the backend server doesn't cause the lack of data. */
    int64_t idle_ms = transfer->sent && !transfer->paused
                          ? now_ms - transfer->last_activity_ms
                          : 0;
    transfer->idle = NULL;
    if (idle_ms >= limit_ms) {
        schedule_end(transfer, EY_FAILURE_IDLE);
        return;
    }
    transfer->idle = EyTimers_After(transfer->client->timers,
                                    limit_ms - idle_ms, on_idle, transfer);
}

/** The stream has room again, its reader closed it, or the caller has left;
 * called on any thread. */
static void
on_notified(void *data)
{
    EyTransfer_t *transfer = data;
    EyClient_t *self = transfer->client;
    (void)pthread_mutex_lock(&self->lock);
    bool first = !transfer->notified;
    if (first) {
        transfer->notified = true;
        g_queue_push_tail(&self->notified, transfer);
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (first) {
        const uint64_t one = 1;
        ssize_t written = write(self->wake_descriptor, &one, sizeof(one));
        (void)written;
    }
}

/** Ends the notifications by other threads. */
static void
detach_notifiers(EyClient_t *self, EyTransfer_t *transfer)
{
    const EyAttempt_t *attempt = transfer->attempt;
    if (attempt->stream != NULL) {
        EyStream_SetWriter(attempt->stream, NULL, NULL);
    }
    if (attempt->cancellation != NULL) {
        EyCancellation_SetHandler(attempt->cancellation, NULL, NULL);
    }
    (void)pthread_mutex_lock(&self->lock);
    if (transfer->notified) {
        (void)g_queue_remove(&self->notified, transfer);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

/** Removes the transfer from all queues and from libcurl; only its memory is
 * left. */
static void
detach(EyClient_t *self, EyTransfer_t *transfer)
{
    (void)g_hash_table_remove(self->transfers, &transfer->attempt->number);
    (void)g_queue_remove(&self->starting, transfer);
    (void)g_queue_remove(&self->ending, transfer);
    EyMetric_Set(&Metrics[METRIC_IN_FLIGHT],
                 g_hash_table_size(self->transfers));
    detach_notifiers(self, transfer);
    if (transfer->easy != NULL) {
        (void)curl_multi_remove_handle(self->multi, transfer->easy);
    }
}

static EyAttemptEvent_t *
make_done_event(EyTransfer_t *transfer)
{
    EyAttemptEvent_t *event = make_event(transfer, EY_ATTEMPT_DONE);
    event->first_byte_us = transfer->first_byte_us;
    event->total_us = EyClock_NowUs() - transfer->started_us;
    event->is_end_inferred = EyTransfer_IsEndInferred(transfer);
    if (transfer->collects) {
        event->answer = talloc_steal(event, EyTransfer_TakeAnswer(transfer));
    }
    EyMetric_Add(&Metrics[METRIC_DONE], 1);
    EyMetric_Observe(&Metrics[METRIC_FIRST_BYTE], transfer->first_byte_us);
    return event;
}

static EyAttemptEvent_t *
make_failed_event(const EyTransfer_t *transfer, EyAttemptFailure_t failure)
{
    EyAttemptEvent_t *event = make_event(transfer, EY_ATTEMPT_FAILED);
    event->failure = failure;
    event->is_end_inferred =
        failure == EY_FAILURE_CUT_EVENT && EyTransfer_IsEndInferred(transfer);
    event->nothing_sent = !transfer->sent;
    event->is_connect_refused =
        failure == EY_FAILURE_CONNECT && EyTransfer_IsConnectRefused(transfer);
    EyMetric_Add(&Metrics[METRIC_FAILURES + failure - 1], 1);
    return event;
}

/** Records how long after the cancellation the attempt ends. */
static void
observe_abort(const EyTransfer_t *transfer)
{
    int64_t age_us = EyCancellation_AgeUs(transfer->attempt->cancellation);
    if (age_us >= 0) {
        EyMetric_Observe(&Metrics[METRIC_CLOSE_TO_ABORT], age_us);
    }
}

/** Ends the transfer and reports its final event. */
static void
finish(EyClient_t *self, EyTransfer_t *transfer, CURLcode result)
{
    detach(self, transfer);
    EyConnections_End(self->connections, &transfer->use);
    EyAttemptFailure_t failure = EyTransfer_Finish(transfer, result);
    if (failure == EY_FAILURE_CANCELLED) {
        observe_abort(transfer);
    }
    EyAttemptEvent_t *event = failure == EY_FAILURE_NONE
                                  ? make_done_event(transfer)
                                  : make_failed_event(transfer, failure);
    if (failure == EY_FAILURE_NONE && !transfer->collects) {
        EyStream_Finish(transfer->attempt->stream, EY_STREAM_COMPLETE);
    }
    EY_LOG(EY_LOG_DEBUG, "backends", "attempt_ended",
           EY_LOG_TEXT("request_id", transfer->attempt->request_id),
           EY_LOG_TEXT("address", transfer->attempt->address),
           EY_LOG_TEXT("failure", EyAttemptFailure_names[failure]),
           EY_LOG_NUMBER("result", result),
           EY_LOG_NUMBER("bytes_passed", transfer->bytes_passed));
    EyTransfer_Free(transfer);
    self->handler(self->data, event);
}

/** Starts a transfer again that wasn't sent because its kept connection was
 * unusable. */
static void
retry_on_new_connection(EyClient_t *self, EyTransfer_t *transfer)
{
    EyMetric_Add(&Metrics[METRIC_STALE], 1);
    (void)curl_multi_remove_handle(self->multi, transfer->easy);
    EyTransfer_UseNewConnection(transfer);
    (void)curl_multi_add_handle(self->multi, transfer->easy);
}

/** Finishes the transfers that libcurl has completed. */
static void
finish_completed(EyClient_t *self)
{
    int left = 0;
    const CURLMsg *message = NULL;
    while ((message = curl_multi_info_read(self->multi, &left)) != NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURLcode result = message->data.result;
        char *private = NULL;
        (void)curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                                &private);
        EyTransfer_t *transfer = (EyTransfer_t *)(void *)private;
        if (transfer->connection_stale && !transfer->sent &&
            transfer->failure == EY_FAILURE_NONE)
        {
            retry_on_new_connection(self, transfer);
        }
        else {
            finish(self, transfer, result);
        }
    }
}

static void
run_curl(EyClient_t *self, curl_socket_t descriptor, int events)
{
    int running = 0;
    (void)curl_multi_socket_action(self->multi, descriptor, events, &running);
    finish_completed(self);
}

static void
on_socket_event(struct tevent_context *loop, struct tevent_fd *event,
                uint16_t flags, void *data)
{
    (void)loop;
    (void)event;
    const Socket_t *socket = data;
    int events = 0;
    if ((flags & TEVENT_FD_READ) != 0) {
        events |= CURL_CSELECT_IN;
    }
    if ((flags & TEVENT_FD_WRITE) != 0) {
        events |= CURL_CSELECT_OUT;
    }
    run_curl(socket->client, socket->descriptor, events);
}

static uint16_t
event_flags(int what)
{
    switch (what) {
    case CURL_POLL_IN:
        return TEVENT_FD_READ;
    case CURL_POLL_OUT:
        /* tevent reports errors, such as a refused connection, only if
         * TEVENT_FD_READ is set. */
    case CURL_POLL_INOUT:
        return TEVENT_FD_READ | TEVENT_FD_WRITE;
    default:
        return 0;
    }
}

/** libcurl's socket callback: sets the events to wait for on a socket. */
static int
on_socket(CURL *easy, curl_socket_t descriptor, int what, void *data,
          void *place)
{
    (void)easy;
    EyClient_t *self = data;
    Socket_t *socket = place;
    if (what == CURL_POLL_REMOVE) {
        talloc_free(socket);
        (void)curl_multi_assign(self->multi, descriptor, NULL);
        return 0;
    }
    if (socket == NULL) {
        socket = EY_NEW(self, Socket_t);
        socket->client = self;
        socket->descriptor = descriptor;
        socket->event =
            tevent_add_fd(self->loop, socket, descriptor, event_flags(what),
                          on_socket_event, socket);
        if (socket->event == NULL) {
            abort();
        }
        (void)curl_multi_assign(self->multi, descriptor, socket);
    }
    tevent_fd_set_flags(socket->event, event_flags(what));
    return 0;
}

static void
on_curl_timer(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyClient_t *self = data;
    self->timer = NULL;
    run_curl(self, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_curl_timer(CURLM *multi, long timeout_ms, void *data)
{
    (void)multi;
    EyClient_t *self = data;
    talloc_free(self->timer);
    self->timer = NULL;
    /* libcurl asks for 0 ms each time that it stops reading from a socket with
     * more data. The timer and the sockets take turns then; tevent runs an
     * immediate before all of them, so one connection would hold the loop. */
    if (timeout_ms >= 0) {
        self->timer =
            EyTimers_After(self->timers, timeout_ms, on_curl_timer, self);
    }
    return 0;
}

static void
on_unreachable(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyTransfer_t *transfer = data;
    transfer->idle = NULL;
    schedule_end(transfer, EY_FAILURE_CONNECT);
}

/** True if a test simulates that the server can't be reached. */
static bool
simulate_unreachable(EyClient_t *self, EyTransfer_t *transfer)
{
    const EyAttempt_t *attempt = transfer->attempt;
    if (EyTestUnreachable_Lists("refuse", attempt->address)) {
        schedule_end(transfer, EY_FAILURE_CONNECT);
        return true;
    }
    if (EyTestUnreachable_Lists("hang", attempt->address)) {
        transfer->idle =
            EyTimers_After(self->timers, attempt->connect_timeout_ms,
                           on_unreachable, transfer);
        return true;
    }
    return false;
}

/** Starts a transfer's timers and passes it to libcurl. */
static void
start_transfer(EyClient_t *self, EyTransfer_t *transfer)
{
    const EyAttempt_t *attempt = transfer->attempt;
    if (transfer->failure != EY_FAILURE_NONE) {
        return; /* already in the ending queue */
    }
    if (transfer->easy == NULL) {
        schedule_end(transfer, EY_FAILURE_CONNECT);
        return;
    }
    if (simulate_unreachable(self, transfer)) {
        return;
    }
    transfer->last_activity_ms = EyClock_NowMs();
    if (attempt->deadline_ms > 0) {
        transfer->deadline = EyTimers_After(
            self->timers, attempt->deadline_ms - transfer->last_activity_ms,
            on_deadline, transfer);
    }
    if (attempt->idle_timeout_ms > 0) {
        transfer->idle = EyTimers_After(self->timers, attempt->idle_timeout_ms,
                                        on_idle, transfer);
    }
    if (attempt->stream != NULL) {
        EyStream_SetWriter(attempt->stream, on_notified, transfer);
    }
    if (attempt->cancellation != NULL) {
        EyCancellation_SetHandler(attempt->cancellation, on_notified,
                                  transfer);
    }
    (void)curl_multi_add_handle(self->multi, transfer->easy);
}

static void
on_deferred(struct tevent_context *loop, struct tevent_immediate *deferred,
            void *data)
{
    (void)loop;
    (void)deferred;
    EyClient_t *self = data;
    EyTransfer_t *transfer = NULL;
    while ((transfer = g_queue_pop_head(&self->ending)) != NULL) {
        finish(self, transfer, CURLE_OK);
    }
    while ((transfer = g_queue_pop_head(&self->starting)) != NULL) {
        start_transfer(self, transfer);
    }
    run_curl(self, CURL_SOCKET_TIMEOUT, 0);
}

/** Resumes a transfer whose stream was full, or ends it if its reader closed
 * the stream or the caller has left. */
static void
resume_transfer(EyTransfer_t *transfer)
{
    const EyAttempt_t *attempt = transfer->attempt;
    bool is_unread =
        attempt->stream != NULL &&
        EyStream_State(attempt->stream) == EY_STREAM_READER_CLOSED;
    if (is_unread || EyCancellation_IsSet(attempt->cancellation)) {
        schedule_end(transfer, EY_FAILURE_CANCELLED);
        return;
    }
    if (transfer->paused && transfer->failure == EY_FAILURE_NONE) {
        transfer->paused = false;
        transfer->last_activity_ms = EyClock_NowMs();
        EyMetric_Add(&Metrics[METRIC_PAUSES], 1);
        if (curl_easy_pause(transfer->easy, CURLPAUSE_CONT) != CURLE_OK) {
            /* libcurl doesn't end the transfer in this case. */
            schedule_end(transfer, EY_FAILURE_BROKEN);
        }
        schedule_deferred(transfer->client);
    }
}

static EyTransfer_t *
pop_notified(EyClient_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    EyTransfer_t *transfer = g_queue_pop_head(&self->notified);
    if (transfer != NULL) {
        transfer->notified = false;
    }
    (void)pthread_mutex_unlock(&self->lock);
    return transfer;
}

static void
on_wake_readable(struct tevent_context *loop, struct tevent_fd *event,
                 uint16_t flags, void *data)
{
    (void)loop;
    (void)event;
    (void)flags;
    EyClient_t *self = data;
    uint64_t count = 0;
    ssize_t got = read(self->wake_descriptor, &count, sizeof(count));
    (void)got;
    EyTransfer_t *transfer = NULL;
    while ((transfer = pop_notified(self)) != NULL) {
        resume_transfer(transfer);
    }
}

static int
client_destroy(EyClient_t *self)
{
    GHashTableIter iterator;
    gpointer transfer = NULL;
    g_hash_table_iter_init(&iterator, self->transfers);
    while (g_hash_table_iter_next(&iterator, NULL, &transfer)) {
        g_hash_table_iter_steal(&iterator);
        detach(self, transfer);
        EyTransfer_Free(transfer);
    }
    (void)curl_multi_cleanup(self->multi);
    talloc_free(self->timer);
    g_hash_table_destroy(self->transfers);
    g_queue_clear(&self->starting);
    g_queue_clear(&self->ending);
    g_queue_clear(&self->notified);
    (void)close(self->wake_descriptor);
    (void)pthread_mutex_destroy(&self->lock);
    return 0;
}

static void
init_libcurl(void)
{
    if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        abort();
    }
}

static void
make_multi(EyClient_t *self)
{
    self->multi = curl_multi_init();
    if (self->multi == NULL) {
        abort();
    }
    (void)curl_multi_setopt(self->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    (void)curl_multi_setopt(self->multi, CURLMOPT_SOCKETDATA, self);
    (void)curl_multi_setopt(self->multi, CURLMOPT_TIMERFUNCTION,
                            set_curl_timer);
    (void)curl_multi_setopt(self->multi, CURLMOPT_TIMERDATA, self);
    (void)curl_multi_setopt(self->multi, CURLMOPT_MAXCONNECTS,
                            IDLE_CONNECTIONS_MAX);
}

EyClient_t *
EyClient_New(const void *ctx, struct tevent_context *loop, EyTimers_t *timers,
             EyAttemptHandler_t handler, void *data)
{
    static pthread_once_t initialized = PTHREAD_ONCE_INIT;
    (void)pthread_once(&initialized, init_libcurl);
    EyMetrics_Register(Metrics, METRIC_COUNT);
    EyClient_t *self = EY_NEW(ctx, EyClient_t);
    self->loop = loop;
    self->timers = timers;
    self->handler = handler;
    self->data = data;
    self->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&self->starting);
    g_queue_init(&self->ending);
    g_queue_init(&self->notified);
    (void)pthread_mutex_init(&self->lock, NULL);
    self->deferred = tevent_create_immediate(self);
    self->wake_descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (self->deferred == NULL || self->wake_descriptor < 0 ||
        tevent_add_fd(loop, self, self->wake_descriptor, TEVENT_FD_READ,
                      on_wake_readable, self) == NULL)
    {
        abort();
    }
    self->connections = EyConnections_New(self, loop);
    make_multi(self);
    talloc_set_destructor(self, client_destroy);
    return self;
}

void
EyClient_Start(EyClient_t *self, EyAttempt_t *attempt)
{
    EyTransfer_t *transfer = EyTransfer_New(self, self->connections, attempt);
    (void)g_hash_table_insert(self->transfers, &attempt->number, transfer);
    EyMetric_Add(&Metrics[METRIC_ATTEMPTS], 1);
    EyMetric_Set(&Metrics[METRIC_IN_FLIGHT],
                 g_hash_table_size(self->transfers));
    EY_LOG(EY_LOG_DEBUG, "backends", "attempt_started",
           EY_LOG_TEXT("request_id", attempt->request_id),
           EY_LOG_TEXT("address", attempt->address),
           EY_LOG_TEXT("method", attempt->method),
           EY_LOG_TEXT("path", attempt->path));
    g_queue_push_tail(&self->starting, transfer);
    schedule_deferred(self);
}

void
EyClient_Cancel(EyClient_t *self, uint64_t number)
{
    EyTransfer_t *transfer = g_hash_table_lookup(self->transfers, &number);
    if (transfer != NULL) {
        schedule_end(transfer, EY_FAILURE_CANCELLED);
    }
}

void
EyClient_CancelUnanswered(EyClient_t *self, uint64_t number)
{
    EyTransfer_t *transfer = g_hash_table_lookup(self->transfers, &number);
    if (transfer != NULL && !transfer->head_done) {
        schedule_end(transfer, EY_FAILURE_CANCELLED);
    }
}

uint32_t
EyClient_InFlight(const EyClient_t *self)
{
    return g_hash_table_size(self->transfers);
}
