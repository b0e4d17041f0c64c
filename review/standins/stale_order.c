/* Case: a core machine freezes while an operator's order to end an evacuation
 * is on the way to it; it wakes after a newer evacuation was acknowledged. */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define EVACUATE_MS 5000
/* Whether the woken machine knows the leader when it reads the old order
 * differs from play to play. */
#define ROUNDS 7

static const char Config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-lookup\","
    "\"host\":\"ficu95.example\",\"path_prefix\":\"/puxa403/\","
    "\"call_kind\":\"idempotent\",\"timeout_ms\":2500,"
    "\"latency_objective_ms\":400,\"priority\":2,\"service\":\"box-office\","
    "\"attempts_max\":2,\"sticky\":false,\"resumable\":false,"
    "\"allowed_regions\":[]}],"
    "\"services\":[{\"name\":\"box-office\",\"health_path\":\"/health\","
    "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,"
    "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static Machine_t *Front;
static volatile bool Ends;

static void *
send_lookups(void *data)
{
    long number = 0;
    while (!Ends) {
        char id[40];
        char headers[300];
        snprintf(id, sizeof(id), "l%d%010ld", *(int *)data, ++number);
        snprintf(headers, sizeof(headers),
                 "Host: ficu95.example\r\nAttempt-Id: %s\r\n"
                 "Deadline-Ms: 2500\r\n",
                 id);
        note("client: sends look-up %s", id);
        Answer_t answer = call(Front->ip, FrontPort, "GET", "/puxa403/a",
                               headers, NULL, 3000);
        note("client: %s is answered with %d", id, answer.status);
        sleep_ms(100);
    }
    return NULL;
}

/** One call of the operator: waits a second. */
static int
order(const char *method, Machine_t *core)
{
    Answer_t answer =
        call(core->ip, ControlPort, method, "/v1/config/evacuations/pula-a",
             "Host: x\r\n", NULL, 1000);
    note("operator: %s the evacuation of pula-a, to %s: %d %s",
         strcmp(method, "PUT") == 0 ? "begin" : "finish", core->name,
         answer.status, answer.how);
    return answer.status;
}

/** As the operator: to one node after the other until it is acknowledged. */
static void
order_until_acked(const char *method, Machine_t **cores, int count)
{
    for (int i = 0; i < 20; i++) {
        if (order(method, cores[i % count]) / 100 == 2) {
            return;
        }
        sleep_ms(100);
    }
    finish(2);
}

/** Requests at the replicas of pula-a later than EVACUATE_MS after a time. */
static int
count_late(int64_t acked_ms)
{
    int late = 0;
    int64_t first_ms = 0;
    int64_t last_ms = 0;
    for (int i = 0; i < RunCount; i++) {
        int64_t after_ms = Runs[i].at_ms - acked_ms;
        if (after_ms > EVACUATE_MS) {
            first_ms = late == 0 ? after_ms : first_ms;
            last_ms = after_ms;
            late++;
        }
    }
    note("replicas of pula-a got %d requests later than %d ms after the "
         "second evacuation was acknowledged (from %lld to %lld ms after it)",
         late, EVACUATE_MS, (long long)first_ms, (long long)last_ms);
    return late;
}

/** Two evacuations of a zone; the first one's end is ordered while a core
 * machine is frozen, and ordered again elsewhere. Returns how many requests
 * came too late. */
static int
play_round(Machine_t *frozen, Machine_t **others)
{
    order_until_acked("PUT", others, 2);
    sleep_ms(1000);
    if (Trouble) {
        signal_machine(frozen, SIGSTOP);
    }
    int64_t frozen_ms = now_ms();
    if (order("DELETE", frozen) / 100 != 2) {
        order_until_acked("DELETE", others, 2);
    }
    sleep_ms(200);
    order_until_acked("PUT", others, 2);
    int64_t acked_ms = now_ms();
    while (now_ms() - frozen_ms < 3500) {
        sleep_ms(10);
    }
    if (Trouble) {
        signal_machine(frozen, SIGCONT);
    }
    sleep_ms(EVACUATE_MS + 3000);
    int late = count_late(acked_ms);
    order_until_acked("DELETE", others, 2);
    return late;
}

int
main(int argc, char **argv)
{
    rig_open(argc > 1 ? argv[1] : ".");
    Machine_t *cores[3] = {add_machine("core-split-a-1", 0, true),
                           add_machine("core-pula-a-1", 1, true),
                           add_machine("core-zagreb-a-1", 2, true)};
    Front = add_machine("front-pula-a-1", 1, false);
    for (int i = 0; i < 3; i++) {
        start_machine(cores[i], true);
    }
    start_machine(Front, true);
    (void)add_server("i-box-1", 1, "box-office", 1, 30);
    (void)add_server("i-box-2", 1, "box-office", 2, 30);
    if (!put_config(Config, 20000) || !wait_ready(Front, 10000)) {
        finish(2);
    }
    static int clients[2] = {1, 2};
    pthread_t threads[2];
    for (int i = 0; i < 2; i++) {
        pthread_create(&threads[i], NULL, send_lookups, &clients[i]);
    }
    Machine_t *others[2] = {cores[1], cores[2]};
    int late = 0;
    for (int round = 0; round < ROUNDS && late == 0; round++) {
        sleep_ms(4000);
        if (RunCount == 0) {
            finish(2);
        }
        late = play_round(cores[0], others);
    }
    finish(late > 0 ? 1 : 0);
}
