/* Which gateways callers of a region are told to use. */
#include "discovery/entry_choice.h"

#include <criterion/criterion.h>

#define GROUP(name) (1U << EY_ENTRY_##name)
#define LOST EY_ENTRY_LOST_AFTER_MS

typedef struct ChoiceCase {
    const char *label;
    EyEntryCounts_t counts;
    uint32_t groups;
} ChoiceCase_t;

static const ChoiceCase_t Cases[] = {
    {"a calm day", {{2, 0, 3, 3}, 0, 0}, GROUP(SERVING)},
    {"one of two leaves", {{1, 1, 3, 3}, 0, 0}, GROUP(SERVING)},
    /* All gateways of the region in one rolling stop (incident 8). */
    {"all leave, data bound",
     {{0, 2, 0, 3}, 0, 0},
     GROUP(LEAVING) | GROUP(ALLOWED)},
    {"all leave, data not bound",
     {{0, 2, 3, 3}, 0, 0},
     GROUP(LEAVING) | GROUP(ALLOWED)},
    {"all have gone, a region for all data",
     {{0, 0, 3, 3}, 0, 0},
     GROUP(ALLOWED)},
    {"all have gone for good, regions for some data",
     {{0, 0, 0, 3}, 0, LOST},
     GROUP(PARTLY_ALLOWED)},
    {"all are silent, regions for some data",
     {{0, 0, 0, 3}, 2, 0},
     GROUP(PARTLY_ALLOWED)},
    {"none heard of yet, or all restart", {{0, 0, 0, 3}, 0, LOST - 1}, 0},
    {"all restart, a region for all data",
     {{0, 0, 3, 3}, 0, LOST - 1},
     GROUP(ALLOWED)},
    {"all have gone, data bound here; or nobody is known",
     {{0, 0, 0, 0}, 0, 0},
     0},
};

Test(entry_choice, bound_data_stays_while_gateways_leave)
{
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        cr_expect_eq(EyEntryChoice_Groups(&Cases[i].counts), Cases[i].groups,
                     "%s", Cases[i].label);
    }
}
