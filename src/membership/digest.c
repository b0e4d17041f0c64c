#include "membership/digest.h"

#include "core/memory.h"

#include <string.h>
#include <xxhash.h>

static const EyField_t BucketFields[] = {
    EY_FIELD(EyDigestBucket_t, hash, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyDigestBucket_schema =
    EY_SCHEMA(EyDigestBucket_t, BucketFields);

uint64_t
EyDigest_HashId(const char *id)
{
    return XXH64(id, strlen(id), 0);
}

uint64_t
EyDigest_Mix(uint64_t hash, uint64_t number)
{
    return XXH64(&number, sizeof(number), hash);
}

uint32_t
EyDigest_BucketOf(const char *id)
{
    return (uint32_t)(EyDigest_HashId(id) % EY_DIGEST_BUCKETS);
}

void
EyDigest_Toggle(EyDigest_t *self, const char *id, uint64_t record_hash)
{
    self->buckets[EyDigest_BucketOf(id)] ^= record_hash;
}

uint64_t
EyDigest_Hash(const EyDigest_t *self)
{
    return XXH64(self->buckets, sizeof(self->buckets), 0);
}

EyDigestBucket_t *
EyDigest_Buckets(const EyDigest_t *self, const void *ctx)
{
    EyDigestBucket_t *buckets =
        EY_NEW_ARRAY(ctx, EyDigestBucket_t, EY_DIGEST_BUCKETS);
    for (uint32_t i = 0; i < EY_DIGEST_BUCKETS; i++) {
        buckets[i].hash = self->buckets[i];
    }
    return buckets;
}

uint32_t
EyDigest_Compare(const EyDigest_t *self, const EyDigestBucket_t *buckets,
                 uint32_t count)
{
    if (count != EY_DIGEST_BUCKETS) {
        return UINT32_MAX;
    }
    uint32_t different = 0;
    for (uint32_t i = 0; i < EY_DIGEST_BUCKETS; i++) {
        if (self->buckets[i] != buckets[i].hash) {
            different |= 1U << i;
        }
    }
    return different;
}
