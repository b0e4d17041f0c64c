#include "callers/parse.h"

#include "callers/route.h"
#include "core/memory.h"
#include "exchange/hop_headers.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

/* Longest name and value of a header that is forwarded. */
#define HEADER_NAME_MAX_BYTES 128
#define HEADER_VALUE_MAX_BYTES 8192

static EyAnswer_t *
refuse(EyProblem_t problem, const char *detail)
{
    return EyAnswer_Problem(problem, EY_OUTCOME_NOT_RUN, 0, detail);
}

/** True if text has only visible ASCII characters. */
static bool
is_visible(const char *text)
{
    for (; *text != '\0'; text++) {
        if (!g_ascii_isgraph(*text)) {
            return false;
        }
    }
    return true;
}

static bool
is_method(const char *method)
{
    size_t size_bytes = strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");
    return size_bytes > 0 && size_bytes < 16 && method[size_bytes] == '\0';
}

/** Validates method and path, and sets the method. */
static EyAnswer_t *
parse_line(EyRequest_t *request, const char *method, const char *path)
{
    if (!is_method(method)) {
        return refuse(EY_PROBLEM_METHOD,
                      "the method must be 1 to 15 uppercase letters");
    }
    (void)EY_COPY(request->method, method);
    if (strlen(path) >= EY_REQUEST_PATH_MAX_BYTES) {
        return refuse(EY_PROBLEM_HEADERS_TOO_LARGE, "the path is too long");
    }
    if (path[0] != '/' || !is_visible(path) || strchr(path, '#') != NULL) {
        return refuse(EY_PROBLEM_BAD_REQUEST,
                      "the path must start with / and be visible ASCII");
    }
    return NULL;
}

EyAnswer_t *
EyParse_Line(EyRequest_t *request, const char *method, const char *path)
{
    EyAnswer_t *refusal = parse_line(request, method, path);
    return refusal != NULL ? refusal : EyRoute_Apply(request, path);
}

EyAnswer_t *
EyParse_RoutedLine(EyRequest_t *request, const char *method, const char *path)
{
    request->call = EY_CALL_ROUTED;
    EyAnswer_t *refusal = parse_line(request, method, path);
    if (refusal == NULL) {
        request->path = EyMemory_Strdup(request, path);
    }
    return refusal;
}

static bool
is_header_name(const char *name)
{
    size_t size_bytes = 0;
    for (; name[size_bytes] != '\0'; size_bytes++) {
        char c = name[size_bytes];
        if (!g_ascii_isalnum(c) && strchr("!#$%&'*+-.^_`|~", c) == NULL) {
            return false;
        }
    }
    return size_bytes > 0;
}

/** True if the value has no control characters except tabs. */
static bool
is_header_value(const char *value)
{
    for (; *value != '\0'; value++) {
        if (g_ascii_iscntrl(*value) && *value != '\t') {
            return false;
        }
    }
    return true;
}

/** Parses decimal digits; false if text is not a number or above limit. */
static bool
parse_number(const char *text, int64_t limit, int64_t *number)
{
    *number = 0;
    if (*text == '\0') {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (!g_ascii_isdigit(*text) || *number > limit) {
            return false;
        }
        *number = *number * 10 + (*text - '0');
    }
    return *number <= limit;
}

/** Copies the value of a header that may occur once and must be visible ASCII.
 */
static bool
parse_text(char *field, uint32_t field_size_bytes, const char *value)
{
    return field[0] == '\0' && value[0] != '\0' && is_visible(value) &&
           EyText_Copy(field, field_size_bytes, value);
}

static const char *
parse_id(EyParsedHead_t *self, const char *value)
{
    return parse_text(self->request->id, sizeof(self->request->id), value)
               ? NULL
               : "the request id must be 1 to 255 visible ASCII characters, "
                 "given once";
}

static const char *
parse_resumes(EyParsedHead_t *self, const char *value)
{
    return parse_text(self->request->resumes, EY_KEY_SIZE_BYTES, value)
               ? NULL
               : "the id of the resumed attempt must be 1 to 255 visible "
                 "ASCII characters";
}

