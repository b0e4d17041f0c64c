/** What servers of a soak answer: a story of numbered pieces, each of which
 * names the story, so that callers recognise missing and foreign ones. */
#ifndef EY_TESTS_SOAK_STORY_H
#define EY_TESTS_SOAK_STORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define STORY_EVENTS 12
#define STORY_LINES 3
#define STORY_VERSION_SIZE_BYTES 16

/** A caller's part of a stream. */
typedef struct StoryPart {
    const char *name; /* of the story */
    uint32_t last;    /* event that the caller has; 0: none */
    char version[STORY_VERSION_SIZE_BYTES]; /* of it; "": any */
} StoryPart_t;

/** One event of a stream; the caller frees it. */
char *
Story_Event(const char *name, const char *version, uint32_t number);

/** One line of a plain answer; the caller frees it. */
char *
Story_Line(const char *name, uint32_t number);

/** Adds the events of a body to a part. Returns what is wrong with them, for
 * the caller to free; NULL: they are contiguous, of one version, and all there
 * and whole if the answer is complete. */
char *
StoryPart_Add(StoryPart_t *self, const char *body, bool is_complete);

/** True if a body is a whole plain answer. */
bool
Story_IsPlain(const char *name, const char *body);

#endif
