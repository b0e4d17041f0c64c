#include "operators/ctl_client.h"

#include "core/memory.h"
#include "core/types.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MAX_BYTES 67108864U
#define RETRY_DELAY_US 300000U

static size_t
collect(char *data, size_t size, size_t count, void *user)
{
    GString *text = user;
    size_t size_bytes = size * count;
    if (text->len + size_bytes > ANSWER_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(text, data, (gssize)size_bytes);
    return size_bytes;
}

/** libcurl's header callback; only limits the size. */
static size_t
count_header(const char *line, size_t size, size_t count, void *user)
{
    (void)line;
    size_t *headers_bytes = user;
    *headers_bytes += size * count;
    return *headers_bytes <= EY_HEADER_LINES_MAX_BYTES ? size * count : 0;
}

static struct curl_slist *
make_headers(const EyCtlClient_t *self)
{
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    if (self->token != NULL) {
        char *line =
            talloc_asprintf(NULL, "Authorization: Bearer %s", self->token);
        headers = curl_slist_append(headers, line);
        talloc_free(line);
    }
    return headers;
}

static void
read_answer(EyCtlAnswer_t *answer, const GString *text)
{
    answer->json = json_loadb(text->str, text->len, JSON_DECODE_ANY, NULL);
    const char *detail =
        json_string_value(json_object_get(answer->json, "detail"));
    const char *title =
        json_string_value(json_object_get(answer->json, "title"));
    const char *message = detail != NULL ? detail : title;
    (void)g_strlcpy(answer->error_text, message != NULL ? message : "",
                    sizeof(answer->error_text));
}

/** One attempt at one server. */
static EyCtlAnswer_t
send_once(const EyCtlClient_t *self, const char *server, const char *method,
          const char *path, const char *body)
{
    EyCtlAnswer_t answer = {.status = 0};
    GString *text = g_string_new(NULL);
    size_t headers_bytes = 0;
    char *url = talloc_asprintf(NULL, "http://%s%s", server, path);
    struct curl_slist *headers = make_headers(self);
    CURL *curl = curl_easy_init();
    (void)curl_easy_setopt(curl, CURLOPT_URL, url);
    (void)curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    (void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    (void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                           (long)self->attempt_timeout_ms);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    (void)curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, count_header);
    (void)curl_easy_setopt(curl, CURLOPT_HEADERDATA, &headers_bytes);
    if (body != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(curl);
    answer.was_sent = code != CURLE_COULDNT_CONNECT;
    if (code == CURLE_OK) {
        long status = 0;
        (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        answer.status = (uint32_t)status;
        read_answer(&answer, text);
    }
    else {
        (void)g_snprintf(answer.error_text, sizeof(answer.error_text),
                         "%s: %s", server, curl_easy_strerror(code));
    }
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    talloc_free(url);
    g_string_free(text, TRUE);
    return answer;
}

static bool
is_final(const EyCtlAnswer_t *answer)
{
    return answer->status != 0 && answer->status != 503 &&
           answer->status != 504;
}

EyCtlAnswer_t
EyCtlClient_Send(const EyCtlClient_t *self, const char *method,
                 const char *path, const json_t *body)
{
    EyCtlAnswer_t answer = {.status = 0};
    /* Once an attempt may have reached a server, a later 503 or a failed
     * connection doesn't mean that the change wasn't applied. */
    bool may_have_run = false;
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    gchar **servers = g_strsplit(self->servers, ",", -1);
    guint count = g_strv_length(servers);
    for (uint32_t i = 0; i < self->attempts_max && count > 0; i++) {
        if (i > 0) {
            g_usleep(RETRY_DELAY_US);
        }
        json_decref(answer.json);
        answer = send_once(self, servers[i % count], method, path, text);
        if (is_final(&answer)) {
            break;
        }
        may_have_run =
            may_have_run || (answer.was_sent && answer.status != 503);
    }
    if (!is_final(&answer) && may_have_run && body != NULL) {
        answer.status = 504;
    }
    g_strfreev(servers);
    free(text);
    return answer;
}
