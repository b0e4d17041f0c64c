#include "operators/operators.h"

#include "core/log.h"
#include "core/memory.h"

#include <string.h>
#include <strings.h>

EY_DEFINE_ERROR_DOMAIN(Operators, "ey-operators")

#define CONFIG_PATH "/v1/config"
#define BEARER_PREFIX "Bearer "
#define RETRY_AFTER_S 2

/** The body of a change; fields that its kind doesn't need may be missing. */
typedef struct Body {
    uint64_t version;
    EyName_t change_id;
    EyName_t author;
    EyName_t key;
    char scope[EY_NAME_SIZE_BYTES + 16];
    EyChangeReason_t reason;
    uint32_t duration_s;
} Body_t;

static const EyField_t BodyFields[] = {
    EY_FIELD_REQUIRED(Body_t, version, EY_FIELD_U64),
    EY_FIELD_REQUIRED_TEXT(Body_t, change_id),
    EY_FIELD_REQUIRED_TEXT(Body_t, author),
    EY_FIELD_TEXT(Body_t, key),
    EY_FIELD_TEXT(Body_t, scope),
    EY_FIELD_TEXT(Body_t, reason),
    EY_FIELD(Body_t, duration_s, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t BodySchema = EY_SCHEMA(Body_t, BodyFields);

/* The operators' token */

char *
EyOperators_ReadToken(const void *ctx, const char *path, GError **error)
{
    gchar *text = NULL;
    GError *cause = NULL;
    if (!g_file_get_contents(path, &text, NULL, &cause)) {
        g_propagate_error(error, cause);
        EyError_Wrap(error, EY_OPERATORS_ERROR, EY_OPERATORS_ERROR_TOKEN,
                     "operators' token");
        return NULL;
    }
    text[strcspn(text, "\r\n")] = '\0';
    char *token = NULL;
    if (strlen(text) >= EY_OPERATORS_TOKEN_MIN_BYTES) {
        token = EyMemory_Strdup(ctx, text);
    }
    else {
        g_set_error(error, EY_OPERATORS_ERROR, EY_OPERATORS_ERROR_TOKEN,
                    "operators' token: expected at least %d characters in the "
                    "first line of %s",
                    EY_OPERATORS_TOKEN_MIN_BYTES, path);
    }
    g_free(text);
    return token;
}

static const char *
find_header(const EyRequest_t *request, const char *name)
{
    for (uint32_t i = 0; i < request->header_count; i++) {
        if (strcasecmp(request->headers[i].name, name) == 0) {
            return request->headers[i].value;
        }
    }
    return NULL;
}

static bool
tokens_match(const char *left, const char *right)
{
    size_t length = strlen(right);
    if (strlen(left) != length) {
        return false;
    }
    volatile unsigned char difference = 0;
    for (size_t i = 0; i < length; i++) {
        difference |= (unsigned char)left[i] ^ (unsigned char)right[i];
    }
    return difference == 0;
}

bool
EyOperators_IsAllowed(const EyRequest_t *request, const char *token)
{
    if (token == NULL) {
        return true;
    }
    const char *given = find_header(request, "Authorization");
    return given != NULL &&
           strncasecmp(given, BEARER_PREFIX, strlen(BEARER_PREFIX)) == 0 &&
           tokens_match(given + strlen(BEARER_PREFIX), token);
}

EyAnswer_t *
EyOperators_AnswerUnauthorized(void)
{
    EyAnswer_t *answer = EyAnswer_Problem(
        EY_PROBLEM_UNAUTHORIZED, EY_OUTCOME_NOT_RUN, 0,
        "expected header Authorization: Bearer with the token "
        "from the operators' token file");
    EyAnswer_SetHeader(answer, "WWW-Authenticate", "Bearer");
    return answer;
}

/* JSON of the store's content */

static json_t *
default_to_json(const EyConfig_t *config, EyDefaultKey_t key)
{
    const EyDefault_t *row = &EyDefaults_table[key];
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:s}", "key", row->name, "value",
        EyConfig_Get(config, key, NULL, NULL, NULL), "unit",
        row->unit != NULL ? row->unit : "", "initial", row->initial, "changed",
        EyConfig_FindSetting(config, row->name) != NULL, "help", row->help);
}

