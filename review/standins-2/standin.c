/* Stand-ins for the cases 6 to 10: replicas, clients, the operator and the
 * part of the platform that ends processes above their memory limit. They
 * speak the users' protocol with the names of deploy/wire.toml.
 *
 *   standin replica IP:PORT ID SERVICE ZONE WORK_MS LOG CONTROL...
 *   standin call METHOD IP:PORT PATH [BODY]
 *   standin clients IP:PORT PATH COUNT BODY_BYTES DEADLINE_MS SECONDS NAME LOG
 *   standin kept IP:PORT PATH COUNT DEADLINE_MS SECONDS NAME LOG
 *   standin memory LIMIT_MB PID NAME LOG
 *
 * Log lines begin with the milliseconds since the machine's start. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 32768
#define BEAT_INTERVAL_MS 1200
#define BEAT_TIMEOUT_MS 1000

static FILE *log_file;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
read_clock_ms(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
now_ms(void)
{
    return read_clock_ms(CLOCK_BOOTTIME);
}

static void
sleep_ms(int64_t ms)
{
    if (ms > 0) {
        usleep((useconds_t)(ms * 1000));
    }
}

static void
note(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&log_lock);
    fprintf(log_file, "%lld ", (long long)now_ms());
    va_start(arguments, format);
    vfprintf(log_file, format, arguments);
    va_end(arguments);
    fputc('\n', log_file);
    fflush(log_file);
    pthread_mutex_unlock(&log_lock);
}

static void
open_log(const char *path)
{
    log_file = fopen(path, "a");
    if (log_file == NULL) {
        perror(path);
        exit(2);
    }
}

static struct sockaddr_in
parse_address(const char *text)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char ip[64];
    const char *colon = strrchr(text, ':');
    snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
    inet_pton(AF_INET, ip, &address.sin_addr);
    address.sin_port = htons((uint16_t)atoi(colon + 1));
    return address;
}

static void
set_timeout(int fd, int64_t ms)
{
    ms = ms > 1 ? ms : 1;
    struct timeval limit = {.tv_sec = ms / 1000,
                            .tv_usec = (ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

static int
connect_to(const char *text, int64_t timeout_ms)
{
    struct sockaddr_in address = parse_address(text);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    set_timeout(fd, timeout_ms);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_all(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* A message that is read from a connection: its head and its body. */
typedef struct Message {
    char head[HEAD_MAX_BYTES + 1];
    size_t body_bytes;
    char body[4096]; /* its first bytes */
} Message_t;

static const char *
header_of(const char *head, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n"))
    {
        if (strncasecmp(line + 2, name, length) == 0 &&
            line[2 + length] == ':') {
            const char *start = line + 3 + length;
            start += strspn(start, " ");
            snprintf(value, size, "%.*s", (int)strcspn(start, "\r"), start);
            return value;
        }
    }
    return NULL;
}

/* Reads one message with a Content-Length (or no body); false: the connection
 * ended, or the time ran out, before it was whole. */
static bool
read_message(int fd, Message_t *message)
{
    size_t size = 0;
    char *end = NULL;
    while (end == NULL) {
        if (size == HEAD_MAX_BYTES) {
            return false;
        }
        /* One byte at a time, so that nothing of the next message is taken. */
        ssize_t got = recv(fd, message->head + size, 1, 0);
        if (got <= 0) {
            return false;
        }
        size++;
        message->head[size] = '\0';
        if (size >= 4 && strcmp(message->head + size - 4, "\r\n\r\n") == 0) {
            end = message->head + size;
        }
    }
    char value[64];
    size_t left = 0;
    if (header_of(message->head, "Content-Length", value, sizeof(value))) {
        left = strtoull(value, NULL, 10);
    }
    message->body_bytes = 0;
    static __thread char buffer[65536];
    while (left > 0) {
        ssize_t got =
            recv(fd, buffer, left < sizeof(buffer) ? left : sizeof(buffer), 0);
        if (got <= 0) {
            return false;
        }
        if (message->body_bytes < sizeof(message->body) - 1) {
            size_t room = sizeof(message->body) - 1 - message->body_bytes;
            size_t part = (size_t)got < room ? (size_t)got : room;
            memcpy(message->body + message->body_bytes, buffer, part);
        }
        message->body_bytes += (size_t)got;
        left -= (size_t)got;
    }
    size_t shown = message->body_bytes < sizeof(message->body) - 1
                       ? message->body_bytes
                       : sizeof(message->body) - 1;
    message->body[shown] = '\0';
    return true;
}

static int
status_of(const Message_t *message)
{
    return atoi(message->head + strlen("HTTP/1.1 "));
}

/* The answer's status; 0: none came. */
static int
call(const char *method, const char *address, const char *path,
     const char *body, int64_t timeout_ms, Message_t *answer)
{
    int fd = connect_to(address, timeout_ms);
    if (fd < 0) {
        return 0;
    }
    char head[1024];
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             method, path, address, strlen(body));
    bool is_read = send_all(fd, head, strlen(head)) &&
                   send_all(fd, body, strlen(body)) &&
                   read_message(fd, answer);
    close(fd);
    return is_read ? status_of(answer) : 0;
}

