#include "exchange/answer.h"

#include "core/memory.h"

#include <float.h>
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MS_PER_S 1000.0
/** Longer delays are taken for malformed ones: one year. */
#define RETRY_AFTER_MAX_S 31536000.0
/** Larger counts in a load header are taken for malformed ones. */
#define LOAD_MAX 1000000U
#define PERCENT 100.0

typedef struct ProblemText {
    uint32_t status;
    const char *type;
    const char *title;
} ProblemText_t;

static const ProblemText_t ProblemTexts[EY_PROBLEM_COUNT] = {
    [EY_PROBLEM_BAD_REQUEST] = {400, "bad-request", "Malformed request"},
    [EY_PROBLEM_KEY_MISSING] = {400, "idempotency-key-missing",
                                "Idempotency-Key is required"},
    [EY_PROBLEM_UNAUTHORIZED] = {401, "unauthorized",
                                 "A bearer token is required"},
    [EY_PROBLEM_NO_REGION] = {503, "no-region",
                              "The data may not be in any region now"},
    [EY_PROBLEM_NOT_FOUND] = {404, "not-found", "No such resource"},
    [EY_PROBLEM_METHOD] = {405, "method-not-allowed", "Method not allowed"},
    [EY_PROBLEM_REQUEST_LATE] = {408, "request-late",
                                 "The request did not come in time"},
    [EY_PROBLEM_CONFLICT] = {409, "conflict", "The version has changed"},
    [EY_PROBLEM_TOO_LARGE] = {413, "too-large", "The body is too large"},
    [EY_PROBLEM_WRONG_REGION] = {421, "wrong-region",
                                 "The data is bound to another region"},
    [EY_PROBLEM_KEY_REUSED] = {422, "idempotency-key-reused",
                               "The key was used with another request"},
    [EY_PROBLEM_QUOTA] = {429, "quota-exceeded",
                          "The account's quota is used up"},
    [EY_PROBLEM_HEADERS_TOO_LARGE] = {431, "headers-too-large",
                                      "A header is too large"},
    [EY_PROBLEM_OVERLOADED] = {503, "overloaded", "No capacity in time"},
    [EY_PROBLEM_LEAVING] = {503, "leaving", "This instance is leaving"},
    [EY_PROBLEM_NO_BACKEND] = {503, "no-backend",
                               "No backend server for this target"},
    [EY_PROBLEM_NO_QUORUM] = {503, "no-quorum",
                              "Idempotency records have no quorum"},
    [EY_PROBLEM_DEADLINE] = {504, "deadline", "The deadline has passed"},
    [EY_PROBLEM_BACKEND_FAILED] = {502, "backend-failed",
                                   "The backend server failed"},
    [EY_PROBLEM_OUTCOME_UNKNOWN] = {504, "outcome-unknown",
                                    "It isn't known whether it ran"},
    [EY_PROBLEM_INTERNAL] = {500, "internal", "Internal error"},
};

static const EyField_t AnswerFields[] = {
    EY_FIELD(EyAnswer_t, status, EY_FIELD_U32),
    EY_FIELD_NAMED_ENUM(EyAnswer_t, outcome, EyOutcome_names,
                        EY_OUTCOME_COUNT),
    EY_FIELD(EyAnswer_t, retry_after_ms, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyAnswer_t, headers, header_count, EyHeader_schema,
                      EY_ANSWER_HEADERS_MAX),
    EY_FIELD_BYTES_MAX(EyAnswer_t, body, EY_ANSWER_BODY_MAX_BYTES),
    EY_FIELD(EyAnswer_t, is_events, EY_FIELD_BOOL),
    EY_FIELD(EyAnswer_t, reached_server, EY_FIELD_BOOL),
    EY_FIELD(EyAnswer_t, is_barred, EY_FIELD_BOOL),
    EY_FIELD_NESTED(EyAnswer_t, server_version, EyServerVersion_schema),
    EY_FIELD(EyAnswer_t, runs, EY_FIELD_U32),
    EY_FIELD_END,
};
const EySchema_t EyAnswer_schema = EY_SCHEMA(EyAnswer_t, AnswerFields);

static int
answer_destroy(EyAnswer_t *self)
{
    EyStream_Unref(self->stream);
    return 0;
}

