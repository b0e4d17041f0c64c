#include "operators/ctl.h"

#include "config/defaults.h"
#include "config/region_conflicts.h"
#include "core/memory.h"
#include "core/random.h"
#include "operators/ctl_internal.h"
#include "operators/ctl_print.h"
#include "operators/operators.h"

#include <curl/curl.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_SERVER "127.0.0.1:8080"
#define ATTEMPT_TIMEOUT_MS 6000
#define ATTEMPTS_MAX 5
#define VERSION_UNSET (-1)

static const char Usage[] =
    "COMMAND\n\n"
    "Commands:\n"
    "  get [KEY]                         defaults in force\n"
    "  set KEY VALUE                     change a default for the whole "
    "fleet\n"
    "  exception list                    exceptions with their reasons\n"
    "  exception add KEY SCOPE VALUE     add one; needs --reason\n"
    "                                    SCOPE: region:NAME, account:NAME,\n"
    "                                    model:NAME or service:NAME\n"
    "  exception remove ID               remove one\n"
    "  routes get                        the newest route table\n"
    "  routes put FILE                   replace it; the highest version\n"
    "                                    wins\n"
    "  account list                      client accounts of the route table\n"
    "  account show NAME                 one, with its keys' fingerprints\n"
    "  account set NAME FIELD VALUE      set a field, of a new account if\n"
    "                                    there is none; none removes it\n"
    "  account key add NAME FILE         add the key in a file; - for stdin\n"
    "  account key remove NAME FINGERPRINT\n"
    "  zone evacuate ZONE                stop routing requests to a zone\n"
    "  zone restore ZONE                 route requests to it again\n"
    "  zone list                         evacuated zones\n"
    "  history                           who changed what, and why\n"
    "  keys [--markdown]                 all keys with limits and meaning\n"
    "  dump                              state of each part of the server\n"
    "  instances                         entry instances, best first\n"
    "  backends                          backend servers\n"
    "  replicas                          backend servers as the gateway's\n"
    "                                    routing sees them\n"
    "  quotas                            accounts with a limit: of the fleet\n"
    "                                    at a control process that answers\n"
    "                                    reports, or as a gateway sees them\n"
    "  members                           of the replicated log, as a control\n"
    "                                    process sees them\n\n"
    "A change is based on the version in force, or the one given by\n"
    "--version; if another change was made first, it is refused (exit 1).\n"
    "Each change has an id. If an answer is lost, the change is sent again\n"
    "with the same id, so it is applied once. If the outcome is unknown,\n"
    "repeat the command with the --change-id and --version that were "
    "printed.\n\n"
    "Exit codes: 0 done; 1 another change was made first, nothing changed;\n"
    "2 invalid usage; 3 no server or no quorum, nothing changed; 4 the "
    "change\n"
    "may have been made; 5 refused: invalid value, not found or not "
    "allowed.\n"
    "\nOptions:";

/* Answers */

static EyCtlExit_t
exit_code_of(uint32_t status)
{
    switch (status) {
    case 0:
    case 503:
        return EY_CTL_UNAVAILABLE;
    case 409:
        return EY_CTL_CONFLICT;
    case 504:
        return EY_CTL_UNKNOWN;
    default:
        return status >= 200 && status < 300 ? EY_CTL_DONE : EY_CTL_REFUSED;
    }
}

static EyCtlExit_t
report_failure(const Ctl_t *self, const EyCtlAnswer_t *answer)
{
    EyCtlExit_t code = exit_code_of(answer->status);
    if (code != EY_CTL_DONE) {
        (void)fprintf(self->err, "ebonyyardctl: %s\n",
                      answer->error_text[0] != '\0'
                          ? answer->error_text
                          : "the server refused the request");
    }
    return code;
}

