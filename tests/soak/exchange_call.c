#include "soak/exchange_call.h"

#include "process/harness.h"
#include "soak/callers.h"
#include "unit/raw_socket.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20
#define READ_BYTES 8192
/** What callers wait beyond the route's timeout. */
#define PATIENCE_MS 3000

/** How the reading of an answer went on. */
typedef enum Reading { READING_OPEN, READING_ENDED, READING_RESET } Reading_t;

static char *
make_request(const SoakCall_t *call, const CallPlan_t *plan)
{
    const RouteInfo_t *route = &Soak_routes[call->route];
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "%s /%s/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                           "Attempt-Id: %s\r\nDeadline-Ms: %d\r\n",
                           route->call_kind[0] == 'i' ? "PUT" : "POST",
                           route->name, plan->story, call->id,
                           CALLERS_TIMEOUT_MS);
    if (route->is_stream) {
        g_string_append_printf(
            text, "Token-Usage: 700,20\r\nPrompt-Prefix: %x:340\r\n",
            0x10000 + g_str_hash(plan->story) % 0x10000);
    }
    if (plan->resumes[0] != '\0') {
        g_string_append_printf(text, "Last-Event-Id: %u\r\nResumes: %s\r\n",
                               plan->last_event, plan->resumes);
    }
    g_string_append_printf(text, "Content-Length: %zu\r\n\r\n%s",
                           strlen(plan->story), plan->story);
    return g_string_free(text, FALSE);
}

static Reading_t
read_more(int socket, GString *input)
{
    char data[READ_BYTES];
    struct pollfd entry = {.fd = socket, .events = POLLIN};
    if (poll(&entry, 1, POLL_MS) <= 0) {
        return READING_OPEN;
    }
    ssize_t size_bytes = recv(socket, data, sizeof(data), MSG_DONTWAIT);
    if (size_bytes > 0) {
        g_string_append_len(input, data, size_bytes);
        return READING_OPEN;
    }
    if (size_bytes < 0 && (errno == EAGAIN || errno == EINTR)) {
        return READING_OPEN;
    }
    return size_bytes == 0 ? READING_ENDED : READING_RESET;
}

/** True if the caller leaves now. */
static bool
is_leaving(const SoakCall_t *call, const CallPlan_t *plan)
{
    int64_t waited_ms = Harness_NowMs() - call->sent_ms;
    return waited_ms > CALLERS_TIMEOUT_MS + PATIENCE_MS ||
           (plan->leave_after_ms > 0 && waited_ms > plan->leave_after_ms);
}

static Reading_t
read_answer(SoakCall_t *call, const CallPlan_t *plan, int socket,
            ReadAnswer_t *answer)
{
    GString *input = g_string_new(NULL);
    Reading_t reading = READING_OPEN;
    *answer = ReadAnswer_Make(input, false);
    while (reading == READING_OPEN && !answer->is_complete &&
           !answer->is_broken) {
        if (is_leaving(call, plan)) {
            call->left_ms = Harness_NowMs();
            break;
        }
        reading = read_more(socket, input);
        ReadAnswer_Clear(answer);
        *answer = ReadAnswer_Make(input, reading == READING_ENDED);
        if (call->head_ms == 0 && answer->status != 0) {
            call->head_ms = Harness_NowMs();
        }
    }
    g_string_free(input, TRUE);
    return reading;
}

ReadAnswer_t
Call_Exchange(SoakCall_t *call, const CallPlan_t *plan, uint16_t port,
              int *socket)
{
    ReadAnswer_t answer = {.body = NULL};
    Reading_t reading = READING_RESET;
    char *request = make_request(call, plan);
    call->sent_ms = Harness_NowMs();
    if (*socket < 0) {
        *socket = raw_connect(port);
    }
    if (*socket >= 0 && raw_send_text(*socket, request)) {
        reading = read_answer(call, plan, *socket, &answer);
    }
    else {
        answer.body = g_string_new(NULL);
    }
    g_free(request);
    call->ended_ms = Harness_NowMs();
    call->status = answer.status;
    call->is_complete = answer.is_complete;
    bool stays = reading == READING_OPEN && answer.is_complete &&
                 !answer.closes && !answer.is_broken;
    if (*socket >= 0 && !stays) {
        (void)close(*socket);
        *socket = -1;
    }
    return answer;
}
