#include "discovery/entry_choice.h"

#include <stdbool.h>

uint32_t
EyEntryChoice_Groups(const EyEntryCounts_t *counts)
{
    const uint32_t *gateways = counts->gateways;
    if (gateways[EY_ENTRY_SERVING] == 0 && gateways[EY_ENTRY_LEAVING] > 0) {
        return 1U << EY_ENTRY_LEAVING | 1U << EY_ENTRY_ALLOWED;
    }
    bool is_lost =
        counts->silent > 0 || counts->absent_ms >= EY_ENTRY_LOST_AFTER_MS;
    uint32_t end = is_lost ? EY_ENTRY_GROUP_COUNT : EY_ENTRY_PARTLY_ALLOWED;
    for (uint32_t group = 0; group < end; group++) {
        if (gateways[group] > 0) {
            return 1U << group;
        }
    }
    return 0;
}
