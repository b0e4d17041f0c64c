#include "gateway/forward_message.h"

const char *const EyForwardMessage_kind_names[EY_FORWARD_KIND_COUNT] = {
    [EY_FORWARD_REQUEST] = "request", [EY_FORWARD_CANCEL] = "cancel",
    [EY_FORWARD_CREDIT] = "credit",   [EY_FORWARD_HEAD] = "head",
    [EY_FORWARD_CHUNK] = "chunk",     [EY_FORWARD_END] = "end",
    [EY_FORWARD_ANSWER] = "answer",
};

static const EyField_t ForwardFields[] = {
    EY_FIELD_NAMED_ENUM(EyForwardMessage_t, kind, EyForwardMessage_kind_names,
                        EY_FORWARD_KIND_COUNT),
    EY_FIELD(EyForwardMessage_t, attempt, EY_FIELD_U64),
    EY_FIELD(EyForwardMessage_t, sequence, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyForwardMessage_t, request, request_count,
                      EyRequest_schema, 1),
    EY_FIELD_ARRAY_OF(EyForwardMessage_t, answer, answer_count,
                      EyAnswer_schema, 1),
    EY_FIELD_BYTES_MAX(EyForwardMessage_t, chunk, EY_FORWARD_CHUNK_MAX_BYTES),
    EY_FIELD(EyForwardMessage_t, size_bytes, EY_FIELD_U32),
    EY_FIELD(EyForwardMessage_t, is_whole, EY_FIELD_BOOL),
    EY_FIELD(EyForwardMessage_t, config_revision, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyForwardMessage_schema =
    EY_SCHEMA(EyForwardMessage_t, ForwardFields);

uint64_t
EyForwardMessage_FirstAttempt(EyRandom_t *random)
{
    /* Leaves room to count on. */
    enum { ROOM_BITS = 1 };
    return (EyRandom_Next(random) >> ROOM_BITS) | 1;
}

bool
EyForwardMessage_IsTooLate(int64_t late_ms, uint32_t body_bytes)
{
    int64_t transfer_ms = body_bytes / EY_FORWARD_SLOW_LINK_BYTES_PER_MS;
    return late_ms > EY_FORWARD_LATE_MAX_MS + transfer_ms;
}
