/**
 * The replicated log's file, control.log in the data folder: records with
 * checksums. A write is synced, then a record that confirms it is appended and
 * synced, and only then is it reported as done. Compaction writes a new file
 * and renames it over the old one.
 *
 * When the file is opened, a damaged record behind the last confirmation is
 * what a power loss left of a write that was never reported: it is dropped
 * with all that follows. Damage before a confirmation is an error, because
 * going on would lose confirmed data.
 *
 * A write that only advances the commit index is not confirmed: it promises
 * nothing to other members. Files of builds without confirmations are
 * converted when they are opened; damage anywhere in one is an error.
 */
#ifndef EY_CONFIG_RAFT_FILE_H
#define EY_CONFIG_RAFT_FILE_H

#include "config/raft.h"

#include <sys/types.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyRaftFileError {
    EY_RAFT_FILE_ERROR_FOLDER,  /* the folder can't be used: a wrong setting */
    EY_RAFT_FILE_ERROR_OPEN,    /* the file can't be opened now; try again */
    EY_RAFT_FILE_ERROR_LOCKED,  /* another process uses the folder */
    EY_RAFT_FILE_ERROR_CORRUPT, /* the content isn't as it was written */
    EY_RAFT_FILE_ERROR_WRITE,   /* not written, nothing changed; try again */
    EY_RAFT_FILE_ERROR_SYNC     /* the disk's content is unknown: recover */
} EyRaftFileError_t;

EY_ERROR_DOMAIN(RaftFile);
#define EY_RAFT_FILE_ERROR EyRaftFile_ErrorDomain()

#define EY_RAFT_FILE_NAME "control.log"
/** A damaged file that was set aside; a second name for later ones. */
#define EY_RAFT_FILE_DAMAGED_NAME "control.log.damaged"
#define EY_RAFT_FILE_DAMAGED_AGAIN_NAME "control.log.damaged-again"

/** The system calls for writing; tests replace them to inject faults. */
typedef struct EyRaftFileCalls {
    ssize_t (*write_at)(int file, const void *data, size_t size_bytes,
                        off_t offset_bytes);
    int (*sync)(int file);
} EyRaftFileCalls_t;

typedef struct EyRaftFile EyRaftFile_t;

/**
 * Opens the file in a folder, which is created if missing, and locks the
 * folder; if there is no file, creates one with a new incarnation. disk gets
 * the content, owned by the file. calls may be NULL. Returns NULL with
 * EY_RAFT_FILE_ERROR.
 */
EyRaftFile_t *
EyRaftFile_Open(const void *ctx, const char *folder,
                const EyRaftFileCalls_t *calls, EyRaftDiskState_t *disk,
                GError **error);

/**
 * Renames a damaged file, so that the next open creates a new one, with a new
 * incarnation and has_lost_data. The first damaged file is kept, and the last
 * one. Returns false with EY_RAFT_FILE_ERROR.
 */
bool
EyRaftFile_SetAside(const char *folder, GError **error);

/**
 * Writes and syncs the content of a PERSIST action. Returns false with
 * EY_RAFT_FILE_ERROR if nothing may be taken as written; after ERROR_WRITE
 * the same call may be repeated, after ERROR_SYNC all calls fail until
 * EyRaftFile_Recover.
 */
bool
EyRaftFile_Write(EyRaftFile_t *self, const EyRaftDiskWrite_t *disk_write,
                 GError **error);

/**
 * After ERROR_SYNC: drops what isn't known to be on the disk, so that the
 * failed write can be repeated. Returns false with ERROR_SYNC if the disk
 * still fails, true if there was nothing to do as well.
 */
bool
EyRaftFile_Recover(EyRaftFile_t *self, GError **error);

/** Returns the file's size, for dumps. */
uint64_t
EyRaftFile_SizeBytes(const EyRaftFile_t *self);

#ifdef __cplusplus
}
#endif

#endif