/* Replica */

static struct {
    const char *address;
    const char *id;
    const char *service;
    const char *zone;
    int64_t work_ms;
    int64_t born_ms;
    char **controls;
    int control_count;
} replica;

/* Announces the replica, to the next process if one doesn't answer. */
static void *
run_beats(void *unused)
{
    (void)unused;
    for (uint64_t sequence = 1;; sequence++) {
        char path[256];
        char body[1024];
        snprintf(path, sizeof(path), "/v1/backends/%s", replica.id);
        snprintf(body, sizeof(body),
                 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                 "\"version\":\"v1\",\"slots\":6,\"state\":\"serving\","
                 "\"cold_ms\":0,\"serial\":%llu,\"born\":%lld}",
                 replica.service, replica.address, replica.zone,
                 (unsigned long long)sequence, (long long)replica.born_ms);
        int64_t next_ms = now_ms() + BEAT_INTERVAL_MS;
        static Message_t answer;
        for (int i = 0; i < replica.control_count; i++) {
            if (call("POST", replica.controls[i], path, body, BEAT_TIMEOUT_MS,
                     &answer) /
                    100 ==
                2)
            {
                break;
            }
        }
        sleep_ms(next_ms - now_ms());
    }
    return NULL;
}

static bool
answer_request(int fd, const Message_t *request)
{
    char method[16] = "";
    char path[2048] = "";
    char id[256] = "";
    char expected[256] = "";
    char text[2048];
    sscanf(request->head, "%15s %2047s", method, path);
    header_of(request->head, "Attempt-Id", id, sizeof(id));
    bool is_meant = header_of(request->head, "Expect-Instance", expected,
                              sizeof(expected)) == NULL ||
                    strcmp(expected, replica.id) == 0;
    if (strcmp(path, "/health") == 0) {
        snprintf(text, sizeof(text),
                 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,6\r\n"
                 "Content-Length: 0\r\n\r\n",
                 replica.id);
        return send_all(fd, text, strlen(text));
    }
    if (!is_meant) {
        note("%s refuses %s %s %s: meant for %s", replica.id, id, method, path,
             expected);
        snprintf(text, sizeof(text),
                 "HTTP/1.1 421 Misdirected\r\nAttempt-Id: %s\r\n"
                 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 id);
        return send_all(fd, text, strlen(text));
    }
    note("%s (%s) runs %s %s %s, %zu bytes", replica.id, replica.service, id,
         method, path, request->body_bytes);
    sleep_ms(replica.work_ms);
    char body[512];
    snprintf(body, sizeof(body), "%s did %s", replica.id, id);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: "
             "%s.%s\r\nServer-Load: 0,0,6\r\nContent-Length: %zu\r\n\r\n%s",
             id, replica.id, id, strlen(body), body);
    return send_all(fd, text, strlen(text));
}

static void *
serve_connection(void *data)
{
    int fd = (int)(intptr_t)data;
    Message_t *request = malloc(sizeof(*request));
    while (read_message(fd, request) && answer_request(fd, request)) {
    }
    close(fd);
    free(request);
    return NULL;
}

static int
run_replica(char **arguments, int count)
{
    replica.address = arguments[0];
    replica.id = arguments[1];
    replica.service = arguments[2];
    replica.zone = arguments[3];
    replica.work_ms = atoll(arguments[4]);
    open_log(arguments[5]);
    replica.controls = arguments + 6;
    replica.control_count = count - 6;
    replica.born_ms = read_clock_ms(CLOCK_REALTIME);
    struct sockaddr_in address = parse_address(replica.address);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 256) != 0)
    {
        perror(replica.address);
        return 2;
    }
    note("%s starts, service %s, born %lld", replica.id, replica.service,
         (long long)replica.born_ms);
    pthread_t thread;
    pthread_create(&thread, NULL, run_beats, NULL);
    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0 && pthread_create(&thread, NULL, serve_connection,
                                      (void *)(intptr_t)fd) == 0)
        {
            pthread_detach(thread);
        }
    }
}

/* Clients */

static struct {
    const char *address;
    const char *path;
    const char *name;
    size_t body_bytes;
    int64_t deadline_ms;
    int64_t end_ms;
    bool keeps;
    char *body;
} load;

/* Sends a request, a POST with a body of its own size; status 0: none came. */
static int
send_request(int fd, const char *id, Message_t *answer)
{
    char head[512];
    snprintf(head, sizeof(head),
             "POST %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\n"
             "Deadline-Ms: %lld\r\nContent-Length: %zu\r\n\r\n",
             load.path, id, (long long)load.deadline_ms, load.body_bytes);
    bool is_sent = send_all(fd, head, strlen(head)) &&
                   send_all(fd, load.body, load.body_bytes);
    /* An answer may come before the whole body was taken. */
    return read_message(fd, answer) ? status_of(answer) : is_sent ? 0 : -1;
}

