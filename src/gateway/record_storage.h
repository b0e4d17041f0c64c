/**
 * The thread that keeps a gateway's record journal, for an instance with a
 * disk.
 */
#ifndef EY_GATEWAY_RECORD_STORAGE_H
#define EY_GATEWAY_RECORD_STORAGE_H

#include "core/timers.h"
#include "idempotency/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRecordStorage EyRecordStorage_t;

typedef struct EyRecordStorageHooks {
    /** A write is on the disk, or failed; on the loop's thread. */
    void (*written)(void *data, uint64_t serial, bool done);
    /** Gives a snapshot below ctx for a compaction; on the loop's thread. */
    EyGroupState_t *(*snapshot)(void *data, const void *ctx);
    void *data;
} EyRecordStorageHooks_t;

/**
 * Opens the journal in a folder, below which *restored comes (NULL: nothing
 * was stored), and starts the thread; NULL with EY_JOURNAL_ERROR.
 */
EyRecordStorage_t *
EyRecordStorage_Start(const void *ctx, const char *folder,
                      struct tevent_context *loop,
                      const EyRecordStorageHooks_t *hooks,
                      EyGroupState_t **restored, GError **error);

/** Writes a state, which is copied; the hook tells the end. */
void
EyRecordStorage_Write(EyRecordStorage_t *self, const EyGroupState_t *state);

/** Writes what waits and ends the thread. */
void
EyRecordStorage_Stop(EyRecordStorage_t *self);

#ifdef __cplusplus
}
#endif

#endif
