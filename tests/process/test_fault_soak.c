/* Two short soaks with real processes; see tests/soak. */
#include "process/harness.h"

#include <criterion/criterion.h>
#include <stdio.h>

TestSuite(fault_soak, .timeout = 120);

/** Plays a soak; seed "0": a fresh one, which the program prints. */
static void
check_soak(const char *seed)
{
    gchar *argv[] = {g_strdup(EY_BINARY_DIR "/fault-soak"),
                     g_strdup("--seed"),
                     g_strdup(seed),
                     g_strdup("--seconds"),
                     g_strdup("15"),
                     NULL};
    gchar *output = NULL;
    gint status = 0;
    cr_assert(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                           &output, NULL, &status, NULL));
    (void)fprintf(stderr, "%s", output);
    cr_expect(g_spawn_check_wait_status(status, NULL), "status %d:\n%s",
              status, output);
    g_free(output);
    for (gchar **arg = argv; *arg != NULL; arg++) {
        g_free(*arg);
    }
}

Test(fault_soak, a_fixed_seed_breaks_no_rule)
{
    check_soak("1");
}

Test(fault_soak, a_fresh_seed_breaks_no_rule)
{
    check_soak("0");
}