static json_t *
exception_to_json(const EyStore_t *store, const EyException_t *exception)
{
    char scope[EY_NAME_SIZE_BYTES + 16];
    (void)g_snprintf(scope, sizeof(scope), "%s:%s",
                     EyDefaults_scope_names[exception->scope_kind],
                     exception->scope_name);
    json_t *json = json_pack(
        "{s:I, s:s, s:s, s:s, s:s, s:s}", "id", (json_int_t)exception->id,
        "key", exception->key, "scope", scope, "value", exception->value,
        "reason", exception->reason, "author", exception->author);
    if (json != NULL && exception->ends_at_tick != 0) {
        uint64_t ticks = exception->ends_at_tick - store->tick;
        (void)json_object_set_new(
            json, "ends_in_s",
            json_integer((json_int_t)ticks * EY_STORE_TICK_S));
    }
    return json;
}

static json_t *
groups_to_json(const EyStore_t *store)
{
    json_t *groups = json_array();
    for (uint32_t i = 0; i < store->group_count; i++) {
        (void)json_array_append_new(
            groups, EySchema_ToJson(&EyGroupEpoch_schema, &store->groups[i]));
    }
    return groups;
}

static json_t *
evacuated_to_json(const EyStore_t *store)
{
    json_t *zones = json_array();
    for (uint32_t i = 0; i < store->evacuated_count; i++) {
        (void)json_array_append_new(zones, json_string(store->evacuated[i]));
    }
    return zones;
}

static EyAnswer_t *
get_config(const EyStore_t *store)
{
    const EyConfig_t *config = &store->config;
    json_t *defaults = json_array();
    for (int i = 0; i < EY_DEFAULT_COUNT; i++) {
        (void)json_array_append_new(
            defaults, default_to_json(config, (EyDefaultKey_t)i));
    }
    json_t *exceptions = json_array();
    for (uint32_t i = 0; i < config->exception_count; i++) {
        (void)json_array_append_new(
            exceptions, exception_to_json(store, &config->exceptions[i]));
    }
    return EyAnswer_Json(
        200,
        json_pack("{s:I, s:I, s:o, s:o, s:o, s:I, s:o}", "version",
                  (json_int_t)config->version, "revision",
                  (json_int_t)config->revision, "defaults", defaults,
                  "exceptions", exceptions, "groups", groups_to_json(store),
                  "routes_version", (json_int_t)store->routes_version,
                  "evacuated_zones", evacuated_to_json(store)));
}

static EyAnswer_t *
get_history(const EyStore_t *store)
{
    json_t *history = json_array();
    for (uint32_t i = 0; i < store->history_count; i++) {
        (void)json_array_append_new(
            history,
            EySchema_ToJson(&EyHistoryRecord_schema, &store->history[i]));
    }
    return EyAnswer_Json(200, json_pack("{s:I, s:o}", "version",
                                        (json_int_t)store->config.version,
                                        "history", history));
}

/* Reading a change's body */

static EyAnswer_t *
bad_request(const char *detail)
{
    return EyAnswer_Problem(EY_PROBLEM_BAD_REQUEST, EY_OUTCOME_NOT_RUN, 0,
                            detail);
}

static bool
is_printable(const char *text)
{
    for (; *text != '\0'; text++) {
        if (!g_ascii_isprint(*text)) {
            return false;
        }
    }
    return true;
}

/** Converts a JSON string, integer or boolean to a value's text; false if it
 * is of another type or too long. */
static bool
value_to_text(const json_t *json, EyValueText_t text)
{
    if (json_is_string(json)) {
        return strlen(json_string_value(json)) == json_string_length(json) &&
               EyText_Copy(text, EY_VALUE_SIZE_BYTES, json_string_value(json));
    }
    if (json_is_integer(json)) {
        (void)g_snprintf(text, EY_VALUE_SIZE_BYTES, "%" JSON_INTEGER_FORMAT,
                         json_integer_value(json));
        return true;
    }
    if (json_is_boolean(json)) {
        return EyText_Copy(text, EY_VALUE_SIZE_BYTES,
                           json_is_true(json) ? "true" : "false");
    }
    return false;
}

static void
fill_command(EyCommand_t *command, const Body_t *body)
{
    command->version = body->version;
    (void)EY_COPY(command->change_id, body->change_id);
    (void)EY_COPY(command->author, body->author);
    (void)EY_COPY(command->reason, body->reason);
    if (command->kind == EY_COMMAND_ADD_EXCEPTION) {
        (void)EY_COPY(command->key, body->key);
        (void)EY_COPY(command->scope, body->scope);
        command->duration_s = body->duration_s;
    }
}

