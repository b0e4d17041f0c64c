/* End-to-end tests with real processes: caller, gateway and backend server. */
#include "process/harness.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

static Process_t
start_gateway(void)
{
    Process_t gateway = Process_Make("ebonyyard-gateway", "path-gw");
    gateway.port = Harness_FreePort();
    gateway.peer_port = Harness_FreePort();
    Process_Arg(&gateway, "--id=gw-1");
    Process_Arg(&gateway, "--region=istra");
    Process_Arg(&gateway, "--zone=istra-a");
    Process_Arg(&gateway, "--listen=127.0.0.1:%u", gateway.port);
    Process_Arg(&gateway, "--peer-listen=127.0.0.1:%u", gateway.peer_port);
    char folder[HARNESS_ARG_SIZE_BYTES];
    Harness_MakeFolder(folder, sizeof(folder), "path");
    Process_Arg(&gateway, "--data-dir=%s", folder);
    Process_Arg(&gateway, "--standalone");
    Process_Start(&gateway);
    cr_assert(Process_AwaitStatus(&gateway, "/readyz", 200, 10000));
    return gateway;
}

static Process_t
start_fake(const char *program, const char *targets, uint16_t gateway_port)
{
    Process_t fake = Process_Make(program, program);
    fake.port = Harness_FreePort();
    Process_Arg(&fake, "--listen=127.0.0.1:%u", fake.port);
    Process_Arg(&fake, "--announce=127.0.0.1:%u", gateway_port);
    Process_Arg(&fake, "--id=%s-1", program);
    Process_Arg(&fake, "--region=istra");
    Process_Arg(&fake, "--zone=istra-a");
    Process_Arg(&fake, "%s", targets);
    Process_Start(&fake);
    cr_assert(Process_AwaitStatus(&fake, "/v1/fake", 200, 10000));
    return fake;
}

/** Repeats a call until the gateway knows a server of its target. */
static Reply_t
call_when_known(uint16_t port, const char *method, const char *path,
                const char *const *headers, const char *body)
{
    Reply_t reply = {.status = 0};
    for (int i = 0; i < 200; i++) {
        Reply_Clear(&reply);
        reply = Http_Call(port, method, path, headers, body, 10000);
        if (reply.status == 200) {
            return reply;
        }
        Harness_SleepMs(50);
    }
    return reply;
}

TestSuite(path, .timeout = 60);

Test(path, a_model_answers_through_the_gateway)
{
    Process_t gateway = start_gateway();
    Process_t fake =
        start_fake("fake-model", "--models=visit-plan", gateway.port);
    const char *const headers[] = {"Content-Type: application/json",
                                   "X-Request-Id: plan-1", NULL};
    Reply_t plain = call_when_known(
        gateway.port, "POST", "/v1/chat/completions", headers,
        "{\"model\":\"visit-plan\",\"max_tokens\":5,\"messages\":[{\"role\":"
        "\"user\",\"content\":\"plan our day\"}]}");
    cr_assert_eq(plain.status, 200, "%s", plain.body);
    cr_assert_str_eq(plain.outcome, "completed");
    cr_assert_str_eq(plain.request_id, "plan-1");
    json_t *json = Reply_Json(&plain);
    cr_assert_not_null(json);
    json_decref(json);
    Reply_Clear(&plain);
    Reply_t stream = call_when_known(
        gateway.port, "POST", "/v1/chat/completions", headers,
        "{\"model\":\"visit-plan\",\"max_tokens\":5,\"stream\":true,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"plan our day\"}]}");
    cr_assert_eq(stream.status, 200);
    cr_assert(stream.complete);
    cr_assert_not_null(strstr(stream.body, "[DONE]"));
    Reply_Clear(&stream);
    Process_Signal(&gateway, SIGTERM);
    cr_assert_eq(Process_Wait(&gateway, 10000), 0);
    Process_Kill(&fake);
}

static long
buy(uint16_t port, const char *key)
{
    char header[64];
    (void)snprintf(header, sizeof(header), "Idempotency-Key: %s", key);
    const char *const headers[] = {header, NULL};
    Reply_t reply = Http_Call(port, "POST", "/v1/services/booking/purchases",
                              headers, "{\"seats\":30}", 5000);
    long status = reply.status;
    Reply_Clear(&reply);
    return status;
}

/* The records of purchases could not be written for a while. */
Test(path, purchases_go_on_after_the_disk_was_full)
{
    (void)signal(SIGXFSZ, SIG_IGN);
    Process_t gateway = start_gateway();
    Process_t fake =
        start_fake("fake-service", "--services=booking", gateway.port);
    const char *const headers[] = {"Idempotency-Key: first", NULL};
    Reply_t first =
        call_when_known(gateway.port, "POST", "/v1/services/booking/purchases",
                        headers, "{\"seats\":30}");
    cr_assert_eq(first.status, 200, "%s", first.body);
    Reply_Clear(&first);
    Process_LimitFiles(&gateway, 16);
    cr_expect_neq(buy(gateway.port, "while-full"), 200);
    Harness_SleepMs(1000);
    Process_LimitFiles(&gateway, RLIM_INFINITY);
    int64_t until_ms = Harness_NowMs() + 10000;
    long status = 0;
    for (int i = 0; status != 200 && Harness_NowMs() < until_ms; i++) {
        char key[32];
        (void)snprintf(key, sizeof(key), "after-%d", i);
        status = buy(gateway.port, key);
        Harness_SleepMs(100);
    }
    cr_expect_eq(status, 200);
    Process_Kill(&gateway);
    Process_Kill(&fake);
}

Test(path, a_purchase_runs_once_and_its_retry_gets_the_same_answer)
{
    Process_t gateway = start_gateway();
    Process_t fake =
        start_fake("fake-service", "--services=booking", gateway.port);
    const char *const no_key[] = {NULL};
    Reply_t refused =
        Http_Call(gateway.port, "POST", "/v1/services/booking/purchases",
                  no_key, "{\"seats\":30}", 5000);
    cr_assert_eq(refused.status, 400);
    cr_assert_str_eq(refused.outcome, "not-run");
    Reply_Clear(&refused);
    const char *const headers[] = {"Idempotency-Key: class-4b", NULL};
    Reply_t first =
        call_when_known(gateway.port, "POST", "/v1/services/booking/purchases",
                        headers, "{\"seats\":30}");
    cr_assert_eq(first.status, 200, "%s", first.body);
    cr_assert_str_eq(first.outcome, "completed");
    Reply_t again =
        Http_Call(gateway.port, "POST", "/v1/services/booking/purchases",
                  headers, "{\"seats\":30}", 5000);
    cr_assert_eq(again.status, 200);
    cr_assert_str_eq(again.body, first.body);
    Reply_t other =
        Http_Call(gateway.port, "POST", "/v1/services/booking/purchases",
                  headers, "{\"seats\":31}", 5000);
    cr_assert_eq(other.status, 422);
    cr_assert_str_eq(other.outcome, "not-run");
    /* An acknowledged answer survives a crash of the gateway. */
    Process_Kill(&gateway);
    Process_Start(&gateway);
    cr_assert(Process_AwaitStatus(&gateway, "/readyz", 200, 10000));
    Reply_t later =
        call_when_known(gateway.port, "POST", "/v1/services/booking/purchases",
                        headers, "{\"seats\":30}");
    cr_assert_eq(later.status, 200, "%s", later.body);
    cr_assert_str_eq(later.body, first.body);
    Reply_Clear(&first);
    Reply_Clear(&again);
    Reply_Clear(&other);
    Reply_Clear(&later);
    Process_Kill(&gateway);
    Process_Kill(&fake);
}