static const char *
parse_last_event(EyParsedHead_t *self, const char *value)
{
    self->request->resumes_stream = value[0] != '\0';
    return NULL;
}

static const char *
parse_key(EyParsedHead_t *self, const char *value)
{
    char *field = self->request->idempotency_key;
    return parse_text(field, EY_KEY_SIZE_BYTES, value)
               ? NULL
               : "Idempotency-Key must be 1 to 255 visible ASCII characters";
}

static const char *
parse_home(EyParsedHead_t *self, const char *value)
{
    return parse_text(self->request->home, EY_NAME_SIZE_BYTES, value)
               ? NULL
               : "Ebonyyard-Home must be the name of a region";
}

static const char *
parse_account(EyParsedHead_t *self, const char *value)
{
    return parse_text(self->request->account, EY_NAME_SIZE_BYTES, value)
               ? NULL
               : "Ebonyyard-Account must be 1 to 63 visible ASCII characters";
}

static const char *
parse_timeout(EyParsedHead_t *self, const char *value)
{
    int64_t timeout_ms = 0;
    if (self->timeout_ms != 0 ||
        !parse_number(value, EY_REQUEST_TIMEOUT_MAX_MS, &timeout_ms) ||
        timeout_ms == 0)
    {
        return "the timeout must be a whole number of milliseconds from 1 to "
               "3600000, given once";
    }
    self->timeout_ms = (uint32_t)timeout_ms;
    return NULL;
}

static const char *
parse_host(EyParsedHead_t *self, const char *value)
{
    return EY_COPY(self->request->host, value)
               ? NULL
               : "Host is longer than 255 bytes";
}

/** Parses up to count numbers of a comma-separated list; returns how many were
 * valid up to the first invalid one. */
static uint32_t
parse_list(const char *value, uint32_t *numbers, uint32_t count)
{
    uint32_t found = 0;
    gchar **items = g_strsplit(value, ",", -1);
    for (gchar **item = items; *item != NULL && found < count; item++) {
        int64_t number = 0;
        if (!parse_number(g_strstrip(*item), G_MAXUINT32, &number)) {
            break;
        }
        numbers[found++] = (uint32_t)number;
    }
    g_strfreev(items);
    return found;
}

/* Headers that describe the size of a model call are hints: an invalid one is
 * forwarded but otherwise ignored. */

static const char *
parse_tokens(EyParsedHead_t *self, const char *value)
{
    uint32_t numbers[2];
    if (parse_list(value, numbers, 2) == 2) {
        self->request->prompt_tokens = numbers[0];
        self->request->tokens_max = numbers[1];
    }
    return NULL;
}

static const char *
parse_length_hint(EyParsedHead_t *self, const char *value)
{
    (void)parse_list(value, &self->request->expected_tokens, 1);
    return NULL;
}

/** Parses one ID:TOKENS. */
static bool
parse_prompt_part(char *text, EyPromptPart_t *part)
{
    char *colon = strchr(text, ':');
    if (colon == NULL || colon == text) {
        return false;
    }
    *colon = '\0';
    gchar *end = NULL;
    int64_t tokens = 0;
    part->id = g_ascii_strtoull(text, &end, 16);
    bool good = *end == '\0' && parse_number(colon + 1, G_MAXUINT32, &tokens);
    part->tokens = (uint32_t)tokens;
    return good;
}

/** Parses parts up to the first invalid one or count_max; a new array in
 * request. Returns the item after them. */
static gchar **
parse_parts_until(EyRequest_t *request, gchar **items, uint32_t count_max,
                  EyPromptPart_t **parts, uint32_t *count)
{
    talloc_free(*parts);
    *parts = EY_NEW_ARRAY(request, EyPromptPart_t, count_max);
    *count = 0;
    gchar **item = items;
    while (*item != NULL && *count < count_max &&
           parse_prompt_part(g_strstrip(*item), &(*parts)[*count]))
    {
        (*count)++;
        item++;
    }
    return item;
}

