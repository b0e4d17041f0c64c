/* The commands of ebonyyardctl for client accounts: they read the route table,
 * and replace it by a changed one. */
#include "operators/ctl_accounts.h"
#include "operators/ctl_internal.h"
#include "operators/ctl_print.h"

#include <glib.h>
#include <string.h>

EyCtlExit_t
EyCtl_RunAccountList(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"name", "account"},
        {"api_keys", "keys"},
        {"priority", "priority"},
        {"unit", "unit"},
        {"rate_per_s", "rate/s"},
        {"burst", "burst"},
        {"plain_tokens", "plain tokens"},
        {"allowed_regions", "regions"},
        {NULL, NULL},
    };
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config/routes", &code);
    if (json == NULL) {
        return code;
    }
    json_t *rows = EyCtlAccounts_List(json);
    json_decref(json);
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, rows);
    }
    else {
        EyCtlPrint_Table(self->out, rows, Columns);
    }
    json_decref(rows);
    return EY_CTL_DONE;
}

EyCtlExit_t
EyCtl_RunAccountShow(const Ctl_t *self)
{
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config/routes", &code);
    if (json == NULL) {
        return code;
    }
    json_t *account = EyCtlAccounts_Show(json, self->arguments[0]);
    json_decref(json);
    if (account == NULL) {
        (void)fprintf(self->err, "ebonyyardctl: there is no such account\n");
        return EY_CTL_REFUSED;
    }
    EyCtlPrint_Json(self->out, account);
    json_decref(account);
    return EY_CTL_DONE;
}

/** Replaces the route table by a changed one with the next version, and checks
 * that it is in force: another change with this version may have come first.
 * Takes over the document; fault: why it wasn't changed, or NULL. */
static EyCtlExit_t
replace_routes(const Ctl_t *self, json_t *document, const char *fault)
{
    EyCtlExit_t code = EY_CTL_REFUSED;
    if (fault != NULL) {
        (void)fprintf(self->err, "ebonyyardctl: %s\n", fault);
        json_decref(document);
        return code;
    }
    json_int_t version =
        json_integer_value(json_object_get(document, "version")) + 1;
    (void)json_object_set_new(document, "version", json_integer(version));
    code = EyCtl_SendIdempotent(self, "PUT", "/v1/config/routes",
                                json_incref(document));
    json_t *newest = code == EY_CTL_DONE
                         ? EyCtl_Get(self, "/v1/config/routes", &code)
                         : NULL;
    if (newest != NULL && !json_equal(newest, document)) {
        (void)fprintf(self->err, "ebonyyardctl: another table came first; "
                                 "repeat the command\n");
        code = EY_CTL_CONFLICT;
    }
    json_decref(newest);
    json_decref(document);
    return code;
}

EyCtlExit_t
EyCtl_RunAccountSet(const Ctl_t *self)
{
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config/routes", &code);
    return json == NULL
               ? code
               : replace_routes(self, json,
                                EyCtlAccounts_Set(json, self->arguments[0],
                                                  self->arguments[1],
                                                  self->arguments[2]));
}

/** Reads the key in the file of that name; NULL after printing an error. */
static char *
read_key(const Ctl_t *self, const char *path)
{
    bool is_stdin = strcmp(path, "-") == 0;
    FILE *file = is_stdin ? stdin : fopen(path, "r");
    char *key = file != NULL ? EyCtlAccounts_ReadKey(file) : NULL;
    if (file != NULL && !is_stdin) {
        (void)fclose(file);
    }
    if (key == NULL) {
        (void)fprintf(self->err,
                      "ebonyyardctl: %s: expected a key of 1 to "
                      "512 bytes in its first line\n",
                      path);
    }
    return key;
}

EyCtlExit_t
EyCtl_RunAccountKey(const Ctl_t *self)
{
    const char *name = self->arguments[1];
    const char *given = self->arguments[2];
    bool is_added = strcmp(self->arguments[0], "add") == 0;
    if (!is_added && strcmp(self->arguments[0], "remove") != 0) {
        (void)fprintf(self->err, "ebonyyardctl: account key: expected add or "
                                 "remove\n");
        return EY_CTL_USAGE;
    }
    char *key = is_added ? read_key(self, given) : NULL;
    if (is_added && key == NULL) {
        return EY_CTL_USAGE;
    }
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config/routes", &code);
    if (json != NULL) {
        const char *fault = is_added
                                ? EyCtlAccounts_AddKey(json, name, key)
                                : EyCtlAccounts_RemoveKey(json, name, given);
        code = replace_routes(self, json, fault);
    }
    g_free(key);
    return code;
}
