#include "discovery/entry_choice.h"

uint32_t
EyEntryChoice_Groups(const EyEntryCounts_t *counts)
{
    const uint32_t *gateways = counts->gateways;
    if (gateways[EY_ENTRY_SERVING] == 0 && gateways[EY_ENTRY_LEAVING] > 0) {
        return 1U << EY_ENTRY_LEAVING | 1U << EY_ENTRY_ALLOWED;
    }
    for (uint32_t group = 0; group < EY_ENTRY_GROUP_COUNT; group++) {
        if (gateways[group] > 0) {
            return 1U << group;
        }
    }
    return 0;
}
