/**
 * The file of the replicated log and the thread that writes it. Writes are
 * made in order; one that fails is repeated until it is done, and later ones
 * wait for it.
 */
#ifndef EY_CONTROL_RAFT_STORAGE_H
#define EY_CONTROL_RAFT_STORAGE_H

#include "config/raft_writer.h"

#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A try to write the write with this serial has ended. Called on the thread
 * of the loop. */
typedef void (*EyRaftStored_t)(void *data, uint64_t serial, bool done);

typedef struct EyRaftStorage EyRaftStorage_t;

/** Opens the file in folder, reads it into disk and starts the thread; NULL
 * with EY_RAFT_FILE_ERROR. A damaged file is set aside, and a new one created
 * with has_lost_data. */
EyRaftStorage_t *
EyRaftStorage_Start(const void *ctx, const char *folder,
                    struct tevent_context *loop, EyRaftStored_t stored,
                    void *data, EyRaftDiskState_t *disk, GError **error);

/** True if a start that failed with this error may succeed later, as on a disk
 * that was full; else a setting is wrong. */
bool
EyRaftStorage_MayOpenLater(const GError *error);

/** Passes a disk write to the thread; takes ownership of it, a talloc object
 * without a parent. */
void
EyRaftStorage_Write(EyRaftStorage_t *self, EyRaftDiskWrite_t *disk_write);

/** Ends the thread. Writes that keep failing are given up; they were never
 * reported as done. */
void
EyRaftStorage_Stop(EyRaftStorage_t *self);

#ifdef __cplusplus
}
#endif

#endif