EyAnswer_t *
EyAnswer_New(uint32_t status, EyOutcome_t outcome)
{
    EyAnswer_t *self = EY_NEW(NULL, EyAnswer_t);
    self->status = status;
    self->outcome = outcome;
    self->stream_size_bytes = -1;
    talloc_set_destructor(self, answer_destroy);
    return self;
}

EyAnswer_t *
EyAnswer_Copy(const EyAnswer_t *from)
{
    EyAnswer_t *self = EyAnswer_New(from->status, from->outcome);
    self->retry_after_ms = from->retry_after_ms;
    self->is_events = from->is_events;
    self->reached_server = from->reached_server;
    self->is_barred = from->is_barred;
    self->runs = from->runs;
    self->server_version = from->server_version;
    for (uint32_t i = 0; i < from->header_count; i++) {
        EyAnswer_SetHeader(self, from->headers[i].name,
                           from->headers[i].value);
    }
    self->body.size_bytes = from->body.size_bytes;
    self->body.data =
        EyMemory_Copy(self, from->body.data, from->body.size_bytes);
    return self;
}

static void
set_body(EyAnswer_t *self, const char *content_type, const char *text)
{
    EyAnswer_SetHeader(self, "Content-Type", content_type);
    self->body.size_bytes = (uint32_t)strlen(text);
    self->body.data = EyMemory_Copy(self, text, self->body.size_bytes);
}

static void
set_json_body(EyAnswer_t *self, const char *content_type, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    set_body(self, content_type, text != NULL ? text : "null");
    free(text);
    json_decref(json);
}

EyAnswer_t *
EyAnswer_Problem(EyProblem_t problem, EyOutcome_t outcome,
                 uint32_t retry_after_s, const char *detail)
{
    const ProblemText_t *text = &ProblemTexts[problem];
    EyAnswer_t *self = EyAnswer_New(text->status, outcome);
    self->retry_after_ms = retry_after_s * 1000;
    self->reason =
        EyMemory_Strdup(self, detail != NULL ? detail : text->title);
    json_t *json = json_object();
    (void)json_object_set_new(json, "type", json_string(text->type));
    (void)json_object_set_new(json, "title", json_string(text->title));
    (void)json_object_set_new(json, "status", json_integer(text->status));
    (void)json_object_set_new(json, "outcome",
                              json_string(EyOutcome_Name(outcome)));
    json_t *detail_json = detail != NULL ? json_string(detail) : NULL;
    if (detail_json != NULL) {
        (void)json_object_set_new(json, "detail", detail_json);
    }
    set_json_body(self, "application/problem+json", json);
    return self;
}

EyAnswer_t *
EyAnswer_Json(uint32_t status, json_t *json)
{
    EyAnswer_t *self = EyAnswer_New(status, EY_OUTCOME_COMPLETED);
    set_json_body(self, "application/json", json);
    return self;
}

EyAnswer_t *
EyAnswer_Text(uint32_t status, const char *content_type, const char *text)
{
    EyAnswer_t *self = EyAnswer_New(status, EY_OUTCOME_COMPLETED);
    set_body(self, content_type, text);
    return self;
}

void
EyAnswer_SetHeader(EyAnswer_t *self, const char *name, const char *value)
{
    if (self->headers == NULL) {
        self->headers = EY_NEW_ARRAY(self, EyHeader_t, EY_ANSWER_HEADERS_MAX);
    }
    if (self->header_count < EY_ANSWER_HEADERS_MAX) {
        EyHeader_t *header = &self->headers[self->header_count++];
        header->name = EyMemory_Strdup(self, name);
        header->value = EyMemory_Strdup(self, value);
    }
}

const char *
EyAnswer_Header(const EyAnswer_t *self, const char *name)
{
    for (uint32_t i = 0; i < self->header_count; i++) {
        if (strcasecmp(self->headers[i].name, name) == 0) {
            return self->headers[i].value;
        }
    }
    return NULL;
}

bool
EyAnswer_ReportsNotRun(const EyAnswer_t *self, const EyHeaderNames_t *names,
                       bool has_expected_backend)
{
    const char *name = names->by_role[EY_HEADER_NOT_RUN];
    return (has_expected_backend && self->status == EY_STATUS_MISDIRECTED) ||
           (name != NULL && EyAnswer_Header(self, name) != NULL);
}

