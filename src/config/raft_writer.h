/**
 * Writes the disk writes of a replica of the replicated log to its file in the
 * order in which they were added. A write that fails is repeated before any
 * later one: the file must not have a gap, and the confirmation of a write
 * covers all writes before it.
 */
#ifndef EY_CONFIG_RAFT_WRITER_H
#define EY_CONFIG_RAFT_WRITER_H

#include "config/raft_file.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The result of one try of a write; reason: why it failed, NULL if it is on
 * the disk. waiting_count: writes that are not on the disk yet. */
typedef void (*EyRaftWritten_t)(void *data, uint64_t serial,
                                const char *reason, uint32_t waiting_count);

typedef struct EyRaftWriter EyRaftWriter_t;

/** The file must outlive the writer. */
EyRaftWriter_t *
EyRaftWriter_New(const void *ctx, EyRaftFile_t *file, EyRaftWritten_t written,
                 void *data);

/** Adds a write and takes ownership of it, a talloc object without a parent.
 * One with a snapshot replaces those that wait, as it has all their content.
 */
void
EyRaftWriter_Add(EyRaftWriter_t *self, EyRaftDiskWrite_t *disk_write);

/** Writes what waits until a write fails; returns false if one has failed;
 * the caller then has to repeat the call. */
bool
EyRaftWriter_Flush(EyRaftWriter_t *self);

#ifdef __cplusplus
}
#endif

#endif
