/** The insides of EyGroup_t, shared by its source files only. */
#ifndef EY_IDEMPOTENCY_GROUP_INTERNAL_H
#define EY_IDEMPOTENCY_GROUP_INTERNAL_H

#include "core/counters.h"
#include "idempotency/group.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A leader shows itself to replicas this often. */
#define EY_GROUP_HEARTBEAT_INTERVAL_MS 100
/** The same for witnesses, which may be far away. */
#define EY_GROUP_WITNESS_HEARTBEAT_INTERVAL_MS 250
/** Silence after which a replica or leader is suspected. */
#define EY_GROUP_SUSPECT_TIMEOUT_MS 1000
/** Silence after which a witness is suspected. */
#define EY_GROUP_WITNESS_SUSPECT_TIMEOUT_MS 3000

#define EY_GROUP_JOINERS_MAX 16
#define EY_GROUP_PEERS_MAX (EY_VIEW_MEMBERS_MAX + EY_GROUP_JOINERS_MAX)

/** A leader's knowledge of another member, or of one that wants to join. */
typedef struct Peer {
    EyGroupMember_t member;
    bool is_joiner;
    bool is_version_known; /* acked_version was told in this view */
    bool is_fenced;        /* follows no more in this view */
    uint64_t acked_version;
    uint64_t sent_version;
    int64_t sent_ms;
    int64_t progress_ms; /* acked_version rose, or records were sent anew */
    int64_t last_received_ms;
} Peer_t;

typedef enum ViewChangePhase {
    VIEW_CHANGE_NONE,
    VIEW_CHANGE_PROBING,   /* would a quorum vote? */
    VIEW_CHANGE_PREPARING, /* gathering promises */
    VIEW_CHANGE_DRAINING, /* the leader waits until joiners have its records */
    VIEW_CHANGE_PROPOSING, /* gathering acceptances */
    VIEW_CHANGE_PHASE_COUNT
} ViewChangePhase_t;

/** This member's attempt at the next view; bits are ranks in this view. */
typedef struct ViewChange {
    ViewChangePhase_t phase;
    uint64_t ballot;
    uint32_t answered;
    uint32_t expected;
    int64_t phase_start_ms; /* of the phase */
    int64_t sent_ms;
    int64_t retry_at_ms; /* no new attempt before */
    uint64_t versions[EY_VIEW_MEMBERS_MAX];
    uint64_t accepted_ballot;
    EyView_t *accepted; /* of the highest accepted_ballot, or NULL */
    EyView_t *proposal;
    uint64_t seen_ballot;
} ViewChange_t;

/** A message that waits until a version is on all replicas. */
typedef struct Pending {
    uint64_t version;
    EyName_t to;
    EyGroupMessage_t *message;
} Pending_t;

/** A message that waits until this member's disk has a write. */
typedef struct Deferred {
    uint64_t serial;
    EyName_t to;
    EyGroupMessage_t *message;
} Deferred_t;

/** When the claimant of an open claim was asked and heard. */
typedef struct ClaimantQuery {
    EyClaimId_t claim;
    int64_t sent_ms;
    int64_t answered_ms;
    int64_t scanned_ms;
} ClaimantQuery_t;

struct EyGroup {
    EyGroupOptions_t options;
    EyGroupMember_t identity;
    EyRandom_t random;
    bool is_halted; /* its disk failed */

    /* time */
    int64_t now_ms;
    int64_t age_ms;         /* advances with events only, in short steps */
    int64_t epoch_start_ms; /* of age_ms; may be negative */
    int64_t last_expiry_ms;

    /* what a disk keeps */
    EyView_t *view;
    uint64_t promised;
    uint64_t accepted_ballot;
    EyView_t *accepted; /* or NULL */
    bool is_fenced;
    uint64_t version;
    EyRecords_t *records;

    /* writes */
    uint64_t serial;
    uint64_t persisted_serial;
    bool is_dirty;
    bool is_cleared;
    GPtrArray *changed; /* EyRecord_t, below self */
    GQueue deferred;
    GQueue loopback; /* Deferred_t to this member itself */

    /* members */
    EyGroupMember_t configured[EY_VIEW_MEMBERS_MAX];
    uint32_t configured_count;
    EyGroupMember_t seen[EY_GROUP_PEERS_MAX]; /* newest incarnations */
    uint32_t seen_count;
    int64_t leader_contact_ms;
    int64_t fenced_ms;
    int64_t join_sent_ms; /* JOIN was last sent */
    ViewChange_t view_change;

