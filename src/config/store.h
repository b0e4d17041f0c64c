/**
 * The replicated state machine: the configuration, its history, the epochs of
 * the idempotency groups, and leases. It changes only by commands, which come
 * from committed Raft entries (or, at a gateway, from the feed), so that equal
 * revisions mean equal state in all processes.
 *
 * Each change carries the version that it was made against and a change id.
 * A change id that was applied before gets the first answer again. Ids are
 * kept for the last EY_CHANGES_MAX changes; a change with an older id isn't
 * applied a second time either, because its version is no longer current.
 *
 * The end of an exception is counted in ticks, which are commands that the
 * Raft leader proposes every EY_STORE_TICK_S seconds by its own clock, so
 * that clocks needn't agree. Without a leader no tick is applied and the
 * exception remains. It never ends more than one tick early.
 */
#ifndef EY_CONFIG_STORE_H
#define EY_CONFIG_STORE_H

#include "config/config.h"
#include "config/route_table.h"
#include "idempotency/view.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of changes whose ids and answers are kept. */
#define EY_CHANGES_MAX 1024
/** Most records of the history; the oldest are dropped first. */
#define EY_HISTORY_MAX 1000
/** Interval of ticks. */
#define EY_STORE_TICK_S 10
/** Most members of an idempotency group. */
#define EY_GROUP_MEMBERS_MAX 16
#define EY_GROUPS_MAX 256
#define EY_LEASES_MAX 1024
#define EY_EVACUATIONS_MAX 256
/** Most zones whose last restoration is kept. */
#define EY_RESTORED_MAX 64
/** A restoration is kept until so many later changes. */
#define EY_RESTORED_REVISIONS 64

typedef enum EyCommandKind {
    EY_COMMAND_NONE,
    EY_COMMAND_SET_DEFAULT,      /* key, value, version */
    EY_COMMAND_ADD_EXCEPTION,    /* key, scope, value, reason, duration_s */
    EY_COMMAND_REMOVE_EXCEPTION, /* exception_id, version, reason */
    EY_COMMAND_TICK,             /* tick: the current number + 1 */
    EY_COMMAND_SET_GROUP,        /* group; its epoch: the current one + 1 */
    EY_COMMAND_TAKE_LEASE,       /* lease: name, holder, incarnation, and the
                                  * observed fencing and renewals */
    EY_COMMAND_RENEW_LEASE,      /* the same, by the holder */
    EY_COMMAND_RELEASE_LEASE,    /* the same, by the holder */
    EY_COMMAND_REPLACE_ROUTES,   /* routes_version, document */
    EY_COMMAND_EVACUATE_ZONE,    /* key: an availability zone */
    EY_COMMAND_RESTORE_ZONE,     /* key: an availability zone */
    EY_COMMAND_KIND_COUNT
} EyCommandKind_t;

extern const char *const EyStore_command_names[EY_COMMAND_KIND_COUNT];

/** The members of a region's idempotency group in an epoch. */
typedef struct EyGroupEpoch {
    EyName_t region;
    uint64_t epoch;           /* 1 is the first */
    EyGroupMember_t *members; /* the epoch's first members, in order of rank */
    uint32_t member_count;
} EyGroupEpoch_t;

/** A lease; it is free if holder is empty. */
typedef struct EyLeaseRecord {
    EyName_t name;
    EyName_t holder;
    uint64_t incarnation;
    uint64_t fencing;  /* token; increases with each new holder of any lease */
    uint64_t renewals; /* by this holder */
} EyLeaseRecord_t;

/** The end of a zone's evacuation, also if the evacuation itself was never
 * applied: the zone's servers may be cold. */
typedef struct EyRestoredZone {
    EyName_t zone;
    uint64_t revision; /* of the store, after the end */
} EyRestoredZone_t;

/** One command. Fields that its kind doesn't use are zero. */
typedef struct EyCommand {
    EyCommandKind_t kind;
    EyName_t change_id;
    EyName_t author;
    uint64_t version; /* the EyConfig_t.version that it was made against */
    EyName_t key;
    char scope[EY_NAME_SIZE_BYTES + 16]; /* KIND:NAME */
    EyValueText_t value;
    EyChangeReason_t reason;
    uint32_t duration_s;
    uint64_t exception_id;
    uint64_t tick;
    EyGroupEpoch_t group;
    EyLeaseRecord_t lease;
    uint64_t routes_version; /* of the document */
    EyBytes_t document;      /* a route table as JSON */
} EyCommand_t;

typedef enum EyCommandResultStatus {
    EY_COMMAND_RESULT_DONE,
    EY_COMMAND_RESULT_CONFLICT,  /* another change came first */
    EY_COMMAND_RESULT_INVALID,   /* text says what was expected */
    EY_COMMAND_RESULT_NOT_FOUND, /* no such exception */
    EY_COMMAND_RESULT_ID_REUSED, /* the change id was used for another change
                                  */
    EY_COMMAND_RESULT_STATUS_COUNT
} EyCommandResultStatus_t;

extern const char *const EyStore_result_names[EY_COMMAND_RESULT_STATUS_COUNT];

