/** Starts and signals processes for tests and sends them HTTP requests. */
#ifndef EY_TESTS_PROCESS_HARNESS_H
#define EY_TESTS_PROCESS_HARNESS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/resource.h>
#include <sys/types.h>

#define HARNESS_ARGS_MAX 48
#define HARNESS_ARG_SIZE_BYTES 512

/** A process under test; its stdout and stderr go to a log file in the build
 * folder whose name contains the process's name. */
typedef struct Process {
    pid_t pid;
    char name[64];
    char program[64];
    char args[HARNESS_ARGS_MAX][HARNESS_ARG_SIZE_BYTES];
    uint32_t arg_count;
    uint16_t port; /* for HTTP */
    uint16_t peer_port;
} Process_t;

/** An HTTP answer; body is NUL-terminated, or NULL if nothing was received. */
typedef struct Reply {
    long status;         /* 0: no status line was received */
    bool complete;       /* the transfer completed without an error */
    bool connect_failed; /* connecting failed, so the request was not sent */
    char outcome[16];
    char retry_after[16];
    char not_executed[8]; /* "1": refused, with the platform's headers */
    char request_id[256];
    char *body;
    size_t body_size_bytes;
    double total_ms;
} Reply_t;

/** Blocks of ports, of which each test process uses one. */
#define HARNESS_FIRST_PORT 10000
#define HARNESS_BLOCK_PORTS 100
#define HARNESS_PORT_BLOCKS 200

/** Returns a free loopback port that it has not returned before, and that no
 * other test process is given as long as this one runs. */
uint16_t
Harness_FreePort(void);

/** Creates an empty folder for one process in the build folder. */
void
Harness_MakeFolder(char *path, size_t path_size_bytes, const char *name);

/** Creates an empty folder in memory: storage there never waits for a disk.
 * The caller removes it with Harness_RemoveFolder. */
void
Harness_MakeMemoryFolder(char *path, size_t path_size_bytes, const char *name);

/** Removes a folder and the files in it. */
void
Harness_RemoveFolder(const char *path);

/** Sets the folders of the programs and of their logs, both the build folder
 * unless set; they must outlive all processes. */
void
Harness_SetFolders(const char *programs, const char *logs);

/** Describes a process of a program; not started yet. */
Process_t
Process_Make(const char *program, const char *name);

/** Adds an argument and frees text with g_free; see Process_Arg. */
void
Process_AddArg(Process_t *self, char *text);

/** Adds an argument that is formatted as by printf. */
#define Process_Arg(self, ...)                                                \
    Process_AddArg((self), g_strdup_printf(__VA_ARGS__))

/** Starts the process, or restarts it with the same arguments. */
void
Process_Start(Process_t *self);

/** Most memory that the process has used so far, in kB; 0 if it has ended. */
int64_t
Process_PeakKb(const Process_t *self);

/** Sends a signal. */
void
Process_Signal(const Process_t *self, int signal_number);

/** Limits the size of the files that the process writes, which stands in for a
 * full disk; RLIM_INFINITY: no limit. Each write that goes beyond fails; the
 * process must have been started with SIGXFSZ ignored. */
void
Process_LimitFiles(const Process_t *self, rlim_t size_bytes);

/** Waits for the process to end. Returns its exit code, the negated number of
 * the signal that ended it, or -1000 if it still runs after timeout_ms. */
int
Process_Wait(Process_t *self, int64_t timeout_ms);

/** Sends SIGKILL and waits for the end; does nothing if the process isn't
 * running. */
void
Process_Kill(Process_t *self);

/** Waits until GET path on the process's port answers with the status; false
 * after timeout_ms. */
bool
Process_AwaitStatus(const Process_t *self, const char *path, long status,
                    int64_t timeout_ms);

/** Sends one HTTP request; headers is a NULL-terminated list or NULL, body
 * may be NULL. The caller clears the result with Reply_Clear. */
Reply_t
Http_Call(uint16_t port, const char *method, const char *path,
          const char *const *headers, const char *body, int64_t timeout_ms);

/** Frees a reply's body. */
void
Reply_Clear(Reply_t *self);

/** The body as JSON, owned by the caller; NULL if it isn't valid JSON. */
json_t *
Reply_Json(const Reply_t *self);

void
Harness_SleepMs(int64_t duration_ms);

/** Monotonic time in milliseconds. */
int64_t
Harness_NowMs(void);

#endif
