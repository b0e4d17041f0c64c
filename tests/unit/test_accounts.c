/* Client accounts of a route table: which documents are valid, and whose a key
 * is. */
#include "config/route_table.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define KEY "secret-4711"
#define TABLE(accounts)                                                       \
    "{\"version\":7,\"routes\":[],\"services\":[],\"accounts\":" accounts "}"
#define ONE(rest) TABLE("[{\"name\":\"a\"" rest "}]")

static EyRouteTable_t *
parse(const char *text, GError **error)
{
    const EyBytes_t document = {.data = (uint8_t *)text,
                                .size_bytes = (uint32_t)strlen(text)};
    return EyRouteTable_Parse(NULL, &document, error);
}

typedef struct DocumentCase {
    const char *document;
    const char *fault; /* part of the error message; NULL: valid */
} DocumentCase_t;

static const DocumentCase_t DocumentCases[] = {
    {TABLE("null"), NULL},
    {TABLE("[]"), NULL},
    {ONE(""), NULL},
    {ONE(",\"api_keys\":null"), NULL},
    {ONE(",\"api_keys\":[\"" KEY "\",\"" KEY "x\"],\"priority\":0,"
         "\"unit\":\"tokens\",\"rate_per_s\":1e12,\"burst\":0.5,"
         "\"plain_tokens\":7,\"allowed_regions\":[\"istra\"]"),
     NULL},
    {ONE(",\"api_keys\":[\"two words\"]"), NULL},
    {TABLE("[{\"name\":\"a\",\"api_keys\":[\"" KEY "\"]},"
           "{\"name\":\"b\",\"api_keys\":[\"" KEY "\"]}]"),
     "accounts[1] (b): another account has one of its keys"},
    {ONE(",\"api_keys\":[\"" KEY "\",\"" KEY "\"]"), "there twice"},
    {TABLE("[{\"name\":\"a\"},{\"name\":\"b\"},{\"name\":\"a\"}]"),
     "accounts[2] (a): another account has this name"},
    {TABLE("[{}]"), "name"},
    {TABLE("[{\"name\":\"\"}]"), "name"},
    {TABLE("[{\"name\":\"a\\r\\nHost: x\"}]"), "name"},
    {TABLE("[{\"name\":\" a\"}]"), "name"},
    {TABLE("[null]"), "object"},
    {TABLE("{}"), "accounts"},
    {ONE(",\"api_keys\":\"" KEY "\""), "list of strings"},
    {ONE(",\"api_keys\":[7]"), "list of strings"},
    {ONE(",\"api_keys\":[\"" KEY "\",\"\"]"), "empty"},
    {ONE(",\"api_keys\":[\"" KEY "\\n\"]"), "printable"},
    {ONE(",\"api_keys\":[\"" KEY "\\u00e9\"]"), "printable"},
    {ONE(",\"api_keys\":[\"" KEY "\\u007f\"]"), "printable"},
    {ONE(",\"api_keys\":[\"" KEY "\\u0000\"]"), "not JSON"},
    {ONE(",\"api_keys\":[\"x\" \"" KEY "\"]"), "not JSON"},
    {ONE(",\"" KEY "\":1,\"" KEY "\":1"), "not JSON"},
    {ONE(",\"rate_per_s\":-1"), "rate_per_s"},
    {ONE(",\"rate_per_s\":1.1e12"), "rate_per_s"},
    {ONE(",\"rate_per_s\":1e999"), "not JSON"},
    {ONE(",\"burst\":-0.1"), "burst"},
    {ONE(",\"burst\":1e13"), "burst"},
    {ONE(",\"plain_tokens\":-1"), "plain_tokens"},
    {ONE(",\"unit\":\"bytes\""), "unit"},
    {ONE(",\"priority\":-1"), "priority"},
    {ONE(",\"allowed_regions\":\"istra\""), "allowed_regions"},
};

/* An error is shown to operators and logged: it must not hold a key. */
Test(accounts, documents_are_accepted_or_refused_without_naming_a_key)
{
    for (size_t i = 0; i < G_N_ELEMENTS(DocumentCases); i++) {
        const DocumentCase_t *test = &DocumentCases[i];
        GError *error = NULL;
        EyRouteTable_t *table = parse(test->document, &error);
        if (test->fault == NULL) {
            cr_expect_not_null(table, "%zu: %s", i,
                               error != NULL ? error->message : "");
        }
        else {
            cr_assert_null(table, "%zu: %s", i, test->document);
            cr_expect_not_null(strstr(error->message, test->fault), "%zu: %s",
                               i, error->message);
            cr_expect_null(strstr(error->message, KEY), "%zu: %s", i,
                           error->message);
        }
        g_clear_error(&error);
        talloc_free(table);
    }
}

/** A table with an account for each number below count whose key has as many
 * bytes as key_bytes. */
static gchar *
make_document(uint32_t count, int key_bytes)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < count; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"n%u\",\"api_keys\":[\"%0*u\"]}",
                               i > 0 ? "," : "", i, key_bytes, i);
    }
    gchar *document = g_strdup_printf(TABLE("[%s]"), text->str);
    (void)g_string_free(text, TRUE);
    return document;
}

