/** Reads the content of the replicated log's file. */
#ifndef EY_CONFIG_RAFT_FILE_READER_H
#define EY_CONFIG_RAFT_FILE_READER_H

#include "config/raft_file.h"
#include "config/raft_record.h"

/** What was read of a file, beside its records' content. */
typedef struct EyRaftFileContent {
    uint64_t size_bytes;     /* of the records that were read */
    uint64_t file_id;        /* as in EyRaftCompleteRecord_t */
    uint64_t chain;          /* checksum of the last record */
    bool needs_confirmation; /* of records that must not be lost */
    EyRaftStateRecord_t state;
} EyRaftFileContent_t;

/**
 * Reads a file's content into disk, which is allocated below ctx. What is left
 * of a write that was never confirmed is passed over from its first damaged
 * record on. Returns false with EY_RAFT_FILE_ERROR_CORRUPT if records are
 * damaged that were confirmed or, in a file without confirmations, may have
 * been.
 */
bool
EyRaftFileReader_Read(const void *ctx, const uint8_t *data,
                      uint64_t size_bytes, EyRaftDiskState_t *disk,
                      EyRaftFileContent_t *content, GError **error);

#endif