json_t *
EyCtl_Get(const Ctl_t *self, const char *path, EyCtlExit_t *code)
{
    EyCtlAnswer_t answer = EyCtlClient_Send(&self->client, "GET", path, NULL);
    *code = report_failure(self, &answer);
    if (*code == EY_CTL_DONE && answer.json == NULL) {
        (void)fprintf(self->err, "ebonyyardctl: the answer isn't JSON\n");
        *code = EY_CTL_REFUSED;
    }
    if (*code == EY_CTL_DONE) {
        return answer.json;
    }
    json_decref(answer.json);
    return NULL;
}

static EyCtlExit_t
show_rows(const Ctl_t *self, const char *path, const char *member,
          const EyCtlColumn_t *columns)
{
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, path, &code);
    if (json == NULL) {
        return code;
    }
    const json_t *rows = json_object_get(json, member);
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, rows != NULL ? rows : json);
    }
    else {
        EyCtlPrint_Table(self->out, rows, columns);
    }
    json_decref(json);
    return EY_CTL_DONE;
}

/* Commands that read */

static EyCtlExit_t
run_get(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"key", "KEY"}, {"value", "VALUE"}, {"unit", "UNIT"}, {NULL, NULL}};
    const char *key = self->argument_count > 0 ? self->arguments[0] : NULL;
    if (key == NULL) {
        return show_rows(self, "/v1/config", "defaults", Columns);
    }
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config", &code);
    if (json == NULL) {
        return code;
    }
    const json_t *rows = json_object_get(json, "defaults");
    code = EY_CTL_REFUSED;
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *row = json_array_get(rows, i);
        const char *name = json_string_value(json_object_get(row, "key"));
        if (name == NULL || strcmp(name, key) != 0) {
            continue;
        }
        code = EY_CTL_DONE;
        if (self->flags.json) {
            EyCtlPrint_Json(self->out, row);
        }
        else {
            (void)fprintf(self->out, "%s\n",
                          json_string_value(json_object_get(row, "value")));
        }
    }
    if (code != EY_CTL_DONE) {
        (void)fprintf(self->err, "ebonyyardctl: the server has no key %s\n",
                      key);
    }
    json_decref(json);
    return code;
}

static EyCtlExit_t
run_exception_list(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"id", "ID"},         {"key", "KEY"},       {"scope", "SCOPE"},
        {"value", "VALUE"},   {"author", "AUTHOR"}, {"ends_in_s", "ENDS IN S"},
        {"reason", "REASON"}, {NULL, NULL}};
    return show_rows(self, "/v1/config", "exceptions", Columns);
}

static EyCtlExit_t
run_history(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"version", "VERSION"}, {"kind", "CHANGE"},   {"key", "KEY"},
        {"scope", "SCOPE"},     {"before", "BEFORE"}, {"after", "AFTER"},
        {"author", "AUTHOR"},   {"reason", "REASON"}, {NULL, NULL}};
    return show_rows(self, "/v1/config/history", "history", Columns);
}

static EyCtlExit_t
run_instances(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"id", "ID"},     {"address", "ADDRESS"}, {"region", "REGION"},
        {"zone", "ZONE"}, {"weight", "WEIGHT"},   {"state", "STATE"},
        {NULL, NULL}};
    return show_rows(self, "/v1/instances", "instances", Columns);
}

static EyCtlExit_t
run_backends(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"id", "ID"},     {"address", "ADDRESS"}, {"region", "REGION"},
        {"zone", "ZONE"}, {"kind", "KIND"},       {"state", "STATE"},
        {NULL, NULL}};
    return show_rows(self, "/v1/dump", "backends", Columns);
}

/** The rows of all pools' replicas, each with its pool's target; the caller
 * owns the reference. */
static json_t *
collect_replicas(const json_t *dump)
{
    json_t *pools = NULL;
    (void)json_unpack((json_t *)dump, "{s:{s:{s:o}}}", "gateway", "router",
                      "pools", &pools);
    json_t *rows = json_array();
    for (size_t i = 0; i < json_array_size(pools); i++) {
        const json_t *pool = json_array_get(pools, i);
        const json_t *replicas = json_object_get(pool, "replicas");
        for (size_t j = 0; j < json_array_size(replicas); j++) {
            json_t *row = json_copy(json_array_get(replicas, j));
            (void)json_object_set(row, "target",
                                  json_object_get(pool, "target"));
            (void)json_array_append_new(rows, row);
        }
    }
    return rows;
}

