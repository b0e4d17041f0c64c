#include "gateway/forward.h"

const char *const EyForward_kind_names[EY_FORWARD_KIND_COUNT] = {
    [EY_FORWARD_REQUEST] = "request", [EY_FORWARD_CANCEL] = "cancel",
    [EY_FORWARD_CREDIT] = "credit",   [EY_FORWARD_HEAD] = "head",
    [EY_FORWARD_CHUNK] = "chunk",     [EY_FORWARD_END] = "end",
    [EY_FORWARD_ANSWER] = "answer",
};

static const EyField_t ForwardFields[] = {
    EY_FIELD_NAMED(EyForward_t, kind, EyForward_kind_names,
                   EY_FORWARD_KIND_COUNT),
    EY_FIELD(EyForward_t, attempt, EY_FIELD_U64),
    EY_FIELD(EyForward_t, sequence, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyForward_t, request, request_count, EyRequest_schema,
                      1),
    EY_FIELD_ARRAY_OF(EyForward_t, answer, answer_count, EyAnswer_schema, 1),
    EY_FIELD_BYTES_MAX(EyForward_t, chunk, EY_FORWARD_CHUNK_MAX_BYTES),
    EY_FIELD(EyForward_t, size_bytes, EY_FIELD_U32),
    EY_FIELD(EyForward_t, is_whole, EY_FIELD_BOOL),
    EY_FIELD_END,
};
const EySchema_t EyForward_schema = EY_SCHEMA(EyForward_t, ForwardFields);
