#include "core/clock.h"
#include "core/stream.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define CALLBACK_DURATION_MS 60

/** Data of a callback that sleeps for CALLBACK_DURATION_MS. */
typedef struct SlowCallback {
    EyStream_t *stream;
    bool started;  /* atomic */
    bool returned; /* atomic */
} SlowCallback_t;

static void
slow_callback(void *data)
{
    SlowCallback_t *call = data;
    __atomic_store_n(&call->started, true, __ATOMIC_SEQ_CST);
    (void)usleep(CALLBACK_DURATION_MS * 1000);
    __atomic_store_n(&call->returned, true, __ATOMIC_SEQ_CST);
}

static void *
write_byte(void *data)
{
    SlowCallback_t *call = data;
    (void)EyStream_Write(call->stream, "a", 1);
    return NULL;
}

static void *
close_reader(void *data)
{
    SlowCallback_t *call = data;
    EyStream_CloseReader(call->stream);
    return NULL;
}

/** Clears a callback while it runs on another thread. */
static void
check_clear_during_call(void *(*run)(void *data),
                        void (*set)(EyStream_t *self, EyStreamCallback_t call,
                                    void *data))
{
    SlowCallback_t call = {.stream = EyStream_New(16)};
    set(call.stream, slow_callback, &call);
    pthread_t thread;
    cr_assert_eq(pthread_create(&thread, NULL, run, &call), 0);
    while (!__atomic_load_n(&call.started, __ATOMIC_SEQ_CST)) {
        (void)usleep(100);
    }
    set(call.stream, NULL, NULL);
    cr_assert(__atomic_load_n(&call.returned, __ATOMIC_SEQ_CST));
    (void)pthread_join(thread, NULL);
    EyStream_Unref(call.stream);
}

/* Callers free a callback's data after clearing the callback. If clearing
 * didn't wait for a call that is running on the other thread, that call would
 * use freed memory. */
Test(stream, clearing_a_callback_waits_for_a_running_call)
{
    check_clear_during_call(write_byte, EyStream_SetReader);
    check_clear_during_call(close_reader, EyStream_SetWriter);
}

static void
count_call(void *data)
{
    (*(uint32_t *)data)++;
}

Test(stream, on_writable_is_called_when_half_is_free)
{
    uint32_t wakeups = 0;
    char text[16];
    EyStreamState_t state = EY_STREAM_OPEN;
    EyStream_t *stream = EyStream_New(16);
    EyStream_SetWriter(stream, count_call, &wakeups);
    cr_assert(EyStream_Write(stream, "0123456789abcdef", 16));
    cr_assert_eq(EyStream_Read(stream, text, 16, &state), 16);
    cr_assert_eq(wakeups, 0, "nobody waited");
    cr_assert(EyStream_Write(stream, "0123456789abcdef", 16));
    cr_assert_not(EyStream_Write(stream, "x", 1));
    cr_assert_eq(EyStream_Read(stream, text, 7, &state), 7);
    cr_assert_eq(wakeups, 0);
    cr_assert_eq(EyStream_Read(stream, text, 1, &state), 1);
    cr_assert_eq(wakeups, 1);
    cr_assert_eq(EyStream_Read(stream, text, 8, &state), 8);
    cr_assert_eq(wakeups, 1);
    EyStream_Unref(stream);
}

Test(stream, an_oversized_chunk_is_accepted_by_an_empty_stream)
{
    char text[64];
    EyStreamState_t state = EY_STREAM_OPEN;
    EyStream_t *stream = EyStream_New(4);
    cr_assert(EyStream_Write(stream, "0123456789", 10));
    cr_assert_not(EyStream_Write(stream, "x", 1));
    EyStream_Finish(stream, EY_STREAM_COMPLETE);
    EyStream_Finish(stream, EY_STREAM_BROKEN);
    cr_assert_eq(EyStream_Read(stream, text, 64, &state), 10);
    cr_assert_arr_eq(text, "0123456789", 10);
    cr_assert_eq(EyStream_Read(stream, text, 64, &state), 0);
    cr_assert_eq(state, EY_STREAM_COMPLETE);
    EyStream_Unref(stream);
}

#define BUDGET_BYTES 65536
#define CAPACITY_BYTES 262144

/* Guards against a process that runs out of memory by answers that nobody
 * reads, or that have no end: all streams together keep to the budget, and
 * each of them goes on with a small buffer. */
Test(stream, streams_together_keep_to_their_budget)
{
    static uint8_t block[4096];
    EyMemoryBudget_t budget = {.limit_bytes = BUDGET_BYTES};
    EyStream_t *greedy = EyStream_New(CAPACITY_BYTES);
    EyStream_t *late = EyStream_New(CAPACITY_BYTES);
    EyStream_SetBudget(greedy, &budget);
    EyStream_SetBudget(late, &budget);
    while (EyStream_Write(greedy, block, sizeof(block))) {
    }
    cr_expect_eq(EyStream_SizeBytes(greedy), BUDGET_BYTES);
    cr_expect(EyStream_Write(late, block, sizeof(block)));
    cr_expect(EyStream_Write(late, block, sizeof(block)));
    cr_expect_not(EyStream_Write(late, block, sizeof(block)));
    EyStreamState_t state = EY_STREAM_OPEN;
    while (EyStream_Read(greedy, block, sizeof(block), &state) > 0) {
    }
    cr_expect_eq(EyMemoryBudget_UsedBytes(&budget), 0);
    cr_expect(EyStream_Write(late, block, sizeof(block)));
    EyStream_Unref(greedy);
    EyStream_Unref(late);
    cr_expect_eq(EyMemoryBudget_UsedBytes(&budget), 0);
}