static const char *
parse_prompt_parts(EyParsedHead_t *self, const char *value)
{
    EyRequest_t *request = self->request;
    gchar **items = g_strsplit(value, ",", -1);
    gchar **rest = parse_parts_until(request, items, EY_PROMPT_PARTS_MAX,
                                     &request->parts, &request->part_count);
    request->more_part_count = 0;
    if (*rest != NULL && request->part_count == EY_PROMPT_PARTS_MAX) {
        rest =
            parse_parts_until(request, rest, EY_PROMPT_MORE_PARTS_MAX,
                              &request->more_parts, &request->more_part_count);
    }
    request->are_parts_cut = *rest != NULL;
    g_strfreev(items);
    return NULL;
}

static const char *
parse_content_size(EyParsedHead_t *self, const char *value)
{
    self->framing_headers++;
    if (!parse_number(value, G_MAXINT64 / 16, &self->content_size_bytes)) {
        return "Content-Length must be a whole number";
    }
    return NULL;
}

static const char *
parse_transfer_encoding(EyParsedHead_t *self, const char *value)
{
    self->framing_headers++;
    if (strcasecmp(value, "chunked") != 0) {
        return "Transfer-Encoding must be chunked";
    }
    return NULL;
}

static const char *
parse_connection(EyParsedHead_t *self, const char *value)
{
    self->connection = value;
    return NULL;
}

typedef struct HeaderParser {
    const char *name; /* NULL: the name of the role in the header table */
    EyHeaderRole_t role;
    bool forwarded; /* also sent to the backend server */
    /** Returns an error message, or NULL. */
    const char *(*parse)(EyParsedHead_t *self, const char *value);
} HeaderParser_t;

static const HeaderParser_t HeaderParsers[] = {
    {.role = EY_HEADER_REQUEST_ID, .parse = parse_id},
    {.role = EY_HEADER_HOME, .parse = parse_home},
    {.role = EY_HEADER_ACCOUNT, .parse = parse_account},
    {.role = EY_HEADER_TIMEOUT, .parse = parse_timeout},
    {.role = EY_HEADER_TOKENS, .forwarded = true, .parse = parse_tokens},
    {.role = EY_HEADER_PROMPT_PARTS,
     .forwarded = true,
     .parse = parse_prompt_parts},
    {.role = EY_HEADER_LENGTH_HINT,
     .forwarded = true,
     .parse = parse_length_hint},
    {.role = EY_HEADER_LAST_EVENT,
     .forwarded = true,
     .parse = parse_last_event},
    {.role = EY_HEADER_RESUMES, .forwarded = true, .parse = parse_resumes},
    {.name = "Idempotency-Key", .parse = parse_key},
    {.name = "Host", .parse = parse_host},
    {.name = "Content-Length", .parse = parse_content_size},
    {.name = "Transfer-Encoding", .parse = parse_transfer_encoding},
    {.name = "Connection", .parse = parse_connection},
};

static const HeaderParser_t *
find_header_parser(const EyHeaderNames_t *names, const char *name)
{
    for (size_t i = 0; i < sizeof(HeaderParsers) / sizeof(HeaderParsers[0]);
         i++) {
        const HeaderParser_t *parser = &HeaderParsers[i];
        bool matches = parser->name != NULL
                           ? strcasecmp(parser->name, name) == 0
                           : EyHeaderNames_Is(names, parser->role, name);
        if (matches) {
            bool is_foreign =
                parser->parse == parse_key && names->forwards_idempotency_key;
            return is_foreign ? NULL : parser;
        }
    }
    return NULL;
}

static EyAnswer_t *
forward_header(EyParsedHead_t *self, const char *name, const char *value)
{
    if (EyHopHeaders_Has(name) || EyHeaderNames_IsReserved(self->names, name))
    {
        return NULL;
    }
    if (strlen(name) > HEADER_NAME_MAX_BYTES ||
        strlen(value) > HEADER_VALUE_MAX_BYTES)
    {
        return refuse(EY_PROBLEM_HEADERS_TOO_LARGE, name);
    }
    if (!EyRequest_AddHeader(self->request, name, value)) {
        return refuse(EY_PROBLEM_HEADERS_TOO_LARGE, "too many headers");
    }
    return NULL;
}

