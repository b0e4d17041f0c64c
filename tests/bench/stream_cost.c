/* What it costs to remember which version began a stream: processor time at
 * the gateway that began it and at a control process, and bytes sent. */
#include "core/clock.h"
#include "exchange/stream_message.h"

#include <stdio.h>
#include <talloc.h>
#include <time.h>

#define STREAMS 2000000U
#define BATCH 90U
#define STREAMS_PER_S 9000.0
#define COPIES 3.0

static double
now_ns(void)
{
    struct timespec time;
    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

int
main(void)
{
    EyStreamVersions_t *versions = EyStreamVersions_New(NULL);
    EyStreamRecord_t batch[BATCH];
    uint64_t bytes = 0;
    uint64_t found = 0;
    double add_ns = 0.0;
    double pack_ns = 0.0;
    double unpack_ns = 0.0;
    double find_ns = 0.0;
    for (uint32_t first = 0; first < STREAMS; first += BATCH) {
        double started_ns = now_ns();
        for (uint32_t i = 0; i < BATCH; i++) {
            char id[32];
            (void)snprintf(id, sizeof(id), "%016x", first + i);
            batch[i] = (EyStreamRecord_t){.key = EyStreamVersions_Key(id),
                                          .version = "v1.1"};
            EyStreamVersions_Add(versions, first / 9, &batch[i]);
        }
        add_ns += now_ns() - started_ns;
        const EyStreamMessage_t message = {.kind = EY_STREAM_RECORDS,
                                           .records = batch,
                                           .record_count = BATCH};
        void *ctx = talloc_new(NULL);
        started_ns = now_ns();
        EyBytes_t packed =
            EySchema_Pack(&EyStreamMessage_schema, ctx, &message);
        pack_ns += now_ns() - started_ns;
        bytes += packed.size_bytes;
        EyStreamMessage_t received;
        started_ns = now_ns();
        (void)EySchema_Unpack(&EyStreamMessage_schema, ctx, packed.data,
                              packed.size_bytes, &received, NULL);
        unpack_ns += now_ns() - started_ns;
        started_ns = now_ns();
        found +=
            EyStreamVersions_Find(versions, first / 9, batch[0].key).is_set;
        find_ns += now_ns() - started_ns;
        talloc_free(ctx);
    }
    double batches = (double)STREAMS / BATCH;
    double gateway_ns = (add_ns + COPIES * pack_ns) / STREAMS;
    double control_ns = (add_ns + unpack_ns) / STREAMS;
    printf("a stream: add %.0f ns, pack %.0f ns, unpack %.0f ns, %.1f bytes; "
           "find %.0f ns (%lu)\n",
           add_ns / STREAMS, pack_ns / STREAMS, unpack_ns / STREAMS,
           (double)bytes / STREAMS, find_ns / batches, (unsigned long)found);
    printf("at %.0f streams a second: %.4f cores at all gateways together, "
           "%.4f at each of %.0f control processes, %.0f kB/s to each\n",
           STREAMS_PER_S, gateway_ns * STREAMS_PER_S / 1e9,
           control_ns * STREAMS_PER_S / 1e9, COPIES,
           (double)bytes / STREAMS * STREAMS_PER_S / 1000);
    talloc_free(versions);
    return 0;
}
