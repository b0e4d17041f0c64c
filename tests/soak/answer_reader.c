#include "soak/answer_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/** Copies a header's value from a head that ends with a NUL. */
static bool
find_header(const char *head, const char *name, char *value, size_t size_bytes)
{
    char *mark = g_strdup_printf("\r\n%s:", name);
    const char *start = strcasestr(head, mark);
    value[0] = '\0';
    if (start != NULL) {
        start += strlen(mark);
        start += strspn(start, " ");
        (void)g_strlcpy(value, start,
                        MIN(size_bytes, strcspn(start, "\r") + 1));
    }
    g_free(mark);
    return start != NULL;
}

static void
read_chunks(ReadAnswer_t *self, const char *at, const char *end)
{
    while (at < end && !self->is_complete && !self->is_broken) {
        const char *line_end = strstr(at, "\r\n");
        if (line_end == NULL) {
            return;
        }
        char *size_end = NULL;
        size_t size_bytes = strtoul(at, &size_end, 16);
        const char *data = line_end + 2;
        self->is_broken = size_end == at;
        self->is_complete = size_bytes == 0 && end - data >= 2;
        size_t got_bytes = MIN(size_bytes, (size_t)(end - data));
        g_string_append_len(self->body, data, (gssize)got_bytes);
        at = data + got_bytes + 2;
    }
    self->has_surplus = self->is_complete && at < end;
}

static void
read_body(ReadAnswer_t *self, const GString *input, size_t head_bytes,
          const char *head, bool is_ended)
{
    char value[64];
    const char *at = input->str + head_bytes;
    const char *end = input->str + input->len;
    if (find_header(head, "Transfer-Encoding", value, sizeof(value))) {
        self->has_framing = true;
        read_chunks(self, at, end);
        return;
    }
    size_t got_bytes = (size_t)(end - at);
    if (find_header(head, "Content-Length", value, sizeof(value))) {
        size_t length_bytes = strtoul(value, NULL, 10);
        self->has_framing = true;
        self->is_complete = got_bytes >= length_bytes;
        self->has_surplus = got_bytes > length_bytes;
        got_bytes = MIN(got_bytes, length_bytes);
    }
    else {
        self->is_complete = is_ended;
        self->closes = true;
    }
    g_string_append_len(self->body, at, (gssize)got_bytes);
}

ReadAnswer_t
ReadAnswer_Make(const GString *input, bool is_ended)
{
    ReadAnswer_t self = {.body = g_string_new(NULL)};
    const char *end = strstr(input->str, "\r\n\r\n");
    if (end == NULL) {
        return self;
    }
    size_t head_bytes = (size_t)(end - input->str) + 4;
    char *head = g_strndup(input->str, head_bytes);
    char connection[32];
    self.status = strtol(head + strcspn(head, " "), NULL, 10);
    self.is_broken = !g_str_has_prefix(head, "HTTP/1.1 ");
    (void)find_header(head, "Attempt-Id", self.id, sizeof(self.id));
    (void)find_header(head, "Response-Signature", self.signature,
                      sizeof(self.signature));
    (void)find_header(head, "Connection", connection, sizeof(connection));
    self.closes = strcasecmp(connection, "close") == 0;
    read_body(&self, input, head_bytes, head, is_ended);
    g_free(head);
    return self;
}

void
ReadAnswer_Clear(ReadAnswer_t *self)
{
    g_string_free(self->body, TRUE);
    self->body = NULL;
}
