#include "fakes/server.h"

#include "core/clock.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <poll.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ANNOUNCE_INTERVAL_MS 1000
#define ANNOUNCE_TIMEOUT_MS 800
#define ANNOUNCE_TTL_MS 3000
#define SLEEP_STEP_MS 5
/** Interval of checks for a disconnected caller while a request is queued. */
#define SLOT_POLL_INTERVAL_NS 20000000L
#define NS_PER_S 1000000000L
/** Time for gateways to stop sending requests to a leaving server. */
#define LEAVE_GRACE_MS 500
/** Longest wait for requests in flight on shutdown. */
#define DRAIN_TIMEOUT_MS 20000
/** Time for the last answers to be written to their sockets. */
#define FLUSH_WAIT_MS 200

static void
sleep_ms(int64_t duration_ms)
{
    struct timespec pause = {.tv_sec = duration_ms / 1000,
                             .tv_nsec = (duration_ms % 1000) * 1000000};
    (void)nanosleep(&pause, NULL);
}

/* Counters */

static uint64_t
increment_count(GHashTable *table, const char *text)
{
    uint64_t *count = g_hash_table_lookup(table, text);
    if (count == NULL) {
        count = g_new0(uint64_t, 1);
        g_hash_table_insert(table, g_strdup(text), count);
    }
    return ++*count;
}

uint64_t
FakeServer_CountRun(FakeServer_t *self, const char *request_id,
                    const char *key)
{
    uint64_t run = 0;
    pthread_mutex_lock(&self->lock);
    self->runs++;
    if (request_id != NULL) {
        run = increment_count(self->runs_by_id, request_id);
    }
    if (key != NULL) {
        run = increment_count(self->runs_by_key, key);
    }
    pthread_mutex_unlock(&self->lock);
    return run;
}

static json_t *
counts_json(GHashTable *table)
{
    json_t *json = json_object();
    GHashTableIter iter;
    gpointer text;
    gpointer count;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, &text, &count)) {
        json_object_set_new(json, text, json_integer(*(json_int_t *)count));
    }
    return json;
}

static json_t *
targets_json(const FakeServer_t *self)
{
    json_t *json = json_array();
    for (uint32_t i = 0; i < self->targets->len; i++) {
        json_array_append_new(json, json_string(self->targets->pdata[i]));
    }
    return json;
}

static json_t *
counters_json(FakeServer_t *self)
{
    pthread_mutex_lock(&self->lock);
    json_t *json = json_pack(
        "{s:f,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:o,s:o,s:o}", "busy_ms",
        self->busy_ms, "requests", (json_int_t)self->requests, "runs",
        (json_int_t)self->runs, "tokens", (json_int_t)self->tokens,
        "cancelled", (json_int_t)self->cancelled, "orders",
        (json_int_t)self->orders, "orders_refused",
        (json_int_t)self->orders_refused, "fencing",
        (json_int_t)self->highest_fencing, "running", (int)self->running,
        "queued", (int)self->queued, "by_request_id",
        counts_json(self->runs_by_id), "by_key",
        counts_json(self->runs_by_key), self->kind->targets,
        targets_json(self));
    pthread_mutex_unlock(&self->lock);
    return json;
}

/* Adds the busy time since the last call; called with the lock held before
 * running changes. */
static void
add_busy_time(FakeServer_t *self)
{
    int64_t now_ms = EyClock_NowMs();
    self->busy_ms +=
        (double)self->running * (double)(now_ms - self->busy_counted_at_ms);
    self->busy_counted_at_ms = now_ms;
}

/* Requests */

const char *
FakeRequest_Header(const FakeRequest_t *self, const char *name)
{
    return MHD_lookup_connection_value(self->connection, MHD_HEADER_KIND,
                                       name);
}

