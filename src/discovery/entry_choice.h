/**
 * Which gateways a caller is told to use when it asks for entry instances of
 * its own region: a decision by what there is, without I/O.
 */
#ifndef EY_DISCOVERY_ENTRY_CHOICE_H
#define EY_DISCOVERY_ENTRY_CHOICE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Groups of gateways, from the best on. */
typedef enum EyEntryGroup {
    EY_ENTRY_SERVING, /* of the region, serving */
    EY_ENTRY_LEAVING, /* of the region, in a graceful shutdown: they take
                         connections for a while */
    EY_ENTRY_ALLOWED, /* of other regions, where the data of all routes of the
                         host may be */
    EY_ENTRY_PARTLY_ALLOWED, /* where the data of one of its routes may be */
    EY_ENTRY_GROUP_COUNT
} EyEntryGroup_t;

/** After this time without a gateway a region counts as lost; until then they
 * restart, or aren't known yet. */
#define EY_ENTRY_LOST_AFTER_MS 5000

/** What is known of the gateways. */
typedef struct EyEntryCounts {
    uint32_t gateways[EY_ENTRY_GROUP_COUNT]; /* in each group */
    uint32_t silent;   /* of the region, that haven't left but don't answer */
    int64_t absent_ms; /* time for which the region has had neither a serving
                          nor a leaving one */
} EyEntryCounts_t;

/**
 * Returns the groups to name, as a mask of 1 << EyEntryGroup_t. While gateways
 * of the region leave, others are about to take their place, so callers aren't
 * sent where the data of their requests may not be; the same holds until the
 * region counts as lost. A gateway of another
 * region in no group isn't named: none of the host's data may be there.
 */
uint32_t
EyEntryChoice_Groups(const EyEntryCounts_t *counts);

#ifdef __cplusplus
}
#endif

#endif
