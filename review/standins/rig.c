#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

Machine_t Machines[MACHINES_MAX];
int MachineCount;
Server_t Servers[SERVERS_MAX];
int ServerCount;
Run_t Runs[RUNS_MAX];
int RunCount;
bool Trouble = true;
const char *ZoneNames[ZONES] = {"split-a", "pula-a", "zagreb-a"};
const char *RegionNames[ZONES] = {"dalmacija", "istra", "zagreb"};
int FrontPort;
int ReadyPort;
int ControlPort;

static int DirectoryPort;
static int MetricsPort;
static int InternalPort;
static int ServerPort;
static int Net; /* second byte of the loopback addresses */
static char Folder[160];
static char Root[400];
static char Seeds[200];
static FILE *Record;
static int64_t Began;
static pthread_mutex_t Lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int64_t
wall_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
    struct timespec span = {ms / 1000, (ms % 1000) * 1000000};
    nanosleep(&span, NULL);
}

void
note(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&Lock);
    fprintf(Record, "%8.3f  ", (double)(now_ms() - Began) / 1000);
    va_start(arguments, format);
    vfprintf(Record, format, arguments);
    va_end(arguments);
    fputc('\n', Record);
    fflush(Record);
    pthread_mutex_unlock(&Lock);
}

static int
remove_path(const char *path, const struct stat *status, int kind,
            struct FTW *place)
{
    (void)status;
    (void)kind;
    (void)place;
    return remove(path);
}

/** Out of time, or told to end: ends all processes. */
static void
on_end_signal(int number)
{
    for (int i = 0; i < MachineCount; i++) {
        if (Machines[i].pid > 0) {
            kill(Machines[i].pid, SIGKILL);
        }
    }
    _exit(number == SIGALRM ? 2 : 128 + number);
}

void
finish(int code)
{
    for (int i = 0; i < MachineCount; i++) {
        if (Machines[i].pid > 0) {
            kill(Machines[i].pid, SIGCONT);
            kill(Machines[i].pid, SIGKILL);
            waitpid(Machines[i].pid, NULL, 0);
        }
    }
    note("result %d: %s", code,
         code == 0   ? "the rule held"
         : code == 1 ? "THE RULE WAS BROKEN"
                     : "the case could not run");
    if (getenv("REVIEW_KEEP") == NULL) {
        (void)nftw(Folder, remove_path, 16, FTW_DEPTH | FTW_PHYS);
    }
    printf("result %d\n", code);
    fflush(stdout);
    _exit(code);
}

static int
bind_to(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    int one = 1;
    int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(s, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(s, 128) != 0)
    {
        close(s);
        return -1;
    }
    return s;
}

static bool
are_ports_free(int base)
{
    for (int i = 0; i < 10; i++) {
        int s = bind_to("0.0.0.0", base + i);
        if (s < 0) {
            return false;
        }
        close(s);
    }
    return true;
}

void
rig_open(const char *folder)
{
    char path[300];
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    Record = fopen(path, "w");
    if (Record == NULL) {
        fprintf(stderr, "no %s\n", path);
        _exit(2);
    }
    Began = now_ms();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_end_signal);
    signal(SIGINT, on_end_signal);
    signal(SIGALRM, on_end_signal);
    alarm(118);
    const char *trouble = getenv("TROUBLE");
    Trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    snprintf(Folder, sizeof(Folder), "/tmp/review-XXXXXX");
    if (mkdtemp(Folder) == NULL || getcwd(Root, sizeof(Root)) == NULL) {
        finish(2);
    }
    unsigned seed = (unsigned)getpid();
    int source = open("/dev/urandom", O_RDONLY | O_CLOEXEC);
    (void)!read(source, &seed, sizeof(seed));
    close(source);
    srand(seed);
    int base = 0;
    for (int i = 0; i < 50 && base == 0; i++) {
        int tried = 20000 + (rand() % 1000) * 10;
        base = are_ports_free(tried) ? tried : 0;
    }
    if (base == 0) {
        finish(2);
    }
    FrontPort = base;
    ReadyPort = base + 1;
    ControlPort = base + 2;
    DirectoryPort = base + 3;
    MetricsPort = base + 4;
    InternalPort = base + 5;
    ServerPort = base + 6;
    Net = 64 + rand() % 128;
    note("ports from %d, addresses 127.%d.x.y, trouble %d", base, Net,
         Trouble);
    if (getenv("REVIEW_KEEP") != NULL) {
        printf("logs and data stay in %s\n", Folder);
    }
}