/** Reads the body's JSON into the command; returns NULL, or an answer with the
 * problem. */
static EyAnswer_t *
read_json(json_t *json, EyCommand_t *command)
{
    Body_t body;
    GError *error = NULL;
    if (!EySchema_FromJson(&BodySchema, NULL, json, &body, &error)) {
        EyAnswer_t *answer = bad_request(error->message);
        g_error_free(error);
        return answer;
    }
    if (body.change_id[0] == '\0' || body.author[0] == '\0' ||
        !is_printable(body.change_id) || !is_printable(body.author))
    {
        return bad_request("field change_id, author: expected a name");
    }
    bool has_value = command->kind != EY_COMMAND_REMOVE_EXCEPTION;
    if (has_value &&
        !value_to_text(json_object_get(json, "value"), command->value))
    {
        return bad_request(
            "field value: expected a string, an integer, true or "
            "false");
    }
    fill_command(command, &body);
    EyCommandResult_t result;
    if (!EyStore_Check(command, &result)) {
        return bad_request(result.text);
    }
    return NULL;
}

static EyAnswer_t *
read_body(const EyRequest_t *request, EyCommand_t *command)
{
    json_error_t parse_error;
    json_t *json =
        json_loadb((const char *)request->body.data, request->body.size_bytes,
                   JSON_REJECT_DUPLICATES, &parse_error);
    if (json == NULL) {
        char text[256];
        (void)g_snprintf(text, sizeof(text), "body: not JSON at byte %d: %s",
                         parse_error.position, parse_error.text);
        return bad_request(text);
    }
    EyAnswer_t *answer = read_json(json, command);
    json_decref(json);
    return answer;
}

static EyOperatorsReply_t
reply_with(EyAnswer_t *answer)
{
    return (EyOperatorsReply_t){.answer = answer};
}

static EyOperatorsReply_t
wrong_method(const char *allowed)
{
    EyAnswer_t *answer =
        EyAnswer_Problem(EY_PROBLEM_METHOD, EY_OUTCOME_NOT_RUN, 0, allowed);
    EyAnswer_SetHeader(answer, "Allow", allowed);
    return reply_with(answer);
}

/* Handlers; rest is the part of the path after the route's prefix. */

static EyOperatorsReply_t
on_config(const EyRequest_t *request, const EyStore_t *store, const char *rest)
{
    (void)request;
    (void)rest;
    return reply_with(get_config(store));
}

static EyOperatorsReply_t
on_history(const EyRequest_t *request, const EyStore_t *store,
           const char *rest)
{
    (void)request;
    (void)rest;
    return reply_with(get_history(store));
}

static EyOperatorsReply_t
on_default(const EyRequest_t *request, const EyStore_t *store,
           const char *rest)
{
    (void)store;
    EyOperatorsReply_t reply = {.command.kind = EY_COMMAND_SET_DEFAULT};
    if (!EY_COPY(reply.command.key, rest)) {
        return reply_with(bad_request("no such key"));
    }
    reply.answer = read_body(request, &reply.command);
    return reply;
}

static EyOperatorsReply_t
on_add_exception(const EyRequest_t *request, const EyStore_t *store,
                 const char *rest)
{
    (void)store;
    (void)rest;
    EyOperatorsReply_t reply = {.command.kind = EY_COMMAND_ADD_EXCEPTION};
    reply.answer = read_body(request, &reply.command);
    return reply;
}

static EyOperatorsReply_t
on_remove_exception(const EyRequest_t *request, const EyStore_t *store,
                    const char *rest)
{
    (void)store;
    EyOperatorsReply_t reply = {.command.kind = EY_COMMAND_REMOVE_EXCEPTION};
    char *end = NULL;
    reply.command.exception_id = g_ascii_strtoull(rest, &end, 10);
    if (!g_ascii_isdigit(rest[0]) || *end != '\0') {
        return reply_with(bad_request("the exception's id: expected a number, "
                                      "as in /v1/config/exceptions/7"));
    }
    reply.answer = read_body(request, &reply.command);
    return reply;
}

/* Handlers of route tables and evacuations */

static EyOperatorsReply_t
on_get_routes(const EyRequest_t *request, const EyStore_t *store,
              const char *rest)
{
    (void)request;
    (void)store;
    (void)rest;
    return (EyOperatorsReply_t){
        .is_read = true,
        .command.kind = EY_COMMAND_NONE,
    };
}

