#include "load/load_client.h"

#include "core/clock.h"
#include "core/memory.h"
#include "core/types.h"

#include <glib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000L
#define GET_TIMEOUT_MS 1000L
#define CONNECTION_CACHE_SIZE 1024L
#define PAGE_MAX_BYTES 67108864U
/* Delay of libcurl's next turn when it has more to read from a socket. */
#define NEXT_TURN_MS 1

struct EyLoadClient {
    struct tevent_context *loop;
    CURLM *multi;
    struct tevent_timer *timer;
    bool is_in_timer; /* libcurl's timeouts are being handled */
    EyLoadCallHandler_t handler;
    void *data;
    uint32_t in_flight;
};

static int
destroy_call(EyLoadCall_t *self)
{
    curl_slist_free_all(self->headers);
    if (self->easy != NULL) {
        curl_easy_cleanup(self->easy);
    }
    return 0;
}

EyLoadCall_t *
EyLoadCall_New(void)
{
    EyLoadCall_t *self = EY_NEW(NULL, EyLoadCall_t);
    talloc_set_destructor(self, destroy_call);
    return self;
}

void
EyLoadCall_AddHeader(EyLoadCall_t *self, const char *name, const char *value)
{
    char *line = talloc_asprintf(self, "%s: %s", name, value);
    self->headers = curl_slist_append(self->headers, line);
    talloc_free(line);
}

bool
EyLoadCall_EndsWith(const EyLoadCall_t *self, const char *text)
{
    size_t size_bytes = strlen(text);
    return self->tail_size_bytes >= size_bytes &&
           memcmp(self->tail + self->tail_size_bytes - size_bytes, text,
                  size_bytes) == 0;
}

static void
keep_tail(EyLoadCall_t *call, const char *data, size_t size_bytes)
{
    if (size_bytes >= sizeof(call->tail)) {
        data += size_bytes - sizeof(call->tail);
        size_bytes = sizeof(call->tail);
    }
    size_t kept_bytes = sizeof(call->tail) - size_bytes;
    if (kept_bytes > call->tail_size_bytes) {
        kept_bytes = call->tail_size_bytes;
    }
    memmove(call->tail, call->tail + call->tail_size_bytes - kept_bytes,
            kept_bytes);
    memcpy(call->tail + kept_bytes, data, size_bytes);
    call->tail_size_bytes = (uint32_t)(kept_bytes + size_bytes);
}

/** libcurl's header callback; only limits the size. */
static size_t
on_header(const char *line, size_t size, size_t count, void *user)
{
    (void)line;
    uint64_t *headers_bytes = user;
    *headers_bytes += size * count;
    return *headers_bytes <= EY_HEADER_LINES_MAX_BYTES ? size * count : 0;
}

static size_t
on_body(const char *data, size_t size, size_t count, void *user)
{
    EyLoadCall_t *call = user;
    if (call->first_byte_us == 0) {
        call->first_byte_us = EyClock_NowUs();
    }
    call->body_bytes += size * count;
    keep_tail(call, data, size * count);
    return size * count;
}

