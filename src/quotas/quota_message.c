#include "quotas/quota_message.h"

#include <math.h>

static const EyField_t ReportEntryFields[] = {
    EY_FIELD_TEXT(EyQuotaReportEntry_t, name),
    EY_FIELD(EyQuotaReportEntry_t, asked_per_s, EY_FIELD_F64),
    EY_FIELD(EyQuotaReportEntry_t, admitted, EY_FIELD_F64),
    EY_FIELD(EyQuotaReportEntry_t, unanswered, EY_FIELD_F64),
    EY_FIELD(EyQuotaReportEntry_t, level, EY_FIELD_F64),
    EY_FIELD(EyQuotaReportEntry_t, share, EY_FIELD_F64),
    EY_FIELD_END,
};
static const EySchema_t ReportEntrySchema =
    EY_SCHEMA(EyQuotaReportEntry_t, ReportEntryFields);

static const EyField_t ReportFields[] = {
    EY_FIELD(EyQuotaReport_t, from_incarnation, EY_FIELD_U64),
    EY_FIELD(EyQuotaReport_t, number, EY_FIELD_U64),
    EY_FIELD(EyQuotaReport_t, level_age_ms, EY_FIELD_I64),
    EY_FIELD(EyQuotaReport_t, gateway_count, EY_FIELD_U32),
    EY_FIELD(EyQuotaReport_t, interval_ms, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyQuotaReport_t, accounts, account_count,
                      ReportEntrySchema, EY_QUOTA_ACCOUNTS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyQuotaReport_schema =
    EY_SCHEMA(EyQuotaReport_t, ReportFields);

static const EyField_t AnswerEntryFields[] = {
    EY_FIELD_TEXT(EyQuotaAnswerEntry_t, name),
    EY_FIELD(EyQuotaAnswerEntry_t, fraction, EY_FIELD_F64),
    EY_FIELD(EyQuotaAnswerEntry_t, demand, EY_FIELD_F64),
    EY_FIELD(EyQuotaAnswerEntry_t, level, EY_FIELD_F64),
    EY_FIELD(EyQuotaAnswerEntry_t, share, EY_FIELD_F64),
    EY_FIELD(EyQuotaAnswerEntry_t, rate_per_s, EY_FIELD_F64),
    EY_FIELD_END,
};
static const EySchema_t AnswerEntrySchema =
    EY_SCHEMA(EyQuotaAnswerEntry_t, AnswerEntryFields);

static const EyField_t AnswerFields[] = {
    EY_FIELD(EyQuotaAnswer_t, number, EY_FIELD_U64),
    EY_FIELD(EyQuotaAnswer_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyQuotaAnswer_t, is_ready, EY_FIELD_BOOL),
    EY_FIELD(EyQuotaAnswer_t, gateway_count, EY_FIELD_U32),
    EY_FIELD_ARRAY_OF(EyQuotaAnswer_t, accounts, account_count,
                      AnswerEntrySchema, EY_QUOTA_ACCOUNTS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyQuotaAnswer_schema =
    EY_SCHEMA(EyQuotaAnswer_t, AnswerFields);

static bool
is_amount(double value)
{
    return isfinite(value) && value >= 0.0;
}

static bool
is_part(double value)
{
    return value >= 0.0 && value <= 1.0;
}

bool
EyQuotaReport_IsValid(const EyQuotaReport_t *self)
{
    bool is_valid = self->level_age_ms >= -1;
    for (uint32_t i = 0; i < self->account_count && is_valid; i++) {
        const EyQuotaReportEntry_t *entry = &self->accounts[i];
        is_valid = is_amount(entry->asked_per_s) &&
                   is_amount(entry->admitted) &&
                   is_amount(entry->unanswered) && isfinite(entry->level) &&
                   is_part(entry->share);
    }
    return is_valid;
}

bool
EyQuotaAnswer_IsValid(const EyQuotaAnswer_t *self)
{
    bool is_valid = true;
    for (uint32_t i = 0; i < self->account_count && is_valid; i++) {
        const EyQuotaAnswerEntry_t *entry = &self->accounts[i];
        is_valid = is_part(entry->fraction) && is_amount(entry->demand) &&
                   isfinite(entry->level) && is_part(entry->share) &&
                   is_amount(entry->rate_per_s);
    }
    return is_valid;
}