EyAnswer_t *
EyOperators_AnswerRead(const EyStore_t *store)
{
    if (store->routes_version == 0) {
        return EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0,
                                "no route table has been set yet");
    }
    EyAnswer_t *answer = EyAnswer_Text(200, "application/json", "");
    answer->body = (EyBytes_t){
        .data = EyMemory_Copy(answer, store->routes.data,
                              store->routes.size_bytes),
        .size_bytes = store->routes.size_bytes,
    };
    return answer;
}

static EyOperatorsReply_t
on_put_routes(const EyRequest_t *request, const EyStore_t *store,
              const char *rest)
{
    (void)store;
    (void)rest;
    if (request->body.size_bytes > EY_ROUTE_DOCUMENT_MAX_BYTES) {
        return reply_with(
            EyAnswer_Problem(EY_PROBLEM_TOO_LARGE, EY_OUTCOME_NOT_RUN, 0,
                             "a route table may have 2 MiB at most"));
    }
    GError *error = NULL;
    EyRouteTable_t *table = EyRouteTable_Parse(NULL, &request->body, &error);
    if (table == NULL) {
        EyAnswer_t *answer = bad_request(error->message);
        g_error_free(error);
        return reply_with(answer);
    }
    EyOperatorsReply_t reply = {
        .command =
            {
                .kind = EY_COMMAND_REPLACE_ROUTES,
                .routes_version = table->version,
                .document = request->body,
            },
    };
    talloc_free(table);
    return reply;
}

/** The body of an evacuation: who evacuates the zone and why. All fields are
 * optional. */
static const EyField_t EvacuationFields[] = {
    EY_FIELD_TEXT(Body_t, change_id),
    EY_FIELD_TEXT(Body_t, author),
    EY_FIELD_TEXT(Body_t, reason),
    EY_FIELD_END,
};
static const EySchema_t EvacuationSchema = EY_SCHEMA(Body_t, EvacuationFields);

/** Reads the optional body of an evacuation into the command; returns NULL, or
 * an answer with the problem. */
static EyAnswer_t *
read_evacuation_body(const EyRequest_t *request, EyCommand_t *command)
{
    if (request->body.size_bytes == 0) {
        return NULL;
    }
    GError *error = NULL;
    json_t *json =
        json_loadb((const char *)request->body.data, request->body.size_bytes,
                   JSON_REJECT_DUPLICATES, NULL);
    Body_t body;
    bool is_valid = json != NULL && EySchema_FromJson(&EvacuationSchema, NULL,
                                                      json, &body, &error);
    json_decref(json);
    if (!is_valid) {
        EyAnswer_t *answer = bad_request(
            error != NULL ? error->message : "body: expected JSON or nothing");
        g_clear_error(&error);
        return answer;
    }
    fill_command(command, &body);
    return NULL;
}

static EyOperatorsReply_t
handle_evacuation(const EyRequest_t *request, EyCommandKind_t kind,
                  const char *zone)
{
    EyOperatorsReply_t reply = {.command.kind = kind};
    if (!EY_COPY(reply.command.key, zone) || !is_printable(zone)) {
        return reply_with(bad_request("the zone: expected a name of 1 to 63 "
                                      "printable characters"));
    }
    reply.answer = read_evacuation_body(request, &reply.command);
    return reply;
}

static EyOperatorsReply_t
on_evacuate(const EyRequest_t *request, const EyStore_t *store,
            const char *rest)
{
    (void)store;
    return handle_evacuation(request, EY_COMMAND_EVACUATE_ZONE, rest);
}

static EyOperatorsReply_t
on_restore(const EyRequest_t *request, const EyStore_t *store,
           const char *rest)
{
    (void)store;
    return handle_evacuation(request, EY_COMMAND_RESTORE_ZONE, rest);
}

/** Room for the methods of one path. */
#define ALLOWED_SIZE_BYTES 64

typedef struct Route {
    const char *method;
    const char *prefix;
    bool has_rest;
    EyOperatorsReply_t (*handle)(const EyRequest_t *request,
                                 const EyStore_t *store, const char *rest);
} Route_t;

