/**
 * Messages of quotas: a gateway's report of what its accounts ask for and what
 * it admitted (EY_PEER_QUOTA), and the coordinator's answer
 * (EY_PEER_QUOTA_ANSWER). Reports are cumulative and repeated until they are
 * answered, so any of them may be lost.
 */
#ifndef EY_QUOTAS_QUOTA_MESSAGE_H
#define EY_QUOTAS_QUOTA_MESSAGE_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most accounts in one message. */
#define EY_QUOTA_ACCOUNTS_MAX 16384

/** What a gateway reports of one account. */
typedef struct EyQuotaReportEntry {
    EyName_t name;
    double asked_per_s; /* its own demand, smoothed */
    double admitted;    /* units since the gateway's start */
    double unanswered;  /* units of them since the last answered report */
    double level;       /* that the last answer named */
    double share;       /* of the fleet's demand, by the last answer; 0: none
                           named yet */
} EyQuotaReportEntry_t;

typedef struct EyQuotaReport {
    uint64_t from_incarnation;
    uint64_t number;        /* of the report, ascending in an incarnation */
    int64_t level_age_ms;   /* of the levels; -1: there was no answer yet */
    uint32_t gateway_count; /* that the last answer named; 0: none */
    uint32_t interval_ms;   /* until the next report */
    EyQuotaReportEntry_t *accounts;
    uint32_t account_count;
} EyQuotaReport_t;

/** What the coordinator answers for one account. */
typedef struct EyQuotaAnswerEntry {
    EyName_t name;
    double fraction;   /* of calls to admit */
    double demand;     /* of the fleet, units a second */
    double level;      /* of the fleet's token bucket, units */
    double share;      /* of the demand that is the receiver's */
    double rate_per_s; /* that may be given out now */
} EyQuotaAnswerEntry_t;

typedef struct EyQuotaAnswer {
    uint64_t number;      /* of the report */
    uint64_t incarnation; /* of the report's sender */
    bool is_ready; /* false: the coordinator collects reports; it names no
                      accounts yet */
    uint32_t gateway_count; /* that report to the coordinator */
    EyQuotaAnswerEntry_t *accounts;
    uint32_t account_count;
} EyQuotaAnswer_t;

extern const EySchema_t EyQuotaReport_schema;
extern const EySchema_t EyQuotaAnswer_schema;

/** True if all numbers of a report are finite and none is negative that can't
 * be. */
bool
EyQuotaReport_IsValid(const EyQuotaReport_t *self);

bool
EyQuotaAnswer_IsValid(const EyQuotaAnswer_t *self);

#ifdef __cplusplus
}
#endif

#endif
