#include "backends/response_head.h"

#include "core/memory.h"
#include "core/types.h"
#include "exchange/hop_headers.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

/* Lower statuses are interim (1xx) answers. */
#define STATUS_FINAL_MIN 200
#define STATUS_PARTIAL 206
#define STATUS_MAX 599

/** Parses a status line, such as HTTP/1.1 200 OK, which starts a head. */
static bool
add_status(EyResponseHead_t *self, const char *line)
{
    const char *space = strchr(line, ' ');
    if (space == NULL) {
        return false;
    }
    gchar *end = NULL;
    guint64 status = g_ascii_strtoull(space + 1, &end, 10);
    if (end != space + 4 || (*end != ' ' && *end != '\0') ||
        status > STATUS_MAX) {
        return false;
    }
    talloc_free(self->answer);
    self->answer = EyAnswer_New((uint32_t)status, EY_OUTCOME_COMPLETED);
    self->content_size_bytes = -1;
    self->chunked = false;
    self->echoed_id = NULL;
    return true;
}

/** Rejects a second Content-Length that differs: the end of the body would be
 * ambiguous. */
static bool
add_content_size(EyResponseHead_t *self, const char *value)
{
    gchar *end = NULL;
    guint64 size_bytes = g_ascii_strtoull(value, &end, 10);
    if (!g_ascii_isdigit(*value) || *end != '\0' || size_bytes > G_MAXINT64) {
        return false;
    }
    bool differs = self->content_size_bytes >= 0 &&
                   self->content_size_bytes != (int64_t)size_bytes;
    self->content_size_bytes = (int64_t)size_bytes;
    return !differs;
}

static bool
add_header(EyResponseHead_t *self, const char *name, const char *value)
{
    if (strcasecmp(name, "Content-Length") == 0) {
        return add_content_size(self, value);
    }
    if (strcasecmp(name, "Transfer-Encoding") == 0) {
        self->chunked = strcasecmp(value, "chunked") == 0;
        return self->chunked;
    }
    if (EyHeaderNames_Is(self->names, EY_HEADER_REQUEST_ID, name)) {
        bool second = self->echoed_id != NULL;
        self->echoed_id = EyMemory_Strdup(self->answer, value);
        return !second;
    }
    if (strcasecmp(name, "Content-Type") == 0) {
        static const char Events[] = "text/event-stream";
        self->answer->is_events =
            strncasecmp(value, Events, sizeof(Events) - 1) == 0;
    }
    if (EyHopHeaders_Has(name)) {
        return true;
    }
    uint32_t count = self->answer->header_count;
    EyAnswer_SetHeader(self->answer, name, value);
    return self->answer->header_count > count;
}

/** True if the body is encoded, so that its text can't be read here. */
static bool
is_encoded(const EyAnswer_t *answer)
{
    const char *encoding = EyAnswer_Header(answer, "Content-Encoding");
    return encoding != NULL && strcasecmp(encoding, "identity") != 0;
}

/** The blank line: ends the head, unless it is that of an interim answer. */
static EyHeadProgress_t
end_head(EyResponseHead_t *self)
{
    if (self->answer->status < STATUS_FINAL_MIN) {
        return EY_HEAD_MORE;
    }
    /* A part of a text may end anywhere. */
    self->answer->is_events = self->answer->is_events &&
                              !is_encoded(self->answer) &&
                              self->answer->status != STATUS_PARTIAL;
    return EY_HEAD_COMPLETE;
}

static EyHeadProgress_t
add_line(EyResponseHead_t *self, char *line)
{
    if (strncmp(line, "HTTP/", strlen("HTTP/")) == 0) {
        return add_status(self, line) ? EY_HEAD_MORE : EY_HEAD_MALFORMED;
    }
    if (self->answer == NULL) {
        return EY_HEAD_MALFORMED;
    }
    if (*line == '\0') {
        return end_head(self);
    }
    char *colon = strchr(line, ':');
    if (colon == NULL || colon == line || g_ascii_isspace(*line)) {
        return EY_HEAD_MALFORMED;
    }
    *colon = '\0';
    return add_header(self, line, g_strstrip(colon + 1)) ? EY_HEAD_MORE
                                                         : EY_HEAD_MALFORMED;
}

/** Counts a line towards the limit; false if it exceeds it. */
static bool
count_bytes(EyResponseHead_t *self, size_t size_bytes)
{
    if (size_bytes > EY_HEADER_LINES_MAX_BYTES - self->size_bytes) {
        return false;
    }
    self->size_bytes += (uint32_t)size_bytes;
    return true;
}

bool
EyResponseHead_CountTrailer(EyResponseHead_t *self, size_t size_bytes)
{
    return count_bytes(self, size_bytes);
}

EyHeadProgress_t
EyResponseHead_AddLine(EyResponseHead_t *self, const char *line,
                       size_t size_bytes)
{
    if (!count_bytes(self, size_bytes) ||
        memchr(line, '\0', size_bytes) != NULL) {
        return EY_HEAD_MALFORMED;
    }
    while (size_bytes > 0 &&
           (line[size_bytes - 1] == '\n' || line[size_bytes - 1] == '\r'))
    {
        size_bytes--;
    }
    char *text = EyMemory_Copy(NULL, line, size_bytes);
    EyHeadProgress_t progress = add_line(self, text);
    talloc_free(text);
    return progress;
}
