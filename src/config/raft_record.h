/**
 * The records of the replicated log's file. Each one is a header, a packed
 * payload and a trailer; the header and the payload have checksums.
 *
 * From the file's COMPLETE record on, a record's checksum includes that of the
 * record before it, so that stale bytes of another file, or of an earlier
 * content of this one, are never taken for records.
 */
#ifndef EY_CONFIG_RAFT_RECORD_H
#define EY_CONFIG_RAFT_RECORD_H

#include "config/raft.h"

#include <glib.h>

typedef enum EyRaftRecordKind {
    EY_RAFT_RECORD_HEAD = 1, /* incarnation; the first record of a file */
    EY_RAFT_RECORD_STATE,    /* cluster, term, vote, commit */
    EY_RAFT_RECORD_SNAPSHOT,
    EY_RAFT_RECORD_ENTRY,        /* replaces the entries from its index on */
    EY_RAFT_RECORD_TRUNCATE,     /* drops the entries from its index on */
    EY_RAFT_RECORD_COMPLETE,     /* ends the records written before the file's
                                  * rename; a file without it is corrupt */
    EY_RAFT_RECORD_CONFIRMATION, /* all records before it were synced, and may
                                  * have been confirmed */
    EY_RAFT_RECORD_KIND_END
} EyRaftRecordKind_t;

/** Payload of HEAD. */
typedef struct EyRaftHeadRecord {
    uint64_t incarnation;
    bool has_lost_data; /* as in EyRaftDiskState_t */
} EyRaftHeadRecord_t;

/** Payload of COMPLETE. */
typedef struct EyRaftCompleteRecord {
    uint64_t incarnation;
    uint64_t file_id; /* random; 0 in files of builds without confirmations */
} EyRaftCompleteRecord_t;

/** Payload of CONFIRMATION. */
typedef struct EyRaftConfirmationRecord {
    uint64_t file_id;
    uint64_t offset_bytes; /* its own place in the file */
    uint64_t chain;        /* checksum of the record before it */
} EyRaftConfirmationRecord_t;

/** Payload of STATE. */
typedef struct EyRaftStateRecord {
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;
    uint64_t commit;
} EyRaftStateRecord_t;

/** Payload of TRUNCATE. */
typedef struct EyRaftTruncateRecord {
    uint64_t from_index;
} EyRaftTruncateRecord_t;

extern const EySchema_t EyRaftHeadRecord_schema;
extern const EySchema_t EyRaftCompleteRecord_schema;
extern const EySchema_t EyRaftConfirmationRecord_schema;
extern const EySchema_t EyRaftStateRecord_schema;
extern const EySchema_t EyRaftTruncateRecord_schema;

/** A record within a file's content. */
typedef struct EyRaftRecord {
    EyRaftRecordKind_t kind;
    EyBytes_t payload;    /* within the content */
    uint64_t whole_bytes; /* header, payload and trailer */
    uint64_t checksum;    /* of the header, which has that of the payload */
} EyRaftRecord_t;

typedef enum EyRaftRecordStatus {
    EY_RAFT_RECORD_VALID,
    EY_RAFT_RECORD_INCOMPLETE,  /* the content ends within it */
    EY_RAFT_RECORD_BAD_HEADER,  /* or of an unknown kind */
    EY_RAFT_RECORD_BAD_CHECKSUM /* of the payload, or a wrong trailer */
} EyRaftRecordStatus_t;

/** Appends a record to a buffer; chain: the checksum of the record before it
 * or, up to COMPLETE and for CONFIRMATION, 0. Returns its checksum. */
uint64_t
EyRaftRecord_Add(GByteArray *buffer, uint64_t chain, EyRaftRecordKind_t kind,
                 const EySchema_t *schema, const void *object);

/** Reads the record at the start of data; chain as in EyRaftRecord_Add, but
 * not used for CONFIRMATION. */
EyRaftRecordStatus_t
EyRaftRecord_Read(const uint8_t *data, uint64_t size_bytes, uint64_t chain,
                  EyRaftRecord_t *record);

/** True if two states differ in the commit index at most, which may be lost:
 * it promises nothing to other members. */
bool
EyRaftStateRecord_HasSamePromises(const EyRaftStateRecord_t *one,
                                  const EyRaftStateRecord_t *other);

/** Size of a file's content without the zeros at its end: space that was never
 * written reads as zeros after a power failure, and a record ends in none. */
uint64_t
EyRaftRecord_ContentBytes(const uint8_t *data, uint64_t size_bytes);

#endif
