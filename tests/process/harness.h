/** Starts real processes for tests, signals them, and calls them by HTTP. */
#ifndef EY_TESTS_PROCESS_HARNESS_H
#define EY_TESTS_PROCESS_HARNESS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define HARNESS_ARGS_MAX 48
#define HARNESS_ARG_SIZE_BYTES 512

/** A process under test; its output goes to a file named for it. */
typedef struct Process {
    pid_t pid;
    char name[64];
    char program[64];
    char args[HARNESS_ARGS_MAX][HARNESS_ARG_SIZE_BYTES];
    uint32_t arg_count;
    uint16_t port; /* HTTP */
    uint16_t peer_port;
} Process_t;

/** An HTTP answer; body is NUL-terminated. */
typedef struct Reply {
    long status; /* 0: no whole answer came */
    bool whole;
    bool refused; /* no connection: the request never left */
    char outcome[16];
    char retry_after[16];
    char request_id[256];
    char *body;
    size_t body_size_bytes;
    double total_ms;
} Reply_t;

/** A free loopback port. */
uint16_t
Harness_FreePort(void);

/** A new empty folder, below the build folder, for one process. */
void
Harness_MakeFolder(char *path, size_t path_size_bytes, const char *name);

/** Describes a process of a program in the build folder. */
Process_t
Process_Make(const char *program, const char *name);

/** Adds an argument and frees its text; see Process_Arg. */
void
Process_AddArg(Process_t *self, char *text);

/** Adds an argument as printf does. */
#define Process_Arg(self, ...)                                                \
    Process_AddArg((self), g_strdup_printf(__VA_ARGS__))

/** Starts it, or starts it again after its end. */
void
Process_Start(Process_t *self);

/** Sends a signal. */
void
Process_Signal(const Process_t *self, int signal_number);

/** Waits for its end; the exit code, minus the signal's number, or -1000 if
 * it still runs after timeout_ms. */
int
Process_Wait(Process_t *self, int64_t timeout_ms);

/** Kills it and waits. Nothing if it has ended. */
void
Process_Kill(Process_t *self);

/** Waits until GET path on its port gives the status. */
bool
Process_Await(const Process_t *self, const char *path, long status,
              int64_t timeout_ms);

/** One HTTP call; headers is NULL-terminated or NULL, body may be NULL. */
Reply_t
Http_Call(uint16_t port, const char *method, const char *path,
          const char *const *headers, const char *body, int64_t timeout_ms);

/** Frees a reply's body. */
void
Reply_Clear(Reply_t *self);

/** The body as JSON, or NULL; the caller owns it. */
json_t *
Reply_Json(const Reply_t *self);

/** Sleeps. */
void
Harness_SleepMs(int64_t duration_ms);

/** Monotonic milliseconds. */
int64_t
Harness_NowMs(void);

#endif
