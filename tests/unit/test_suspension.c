#include "callers/suspension.h"

#include <criterion/criterion.h>

Test(suspension, wake_before_suspend_is_not_lost)
{
    EySuspension_t suspension;
    EySuspension_Init(&suspension, NULL);
    EySuspension_Wake(&suspension);
    cr_assert_not(EySuspension_TrySuspend(&suspension));
    EySuspension_Wake(&suspension);
    EySuspension_Wake(&suspension);
    cr_assert_not(EySuspension_TrySuspend(&suspension));
    EySuspension_Clear(&suspension);
}

Test(suspension, closed_suspension_never_suspends)
{
    EySuspension_t suspension;
    EySuspension_Init(&suspension, NULL);
    cr_assert_not(EySuspension_IsClosed(&suspension));
    EySuspension_Close(&suspension);
    for (int i = 0; i < 3; i++) {
        cr_assert_not(EySuspension_TrySuspend(&suspension));
        cr_assert(EySuspension_IsClosed(&suspension));
    }
    EySuspension_Clear(&suspension);
}
