/* What ebonyyardctl shows and changes of the accounts in a route table. */
#include "operators/ctl_accounts.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* printf %s secret-4711 | sha256sum | cut -c1-12 */
#define FINGERPRINT "98fad8421e06"
#define DOCUMENT                                                              \
    "{\"version\":7,\"other\":2.5,\"accounts\":[{\"name\":\"a\","             \
    "\"api_keys\":[\"secret-4711\",\"k\"]},{\"name\":\"b\"}]}"

typedef struct ChangeCase {
    const char *kind; /* set, add or remove */
    const char *name;
    const char *first;
    const char *second;
    const char *accounts; /* afterwards; NULL: refused, nothing changed */
} ChangeCase_t;

#define KEYS_A "\"api_keys\":[\"secret-4711\",\"k\"]"

static const ChangeCase_t ChangeCases[] = {
    {"set", "b", "rate_per_s", "1000",
     "[{\"name\":\"a\"," KEYS_A "},{\"name\":\"b\",\"rate_per_s\":1000}]"},
    {"set", "c", "unit", "tokens",
     "[{\"name\":\"a\"," KEYS_A "},{\"name\":\"b\"},"
     "{\"name\":\"c\",\"unit\":\"tokens\"}]"},
    {"set", "b", "allowed_regions", "istra, zagreb",
     "[{\"name\":\"a\"," KEYS_A "},{\"name\":\"b\",\"allowed_regions\":"
     "[\"istra\",\"zagreb\"]}]"},
    {"set", "b", "burst", "none",
     "[{\"name\":\"a\"," KEYS_A "},{\"name\":\"b\"}]"},
    {"set", "b", "burst", "much", NULL},
    {"set", "b", "api_keys", "x", NULL},
    {"add", "b", "new", NULL,
     "[{\"name\":\"a\"," KEYS_A "},{\"name\":\"b\",\"api_keys\":[\"new\"]}]"},
    {"add", "c", "new", NULL, NULL},
    {"remove", "a", FINGERPRINT, NULL,
     "[{\"name\":\"a\",\"api_keys\":[\"k\"]},{\"name\":\"b\"}]"},
    {"remove", "a", "secret-4711", NULL, NULL},
    {"remove", "b", FINGERPRINT, NULL, NULL},
};

Test(ctl_accounts, changes_leave_the_rest_of_the_table_alone)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ChangeCases); i++) {
        const ChangeCase_t *test = &ChangeCases[i];
        json_t *document = json_loads(DOCUMENT, 0, NULL);
        const char *fault = NULL;
        if (strcmp(test->kind, "set") == 0) {
            fault = EyCtlAccounts_Set(document, test->name, test->first,
                                      test->second);
        }
        else if (strcmp(test->kind, "add") == 0) {
            fault = EyCtlAccounts_AddKey(document, test->name, test->first);
        }
        else {
            fault = EyCtlAccounts_RemoveKey(document, test->name, test->first);
        }
        json_t *expected = json_loads(DOCUMENT, 0, NULL);
        if (test->accounts != NULL) {
            (void)json_object_set_new(expected, "accounts",
                                      json_loads(test->accounts, 0, NULL));
        }
        cr_expect_eq(fault == NULL, test->accounts != NULL, "%zu: %s", i,
                     fault);
        cr_expect(json_equal(document, expected), "%zu", i);
        json_decref(document);
        json_decref(expected);
    }
}

/* Guards against keys on an operator's screen. */
Test(ctl_accounts, keys_are_shown_as_fingerprints)
{
    json_t *document = json_loads(DOCUMENT, 0, NULL);
    json_t *shown[] = {EyCtlAccounts_List(document),
                       EyCtlAccounts_Show(document, "a")};
    for (size_t i = 0; i < G_N_ELEMENTS(shown); i++) {
        char *text = json_dumps(shown[i], 0);
        cr_expect_null(strstr(text, "4711"), "%s", text);
        cr_expect_eq(strstr(text, FINGERPRINT) != NULL, i == 1, "%s", text);
        free(text);
        json_decref(shown[i]);
    }
    cr_expect_null(EyCtlAccounts_Show(document, "c"));
    json_decref(document);
}
