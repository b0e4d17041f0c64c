#include "exchange/request.h"

#include "core/memory.h"

#include <string.h>
#include <xxhash.h>

#define HEADER_NAME_MAX_BYTES 256
#define HEADER_VALUE_MAX_BYTES 8192
/** A caller of an event stream leaves when an event takes longer than the
 * largest of these: fixed behavior of the callers. */
#define PATIENCE_MIN_MS INT64_C(2000)
#define PATIENCE_OBJECTIVES 4
#define PATIENCE_GAPS 8

const char *const EyCall_names[EY_CALL_COUNT] = {
    [EY_CALL_MODEL] = "model",         [EY_CALL_SERVICE] = "service",
    [EY_CALL_INSTANCES] = "instances", [EY_CALL_MAKE_KEY] = "make_key",
    [EY_CALL_ANNOUNCE] = "announce",   [EY_CALL_WITHDRAW] = "withdraw",
    [EY_CALL_OPERATOR] = "operator",   [EY_CALL_METRICS] = "metrics",
    [EY_CALL_HEALTH] = "health",       [EY_CALL_READY] = "ready",
    [EY_CALL_ROUTED] = "routed",
};

static const EyField_t PartFields[] = {
    EY_FIELD(EyPromptPart_t, id, EY_FIELD_U64),
    EY_FIELD(EyPromptPart_t, tokens, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t PartSchema = EY_SCHEMA(EyPromptPart_t, PartFields);

static const EyField_t TermsFields[] = {
    EY_FIELD_TEXT(EyCallTerms_t, route),
    EY_FIELD(EyCallTerms_t, is_idempotent, EY_FIELD_BOOL),
    EY_FIELD(EyCallTerms_t, is_model, EY_FIELD_BOOL),
    EY_FIELD(EyCallTerms_t, is_resumable, EY_FIELD_BOOL),
    EY_FIELD(EyCallTerms_t, priority, EY_FIELD_U32),
    EY_FIELD(EyCallTerms_t, runs_max, EY_FIELD_U32),
    EY_FIELD(EyCallTerms_t, timeout_ms, EY_FIELD_U32),
    EY_FIELD(EyCallTerms_t, objective_ms, EY_FIELD_U32),
    EY_FIELD(EyCallTerms_t, routes_version, EY_FIELD_U64),
    EY_FIELD(EyCallTerms_t, target_version, EY_FIELD_U64),
    EY_FIELD(EyCallTerms_t, is_account_checked, EY_FIELD_BOOL),
    EY_FIELD(EyCallTerms_t, event_gap_ms, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t TermsSchema = EY_SCHEMA(EyCallTerms_t, TermsFields);

static const EyField_t HeaderFields[] = {
    EY_FIELD_STRING_MAX(EyHeader_t, name, HEADER_NAME_MAX_BYTES),
    EY_FIELD_STRING_MAX(EyHeader_t, value, HEADER_VALUE_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyHeader_schema = EY_SCHEMA(EyHeader_t, HeaderFields);

static const EyField_t RequestFields[] = {
    EY_FIELD(EyRequest_t, number, EY_FIELD_U64),
    EY_FIELD_TEXT(EyRequest_t, id),
    EY_FIELD_NAMED_ENUM(EyRequest_t, call, EyCall_names, EY_CALL_COUNT),
    EY_FIELD_TEXT(EyRequest_t, method),
    EY_FIELD_STRING_MAX(EyRequest_t, path, EY_REQUEST_PATH_MAX_BYTES),
    EY_FIELD_TEXT(EyRequest_t, target),
    EY_FIELD_TEXT(EyRequest_t, home),
    EY_FIELD_TEXT(EyRequest_t, account),
    EY_FIELD_TEXT(EyRequest_t, idempotency_key),
    EY_FIELD(EyRequest_t, time_left_ms, EY_FIELD_I64),
    EY_FIELD(EyRequest_t, tokens_max, EY_FIELD_U32),
    EY_FIELD(EyRequest_t, streamed, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyRequest_t, headers, header_count, EyHeader_schema,
                      EY_REQUEST_HEADERS_MAX),
    EY_FIELD_BYTES_MAX(EyRequest_t, body, EY_REQUEST_BODY_MAX_BYTES),
    EY_FIELD_ARRAY_OF(EyRequest_t, visited, visited_count, EyName_schema,
                      EY_REQUEST_REGIONS_MAX),
    EY_FIELD_TEXT(EyRequest_t, host),
    EY_FIELD_NESTED(EyRequest_t, terms, TermsSchema),
    EY_FIELD_ARRAY_OF(EyRequest_t, allowed_regions, allowed_region_count,
                      EyName_schema, EY_REQUEST_ALLOWED_MAX),
    EY_FIELD(EyRequest_t, prompt_tokens, EY_FIELD_U32),
    EY_FIELD(EyRequest_t, expected_tokens, EY_FIELD_U32),
    EY_FIELD(EyRequest_t, resume_after, EY_FIELD_U32),
    EY_FIELD_TEXT(EyRequest_t, resume_event),
    EY_FIELD_ARRAY_OF(EyRequest_t, parts, part_count, PartSchema,
                      EY_PROMPT_PARTS_MAX),
    EY_FIELD(EyRequest_t, arrivals, EY_FIELD_U32),
    EY_FIELD(EyRequest_t, carries_retry_credit, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyRequest_t, more_parts, more_part_count, PartSchema,
                      EY_PROMPT_MORE_PARTS_MAX),
    EY_FIELD(EyRequest_t, are_parts_cut, EY_FIELD_BOOL),
    EY_FIELD_NESTED(EyRequest_t, begun_by, EyServerVersion_schema),
    EY_FIELD(EyRequest_t, waited_ms, EY_FIELD_I64),
    EY_FIELD_END,
};
const EySchema_t EyRequest_schema = EY_SCHEMA(EyRequest_t, RequestFields);

EyRequest_t *
EyRequest_New(void)
{
    return EY_NEW(NULL, EyRequest_t);
}

bool
EyRequest_AddHeader(EyRequest_t *self, const char *name, const char *value)
{
    if (self->headers == NULL) {
        self->headers = EY_NEW_ARRAY(self, EyHeader_t, EY_REQUEST_HEADERS_MAX);
    }
    if (self->header_count == EY_REQUEST_HEADERS_MAX) {
        return false;
    }
    EyHeader_t *header = &self->headers[self->header_count++];
    header->name = EyMemory_Strdup(self, name);
    header->value = EyMemory_Strdup(self, value);
    return true;
}

void
EyRequest_RemoveHeaders(EyRequest_t *self, const EyHeaderNames_t *names,
                        EyHeaderRole_t role)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < self->header_count; i++) {
        if (!EyHeaderNames_Is(names, role, self->headers[i].name)) {
            self->headers[kept++] = self->headers[i];
        }
    }
    self->header_count = kept;
}

bool
EyRequest_IsForModel(const EyRequest_t *self)
{
    return self->call == EY_CALL_MODEL ||
           (self->call == EY_CALL_ROUTED && self->terms.is_model);
}

int64_t
EyRequest_PatienceMs(const EyRequest_t *self)
{
    if (self->call != EY_CALL_ROUTED || !self->streamed) {
        return 0;
    }
    int64_t objectives_ms =
        PATIENCE_OBJECTIVES * (int64_t)self->terms.objective_ms;
    int64_t gaps_ms = PATIENCE_GAPS * (int64_t)self->terms.event_gap_ms;
    int64_t longest_ms = objectives_ms > gaps_ms ? objectives_ms : gaps_ms;
    return longest_ms > PATIENCE_MIN_MS ? longest_ms : PATIENCE_MIN_MS;
}

bool
EyRequest_ContinuesStream(const EyRequest_t *self)
{
    return self->resume_after > 0 || self->resumes_stream ||
           self->begun_by.is_set;
}

bool
EyRequest_IsForBackend(const EyRequest_t *self)
{
    return self->call == EY_CALL_MODEL || self->call == EY_CALL_SERVICE ||
           self->call == EY_CALL_ROUTED;
}

bool
EyRequest_HasSafeMethod(const EyRequest_t *self)
{
    static const char *const Safe[] = {"GET", "HEAD", "OPTIONS"};
    for (uint32_t i = 0; i < sizeof(Safe) / sizeof(Safe[0]); i++) {
        if (strcmp(self->method, Safe[i]) == 0) {
            return true;
        }
    }
    return false;
}

/** Adds a field with its size, so that no other split of the same bytes has
 * the same hash. */
static uint64_t
hash_field(uint64_t hash, const void *data, size_t size_bytes)
{
    uint64_t size = size_bytes;
    hash = XXH64(&size, sizeof(size), hash);
    return size_bytes > 0 ? XXH64(data, size_bytes, hash) : hash;
}

static uint64_t
hash_text(uint64_t hash, const char *text)
{
    return hash_field(hash, text, text != NULL ? strlen(text) : 0);
}

static uint64_t
hash_parts(uint64_t hash, const EyPromptPart_t *parts, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        hash = XXH64(&parts[i].id, sizeof(parts[i].id), hash);
    }
    return hash;
}

uint64_t
EyRequest_Key(const EyRequest_t *self)
{
    /* A route's calls may go to several services, and to others later. */
    bool is_routed = self->terms.route[0] != '\0';
    uint64_t hash = hash_text(0, is_routed ? "" : self->target);
    hash = hash_text(hash, self->terms.route);
    hash = hash_text(hash, self->method);
    hash = hash_text(hash, self->path);
    hash = hash_text(hash, self->account);
    hash = hash_field(hash, self->body.data, self->body.size_bytes);
    hash = hash_parts(hash, self->parts, self->part_count);
    hash = hash_parts(hash, self->more_parts, self->more_part_count);
    return hash != 0 ? hash : 1;
}
