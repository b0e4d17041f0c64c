#include "core/memory.h"
#include "core/schema.h"
#include "property/check.h"

#include <cstring>
#include <string>
#include <vector>

namespace {

struct Sample {
    uint64_t serial;
    EyName_t name;
    EyBytes_t body;
};

const EyField_t SampleFields[] = {
    EY_FIELD(Sample, serial, EY_FIELD_U64),
    EY_FIELD_TEXT(Sample, name),
    EY_FIELD_BYTES_MAX(Sample, body, 64),
    EY_FIELD_END,
};
const EySchema_t Sample_schema = EY_SCHEMA(Sample, SampleFields);

} // namespace

Test(schema_properties, any_bytes_are_decoded_or_rejected)
{
    EY_CHECK("unpacking random bytes ends with a verdict",
             [](const std::vector<uint8_t> &bytes) {
                 void *ctx = talloc_new(nullptr);
                 Sample sample;
                 GError *error = nullptr;
                 bool done = EySchema_Unpack(
                     &Sample_schema, ctx, bytes.data(),
                     static_cast<uint32_t>(bytes.size()), &sample, &error);
                 RC_ASSERT(done == (error == nullptr));
                 g_clear_error(&error);
                 talloc_free(ctx);
             });
}

Test(schema_properties, numbers_round_trip)
{
    EY_CHECK("a packed number comes back", [](uint64_t serial) {
        void *ctx = talloc_new(nullptr);
        Sample sample = {};
        sample.serial = serial;
        EyBytes_t packed = EySchema_Pack(&Sample_schema, ctx, &sample);
        Sample back;
        RC_ASSERT(EySchema_Unpack(&Sample_schema, ctx, packed.data,
                                  packed.size_bytes, &back, nullptr));
        RC_ASSERT(back.serial == serial);
        talloc_free(ctx);
    });
}
