/** Messages of membership, of kind EY_PEER_MEMBERSHIP. */
#ifndef EY_MEMBERSHIP_MESSAGE_H
#define EY_MEMBERSHIP_MESSAGE_H

#include "backends/backend.h"
#include "core/schema.h"
#include "core/types.h"
#include "membership/digest.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyMemberRole {
    EY_MEMBER_GATEWAY,
    EY_MEMBER_CONTROL,
    EY_MEMBER_ROLE_COUNT
} EyMemberRole_t;

typedef enum EyMemberState {
    EY_MEMBER_ALIVE,
    EY_MEMBER_LEAVING, /* announced by the instance; takes no new work */
    EY_MEMBER_GONE,    /* final; may return with a higher incarnation */
    EY_MEMBER_STATE_COUNT
} EyMemberState_t;

extern const char *const EyMember_role_names[EY_MEMBER_ROLE_COUNT];
extern const char *const EyMember_state_names[EY_MEMBER_STATE_COUNT];

/** Frequently changing state of an instance, gossiped at a bounded rate. */
typedef struct EyVitals {
    EyName_t id;
    uint64_t incarnation;
    uint64_t serial;
    uint32_t load_per_mille;
    uint64_t config_version;
} EyVitals_t;

/** An instance as announced by itself or, when it is gone, by its monitor. */
typedef struct EyMember {
    EyName_t id;
    uint64_t incarnation;
    uint64_t serial; /* of the instance's own changes within an incarnation */
    EyMemberState_t state;
    EyMemberRole_t role;
    EyName_t region;
    EyName_t zone;
    EyAddress_t http_address;
    EyAddress_t peer_address;
    uint32_t capacity;
    EyVitals_t vitals; /* its id is used only in EyClusterMessage_t.vitals */
} EyMember_t;

/** State of a backend server's record; at equal epochs the later value wins.
 */
typedef enum EyListing {
    EY_LISTING_SERVING,
    EY_LISTING_LEAVING,
    EY_LISTING_WITHDRAWN,
    EY_LISTING_COUNT
} EyListing_t;

extern const char *const EyListing_names[EY_LISTING_COUNT];

/** A backend server's record, maintained by its sponsor. */
typedef struct EyBackendRecord {
    EyBackend_t backend;
    EyName_t sponsor; /* the gateway that receives its announcements */
    uint64_t sponsor_incarnation;
    uint64_t epoch;  /* raised when the server serves again after leaving */
    uint64_t serial; /* of changes within an epoch */
    EyListing_t listing;
    bool expired;      /* announcements stopped; any later one supersedes this
                          record */
    bool said_leaving; /* said in an answer that it is leaving, which stays
                          true of this incarnation whatever it announces */
} EyBackendRecord_t;

/** A backend server's load, gossiped at a bounded rate. */
typedef struct EyBackendLoadReport {
    EyName_t id;
    EyBackendLoad_t load;
} EyBackendLoadReport_t;

/** A region's capacity for one model or service. */
typedef struct EyTargetSummary {
    EyName_t region;
    EyName_t target;
    uint64_t serial; /* assigned by the region's reporter; higher is newer */
    uint32_t backend_count;
    uint32_t free_slots;
    uint32_t wait_ms; /* expected waiting time */
    uint32_t age_ms;  /* since it was made in its region, as far as known */
    uint32_t first_event_ms; /* see EyRegionSummary_t; 0: unknown */
    uint32_t work_per_s;
} EyTargetSummary_t;

/** Maximum number of items of each kind in a message. */
#define EY_CLUSTER_MEMBERS_MAX 16
#define EY_CLUSTER_VITALS_MAX 6
#define EY_CLUSTER_BACKENDS_MAX 16
#define EY_CLUSTER_LOADS_MAX 12
#define EY_CLUSTER_SUMMARIES_MAX 8

typedef enum EyClusterType {
    EY_CLUSTER_HELLO, /* to an address whose instance isn't known */
    EY_CLUSTER_PING,  /* requests an ACK with the same number */
    EY_CLUSTER_ACK,
    EY_CLUSTER_PROBE,         /* requests the receiver to ping target */
    EY_CLUSTER_PROBED,        /* result of a PROBE: whether target answered */
    EY_CLUSTER_GOSSIP,        /* members, vitals, summaries */
    EY_CLUSTER_DIGEST,        /* requests the members of buckets that differ */
    EY_CLUSTER_BACKENDS,      /* backend records and loads */
    EY_CLUSTER_BACKEND_CHECK, /* hash of the sender's backend records */
    EY_CLUSTER_BACKEND_DIGEST,
    EY_CLUSTER_REFRESH, /* target, a backend server, announced itself to the
                           sender */
    EY_CLUSTER_TYPE_COUNT
} EyClusterType_t;

extern const char *const EyCluster_type_names[EY_CLUSTER_TYPE_COUNT];

typedef struct EyClusterMessage {
    EyClusterType_t type;
    EyName_t region; /* of the sender */
    uint64_t incarnation;
    uint64_t number; /* of a ping */
    uint64_t hash;   /* of the sender's table */
    EyName_t target;
    bool answered; /* PROBED: target answered; digest: is a reply */
    EyMember_t *members;
    uint32_t member_count;
    EyVitals_t *vitals;
    uint32_t vitals_count;
    EyDigestBucket_t *buckets;
    uint32_t bucket_count;
    EyBackendRecord_t *backends;
    uint32_t backend_count;
    EyBackendLoadReport_t *loads;
    uint32_t load_count;
    EyTargetSummary_t *summaries;
    uint32_t summary_count;
} EyClusterMessage_t;

extern const EySchema_t EyMember_schema;
extern const EySchema_t EyVitals_schema;
extern const EySchema_t EyBackendRecord_schema;
extern const EySchema_t EyTargetSummary_schema;
extern const EySchema_t EyClusterMessage_schema;

#ifdef __cplusplus
}
#endif

#endif
