#include "membership/publication.h"

#include <glib.h>

#define RETRY_FIRST_MS 500
#define RETRY_DOUBLINGS_MAX 8

EyPublication_t
EyPublication_Make(uint64_t seed, int64_t now_ms)
{
    return (EyPublication_t){
        .random = EyRandom_Make(seed),
        .pushed_ms = now_ms - EY_PUBLICATION_REPEAT_MS,
        .earliest_ms = now_ms,
    };
}

void
EyPublication_SetPublisher(EyPublication_t *self, bool publishes)
{
    if (publishes && !self->publishes) {
        /* The list published by the previous publisher isn't known here. */
        self->published_hash = 0;
        self->failures = 0;
    }
    self->publishes = publishes;
}

void
EyPublication_SetList(EyPublication_t *self, uint64_t list_hash)
{
    self->wanted_hash = list_hash;
}

/** Backs off exponentially, with jitter that differs between gateways. */
static void
note_failure(EyPublication_t *self, int64_t now_ms)
{
    uint32_t doublings = MIN(self->failures, RETRY_DOUBLINGS_MAX);
    int64_t wait_ms =
        MIN((int64_t)RETRY_FIRST_MS << doublings, EY_PUBLICATION_RETRY_MAX_MS);
    int64_t jitter_ms =
        (int64_t)EyRandom_Below(&self->random, (uint64_t)wait_ms / 2 + 1);
    self->is_pushing = false;
    self->failures++;
    self->earliest_ms =
        now_ms + MAX(wait_ms - jitter_ms, EY_PUBLICATION_INTERVAL_MIN_MS);
}

bool
EyPublication_Tick(EyPublication_t *self, int64_t now_ms, uint64_t *number)
{
    if (self->is_pushing &&
        now_ms - self->pushed_ms >= EY_PUBLICATION_TIMEOUT_MS) {
        note_failure(self, now_ms);
    }
    bool is_due = self->wanted_hash != self->published_hash ||
                  now_ms - self->pushed_ms >= EY_PUBLICATION_REPEAT_MS;
    if (!self->publishes || self->is_pushing || !is_due ||
        self->wanted_hash == 0 || now_ms < self->earliest_ms)
    {
        return false;
    }
    self->is_pushing = true;
    self->pushed_hash = self->wanted_hash;
    self->pushed_ms = now_ms;
    self->earliest_ms = now_ms + EY_PUBLICATION_INTERVAL_MIN_MS;
    self->number++;
    *number = self->number;
    return true;
}

void
EyPublication_Done(EyPublication_t *self, uint64_t number, bool accepted,
                   int64_t now_ms)
{
    if (!self->is_pushing || number != self->number) {
        return;
    }
    if (!accepted) {
        note_failure(self, now_ms);
        return;
    }
    self->is_pushing = false;
    self->failures = 0;
    self->published_hash = self->pushed_hash;
}