static void
set_ip(char ip[20], int zone, int host)
{
    snprintf(ip, 20, "127.%hhu.%hhu.%hhu", (unsigned char)Net,
             (unsigned char)(zone + 1), (unsigned char)host);
}

Machine_t *
add_machine(const char *name, int zone, bool is_core)
{
    Machine_t *machine = &Machines[MachineCount++];
    snprintf(machine->name, sizeof(machine->name), "%s", name);
    set_ip(machine->ip, zone, 10 + MachineCount);
    machine->zone = zone;
    machine->is_core = is_core;
    if (is_core) {
        snprintf(machine->data_dir, sizeof(machine->data_dir), "%s/%s", Folder,
                 name);
        mkdir(machine->data_dir, 0700);
        int count = 0;
        for (char *at = Seeds; *at != '\0'; at++) {
            count += *at == ',';
        }
        if (Seeds[0] == '\0' || count < 2) {
            snprintf(Seeds + strlen(Seeds), sizeof(Seeds) - strlen(Seeds),
                     "%s%s:%d", Seeds[0] != '\0' ? "," : "", machine->ip,
                     ControlPort);
        }
    }
    return machine;
}

Machine_t *
machine_named(const char *name)
{
    for (int i = 0; i < MachineCount; i++) {
        if (strcmp(Machines[i].name, name) == 0) {
            return &Machines[i];
        }
    }
    finish(2);
}

/** The environment of deploy/system.toml, its placeholders filled in. */
static void
set_environment(const Machine_t *m, bool bootstrap)
{
    char text[300];
    char zones[200] = "";
    clearenv();
    setenv("PATH", "/usr/bin:/bin", 1);
    setenv("HOME", "/tmp", 1);
    setenv("LANG", "C", 1);
    for (int i = 0; i < ZONES; i++) {
        snprintf(zones + strlen(zones), sizeof(zones) - strlen(zones),
                 "%s%s=%s", i > 0 ? "," : "", ZoneNames[i], RegionNames[i]);
    }
    setenv("EBONYYARD_ID", m->name, 1);
    setenv("EBONYYARD_REGION", RegionNames[m->zone], 1);
    setenv("EBONYYARD_ZONE", ZoneNames[m->zone], 1);
    if (m->is_core) {
        snprintf(text, sizeof(text), "%s:%d,%s:%d,%s:%d", m->ip, ControlPort,
                 m->ip, DirectoryPort, m->ip, MetricsPort);
        setenv("EBONYYARD_LISTEN", text, 1);
        setenv("EBONYYARD_DATA_DIR", m->data_dir, 1);
        setenv("EBONYYARD_MAY_FOUND", bootstrap ? "true" : "false", 1);
    }
    else {
        snprintf(text, sizeof(text), "%s:%d,%s:%d", m->ip, ReadyPort, m->ip,
                 MetricsPort);
        setenv("EBONYYARD_LISTEN", text, 1);
        snprintf(text, sizeof(text), "%s:%d", m->ip, FrontPort);
        setenv("EBONYYARD_ROUTED_LISTEN", text, 1);
        setenv("EBONYYARD_RETRY_RATIO", "0.2", 1);
        setenv("EBONYYARD_RETRY_SLACK", "52", 1);
        setenv("EBONYYARD_RETRY_WINDOW_S", "10", 1);
    }
    snprintf(text, sizeof(text), "%s:%d", m->ip, InternalPort);
    setenv("EBONYYARD_PEER_LISTEN", text, 1);
    setenv("EBONYYARD_CONTROL", Seeds, 1);
    snprintf(text, sizeof(text), "%d", InternalPort);
    setenv("EBONYYARD_CONTROL_PORT", text, 1);
    setenv("EBONYYARD_ZONES", zones, 1);
    setenv("EBONYYARD_INSECURE_PEERS", "1", 1);
    setenv("EBONYYARD_LOG_FORMAT", "json", 1);
    setenv("EBONYYARD_HEADERS", "platform", 1);
    setenv("EBONYYARD_BACKEND_TTL_MS", "6000", 1);
    setenv("EBONYYARD_TAKES_JOINERS", "1", 1);
    setenv("EBONYYARD_STOP_LINGER_MS", "2500", 1);
}

