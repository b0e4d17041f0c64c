/**
 * Measures the overhead of the gateway: latency compared with direct calls to
 * the same backend server, alternating in one run; requests per second of
 * processor time; memory when idle and for each open stream.
 * usage: gateway-overhead GATEWAY_PORT SERVICE_PORT GATEWAY_PID [SECONDS]
 * The service is "booking", the model "visit-plan".
 */
#include "core/clock.h"
#include "core/memory.h"
#include "unit/raw_socket.h"

#include <dirent.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define WORKERS 16
#define SECONDS_DEFAULT 5
#define STREAMS 200
#define ANSWER_WAIT_MS 10000
#define SAMPLES_MAX 200000
#define US_PER_S 1000000L

static const char ByGateway[] =
    "GET /v1/services/booking/seats HTTP/1.1\r\nHost: a\r\n\r\n";
static const char Direct[] = "GET /seats HTTP/1.1\r\nHost: a\r\n\r\n";

typedef struct Samples {
    int64_t *us;
    uint32_t count;
} Samples_t;

typedef struct Worker {
    uint16_t gateway_port;
    uint16_t service_port;
    int64_t start_us;
    int64_t end_us;
    int64_t period_us; /* 0: back to back, through the gateway only */
    Samples_t by_gateway;
    Samples_t direct;
    uint64_t failed;
    pthread_t thread;
} Worker_t;

static void
add_sample(Samples_t *samples, int64_t took_us)
{
    if (samples->count < SAMPLES_MAX) {
        samples->us[samples->count++] = took_us;
    }
}

/** Makes one call; false if it isn't answered with 200. */
static bool
call(int socket, const char *request, Samples_t *samples)
{
    char text[RAW_TEXT_MAX_BYTES];
    int64_t started_us = EyClock_NowUs();
    (void)raw_send_text(socket, request);
    size_t got = raw_read_until(socket, "\r\n\r\n", ANSWER_WAIT_MS, text);
    const char *end = strstr(text, "\r\n\r\n");
    const char *length = strstr(text, "Content-Length: ");
    const char *chunked = strstr(text, "chunked");
    if (end == NULL || strncmp(text, "HTTP/1.1 200", 12) != 0 ||
        (length == NULL && chunked == NULL))
    {
        return false;
    }
    if (length != NULL) {
        size_t size_bytes = strtoul(strchr(length, ' ') + 1, NULL, 10);
        size_t wanted = (size_t)(end + 4 - text) + size_bytes;
        while (got < wanted) {
            ssize_t more = read(socket, text, wanted - got);
            if (more <= 0) {
                return false;
            }
            got += (size_t)more;
        }
    }
    else if (strstr(end, "\r\n0\r\n\r\n") == NULL) {
        char rest[RAW_TEXT_MAX_BYTES];
        (void)raw_read_until(socket, "0\r\n\r\n", ANSWER_WAIT_MS, rest);
    }
    add_sample(samples, EyClock_NowUs() - started_us);
    return true;
}

static void
sleep_until(int64_t until_us)
{
    struct timespec when = {.tv_sec = until_us / US_PER_S,
                            .tv_nsec = until_us % US_PER_S * 1000};
    (void)clock_nanosleep(CLOCK_BOOTTIME, TIMER_ABSTIME, &when, NULL);
}

static void *
run_worker(void *data)
{
    Worker_t *self = data;
    int gateway = raw_connect(self->gateway_port);
    int service = raw_connect(self->service_port);
    int64_t next_us = self->start_us;
    while (EyClock_NowUs() < self->end_us) {
        if (self->period_us > 0) {
            sleep_until(next_us);
            next_us += self->period_us;
        }
        bool done = call(gateway, ByGateway, &self->by_gateway);
        if (self->period_us > 0) {
            sleep_until(next_us - self->period_us / 2);
            done = call(service, Direct, &self->direct) && done;
        }
        self->failed += done ? 0 : 1;
    }
    (void)close(gateway);
    (void)close(service);
    return NULL;
}

static int
compare(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return (a > b) - (a < b);
}

