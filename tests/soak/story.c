#include "soak/story.h"

#include <stdio.h>
#include <string.h>

#define FILL_MAX_BYTES 180

/** Text whose length differs from piece to piece. */
static char *
fill(const char *name, uint32_t number)
{
    uint32_t size_bytes =
        (g_str_hash(name) + number * 2654435761U) % FILL_MAX_BYTES;
    return g_strnfill(size_bytes, (char)('a' + number % 26));
}

char *
Story_Event(const char *name, const char *version, uint32_t number)
{
    char *filling = fill(name, number);
    char *text = g_strdup_printf("id: %u\ndata: %s %s %u %s.\n\n", number,
                                 version, name, number, filling);
    g_free(filling);
    return text;
}

char *
Story_Line(const char *name, uint32_t number)
{
    char *filling = fill(name, number);
    char *text = g_strdup_printf("%s %u %s.\n", name, number, filling);
    g_free(filling);
    return text;
}

/** Adds one event; false if it isn't the next one of the story. */
static bool
add_event(StoryPart_t *self, const char *event)
{
    char version[STORY_VERSION_SIZE_BYTES] = "";
    (void)sscanf(event, "id: %*u data: %15s", version);
    char *expected = Story_Event(self->name, version, self->last + 1);
    bool is_next =
        strcmp(event, expected) == 0 &&
        (self->version[0] == '\0' || strcmp(self->version, version) == 0);
    g_free(expected);
    if (is_next) {
        self->last++;
        (void)g_strlcpy(self->version, version, sizeof(self->version));
    }
    return is_next;
}

char *
StoryPart_Add(StoryPart_t *self, const char *body, bool is_complete)
{
    const char *at = body;
    const char *end = strstr(at, "\n\n");
    while (end != NULL) {
        char *event = g_strndup(at, (size_t)(end - at) + 2);
        bool is_next = add_event(self, event);
        if (!is_next) {
            char *text = g_strdup_printf(
                "event %u of %s, version \"%s\", was due; got: %s",
                self->last + 1, self->name, self->version, event);
            g_free(event);
            return text;
        }
        g_free(event);
        at = end + 2;
        end = strstr(at, "\n\n");
    }
    if (is_complete && *at != '\0') {
        return g_strdup_printf("%s: complete with half an event after %u: %s",
                               self->name, self->last, at);
    }
    if (is_complete && self->last != STORY_EVENTS) {
        return g_strdup_printf("%s: complete after event %u of %d", self->name,
                               self->last, STORY_EVENTS);
    }
    return NULL;
}

bool
Story_IsPlain(const char *name, const char *body)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 1; i <= STORY_LINES; i++) {
        char *line = Story_Line(name, i);
        g_string_append(text, line);
        g_free(line);
    }
    bool is_whole = strcmp(text->str, body) == 0;
    g_string_free(text, TRUE);
    return is_whole;
}
