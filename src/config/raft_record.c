#include "config/raft_record.h"

#include "core/memory.h"

#include <string.h>
#include <xxhash.h>

#define TRAILER 0xe0b05a7dU

/** Precedes each record's payload, which TRAILER follows. */
typedef struct RecordHeader {
    uint32_t kind;
    uint32_t size_bytes;
    uint64_t payload_hash;
    uint64_t header_hash; /* of the fields above */
} RecordHeader_t;

static const EyField_t HeadFields[] = {
    EY_FIELD(EyRaftHeadRecord_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyRaftHeadRecord_t, has_lost_data, EY_FIELD_BOOL),
    EY_FIELD_END,
};
const EySchema_t EyRaftHeadRecord_schema =
    EY_SCHEMA(EyRaftHeadRecord_t, HeadFields);

static const EyField_t CompleteFields[] = {
    EY_FIELD(EyRaftCompleteRecord_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyRaftCompleteRecord_t, file_id, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyRaftCompleteRecord_schema =
    EY_SCHEMA(EyRaftCompleteRecord_t, CompleteFields);

static const EyField_t ConfirmationFields[] = {
    EY_FIELD(EyRaftConfirmationRecord_t, file_id, EY_FIELD_U64),
    EY_FIELD(EyRaftConfirmationRecord_t, offset_bytes, EY_FIELD_U64),
    EY_FIELD(EyRaftConfirmationRecord_t, chain, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyRaftConfirmationRecord_schema =
    EY_SCHEMA(EyRaftConfirmationRecord_t, ConfirmationFields);

static const EyField_t StateFields[] = {
    EY_FIELD(EyRaftStateRecord_t, cluster, EY_FIELD_U64),
    EY_FIELD(EyRaftStateRecord_t, term, EY_FIELD_U64),
    EY_FIELD_TEXT(EyRaftStateRecord_t, vote),
    EY_FIELD(EyRaftStateRecord_t, vote_incarnation, EY_FIELD_U64),
    EY_FIELD(EyRaftStateRecord_t, commit, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyRaftStateRecord_schema =
    EY_SCHEMA(EyRaftStateRecord_t, StateFields);

static const EyField_t TruncateFields[] = {
    EY_FIELD(EyRaftTruncateRecord_t, from_index, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyRaftTruncateRecord_schema =
    EY_SCHEMA(EyRaftTruncateRecord_t, TruncateFields);

static uint64_t
header_hash(const RecordHeader_t *header, uint64_t chain)
{
    return XXH64(header, offsetof(RecordHeader_t, header_hash),
                 TRAILER ^ chain);
}

uint64_t
EyRaftRecord_Add(GByteArray *buffer, uint64_t chain, EyRaftRecordKind_t kind,
                 const EySchema_t *schema, const void *object)
{
    EyBytes_t payload = EySchema_Pack(schema, NULL, object);
    RecordHeader_t header = {
        .kind = (uint32_t)kind,
        .size_bytes = payload.size_bytes,
        .payload_hash = XXH64(payload.data, payload.size_bytes, kind),
    };
    header.header_hash = header_hash(&header, chain);
    uint32_t trailer = TRAILER;
    g_byte_array_append(buffer, (const guint8 *)&header, sizeof(header));
    g_byte_array_append(buffer, payload.data, payload.size_bytes);
    g_byte_array_append(buffer, (const guint8 *)&trailer, sizeof(trailer));
    talloc_free(payload.data);
    return header.header_hash;
}

EyRaftRecordStatus_t
EyRaftRecord_Read(const uint8_t *data, uint64_t size_bytes, uint64_t chain,
                  EyRaftRecord_t *record)
{
    RecordHeader_t header;
    if (size_bytes < sizeof(header)) {
        return EY_RAFT_RECORD_INCOMPLETE;
    }
    memcpy(&header, data, sizeof(header));
    /* It has to be found behind damaged records. */
    bool is_chained = header.kind != EY_RAFT_RECORD_CONFIRMATION;
    if (header.header_hash != header_hash(&header, is_chained ? chain : 0) ||
        header.kind < EY_RAFT_RECORD_HEAD ||
        header.kind >= EY_RAFT_RECORD_KIND_END)
    {
        return EY_RAFT_RECORD_BAD_HEADER;
    }
    const uint8_t *payload = data + sizeof(header);
    uint32_t trailer = 0;
    *record = (EyRaftRecord_t){
        .kind = (EyRaftRecordKind_t)header.kind,
        .payload = {.data = (uint8_t *)payload,
                    .size_bytes = header.size_bytes},
        .whole_bytes =
            sizeof(header) + (uint64_t)header.size_bytes + sizeof(trailer),
        .checksum = header.header_hash,
    };
    if (record->whole_bytes > size_bytes) {
        return EY_RAFT_RECORD_INCOMPLETE;
    }
    memcpy(&trailer, payload + header.size_bytes, sizeof(trailer));
    bool is_valid =
        trailer == TRAILER &&
        header.payload_hash == XXH64(payload, header.size_bytes, header.kind);
    return is_valid ? EY_RAFT_RECORD_VALID : EY_RAFT_RECORD_BAD_CHECKSUM;
}

bool
EyRaftStateRecord_HasSamePromises(const EyRaftStateRecord_t *one,
                                  const EyRaftStateRecord_t *other)
{
    return one->cluster == other->cluster && one->term == other->term &&
           one->vote_incarnation == other->vote_incarnation &&
           strcmp(one->vote, other->vote) == 0;
}

uint64_t
EyRaftRecord_ContentBytes(const uint8_t *data, uint64_t size_bytes)
{
    while (size_bytes > 0 && data[size_bytes - 1] == 0) {
        size_bytes--;
    }
    return size_bytes;
}