static EyCtlExit_t
run_replicas(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {{"target", "TARGET"},
                                            {"id", "ID"},
                                            {"state", "STATE"},
                                            {"ejected", "EJECTED"},
                                            {"paused_ms", "PAUSED MS"},
                                            {"outstanding", "IN FLIGHT"},
                                            {"slots", "SLOTS"},
                                            {"unit_ms", "UNIT MS"},
                                            {NULL, NULL}};
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/dump", &code);
    if (json == NULL) {
        return code;
    }
    json_t *rows = collect_replicas(json);
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, rows);
    }
    else {
        EyCtlPrint_Table(self->out, rows, Columns);
    }
    json_decref(rows);
    json_decref(json);
    return EY_CTL_DONE;
}

static EyCtlExit_t
run_quotas(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {
        {"account", "ACCOUNT"},      {"rate_per_s", "RATE/S"},
        {"demand_per_s", "ASKED/S"}, {"own_per_s", "ASKED HERE/S"},
        {"level", "LEVEL"},          {"fraction", "ADMITTED"},
        {"share", "SHARE"},          {NULL, NULL}};
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/dump", &code);
    if (json == NULL) {
        return code;
    }
    json_t *rows = NULL;
    if (json_unpack(json, "{s:{s:{s:o}}}", "control", "quotas", "accounts",
                    &rows) != 0)
    {
        (void)json_unpack(json, "{s:{s:{s:o}}}", "gateway", "quotas",
                          "accounts", &rows);
    }
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, rows);
    }
    else {
        EyCtlPrint_Table(self->out, rows, Columns);
    }
    json_decref(json);
    return EY_CTL_DONE;
}

static EyCtlExit_t
run_members(const Ctl_t *self)
{
    static const EyCtlColumn_t Columns[] = {{"address", "ADDRESS"},
                                            {"role", "ROLE"},
                                            {"leader", "LEADER"},
                                            {"silent_ms", "SILENT MS"},
                                            {NULL, NULL}};
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/dump", &code);
    if (json == NULL) {
        return code;
    }
    json_t *rows =
        json_object_get(json_object_get(json, "control"), "members");
    if (rows == NULL) {
        (void)fputs("this server isn't a control process\n", self->err);
        code = EY_CTL_REFUSED;
    }
    else if (self->flags.json) {
        EyCtlPrint_Json(self->out, rows);
    }
    else {
        EyCtlPrint_Table(self->out, rows, Columns);
    }
    json_decref(json);
    return code;
}

static EyCtlExit_t
run_dump(const Ctl_t *self)
{
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/dump", &code);
    if (json != NULL) {
        EyCtlPrint_Json(self->out, json);
        json_decref(json);
    }
    return code;
}

static EyCtlExit_t
run_keys(const Ctl_t *self)
{
    if (self->flags.markdown) {
        char *page = EyDefaults_Markdown(NULL);
        (void)fputs(page, self->out);
        talloc_free(page);
        return EY_CTL_DONE;
    }
    static const EyCtlColumn_t Columns[] = {
        {"key", "KEY"},         {"type", "TYPE"},    {"unit", "UNIT"},
        {"initial", "INITIAL"}, {"help", "MEANING"}, {NULL, NULL}};
    json_t *rows = json_array();
    for (int i = 0; i < EY_DEFAULT_COUNT; i++) {
        const EyDefault_t *row = &EyDefaults_table[i];
        json_t *json =
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "key", row->name,
                      "type", EyDefaults_type_names[row->type], "unit",
                      row->unit != NULL ? row->unit : "", "initial",
                      row->initial, "help", row->help, "min",
                      (json_int_t)row->min, "max", (json_int_t)row->max);
        (void)json_array_append_new(rows, json);
    }
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, rows);
    }
    else {
        EyCtlPrint_Table(self->out, rows, Columns);
    }
    json_decref(rows);
    return EY_CTL_DONE;
}