    /* the leader */
    bool installed_as_leader; /* became leader in this life */
    uint64_t durable_version;
    Peer_t peers[EY_GROUP_PEERS_MAX];
    uint32_t peer_count;
    GQueue pending;
    GHashTable *claimant_queries; /* key -> ClaimantQuery_t */
    int64_t last_query_ms;

    EyGroupActions_t *actions; /* of the step under way */
};

typedef enum EyGroupMetric {
    EY_GROUP_METRIC_GRANTED,
    EY_GROUP_METRIC_REPLAY,
    EY_GROUP_METRIC_MISMATCH,
    EY_GROUP_METRIC_UNKNOWN,
    EY_GROUP_METRIC_REFUSED,
    EY_GROUP_METRIC_WAITING,
    EY_GROUP_METRIC_VIEWS,
    EY_GROUP_METRIC_RECORDS,
    EY_GROUP_METRIC_RECORD_BYTES,
    EY_GROUP_METRIC_COUNT
} EyGroupMetric_t;

extern EyMetric_t EyGroup_metrics[EY_GROUP_METRIC_COUNT];

/* group.c */

/** A message with this member's identity and view filled in. */
EyGroupMessage_t *
EyGroup_MakeMessage(EyGroup_t *self, EyGroupMessageKind_t kind);

/** Sends at once; a message to this member itself is taken in this step. */
void
EyGroup_Send(EyGroup_t *self, const char *to, EyGroupMessage_t *message);

/** Sends once what changed so far is on the disk. */
void
EyGroup_SendDurable(EyGroup_t *self, const char *to,
                    EyGroupMessage_t *message);

/** Notes that the state changed. */
void
EyGroup_MarkDirty(EyGroup_t *self);

/** Stores a record and notes it for the disk. */
void
EyGroup_StoreRecord(EyGroup_t *self, const EyRecord_t *record);

/** This member's rank in its view, or -1. */
int32_t
EyGroup_Rank(const EyGroup_t *self);

bool
EyGroup_IsLeader(const EyGroup_t *self);

/** Goes over to a decided view. */
void
EyGroup_Install(EyGroup_t *self, const EyView_t *view);

/** Tells an instance of this member's view. */
void
EyGroup_SendView(EyGroup_t *self, const char *to);

/** How long the epoch has lasted, at least. */
int64_t
EyGroup_EpochAgeMs(const EyGroup_t *self);

/* group_state.c */

/** What a disk keeps, without the records; below ctx. */
EyGroupState_t *
EyGroup_MakeState(const EyGroup_t *self, const void *ctx);

/* group_vote.c */

void
EyGroupViewChange_Message(EyGroup_t *self, uint32_t rank,
                          const EyGroupMessage_t *message);

/** Starts an attempt at a new view if one is due, and drives it on. */
void
EyGroupViewChange_Tick(EyGroup_t *self);

void
EyGroupViewChange_Reset(EyGroup_t *self);

/* group_append.c */

/** True while the leader may order claims. */
bool
EyGroup_MayAppend(const EyGroup_t *self);

/** The version that all replicas of the view have; 0 if one is silent. */
uint64_t
EyGroup_CommitVersion(const EyGroup_t *self);

void
EyGroupAppend_Message(EyGroup_t *self, const char *from,
                      const EyGroupMessage_t *message);

/** Sends each peer what it lacks, and heartbeats. */
void
EyGroupAppend_Flush(EyGroup_t *self);

/** Rebuilds the peers for the view just installed. */
void
EyGroupAppend_Reset(EyGroup_t *self);

Peer_t *
EyGroup_FindPeer(EyGroup_t *self, const char *name, uint64_t incarnation);

/* group_claim.c */

void
EyGroupClaim_Message(EyGroup_t *self, const char *from,
                     const EyGroupMessage_t *message);

/** Asks the claimants of open claims. */
void
EyGroupClaim_Tick(EyGroup_t *self);

/** Sends what waited for the versions that all replicas now have. */
void
EyGroupClaim_Release(EyGroup_t *self);

void
EyGroupClaim_Reset(EyGroup_t *self);

#ifdef __cplusplus
}
#endif

#endif
