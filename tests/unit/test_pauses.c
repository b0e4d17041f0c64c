#include "core/pauses.h"

#include <criterion/criterion.h>
#include <glib.h>

#define START_MS 1000
#define PAUSE_MS 3500
#define NOTE_INTERVAL_MS 100

typedef struct ReadCase {
    const char *name;
    int64_t pause_ms;
    int64_t read_after_ms; /* the end of the pause */
    int64_t waited_ms;     /* at most, before it was read */
} ReadCase_t;

static const ReadCase_t ReadCases[] = {
    {"no pause", NOTE_INTERVAL_MS, 0, 0},
    {"a short one", EY_PAUSE_MIN_MS, 0, 0},
    {"read before it was noticed", PAUSE_MS, 0, PAUSE_MS},
    {"read soon after", PAUSE_MS, 700, PAUSE_MS + 700},
    {"read long after", PAUSE_MS, EY_PAUSE_BACKLOG_MS + 1, 0},
};

/* An order must not be taken for a fresh one because it was read just now. */
Test(pauses, what_is_read_after_a_pause_may_have_waited_since_its_start)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ReadCases); i++) {
        const ReadCase_t *given = &ReadCases[i];
        EyPauses_t pauses = {.noted_ms = 0};
        int64_t now_ms = START_MS;
        for (int note = 0; note < 20; note++) {
            now_ms += NOTE_INTERVAL_MS;
            EyPauses_Note(&pauses, now_ms);
        }
        now_ms += given->pause_ms;
        EyPauses_Note(&pauses, now_ms);
        int64_t read_ms = now_ms + given->read_after_ms;
        while (now_ms + NOTE_INTERVAL_MS <= read_ms) {
            now_ms += NOTE_INTERVAL_MS;
            EyPauses_Note(&pauses, now_ms);
        }
        cr_expect_eq(read_ms - EyPauses_SentMs(&pauses, read_ms),
                     given->waited_ms, "%s: %lld ms", given->name,
                     (long long)(read_ms - EyPauses_SentMs(&pauses, read_ms)));
    }
}
