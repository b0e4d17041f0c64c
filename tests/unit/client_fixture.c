#include "client_fixture.h"

#include "core/clock.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static void
on_event(void *data, EyAttemptEvent_t *event)
{
    ClientFixture_t *fixture = data;
    cr_assert_lt(fixture->event_count, EVENTS_MAX);
    fixture->events[fixture->event_count++] = event;
    if ((event->kind == EY_ATTEMPT_HEAD &&
         event->number == fixture->cancel_at_head) ||
        (event->kind == EY_ATTEMPT_SENDING &&
         event->number == fixture->cancel_at_sending))
    {
        EyClient_Cancel(fixture->client, event->number);
    }
}

ClientFixture_t *
client_fixture_new(void)
{
    ClientFixture_t *fixture = EY_NEW(NULL, ClientFixture_t);
    fixture->loop = tevent_context_init(fixture);
    fixture->timers = EyTimers_New(fixture, fixture->loop);
    fixture->client = EyClient_New(fixture, fixture->loop, fixture->timers,
                                   on_event, fixture);
    return fixture;
}

void
client_fixture_free(ClientFixture_t *fixture)
{
    for (uint32_t i = 0; i < fixture->event_count; i++) {
        talloc_free(fixture->events[i]);
    }
    talloc_free(fixture->client);
    talloc_free(fixture->timers);
    talloc_free(fixture);
}

EyAttemptEvent_t *
last_event(const ClientFixture_t *fixture, uint64_t number)
{
    EyAttemptEvent_t *last = NULL;
    for (uint32_t i = 0; i < fixture->event_count; i++) {
        EyAttemptEvent_t *event = fixture->events[i];
        if (event->number == number && (event->kind == EY_ATTEMPT_DONE ||
                                        event->kind == EY_ATTEMPT_FAILED))
        {
            cr_assert_null(last, "attempt %lu ended twice", number);
            last = event;
        }
    }
    return last;
}

uint32_t
count_events(const ClientFixture_t *fixture, uint64_t number,
             EyAttemptEventKind_t kind)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fixture->event_count; i++) {
        if (fixture->events[i]->number == number &&
            fixture->events[i]->kind == kind) {
            count++;
        }
    }
    return count;
}

void
on_tick(void *data, int64_t now_ms)
{
    (void)data;
    (void)now_ms;
}

void
run_for(ClientFixture_t *fixture, int64_t time_ms)
{
    EyTimer_t *tick = EyTimers_Every(fixture->timers, 5, on_tick, NULL);
    int64_t until_ms = EyClock_NowMs() + time_ms;
    while (EyClock_NowMs() < until_ms) {
        cr_assert_eq(tevent_loop_once(fixture->loop), 0);
    }
    talloc_free(tick);
}

EyAttemptEvent_t *
run_until_ended(ClientFixture_t *fixture, uint64_t number)
{
    EyTimer_t *tick = EyTimers_Every(fixture->timers, 20, on_tick, NULL);
    int64_t until_ms = EyClock_NowMs() + WAIT_MS;
    EyAttemptEvent_t *event = NULL;
    while ((event = last_event(fixture, number)) == NULL) {
        cr_assert_lt(EyClock_NowMs(), until_ms, "attempt %lu never ended",
                     number);
        cr_assert_eq(tevent_loop_once(fixture->loop), 0);
    }
    talloc_free(tick);
    return event;
}

EyAttempt_t *
make_attempt(uint64_t number, uint16_t port, const char *method,
             const char *path)
{
    EyAttempt_t *attempt = EY_NEW(NULL, EyAttempt_t);
    attempt->number = number;
    (void)snprintf(attempt->address, sizeof(attempt->address), "127.0.0.1:%u",
                   port);
    (void)EY_COPY(attempt->method, method);
    attempt->path = EyMemory_Strdup(attempt, path);
    (void)EY_COPY(attempt->request_id, "order-7");
    attempt->may_repeat = true;
    attempt->connect_timeout_ms = 1000;
    attempt->idle_timeout_ms = 5000;
    attempt->deadline_ms = EyClock_NowMs() + WAIT_MS;
    return attempt;
}

EyAttemptEvent_t *
call(ClientFixture_t *fixture, uint64_t number, uint16_t port,
     const char *path)
{
    EyClient_Start(fixture->client, make_attempt(number, port, "GET", path));
    return run_until_ended(fixture, number);
}

void
assert_body(const EyAttemptEvent_t *event, const char *body)
{
    cr_assert_eq(event->kind, EY_ATTEMPT_DONE, "failed: %s",
                 EyAttemptFailure_names[event->failure]);
    cr_assert_eq(event->answer->body.size_bytes, strlen(body));
    if (body[0] != '\0') {
        cr_assert_arr_eq(event->answer->body.data, body, strlen(body));
    }
}
