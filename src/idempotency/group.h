/**
 * One member of a region's record group, which replicates the idempotency
 * records: either a replica, which stores the records, or a witness, which
 * stores only the view, that is the group's membership.
 *
 * The leader of the view puts claims in order. A claim is granted once every
 * replica of the view has it, so each single replica has all granted claims.
 * The next view is decided by a quorum of the current view's members, and its
 * leader is the replica among them with the most recent records. A member
 * serves one view at a time.
 *
 * This module does no I/O: the daemon passes events in and carries out the
 * actions in order. A SEND to its own instance is passed back as a MESSAGE
 * event.
 */
#ifndef EY_IDEMPOTENCY_GROUP_H
#define EY_IDEMPOTENCY_GROUP_H

#include "core/random.h"
#include "idempotency/action.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyGroupOptions {
    EyName_t name;
    EyName_t region;
    uint64_t incarnation; /* used unless a stored state is restored */
    bool is_witness;
    bool has_disk;            /* PERSIST actions are answered by PERSISTED */
    uint32_t replica_max;     /* most replicas in a view; 0: default */
    uint32_t witness_max;     /* most witnesses in a view; 0: no limit */
    EyRecordsLimits_t limits; /* 0: default */
    uint64_t seed;
} EyGroupOptions_t;

typedef enum EyGroupEventKind {
    EY_GROUP_EVENT_TICK,      /* about every 50 ms */
    EY_GROUP_EVENT_MESSAGE,   /* message from an instance */
    EY_GROUP_EVENT_EPOCH,     /* epoch and first members, from configuration */
    EY_GROUP_EVENT_PERSISTED, /* all PERSIST up to serial are synced */
    EY_GROUP_EVENT_PERSIST_FAILED, /* the disk is full or fails; the caller
                                    * repeats the write until PERSISTED */
    EY_GROUP_EVENT_LEAVE, /* this process will end; repeats have no effect */
    EY_GROUP_EVENT_KIND_COUNT
} EyGroupEventKind_t;

typedef struct EyGroupEvent {
    EyGroupEventKind_t kind;
    EyName_t from;
    const EyGroupMessage_t *message;
    uint64_t epoch;
    /** EPOCH: replicas and witnesses in order of rank, with the incarnations
     * that start the epoch without records. */
    const EyGroupMember_t *members;
    uint32_t member_count;
    uint64_t serial;
} EyGroupEvent_t;

typedef struct EyGroup EyGroup_t;

/** Creates a member; restored is the state loaded from the journal, or NULL.
 */
EyGroup_t *
EyGroup_New(const void *ctx, const EyGroupOptions_t *options,
            const EyGroupState_t *restored, int64_t now_ms);

/** Sets the region's gateways, any of which may know a newer view than the
 * ones that this member can name. */
void
EyGroup_SetContacts(EyGroup_t *self, const EyName_t *names, uint32_t count);

/** Handles one event; appends the actions to carry out. */
void
EyGroup_Step(EyGroup_t *self, int64_t now_ms, const EyGroupEvent_t *event,
             EyGroupActions_t *actions);

/** The newest view that this member has installed; number 0: none yet. */
const EyView_t *
EyGroup_View(const EyGroup_t *self);

/** True while this member leads its view and all of its records are on every
 * replica. */
bool
EyGroup_IsServing(const EyGroup_t *self);

/** Records that this member stores; NULL for a witness. */
const EyRecords_t *
EyGroup_Records(const EyGroup_t *self);

/** Name, incarnation and kind of this member. */
EyGroupMember_t
EyGroup_Self(const EyGroup_t *self);

/**
 * True if so many members of the view have restarted under a new incarnation,
 * without their state, that the others are no quorum. Then no further view can
 * be decided, and the epoch must be raised. Fills in members, an array of
 * EY_VIEW_MEMBERS_MAX, with the newest incarnation of each member.
 */
bool
EyGroup_HasLostQuorum(const EyGroup_t *self, EyGroupMember_t *members,
                      uint32_t *member_count);

/**
 * True if this process can end without the loss of a member that the group
 * counts on: it is in no view (any more), its state is on its disk, or nobody
 * else could take over its records.
 */
bool
EyGroup_MayEnd(const EyGroup_t *self);

/** The whole state, for compaction of the journal; a talloc child of ctx. */
EyGroupState_t *
EyGroup_Snapshot(const EyGroup_t *self, const void *ctx);

/** State as JSON for dumps, without keys and answers. */
json_t *
EyGroup_Dump(const EyGroup_t *self);

/** Registers the metrics of the record group. */
void
EyGroup_RegisterMetrics(void);

#ifdef __cplusplus
}
#endif

#endif
