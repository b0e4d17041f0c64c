/**
 * Idempotency records and the bounded table that holds them, in the order of
 * their versions.
 */
#ifndef EY_IDEMPOTENCY_RECORD_H
#define EY_IDEMPOTENCY_RECORD_H

#include "core/schema.h"
#include "core/types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Longest stored answer, packed. */
#define EY_RECORD_ANSWER_MAX_BYTES (1280 * 1024)

typedef enum EyRecordState {
    EY_RECORD_CLAIMED,   /* may run, by its claimant only */
    EY_RECORD_COMPLETED, /* ran; the answer is stored */
    EY_RECORD_NOT_RUN,   /* its claimant said so; may be claimed anew */
    EY_RECORD_UNKNOWN,   /* may have run; never runs again */
    EY_RECORD_STATE_COUNT
} EyRecordState_t;

extern const char *const EyRecord_state_names[EY_RECORD_STATE_COUNT];

/** Which attempt holds a key: one request of one process. */
typedef struct EyClaimId {
    EyName_t instance;
    uint64_t incarnation; /* of the process */
    uint64_t number;      /* of the request within the process */
} EyClaimId_t;

typedef struct EyRecord {
    char *key;
    uint64_t version;
    EyRecordState_t state;
    EyClaimId_t claim;
    uint64_t fingerprint; /* of the request */
    int64_t age_ms;       /* since the last change; on the wire only */
    EyBytes_t answer;
} EyRecord_t;

extern const EySchema_t EyClaimId_schema;
extern const EySchema_t EyRecord_schema;

/** True if both name the same attempt. */
bool
EyClaimId_Equals(const EyClaimId_t *a, const EyClaimId_t *b);

/** A deep copy into *self, its texts below ctx. */
void
EyRecord_CopyInto(const void *ctx, EyRecord_t *self, const EyRecord_t *from);

typedef struct EyRecords EyRecords_t;

typedef struct EyRecordsLimits {
    uint32_t count_max;
    uint64_t size_bytes_max;
    int64_t retention_ms;
} EyRecordsLimits_t;

EyRecords_t *
EyRecords_New(const void *ctx, const EyRecordsLimits_t *limits);

const EyRecord_t *
EyRecords_Find(const EyRecords_t *self, const char *key);

/** Stores a copy of record, which was age_ms old at age-clock time now. */
void
EyRecords_Put(EyRecords_t *self, const EyRecord_t *record, int64_t now_ms);

/** Drops records past their retention, but never a claim that is open. */
void
EyRecords_Expire(EyRecords_t *self, int64_t now_ms);

void
EyRecords_Clear(EyRecords_t *self);

/** True if no new key may be claimed. */
bool
EyRecords_IsFull(const EyRecords_t *self);

uint32_t
EyRecords_Count(const EyRecords_t *self);

uint64_t
EyRecords_SizeBytes(const EyRecords_t *self);

/**
 * Copies of the records above a version, oldest first, up to size_bytes_max
 * (one at least), below ctx; *count tells how many.
 */
EyRecord_t *
EyRecords_After(const EyRecords_t *self, const void *ctx, uint64_t version,
                uint64_t size_bytes_max, int64_t now_ms, uint32_t *count);

/** The highest version of a record; 0 if there is none. */
uint64_t
EyRecords_NewestVersion(const EyRecords_t *self);

typedef void (*EyRecordVisit_t)(void *data, const EyRecord_t *record);

/** Visits the open claims; visit may not change the table. */
void
EyRecords_ForEachClaimed(const EyRecords_t *self, EyRecordVisit_t visit,
                         void *data);

#ifdef __cplusplus
}
#endif

#endif
