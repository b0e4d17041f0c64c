/** The definition of EyConfigReplica_t and the functions shared by its source
 * files. */
#ifndef EY_CONFIG_CONFIG_REPLICA_INTERNAL_H
#define EY_CONFIG_CONFIG_REPLICA_INTERNAL_H

#include "config/config_replica.h"
#include "config/control_answers.h"

/** Control processes asked by each pull in addition to the tree's source. */
#define EY_CONFIG_REPLICA_EXTRA_CONTROLS 2U
/** Time after which a source that hasn't answered is asked again. */
#define EY_CONFIG_REPLICA_ANSWER_MAX_MS 500
/** Most sources that one pull asks. */
#define EY_CONFIG_REPLICA_ASKED_MAX 8
/** A store that has been confirmed within this time needs no further answers:
 * an interval of pulls, and the age of what a control process knows. */
#define EY_CONFIG_REPLICA_CONTACT_MAX_MS 1500

struct EyConfigReplica {
    EyName_t id;
    EyRandom_t random;
    EyConfigReplicaHooks_t hooks;
    EyStore_t *store;
    EyFeed_t *feed;
    EyName_t *gateways; /* of the local region, own id included, sorted */
    uint32_t gateway_count;
    EyName_t *controls;
    uint32_t control_count;
    uint32_t root_control;     /* index of the tree root's control process */
    uint32_t extra_control;    /* index of the last additional one asked */
    uint64_t highest_revision; /* revision that a peer announced */
    int64_t started_ms;
    int64_t pull_ms;         /* when to pull next */
    int64_t fetch_ends_ms;   /* until then a source is expected to send what
                                is missing; 0: none was asked */
    int64_t control_ends_ms; /* until then a control process is expected to
                                announce what a gateway has announced; 0:
                                none was asked since the last change */
    EyName_t announcer;      /* gateway that announced it last; or empty */
    uint64_t announced_bytes;
    bool wants_snapshot;       /* the last commands couldn't be applied */
    uint32_t unanswered_pulls; /* pulls since the last push */
    int64_t pulled_ms;         /* time of the last pull */
    EyName_t asked[EY_CONFIG_REPLICA_ASKED_MAX]; /* by it; without those that
                                                    have answered */
    uint32_t asked_count;
    bool has_answer; /* since the start */
    bool is_ready;   /* unless the store is held back */
    bool is_used;    /* the store was passed to the changed hook */
    EyFreshnessState_t state;
    EyFreshness_t freshness; /* of the store */
    EyControlAnswers_t answers;
    int64_t last_alone_ms;   /* last time that most control processes didn't
                                answer */
    int64_t group_absent_ms; /* last time that the group was not present */
    int64_t held_since_ms;   /* since then the store is held back; 0: no */
    int64_t behind_since_ms; /* since then a newer revision is known and the
                                store's hasn't changed; 0: none is */
    int64_t delay_ms;        /* see EyConfigReplica_DelayMs */
    int64_t use_checked_ms;  /* last time that the state was decided */
    uint64_t stale_pushes;   /* pushes of an older revision */
    int64_t clock_ms;        /* of the current call */
    int64_t current_ms;      /* as EyConfigReplica_CurrentMs */
};

/* config_replica.c */

/** True if an instance is one of the known control processes. */
bool
ey_config_replica_is_control(const EyConfigReplica_t *self, const char *id);

/** Returns how many control processes a pull asks beside the tree's source:
 * all that fit while contact is lost. */
uint32_t
ey_config_replica_extra_controls(const EyConfigReplica_t *self);

/* config_replica_freshness.c */

/** Records the state of a push's sender, and the store's freshness by it. */
void
ey_config_replica_note_push(EyConfigReplica_t *self, int64_t now_ms,
                            const char *from, const EyConfigMessage_t *push);

/** Passes the freshness on with later pushes; returns true if the store has
 * become confirmed. */
bool
ey_config_replica_update_feed(EyConfigReplica_t *self, int64_t now_ms);

/** Decides again what may be done by the store. */
void
ey_config_replica_update_state(EyConfigReplica_t *self, int64_t now_ms);

/** Passes the store to the changed hook. */
void
ey_config_replica_use_store(EyConfigReplica_t *self);

/** Returns how many control processes have answered recently. */
uint32_t
ey_config_replica_answering(const EyConfigReplica_t *self, int64_t now_ms);

/** True if most control processes have. */
bool
ey_config_replica_majority_answers(const EyConfigReplica_t *self,
                                   int64_t now_ms);

#endif
