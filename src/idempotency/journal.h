/**
 * Append-only file with the state of a group member that has a disk. Each
 * entry has its length and checksum and is synced before it is acknowledged.
 * Used by the storage thread only.
 *
 * A last entry that was truncated by a crash was never acknowledged and is
 * dropped. Corruption anywhere else makes the open fail, because a member that
 * restarts without acknowledged records could let a call run twice.
 */
#ifndef EY_IDEMPOTENCY_JOURNAL_H
#define EY_IDEMPOTENCY_JOURNAL_H

#include "core/error.h"
#include "idempotency/action.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyJournalError {
    EY_JOURNAL_ERROR_OPEN,    /* missing folder, no permission, or locked */
    EY_JOURNAL_ERROR_READ,    /* reading the file failed */
    EY_JOURNAL_ERROR_DAMAGED, /* an acknowledged entry is corrupt */
    EY_JOURNAL_ERROR_WRITE    /* the disk is full or has failed */
} EyJournalError_t;

EY_ERROR_DOMAIN(Journal);
#define EY_JOURNAL_ERROR EyJournal_ErrorDomain()

typedef struct EyJournal EyJournal_t;

/**
 * Opens the file idempotency.journal in a folder, or creates it, loads it and
 * syncs what was loaded.
 * *state is set to the state to restore a member from, a talloc child of the
 * journal, or to NULL if the file is new. Returns NULL and sets error on
 * failure.
 */
EyJournal_t *
EyJournal_Open(const void *ctx, const char *folder, EyGroupState_t **state,
               GError **error);

/**
 * Appends the state of a PERSIST action and syncs it. After an error all
 * further appends fail, and the member must get PERSIST_FAILED.
 */
bool
EyJournal_Append(EyJournal_t *self, const EyGroupState_t *state,
                 GError **error);

/** True if the file has grown enough to be worth a compaction. */
bool
EyJournal_NeedsCompaction(const EyJournal_t *self);

/** Replaces the file by one with a snapshot (EyGroup_Snapshot) of the state
 * that has been appended so far. */
bool
EyJournal_Compact(EyJournal_t *self, const EyGroupState_t *snapshot,
                  GError **error);

/**
 * Renames a damaged file to idempotency.journal.damaged, so that the next open
 * creates a new one: the member then comes back without records, as after the
 * loss of its disk. Returns false and sets error on failure.
 */
bool
EyJournal_SetAside(const char *folder, GError **error);

uint64_t
EyJournal_SizeBytes(const EyJournal_t *self);

#ifdef __cplusplus
}
#endif

#endif
