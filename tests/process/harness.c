#include "process/harness.h"

#include "core/clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_INTERVAL_MS 20
#define STILL_RUNNING (-1000)

static const char *ProgramFolder = EY_BINARY_DIR;
static const char *LogFolder = EY_BINARY_DIR;

/** A socket bound to a port of 127.0.0.1; -1 if it is in use. */
static int
bind_port(uint16_t port)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, (struct sockaddr *)&address, sizeof(address)) != 0) {
        (void)close(descriptor);
        return -1;
    }
    return descriptor;
}

static bool
can_bind(uint16_t port)
{
    int descriptor = bind_port(port);
    if (descriptor >= 0) {
        (void)close(descriptor);
    }
    return descriptor >= 0;
}

/** The first port of a block that no other test process uses. This process
 * keeps that port bound until its end, which marks the block as used. */
static uint16_t
claim_block(void)
{
    uint32_t first = (uint32_t)getpid() % HARNESS_PORT_BLOCKS;
    for (uint32_t i = 0; i < HARNESS_PORT_BLOCKS; i++) {
        uint32_t block = (first + i) % HARNESS_PORT_BLOCKS;
        uint16_t port =
            (uint16_t)(HARNESS_FIRST_PORT + block * HARNESS_BLOCK_PORTS);
        if (bind_port(port) >= 0) {
            return port;
        }
    }
    cr_assert_fail("no block of ports is free");
    return 0;
}

/*
 * The ports are below the kernel's ephemeral range: an outgoing connection
 * could otherwise occupy a port between its choice here and the start of the
 * process that listens on it. Each test process has blocks of ports of its
 * own, as another one could otherwise take a port while its server is down.
 */
uint16_t
Harness_FreePort(void)
{
    static uint16_t first_port;
    static uint32_t ports_tried;
    for (;;) {
        if (first_port == 0 || ports_tried == HARNESS_BLOCK_PORTS) {
            first_port = claim_block();
            ports_tried = 1;
        }
        uint16_t port = (uint16_t)(first_port + ports_tried);
        ports_tried++;
        /* A port may not be free yet after an earlier process. */
        if (can_bind(port)) {
            return port;
        }
    }
}

void
Harness_SetFolders(const char *programs, const char *logs)
{
    ProgramFolder = programs;
    LogFolder = logs;
}

void
Harness_MakeFolder(char *path, size_t path_size_bytes, const char *name)
{
    (void)snprintf(path, path_size_bytes, "%s/run-%s-XXXXXX", EY_BINARY_DIR,
                   name);
    cr_assert_not_null(mkdtemp(path));
}

void
Harness_MakeMemoryFolder(char *path, size_t path_size_bytes, const char *name)
{
    (void)snprintf(path, path_size_bytes, "/dev/shm/ebonyyard-%s-XXXXXX",
                   name);
    cr_assert_not_null(mkdtemp(path));
}

void
Harness_RemoveFolder(const char *path)
{
    GDir *folder = g_dir_open(path, 0, NULL);
    cr_assert_not_null(folder, "%s", path);
    const char *name = NULL;
    while ((name = g_dir_read_name(folder)) != NULL) {
        char *file = g_build_filename(path, name, NULL);
        cr_assert_eq(remove(file), 0, "%s: %s", file, strerror(errno));
        g_free(file);
    }
    g_dir_close(folder);
    cr_assert_eq(rmdir(path), 0, "%s: %s", path, strerror(errno));
}

Process_t
Process_Make(const char *program, const char *name)
{
    Process_t process = {.pid = 0};
    (void)snprintf(process.program, sizeof(process.program), "%s", program);
    (void)snprintf(process.name, sizeof(process.name), "%s", name);
    return process;
}

void
Process_AddArg(Process_t *self, char *text)
{
    cr_assert_lt(self->arg_count, HARNESS_ARGS_MAX - 2);
    (void)snprintf(self->args[self->arg_count], HARNESS_ARG_SIZE_BYTES, "%s",
                   text);
    self->arg_count++;
    g_free(text);
}