/** The result of a command. */
typedef struct EyCommandResult {
    EyCommandResultStatus_t status;
    uint64_t version;  /* after the command; for a conflict, the current one */
    uint64_t revision; /* after the command */
    uint64_t exception_id; /* of the exception that was added or removed */
    uint64_t fencing;      /* of the lease that was taken */
    char text[EY_VALUE_SIZE_BYTES];
} EyCommandResult_t;

/** A change id and its answer. */
typedef struct EyChange {
    EyName_t id;
    uint64_t hash; /* of the command */
    EyCommandResult_t result;
} EyChange_t;

/** One record of the history. */
typedef struct EyHistoryRecord {
    uint64_t version;
    EyCommandKind_t kind; /* TICK: an exception expired */
    EyName_t key;
    char scope[EY_NAME_SIZE_BYTES + 16]; /* empty: the fleet's default */
    EyValueText_t before;
    EyValueText_t after;
    EyChangeReason_t reason;
    EyName_t author;
    EyName_t change_id;
    uint64_t exception_id;
} EyHistoryRecord_t;

typedef struct EyStore {
    EyConfig_t config; /* first, as the talloc parent of its arrays */
    uint64_t tick;
    uint64_t last_exception_id;
    uint64_t last_fencing;
    EyHistoryRecord_t *history; /* oldest first */
    uint32_t history_count;
    EyChange_t *changes; /* oldest first */
    uint32_t change_count;
    EyGroupEpoch_t *groups;
    uint32_t group_count;
    EyLeaseRecord_t *leases;
    uint32_t lease_count;
    uint64_t routes_version; /* 0: no routes were set yet */
    EyBytes_t routes;        /* their document, as received */
    EyName_t *evacuated;     /* availability zones that get no requests */
    uint32_t evacuated_count;
    EyRestoredZone_t *restored; /* recently, oldest first; one of each zone */
    uint32_t restored_count;
} EyStore_t;

extern const EySchema_t EyGroupEpoch_schema;
extern const EySchema_t EyLeaseRecord_schema;
extern const EySchema_t EyCommand_schema;
extern const EySchema_t EyCommandResult_schema;
extern const EySchema_t EyHistoryRecord_schema;
extern const EySchema_t EyStore_schema;

/** Returns a copy of the members below ctx. */
EyGroupMember_t *
EyGroupEpoch_CopyMembers(const void *ctx, const EyGroupEpoch_t *from);

/** Time after which an order without a version isn't carried out any more. Its
 * caller gives it again elsewhere after a second, and then it would undo what
 * was ordered since. */
#define EY_ORDER_AGE_MAX_MS 1000

/** True if a command takes effect whatever was ordered before. */
bool
EyCommand_IsUnversioned(const EyCommand_t *command);

/** True if a command must not be appended any more, age_ms after its caller
 * gave it: it has no version that tells it from newer ones. A negative age is
 * an unknown one. */
bool
EyCommand_IsTooOld(const EyCommand_t *command, int64_t age_ms);

/** Returns a copy whose arrays and data are copied below ctx. */
EyCommand_t
EyCommand_Copy(const void *ctx, const EyCommand_t *from);

EyStore_t *
EyStore_New(const void *ctx);

/** Returns true if the availability zone is being evacuated. */
bool
EyStore_IsEvacuated(const EyStore_t *self, const char *zone);

/**
 * Validates a command's key, value, scope and reason against this build's
 * table, before it is proposed; result gets the error. EyStore_Apply doesn't
 * use the table, so that processes of different builds reach the same state.
 */
bool
EyStore_Check(const EyCommand_t *command, EyCommandResult_t *result);

/** True for a route table whose version isn't higher than the committed one:
 * it changes nothing, now or later, and is acknowledged. */
bool
EyStore_Holds(const EyStore_t *self, const EyCommand_t *command);

/** Applies a command; if the status isn't DONE, nothing but the list of
 * change ids changes. */
EyCommandResult_t
EyStore_Apply(EyStore_t *self, const EyCommand_t *command);

/** Returns the whole state, packed, below ctx. */
EyBytes_t
EyStore_Snapshot(const EyStore_t *self, const void *ctx);

/** Returns the state without the change ids, which only the Raft members
 * need, packed, below ctx. */
EyBytes_t
EyStore_SharedSnapshot(const EyStore_t *self, const void *ctx);

/** Restores the state from a snapshot; returns NULL with EY_SCHEMA_ERROR. */
EyStore_t *
EyStore_Restore(const void *ctx, const EyBytes_t *snapshot, GError **error);

/** Returns the current epoch of a region's group, or NULL if none was set. */
const EyGroupEpoch_t *
EyStore_FindGroup(const EyStore_t *self, const char *region);

/** Returns the lease, or NULL if it was never taken. */
const EyLeaseRecord_t *
EyStore_FindLease(const EyStore_t *self, const char *name);

/** Returns true if ticks are needed because some exception has an end. */
bool
EyStore_NeedsTicks(const EyStore_t *self);

/** Returns a hash of the state without the change ids, to compare
 * replicas. */
uint64_t
EyStore_Hash(const EyStore_t *self);

#ifdef __cplusplus
}
#endif

#endif
