/**
 * The control processes that form the group of the replicated log, by peer
 * address, as of one of its indexes. Instances learn of it with the
 * configuration: the addresses in their settings may all be of processes that
 * were replaced since.
 */
#ifndef EY_CONFIG_CONTROL_SET_H
#define EY_CONFIG_CONTROL_SET_H

#include "config/raft_message.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyControlAddress {
    EyAddress_t address;
} EyControlAddress_t;

typedef struct EyControlSet {
    uint64_t index; /* of two sets the one with the higher index is newer; 0:
                     * none is known */
    EyControlAddress_t *items;
    uint32_t count; /* may be 0 in a message whose receiver has the set */
} EyControlSet_t;

extern const EySchema_t EyControlSet_schema;

/** The addresses of a member set, allocated below ctx. */
EyControlSet_t
EyControlSet_Make(const void *ctx, uint64_t index,
                  const EyRaftMembers_t *members);

/** Takes over a copy of a set, below ctx, if it is newer and has addresses;
 * returns true if so. */
bool
EyControlSet_Update(EyControlSet_t *self, const void *ctx,
                    const EyControlSet_t *newer);

/** True if the address is in the set. */
bool
EyControlSet_Has(const EyControlSet_t *self, const char *address);

#ifdef __cplusplus
}
#endif

#endif