Test(accounts, their_number_and_the_length_of_keys_are_limited)
{
    static const struct {
        uint32_t count;
        int key_bytes;
        bool is_valid;
    } Cases[] = {
        {EY_ACCOUNTS_MAX, 8, true},
        {EY_ACCOUNTS_MAX + 1, 8, false},
        {1, EY_API_KEY_MAX_BYTES, true},
        {1, EY_API_KEY_MAX_BYTES + 1, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        gchar *document = make_document(Cases[i].count, Cases[i].key_bytes);
        EyRouteTable_t *table = parse(document, NULL);
        cr_expect_eq(table != NULL, Cases[i].is_valid, "%zu", i);
        talloc_free(table);
        g_free(document);
    }
}

#define ACCOUNTS                                                              \
    TABLE("[{\"name\":\"a\",\"api_keys\":[\"" KEY "\",\"k\"],"                \
          "\"priority\":0},{\"name\":\"b\",\"api_keys\":[\"" KEY "2\"]},"     \
          "{\"name\":\"none\"}]")

/* Guards against keys that are compared by a prefix or without regard to
 * case. */
Test(accounts, only_a_whole_key_finds_its_account)
{
    static const struct {
        const char *key;
        const char *account; /* NULL: none */
    } Cases[] = {
        {KEY, "a"},       {"k", "a"},       {KEY "2", "b"},
        {KEY "3", NULL},  {KEY "22", NULL}, {"", NULL},
        {"secret", NULL}, {"kk", NULL},     {"SECRET-4711", NULL},
        {" " KEY, NULL},  {KEY " ", NULL},
    };
    GError *error = NULL;
    EyRouteTable_t *table = parse(ACCOUNTS, &error);
    cr_assert_not_null(table, "%s", error != NULL ? error->message : "");
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const EyAccountRule_t *account =
            EyAccountIndex_FindByKey(table->account_index, Cases[i].key);
        cr_expect_str_eq(account != NULL ? account->name : "none found",
                         Cases[i].account != NULL ? Cases[i].account
                                                  : "none found",
                         "%zu: %s", i, Cases[i].key);
    }
    cr_expect(table->accounts[0].has_priority);
    cr_expect_not(table->accounts[1].has_priority);
    cr_expect_eq(table->accounts[0].key_count, 2);
    cr_expect_eq(EyAccountIndex_FindByName(table->account_index, "none"),
                 &table->accounts[2]);
    cr_expect_null(EyAccountIndex_FindByName(table->account_index, "x"));
    talloc_free(table);
}

/* A document that another build accepted is used: what breaks a rule gives no
 * access, and the first of two accounts with one key has it. */
Test(accounts, a_committed_table_with_invalid_accounts_gives_no_more_access)
{
    const char *text =
        TABLE("[{\"name\":\"a\",\"api_keys\":[\"k1\",\"\",7,\"k1\"]},"
              "{\"name\":\"b\",\"api_keys\":[\"k1\",\"k2\"]},"
              "{\"name\":\"a\",\"api_keys\":[\"k3\"]},"
              "{\"name\":\"x\\n\",\"api_keys\":[\"k4\"]},"
              "{\"name\":\"c\",\"api_keys\":\"k5\"}]");
    static const struct {
        const char *key;
        const char *account;
    } Cases[] = {{"k1", "a"}, {"k2", "b"}, {"k3", ""},
                 {"k4", ""},  {"k5", ""},  {"", ""}};
    const EyBytes_t document = {.data = (uint8_t *)text,
                                .size_bytes = (uint32_t)strlen(text)};
    EyRouteTable_t *table = NULL;
    cr_expect_null(parse(text, NULL));
    cr_assert(EyRouteTable_Update(&table, NULL, 7, &document));
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const EyAccountRule_t *account =
            EyAccountIndex_FindByKey(table->account_index, Cases[i].key);
        cr_expect_str_eq(account != NULL ? account->name : "",
                         Cases[i].account, "%zu", i);
    }
    talloc_free(table);
}

Test(accounts, both_lists_of_regions_apply)
{
    static const struct {
        EyName_t left[3];
        EyName_t right[3];
        const char *both; /* separated by spaces */
        bool is_any;      /* some region is left */
    } Cases[] = {
        {{""}, {""}, "", true},
        {{"p", "q"}, {""}, "p q ", true},
        {{""}, {"p", "q"}, "p q ", true},
        {{"p", "q", "r"}, {"r", "p"}, "p r ", true},
        {{"p"}, {"q"}, " ", false},
        {{"p"}, {"pp"}, " ", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        uint32_t counts[2] = {0, 0};
        while (counts[0] < 3 && Cases[i].left[counts[0]][0] != '\0') {
            counts[0]++;
        }
        while (counts[1] < 3 && Cases[i].right[counts[1]][0] != '\0') {
            counts[1]++;
        }
        EyName_t *both = NULL;
        uint32_t count = 0;
        cr_expect_eq(EyRegions_Intersect(NULL, Cases[i].left, counts[0],
                                         Cases[i].right, counts[1], &both,
                                         &count),
                     Cases[i].is_any, "%zu", i);
        GString *text = g_string_new(NULL);
        for (uint32_t j = 0; j < count; j++) {
            g_string_append_printf(text, "%s ", both[j]);
        }
        cr_expect_str_eq(text->str, Cases[i].both, "%zu", i);
        (void)g_string_free(text, TRUE);
        talloc_free(both);
    }
}

/* printf %s secret-4711 | sha256sum | cut -c1-12 */
Test(accounts, a_fingerprint_is_the_start_of_the_sha256_sum)
{
    char fingerprint[EY_KEY_FINGERPRINT_SIZE_BYTES];
    EyApiKey_Fingerprint(KEY, fingerprint);
    cr_expect_str_eq(fingerprint, "98fad8421e06");
}
