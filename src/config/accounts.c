#include "config/accounts.h"

#include "core/memory.h"
#include "exchange/request.h"

#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DIGEST_BYTES 32
#define SECRET_BYTES 32
#define FAULT_SIZE_BYTES 256

const char *const EyAccountRule_unit_names[EY_ACCOUNT_UNIT_COUNT] = {
    [EY_ACCOUNT_UNIT_REQUESTS] = "requests",
    [EY_ACCOUNT_UNIT_TOKENS] = "tokens",
};

static const EyField_t AccountFields[] = {
    EY_FIELD_REQUIRED_TEXT(EyAccountRule_t, name),
    EY_FIELD(EyAccountRule_t, priority, EY_FIELD_U32),
    EY_FIELD_NAMED_ENUM(EyAccountRule_t, unit, EyAccountRule_unit_names,
                        EY_ACCOUNT_UNIT_COUNT),
    EY_FIELD(EyAccountRule_t, rate_per_s, EY_FIELD_F64),
    EY_FIELD(EyAccountRule_t, burst, EY_FIELD_F64),
    EY_FIELD(EyAccountRule_t, plain_tokens, EY_FIELD_F64),
    EY_FIELD_ARRAY_OF(EyAccountRule_t, allowed_regions, allowed_region_count,
                      EyName_schema, EY_REQUEST_ALLOWED_MAX),
    EY_FIELD_END,
};
const EySchema_t EyAccountRule_schema =
    EY_SCHEMA(EyAccountRule_t, AccountFields);

/* Keyed hashes */

static uint8_t Secret[SECRET_BYTES];

static void
make_secret(void)
{
    if (getentropy(Secret, sizeof(Secret)) != 0) {
        abort();
    }
}

static void
hash_key(const char *key, uint8_t digest[DIGEST_BYTES])
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    (void)pthread_once(&once, make_secret);
    gsize size_bytes = DIGEST_BYTES;
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, Secret, sizeof(Secret));
    g_hmac_update(hmac, (const guchar *)key, (gssize)strlen(key));
    g_hmac_get_digest(hmac, digest, &size_bytes);
    g_hmac_unref(hmac);
}

void
EyApiKey_Fingerprint(const char *key,
                     char fingerprint[EY_KEY_FINGERPRINT_SIZE_BYTES])
{
    gchar *text = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    (void)EyText_Copy(fingerprint, EY_KEY_FINGERPRINT_SIZE_BYTES, text);
    g_free(text);
}

/* The index */

typedef struct KeyEntry {
    uint8_t digest[DIGEST_BYTES];
    uint32_t account; /* its number in accounts */
} KeyEntry_t;

struct EyAccountIndex {
    const EyAccountRule_t *accounts;
    GHashTable *by_key;  /* set of KeyEntry_t */
    GHashTable *by_name; /* name -> EyAccountRule_t */
    char fault[FAULT_SIZE_BYTES];
};

/** The digest is keyed, so its first bytes are as good as random. */
static guint
entry_hash(gconstpointer entry)
{
    guint hash = 0;
    memcpy(&hash, ((const KeyEntry_t *)entry)->digest, sizeof(hash));
    return hash;
}

/** Takes the same time wherever the digests differ. */
static gboolean
entry_equal(gconstpointer left, gconstpointer right)
{
    const KeyEntry_t *one = left;
    const KeyEntry_t *other = right;
    volatile uint8_t difference = 0;
    for (size_t i = 0; i < DIGEST_BYTES; i++) {
        difference |= one->digest[i] ^ other->digest[i];
    }
    return difference == 0;
}

static int
index_destroy(EyAccountIndex_t *self)
{
    g_hash_table_destroy(self->by_key);
    g_hash_table_destroy(self->by_name);
    return 0;
}

static void
note_fault(EyAccountIndex_t *self, uint32_t number, const char *fault)
{
    if (self->fault[0] == '\0') {
        (void)snprintf(self->fault, sizeof(self->fault),
                       "accounts[%u] (%s): %s", number,
                       self->accounts[number].name, fault);
    }
}

/** The name is sent as a header's value. */
static bool
is_account_name(const char *name)
{
    size_t length = strlen(name);
    for (size_t i = 0; i < length; i++) {
        if (g_ascii_iscntrl(name[i])) {
            return false;
        }
    }
    return length > 0 && name[0] != ' ' && name[length - 1] != ' ';
}

static bool
is_amount(double amount)
{
    return isfinite(amount) && amount >= 0.0 && amount <= EY_ACCOUNT_UNITS_MAX;
}

/** Returns the rule that the account breaks without regard to others, or NULL.
 */
static const char *
find_fault(const EyAccountRule_t *account)
{
    if (!is_account_name(account->name)) {
        return "name: expected 1 to 63 bytes without control characters, and "
               "no space at its ends";
    }
    if (!is_amount(account->rate_per_s)) {
        return "rate_per_s: expected a number from 0 to 1e12";
    }
    if (!is_amount(account->burst)) {
        return "burst: expected a number from 0 to 1e12";
    }
    if (!is_amount(account->plain_tokens)) {
        return "plain_tokens: expected a number from 0 to 1e12";
    }
    return NULL;
}