static void
read_headers(EyLoadCall_t *call)
{
    struct curl_header *header = NULL;
    if (curl_easy_header(call->easy, "Ebonyyard-Outcome", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK)
    {
        (void)EY_COPY(call->outcome, header->value);
    }
    call->has_retry_after =
        curl_easy_header(call->easy, "Retry-After", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK;
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    call->status = status;
}

static void
finish_calls(EyLoadClient_t *self)
{
    int messages_left = 0;
    CURLMsg *message = curl_multi_info_read(self->multi, &messages_left);
    while (message != NULL) {
        EyLoadCall_t *call = NULL;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        call->code = message->data.result;
        call->ended_us = EyClock_NowUs();
        read_headers(call);
        curl_multi_remove_handle(self->multi, call->easy);
        self->in_flight--;
        self->handler(self->data, call);
        talloc_free(call);
        message = curl_multi_info_read(self->multi, &messages_left);
    }
}

static void
on_descriptor(struct tevent_context *loop, struct tevent_fd *event,
              uint16_t flags, void *data)
{
    (void)loop;
    (void)event;
    /* data is the socket's number, whose talloc parent is the client. */
    curl_socket_t *socket = data;
    EyLoadClient_t *self =
        talloc_get_type_abort(talloc_parent(socket), EyLoadClient_t);
    int32_t action = 0;
    action |= (flags & TEVENT_FD_READ) != 0 ? CURL_CSELECT_IN : 0;
    action |= (flags & TEVENT_FD_WRITE) != 0 ? CURL_CSELECT_OUT : 0;
    int running = 0;
    curl_multi_socket_action(self->multi, *socket, action, &running);
    finish_calls(self);
}

static int
on_socket(CURL *easy, curl_socket_t socket, int what, void *user,
          void *old_socket)
{
    (void)easy;
    EyLoadClient_t *self = user;
    talloc_free(old_socket);
    if (what == CURL_POLL_REMOVE) {
        curl_multi_assign(self->multi, socket, NULL);
        return 0;
    }
    curl_socket_t *new_socket = EY_NEW(self, curl_socket_t);
    *new_socket = socket;
    uint16_t flags = 0;
    flags |= (what & CURL_POLL_IN) != 0 ? TEVENT_FD_READ : 0;
    flags |= (what & CURL_POLL_OUT) != 0 ? TEVENT_FD_WRITE : 0;
    (void)tevent_add_fd(self->loop, new_socket, socket, flags, on_descriptor,
                        new_socket);
    curl_multi_assign(self->multi, socket, new_socket);
    return 0;
}

static void
on_timer(struct tevent_context *loop, struct tevent_timer *timer,
         struct timeval now, void *data)
{
    (void)loop;
    (void)timer;
    (void)now;
    EyLoadClient_t *self = data;
    self->timer = NULL;
    int running = 0;
    self->is_in_timer = true;
    curl_multi_socket_action(self->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    self->is_in_timer = false;
    finish_calls(self);
}

static int
on_timer_request(CURLM *multi, long timeout_ms, void *user)
{
    (void)multi;
    EyLoadClient_t *self = user;
    TALLOC_FREE(self->timer);
    if (timeout_ms >= 0) {
        /* tevent runs expired timers before it polls sockets: a timer that
         * sets itself again without a delay would hold up all other calls. */
        if (self->is_in_timer && timeout_ms < NEXT_TURN_MS) {
            timeout_ms = NEXT_TURN_MS;
        }
        struct timeval expiry =
            tevent_timeval_current_ofs((uint32_t)(timeout_ms / 1000),
                                       (uint32_t)(timeout_ms % 1000) * 1000);
        self->timer =
            tevent_add_timer(self->loop, self, expiry, on_timer, self);
    }
    return 0;
}

static int
destroy_client(EyLoadClient_t *self)
{
    curl_multi_cleanup(self->multi);
    return 0;
}

EyLoadClient_t *
EyLoadClient_New(const void *ctx, struct tevent_context *loop,
                 EyLoadCallHandler_t handler, void *data)
{
    EyLoadClient_t *self = EY_NEW(ctx, EyLoadClient_t);
    self->loop = loop;
    self->handler = handler;
    self->data = data;
    self->multi = curl_multi_init();
    if (self->multi == NULL) {
        talloc_free(self);
        return NULL;
    }
    talloc_set_destructor(self, destroy_client);
    curl_multi_setopt(self->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(self->multi, CURLMOPT_SOCKETDATA, self);
    curl_multi_setopt(self->multi, CURLMOPT_TIMERFUNCTION, on_timer_request);
    curl_multi_setopt(self->multi, CURLMOPT_TIMERDATA, self);
    curl_multi_setopt(self->multi, CURLMOPT_MAXCONNECTS,
                      CONNECTION_CACHE_SIZE);
    return self;
}

void
EyLoadClient_Start(EyLoadClient_t *self, EyLoadCall_t *call)
{
    CURL *easy = curl_easy_init();
    call->easy = easy;
    call->started_us = EyClock_NowUs();
    curl_easy_setopt(easy, CURLOPT_URL, call->url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call->headers_bytes);
    if (call->body.size_bytes > 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body.data);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         (long)call->body.size_bytes);
    }
    self->in_flight++;
    curl_multi_add_handle(self->multi, easy);
}

uint32_t
EyLoadClient_InFlight(const EyLoadClient_t *self)
{
    return self->in_flight;
}

static size_t
on_page_data(const char *data, size_t size, size_t count, void *user)
{
    GString *page = user;
    size_t size_bytes = size * count;
    if (page->len + size_bytes > PAGE_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(page, data, (gssize)size_bytes);
    return size_bytes;
}

char *
EyLoadClient_Get(const void *ctx, const char *url)
{
    GString *page = g_string_new(NULL);
    uint64_t headers_bytes = 0;
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, GET_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_page_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, page);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &headers_bytes);
    CURLcode code = curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    char *text = code == CURLE_OK ? EyMemory_Strdup(ctx, page->str) : NULL;
    g_string_free(page, TRUE);
    return text;
}
