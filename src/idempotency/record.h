/**
 * Idempotency records and the bounded table that stores them in the order of
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

/** Largest stored answer, in packed form. */
#define EY_RECORD_ANSWER_MAX_BYTES (1280 * 1024)

typedef enum EyRecordState {
    EY_RECORD_CLAIMED,   /* may run, by its claimant only */
    EY_RECORD_COMPLETED, /* has run; the answer is stored */
    EY_RECORD_NOT_RUN,   /* reported by its claimant; may be claimed again */
    EY_RECORD_UNKNOWN,   /* may have run; must not run again */
    EY_RECORD_STATE_COUNT
} EyRecordState_t;

extern const char *const EyRecord_state_names[EY_RECORD_STATE_COUNT];

/** Identifies the claimant of a key: one request of one process. */
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
    int64_t age_ms;       /* since the last change; used on the wire only */
    EyBytes_t answer;
} EyRecord_t;

extern const EySchema_t EyClaimId_schema;
extern const EySchema_t EyRecord_schema;

/** True if both identify the same request. */
bool
EyClaimId_Equals(const EyClaimId_t *a, const EyClaimId_t *b);

/** Makes a deep copy in *self; its key and answer are talloc children of ctx.
 */
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

/** Stores a copy of a record. Its age_ms is relative to now_ms, a time of the
 * group's age clock. */
void
EyRecords_Put(EyRecords_t *self, const EyRecord_t *record, int64_t now_ms);

/** Drops records past their retention time, but never an open claim. */
void
EyRecords_Expire(EyRecords_t *self, int64_t now_ms);

void
EyRecords_Clear(EyRecords_t *self);

/** True if there is no space for a new key. */
bool
EyRecords_IsFull(const EyRecords_t *self);

uint32_t
EyRecords_Count(const EyRecords_t *self);

uint64_t
EyRecords_SizeBytes(const EyRecords_t *self);

/**
 * Copies the records newer than a version, oldest first, up to size_bytes_max
 * but at least one. The array, of *count records, is a talloc child of ctx.
 */
EyRecord_t *
EyRecords_After(const EyRecords_t *self, const void *ctx, uint64_t version,
                uint64_t size_bytes_max, int64_t now_ms, uint32_t *count);

/** The highest version of all records; 0 if there are none. */
uint64_t
EyRecords_NewestVersion(const EyRecords_t *self);

typedef void (*EyRecordVisit_t)(void *data, const EyRecord_t *record);

/** Calls visit for each open claim; visit must not change the table. */
void
EyRecords_ForEachClaimed(const EyRecords_t *self, EyRecordVisit_t visit,
                         void *data);

#ifdef __cplusplus
}
#endif

#endif
