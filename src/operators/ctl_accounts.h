/**
 * The client accounts in the JSON of a route table, for ebonyyardctl. What is
 * shown has the keys' fingerprints instead of the keys.
 */
#ifndef EY_OPERATORS_CTL_ACCOUNTS_H
#define EY_OPERATORS_CTL_ACCOUNTS_H

#include <jansson.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/** An array with an object for each account: its fields, with the number of
 * its keys as api_keys. The caller owns the reference. */
json_t *
EyCtlAccounts_List(const json_t *document);

/** The account, with fingerprints as api_keys; NULL if there is none. The
 * caller owns the reference. */
json_t *
EyCtlAccounts_Show(const json_t *document, const char *name);

/** Sets a field of an account, which is added if there is none; the value none
 * removes the field. Returns NULL, or why the document wasn't changed. */
const char *
EyCtlAccounts_Set(json_t *document, const char *name, const char *field,
                  const char *value);

/** Adds a key to an account; returns NULL, or why not. */
const char *
EyCtlAccounts_AddKey(json_t *document, const char *name, const char *key);

/** Removes the key with this fingerprint from an account; returns NULL, or why
 * not. */
const char *
EyCtlAccounts_RemoveKey(json_t *document, const char *name,
                        const char *fingerprint);

/** Reads the first line, which is a key, into a text that the caller frees
 * with g_free; NULL if there is none, or it is longer than a key may be. */
char *
EyCtlAccounts_ReadKey(FILE *file);

#ifdef __cplusplus
}
#endif

#endif
