/**
 * A digest to compare replicas of a table: records are assigned to buckets by
 * id, and a bucket's hash is the XOR of its records' hashes. The buckets in
 * which two replicas differ are found at a constant cost.
 */
#ifndef EY_MEMBERSHIP_DIGEST_H
#define EY_MEMBERSHIP_DIGEST_H

#include "core/schema.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_DIGEST_BUCKETS 32

typedef struct EyDigest {
    uint64_t buckets[EY_DIGEST_BUCKETS];
} EyDigest_t;

/** Hash of one bucket as sent in messages. */
typedef struct EyDigestBucket {
    uint64_t hash;
} EyDigestBucket_t;

extern const EySchema_t EyDigestBucket_schema;

/** Hash of an id, the same in all processes. */
uint64_t
EyDigest_HashId(const char *id);

/** Mixes a number into a hash. */
uint64_t
EyDigest_Mix(uint64_t hash, uint64_t number);

/** Adds a record by its hash; called again, it removes the record. */
void
EyDigest_Toggle(EyDigest_t *self, const char *id, uint64_t record_hash);

/** Index of the bucket that holds an id. */
uint32_t
EyDigest_BucketOf(const char *id);

/** Hash of the whole table. */
uint64_t
EyDigest_Hash(const EyDigest_t *self);

/** Copies the buckets into an array below ctx, for a message. */
EyDigestBucket_t *
EyDigest_Buckets(const EyDigest_t *self, const void *ctx);

/** Bit set of the buckets that differ; all bits are set if count is wrong. */
uint32_t
EyDigest_Compare(const EyDigest_t *self, const EyDigestBucket_t *buckets,
                 uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
