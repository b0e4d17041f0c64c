/**
 * Views of a record group and the rule of dynamic-linear voting: which sets
 * of members may decide the view that comes next.
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
 * One member. The incarnation is that of its stored state: a member with a
 * disk keeps it over a restart, one without gets a new one.
 */
typedef struct EyGroupMember {
    EyName_t name;
    uint64_t incarnation;
    bool is_witness;
} EyGroupMember_t;

/** A view; its members stand in order of rank, replicas first. */
typedef struct EyView {
    uint64_t epoch;
    uint64_t number;
    EyName_t leader;
    EyGroupMember_t *members; /* the cohort set */
    uint32_t member_count;
} EyView_t;

extern const EySchema_t EyGroupMember_schema;
extern const EySchema_t EyView_schema;

/** A deep copy below ctx. */
EyView_t *
EyView_Copy(const void *ctx, const EyView_t *from);

/** Adds a member by rank: a replica before the witnesses. */
void
EyView_Add(EyView_t *self, const EyGroupMember_t *member);

/** Rank of a member, or -1; incarnation 0 means any. */
int32_t
EyView_Find(const EyView_t *self, const char *name, uint64_t incarnation);

/** True if a comes after b: by epoch, then by number. */
bool
EyView_IsNewer(const EyView_t *a, const EyView_t *b);

/** True if the members, a bit for each rank, are one replica at least and
 * either a majority or a half with the first in rank. */
bool
EyView_IsQuorum(const EyView_t *self, uint32_t ranks);

#ifdef __cplusplus
}
#endif

#endif
