/** Internal to the files of membership. */
#ifndef EY_MEMBERSHIP_MEMBERSHIP_STATE_H
#define EY_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "membership/members.h"
#include "membership/membership.h"

#define EY_PROBES_MAX 16
#define EY_SEEDS_MAX 128

/** A ping sent on behalf of another monitor. */
typedef struct EyProbe {
    EyName_t origin;
    EyName_t target;
    uint64_t number;
    int64_t deadline_ms;
} EyProbe_t;

struct EyMembership {
    EyMembershipHooks_t hooks;
    EyRandom_t random;
    EyMembers_t *members;
    /** Addresses from the settings, then those learned since. */
    EyAddress_t seeds[EY_SEEDS_MAX];
    uint32_t seed_count;
    uint32_t learned_seed_count;
    uint32_t next_seed;
    EyProbe_t probes[EY_PROBES_MAX];
    uint64_t number;
    int64_t ticked_ms;
    int64_t hello_ms;
    int64_t digest_ms;
    int64_t vitals_ms;
    int64_t gossip_ms;
    int64_t last_ack_ms; /* last acknowledgement by any instance */
    uint32_t pending_load_per_mille;
    uint64_t pending_config_version;
};

/** Makes a message with the fields common to all types. */
EyClusterMessage_t
EyMembership_Message(const EyMembership_t *self, EyClusterType_t type);

/** Sends to a known instance. */
void
EyMembership_SendTo(EyMembership_t *self, const EyMember_t *to,
                    const EyClusterMessage_t *message);

void
EyMembership_SendPing(EyMembership_t *self, const EyMember_t *to,
                      uint64_t number);

/** Stores a record and notifies the daemon. */
void
EyMembership_Store(EyMembership_t *self, int64_t now_ms,
                   const EyMember_t *member);

/** Records an instance's acknowledgement, received directly or through another
 * instance. */
void
EyMonitor_HandleAck(EyMembership_t *self, int64_t now_ms, const char *id);

/** Handles the acknowledgement of a ping sent on behalf of another monitor. */
void
EyMonitor_HandleProbeAck(EyMembership_t *self, const char *from,
                         uint64_t number);

/** Pings target on behalf of the monitor origin. */
void
EyMonitor_StartProbe(EyMembership_t *self, int64_t now_ms, const char *origin,
                     const char *target);

/** Handles another instance's result of probing a suspect. */
void
EyMonitor_HandleProbeResult(EyMembership_t *self, int64_t now_ms,
                            const EyClusterMessage_t *message);

/** Sends pings, marks instances as suspect and declares them gone. */
void
EyMonitor_Tick(EyMembership_t *self, int64_t now_ms);

/** Restarts monitoring after a period in which nothing could be received. */
void
EyMonitor_Restart(EyMembership_t *self, int64_t now_ms);

#endif
