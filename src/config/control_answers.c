#include "config/control_answers.h"

#include <string.h>

/** Returns the entry of a process, a free one, or the oldest one. */
static EyControlAnswer_t *
find_place(EyControlAnswers_t *self, const char *id)
{
    EyControlAnswer_t *oldest = &self->items[0];
    for (uint32_t i = 0; i < self->count; i++) {
        EyControlAnswer_t *item = &self->items[i];
        if (strcmp(item->id, id) == 0) {
            return item;
        }
        if (item->answered_ms < oldest->answered_ms) {
            oldest = item;
        }
    }
    return self->count < EY_CONTROL_ANSWERS_MAX ? &self->items[self->count++]
                                                : oldest;
}

void
EyControlAnswers_Note(EyControlAnswers_t *self,
                      const EyControlAnswer_t *answer)
{
    *find_place(self, answer->id) = *answer;
}

uint32_t
EyControlAnswers_CountSince(const EyControlAnswers_t *self, int64_t since_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        count += self->items[i].answered_ms >= since_ms;
    }
    return count;
}

bool
EyControlAnswers_AwaitsLeader(const EyControlAnswers_t *self, int64_t since_ms)
{
    for (uint32_t i = 0; i < self->count; i++) {
        const EyControlAnswer_t *item = &self->items[i];
        if (item->awaits_leader && item->answered_ms > since_ms) {
            return true;
        }
    }
    return false;
}

bool
EyControlAnswers_HearsMajority(const EyControlAnswers_t *self,
                               int64_t since_ms)
{
    for (uint32_t i = 0; i < self->count; i++) {
        const EyControlAnswer_t *item = &self->items[i];
        if (item->hears_majority && item->answered_ms > since_ms) {
            return true;
        }
    }
    return false;
}

bool
EyControlAnswers_IsOlderBuild(const EyControlAnswers_t *self, const char *id)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (strcmp(self->items[i].id, id) == 0) {
            return self->items[i].is_older_build;
        }
    }
    return false;
}

void
EyControlAnswers_Shift(EyControlAnswers_t *self, int64_t by_ms)
{
    for (uint32_t i = 0; i < self->count; i++) {
        self->items[i].answered_ms += by_ms;
    }
}