bool
FakeRequest_IsDisconnected(const FakeRequest_t *self)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        self->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct pollfd socket = {.fd = info->connect_fd, .events = POLLRDHUP};
    return poll(&socket, 1, 0) > 0 &&
           (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool
FakeRequest_Sleep(const FakeRequest_t *self, int64_t duration_ms)
{
    while (duration_ms > 0) {
        int64_t step_ms =
            duration_ms < SLEEP_STEP_MS ? duration_ms : SLEEP_STEP_MS;
        sleep_ms(step_ms);
        duration_ms -= step_ms;
        if (FakeRequest_IsDisconnected(self)) {
            return false;
        }
    }
    return true;
}

enum MHD_Result
FakeRequest_Respond(const FakeRequest_t *self, uint32_t status,
                    const char *content_type, struct MHD_Response *response)
{
    const char *id = FakeRequest_Header(self, "X-Request-Id");
    if (id != NULL && !self->server->no_echo &&
        MHD_get_response_header(response, "X-Request-Id") == NULL)
    {
        MHD_add_response_header(response, "X-Request-Id", id);
    }
    MHD_add_response_header(response, "Content-Type", content_type);
    enum MHD_Result result =
        MHD_queue_response(self->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

enum MHD_Result
FakeRequest_RespondJson(const FakeRequest_t *self, uint32_t status,
                        json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    return FakeRequest_Respond(self, status, "application/json", response);
}

bool
FakeServer_AcquireSlot(FakeRequest_t *request)
{
    FakeServer_t *self = request->server;
    pthread_mutex_lock(&self->lock);
    self->queued++;
    bool disconnected = false;
    while (self->running >= (uint32_t)self->slots && !disconnected) {
        struct timespec wake_at;
        clock_gettime(CLOCK_REALTIME, &wake_at);
        wake_at.tv_nsec += SLOT_POLL_INTERVAL_NS;
        if (wake_at.tv_nsec >= NS_PER_S) {
            wake_at.tv_sec++;
            wake_at.tv_nsec -= NS_PER_S;
        }
        pthread_cond_timedwait(&self->slot_freed, &self->lock, &wake_at);
        disconnected = FakeRequest_IsDisconnected(request);
    }
    self->queued--;
    if (disconnected) {
        self->cancelled++;
    }
    else {
        add_busy_time(self);
        self->running++;
    }
    pthread_mutex_unlock(&self->lock);
    return !disconnected;
}

void
FakeServer_ReleaseSlot(FakeServer_t *self)
{
    pthread_mutex_lock(&self->lock);
    add_busy_time(self);
    self->running--;
    pthread_cond_signal(&self->slot_freed);
    pthread_mutex_unlock(&self->lock);
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *upload,
           size_t *upload_size_bytes, void **state)
{
    (void)version;
    FakeServer_t *self = data;
    FakeRequest_t *request = *state;
    if (request == NULL) {
        request = g_new0(FakeRequest_t, 1);
        request->server = self;
        request->connection = connection;
        request->method = method;
        request->path = g_strdup(path);
        request->body = g_string_new(NULL);
        *state = request;
        return MHD_YES;
    }
    if (*upload_size_bytes > 0) {
        g_string_append_len(request->body, upload, (gssize)*upload_size_bytes);
        *upload_size_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(path, "/v1/fake") == 0) {
        return FakeRequest_RespondJson(request, MHD_HTTP_OK,
                                       counters_json(self));
    }
    pthread_mutex_lock(&self->lock);
    self->requests++;
    pthread_mutex_unlock(&self->lock);
    return self->kind->handler(request);
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    FakeRequest_t *request = *state;
    if (request != NULL) {
        g_free(request->path);
        g_string_free(request->body, TRUE);
        g_free(request);
        *state = NULL;
    }
}

static bool
start_server(FakeServer_t *self)
{
    char ip[EY_ADDRESS_SIZE_BYTES];
    (void)EY_COPY(ip, self->listen);
    char *colon = strrchr(ip, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(atoi(colon + 1))};
    if (inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
        return false;
    }
    self->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
        NULL, NULL, on_request, self, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
    if (self->daemon == NULL) {
        return false;
    }
    self->port =
        MHD_get_daemon_info(self->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    char *text = g_strdup_printf("%s:%u", ip, self->port);
    free(self->listen);
    self->listen = strdup(text);
    g_free(text);
    return true;
}

/* Announcements */

static char *
announcement_text(FakeServer_t *self)
{
    pthread_mutex_lock(&self->lock);
    json_t *json = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:b,s:b,s:s,s:i,s:{s:i,s:i,s:I},s:o}",
        "id", self->id, "address", self->listen, "region", self->region,
        "zone", self->zone, "kind", self->kind->name, "slots", self->slots,
        "speed", self->speed, "checks_fencing", !self->no_fencing,
        "echoes_request_id", !self->no_echo, "state",
        self->leaving ? "leaving" : "serving", "ttl_ms", ANNOUNCE_TTL_MS,
        "load", "running", (int)self->previous_running, "queued",
        (int)self->previous_queued, "at", (json_int_t)time(NULL),
        self->kind->targets, targets_json(self));
    json_object_set_new(json, "incarnation",
                        json_integer((json_int_t)self->started_us));
    json_t *methods = json_array();
    char **names = g_strsplit(self->idempotent_methods, ",", -1);
    for (char **name = names; *name != NULL && **name != '\0'; name++) {
        json_array_append_new(methods, json_string(*name));
    }
    g_strfreev(names);
    json_object_set_new(json, "idempotent_methods", methods);
    self->previous_running = self->running;
    self->previous_queued = self->queued;
    pthread_mutex_unlock(&self->lock);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

static size_t
discard_body(const char *data, size_t size, size_t count, void *user)
{
    (void)data;
    (void)user;
    return size * count;
}

static void
call_gateway(const char *gateway, const char *method, const char *path,
             const char *body)
{
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", gateway, path);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)ANNOUNCE_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    (void)curl_easy_perform(curl);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
}

static void
call_gateways(FakeServer_t *self, const char *method, const char *path,
              const char *body)
{
    if (self->announce == NULL) {
        return;
    }
    char **gateways = g_strsplit(self->announce, ",", FAKE_GATEWAYS_MAX);
    for (char **gateway = gateways; *gateway != NULL; gateway++) {
        call_gateway(*gateway, method, path, body);
    }
    g_strfreev(gateways);
}

static void
announce(FakeServer_t *self)
{
    char *text = announcement_text(self);
    call_gateways(self, "POST", "/v1/backends", text);
    free(text);
}

static uint32_t
in_flight(FakeServer_t *self)
{
    pthread_mutex_lock(&self->lock);
    uint32_t count = self->running + self->queued;
    pthread_mutex_unlock(&self->lock);
    return count;
}

static void
leave(FakeServer_t *self)
{
    pthread_mutex_lock(&self->lock);
    self->leaving = true;
    pthread_mutex_unlock(&self->lock);
    announce(self);
    sleep_ms(LEAVE_GRACE_MS);
    for (int64_t waited_ms = 0;
         in_flight(self) > 0 && waited_ms < DRAIN_TIMEOUT_MS;
         waited_ms += SLEEP_STEP_MS)
    {
        sleep_ms(SLEEP_STEP_MS);
    }
    sleep_ms(FLUSH_WAIT_MS);
    char *path = g_strdup_printf("/v1/backends/%s", self->id);
    call_gateways(self, "DELETE", path, NULL);
    g_free(path);
}

/* Announces once per interval until SIGTERM or SIGINT. */
static void
announce_until_stopped(FakeServer_t *self, const sigset_t *signals)
{
    struct timespec pause = {.tv_sec = ANNOUNCE_INTERVAL_MS / 1000};
    do {
        announce(self);
    } while (sigtimedwait(signals, NULL, &pause) < 0);
}

static void
set_default(char **option, const char *value)
{
    if (*option == NULL) {
        *option = strdup(value);
    }
}

static void
read_options(FakeServer_t *self, int argc, const char **argv)
{
    char *targets = NULL;
    struct poptOption options[] = {
        {"listen", 0, POPT_ARG_STRING, &self->listen, 0, "IP:port", NULL},
        {"announce", 0, POPT_ARG_STRING, &self->announce, 0,
         "gateways that receive announcements", "IP:port,..."},
        {"id", 0, POPT_ARG_STRING, &self->id, 0, "id of the server", NULL},
        {"region", 0, POPT_ARG_STRING, &self->region, 0, "region", NULL},
        {"zone", 0, POPT_ARG_STRING, &self->zone, 0, "zone", NULL},
        {self->kind->targets, 0, POPT_ARG_STRING, &targets, 0,
         "names of the models or services served", "a,b"},
        {"idempotent-methods", 0, POPT_ARG_STRING, &self->idempotent_methods,
         0, "HTTP methods that are idempotent", "PUT,..."},
        {"slots", 0, POPT_ARG_INT, &self->slots, 0,
         "requests processed at once", NULL},
        {"speed", 0, POPT_ARG_DOUBLE, &self->speed, 0, "relative speed", NULL},
        {"no-echo", 0, POPT_ARG_NONE, &self->no_echo, 0,
         "don't echo X-Request-Id", NULL},
        {"no-fencing", 0, POPT_ARG_NONE, &self->no_fencing, 0,
         "accept orders with an old fencing number", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext(self->kind->program, argc, argv, options, 0);
    int code = poptGetNextOpt(context);
    if (code < -1) {
        (void)fprintf(stderr, "%s: %s\n", poptBadOption(context, 0),
                      poptStrerror(code));
        exit(2);
    }
    poptFreeContext(context);
    set_default(&self->listen, "127.0.0.1:0");
    set_default(&self->id, self->kind->program);
    set_default(&self->region, "home");
    set_default(&self->zone, "zone");
    set_default(&self->idempotent_methods, "");
    char **names = g_strsplit(targets != NULL ? targets : "", ",", -1);
    for (char **name = names; *name != NULL && **name != '\0'; name++) {
        g_ptr_array_add(self->targets, g_strdup(*name));
    }
    g_strfreev(names);
    free(targets);
}

static void
free_server(FakeServer_t *self)
{
    g_ptr_array_unref(self->targets);
    g_hash_table_unref(self->runs_by_id);
    g_hash_table_unref(self->runs_by_key);
    free(self->listen);
    free(self->announce);
    free(self->id);
    free(self->region);
    free(self->zone);
    free(self->idempotent_methods);
}

int
FakeServer_Main(const FakeKind_t *kind, int argc, const char **argv)
{
    FakeServer_t self = {
        .kind = kind,
        .slots = 8,
        .speed = 1.0,
        .started_us = g_get_real_time(),
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .slot_freed = PTHREAD_COND_INITIALIZER,
        .targets = g_ptr_array_new_with_free_func(g_free),
        .runs_by_id =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .runs_by_key =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
    read_options(&self, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (!start_server(&self)) {
        (void)fprintf(stderr, "cannot listen on %s\n", self.listen);
        free_server(&self);
        return 1;
    }
    printf("listening on %u\n", self.port);
    (void)fflush(stdout);
    announce_until_stopped(&self, &signals);
    leave(&self);
    MHD_stop_daemon(self.daemon);
    free_server(&self);
    curl_global_cleanup();
    return 0;
}
