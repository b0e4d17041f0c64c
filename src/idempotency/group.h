/**
 * One member of a region's group of idempotency records: a replica, which
 * holds the records, or a witness, which holds the view only.
 *
 * The leader of the view orders claims. A claim is granted once every replica
 * of the view has it, so any one replica knows every granted claim. A new
 * view is decided by a quorum of the members of the view before it, and its
 * leader is the replica among them that has most of that view's records.
 * Nobody serves two views at a time.
 *
 * The daemon gives events and carries out the actions in order. A SEND to its
 * own instance comes back as a MESSAGE from itself.
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
    uint64_t incarnation; /* of the stored state, if none is restored */
    bool is_witness;
    bool has_disk;            /* PERSIST actions are answered by PERSISTED */
    uint32_t replica_max;     /* replicas that a view has at most; 0: preset */
    uint32_t witness_max;     /* witnesses that join a view; 0: no limit */
    EyRecordsLimits_t limits; /* zeros: presets */
    uint64_t seed;
} EyGroupOptions_t;

typedef enum EyGroupEventKind {
    EY_GROUP_EVENT_TICK,      /* every 50 ms or so */
    EY_GROUP_EVENT_MESSAGE,   /* message from an instance */
    EY_GROUP_EVENT_EPOCH,     /* epoch and first members, from configuration */
    EY_GROUP_EVENT_PERSISTED, /* all PERSIST up to serial are on the disk */
    EY_GROUP_EVENT_PERSIST_FAILED, /* the disk is full or broken */
    EY_GROUP_EVENT_KIND_COUNT
} EyGroupEventKind_t;

typedef struct EyGroupEvent {
    EyGroupEventKind_t kind;
    EyName_t from;
    const EyGroupMessage_t *message;
    uint64_t epoch;
    /** EPOCH: replicas and witnesses in order of rank, with the incarnations
     * that hold no records of this epoch yet. */
    const EyGroupMember_t *members;
    uint32_t member_count;
    uint64_t serial;
} EyGroupEvent_t;

typedef struct EyGroup EyGroup_t;

/** A member; restored is what the journal held, or NULL. */
EyGroup_t *
EyGroup_New(const void *ctx, const EyGroupOptions_t *options,
            const EyGroupState_t *restored, int64_t now_ms);

/** Takes one event; what is to be done comes into actions. */
void
EyGroup_Step(EyGroup_t *self, int64_t now_ms, const EyGroupEvent_t *event,
             EyGroupActions_t *actions);

/** The view that this member knows of; number 0: none yet. */
const EyView_t *
EyGroup_View(const EyGroup_t *self);

/** True while this member leads its view and every replica follows it. */
bool
EyGroup_IsServing(const EyGroup_t *self);

/** Records that this member holds; NULL for a witness. */
const EyRecords_t *
EyGroup_Records(const EyGroup_t *self);

/** This member's own identity. */
EyGroupMember_t
EyGroup_Self(const EyGroup_t *self);

/**
 * True if so many members of the view were seen again under a new incarnation
 * that the rest is no quorum: no view can follow, and the epoch must rise.
 * members, of EY_VIEW_MEMBERS_MAX, gets each in its newest incarnation.
 */
bool
EyGroup_HasLostQuorum(const EyGroup_t *self, EyGroupMember_t *members,
                      uint32_t *member_count);

/** All that a journal must hold, for its compaction; below ctx. */
EyGroupState_t *
EyGroup_Snapshot(const EyGroup_t *self, const void *ctx);

/** State for dumps, without keys and answers. */
json_t *
EyGroup_Dump(const EyGroup_t *self);

/** Registers the metrics of this part. */
void
EyGroup_RegisterMetrics(void);

#ifdef __cplusplus
}
#endif

#endif
