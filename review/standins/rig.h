/* A rig for the review's scripts: starts the project's programs with the
 * commands and settings of the deploy file, and holds small stand-ins for
 * clients, replicas and the operator. POSIX only. */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ZONES 3
#define MACHINES_MAX 16
#define SERVERS_MAX 8
#define RUNS_MAX 20000

typedef struct Machine {
    char name[40];
    char ip[20];
    int zone;
    bool is_core;
    pid_t pid; /* 0: not running */
    char data_dir[200];
    int starts;
} Machine_t;

/** A request that reached a replica. */
typedef struct Run {
    char id[64];
    char server[40];
    char expected[40];
    int64_t at_ms;
    bool ran; /* false: answered 421 */
} Run_t;

typedef struct Server {
    char id[40];
    char ip[20];
    int port;
    int zone;
    char service[40];
    int64_t born_ms;
    int work_ms;
    int slots;
    volatile bool beats;   /* sends heartbeats */
    volatile bool stopped; /* closes its port */
    volatile long serial;  /* of the last heartbeat */
    volatile int pick;     /* core that it calls next */
    bool only_pick;        /* always calls that one */
    int listener;
    int sockets[256]; /* open connections; 0: none */
} Server_t;

typedef struct Answer {
    int status; /* 0: no answer */
    bool whole;
    char signature[80];
    char attempt_id[80];
    char retry_after[24];
    char body[8192];
    size_t body_bytes;
    int64_t took_ms;
    char how[40]; /* why there is no answer */
} Answer_t;

extern Machine_t Machines[MACHINES_MAX];
extern int MachineCount;
extern Server_t Servers[SERVERS_MAX];
extern int ServerCount;
extern Run_t Runs[RUNS_MAX];
extern int RunCount;
extern bool Trouble;
extern const char *ZoneNames[ZONES];
extern const char *RegionNames[ZONES];
extern int FrontPort;
extern int ReadyPort;
extern int ControlPort;

int64_t
now_ms(void);
void
sleep_ms(int64_t ms);
void
note(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Ends the case: 0 held, 1 broken, 2 could not run. Ends all processes. */
void
finish(int code) __attribute__((noreturn));

void
rig_open(const char *folder);
Machine_t *
add_machine(const char *name, int zone, bool is_core);
/** The cores' addresses of the first start go into the settings of all. */
void
start_machine(Machine_t *machine, bool bootstrap);
void
signal_machine(Machine_t *machine, int number);
void
kill_machine(Machine_t *machine);
Machine_t *
machine_named(const char *name);

Server_t *
add_server(const char *id, int zone, const char *service, int host,
           int work_ms);
int
heartbeat(Server_t *server, const char *state, Machine_t *core,
          int64_t split_delay_ms);
int
deregister(Server_t *server, Machine_t *core);
/** The replica's process exits: its port and connections are closed. */
void
exit_server(Server_t *server);

/** One HTTP call on a new connection. */
Answer_t
call(const char *ip, int port, const char *method, const char *path,
     const char *headers, const char *body, int timeout_ms);
int
open_connection(const char *ip, int port);
/** A call on a connection that is kept. */
Answer_t
call_on(int socket, const char *method, const char *path, const char *headers,
        const char *body, size_t body_bytes, int timeout_ms);
int64_t
resident_bytes(const Machine_t *machine);
/** As a client's attempt. */
Answer_t
request(Machine_t *front, const char *method, const char *path, const char *id,
        int deadline_ms, const char *body);
bool
wait_ready(Machine_t *front, int timeout_ms);
/** Puts the configuration, at any core, until it is acknowledged. */
bool
put_config(const char *json, int timeout_ms);
int
count_runs(const char *id);
const Run_t *
find_run(const char *id);
void
describe(const char *what, const char *id, const Answer_t *answer);

#endif
