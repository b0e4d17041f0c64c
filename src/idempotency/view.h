/**
 * Views of a record group, that is its successive memberships, and the quorum
 * rule (dynamic-linear voting): which sets of members may decide the next
 * view.
 */
#ifndef EY_IDEMPOTENCY_VIEW_H
#define EY_IDEMPOTENCY_VIEW_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most members of a view, replicas and witnesses together. */
#define EY_VIEW_MEMBERS_MAX 16

/**
 * One member. The incarnation belongs to its stored state: a member with a
 * disk keeps it across restarts, a member without one gets a new one.
 */
typedef struct EyGroupMember {
    EyName_t name;
    uint64_t incarnation;
    bool is_witness;
} EyGroupMember_t;

/** A view; the members are in order of rank, replicas before witnesses. */
typedef struct EyView {
    uint64_t epoch;
    uint64_t number;
    EyName_t leader;
    EyGroupMember_t *members;
    uint32_t member_count;
} EyView_t;

extern const EySchema_t EyGroupMember_schema;
extern const EySchema_t EyView_schema;

/** A deep copy, a talloc child of ctx. */
EyView_t *
EyView_Copy(const void *ctx, const EyView_t *from);

/** Adds a member: a replica after the other replicas, a witness at the end.
 * Ignored above EY_VIEW_MEMBERS_MAX. */
void
EyView_Add(EyView_t *self, const EyGroupMember_t *member);

/** Rank of a member, or -1; incarnation 0 means any. */
int32_t
EyView_Find(const EyView_t *self, const char *name, uint64_t incarnation);

/** True if a is newer than b: by epoch, then by number. */
bool
EyView_IsNewer(const EyView_t *a, const EyView_t *b);

/** Number of members that aren't witnesses; they rank first. */
uint32_t
EyView_ReplicaCount(const EyView_t *self);

/** True if the members in ranks, a bit for each rank, are a quorum: at least
 * one replica, and either a majority or exactly half with the first rank. */
bool
EyView_IsQuorum(const EyView_t *self, uint32_t ranks);

#ifdef __cplusplus
}
#endif

#endif
