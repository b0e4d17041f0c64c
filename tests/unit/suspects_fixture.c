#include "suspects_fixture.h"

#include "core/memory.h"

#include <criterion/criterion.h>

EyPromptParts_t
suspects_prompt(const uint64_t *part)
{
    return (EyPromptParts_t){
        .target = SUSPECTS_TARGET, .ids = part, .count = 1};
}

EyCrashSuspects_t *
suspects_make(void *ctx, const char *region)
{
    EyCrashSuspects_t *self = EyCrashSuspects_New(ctx, region);
    const uint64_t part = SUSPECTS_PART;
    const EyPromptParts_t prompt = suspects_prompt(&part);
    (void)EyCrashSuspects_Check(self, 0, &prompt);
    return self;
}

void
suspects_add_crash(EyCrashSuspects_t *self, int64_t now_ms, uint64_t part,
                   uint64_t crash)
{
    const EyPromptParts_t prompt = suspects_prompt(&part);
    EyCrashSuspects_AddCrash(self, now_ms, &prompt, crash);
}

void
suspects_clear(EyCrashSuspects_t *self, int64_t now_ms, uint64_t part)
{
    const EyPromptParts_t prompt = suspects_prompt(&part);
    EyCrashSuspects_Clear(self, now_ms, &prompt);
}

EySuspicionResult_t
suspects_check(EyCrashSuspects_t *self, int64_t now_ms, uint64_t part)
{
    const EyPromptParts_t prompt = suspects_prompt(&part);
    return EyCrashSuspects_Check(self, now_ms, &prompt);
}

void
suspects_send(EyCrashSuspects_t *from, EyCrashSuspects_t *to, int64_t sent_ms,
              int64_t received_ms, bool is_own_region)
{
    void *ctx = talloc_new(NULL);
    EyEngineUpdate_t *update = EY_NEW(ctx, EyEngineUpdate_t);
    EyCrashSuspects_Collect(from, sent_ms, is_own_region, update);
    EyBytes_t bytes = EySchema_Pack(&EyEngineUpdate_schema, ctx, update);
    EyEngineUpdate_t received;
    cr_assert(EySchema_Unpack(&EyEngineUpdate_schema, ctx, bytes.data,
                              bytes.size_bytes, &received, NULL));
    EyCrashSuspects_Apply(to, received_ms, is_own_region, &received);
    talloc_free(ctx);
}