/* Commands that change defaults and exceptions */

/** The version that a change is based on: --version or the one in force.
 * VERSION_UNSET, with *code set, if it can't be read. */
static long long
base_version(const Ctl_t *self, EyCtlExit_t *code)
{
    if (self->flags.version != VERSION_UNSET) {
        return self->flags.version;
    }
    json_t *json = EyCtl_Get(self, "/v1/config", code);
    if (json == NULL) {
        return VERSION_UNSET;
    }
    long long version = json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    return version;
}

static const char *
author_of(const Ctl_t *self)
{
    if (self->flags.author != NULL) {
        return self->flags.author;
    }
    const char *user = getenv("USER");
    return user != NULL && user[0] != '\0' ? user : "operator";
}

static json_t *
make_body(const Ctl_t *self, long long version)
{
    char id[40];
    (void)g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
                     EyRandom_SystemSeed());
    json_t *body = json_pack(
        "{s:I, s:s, s:s}", "version", (json_int_t)version, "change_id",
        self->flags.change_id != NULL ? self->flags.change_id : id, "author",
        author_of(self));
    if (body != NULL && self->flags.reason != NULL) {
        (void)json_object_set_new(body, "reason",
                                  json_string(self->flags.reason));
    }
    return body;
}

static void
report_change(const Ctl_t *self, const EyCtlAnswer_t *answer)
{
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, answer->json);
        return;
    }
    (void)fprintf(
        self->out, "version %" JSON_INTEGER_FORMAT "\n",
        json_integer_value(json_object_get(answer->json, "version")));
    json_t *id = json_object_get(answer->json, "exception_id");
    if (id != NULL) {
        (void)fprintf(self->out, "exception %" JSON_INTEGER_FORMAT "\n",
                      json_integer_value(id));
    }
}

/** Sends a change with a change id and a version; takes over body. */
static EyCtlExit_t
send_change(const Ctl_t *self, const char *method, const char *path,
            json_t *body)
{
    EyCtlAnswer_t answer = EyCtlClient_Send(&self->client, method, path, body);
    EyCtlExit_t code = report_failure(self, &answer);
    if (code == EY_CTL_DONE) {
        report_change(self, &answer);
    }
    else if (code == EY_CTL_UNKNOWN) {
        (void)fprintf(
            self->err,
            "the change may have been made; to find out, repeat the "
            "command with --change-id %s --version %" JSON_INTEGER_FORMAT "\n",
            json_string_value(json_object_get(body, "change_id")),
            json_integer_value(json_object_get(body, "version")));
    }
    json_decref(answer.json);
    json_decref(body);
    return code;
}

/** Checks key and value against the table of keys before anything is sent;
 * false after printing an error. */
static bool
check_value(const Ctl_t *self, const char *key_name, const char *value)
{
    EyDefaultKey_t key = EY_DEFAULT_COUNT;
    GError *error = NULL;
    if (EyDefaults_Find(key_name, &key, &error) &&
        EyDefaults_Check(key, value, NULL, &error))
    {
        return true;
    }
    (void)fprintf(self->err, "ebonyyardctl: %s\n", error->message);
    g_error_free(error);
    return false;
}

static EyCtlExit_t
run_set(const Ctl_t *self)
{
    const char *key = self->arguments[0];
    const char *value = self->arguments[1];
    EyCtlExit_t code = EY_CTL_DONE;
    if (!check_value(self, key, value)) {
        return EY_CTL_REFUSED;
    }
    long long version = base_version(self, &code);
    if (code != EY_CTL_DONE) {
        return code;
    }
    json_t *body = make_body(self, version);
    (void)json_object_set_new(body, "value", json_string(value));
    char *path = talloc_asprintf(NULL, "/v1/config/defaults/%s", key);
    code = send_change(self, "PUT", path, body);
    talloc_free(path);
    return code;
}

