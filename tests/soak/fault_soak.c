/* Plays one seeded soak with real processes; see docs/DEVELOPING.md. Ends with
 * 0 if no rule was broken, 1 if one was, 2 if the soak was not played. */
#include "core/random.h"
#include "soak/callers.h"
#include "soak/ledger.h"
#include "soak/rules.h"
#include "soak/soak_fleet.h"
#include "soak/soak_operator.h"
#include "soak/troubles.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_BROKEN 1
#define EXIT_NOT_PLAYED 2
#define STEP_MS 20
/** In one of so many seeds no process is disturbed, as rules with a time bound
 * hold only at gateways that are in touch. */
#define CALM_SEEDS 4
/** No trouble begins in the last seconds. */
#define CALM_END_MS 6000
#define CALLERS_DEFAULT 32

typedef struct Options {
    gint64 seed;
    gint seconds;
    gint callers;
    gchar *programs;
    gchar *logs;
    gchar *only;
    gchar *without;
} Options_t;

static SoakFleet_t Fleet;
static volatile sig_atomic_t IsStopped;

static void
on_signal(int number)
{
    (void)number;
    IsStopped = 1;
}

static void
end_all(void)
{
    SoakFleet_Stop(&Fleet);
}

static bool
read_options(int argc, char **argv, Options_t *options)
{
    const GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "0: a fresh one",
         "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &options->seconds, "Duration",
         "S"},
        {"callers", 0, 0, G_OPTION_ARG_INT, &options->callers, "At most 64",
         "N"},
        {"bin", 0, 0, G_OPTION_ARG_FILENAME, &options->programs,
         "Folder of the daemons", "DIR"},
        {"logs", 0, 0, G_OPTION_ARG_FILENAME, &options->logs,
         "Folder of their logs", "DIR"},
        {"only", 0, 0, G_OPTION_ARG_STRING, &options->only,
         "Troubles to play: freeze,kill,term,cut,control-kill,server",
         "NAMES"},
        {"without", 0, 0, G_OPTION_ARG_STRING, &options->without,
         "Troubles to leave out", "NAMES"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    g_option_context_add_main_entries(context, entries, NULL);
    bool is_read = g_option_context_parse(context, &argc, &argv, &error);
    if (!is_read) {
        (void)fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
    }
    g_option_context_free(context);
    return is_read;
}

static bool
play(const Options_t *options, Ledger_t *ledger)
{
    uint64_t seed = (uint64_t)options->seed;
    if (!SoakFleet_Start(&Fleet, seed, ledger)) {
        return false;
    }
    Callers_t *callers = Callers_Start(
        &Fleet.gateways, (uint32_t)options->callers, seed, ledger);
    SoakOperator_t *operator= SoakOperator_Start(&Fleet, seed, ledger);
    int64_t until_ms = Harness_NowMs() + options->seconds * (int64_t)1000;
    const char *only = options->only;
    if (only == NULL && seed % CALM_SEEDS == 0) {
        only = TroubleKind_names[TROUBLE_SERVER];
    }
    Troubles_t troubles = Troubles_Make(
        &Fleet, ledger, seed, only, options->without, until_ms - CALM_END_MS);
    while (!IsStopped &&
           (Harness_NowMs() < until_ms || Troubles_AreRunning(&troubles)))
    {
        Troubles_Step(&troubles);
        Harness_SleepMs(STEP_MS);
    }
    Troubles_End(&troubles);
    Callers_Stop(callers);
    SoakOperator_Stop(operator);
    Rules_Check(ledger, &Fleet, operator);
    SoakOperator_Free(operator);
    return true;
}

/** Plays the soak, prints what was broken and returns the exit code. */
static int
run(const Options_t *options)
{
    Ledger_t ledger;
    Ledger_Init(&ledger);
    bool is_played = play(options, &ledger);
    SoakFleet_Stop(&Fleet);
    bool is_kept = Ledger_Report(&ledger);
    Ledger_Clear(&ledger);
    if (!is_played) {
        return EXIT_NOT_PLAYED;
    }
    return is_kept ? EXIT_SUCCESS : EXIT_BROKEN;
}

static void
prepare(const Options_t *options)
{
    const char *programs =
        options->programs != NULL ? options->programs : EY_BINARY_DIR;
    const char *logs = options->logs != NULL ? options->logs : EY_BINARY_DIR;
    (void)printf("fault-soak --seed %" G_GINT64_FORMAT
                 " --seconds %d --callers %d --bin %s --logs %s\n",
                 options->seed, options->seconds, options->callers, programs,
                 logs);
    (void)fflush(stdout);
    (void)signal(SIGINT, on_signal);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGPIPE, SIG_IGN);
    (void)atexit(end_all);
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    Harness_SetFolders(programs, logs);
}

int
main(int argc, char **argv)
{
    Options_t options = {.seconds = 20, .callers = CALLERS_DEFAULT};
    if (!read_options(argc, argv, &options)) {
        return EXIT_NOT_PLAYED;
    }
    if (options.seed == 0) {
        options.seed = (gint64)(EyRandom_SystemSeed() % 1000000000) + 1;
    }
    prepare(&options);
    int code = run(&options);
    g_free(options.programs);
    g_free(options.logs);
    g_free(options.only);
    g_free(options.without);
    return code;
}