void
start_machine(Machine_t *machine, bool bootstrap)
{
    char log[300];
    snprintf(log, sizeof(log), "%s/%s.log", Folder, machine->name);
    machine->starts++;
    pid_t pid = fork();
    if (pid == 0) {
        alarm(0);
        signal(SIGTERM, SIG_DFL);
        signal(SIGINT, SIG_DFL);
        signal(SIGALRM, SIG_DFL);
        signal(SIGPIPE, SIG_DFL);
        int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        set_environment(machine, bootstrap);
        const char *program = machine->is_core ? "target/ebonyyard-control"
                                               : "target/ebonyyard-gateway";
        execl(program, program, (char *)NULL);
        _exit(127);
    }
    machine->pid = pid;
    note("platform: %s starts (start %d)", machine->name, machine->starts);
}

void
signal_machine(Machine_t *machine, int number)
{
    note("platform: signal %d (%s) to %s", number, strsignal(number),
         machine->name);
    if (machine->pid > 0) {
        kill(machine->pid, number);
    }
}

void
kill_machine(Machine_t *machine)
{
    signal_machine(machine, SIGKILL);
    waitpid(machine->pid, NULL, 0);
    machine->pid = 0;
}

int64_t
resident_bytes(const Machine_t *machine)
{
    char path[60];
    long pages = 0;
    snprintf(path, sizeof(path), "/proc/%d/statm", (int)machine->pid);
    FILE *file = machine->pid > 0 ? fopen(path, "r") : NULL;
    if (file != NULL) {
        if (fscanf(file, "%*s %ld", &pages) != 1) {
            pages = 0;
        }
        fclose(file);
    }
    return (int64_t)pages * sysconf(_SC_PAGESIZE);
}

/* HTTP */

typedef struct Conn {
    int socket;
    char buffer[65536];
    size_t size;
} Conn_t;

/** Reads more; 0: end, -1: error or timeout. */
static int
read_more(Conn_t *conn, int64_t deadline)
{
    if (conn->size >= sizeof(conn->buffer) - 1) {
        return -1;
    }
    int64_t left = deadline - now_ms();
    struct pollfd event = {.fd = conn->socket, .events = POLLIN};
    if (left <= 0 || poll(&event, 1, (int)left) <= 0) {
        errno = ETIMEDOUT;
        return -1;
    }
    ssize_t got = recv(conn->socket, conn->buffer + conn->size,
                       sizeof(conn->buffer) - 1 - conn->size, 0);
    if (got > 0) {
        conn->size += (size_t)got;
        conn->buffer[conn->size] = '\0';
    }
    return (int)got;
}

static bool
header_value(const char *head, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n"))
    {
        line += 2;
        if (line[0] == '\r') {
            break;
        }
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *from = line + length + 1;
            while (*from == ' ') {
                from++;
            }
            size_t bytes = strcspn(from, "\r\n");
            snprintf(value, size, "%.*s", (int)bytes, from);
            return true;
        }
    }
    value[0] = '\0';
    return false;
}

static int
connect_to(const char *ip, int port, int timeout_ms)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int one = 1;
    setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(s, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS)
    {
        close(s);
        return -1;
    }
    struct pollfd event = {.fd = s, .events = POLLOUT};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&event, 1, timeout_ms) <= 0 ||
        getsockopt(s, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        close(s);
        return -1;
    }
    fcntl(s, F_SETFL, 0);
    return s;
}

