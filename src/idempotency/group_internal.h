/** Internals of EyGroup_t, shared by the group*.c files only. */
#ifndef EY_IDEMPOTENCY_GROUP_INTERNAL_H
#define EY_IDEMPOTENCY_GROUP_INTERNAL_H

#include "core/metrics.h"
#include "idempotency/group.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Interval of the leader's heartbeats to replicas. */
#define EY_GROUP_HEARTBEAT_INTERVAL_MS 100
/** Interval of its heartbeats to witnesses, which may be in remote regions. */
#define EY_GROUP_WITNESS_HEARTBEAT_INTERVAL_MS 250
/** Time without a message after which a replica or leader is suspected. */
#define EY_GROUP_SUSPECT_TIMEOUT_MS 1000
/** Time without a message after which a witness is suspected, and time without
 * a leader after which a member may report that the quorum is lost. */
#define EY_GROUP_WITNESS_SUSPECT_TIMEOUT_MS 3000

#define EY_GROUP_JOINERS_MAX 16
/** Most gateways that a member without a current view asks for one. */
#define EY_GROUP_CONTACTS_MAX 64
#define EY_GROUP_PEERS_MAX (EY_VIEW_MEMBERS_MAX + EY_GROUP_JOINERS_MAX)

/** The leader's state about another member, or about a joiner: an instance
 * that asked to become a member. */
typedef struct Peer {
    EyGroupMember_t member;
    bool is_joiner;
    bool is_version_known; /* acked_version was received in this view */
    bool is_fenced;        /* has stopped following in this view */
    bool is_leaving;       /* asked for a view without it */
    uint64_t acked_version;
    uint64_t sent_version;
    int64_t sent_ms;
    uint64_t unacked_bytes; /* at most, of answers */
    int64_t progress_ms;    /* acked_version rose, or a resend started */
    int64_t stale_ack_ms;   /* last acknowledgement of less than was sent */
    int64_t last_received_ms;
} Peer_t;

typedef enum ViewChangePhase {
    VIEW_CHANGE_NONE,
    VIEW_CHANGE_PROBING,   /* asks whether a quorum would take part */
    VIEW_CHANGE_PREPARING, /* collects promises */
    VIEW_CHANGE_DRAINING, /* the leader waits until joiners have its records */
    VIEW_CHANGE_PROPOSING, /* collects acceptances */
    VIEW_CHANGE_PHASE_COUNT
} ViewChangePhase_t;

/** This member's attempt to have the next view decided. answered and expected
 * have a bit for each rank in the current view. */
typedef struct ViewChange {
    ViewChangePhase_t phase;
    uint64_t ballot;
    uint32_t answered;
    uint32_t expected;
    int64_t phase_start_ms;
    int64_t sent_ms;
    int64_t retry_at_ms; /* earliest time of the next attempt */
    uint64_t versions[EY_VIEW_MEMBERS_MAX];
    uint64_t accepted_ballot;
    EyView_t *accepted; /* of the highest accepted_ballot, or NULL */
    EyView_t *proposal;
    uint64_t seen_ballot;
} ViewChange_t;

/** A message that is sent once all replicas have a version. */
typedef struct Pending {
    uint64_t version;
    EyName_t to;
    EyGroupMessage_t *message;
} Pending_t;

/** A message that is sent once a write of this member is synced. */
typedef struct Deferred {
    uint64_t serial;
    EyName_t to;
    EyGroupMessage_t *message;
} Deferred_t;

/** Status queries to the claimant of an open claim. */
typedef struct ClaimantQuery {
    EyClaimId_t claim;
    int64_t sent_ms;
    int64_t answered_ms;
    int64_t scanned_ms; /* last scan in which the claim was open */
} ClaimantQuery_t;

struct EyGroup {
    EyGroupOptions_t options;
    EyGroupMember_t identity;
    EyRandom_t random;
    bool is_halted;  /* the disk fails; events are ignored */
    bool is_leaving; /* the process will end */

    /* time */
    int64_t now_ms;
    int64_t age_ms;         /* age clock, see AGE_STEP_MAX_MS in group.c */
    int64_t epoch_start_ms; /* of age_ms; may be negative */
    int64_t last_expiry_ms;

    /* persistent state */
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
    GPtrArray *changed; /* EyRecord_t, owned by self */
    GQueue deferred;
    GQueue loopback; /* Deferred_t to this member itself */