void
Process_Start(Process_t *self)
{
    char path[512];
    char log_path[512];
    char *argv[HARNESS_ARGS_MAX + 2] = {path};
    (void)snprintf(path, sizeof(path), "%s/%s", ProgramFolder, self->program);
    (void)snprintf(log_path, sizeof(log_path), "%s/log-%s-%d.txt", LogFolder,
                   self->name, (int)getpid());
    for (uint32_t i = 0; i < self->arg_count; i++) {
        argv[i + 1] = self->args[i];
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path,
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    int result = posix_spawn(&self->pid, path, &actions, NULL, argv, environ);
    posix_spawn_file_actions_destroy(&actions);
    cr_assert_eq(result, 0, "%s: %s", path, strerror(result));
}

int64_t
Process_PeakKb(const Process_t *self)
{
    char path[64];
    gchar *text = NULL;
    (void)snprintf(path, sizeof(path), "/proc/%d/status", (int)self->pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    const char *line = strstr(text, "VmHWM:");
    int64_t peak_kb =
        line != NULL ? g_ascii_strtoll(line + strlen("VmHWM:"), NULL, 10) : 0;
    g_free(text);
    return peak_kb;
}

void
Process_Signal(const Process_t *self, int signal_number)
{
    cr_assert_gt(self->pid, 0);
    cr_assert_eq(kill(self->pid, signal_number), 0);
}

void
Process_LimitFiles(const Process_t *self, rlim_t size_bytes)
{
    const struct rlimit limit = {.rlim_cur = size_bytes,
                                 .rlim_max = RLIM_INFINITY};
    cr_assert_eq(prlimit(self->pid, RLIMIT_FSIZE, &limit, NULL), 0);
}

int
Process_Wait(Process_t *self, int64_t timeout_ms)
{
    int64_t deadline_ms = Harness_NowMs() + timeout_ms;
    int status = 0;
    while (waitpid(self->pid, &status, WNOHANG) != self->pid) {
        if (Harness_NowMs() >= deadline_ms) {
            return STILL_RUNNING;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
    self->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void
Process_Kill(Process_t *self)
{
    if (self->pid == 0) {
        return;
    }
    (void)kill(self->pid, SIGKILL);
    (void)Process_Wait(self, 10000);
}

bool
Process_AwaitStatus(const Process_t *self, const char *path, long status,
                    int64_t timeout_ms)
{
    int64_t deadline_ms = Harness_NowMs() + timeout_ms;
    while (Harness_NowMs() < deadline_ms) {
        Reply_t reply = Http_Call(self->port, "GET", path, NULL, NULL, 1000);
        long answered_status = reply.status;
        Reply_Clear(&reply);
        if (answered_status == status) {
            return true;
        }
        Harness_SleepMs(POLL_INTERVAL_MS);
    }
    return false;
}

static size_t
on_body(char *data, size_t item_size, size_t count, void *user_data)
{
    Reply_t *reply = user_data;
    size_t size_bytes = item_size * count;
    reply->body =
        g_realloc(reply->body, reply->body_size_bytes + size_bytes + 1);
    memcpy(reply->body + reply->body_size_bytes, data, size_bytes);
    reply->body_size_bytes += size_bytes;
    reply->body[reply->body_size_bytes] = '\0';
    return size_bytes;
}

static void
copy_header(const char *line, const char *name, char *value,
            size_t value_size_bytes)
{
    size_t length = strlen(name);
    if (strncasecmp(line, name, length) != 0 || line[length] != ':') {
        return;
    }
    const char *start = line + length + 1;
    start += strspn(start, " ");
    size_t size_bytes = strcspn(start, "\r\n");
    if (size_bytes >= value_size_bytes) {
        size_bytes = value_size_bytes - 1;
    }
    memcpy(value, start, size_bytes);
    value[size_bytes] = '\0';
}

static size_t
on_header(char *data, size_t item_size, size_t count, void *user_data)
{
    Reply_t *reply = user_data;
    char line[1024] = {0};
    size_t size_bytes = item_size * count;
    memcpy(line, data, size_bytes < sizeof(line) ? size_bytes : 1023);
    copy_header(line, "Ebonyyard-Outcome", reply->outcome,
                sizeof(reply->outcome));
    copy_header(line, "Retry-After", reply->retry_after,
                sizeof(reply->retry_after));
    copy_header(line, "Not-Executed", reply->not_executed,
                sizeof(reply->not_executed));
    copy_header(line, "X-Request-Id", reply->request_id,
                sizeof(reply->request_id));
    return size_bytes;
}

Reply_t
Http_Call(uint16_t port, const char *method, const char *path,
          const char *const *headers, const char *body, int64_t timeout_ms)
{
    Reply_t reply = {.status = 0};
    char url[512];
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
    struct curl_slist *list = NULL;
    for (uint32_t i = 0; headers != NULL && headers[i] != NULL; i++) {
        list = curl_slist_append(list, headers[i]);
    }
    CURL *curl = curl_easy_init();
    (void)curl_easy_setopt(curl, CURLOPT_URL, url);
    (void)curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    (void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
    (void)curl_easy_setopt(curl, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
    (void)curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
    (void)curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply);
    if (body != NULL) {
        (void)curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(curl);
    double total_s = 0;
    (void)curl_easy_getinfo(curl, CURLINFO_TOTAL_TIME, &total_s);
    reply.total_ms = total_s * 1000;
    (void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
    reply.complete = code == CURLE_OK;
    reply.connect_failed = code == CURLE_COULDNT_CONNECT;
    curl_slist_free_all(list);
    curl_easy_cleanup(curl);
    return reply;
}

void
Reply_Clear(Reply_t *self)
{
    g_free(self->body);
    self->body = NULL;
}

json_t *
Reply_Json(const Reply_t *self)
{
    return self->body != NULL ? json_loads(self->body, 0, NULL) : NULL;
}

void
Harness_SleepMs(int64_t duration_ms)
{
    (void)usleep((useconds_t)(duration_ms * 1000));
}

int64_t
Harness_NowMs(void)
{
    return EyClock_NowMs();
}