/** Decodes chunks in place; true if the last chunk was there. */
static bool
decode_chunks(char *data, size_t size, char *into, size_t room, size_t *bytes)
{
    size_t at = 0;
    *bytes = 0;
    for (;;) {
        char *end = memmem(data + at, size - at, "\r\n", 2);
        if (end == NULL) {
            return false;
        }
        size_t chunk = strtoul(data + at, NULL, 16);
        at = (size_t)(end - data) + 2;
        if (chunk == 0) {
            return true;
        }
        size_t present = size - at < chunk ? size - at : chunk;
        size_t copied = present < room - *bytes ? present : room - *bytes;
        memcpy(into + *bytes, data + at, copied);
        *bytes += copied;
        if (size - at < chunk + 2) {
            return false;
        }
        at += chunk + 2;
    }
}

static void
read_answer(Conn_t *conn, Answer_t *answer, int64_t deadline)
{
    char *head_end = NULL;
    while ((head_end = strstr(conn->buffer, "\r\n\r\n")) == NULL) {
        int got = read_more(conn, deadline);
        if (got <= 0) {
            snprintf(answer->how, sizeof(answer->how), "%s",
                     got == 0             ? "connection closed"
                     : errno == ETIMEDOUT ? "timeout"
                                          : "connection reset");
            return;
        }
    }
    char head[8192];
    snprintf(head, sizeof(head), "%.*s\r\n\r\n",
             (int)(head_end - conn->buffer), conn->buffer);
    size_t start = (size_t)(head_end - conn->buffer) + 4;
    answer->status = atoi(conn->buffer + 9);
    header_value(head, "Response-Signature", answer->signature,
                 sizeof(answer->signature));
    header_value(head, "Attempt-Id", answer->attempt_id,
                 sizeof(answer->attempt_id));
    header_value(head, "Retry-After", answer->retry_after,
                 sizeof(answer->retry_after));
    char text[80];
    bool has_length = header_value(head, "Content-Length", text, sizeof(text));
    size_t length = has_length ? strtoul(text, NULL, 10) : 0;
    bool chunked =
        header_value(head, "Transfer-Encoding", text, sizeof(text)) &&
        strcasestr(text, "chunked") != NULL;
    for (;;) {
        size_t size = conn->size - start;
        if (chunked) {
            answer->whole =
                decode_chunks(conn->buffer + start, size, answer->body,
                              sizeof(answer->body) - 1, &answer->body_bytes);
        }
        else {
            answer->body_bytes =
                size < sizeof(answer->body) ? size : sizeof(answer->body) - 1;
            memcpy(answer->body, conn->buffer + start, answer->body_bytes);
            answer->whole =
                has_length ? size >= length : answer->status == 204;
        }
        answer->body[answer->body_bytes] = '\0';
        if (answer->whole) {
            return;
        }
        int got = read_more(conn, deadline);
        if (got <= 0) {
            answer->whole = got == 0 && !has_length && !chunked;
            snprintf(answer->how, sizeof(answer->how), "body cut");
            return;
        }
    }
}

int
open_connection(const char *ip, int port)
{
    return connect_to(ip, port, 1000);
}

Answer_t
call_on(int socket, const char *method, const char *path, const char *headers,
        const char *body, size_t body_bytes, int timeout_ms)
{
    Answer_t answer = {.status = 0};
    int64_t from = now_ms();
    Conn_t *conn = calloc(1, sizeof(*conn));
    conn->socket = socket;
    char head[1000];
    int bytes = snprintf(head, sizeof(head),
                         "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
                         method, path, headers, body_bytes);
    bool is_sent = send(socket, head, (size_t)bytes, MSG_NOSIGNAL) == bytes;
    size_t done = 0;
    while (is_sent && done < body_bytes) {
        ssize_t sent =
            send(socket, body + done, body_bytes - done, MSG_NOSIGNAL);
        is_sent = sent > 0;
        done += sent > 0 ? (size_t)sent : 0;
    }
    if (is_sent) {
        read_answer(conn, &answer, from + timeout_ms);
    }
    else {
        snprintf(answer.how, sizeof(answer.how), "not sent whole");
    }
    free(conn);
    answer.took_ms = now_ms() - from;
    return answer;
}

