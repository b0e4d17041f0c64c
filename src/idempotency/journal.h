/**
 * The file in which a member with a disk keeps its state: appended entries,
 * each with its length and checksum, synced before they are acknowledged. Run
 * by the storage thread only.
 *
 * A last entry that was cut off by a crash was never acknowledged and is
 * dropped. Damage anywhere else refuses to open: coming back without records
 * that were acknowledged could run a call twice.
 */
#ifndef EY_IDEMPOTENCY_JOURNAL_H
#define EY_IDEMPOTENCY_JOURNAL_H

#include "core/error.h"
#include "idempotency/action.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyJournalError {
    EY_JOURNAL_ERROR_OPEN,    /* no such folder, no right, locked */
    EY_JOURNAL_ERROR_READ,    /* the disk can't be read */
    EY_JOURNAL_ERROR_DAMAGED, /* an entry that was acknowledged is unreadable
                               */
    EY_JOURNAL_ERROR_WRITE    /* the disk is full or broken */
} EyJournalError_t;

EY_ERROR_DOMAIN(Journal);
#define EY_JOURNAL_ERROR EyJournal_ErrorDomain()

typedef struct EyJournal EyJournal_t;

/**
 * Opens or makes the file idempotency.journal in a folder, and loads it.
 * *state, below the result, is what a member is to be restored from; NULL if
 * the file is new. The result is NULL with an error.
 */
EyJournal_t *
EyJournal_Open(const void *ctx, const char *folder, EyGroupState_t **state,
               GError **error);

/**
 * Appends the state of a PERSIST action and syncs it. After an error nothing
 * more is written: the member must get PERSIST_FAILED.
 */
bool
EyJournal_Append(EyJournal_t *self, const EyGroupState_t *state,
                 GError **error);

/** True if so much was appended that a compaction is worth its time. */
bool
EyJournal_NeedsCompaction(const EyJournal_t *self);

/** Replaces the file by one that holds a snapshot (EyGroup_Snapshot) of all
 * that was appended. */
bool
EyJournal_Compact(EyJournal_t *self, const EyGroupState_t *snapshot,
                  GError **error);

uint64_t
EyJournal_SizeBytes(const EyJournal_t *self);

#ifdef __cplusplus
}
#endif

#endif