/** Sorted samples of all workers; the caller frees them. */
static Samples_t
merge(const Worker_t *workers, bool direct)
{
    Samples_t all = {
        .us = EY_NEW_ARRAY(NULL, int64_t, (size_t)WORKERS * SAMPLES_MAX)};
    for (int i = 0; i < WORKERS; i++) {
        const Samples_t *from =
            direct ? &workers[i].direct : &workers[i].by_gateway;
        memcpy(all.us + all.count, from->us, from->count * sizeof(int64_t));
        all.count += from->count;
    }
    qsort(all.us, all.count, sizeof(int64_t), compare);
    return all;
}

static int64_t
quantile(const Samples_t *samples, double share)
{
    if (samples->count == 0) {
        return 0;
    }
    return samples->us[(uint32_t)(share * (samples->count - 1))];
}

/** Runs all workers at a rate of calls a second through the gateway and as
 * many direct ones; 0: at full load, through the gateway only. */
static void
run_workers(Worker_t *workers, const uint16_t ports[2], uint32_t seconds,
            uint64_t rate)
{
    int64_t start_us = EyClock_NowUs() + US_PER_S / 10;
    int64_t period_us = rate > 0 ? US_PER_S * WORKERS / (int64_t)rate : 0;
    for (int i = 0; i < WORKERS; i++) {
        Worker_t *worker = &workers[i];
        worker->gateway_port = ports[0];
        worker->service_port = ports[1];
        worker->start_us = start_us + period_us * i / WORKERS;
        worker->end_us = start_us + (int64_t)seconds * US_PER_S;
        worker->period_us = period_us;
        worker->failed = 0;
        worker->by_gateway.count = 0;
        worker->direct.count = 0;
        (void)pthread_create(&worker->thread, NULL, run_worker, worker);
    }
    for (int i = 0; i < WORKERS; i++) {
        (void)pthread_join(workers[i].thread, NULL);
    }
}

