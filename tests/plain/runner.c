#include "criterion/criterion.h"

#include <fnmatch.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define TESTS_MAX 1024
#define SUITES_MAX 64
#define NAME_SIZE_BYTES 160
/** Time limit of one test. */
#define TIMEOUT_DEFAULT_S 300

typedef struct Entry {
    char name[NAME_SIZE_BYTES]; /* suite::name */
    const char *suite;
    PlainTest_t test;
    PlainOptions_t options;
} Entry_t;

/** Command line options; Criterion's other flags are ignored. */
typedef struct Options {
    const char *filter; /* pattern for suite::name */
    const char *report; /* path of the report; NULL: none */
    unsigned int timeout_s;
} Options_t;

static Entry_t Entries[TESTS_MAX];
static int EntryCount;
static Entry_t Suites[SUITES_MAX];
static int SuiteCount;
static bool Failed; /* set in the test's child process */

void
plain_register(const char *suite, const char *name, PlainTest_t test,
               PlainOptions_t options)
{
    if (EntryCount == TESTS_MAX) {
        abort();
    }
    Entry_t *entry = &Entries[EntryCount++];
    *entry = (Entry_t){.suite = suite, .test = test, .options = options};
    (void)snprintf(entry->name, sizeof(entry->name), "%s::%s", suite, name);
}

void
plain_register_suite(const char *suite, PlainOptions_t options)
{
    if (SuiteCount == SUITES_MAX) {
        abort();
    }
    Suites[SuiteCount++] = (Entry_t){.suite = suite, .options = options};
}

void
plain_check(bool condition, bool is_fatal, const char *file, int line,
            const char *text, const char *format, ...)
{
    if (condition) {
        return;
    }
    (void)fprintf(stderr, "%s:%d: %s: ", file, line, text);
    va_list arguments;
    va_start(arguments, format);
    /* False positive: the check reports a va_list as uninitialized even after
     * va_start. */
    // NOLINTNEXTLINE(clang-analyzer-valist.Uninitialized)
    (void)vfprintf(stderr, format, arguments);
    va_end(arguments);
    (void)fputc('\n', stderr);
    Failed = true;
    if (is_fatal) {
        _exit(EXIT_FAILURE);
    }
}

/** The options of a test's suite. */
static PlainOptions_t
suite_options(const Entry_t *entry)
{
    for (int i = 0; i < SuiteCount; i++) {
        if (strcmp(Suites[i].suite, entry->suite) == 0) {
            return Suites[i].options;
        }
    }
    return (PlainOptions_t){.init = NULL};
}

static void
call_if_set(PlainTest_t function)
{
    if (function != NULL) {
        function();
    }
}

/** Runs a test with its fixtures in the calling process. */
static void
run_test(const Entry_t *entry)
{
    PlainOptions_t suite = suite_options(entry);
    call_if_set(suite.init);
    call_if_set(entry->options.init);
    entry->test();
    call_if_set(entry->options.fini);
    call_if_set(suite.fini);
}

/** Runs a test in a child process; false if it fails or times out. */
static bool
run_forked(const Entry_t *entry, const Options_t *options)
{
    (void)fflush(NULL);
    pid_t child = fork();
    if (child == 0) {
        (void)alarm(options->timeout_s);
        run_test(entry);
        exit(Failed ? EXIT_FAILURE : EXIT_SUCCESS);
    }
    int status = 0;
    return child > 0 && waitpid(child, &status, 0) == child &&
           WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS;
}

static Options_t
read_options(int argc, char **argv)
{
    static const char ReportFlag[] = "--tap=";
    Options_t options = {.filter = "*", .timeout_s = TIMEOUT_DEFAULT_S};
    for (int i = 1; i < argc; i++) {
        if (strncmp(argv[i], ReportFlag, sizeof(ReportFlag) - 1) == 0) {
            options.report = argv[i] + sizeof(ReportFlag) - 1;
        }
        else if (strcmp(argv[i], "--filter") == 0 && i + 1 < argc) {
            options.filter = argv[++i];
        }
        else if (strcmp(argv[i], "--timeout") == 0 && i + 1 < argc) {
            options.timeout_s = (unsigned int)strtoul(argv[++i], NULL, 10);
        }
    }
    return options;
}

int
main(int argc, char **argv)
{
    Options_t options = read_options(argc, argv);
    FILE *report = options.report != NULL ? fopen(options.report, "w") : NULL;
    int passed = 0;
    int failed = 0;
    for (int i = 0; i < EntryCount; i++) {
        if (fnmatch(options.filter, Entries[i].name, FNM_EXTMATCH) != 0) {
            continue;
        }
        bool ok = run_forked(&Entries[i], &options);
        passed += ok ? 1 : 0;
        failed += ok ? 0 : 1;
        (void)fprintf(stderr, "%s - %s\n", ok ? "ok" : "not ok",
                      Entries[i].name);
        if (report != NULL) {
            (void)fprintf(report, "%s - %s\n", ok ? "ok" : "not ok",
                          Entries[i].name);
        }
    }
    if (report != NULL) {
        (void)fclose(report);
    }
    (void)fprintf(stderr, "%d passed, %d failed\n", passed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
