/* Case: a heartbeat arrives seconds late, after its replica has deregistered.
 */
#include "rig.h"

#include <stdio.h>
#include <string.h>

#define DRAIN_MS 3000
/* It serves on for drain_ms and a little longer, then it exits. */
#define SERVES_ON_MS 6000
#define CLIENTS 6

static const char Config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-purchase\","
    "\"host\":\"ficu95.example\",\"path_prefix\":\"/pule252/\","
    "\"call_kind\":\"at_most_once\",\"timeout_ms\":2500,"
    "\"latency_objective_ms\":400,\"priority\":2,\"service\":\"box-office\","
    "\"attempts_max\":2,\"sticky\":false,\"resumable\":false,"
    "\"allowed_regions\":[]}],"
    "\"services\":[{\"name\":\"box-office\",\"health_path\":\"/health\","
    "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,"
    "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static Server_t *Leaving;
static Machine_t *HomeCore;
static Machine_t *Front;
static volatile bool Ends;

static void *
send_late_heartbeat(void *data)
{
    (void)data;
    (void)heartbeat(Leaving, "serving", HomeCore, Trouble ? 2500 : 20);
    return NULL;
}

static int Lost;

static void *
send_purchases(void *data)
{
    long number = 0;
    while (!Ends) {
        char id[40];
        char headers[300];
        snprintf(id, sizeof(id), "p%d%010ld", *(int *)data, ++number);
        snprintf(headers, sizeof(headers),
                 "Host: ficu95.example\r\nAttempt-Id: %s\r\n"
                 "Deadline-Ms: 2500\r\n",
                 id);
        note("client: sends purchase %s", id);
        Answer_t answer = call(Front->ip, FrontPort, "POST", "/pule252/a",
                               headers, "card=1", 3000);
        note("client: %s is answered with %d", id, answer.status);
        const Run_t *run = find_run(id);
        if (answer.status / 100 != 2) {
            note("client: answer to %s: status %d %s; it ran %d times%s%s", id,
                 answer.status, answer.how, count_runs(id),
                 run != NULL ? ", at " : "", run != NULL ? run->server : "");
            bool is_lost = run != NULL && strcmp(run->server, "i-box-1") == 0;
            (void)__atomic_add_fetch(&Lost, is_lost, __ATOMIC_RELAXED);
        }
        sleep_ms(50);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    rig_open(argc > 1 ? argv[1] : ".");
    Machine_t *cores[3] = {add_machine("core-split-a-1", 0, true),
                           add_machine("core-pula-a-1", 1, true),
                           add_machine("core-zagreb-a-1", 2, true)};
    HomeCore = cores[1];
    Front = add_machine("front-pula-a-1", 1, false);
    for (int i = 0; i < 3; i++) {
        start_machine(cores[i], true);
    }
    start_machine(Front, true);
    Leaving = add_server("i-box-1", 1, "box-office", 1, 150);
    (void)add_server("i-box-2", 1, "box-office", 2, 150);
    if (!put_config(Config, 20000) || !wait_ready(Front, 10000)) {
        finish(2);
    }
    static int clients[CLIENTS];
    pthread_t threads[CLIENTS + 1];
    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = i + 1;
        pthread_create(&threads[i], NULL, send_purchases, &clients[i]);
    }
    sleep_ms(6000);
    Leaving->beats = false;
    sleep_ms(1300); /* the last of them has been answered */
    pthread_create(&threads[CLIENTS], NULL, send_late_heartbeat, NULL);
    sleep_ms(300);
    if (deregister(Leaving, HomeCore) / 100 != 2) {
        finish(2);
    }
    int64_t acked_ms = now_ms();
    note("replica i-box-1: serves on for %d ms", SERVES_ON_MS);
    sleep_ms(SERVES_ON_MS);
    exit_server(Leaving);
    sleep_ms(3000);
    Ends = true;
    for (int i = 0; i <= CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    int before = 0;
    int in_time = 0;
    int late = 0;
    int64_t last_ms = 0;
    for (int i = 0; i < RunCount; i++) {
        if (strcmp(Runs[i].server, Leaving->id) != 0) {
            continue;
        }
        int64_t after_ms = Runs[i].at_ms - acked_ms;
        before += after_ms < 0;
        in_time += after_ms >= 0 && after_ms <= DRAIN_MS;
        late += after_ms > DRAIN_MS;
        last_ms = after_ms;
    }
    note("i-box-1 got %d requests before the acknowledgement, %d within %d "
         "ms after it, %d later; the last one %lld ms after it",
         before, in_time, DRAIN_MS, late, (long long)last_ms);
    note("purchases that ran at i-box-1 and were not answered with success: "
         "%d",
         Lost);
    if (before == 0) {
        finish(2);
    }
    finish(late > 0 ? 1 : 0);
}