/** Resident memory (VmRSS) of a process in kB. */
static int64_t
memory_kb(const char *pid)
{
    char path[64];
    char line[256];
    int64_t figure_kb = 0;
    (void)snprintf(path, sizeof(path), "/proc/%s/status", pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            figure_kb = strtoll(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    return figure_kb;
}

/** Processor time that a process has used, in seconds. */
static double
processor_s(const char *pid)
{
    char path[64];
    char line[1024] = "";
    (void)snprintf(path, sizeof(path), "/proc/%s/stat", pid);
    FILE *file = fopen(path, "r");
    if (file == NULL || fgets(line, sizeof(line), file) == NULL) {
        return 0;
    }
    (void)fclose(file);
    /* Fields 14 and 15 (utime, stime); the name before them may contain
     * spaces. */
    char *field = strrchr(line, ')');
    for (int i = 0; i < 12 && field != NULL; i++) {
        field = strchr(field + 1, ' ');
    }
    if (field == NULL) {
        return 0;
    }
    char *rest = NULL;
    double ticks = strtod(field, &rest);
    ticks += strtod(rest, NULL);
    return ticks / (double)sysconf(_SC_CLK_TCK);
}

/** Time in seconds that the threads of a process were runnable but waited for
 * a processor. */
static double
waited_s(const char *pid)
{
    char path[320];
    double waited_ns = 0;
    (void)snprintf(path, sizeof(path), "/proc/%s/task", pid);
    DIR *threads = opendir(path);
    const struct dirent *thread = NULL;
    while (threads != NULL && (thread = readdir(threads)) != NULL) {
        char line[128] = "";
        (void)snprintf(path, sizeof(path), "/proc/%s/task/%s/schedstat", pid,
                       thread->d_name);
        FILE *file = fopen(path, "r");
        if (file != NULL && fgets(line, sizeof(line), file) != NULL) {
            char *second = strchr(line, ' ');
            waited_ns += second != NULL ? strtod(second, NULL) : 0;
        }
        if (file != NULL) {
            (void)fclose(file);
        }
    }
    if (threads != NULL) {
        (void)closedir(threads);
    }
    return waited_ns / 1e9;
}

static uint64_t
failures(const Worker_t *workers)
{
    uint64_t failed = 0;
    for (int i = 0; i < WORKERS; i++) {
        failed += workers[i].failed;
    }
    return failed;
}

/** Measures at full load; returns the calls a second. */
static uint64_t
measure_rate(Worker_t *workers, const uint16_t ports[2], uint32_t seconds,
             const char *pid)
{
    double used_s = processor_s(pid);
    run_workers(workers, ports, seconds, 0);
    used_s = processor_s(pid) - used_s;
    Samples_t all = merge(workers, false);
    uint64_t rate = all.count / seconds;
    (void)printf("full load: %lu requests/s, %.0f requests per second of "
                 "processor time, p50 %ld us, p99 %ld us, %lu failed\n",
                 rate, used_s > 0 ? all.count / used_s : 0,
                 quantile(&all, 0.5), quantile(&all, 0.99), failures(workers));
    talloc_free(all.us);
    return rate;
}

static void
measure_added(Worker_t *workers, const uint16_t ports[2], uint32_t seconds,
              uint64_t rate, const char *pid)
{
    double gateway_s = waited_s(pid);
    run_workers(workers, ports, seconds, rate);
    gateway_s = waited_s(pid) - gateway_s;
    Samples_t by_gateway = merge(workers, false);
    Samples_t direct = merge(workers, true);
    (void)printf("half load: %lu requests/s by each way, %u and %u calls, "
                 "%lu failed\n",
                 rate, by_gateway.count, direct.count, failures(workers));
    static const double Shares[] = {0.5, 0.9, 0.99};
    for (int i = 0; i < 3; i++) {
        int64_t with_us = quantile(&by_gateway, Shares[i]);
        int64_t without_us = quantile(&direct, Shares[i]);
        (void)printf("  p%.0f: gateway %ld us, direct %ld us, added %ld us\n",
                     Shares[i] * 100, with_us, without_us,
                     with_us - without_us);
    }
    if (by_gateway.count > 0) {
        (void)printf("  of it, the gateway's wait for a processor: mean %.0f "
                     "us a request\n",
                     gateway_s * 1e6 / by_gateway.count);
    }
    talloc_free(by_gateway.us);
    talloc_free(direct.us);
}

static void
measure_streams(uint16_t port, const char *pid)
{
    static const char Body[] =
        "{\"model\":\"visit-plan\",\"stream\":true,\"max_tokens\":100000,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"plan\"}]}";
    int sockets[STREAMS];
    char text[RAW_TEXT_MAX_BYTES];
    char request[512];
    uint32_t open = 0;
    int64_t before_kb = memory_kb(pid);
    (void)snprintf(request, sizeof(request),
                   "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
                   "Ebonyyard-Timeout-Ms: 3600000\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   sizeof(Body) - 1, Body);
    for (int i = 0; i < STREAMS; i++) {
        sockets[i] = raw_connect(port);
        (void)raw_send_text(sockets[i], request);
    }
    for (int i = 0; i < STREAMS; i++) {
        (void)raw_read_until(sockets[i], "data:", ANSWER_WAIT_MS, text);
        open += strstr(text, "data:") != NULL ? 1 : 0;
    }
    int64_t grown_kb = memory_kb(pid) - before_kb;
    (void)printf("open streams: %u of %d, %ld kB more, %.1f kB a stream\n",
                 open, STREAMS, grown_kb,
                 open > 0 ? (double)grown_kb / open : 0);
    for (int i = 0; i < STREAMS; i++) {
        (void)close(sockets[i]);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 4) {
        (void)fprintf(stderr, "usage: gateway-overhead GATEWAY_PORT "
                              "SERVICE_PORT GATEWAY_PID [SECONDS]\n");
        return 2;
    }
    const uint16_t ports[2] = {(uint16_t)strtoul(argv[1], NULL, 10),
                               (uint16_t)strtoul(argv[2], NULL, 10)};
    const char *pid = argv[3];
    uint32_t seconds = argc > 4 ? (uint32_t)strtoul(argv[4], NULL, 10) : 0;
    if (seconds == 0) {
        seconds = SECONDS_DEFAULT;
    }
    Worker_t *workers = EY_NEW_ARRAY(NULL, Worker_t, WORKERS);
    for (int i = 0; i < WORKERS; i++) {
        workers[i].by_gateway.us = EY_NEW_ARRAY(workers, int64_t, SAMPLES_MAX);
        workers[i].direct.us = EY_NEW_ARRAY(workers, int64_t, SAMPLES_MAX);
    }
    (void)printf("idle: %ld kB\n", memory_kb(pid));
    uint64_t rate = measure_rate(workers, ports, seconds, pid);
    measure_added(workers, ports, seconds, rate / 2 > 0 ? rate / 2 : 1, pid);
    measure_streams(ports[0], pid);
    talloc_free(workers);
    return 0;
}