Answer_t
call(const char *ip, int port, const char *method, const char *path,
     const char *headers, const char *body, int timeout_ms)
{
    Answer_t answer = {.status = 0};
    int64_t from = now_ms();
    Conn_t *conn = calloc(1, sizeof(*conn));
    conn->socket = connect_to(ip, port, timeout_ms < 1000 ? timeout_ms : 1000);
    if (conn->socket < 0) {
        snprintf(answer.how, sizeof(answer.how), "no connection");
        free(conn);
        return answer;
    }
    size_t body_bytes = body != NULL ? strlen(body) : 0;
    char *text = NULL;
    int bytes =
        asprintf(&text,
                 "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n"
                 "Connection: close\r\n\r\n%s",
                 method, path, headers, body_bytes, body != NULL ? body : "");
    ssize_t sent = send(conn->socket, text, (size_t)bytes, MSG_NOSIGNAL);
    if (sent == bytes) {
        read_answer(conn, &answer, from + timeout_ms);
    }
    else {
        snprintf(answer.how, sizeof(answer.how), "not sent");
    }
    free(text);
    close(conn->socket);
    free(conn);
    answer.took_ms = now_ms() - from;
    return answer;
}

void
describe(const char *what, const char *id, const Answer_t *answer)
{
    note("%s %s: status %d%s%s, signature '%s', body '%s'%s, %lld ms", what,
         id, answer->status, answer->how[0] != '\0' ? ", " : "", answer->how,
         answer->signature, answer->body, answer->whole ? "" : " (not whole)",
         (long long)answer->took_ms);
}

Answer_t
request(Machine_t *front, const char *method, const char *path, const char *id,
        int deadline_ms, const char *body)
{
    char headers[400];
    snprintf(headers, sizeof(headers),
             "Host: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n",
             id, deadline_ms);
    note("client: %s %s, Attempt-Id %s, to %s", method, path, id, front->name);
    Answer_t answer = call(front->ip, FrontPort, method, path, headers, body,
                           deadline_ms + 500);
    describe("client: answer to", id, &answer);
    return answer;
}

