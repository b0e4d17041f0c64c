#include "routing/engine_news.h"

static const EyField_t HeldFields[] = {
    EY_FIELD(EyHeldStart_t, hash, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t HeldSchema = EY_SCHEMA(EyHeldStart_t, HeldFields);

static const EyField_t WordFields[] = {
    EY_FIELD_TEXT(EyEngineWord_t, id),
    EY_FIELD_TEXT(EyEngineWord_t, region),
    EY_FIELD_TEXT(EyEngineWord_t, address),
    EY_FIELD(EyEngineWord_t, reading_tokens, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyEngineWord_t, held, held_count, HeldSchema,
                      EY_ENGINE_NEWS_HELD_MAX),
    EY_FIELD_END,
};
static const EySchema_t WordSchema = EY_SCHEMA(EyEngineWord_t, WordFields);

static const EyField_t NewsFields[] = {
    EY_FIELD_ARRAY_OF(EyEngineNews_t, engines, engine_count, WordSchema,
                      EY_ENGINE_NEWS_ENGINES_MAX),
    EY_FIELD_END,
};
const EySchema_t EyEngineNews_schema = EY_SCHEMA(EyEngineNews_t, NewsFields);
