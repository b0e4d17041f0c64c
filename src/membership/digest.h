/**
 * A comparable digest of a replicated table: the records fall into buckets by
 * id, and a bucket's hash is the XOR of its records' hashes. Two tables that
 * differ find the buckets to exchange at a constant cost.
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

/** One bucket's hash on the wire. */
typedef struct EyDigestBucket {
    uint64_t hash;
} EyDigestBucket_t;

extern const EySchema_t EyDigestBucket_schema;

/** A hash of an id, the same in all processes. */
uint64_t
EyDigest_HashId(const char *id);

/** Mixes a number into a hash. */
uint64_t
EyDigest_Mix(uint64_t hash, uint64_t number);

/** Adds a record by its hash, or takes it out again. */
void
EyDigest_Toggle(EyDigest_t *self, const char *id, uint64_t record_hash);

/** The bucket of an id. */
uint32_t
EyDigest_BucketOf(const char *id);

/** A hash of the whole table. */
uint64_t
EyDigest_Hash(const EyDigest_t *self);

/** The buckets below ctx, for a message. */
EyDigestBucket_t *
EyDigest_Buckets(const EyDigest_t *self, const void *ctx);

/** The set of buckets that differ, as bits; all if count is wrong. */
uint32_t
EyDigest_Compare(const EyDigest_t *self, const EyDigestBucket_t *buckets,
                 uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
