/**
 * The replicated log's file, control.log in the data folder: records with
 * checksums, synced before a write counts. Compaction writes a new file and
 * renames it over the old one.
 *
 * At the start a last record that was cut off is dropped: its write was never
 * confirmed. Anything else that doesn't read as written (a changed byte, an
 * unreadable file, an empty one) is refused, as going on would forget what
 * was confirmed. Whether a whole last record with a wrong checksum was cut or
 * changed can't be told, but for one whose end is still zero; so it is
 * refused as well.
 */
#ifndef EY_CONFIG_RAFT_FILE_H
#define EY_CONFIG_RAFT_FILE_H

#include "config/raft.h"

#include <sys/types.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyRaftFileError {
    EY_RAFT_FILE_ERROR_OPEN,    /* the folder or file can't be used */
    EY_RAFT_FILE_ERROR_LOCKED,  /* another process uses the folder */
    EY_RAFT_FILE_ERROR_CORRUPT, /* the content isn't as it was written */
    EY_RAFT_FILE_ERROR_WRITE,   /* not written, nothing changed; try again */
    EY_RAFT_FILE_ERROR_SYNC     /* what is on the disk isn't known: restart */
} EyRaftFileError_t;

EY_ERROR_DOMAIN(RaftFile);
#define EY_RAFT_FILE_ERROR EyRaftFile_ErrorDomain()

#define EY_RAFT_FILE_NAME "control.log"

/** The system calls by which it writes; tests put faults in. */
typedef struct EyRaftFileCalls {
    ssize_t (*write_at)(int file, const void *data, size_t size_bytes,
                        off_t offset_bytes);
    int (*sync)(int file);
} EyRaftFileCalls_t;

typedef struct EyRaftFile EyRaftFile_t;

/**
 * Opens the file in a folder, which is made if it isn't there; if there is no
 * file, makes one with a new incarnation. disk gets the content, below the
 * file. calls may be NULL. NULL with EY_RAFT_FILE_ERROR.
 */
EyRaftFile_t *
EyRaftFile_Open(const void *ctx, const char *folder,
                const EyRaftFileCalls_t *calls, EyRaftDiskState_t *disk,
                GError **error);

/**
 * Writes what a PERSIST action asks for, synced. False with
 * EY_RAFT_FILE_ERROR: nothing counts as written; after ERROR_WRITE the same
 * call may be made again, after ERROR_SYNC all further ones fail.
 */
bool
EyRaftFile_Write(EyRaftFile_t *self, const EyRaftDiskWrite_t *persist,
                 GError **error);

/** The file's size, for dumps. */
uint64_t
EyRaftFile_SizeBytes(const EyRaftFile_t *self);

#ifdef __cplusplus
}
#endif

#endif
