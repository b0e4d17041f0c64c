/**
 * The client accounts of a route table, and the index of their API keys. A
 * key is held only as a keyed hash (HMAC-SHA-256) whose secret is made at the
 * start of the process; its clear text is only in the table's document.
 */
#ifndef EY_CONFIG_ACCOUNTS_H
#define EY_CONFIG_ACCOUNTS_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_ACCOUNTS_MAX 10000
/** Longest API key. */
#define EY_API_KEY_MAX_BYTES 512
/** Largest rate, burst and plain_tokens, in units. */
#define EY_ACCOUNT_UNITS_MAX 1e12
/** Size of a key's fingerprint with NUL. */
#define EY_KEY_FINGERPRINT_SIZE_BYTES 13

/** What an account's rate and burst count. */
typedef enum EyAccountUnit {
    EY_ACCOUNT_UNIT_REQUESTS,
    EY_ACCOUNT_UNIT_TOKENS,
    EY_ACCOUNT_UNIT_COUNT
} EyAccountUnit_t;

extern const char *const EyAccountRule_unit_names[EY_ACCOUNT_UNIT_COUNT];

/** One client account. */
typedef struct EyAccountRule {
    EyName_t name;
    bool has_priority; /* priority applies instead of the route's */
    uint32_t priority; /* 0: first */
    EyAccountUnit_t unit;
    double rate_per_s;   /* units, of the whole fleet; 0: no limit */
    double burst;        /* units */
    double plain_tokens; /* of a call without a token header */
    uint32_t key_count;
    EyName_t *allowed_regions; /* where its data may be; none: any region */
    uint32_t allowed_region_count;
} EyAccountRule_t;

/** All fields but api_keys, has_priority and key_count, which
 * EyAccountIndex_New reads. */
extern const EySchema_t EyAccountRule_schema;

/** Accounts by API key and by name. */
typedef struct EyAccountIndex EyAccountIndex_t;

/** Completes the accounts, which were decoded from the same array of JSON, by
 * their API keys and priorities, and makes their index. It accepts any
 * content: a key or account that breaks a rule is left out of the index, of
 * several accounts with one name or key the first one is in it. The rule that
 * was broken first is in EyAccountIndex_Fault. */
EyAccountIndex_t *
EyAccountIndex_New(const void *ctx, EyAccountRule_t *accounts, uint32_t count,
                   const json_t *json);

/** The first broken rule with the number of the account, without any key;
 * NULL: the accounts are valid. */
const char *
EyAccountIndex_Fault(const EyAccountIndex_t *self);

/** The account with this key, or NULL. */
const EyAccountRule_t *
EyAccountIndex_FindByKey(const EyAccountIndex_t *self, const char *key);

/** The account with this name, or NULL. */
const EyAccountRule_t *
EyAccountIndex_FindByName(const EyAccountIndex_t *self, const char *name);

/** Makes the fingerprint of a key that operators are shown: the first 12
 * hexadecimal digits of its SHA-256. */
void
EyApiKey_Fingerprint(const char *key,
                     char fingerprint[EY_KEY_FINGERPRINT_SIZE_BYTES]);

/** The regions that are in two lists of allowed regions, of which an empty one
 * allows any region, as a new array below ctx. If no region is in both, the
 * result is false and the array has one empty name, which is no region's. */
bool
EyRegions_Intersect(const void *ctx, const EyName_t *left, uint32_t left_count,
                    const EyName_t *right, uint32_t right_count,
                    EyName_t **regions, uint32_t *count);

#ifdef __cplusplus
}
#endif

#endif
