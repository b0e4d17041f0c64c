/* Case: many clients send large bodies, within the configured limit, at once.
 * The platform ends a process that uses more than its memory_mb. */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 64 /* with large bodies */
#define ORDINARY 12
#define BODY_BYTES 4194304 /* max_body_bytes */
#define MEMORY_BYTES (260LL * 1024 * 1024)

static const char Config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-purchase\","
    "\"host\":\"ficu95.example\",\"path_prefix\":\"/pule252/\","
    "\"call_kind\":\"at_most_once\",\"timeout_ms\":12000,"
    "\"latency_objective_ms\":1200,\"priority\":2,\"service\":\"box-office\","
    "\"attempts_max\":2,\"sticky\":false,\"resumable\":false,"
    "\"allowed_regions\":[]}],"
    "\"services\":[{\"name\":\"box-office\",\"health_path\":\"/health\","
    "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,"
    "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static Machine_t *Front;
static char *Body;
static volatile bool Goes;
static volatile bool Ends;
static volatile int Kills;
static int64_t Peak;

/** The platform: a process over its memory is killed, and starts again. */
static void *
watch_memory(void *data)
{
    (void)data;
    while (!Ends) {
        int64_t bytes = resident_bytes(Front);
        Peak = bytes > Peak ? bytes : Peak;
        if (bytes > MEMORY_BYTES) {
            note("platform: %s uses %lld MiB, more than memory_mb (260): it "
                 "is killed",
                 Front->name, (long long)(bytes >> 20));
            kill_machine(Front);
            Kills++;
            sleep_ms(300);
            start_machine(Front, false);
        }
        usleep(2000);
    }
    return NULL;
}

typedef struct Client {
    int number;
    int socket;
    char id[40];
    Answer_t answer;
} Client_t;

static void
send_purchase(Client_t *client, const char *id, size_t body_bytes)
{
    char headers[300];
    snprintf(client->id, sizeof(client->id), "%s%04d", id, client->number);
    snprintf(headers, sizeof(headers),
             "Host: ficu95.example\r\nAttempt-Id: %s\r\n"
             "Deadline-Ms: 12000\r\n",
             client->id);
    note("client: sends purchase %s of %zu bytes", client->id, body_bytes);
    client->answer = call_on(client->socket, "POST", "/pule252/a", headers,
                             Body, body_bytes, 12500);
    note("client: %s is answered with %d %s", client->id,
         client->answer.status, client->answer.how);
}

static void *
run_client(void *data)
{
    Client_t *client = data;
    while (!Goes) {
        usleep(1000);
    }
    send_purchase(client, "large0000000", BODY_BYTES);
    return NULL;
}

static int OrdinaryAnswered;
static int OrdinaryLost;

/** A client with small purchases, each on the connection that it keeps. */
static void *
run_ordinary_client(void *data)
{
    Client_t *client = data;
    sleep_ms(20 * client->number); /* not all in step */
    for (int i = 0; !Ends; i++) {
        char name[40];
        snprintf(name, sizeof(name), "o%06d", i);
        if (client->socket < 0) {
            client->socket = open_connection(Front->ip, FrontPort);
            sleep_ms(20);
            continue;
        }
        send_purchase(client, name, 600);
        if (client->answer.status != 0) {
            bool is_served = client->answer.status == 200;
            (void)__atomic_add_fetch(&OrdinaryAnswered, is_served,
                                     __ATOMIC_RELAXED);
            sleep_ms(is_served ? 20 : 200);
            continue;
        }
        close(client->socket);
        client->socket = -1;
        bool has_run = count_runs(client->id) > 0;
        (void)__atomic_add_fetch(&OrdinaryLost, has_run, __ATOMIC_RELAXED);
        note("client: small purchase %s: no answer, %s; it ran %d times",
             client->id, client->answer.how, count_runs(client->id));
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
    Front = add_machine("front-pula-a-1", 1, false);
    for (int i = 0; i < 3; i++) {
        start_machine(cores[i], true);
    }
    start_machine(Front, true);
    (void)add_server("i-box-1", 1, "box-office", 1, 220);
    (void)add_server("i-box-2", 1, "box-office", 2, 220);
    Body = malloc(BODY_BYTES);
    memset(Body, 'b', BODY_BYTES);
    if (!put_config(Config, 20000) || !wait_ready(Front, 10000)) {
        finish(2);
    }
    sleep_ms(4000);
    pthread_t watcher;
    pthread_create(&watcher, NULL, watch_memory, NULL);
    static Client_t clients[CLIENTS];
    pthread_t threads[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        /* A small request first, so that the connection is a kept one. */
        clients[i].number = i + 1;
        clients[i].socket = open_connection(Front->ip, FrontPort);
        send_purchase(&clients[i], "small0000000", 600);
        if (clients[i].answer.status != 200) {
            describe("client: answer to", clients[i].id, &clients[i].answer);
            finish(2);
        }
    }
    note("%d clients have had a small purchase answered, each on a "
         "connection of its own; %s uses %lld MiB",
         CLIENTS, Front->name, (long long)(resident_bytes(Front) >> 20));
    note("clients: %d purchases of %d bytes, %s", CLIENTS, BODY_BYTES,
         Trouble ? "all at once" : "one after the other");
    static Client_t ordinary[ORDINARY];
    pthread_t ordinary_threads[ORDINARY];
    for (int i = 0; i < ORDINARY; i++) {
        ordinary[i].number = i + 1;
        ordinary[i].socket = open_connection(Front->ip, FrontPort);
        pthread_create(&ordinary_threads[i], NULL, run_ordinary_client,
                       &ordinary[i]);
    }
    sleep_ms(2000);
    Goes = true;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
        if (!Trouble) {
            pthread_join(threads[i], NULL);
        }
    }
    for (int i = 0; i < CLIENTS && Trouble; i++) {
        pthread_join(threads[i], NULL);
    }
    sleep_ms(1000);
    Ends = true;
    pthread_join(watcher, NULL);
    for (int i = 0; i < ORDINARY; i++) {
        pthread_join(ordinary_threads[i], NULL);
    }
    int answered = 0;
    int refused = 0;
    int lost = 0;
    int unread = 0;
    for (int i = 0; i < CLIENTS; i++) {
        const Client_t *client = &clients[i];
        bool has_run = count_runs(client->id) > 0;
        answered += client->answer.status == 200;
        refused += client->answer.status >= 400;
        lost += client->answer.status == 0 && has_run;
        unread += client->answer.status == 0 && !has_run;
        if (client->answer.status != 200) {
            note("client: %s: status %d %s; it ran %d times", client->id,
                 client->answer.status, client->answer.how,
                 count_runs(client->id));
        }
    }
    note("of %d large purchases %d were answered with success, %d with an "
         "error; %d ran and their connection was closed without an answer; "
         "%d didn't run and were closed; %s was ended %d times, at most it "
         "used %lld MiB",
         CLIENTS, answered, refused, lost, unread, Front->name, Kills,
         (long long)(Peak >> 20));
    note("small purchases: %d served; %d were passed on to a replica from a "
         "kept connection that was then closed without an answer",
         OrdinaryAnswered, OrdinaryLost);
    finish(lost + OrdinaryLost > 3 ? 1 : 0);
}
