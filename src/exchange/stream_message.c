#include "exchange/stream_message.h"

static const char *const KindNames[EY_STREAM_MESSAGE_KIND_COUNT] = {
    [EY_STREAM_RECORDS] = "records",
    [EY_STREAM_QUERY] = "query",
    [EY_STREAM_ANSWER] = "answer",
};

static const EyField_t Fields[] = {
    EY_FIELD_NAMED_ENUM(EyStreamMessage_t, kind, KindNames,
                        EY_STREAM_MESSAGE_KIND_COUNT),
    EY_FIELD_ARRAY_OF(EyStreamMessage_t, records, record_count,
                      EyStreamRecord_schema, EY_STREAM_RECORDS_MAX),
    EY_FIELD(EyStreamMessage_t, number, EY_FIELD_U64),
    EY_FIELD(EyStreamMessage_t, key, EY_FIELD_U64),
    EY_FIELD_NESTED(EyStreamMessage_t, version, EyServerVersion_schema),
    EY_FIELD_END,
};
const EySchema_t EyStreamMessage_schema = EY_SCHEMA(EyStreamMessage_t, Fields);