/** Reads a decimal number without a sign or an exponent, up to max. */
static bool
read_decimal(const char *value, double max, double *number)
{
    gchar *end = NULL;
    *number = g_ascii_strtod(value, &end);
    /* Excludes signs, "inf", "nan" and hexadecimal numbers. */
    bool is_decimal =
        *value != '\0' && strspn(value, "0123456789.") == strlen(value);
    return is_decimal && *end == '\0' && *number <= max;
}

EyRetryAfter_t
EyAnswer_ReadRetryAfter(const EyAnswer_t *self, int64_t *delay_ms)
{
    const char *value = EyAnswer_Header(self, "Retry-After");
    if (value == NULL) {
        return EY_RETRY_AFTER_ABSENT;
    }
    double seconds = 0.0;
    if (!read_decimal(value, RETRY_AFTER_MAX_S, &seconds)) {
        return EY_RETRY_AFTER_INVALID;
    }
    *delay_ms = (int64_t)ceil(seconds * MS_PER_S);
    return EY_RETRY_AFTER_VALID;
}

EyLimitHeader_t
EyAnswer_ReadLimit(const EyAnswer_t *self, const EyHeaderNames_t *names,
                   double *per_s)
{
    const char *name = names->by_role[EY_HEADER_LIMIT];
    const char *value = name != NULL ? EyAnswer_Header(self, name) : NULL;
    if (value == NULL) {
        return EY_LIMIT_HEADER_ABSENT;
    }
    return read_decimal(value, DBL_MAX, per_s) ? EY_LIMIT_HEADER_VALID
                                               : EY_LIMIT_HEADER_INVALID;
}

/** Reads a decimal integer of at most LOAD_MAX and moves text past it and the
 * comma after it; false if there is none. */
static bool
read_load_field(const char **text, uint32_t *number)
{
    gchar *end = NULL;
    const char *start = *text + strspn(*text, " ");
    guint64 value = g_ascii_strtoull(start, &end, 10);
    if (!g_ascii_isdigit(*start) || value > LOAD_MAX) {
        return false;
    }
    end += strspn(end, " ");
    *number = (uint32_t)value;
    *text = *end == ',' ? end + 1 : end;
    return *end == ',' || *end == '\0';
}

/** Reads the fields SLOTS and SPEED FACTOR, if there are any. */
static bool
read_speed_factor(const char *text, double *factor)
{
    uint32_t slots = 0;
    if (*text == '\0') {
        return true;
    }
    if (!read_load_field(&text, &slots)) {
        return false;
    }
    if (*text == '\0') {
        return true;
    }
    gchar *first = g_strndup(text, strcspn(text, ","));
    double percent = 0.0;
    bool is_valid = read_decimal(g_strstrip(first),
                                 EY_SPEED_FACTOR_MAX * PERCENT, &percent) &&
                    percent >= EY_SPEED_FACTOR_MIN * PERCENT;
    g_free(first);
    *factor = is_valid ? percent / PERCENT : 0.0;
    return is_valid;
}

EyLoadHeader_t
EyAnswer_ReadLoad(const EyAnswer_t *self, const EyHeaderNames_t *names,
                  EyReportedLoad_t *load)
{
    const char *name = names->by_role[EY_HEADER_LOAD];
    const char *value = name != NULL ? EyAnswer_Header(self, name) : NULL;
    *load = (EyReportedLoad_t){.running = 0};
    if (value == NULL) {
        return EY_LOAD_HEADER_ABSENT;
    }
    bool has_both = read_load_field(&value, &load->running) &&
                    value[-1] == ',' &&
                    read_load_field(&value, &load->waiting);
    if (!has_both) {
        return EY_LOAD_HEADER_INVALID;
    }
    return read_speed_factor(value, &load->speed_factor)
               ? EY_LOAD_HEADER_VALID
               : EY_LOAD_HEADER_NO_FACTOR;
}

bool
EyAnswer_SaysLeaving(const EyAnswer_t *self, const EyHeaderNames_t *names)
{
    const char *name = names->by_role[EY_HEADER_LEAVING];
    const char *value = name != NULL ? EyAnswer_Header(self, name) : NULL;
    return value != NULL && strcmp(value, "1") == 0;
}
