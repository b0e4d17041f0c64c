#include "operators/ctl_accounts.h"

#include "config/accounts.h"

#include <glib.h>
#include <string.h>

#define KEYS "api_keys"

static json_t *
find_account(const json_t *document, const char *name)
{
    const json_t *accounts = json_object_get(document, "accounts");
    for (size_t i = 0; i < json_array_size(accounts); i++) {
        json_t *account = json_array_get(accounts, i);
        const char *found =
            json_string_value(json_object_get(account, "name"));
        if (found != NULL && strcmp(found, name) == 0) {
            return account;
        }
    }
    return NULL;
}

json_t *
EyCtlAccounts_List(const json_t *document)
{
    json_t *rows = json_array();
    const json_t *accounts = json_object_get(document, "accounts");
    for (size_t i = 0; i < json_array_size(accounts); i++) {
        const json_t *account = json_array_get(accounts, i);
        json_t *row = json_copy((json_t *)account);
        size_t count = json_array_size(json_object_get(account, KEYS));
        (void)json_object_set_new(row, KEYS, json_integer((json_int_t)count));
        (void)json_array_append_new(rows, row);
    }
    return rows;
}

/** True if the key at a place of the list has the fingerprint; copies the
 * key's own one. */
static bool
has_fingerprint(const json_t *keys, size_t at, const char *wanted,
                char fingerprint[EY_KEY_FINGERPRINT_SIZE_BYTES])
{
    const char *key = json_string_value(json_array_get(keys, at));
    fingerprint[0] = '\0';
    if (key != NULL) {
        EyApiKey_Fingerprint(key, fingerprint);
    }
    return key != NULL && wanted != NULL && strcmp(fingerprint, wanted) == 0;
}

json_t *
EyCtlAccounts_Show(const json_t *document, const char *name)
{
    json_t *account = find_account(document, name);
    if (account == NULL) {
        return NULL;
    }
    json_t *shown = json_copy(account);
    json_t *fingerprints = json_array();
    const json_t *keys = json_object_get(account, KEYS);
    for (size_t i = 0; i < json_array_size(keys); i++) {
        char fingerprint[EY_KEY_FINGERPRINT_SIZE_BYTES];
        (void)has_fingerprint(keys, i, NULL, fingerprint);
        (void)json_array_append_new(fingerprints, json_string(fingerprint));
    }
    (void)json_object_set_new(shown, KEYS, fingerprints);
    return shown;
}

/* Changes */

typedef enum FieldKind { FIELD_NUMBER, FIELD_TEXT, FIELD_NAMES } FieldKind_t;

static const struct {
    const char *name;
    FieldKind_t kind;
} Fields[] = {
    {"priority", FIELD_NUMBER}, {"rate_per_s", FIELD_NUMBER},
    {"burst", FIELD_NUMBER},    {"plain_tokens", FIELD_NUMBER},
    {"unit", FIELD_TEXT},       {"allowed_regions", FIELD_NAMES},
};

/** The value of a field; NULL if it isn't one. */
static json_t *
make_value(FieldKind_t kind, const char *text)
{
    if (kind == FIELD_NUMBER) {
        json_t *number = json_loads(text, JSON_DECODE_ANY, NULL);
        if (!json_is_number(number)) {
            json_decref(number);
            return NULL;
        }
        return number;
    }
    if (kind == FIELD_TEXT) {
        return json_string(text);
    }
    json_t *names = json_array();
    gchar **parts = g_strsplit(text, ",", -1);
    for (gchar **part = parts; *part != NULL; part++) {
        (void)json_array_append_new(names, json_string(g_strstrip(*part)));
    }
    g_strfreev(parts);
    return names;
}

static json_t *
add_account(json_t *document, const char *name)
{
    json_t *accounts = json_object_get(document, "accounts");
    if (!json_is_array(accounts)) {
        (void)json_object_set_new(document, "accounts", json_array());
        accounts = json_object_get(document, "accounts");
    }
    json_t *account = json_pack("{s:s}", "name", name);
    (void)json_array_append_new(accounts, account);
    return account;
}

const char *
EyCtlAccounts_Set(json_t *document, const char *name, const char *field,
                  const char *value)
{
    size_t i = 0;
    while (i < G_N_ELEMENTS(Fields) && strcmp(Fields[i].name, field) != 0) {
        i++;
    }
    if (i == G_N_ELEMENTS(Fields)) {
        return "no such field; one of priority, rate_per_s, burst, "
               "plain_tokens, unit, allowed_regions";
    }
    bool is_removed = strcmp(value, "none") == 0;
    json_t *json = is_removed ? NULL : make_value(Fields[i].kind, value);
    if (json == NULL && !is_removed) {
        return "expected a number, or none";
    }
    json_t *account = find_account(document, name);
    account = account != NULL ? account : add_account(document, name);
    if (is_removed) {
        (void)json_object_del(account, field);
    }
    else {
        (void)json_object_set_new(account, field, json);
    }
    return NULL;
}

const char *
EyCtlAccounts_AddKey(json_t *document, const char *name, const char *key)
{
    json_t *account = find_account(document, name);
    if (account == NULL) {
        return "there is no such account";
    }
    json_t *keys = json_object_get(account, KEYS);
    if (!json_is_array(keys)) {
        (void)json_object_set_new(account, KEYS, json_array());
        keys = json_object_get(account, KEYS);
    }
    return json_array_append_new(keys, json_string(key)) == 0
               ? NULL
               : "the key isn't UTF-8";
}

const char *
EyCtlAccounts_RemoveKey(json_t *document, const char *name,
                        const char *fingerprint)
{
    const json_t *account = find_account(document, name);
    if (account == NULL) {
        return "there is no such account";
    }
    json_t *keys = json_object_get(account, KEYS);
    for (size_t i = 0; i < json_array_size(keys); i++) {
        char own[EY_KEY_FINGERPRINT_SIZE_BYTES];
        if (has_fingerprint(keys, i, fingerprint, own)) {
            (void)json_array_remove(keys, i);
            return NULL;
        }
    }
    return "the account has no key with this fingerprint";
}

char *
EyCtlAccounts_ReadKey(FILE *file)
{
    /* With the end of the line and NUL. */
    char line[EY_API_KEY_MAX_BYTES + 3];
    if (fgets(line, sizeof(line), file) == NULL) {
        return NULL;
    }
    size_t length = strcspn(line, "\r\n");
    if (length == 0 || length > EY_API_KEY_MAX_BYTES) {
        return NULL;
    }
    return g_strndup(line, length);
}