static EyCtlExit_t
run_exception_add(const Ctl_t *self)
{
    const char *key = self->arguments[0];
    const char *value = self->arguments[2];
    EyCtlExit_t code = EY_CTL_DONE;
    if (self->flags.reason == NULL) {
        (void)fprintf(self->err, "ebonyyardctl: --reason: expected why the "
                                 "exception is needed\n");
        return EY_CTL_USAGE;
    }
    if (!check_value(self, key, value)) {
        return EY_CTL_REFUSED;
    }
    long long version = base_version(self, &code);
    if (code != EY_CTL_DONE) {
        return code;
    }
    json_t *body = make_body(self, version);
    (void)json_object_set_new(body, "key", json_string(key));
    (void)json_object_set_new(body, "scope", json_string(self->arguments[1]));
    (void)json_object_set_new(body, "value", json_string(value));
    (void)json_object_set_new(body, "duration_s",
                              json_integer(self->flags.duration_s));
    return send_change(self, "POST", "/v1/config/exceptions", body);
}

static EyCtlExit_t
run_exception_remove(const Ctl_t *self)
{
    EyCtlExit_t code = EY_CTL_DONE;
    long long version = base_version(self, &code);
    if (code != EY_CTL_DONE) {
        return code;
    }
    char *path =
        talloc_asprintf(NULL, "/v1/config/exceptions/%s", self->arguments[0]);
    code = send_change(self, "DELETE", path, make_body(self, version));
    talloc_free(path);
    return code;
}

/* Commands for routes and zones */

static EyCtlExit_t
run_routes_get(const Ctl_t *self)
{
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config/routes", &code);
    if (json != NULL) {
        EyCtlPrint_Json(self->out, json);
        json_decref(json);
    }
    return code;
}

EyCtlExit_t
EyCtl_SendIdempotent(const Ctl_t *self, const char *method, const char *path,
                     json_t *body)
{
    EyCtlAnswer_t answer = EyCtlClient_Send(&self->client, method, path, body);
    EyCtlExit_t code = report_failure(self, &answer);
    if (code == EY_CTL_DONE && self->flags.json) {
        EyCtlPrint_Json(self->out, answer.json);
    }
    else if (code == EY_CTL_UNKNOWN) {
        (void)fprintf(self->err, "repeat the command to be sure\n");
    }
    json_decref(answer.json);
    json_decref(body);
    return code;
}

/** Warns of accounts and routes without a region in common. Other faults of a
 * table are reported by the process that receives it. */
static void
warn_of_conflicts(const Ctl_t *self, const json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    const EyBytes_t document = {.data = (uint8_t *)text,
                                .size_bytes = (uint32_t)strlen(text)};
    EyRouteTable_t *table = EyRouteTable_Parse(NULL, &document, NULL);
    if (table != NULL) {
        EyRegionConflicts_t found = EyRegionConflicts_Find(table);
        if (found.routes > 0) {
            (void)fprintf(self->err,
                          "ebonyyardctl: warning: %u routes and %u accounts "
                          "have no region in common, such as route %s and "
                          "account %s; such calls are refused\n",
                          found.routes, found.accounts, found.route,
                          found.account);
        }
        talloc_free(table);
    }
    free(text);
}

static EyCtlExit_t
run_routes_put(const Ctl_t *self)
{
    json_error_t parse_error;
    json_t *body = json_load_file(self->arguments[0], JSON_REJECT_DUPLICATES,
                                  &parse_error);
    if (body == NULL) {
        /* What the parser quotes may be a part of a key. */
        char *quoted = strstr(parse_error.text, " near ");
        if (quoted != NULL) {
            *quoted = '\0';
        }
        (void)fprintf(self->err, "ebonyyardctl: %s: line %d: %s\n",
                      self->arguments[0], parse_error.line, parse_error.text);
        return EY_CTL_USAGE;
    }
    warn_of_conflicts(self, body);
    return EyCtl_SendIdempotent(self, "PUT", "/v1/config/routes", body);
}