void
EyParse_Header(EyParsedHead_t *self, const char *name, const char *value)
{
    if (self->refusal != NULL) {
        return;
    }
    if (!is_header_name(name) || !is_header_value(value)) {
        self->refusal =
            refuse(EY_PROBLEM_BAD_REQUEST, "a header is malformed");
        return;
    }
    const HeaderParser_t *parser = find_header_parser(self->names, name);
    const char *fault = parser != NULL ? parser->parse(self, value) : NULL;
    if (fault != NULL) {
        self->refusal = refuse(EY_PROBLEM_BAD_REQUEST, fault);
    }
    else if (parser == NULL || parser->forwarded) {
        self->refusal = forward_header(self, name, value);
    }
}

/** True if a comma-separated list, such as Connection's value, contains the
 * name. */
static bool
list_has(const char *list, const char *name)
{
    gchar **items = g_strsplit(list, ",", -1);
    bool found = false;
    for (gchar **item = items; *item != NULL && !found; item++) {
        found = strcasecmp(g_strstrip(*item), name) == 0;
    }
    g_strfreev(items);
    return found;
}

/** Removes the headers that Connection names. */
static void
drop_connection_headers(EyRequest_t *request, const char *connection)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < request->header_count; i++) {
        if (!list_has(connection, request->headers[i].name)) {
            request->headers[kept++] = request->headers[i];
        }
    }
    request->header_count = kept;
}

EyAnswer_t *
EyParse_FinishHead(EyParsedHead_t *self)
{
    if (self->refusal != NULL) {
        return self->refusal;
    }
    if (self->framing_headers > 1) {
        return refuse(EY_PROBLEM_BAD_REQUEST,
                      "the length of the body must be given once");
    }
    if (self->content_size_bytes > (int64_t)EY_REQUEST_BODY_MAX_BYTES) {
        return refuse(EY_PROBLEM_TOO_LARGE, NULL);
    }
    if (self->connection != NULL) {
        drop_connection_headers(self->request, self->connection);
    }
    return NULL;
}

/** Reads an optional whole number; null counts as absent. */
static bool
parse_token_count(const json_t *body, const char *name, uint32_t *tokens)
{
    const json_t *value = json_object_get(body, name);
    if (value == NULL || json_is_null(value)) {
        return true;
    }
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || number > G_MAXUINT32) {
        return false;
    }
    *tokens = (uint32_t)number;
    return true;
}

static const char *
parse_model_call(EyRequest_t *request, const json_t *body)
{
    if (!json_is_object(body)) {
        return "the body must be a JSON object";
    }
    const char *model = json_string_value(json_object_get(body, "model"));
    if (model == NULL || *model == '\0' || !EY_COPY(request->target, model)) {
        return "model must be a string of 1 to 63 bytes";
    }
    const json_t *stream = json_object_get(body, "stream");
    if (stream != NULL && !json_is_boolean(stream) && !json_is_null(stream)) {
        return "stream must be true or false";
    }
    request->streamed = json_is_true(stream);
    if (!parse_token_count(body, "max_tokens", &request->tokens_max) ||
        !parse_token_count(body, "max_completion_tokens",
                           &request->tokens_max))
    {
        return "max_tokens must be a whole number";
    }
    return NULL;
}

EyAnswer_t *
EyParse_Body(EyRequest_t *request)
{
    if (request->call != EY_CALL_MODEL) {
        return NULL;
    }
    json_error_t where;
    json_t *body =
        json_loadb((const char *)request->body.data, request->body.size_bytes,
                   JSON_REJECT_DUPLICATES, &where);
    if (body == NULL) {
        return refuse(EY_PROBLEM_BAD_REQUEST, where.text);
    }
    const char *fault = parse_model_call(request, body);
    json_decref(body);
    return fault != NULL ? refuse(EY_PROBLEM_BAD_REQUEST, fault) : NULL;
}
