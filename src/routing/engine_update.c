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

static const EyField_t EvidenceFields[] = {
    EY_FIELD(EyCrashEvidence_t, key, EY_FIELD_U64),
    EY_FIELD(EyCrashEvidence_t, part_id, EY_FIELD_U64),
    EY_FIELD(EyCrashEvidence_t, crash, EY_FIELD_U64),
    EY_FIELD(EyCrashEvidence_t, age_ms, EY_FIELD_U32),
    EY_FIELD(EyCrashEvidence_t, request, EY_FIELD_U64),
    EY_FIELD(EyCrashEvidence_t, target, EY_FIELD_U64),
    EY_FIELD(EyCrashEvidence_t, is_unbegun, EY_FIELD_BOOL),
    EY_FIELD(EyCrashEvidence_t, is_late, EY_FIELD_BOOL),
    EY_FIELD_END,
};
static const EySchema_t EvidenceSchema =
    EY_SCHEMA(EyCrashEvidence_t, EvidenceFields);

static const EyField_t ClearedFields[] = {
    EY_FIELD(EySuspectCleared_t, key, EY_FIELD_U64),
    EY_FIELD(EySuspectCleared_t, age_ms, EY_FIELD_U32),
    EY_FIELD(EySuspectCleared_t, is_request, EY_FIELD_BOOL),
    EY_FIELD_END,
};
static const EySchema_t ClearedSchema =
    EY_SCHEMA(EySuspectCleared_t, ClearedFields);

static const EyField_t CrashFields[] = {
    EY_FIELD(EyCrashKey_t, crash, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t CrashSchema = EY_SCHEMA(EyCrashKey_t, CrashFields);

static const EyField_t BarFields[] = {
    EY_FIELD(EySuspectBar_t, key, EY_FIELD_U64),
    EY_FIELD(EySuspectBar_t, part_id, EY_FIELD_U64),
    EY_FIELD_ARRAY_OF(EySuspectBar_t, crashes, crash_count, CrashSchema,
                      EY_ENGINE_UPDATE_BAR_CRASHES_MAX),
    EY_FIELD(EySuspectBar_t, left_ms, EY_FIELD_I64),
    EY_FIELD(EySuspectBar_t, is_request, EY_FIELD_BOOL),
    EY_FIELD(EySuspectBar_t, bar_ms, EY_FIELD_I64),
    EY_FIELD_END,
};
static const EySchema_t BarSchema = EY_SCHEMA(EySuspectBar_t, BarFields);

static const EyField_t AnswersFields[] = {
    EY_FIELD(EyTargetAnswers_t, target, EY_FIELD_U64),
    EY_FIELD(EyTargetAnswers_t, count, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t AnswersSchema =
    EY_SCHEMA(EyTargetAnswers_t, AnswersFields);

static const EyField_t LimitFields[] = {
    EY_FIELD_TEXT(EyObservedLimit_t, id),
    EY_FIELD(EyObservedLimit_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyObservedLimit_t, per_s, EY_FIELD_F64),
    EY_FIELD(EyObservedLimit_t, age_ms, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t LimitSchema =
    EY_SCHEMA(EyObservedLimit_t, LimitFields);

static const EyField_t UnreachedFields[] = {
    EY_FIELD_TEXT(EyUnreachedTarget_t, key),
    EY_FIELD_END,
};
static const EySchema_t UnreachedSchema =
    EY_SCHEMA(EyUnreachedTarget_t, UnreachedFields);

static const EyField_t RunsFields[] = {
    EY_FIELD(EyEngineRuns_t, engine, EY_FIELD_U32),
    EY_FIELD(EyEngineRuns_t, runs, EY_FIELD_U32),
    EY_FIELD(EyEngineRuns_t, left, EY_FIELD_U32),
    EY_FIELD(EyEngineRuns_t, factor, EY_FIELD_U32),
    EY_FIELD(EyEngineRuns_t, factor_age, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t RunsSchema = EY_SCHEMA(EyEngineRuns_t, RunsFields);

static const EyField_t UpdateFields[] = {
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, engines, engine_count, WordSchema,
                      EY_ENGINE_UPDATE_ENGINES_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, evidence, evidence_count,
                      EvidenceSchema, EY_ENGINE_UPDATE_EVIDENCE_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, cleared, cleared_count, ClearedSchema,
                      EY_ENGINE_UPDATE_CLEARED_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, bars, bar_count, BarSchema,
                      EY_ENGINE_UPDATE_BARS_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, refuted, refuted_count, CrashSchema,
                      EY_ENGINE_UPDATE_REFUTED_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, limits, limit_count, LimitSchema,
                      EY_ENGINE_UPDATE_LIMITS_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, unreached, unreached_count,
                      UnreachedSchema, EY_ENGINE_UPDATE_UNREACHED_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, runs, run_count, RunsSchema,
                      EY_ENGINE_UPDATE_ENGINES_MAX),
    EY_FIELD_ARRAY_OF(EyEngineUpdate_t, answers, answers_count, AnswersSchema,
                      EY_ENGINE_UPDATE_ANSWERS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyEngineUpdate_schema =
    EY_SCHEMA(EyEngineUpdate_t, UpdateFields);
