/** A group of control processes of which some are replaced at other addresses,
 * stopped, or lose their disks, with one gateway. */
#ifndef EY_TESTS_PROCESS_CONTROL_GROUP_H
#define EY_TESTS_PROCESS_CONTROL_GROUP_H

#include "process/harness.h"

#define CONTROL_GROUP_SIZE 5
/** Processes of one run, those that were replaced included. */
#define CONTROL_GROUP_PROCESSES_MAX 24
/** Addresses that --control names. */
#define CONTROL_GROUP_CONTACTS 3

/** Processes of the group that may be lost at once, with their disks. */
#define CONTROL_GROUP_LOSSES 2
/** A process counts as lost until it has been back for this time. */
#define CONTROL_GROUP_CATCH_UP_MS 4000
/** A change that was acknowledged must be in force after this time. */
#define CONTROL_GROUP_APPLY_MS 3000
/** Witnesses that a record group has, if control processes of other regions
 * run. */
#define CONTROL_GROUP_WITNESSES 2
/** What was lost must be back in use after this time. */
#define CONTROL_GROUP_RECOVERY_MS 12000

typedef struct ControlGroupMember {
    Process_t process;
    char folder[HARNESS_ARG_SIZE_BYTES]; /* its data, in memory */
    bool is_gone;                        /* for good */
} ControlGroupMember_t;

typedef struct ControlGroup {
    ControlGroupMember_t members[CONTROL_GROUP_PROCESSES_MAX];
    uint32_t count;
    const char *label;
    uint16_t contacts[CONTROL_GROUP_CONTACTS]; /* peer ports for --control */
    Process_t gateway;
} ControlGroup_t;

/** Starts the processes and the gateway, and waits until all of them are
 * voters; label begins their names. */
void
ControlGroup_Start(ControlGroup_t *self, const char *label);

/** Starts one process at another address, with an empty disk; returns its
 * index. */
uint32_t
ControlGroup_Add(ControlGroup_t *self);

/** Kills a process for good and removes its disk. */
void
ControlGroup_Remove(ControlGroup_t *self, uint32_t index);

/** Has --control name the first processes that are left, for those that start
 * from now on. */
void
ControlGroup_RenewContacts(ControlGroup_t *self);

/** Kills all processes of the group at the same moment, then the gateway. */
void
ControlGroup_KillAll(ControlGroup_t *self);

/** Empties the disk of a process that was killed; it founds no group. */
void
ControlGroup_LoseDisk(ControlGroup_t *self, uint32_t index);

/** Starts those that were killed, but for those that are gone. */
void
ControlGroup_StartAll(ControlGroup_t *self);

/** Index of the member that a member takes for the leader; count if it knows
 * none. */
uint32_t
ControlGroup_Leader(const ControlGroup_t *self);

/** Sets a route table of this version; false if it isn't acknowledged within
 * timeout_ms. */
bool
ControlGroup_Change(const ControlGroup_t *self, uint32_t version,
                    int64_t timeout_ms);

/** Waits until every process, the gateway included, reads back this version;
 * false, with what is missing on stderr, after timeout_ms. */
bool
ControlGroup_AwaitVersion(const ControlGroup_t *self, uint32_t version,
                          int64_t timeout_ms);

/** Waits until each process, the gateway included, knows the addresses of all
 * control processes, and those of the gateway's region know the gateway's;
 * false, with what is missing on stderr, after timeout_ms. */
bool
ControlGroup_AwaitContacts(const ControlGroup_t *self, int64_t timeout_ms);

/** Waits until the gateway's record group has this many witnesses, all of
 * processes that run; false, with its view on stderr, after timeout_ms. */
bool
ControlGroup_AwaitWitnesses(const ControlGroup_t *self, uint32_t count,
                            int64_t timeout_ms);

/** Waits until the voters of each process are those that run; false, with the
 * dump of one that has others on stderr, after timeout_ms. */
bool
ControlGroup_AwaitVoters(const ControlGroup_t *self, int64_t timeout_ms);

/** Kills all processes and removes their folders. */
void
ControlGroup_End(ControlGroup_t *self);

#endif
