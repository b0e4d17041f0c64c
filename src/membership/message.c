#include "membership/message.h"

const char *const EyMember_role_names[EY_MEMBER_ROLE_COUNT] = {
    [EY_MEMBER_GATEWAY] = "gateway",
    [EY_MEMBER_CONTROL] = "control",
};

const char *const EyMember_state_names[EY_MEMBER_STATE_COUNT] = {
    [EY_MEMBER_ALIVE] = "alive",
    [EY_MEMBER_LEAVING] = "leaving",
    [EY_MEMBER_GONE] = "gone",
};

const char *const EyListing_names[EY_LISTING_COUNT] = {
    [EY_LISTING_SERVING] = "serving",
    [EY_LISTING_LEAVING] = "leaving",
    [EY_LISTING_WITHDRAWN] = "withdrawn",
};

const char *const EyCluster_type_names[EY_CLUSTER_TYPE_COUNT] = {
    [EY_CLUSTER_HELLO] = "hello",
    [EY_CLUSTER_PING] = "ping",
    [EY_CLUSTER_ACK] = "ack",
    [EY_CLUSTER_PROBE] = "probe",
    [EY_CLUSTER_PROBED] = "probed",
    [EY_CLUSTER_GOSSIP] = "gossip",
    [EY_CLUSTER_DIGEST] = "digest",
    [EY_CLUSTER_BACKENDS] = "backends",
    [EY_CLUSTER_BACKEND_CHECK] = "backend-check",
    [EY_CLUSTER_BACKEND_DIGEST] = "backend-digest",
    [EY_CLUSTER_REFRESH] = "refresh",
};

static const EyField_t VitalsFields[] = {
    EY_FIELD_TEXT(EyVitals_t, id),
    EY_FIELD(EyVitals_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyVitals_t, serial, EY_FIELD_U64),
    EY_FIELD(EyVitals_t, load_per_mille, EY_FIELD_U32),
    EY_FIELD(EyVitals_t, config_version, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyVitals_schema = EY_SCHEMA(EyVitals_t, VitalsFields);

static const EyField_t MemberFields[] = {
    EY_FIELD_TEXT(EyMember_t, id),
    EY_FIELD(EyMember_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyMember_t, serial, EY_FIELD_U64),
    EY_FIELD_NAMED_ENUM(EyMember_t, state, EyMember_state_names,
                        EY_MEMBER_STATE_COUNT),
    EY_FIELD_NAMED_ENUM(EyMember_t, role, EyMember_role_names,
                        EY_MEMBER_ROLE_COUNT),
    EY_FIELD_TEXT(EyMember_t, region),
    EY_FIELD_TEXT(EyMember_t, zone),
    EY_FIELD_TEXT(EyMember_t, http_address),
    EY_FIELD_TEXT(EyMember_t, peer_address),
    EY_FIELD(EyMember_t, capacity, EY_FIELD_U32),
    EY_FIELD_NESTED(EyMember_t, vitals, EyVitals_schema),
    EY_FIELD_END,
};
const EySchema_t EyMember_schema = EY_SCHEMA(EyMember_t, MemberFields);

static const EyField_t RecordFields[] = {
    EY_FIELD_NESTED(EyBackendRecord_t, backend, EyBackend_schema),
    EY_FIELD_TEXT(EyBackendRecord_t, sponsor),
    EY_FIELD(EyBackendRecord_t, sponsor_incarnation, EY_FIELD_U64),
    EY_FIELD(EyBackendRecord_t, epoch, EY_FIELD_U64),
    EY_FIELD(EyBackendRecord_t, serial, EY_FIELD_U64),
    EY_FIELD_NAMED_ENUM(EyBackendRecord_t, listing, EyListing_names,
                        EY_LISTING_COUNT),
    EY_FIELD(EyBackendRecord_t, expired, EY_FIELD_BOOL),
    EY_FIELD(EyBackendRecord_t, said_leaving, EY_FIELD_BOOL),
    EY_FIELD_END,
};
const EySchema_t EyBackendRecord_schema =
    EY_SCHEMA(EyBackendRecord_t, RecordFields);

static const EyField_t LoadFields[] = {
    EY_FIELD_TEXT(EyBackendLoadReport_t, id),
    EY_FIELD_NESTED(EyBackendLoadReport_t, load, EyBackendLoad_schema),
    EY_FIELD_END,
};
static const EySchema_t LoadSchema =
    EY_SCHEMA(EyBackendLoadReport_t, LoadFields);

static const EyField_t SummaryFields[] = {
    EY_FIELD_TEXT(EyTargetSummary_t, region),
    EY_FIELD_TEXT(EyTargetSummary_t, target),
    EY_FIELD(EyTargetSummary_t, serial, EY_FIELD_U64),
    EY_FIELD(EyTargetSummary_t, backend_count, EY_FIELD_U32),
    EY_FIELD(EyTargetSummary_t, free_slots, EY_FIELD_U32),
    EY_FIELD(EyTargetSummary_t, wait_ms, EY_FIELD_U32),
    EY_FIELD(EyTargetSummary_t, age_ms, EY_FIELD_U32),
    EY_FIELD(EyTargetSummary_t, first_event_ms, EY_FIELD_U32),
    EY_FIELD(EyTargetSummary_t, work_per_s, EY_FIELD_U32),
    EY_FIELD_END,
};
const EySchema_t EyTargetSummary_schema =
    EY_SCHEMA(EyTargetSummary_t, SummaryFields);

static const EyField_t MessageFields[] = {
    EY_FIELD_NAMED_ENUM(EyClusterMessage_t, type, EyCluster_type_names,
                        EY_CLUSTER_TYPE_COUNT),
    EY_FIELD_TEXT(EyClusterMessage_t, region),
    EY_FIELD(EyClusterMessage_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyClusterMessage_t, number, EY_FIELD_U64),
    EY_FIELD(EyClusterMessage_t, hash, EY_FIELD_U64),
    EY_FIELD_TEXT(EyClusterMessage_t, target),
    EY_FIELD(EyClusterMessage_t, answered, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyClusterMessage_t, members, member_count,
                      EyMember_schema, EY_CLUSTER_MEMBERS_MAX),
    EY_FIELD_ARRAY_OF(EyClusterMessage_t, vitals, vitals_count,
                      EyVitals_schema, EY_CLUSTER_VITALS_MAX),
    EY_FIELD_ARRAY_OF(EyClusterMessage_t, buckets, bucket_count,
                      EyDigestBucket_schema, EY_DIGEST_BUCKETS),
    EY_FIELD_ARRAY_OF(EyClusterMessage_t, backends, backend_count,
                      EyBackendRecord_schema, EY_CLUSTER_BACKENDS_MAX),
    EY_FIELD_ARRAY_OF(EyClusterMessage_t, loads, load_count, LoadSchema,
                      EY_CLUSTER_LOADS_MAX),
    EY_FIELD_ARRAY_OF(EyClusterMessage_t, summaries, summary_count,
                      EyTargetSummary_schema, EY_CLUSTER_SUMMARIES_MAX),
    EY_FIELD_END,
};
const EySchema_t EyClusterMessage_schema =
    EY_SCHEMA(EyClusterMessage_t, MessageFields);
