/**
 * The thread that writes a gateway's journal of idempotency records, for an
 * instance with a data folder.
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
    /** A write was synced to disk (done), or it failed and is repeated until
     * it is done; called on the main thread. */
    void (*written)(void *data, uint64_t serial, bool done);
    /** Returns a snapshot for a compaction, as a talloc child of ctx; called
     * on the main thread. */
    EyGroupState_t *(*snapshot)(void *data, const void *ctx);
    void *data;
} EyRecordStorageHooks_t;

/**
 * Opens the journal in a folder, sets *restored to the stored state (owned by
 * the journal; NULL: nothing was stored) and starts the thread. Returns NULL
 * with EY_JOURNAL_ERROR on failure.
 */
EyRecordStorage_t *
EyRecordStorage_Start(const void *ctx, const char *folder,
                      struct tevent_context *loop,
                      const EyRecordStorageHooks_t *hooks,
                      EyGroupState_t **restored, GError **error);

/** Queues a copy of a state to be written; the written hook reports the
 * result. */
void
EyRecordStorage_Write(EyRecordStorage_t *self, const EyGroupState_t *state);

/** Completes the queued writes, ends the thread and frees self. Writes that
 * fail are given up; they were never reported as done. */
void
EyRecordStorage_Stop(EyRecordStorage_t *self);

#ifdef __cplusplus
}
#endif

#endif
