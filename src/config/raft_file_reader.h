/** Reads the content of the replicated log's file. */
#ifndef EY_CONFIG_RAFT_FILE_READER_H
#define EY_CONFIG_RAFT_FILE_READER_H

#include "config/raft_file.h"

/** Reads a file's content into disk, which is allocated below ctx. Returns the
 * size of the records that were read, behind which an incomplete one may
 * follow; 0 with EY_RAFT_FILE_ERROR_CORRUPT. */
uint64_t
EyRaftFileReader_Read(const void *ctx, const uint8_t *data,
                      uint64_t size_bytes, EyRaftDiskState_t *disk,
                      GError **error);

#endif