static const Route_t Routes[] = {
    {"GET", CONFIG_PATH, false, on_config},
    {"GET", CONFIG_PATH "/history", false, on_history},
    {"PUT", CONFIG_PATH "/defaults/", true, on_default},
    {"POST", CONFIG_PATH "/exceptions", false, on_add_exception},
    {"DELETE", CONFIG_PATH "/exceptions/", true, on_remove_exception},
    {"GET", CONFIG_PATH "/routes", false, on_get_routes},
    {"PUT", CONFIG_PATH "/routes", false, on_put_routes},
    {"PUT", CONFIG_PATH "/evacuations/", true, on_evacuate},
    {"DELETE", CONFIG_PATH "/evacuations/", true, on_restore},
};

static bool
matches(const Route_t *route, const char *path)
{
    size_t length = strlen(route->prefix);
    return strncmp(path, route->prefix, length) == 0 &&
           (path[length] != '\0') == route->has_rest;
}

static EyOperatorsReply_t
find_route(const EyRequest_t *request, const EyStore_t *store,
           const char *path)
{
    /* The methods of the path, separated by commas. */
    char allowed[ALLOWED_SIZE_BYTES] = "";
    for (size_t i = 0; i < G_N_ELEMENTS(Routes); i++) {
        const Route_t *route = &Routes[i];
        if (!matches(route, path)) {
            continue;
        }
        if (strcmp(route->method, request->method) == 0) {
            return route->handle(request, store, path + strlen(route->prefix));
        }
        (void)g_strlcat(allowed, allowed[0] != '\0' ? ", " : "",
                        sizeof(allowed));
        (void)g_strlcat(allowed, route->method, sizeof(allowed));
    }
    if (allowed[0] != '\0') {
        return wrong_method(allowed);
    }
    return reply_with(
        EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0, NULL));
}

EyOperatorsReply_t
EyOperators_Handle(const EyRequest_t *request, const EyStore_t *store,
                   const char *token)
{
    if (!EyOperators_IsAllowed(request, token)) {
        return reply_with(EyOperators_AnswerUnauthorized());
    }
    char *path = EyMemory_Strdup(NULL, request->path);
    path[strcspn(path, "?")] = '\0';
    EyOperatorsReply_t reply = find_route(request, store, path);
    talloc_free(path);
    return reply;
}

/* Answers to changes, from the outcome of the proposal */

static const EyProblem_t ProblemByStatus[EY_COMMAND_RESULT_STATUS_COUNT] = {
    [EY_COMMAND_RESULT_CONFLICT] = EY_PROBLEM_CONFLICT,
    [EY_COMMAND_RESULT_INVALID] = EY_PROBLEM_BAD_REQUEST,
    [EY_COMMAND_RESULT_NOT_FOUND] = EY_PROBLEM_NOT_FOUND,
    [EY_COMMAND_RESULT_ID_REUSED] = EY_PROBLEM_KEY_REUSED,
};

EyAnswer_t *
EyOperators_AnswerChange(EyProposalOutcome_t outcome,
                         const EyCommandResult_t *result)
{
    if (outcome == EY_PROPOSAL_REJECTED) {
        return EyAnswer_Problem(
            EY_PROBLEM_NO_QUORUM, EY_OUTCOME_NOT_RUN, RETRY_AFTER_S,
            "the control processes have no quorum; nothing was changed");
    }
    if (outcome == EY_PROPOSAL_UNKNOWN) {
        return EyAnswer_Problem(
            EY_PROBLEM_OUTCOME_UNKNOWN, EY_OUTCOME_UNKNOWN, RETRY_AFTER_S,
            "the change may have been made or not; send it again with the "
            "same change_id to find out");
    }
    if (result->status != EY_COMMAND_RESULT_DONE) {
        return EyAnswer_Problem(ProblemByStatus[result->status],
                                EY_OUTCOME_NOT_RUN, 0, result->text);
    }
    json_t *json =
        json_pack("{s:I, s:I}", "version", (json_int_t)result->version,
                  "revision", (json_int_t)result->revision);
    if (result->exception_id != 0) {
        (void)json_object_set_new(
            json, "exception_id",
            json_integer((json_int_t)result->exception_id));
    }
    return EyAnswer_Json(200, json);
}

void
EyOperators_LogOld(const EyRequest_t *request, int64_t age_ms)
{
    EY_LOG(EY_LOG_WARNING, "operators", "order_too_old",
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_TEXT("path", request->path), EY_LOG_NUMBER("age_ms", age_ms),
           EY_LOG_TEXT("outcome", "refused, not carried out"));
}

EyAnswer_t *
EyOperators_RefuseOld(void)
{
    return EyAnswer_Problem(EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN, 1,
                            "the order is too old; retry");
}