bool
wait_ready(Machine_t *front, int timeout_ms)
{
    int64_t until = now_ms() + timeout_ms;
    while (now_ms() < until) {
        Answer_t answer = call(front->ip, ReadyPort, "GET", "/readyz",
                               "Host: x\r\n", NULL, 500);
        if (answer.status == 200) {
            note("platform: %s is ready", front->name);
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

bool
put_config(const char *json, int timeout_ms)
{
    int64_t until = now_ms() + timeout_ms;
    while (now_ms() < until) {
        for (int i = 0; i < MachineCount; i++) {
            if (!Machines[i].is_core || Machines[i].pid == 0) {
                continue;
            }
            Answer_t answer = call(
                Machines[i].ip, ControlPort, "PUT", "/v1/config/routes",
                "Host: x\r\nContent-Type: application/json\r\n", json, 1000);
            if (answer.status / 100 == 2) {
                note("operator: configuration acknowledged by %s",
                     Machines[i].name);
                return true;
            }
            if (answer.status / 100 == 4) {
                note("operator: configuration refused: %d %s", answer.status,
                     answer.body);
                return false;
            }
        }
        sleep_ms(200);
    }
    return false;
}

/* Replicas */

static void
add_run(const char *id, const char *server, const char *expected, bool ran)
{
    pthread_mutex_lock(&Lock);
    if (RunCount < RUNS_MAX) {
        Run_t *run = &Runs[RunCount++];
        snprintf(run->id, sizeof(run->id), "%s", id);
        snprintf(run->server, sizeof(run->server), "%s", server);
        snprintf(run->expected, sizeof(run->expected), "%s", expected);
        run->at_ms = now_ms();
        run->ran = ran;
    }
    pthread_mutex_unlock(&Lock);
}

int
count_runs(const char *id)
{
    int count = 0;
    pthread_mutex_lock(&Lock);
    for (int i = 0; i < RunCount; i++) {
        count += Runs[i].ran && strcmp(Runs[i].id, id) == 0;
    }
    pthread_mutex_unlock(&Lock);
    return count;
}

const Run_t *
find_run(const char *id)
{
    for (int i = 0; i < RunCount; i++) {
        if (Runs[i].ran && strcmp(Runs[i].id, id) == 0) {
            return &Runs[i];
        }
    }
    return NULL;
}

typedef struct Serving {
    Server_t *server;
    int socket;
} Serving_t;

/** Answers one request; false: the connection ends. */
static bool
serve_one(Server_t *server, Conn_t *conn)
{
    char *end = NULL;
    while ((end = strstr(conn->buffer, "\r\n\r\n")) == NULL) {
        if (read_more(conn, now_ms() + 15000) <= 0) {
            return false;
        }
    }
    size_t start = (size_t)(end - conn->buffer) + 4;
    char head[8192];
    snprintf(head, sizeof(head), "%.*s\r\n\r\n", (int)(start - 4),
             conn->buffer);
    char text[80];
    size_t length = header_value(head, "Content-Length", text, sizeof(text))
                        ? strtoul(text, NULL, 10)
                        : 0;
    /* The body isn't kept. */
    size_t present = conn->size - start;
    size_t used = present < length ? present : length;
    conn->size = present - used;
    memmove(conn->buffer, conn->buffer + start + used, conn->size);
    conn->buffer[conn->size] = '\0';
    for (size_t left = length - used; left > 0;) {
        char block[16384];
        ssize_t got = recv(conn->socket, block,
                           left < sizeof(block) ? left : sizeof(block), 0);
        if (got <= 0) {
            return false;
        }
        left -= (size_t)got;
    }
    char id[64];
    char expected[40];
    header_value(head, "Attempt-Id", id, sizeof(id));
    header_value(head, "Expect-Instance", expected, sizeof(expected));
    char answer[1200];
    bool is_health = strncmp(head, "GET /health", 11) == 0;
    if (is_health) {
        snprintf(answer, sizeof(answer),
                 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                 "Server-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n",
                 server->id, server->slots);
    }
    else if (expected[0] != '\0' && strcmp(expected, server->id) != 0) {
        add_run(id, server->id, expected, false);
        note("replica %s: request %s expects %s: 421", server->id, id,
             expected);
        snprintf(answer, sizeof(answer),
                 "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\n"
                 "Not-Executed: 1\r\nInstance-Id: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 id, server->id);
    }
    else {
        add_run(id, server->id, expected, true);
        note("replica %s: runs %s (%.40s)", server->id, id,
             strtok(head, "\r\n"));
        sleep_ms(server->work_ms);
        if (server->stopped) {
            return false;
        }
        char body[200];
        snprintf(body, sizeof(body), "receipt of %s by %s", id, server->id);
        snprintf(answer, sizeof(answer),
                 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                 "Response-Signature: sig-%s-%s\r\n"
                 "Server-Load: 0,0,%d\r\nContent-Type: text/plain\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 id, server->id, id, server->slots, strlen(body), body);
        note("replica %s: ends %s with 200", server->id, id);
    }
    ssize_t bytes = (ssize_t)strlen(answer);
    return send(conn->socket, answer, (size_t)bytes, MSG_NOSIGNAL) == bytes;
}

static void *
serve_connection(void *data)
{
    Serving_t *serving = data;
    Conn_t *conn = calloc(1, sizeof(*conn));
    Server_t *server = serving->server;
    conn->socket = serving->socket;
    int place = -1;
    pthread_mutex_lock(&Lock);
    for (int i = 0; i < 256 && place < 0; i++) {
        place = server->sockets[i] == 0 ? i : -1;
    }
    if (place >= 0) {
        server->sockets[place] = conn->socket;
    }
    pthread_mutex_unlock(&Lock);
    while (!server->stopped && serve_one(server, conn)) {
    }
    pthread_mutex_lock(&Lock);
    if (place >= 0) {
        server->sockets[place] = 0;
    }
    close(conn->socket);
    pthread_mutex_unlock(&Lock);
    free(conn);
    free(serving);
    return NULL;
}

static void *
accept_connections(void *data)
{
    Server_t *server = data;
    while (!server->stopped) {
        struct pollfd event = {.fd = server->listener, .events = POLLIN};
        if (poll(&event, 1, 50) <= 0) {
            continue;
        }
        int s = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
        if (s < 0) {
            continue;
        }
        int one = 1;
        setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        Serving_t *serving = calloc(1, sizeof(*serving));
        serving->server = server;
        serving->socket = s;
        pthread_t thread;
        pthread_create(&thread, NULL, serve_connection, serving);
        pthread_detach(thread);
    }
    close(server->listener);
    return NULL;
}

/** Sends one heartbeat; with a delay, its second half comes that much later,
 * as from a link that holds packets back. Returns the status. */
int
heartbeat(Server_t *server, const char *state, Machine_t *core,
          int64_t split_delay_ms)
{
    char body[600];
    long serial = ++server->serial;
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_ms\":0,\"serial\":%ld,\"born\":%lld}",
             server->service, server->ip, server->port,
             ZoneNames[server->zone], server->slots, state, serial,
             (long long)server->born_ms);
    char path[100];
    snprintf(path, sizeof(path), "/v1/backends/%s", server->id);
    if (split_delay_ms == 0) {
        Answer_t answer =
            call(core->ip, ControlPort, "POST", path,
                 "Host: x\r\nContent-Type: application/json\r\n", body, 1000);
        return answer.status;
    }
    int s = connect_to(core->ip, ControlPort, 1000);
    char text[1200];
    int bytes = snprintf(text, sizeof(text),
                         "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: "
                         "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                         path, strlen(body), body);
    note("replica %s: heartbeat %ld (%s) to %s is sent; its second half is "
         "on the way for %lld ms",
         server->id, serial, state, core->name, (long long)split_delay_ms);
    (void)!send(s, text, (size_t)bytes / 2, MSG_NOSIGNAL);
    sleep_ms(split_delay_ms);
    (void)!send(s, text + bytes / 2, (size_t)(bytes - bytes / 2),
                MSG_NOSIGNAL);
    note("replica %s: heartbeat %ld (%s) has arrived at %s", server->id,
         serial, state, core->name);
    sleep_ms(500);
    close(s);
    return 0;
}

int
deregister(Server_t *server, Machine_t *core)
{
    char path[100];
    char body[100];
    snprintf(path, sizeof(path), "/v1/backends/%s", server->id);
    snprintf(body, sizeof(body), "{\"born\":%lld}",
             (long long)server->born_ms);
    Answer_t answer =
        call(core->ip, ControlPort, "DELETE", path,
             "Host: x\r\nContent-Type: application/json\r\n", body, 1000);
    note("replica %s: deregisters at %s: %d", server->id, core->name,
         answer.status);
    return answer.status;
}

void
exit_server(Server_t *server)
{
    note("replica %s: exits", server->id);
    pthread_mutex_lock(&Lock);
    server->stopped = true;
    for (int i = 0; i < 256; i++) {
        if (server->sockets[i] != 0) {
            shutdown(server->sockets[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&Lock);
}

static void *
send_heartbeats(void *data)
{
    Server_t *server = data;
    while (!server->stopped) {
        if (server->beats) {
            for (int i = 0; i < MachineCount; i++) {
                Machine_t *core = &Machines[server->pick % MachineCount];
                if (core->is_core &&
                    heartbeat(server, "serving", core, 0) / 100 == 2) {
                    break;
                }
                if (!server->only_pick) {
                    server->pick++;
                }
            }
        }
        sleep_ms(1200);
    }
    return NULL;
}

Server_t *
add_server(const char *id, int zone, const char *service, int host,
           int work_ms)
{
    Server_t *server = &Servers[ServerCount++];
    snprintf(server->id, sizeof(server->id), "%s", id);
    set_ip(server->ip, zone, 100 + host);
    snprintf(server->service, sizeof(server->service), "%s", service);
    server->port = ServerPort;
    server->zone = zone;
    server->work_ms = work_ms;
    server->slots = 6;
    server->born_ms = wall_ms();
    server->beats = true;
    server->listener = bind_to(server->ip, server->port);
    if (server->listener < 0) {
        finish(2);
    }
    pthread_t thread;
    pthread_create(&thread, NULL, accept_connections, server);
    pthread_detach(thread);
    pthread_create(&thread, NULL, send_heartbeats, server);
    pthread_detach(thread);
    return server;
}