static EyCtlExit_t
change_zone(const Ctl_t *self, const char *method)
{
    json_t *body = make_body(self, 0);
    char *path =
        talloc_asprintf(NULL, "/v1/config/evacuations/%s", self->arguments[0]);
    EyCtlExit_t code = EyCtl_SendIdempotent(self, method, path, body);
    talloc_free(path);
    return code;
}

static EyCtlExit_t
run_zone_evacuate(const Ctl_t *self)
{
    return change_zone(self, "PUT");
}

static EyCtlExit_t
run_zone_restore(const Ctl_t *self)
{
    return change_zone(self, "DELETE");
}

static EyCtlExit_t
run_zone_list(const Ctl_t *self)
{
    EyCtlExit_t code = EY_CTL_DONE;
    json_t *json = EyCtl_Get(self, "/v1/config", &code);
    if (json == NULL) {
        return code;
    }
    const json_t *zones = json_object_get(json, "evacuated_zones");
    if (self->flags.json) {
        EyCtlPrint_Json(self->out, zones);
    }
    for (size_t i = 0; !self->flags.json && i < json_array_size(zones); i++) {
        (void)fprintf(self->out, "%s\n",
                      json_string_value(json_array_get(zones, i)));
    }
    json_decref(json);
    return EY_CTL_DONE;
}

/* Selecting the command, and its flags */

typedef struct Command {
    const char *name;
    const char *subcommand; /* NULL: none */
    int arguments_min;      /* arguments after name and subcommand */
    int arguments_max;
    EyCtlExit_t (*run)(const Ctl_t *self);
} Command_t;

static const Command_t Commands[] = {
    {"get", NULL, 0, 1, run_get},
    {"set", NULL, 2, 2, run_set},
    {"exception", "list", 0, 0, run_exception_list},
    {"exception", "add", 3, 3, run_exception_add},
    {"exception", "remove", 1, 1, run_exception_remove},
    {"routes", "get", 0, 0, run_routes_get},
    {"routes", "put", 1, 1, run_routes_put},
    {"account", "list", 0, 0, EyCtl_RunAccountList},
    {"account", "show", 1, 1, EyCtl_RunAccountShow},
    {"account", "set", 3, 3, EyCtl_RunAccountSet},
    {"account", "key", 3, 3, EyCtl_RunAccountKey},
    {"zone", "evacuate", 1, 1, run_zone_evacuate},
    {"zone", "restore", 1, 1, run_zone_restore},
    {"zone", "list", 0, 0, run_zone_list},
    {"history", NULL, 0, 0, run_history},
    {"keys", NULL, 0, 0, run_keys},
    {"dump", NULL, 0, 0, run_dump},
    {"instances", NULL, 0, 0, run_instances},
    {"backends", NULL, 0, 0, run_backends},
    {"replicas", NULL, 0, 0, run_replicas},
    {"quotas", NULL, 0, 0, run_quotas},
    {"members", NULL, 0, 0, run_members},
};

static int
count_words(const char **words)
{
    int count = 0;
    while (words != NULL && words[count] != NULL) {
        count++;
    }
    return count;
}

/** Finds the command and sets its arguments; NULL if there is none or the
 * number of arguments is wrong. */
static const Command_t *
find_command(Ctl_t *self, const char **words)
{
    int count = count_words(words);
    for (size_t i = 0; i < G_N_ELEMENTS(Commands); i++) {
        const Command_t *command = &Commands[i];
        int used = command->subcommand != NULL ? 2 : 1;
        if (count < used || strcmp(words[0], command->name) != 0 ||
            (used == 2 && strcmp(words[1], command->subcommand) != 0))
        {
            continue;
        }
        self->arguments = words + used;
        self->argument_count = count - used;
        bool is_count_valid = self->argument_count >= command->arguments_min &&
                              self->argument_count <= command->arguments_max;
        return is_count_valid ? command : NULL;
    }
    return NULL;
}

