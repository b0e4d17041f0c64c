#include "routing/engine_update.h"

static const EyField_t HeldFields[] = {
    EY_FIELD(EyCachedPrefix_t, hash, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t HeldSchema = EY_SCHEMA(EyCachedPrefix_t, HeldFields);

static const EyField_t WordFields[] = {
    EY_FIELD_TEXT(EyEngineUpdateEntry_t, id),
    EY_FIELD_TEXT(EyEngineUpdateEntry_t, region),
    EY_FIELD_TEXT(EyEngineUpdateEntry_t, address),
    EY_FIELD(EyEngineUpdateEntry_t, reading_tokens, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyEngineUpdateEntry_t, held, held_count, HeldSchema,
                      EY_ENGINE_UPDATE_PREFIXES_MAX),
    EY_FIELD(EyEngineUpdateEntry_t, taken_tokens, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t WordSchema =
    EY_SCHEMA(EyEngineUpdateEntry_t, WordFields);

static const EyField_t UpdateFields[] = {
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, engines, engine_count, WordSchema,
                      EY_ENGINE_UPDATE_ENGINES_MAX),
    EY_FIELD_END,
};
const EySchema_t EyEngineUpdate_schema =
    EY_SCHEMA(EyEngineUpdate_t, UpdateFields);
