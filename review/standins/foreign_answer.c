/* Case: an entry machine's process is killed while another region works on a
 * request that it passed on, and starts again. */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static const char Config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-purchase\","
    "\"host\":\"ficu95.example\",\"path_prefix\":\"/pule252/\","
    "\"call_kind\":\"at_most_once\",\"timeout_ms\":2500,"
    "\"latency_objective_ms\":400,\"priority\":2,\"service\":\"box-office\","
    "\"attempts_max\":2,\"sticky\":false,\"resumable\":false,"
    "\"allowed_regions\":[\"istra\"]}],"
    "\"services\":[{\"name\":\"box-office\",\"health_path\":\"/health\","
    "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,"
    "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

#define CLIENTS 3

typedef struct Client {
    Machine_t *front;
    char id[40];
    Answer_t answer;
} Client_t;

static void *
send_purchase(void *data)
{
    Client_t *client = data;
    client->answer = request(client->front, "POST", "/pule252/a", client->id,
                             2500, "card=1");
    return NULL;
}

static void
start_clients(Client_t *clients, pthread_t *threads, Machine_t *front,
              const char *name)
{
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].front = front;
        snprintf(clients[i].id, sizeof(clients[i].id), "%s%04d", name, i + 1);
        pthread_create(&threads[i], NULL, send_purchase, &clients[i]);
    }
}

static void
await_clients(pthread_t *threads)
{
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
}

static int
count_started(const Client_t *clients)
{
    int count = 0;
    for (int i = 0; i < CLIENTS; i++) {
        count += count_runs(clients[i].id) > 0;
    }
    return count;
}

int
main(int argc, char **argv)
{
    rig_open(argc > 1 ? argv[1] : ".");
    Machine_t *cores[3] = {add_machine("core-split-a-1", 0, true),
                           add_machine("core-pula-a-1", 1, true),
                           add_machine("core-zagreb-a-1", 2, true)};
    Machine_t *home = add_machine("front-pula-a-1", 1, false);
    Machine_t *entry = add_machine("front-zagreb-a-1", 2, false);
    for (int i = 0; i < 3; i++) {
        start_machine(cores[i], true);
    }
    start_machine(home, true);
    start_machine(entry, true);
    Server_t *server = add_server("i-box-1", 1, "box-office", 1, 30);
    if (!put_config(Config, 20000) || !wait_ready(home, 10000) ||
        !wait_ready(entry, 10000))
    {
        finish(2);
    }
    /* Until a purchase in the home region works. */
    bool works = false;
    for (int i = 0; i < 40 && !works; i++) {
        char id[40];
        snprintf(id, sizeof(id), "warm%012d", i);
        works =
            request(home, "POST", "/pule252/a", id, 2500, "x").status == 200;
        sleep_ms(250);
    }
    if (!works) {
        finish(2);
    }
    sleep_ms(3000);
    server->work_ms = 1000; /* slow; well within the deadline */
    static Client_t first[CLIENTS];
    static Client_t second[CLIENTS];
    pthread_t threads[2 * CLIENTS];
    start_clients(first, threads, entry, "aaaa1111aaaa");
    for (int i = 0; i < 200 && count_started(first) < CLIENTS; i++) {
        sleep_ms(5);
    }
    if (count_started(first) == 0) {
        finish(2);
    }
    if (Trouble) {
        kill_machine(entry);
        sleep_ms(300);
        start_machine(entry, false);
        if (!wait_ready(entry, 5000)) {
            finish(2);
        }
    }
    else {
        sleep_ms(650);
    }
    start_clients(second, threads + CLIENTS, entry, "bbbb2222bbbb");
    await_clients(threads);
    await_clients(threads + CLIENTS);
    sleep_ms(2000);
    int foreign = 0;
    int false_promises = 0;
    int served = 0;
    for (int i = 0; i < CLIENTS; i++) {
        const Answer_t *answer = &second[i].answer;
        bool is_success = answer->status / 100 == 2;
        bool is_own = strstr(answer->signature, second[i].id) != NULL;
        bool is_promise = answer->status == 503 || answer->status == 429;
        served += is_success && is_own;
        foreign += is_success && !is_own;
        false_promises += is_promise && count_runs(second[i].id) > 0;
        note("%s: ran %d times; its client got %d with the signature '%s'",
             second[i].id, count_runs(second[i].id), answer->status,
             answer->signature);
    }
    note("of %d later purchases %d were answered with another client's "
         "receipt, %d were refused though they ran, %d got their own answer",
         CLIENTS, foreign, false_promises, served);
    if (!Trouble && served == 0) {
        finish(2);
    }
    finish(foreign + false_promises > 0 ? 1 : 0);
}