static void *
run_client(void *data)
{
    int number = (int)(intptr_t)data;
    Message_t *answer = malloc(sizeof(*answer));
    int fd = -1;
    sleep_ms(number * load.deadline_ms / 16);
    for (int i = 1; now_ms() < load.end_ms; i++) {
        char id[64];
        snprintf(id, sizeof(id), "%s-%d-%d", load.name, number, i);
        int64_t begun_ms = now_ms();
        if (fd < 0) {
            fd = connect_to(load.address, load.deadline_ms);
        }
        if (fd < 0) {
            note("%s no connection", id);
        }
        else {
            set_timeout(fd, load.deadline_ms + 100);
            int status = send_request(fd, id, answer);
            int error = errno;
            int64_t took_ms = now_ms() - begun_ms;
            if (status > 0) {
                note("%s answered %d after %lld ms", id, status,
                     (long long)took_ms);
            }
            else {
                note("%s %s after %lld ms", id,
                     error == EAGAIN ? "deadline passed"
                                     : "connection closed without an answer",
                     (long long)took_ms);
            }
            if (!load.keeps || status <= 0 ||
                strcasestr(answer->head, "connection: close") != NULL)
            {
                close(fd);
                fd = -1;
            }
        }
        sleep_ms(begun_ms + load.deadline_ms - now_ms());
    }
    return NULL;
}

static int
run_clients(int count)
{
    pthread_t threads[64];
    load.body = malloc(load.body_bytes + 1);
    memset(load.body, 'x', load.body_bytes);
    for (int i = 0; i < count && i < 64; i++) {
        pthread_create(&threads[i], NULL, run_client, (void *)(intptr_t)i);
    }
    for (int i = 0; i < count && i < 64; i++) {
        pthread_join(threads[i], NULL);
    }
    return 0;
}

/* The platform's memory limit */

static long
resident_kb(const char *pid)
{
    char path[64];
    char line[256];
    long size = -1;
    snprintf(path, sizeof(path), "/proc/%s/status", pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmRSS: %ld", &size) == 1) {
            break;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return size;
}

/* Ends a process once it has more than its limit; returns 1 then, 0 if it has
 * ended otherwise. */
static int
watch_memory(long limit_kb, const char *pid, const char *name)
{
    long most_kb = 0;
    int64_t noted_ms = 0;
    for (;;) {
        long size_kb = resident_kb(pid);
        if (size_kb < 0) {
            note("%s has ended; most %ld MB", name, most_kb / 1024);
            return 0;
        }
        most_kb = size_kb > most_kb ? size_kb : most_kb;
        if (now_ms() - noted_ms >= 500) {
            noted_ms = now_ms();
            note("%s has %ld MB", name, size_kb / 1024);
        }
        if (size_kb > limit_kb) {
            note("%s has %ld MB, limit %ld MB: killed", name, size_kb / 1024,
                 limit_kb / 1024);
            kill((pid_t)atol(pid), SIGKILL);
            return 1;
        }
        sleep_ms(20);
    }
}

int
main(int count, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    const char *what = count > 1 ? arguments[1] : "";
    if (strcmp(what, "replica") == 0 && count >= 9) {
        return run_replica(arguments + 2, count - 2);
    }
    if (strcmp(what, "call") == 0 && count >= 5) {
        static Message_t answer;
        int status = call(arguments[2], arguments[3], arguments[4],
                          count > 5 ? arguments[5] : "", 3000, &answer);
        printf("%d %s\n", status, status != 0 ? answer.body : "");
        return status / 100 == 2 ? 0 : 1;
    }
    if (strcmp(what, "clients") == 0 && count == 10) {
        load.address = arguments[2];
        load.path = arguments[3];
        load.body_bytes = strtoull(arguments[5], NULL, 10);
        load.deadline_ms = atoll(arguments[6]);
        load.end_ms = now_ms() + atoll(arguments[7]) * 1000;
        load.name = arguments[8];
        open_log(arguments[9]);
        return run_clients(atoi(arguments[4]));
    }
    if (strcmp(what, "kept") == 0 && count == 9) {
        load.address = arguments[2];
        load.path = arguments[3];
        load.body_bytes = 600;
        load.deadline_ms = atoll(arguments[5]);
        load.end_ms = now_ms() + atoll(arguments[6]) * 1000;
        load.name = arguments[7];
        load.keeps = true;
        open_log(arguments[8]);
        return run_clients(atoi(arguments[4]));
    }
    if (strcmp(what, "memory") == 0 && count == 6) {
        open_log(arguments[5]);
        return watch_memory(atol(arguments[2]) * 1024, arguments[3],
                            arguments[4]);
    }
    fprintf(stderr, "see the head of standin.c\n");
    return 2;
}