    /* members */
    EyGroupMember_t configured[EY_VIEW_MEMBERS_MAX];
    uint32_t configured_count;
    EyName_t contacts[EY_GROUP_CONTACTS_MAX];
    uint32_t contact_count;
    uint32_t next_contact;
    EyGroupMember_t seen[EY_GROUP_PEERS_MAX]; /* newest known incarnations */
    uint32_t seen_count;
    int64_t leader_contact_ms;
    int64_t fenced_ms;
    int64_t join_sent_ms;
    int64_t leave_sent_ms;
    int64_t invited_ms;
    ViewChange_t view_change;

    /* the leader */
    bool installed_as_leader; /* in this process; false after a restart */
    uint64_t install_serial;  /* of the write with the current view */
    uint64_t durable_version;
    Peer_t peers[EY_GROUP_PEERS_MAX];
    uint32_t peer_count;
    GQueue pending;
    GHashTable *claimant_queries; /* key -> ClaimantQuery_t */
    int64_t last_query_ms;

    EyGroupActions_t *actions; /* of the current step */
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

/** A new message with this member's incarnation and view filled in. */
EyGroupMessage_t *
EyGroup_MakeMessage(EyGroup_t *self, EyGroupMessageKind_t kind);

/** Sends a message now; one to this member itself is handled in this step. */
void
EyGroup_Send(EyGroup_t *self, const char *to, EyGroupMessage_t *message);

/** Sends a message once all changes so far are synced to the disk. */
void
EyGroup_SendDurable(EyGroup_t *self, const char *to,
                    EyGroupMessage_t *message);

/** Marks the state as changed, to be persisted at the end of the step. */
void
EyGroup_MarkDirty(EyGroup_t *self);

/** Stores a record and adds it to the next write. */
void
EyGroup_StoreRecord(EyGroup_t *self, const EyRecord_t *record);

/** This member's rank in its view, or -1. */
int32_t
EyGroup_Rank(const EyGroup_t *self);

bool
EyGroup_IsLeader(const EyGroup_t *self);

/** Switches to a decided view. */
void
EyGroup_Install(EyGroup_t *self, const EyView_t *view);

/** Sends this member's view to an instance. */
void
EyGroup_SendView(EyGroup_t *self, const char *to);

/** Lower bound of the time since the epoch started. */
int64_t
EyGroup_EpochAgeMs(const EyGroup_t *self);

/* group_state.c */

/** The persistent state without the records; a talloc child of ctx. */
EyGroupState_t *
EyGroup_MakeState(const EyGroup_t *self, const void *ctx);

/* group_view_change.c */

void
EyGroupViewChange_Message(EyGroup_t *self, uint32_t rank,
                          const EyGroupMessage_t *message);

/** Starts a view change if one is due, or advances the current one. */
void
EyGroupViewChange_Tick(EyGroup_t *self);

void
EyGroupViewChange_Reset(EyGroup_t *self);

/* group_join.c */

/** True if a view may have one more member of this kind, or already has this
 * member, possibly under another incarnation. */
bool
EyGroup_HasRoom(const EyGroup_t *self, const EyView_t *view,
                const EyGroupMember_t *member);

void
EyGroupJoin_HandleJoin(EyGroup_t *self, const char *from,
                       const EyGroupMessage_t *message);

/** Records that a member of the view will end; the next view is without it. */
void
EyGroupJoin_HandleLeave(EyGroup_t *self, const char *from,
                        const EyGroupMessage_t *message);

/** Asks to join or to leave, or invites others, if that is due. */
void
EyGroupJoin_Tick(EyGroup_t *self);

/* group_append.c */

/** True while this member leads and may append records, that is order claims.
 */
bool
EyGroup_MayAppend(const EyGroup_t *self);

/** The version that all replicas of the view have; 0 if that of one is still
 * unknown, or if this member may not append. */
uint64_t
EyGroup_CommitVersion(const EyGroup_t *self);

void
EyGroupAppend_Message(EyGroup_t *self, const char *from,
                      const EyGroupMessage_t *message);

/** Sends each peer the records that it lacks, and heartbeats. */
void
EyGroupAppend_Flush(EyGroup_t *self);

/** Rebuilds the list of peers after a view was installed. */
void
EyGroupAppend_Reset(EyGroup_t *self);

Peer_t *
EyGroup_FindPeer(EyGroup_t *self, const char *name, uint64_t incarnation);

/* group_claim.c */

void
EyGroupClaim_Message(EyGroup_t *self, const char *from,
                     const EyGroupMessage_t *message);

/** Queries the claimants of open claims about their state. */
void
EyGroupClaim_Tick(EyGroup_t *self);

/** Sends the messages that waited for versions which all replicas now have. */
void
EyGroupClaim_Release(EyGroup_t *self);

void
EyGroupClaim_Reset(EyGroup_t *self);

#ifdef __cplusplus
}
#endif

#endif
