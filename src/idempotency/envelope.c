#include "idempotency/envelope.h"

static const EyField_t EnvelopeFields[] = {
    EY_FIELD_TEXT(EyGroupEnvelope_t, region),
    EY_FIELD_NESTED(EyGroupEnvelope_t, message, EyGroupMessage_schema),
    EY_FIELD_END,
};
const EySchema_t EyGroupEnvelope_schema =
    EY_SCHEMA(EyGroupEnvelope_t, EnvelopeFields);
