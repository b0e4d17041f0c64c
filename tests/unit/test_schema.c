#include "core/memory.h"
#include "core/schema.h"

#include <criterion/criterion.h>
#include <string.h>

typedef enum Color { COLOR_RED, COLOR_BLUE, COLOR_COUNT } Color_t;

static const char *const ColorNames[COLOR_COUNT] = {
    [COLOR_RED] = "red",
    [COLOR_BLUE] = "blue",
};

typedef struct Sample {
    uint8_t small;
    int64_t offset_ms;
    double share;
    bool on;
    Color_t color;
    EyName_t name;
    char *note;
    EyBytes_t body;
    EyName_t *models;
    uint32_t model_count;
} Sample_t;

static const EyField_t SampleFields[] = {
    EY_FIELD(Sample_t, small, EY_FIELD_U8),
    EY_FIELD(Sample_t, offset_ms, EY_FIELD_I64),
    EY_FIELD(Sample_t, share, EY_FIELD_F64),
    EY_FIELD(Sample_t, on, EY_FIELD_BOOL),
    EY_FIELD_NAMED_ENUM(Sample_t, color, ColorNames, COLOR_COUNT),
    EY_FIELD_TEXT(Sample_t, name),
    EY_FIELD_STRING_MAX(Sample_t, note, 16),
    EY_FIELD_BYTES_MAX(Sample_t, body, 16),
    EY_FIELD_ARRAY_OF(Sample_t, models, model_count, EyName_schema, 4),
    EY_FIELD_END,
};
static const EySchema_t Sample_schema = EY_SCHEMA(Sample_t, SampleFields);

static Sample_t
make_sample(void *ctx)
{
    Sample_t sample = {
        .small = 200,
        .offset_ms = -5,
        .share = 0.25,
        .on = true,
        .color = COLOR_BLUE,
        .name = "istra",
        .note = EyMemory_Strdup(ctx, "short"),
        .body = {.data = EyMemory_Copy(ctx, "abc", 3), .size_bytes = 3},
        .models = EY_NEW_ARRAY(ctx, EyName_t, 2),
        .model_count = 2,
    };
    (void)EY_COPY(sample.models[0], "plan");
    (void)EY_COPY(sample.models[1], "chat");
    return sample;
}

static void
assert_same(const Sample_t *left, const Sample_t *right)
{
    cr_assert_eq(left->small, right->small);
    cr_assert_eq(left->offset_ms, right->offset_ms);
    cr_assert_eq(left->share, right->share);
    cr_assert_eq(left->on, right->on);
    cr_assert_eq(left->color, right->color);
    cr_assert_str_eq(left->name, right->name);
    cr_assert_str_eq(left->note, right->note);
    cr_assert_eq(left->body.size_bytes, right->body.size_bytes);
    cr_assert_arr_eq(left->body.data, right->body.data, left->body.size_bytes);
    cr_assert_eq(left->model_count, right->model_count);
    cr_assert_str_eq(left->models[1], right->models[1]);
}

Test(schema, msgpack_round_trip)
{
    void *ctx = talloc_new(NULL);
    Sample_t sample = make_sample(ctx);
    EyBytes_t packed = EySchema_Pack(&Sample_schema, ctx, &sample);
    Sample_t back;
    cr_assert(EySchema_Unpack(&Sample_schema, ctx, packed.data,
                              packed.size_bytes, &back, NULL));
    assert_same(&sample, &back);
    talloc_free(ctx);
}

Test(schema, json_round_trip)
{
    void *ctx = talloc_new(NULL);
    Sample_t sample = make_sample(ctx);
    json_t *json = EySchema_ToJson(&Sample_schema, &sample);
    Sample_t back;
    cr_assert(EySchema_FromJson(&Sample_schema, ctx, json, &back, NULL));
    assert_same(&sample, &back);
    json_decref(json);
    talloc_free(ctx);
}

Test(schema, every_truncated_message_is_rejected)
{
    void *ctx = talloc_new(NULL);
    Sample_t sample = make_sample(ctx);
    EyBytes_t packed = EySchema_Pack(&Sample_schema, ctx, &sample);
    for (uint32_t size = 0; size < packed.size_bytes; size++) {
        GError *error = NULL;
        Sample_t back;
        cr_assert_not(EySchema_Unpack(&Sample_schema, ctx, packed.data, size,
                                      &back, &error));
        cr_assert(g_error_matches(error, EY_SCHEMA_ERROR,
                                  EY_SCHEMA_ERROR_MALFORMED));
        g_error_free(error);
    }
    talloc_free(ctx);
}

typedef struct BadJson {
    const char *text;
    EySchemaError_t code;
} BadJson_t;

static const BadJson_t BadJsons[] = {
    {"[]", EY_SCHEMA_ERROR_TYPE},
    {"{\"small\": 256}", EY_SCHEMA_ERROR_TYPE},
    {"{\"small\": -1}", EY_SCHEMA_ERROR_TYPE},
    {"{\"small\": \"1\"}", EY_SCHEMA_ERROR_TYPE},
    {"{\"color\": \"green\"}", EY_SCHEMA_ERROR_TYPE},
    {"{\"on\": 1}", EY_SCHEMA_ERROR_TYPE},
    {"{\"note\": \"longer than sixteen\"}", EY_SCHEMA_ERROR_SIZE},
    {"{\"models\": [\"a\",\"b\",\"c\",\"d\",\"e\"]}", EY_SCHEMA_ERROR_SIZE},
    {"{\"models\": [7]}", EY_SCHEMA_ERROR_TYPE},
};

Test(schema, bad_json_is_rejected_with_its_error_code)
{
    for (size_t i = 0; i < G_N_ELEMENTS(BadJsons); i++) {
        void *ctx = talloc_new(NULL);
        json_t *json = json_loads(BadJsons[i].text, 0, NULL);
        GError *error = NULL;
        Sample_t sample;
        cr_assert_not(
            EySchema_FromJson(&Sample_schema, ctx, json, &sample, &error));
        cr_expect(
            g_error_matches(error, EY_SCHEMA_ERROR, (gint)BadJsons[i].code),
            "%s", BadJsons[i].text);
        g_error_free(error);
        json_decref(json);
        talloc_free(ctx);
    }
}
