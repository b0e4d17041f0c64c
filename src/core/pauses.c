#include "core/pauses.h"

#include <stdbool.h>

void
EyPauses_Note(EyPauses_t *self, int64_t now_ms)
{
    if (self->noted_ms != 0 && now_ms - self->noted_ms > EY_PAUSE_MIN_MS) {
        self->began_ms = self->noted_ms;
        self->ended_ms = now_ms;
    }
    self->noted_ms = now_ms;
}

int64_t
EyPauses_SentMs(const EyPauses_t *self, int64_t read_ms)
{
    bool may_have_waited = read_ms > self->began_ms &&
                           read_ms <= self->ended_ms + EY_PAUSE_BACKLOG_MS &&
                           self->ended_ms != 0;
    return may_have_waited ? self->began_ms : read_ms;
}