/** Returns the rule that a key breaks without regard to others, or NULL. */
static const char *
find_key_fault(const json_t *json)
{
    if (!json_is_string(json)) {
        return "api_keys: expected a list of strings";
    }
    size_t length = json_string_length(json);
    if (length == 0) {
        return "a key is empty";
    }
    if (length > EY_API_KEY_MAX_BYTES) {
        return "a key is longer than 512 bytes";
    }
    const char *key = json_string_value(json);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isprint(key[i])) {
            return "a key has bytes that aren't printable ASCII";
        }
    }
    return NULL;
}

/** Adds a key of an account; returns the rule that it breaks, or NULL. */
static const char *
add_key(EyAccountIndex_t *self, uint32_t number, const json_t *json)
{
    const char *fault = find_key_fault(json);
    if (fault != NULL) {
        return fault;
    }
    KeyEntry_t *entry = g_new0(KeyEntry_t, 1);
    hash_key(json_string_value(json), entry->digest);
    entry->account = number;
    const KeyEntry_t *other = g_hash_table_lookup(self->by_key, entry);
    if (other != NULL) {
        fault = other->account == number
                    ? "the same key is there twice"
                    : "another account has one of its keys";
        g_free(entry);
        return fault;
    }
    (void)g_hash_table_add(self->by_key, entry);
    return NULL;
}

static void
add_keys(EyAccountIndex_t *self, EyAccountRule_t *account, uint32_t number,
         const json_t *keys)
{
    if (keys == NULL || json_is_null(keys)) {
        return;
    }
    if (!json_is_array(keys)) {
        note_fault(self, number, "api_keys: expected a list of strings");
        return;
    }
    for (size_t i = 0; i < json_array_size(keys); i++) {
        const char *fault = add_key(self, number, json_array_get(keys, i));
        if (fault != NULL) {
            note_fault(self, number, fault);
        }
        else {
            account->key_count++;
        }
    }
}

static void
add_account(EyAccountIndex_t *self, EyAccountRule_t *account, uint32_t number,
            const json_t *json)
{
    const json_t *priority = json_object_get(json, "priority");
    account->has_priority = priority != NULL && !json_is_null(priority);
    const char *fault = find_fault(account);
    if (fault != NULL) {
        note_fault(self, number, fault);
        return;
    }
    if (g_hash_table_contains(self->by_name, account->name)) {
        note_fault(self, number, "another account has this name");
        return;
    }
    (void)g_hash_table_insert(self->by_name, account->name, account);
    add_keys(self, account, number, json_object_get(json, "api_keys"));
}

EyAccountIndex_t *
EyAccountIndex_New(const void *ctx, EyAccountRule_t *accounts, uint32_t count,
                   const json_t *json)
{
    EyAccountIndex_t *self = EY_NEW(ctx, EyAccountIndex_t);
    self->accounts = accounts;
    self->by_key =
        g_hash_table_new_full(entry_hash, entry_equal, g_free, NULL);
    self->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    talloc_set_destructor(self, index_destroy);
    for (uint32_t i = 0; i < count; i++) {
        add_account(self, &accounts[i], i, json_array_get(json, i));
    }
    return self;
}

const char *
EyAccountIndex_Fault(const EyAccountIndex_t *self)
{
    return self->fault[0] != '\0' ? self->fault : NULL;
}

const EyAccountRule_t *
EyAccountIndex_FindByKey(const EyAccountIndex_t *self, const char *key)
{
    KeyEntry_t wanted;
    hash_key(key, wanted.digest);
    const KeyEntry_t *entry = g_hash_table_lookup(self->by_key, &wanted);
    return entry != NULL ? &self->accounts[entry->account] : NULL;
}

const EyAccountRule_t *
EyAccountIndex_FindByName(const EyAccountIndex_t *self, const char *name)
{
    return g_hash_table_lookup(self->by_name, name);
}

/* Regions */

static bool
list_has(const EyName_t *names, uint32_t count, const char *name)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

bool
EyRegions_Intersect(const void *ctx, const EyName_t *left, uint32_t left_count,
                    const EyName_t *right, uint32_t right_count,
                    EyName_t **regions, uint32_t *count)
{
    const EyName_t *from = left_count > 0 ? left : right;
    uint32_t from_count = left_count > 0 ? left_count : right_count;
    *regions = EY_NEW_ARRAY(ctx, EyName_t, from_count + 1);
    *count = 0;
    for (uint32_t i = 0; i < from_count; i++) {
        if (right_count == 0 || list_has(right, right_count, from[i])) {
            (void)EY_COPY((*regions)[*count], from[i]);
            (*count)++;
        }
    }
    bool is_empty = from_count > 0 && *count == 0;
    *count = is_empty ? 1 : *count;
    return !is_empty;
}
