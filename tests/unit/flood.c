#include "flood.h"

#include "core/clock.h"
#include "raw_socket.h"

#include <dirent.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BLOCK_BYTES 65536
#define POLL_INTERVAL_US 1000
#define NS_PER_MS 1000000U

/** Fills the block with whole copies of the text; returns the bytes used. */
static size_t
fill(char block[BLOCK_BYTES], const char *text)
{
    size_t text_bytes = strlen(text);
    size_t used_bytes = BLOCK_BYTES - BLOCK_BYTES % text_bytes;
    for (size_t i = 0; i < used_bytes; i++) {
        block[i] = text[i % text_bytes];
    }
    return used_bytes;
}

void
flood_run(Flood_t *flood, int socket)
{
    char block[BLOCK_BYTES];
    size_t block_bytes = fill(block, flood->repeated);
    int64_t until_ms = EyClock_NowMs() + flood->max_ms;
    bool is_open = raw_send_text(socket, flood->first);
    __atomic_store_n(&flood->started, true, __ATOMIC_SEQ_CST);
    while (is_open && flood_sent_bytes(flood) < flood->max_bytes &&
           EyClock_NowMs() < until_ms)
    {
        is_open = raw_send(socket, block, block_bytes);
        (void)__atomic_add_fetch(&flood->sent_bytes, is_open ? block_bytes : 0,
                                 __ATOMIC_SEQ_CST);
    }
    __atomic_store_n(is_open ? &flood->reached_bound : &flood->was_cut, true,
                     __ATOMIC_SEQ_CST);
}

bool
flood_is_started(const Flood_t *flood)
{
    return __atomic_load_n(&flood->started, __ATOMIC_SEQ_CST);
}

bool
flood_was_cut(const Flood_t *flood, int64_t timeout_ms)
{
    int64_t until_ms = EyClock_NowMs() + timeout_ms;
    while (!__atomic_load_n(&flood->was_cut, __ATOMIC_SEQ_CST)) {
        if (EyClock_NowMs() >= until_ms ||
            __atomic_load_n(&flood->reached_bound, __ATOMIC_SEQ_CST))
        {
            return false;
        }
        (void)usleep(POLL_INTERVAL_US);
    }
    return true;
}

uint64_t
flood_sent_bytes(const Flood_t *flood)
{
    return __atomic_load_n(&flood->sent_bytes, __ATOMIC_SEQ_CST);
}

/** The time that a thread has waited for a processor, in ns; 0 if the thread
 * has ended. */
static uint64_t
thread_wait_ns(const char *thread_id)
{
    char path[PATH_MAX];
    (void)snprintf(path, sizeof(path), "/proc/self/task/%s/schedstat",
                   thread_id);
    FILE *file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    char line[128] = "";
    const char *read = fgets(line, sizeof(line), file);
    (void)fclose(file);
    char *wait = NULL;
    (void)strtoull(line, &wait, 10); /* time on a processor */
    return read != NULL ? strtoull(wait, NULL, 10) : 0;
}

int64_t
flood_processor_wait_ms(void)
{
    DIR *threads = opendir("/proc/self/task");
    if (threads == NULL) {
        abort();
    }
    uint64_t wait_ns = 0;
    const struct dirent *thread = NULL;
    while ((thread = readdir(threads)) != NULL) {
        wait_ns +=
            thread->d_name[0] != '.' ? thread_wait_ns(thread->d_name) : 0;
    }
    (void)closedir(threads);
    return (int64_t)(wait_ns / NS_PER_MS);
}

int64_t
flood_memory_kb(const char *name)
{
    FILE *file = fopen("/proc/self/status", "r");
    if (file == NULL) {
        abort();
    }
    char line[256];
    int64_t figure_kb = 0;
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, name, strlen(name)) == 0) {
            figure_kb = strtoll(line + strlen(name) + 1, NULL, 10);
        }
    }
    (void)fclose(file);
    return figure_kb;
}