static EyCtlExit_t
run_command(Ctl_t *self, const char **words)
{
    const Command_t *command = find_command(self, words);
    if (command == NULL) {
        (void)fprintf(self->err, "ebonyyardctl: %s; see ebonyyardctl --help\n",
                      count_words(words) == 0
                          ? "expected a command"
                          : "no such command, or wrong number of arguments");
        return EY_CTL_USAGE;
    }
    GError *error = NULL;
    char *token = NULL;
    if (self->flags.token_file != NULL) {
        token = EyOperators_ReadToken(NULL, self->flags.token_file, &error);
        if (token == NULL) {
            (void)fprintf(self->err, "ebonyyardctl: %s\n", error->message);
            g_error_free(error);
            return EY_CTL_USAGE;
        }
    }
    self->client = (EyCtlClient_t){
        .servers = self->flags.server,
        .token = token,
        .attempt_timeout_ms = ATTEMPT_TIMEOUT_MS,
        .attempts_max = ATTEMPTS_MAX,
    };
    EyCtlExit_t code = command->run(self);
    talloc_free(token);
    return code;
}

/** Sets a flag that wasn't given to its environment variable or, without one,
 * to default_value. */
static void
set_flag_default(char **flag, const char *variable, const char *default_value)
{
    const char *value = getenv(variable);
    if (*flag != NULL) {
        return;
    }
    if (value == NULL || value[0] == '\0') {
        value = default_value;
    }
    *flag = value != NULL ? strdup(value) : NULL;
}

static void
free_flags(Flags_t *flags)
{
    free(flags->server);
    free(flags->token_file);
    free(flags->reason);
    free(flags->author);
    free(flags->change_id);
}

EyCtlExit_t
EyCtl_Run(int argc, const char **argv, FILE *out, FILE *err)
{
    Ctl_t self = {.out = out, .err = err};
    Flags_t *flags = &self.flags;
    flags->version = VERSION_UNSET;
    const struct poptOption options[] = {
        {"server", 's', POPT_ARG_STRING, &flags->server, 0,
         "servers to try in turn (EBONYYARD_SERVER; 127.0.0.1:8080)",
         "IP:port,..."},
        {"token-file", 't', POPT_ARG_STRING, &flags->token_file, 0,
         "file with the operators' token (EBONYYARD_TOKEN_FILE)", "FILE"},
        {"json", 'j', POPT_ARG_NONE, &flags->json, 0, "print JSON", NULL},
        {"reason", 'r', POPT_ARG_STRING, &flags->reason, 0,
         "reason of the change; required for an exception", "TEXT"},
        {"author", 'a', POPT_ARG_STRING, &flags->author, 0,
         "author of the change (default: $USER)", "NAME"},
        {"duration", 'd', POPT_ARG_INT, &flags->duration_s, 0,
         "seconds until an exception ends (0: no end)", "S"},
        {"version", 0, POPT_ARG_LONGLONG, &flags->version, 0,
         "version that the change is based on", "N"},
        {"change-id", 0, POPT_ARG_STRING, &flags->change_id, 0,
         "id of the change, to repeat an earlier one", "ID"},
        {"markdown", 0, POPT_ARG_NONE, &flags->markdown, 0,
         "with keys: print the documentation page", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    poptContext context =
        poptGetContext("ebonyyardctl", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, Usage);
    int read = poptGetNextOpt(context);
    set_flag_default(&flags->server, "EBONYYARD_SERVER", DEFAULT_SERVER);
    set_flag_default(&flags->token_file, "EBONYYARD_TOKEN_FILE", NULL);
    EyCtlExit_t code = EY_CTL_USAGE;
    if (read < -1) {
        (void)fprintf(err, "ebonyyardctl: %s: %s\n", poptBadOption(context, 0),
                      poptStrerror(read));
    }
    else if (flags->duration_s < 0) {
        (void)fprintf(err, "ebonyyardctl: --duration: expected 0 or more\n");
    }
    else {
        code = run_command(&self, poptGetArgs(context));
    }
    (void)poptFreeContext(context);
    curl_global_cleanup();
    free_flags(flags);
    return code;
}
