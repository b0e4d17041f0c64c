#include "core/memory.h"
#include "core/settings.h"
#include "load/load_run.h"

#include <curl/curl.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LENGTH_MAX_S 3600.0

/** The flags as given on the command line. */
typedef struct Flags {
    char *workload;
    char **gateways; /* each REGION=IP:port,... */
    char *replicas;
    char *json;
    double length_s;
    double factor;
    int64_t seed;
} Flags_t;

static bool
add_gateways(EyLoadOptions_t *options, const char *text)
{
    const char *equals = strchr(text, '=');
    if (equals == NULL) {
        return false;
    }
    char *region = g_strndup(text, (gsize)(equals - text));
    char **addresses = g_strsplit(equals + 1, ",", -1);
    bool is_valid = true;
    for (char **each = addresses; *each != NULL && is_valid; each++) {
        is_valid = options->gateway_count < EY_LOAD_GATEWAYS_MAX &&
                   EyAddress_IsValid(*each);
        if (is_valid) {
            EyLoadGateway_t *to = &options->gateways[options->gateway_count++];
            (void)EY_COPY(to->region, region);
            (void)EY_COPY(to->address, *each);
        }
    }
    g_strfreev(addresses);
    g_free(region);
    return is_valid;
}

static bool
add_replicas(EyLoadOptions_t *options, const char *text)
{
    char **addresses = g_strsplit(text, ",", -1);
    bool is_valid = true;
    for (char **each = addresses; *each != NULL && is_valid; each++) {
        is_valid = options->replica_count < EY_LOAD_REPLICAS_MAX &&
                   EyAddress_IsValid(*each);
        if (is_valid) {
            (void)EY_COPY(options->replicas[options->replica_count], *each);
            options->replica_count++;
        }
    }
    g_strfreev(addresses);
    return is_valid;
}

static bool
read_flags(Flags_t *flags, int argc, const char **argv)
{
    struct poptOption table[] = {
        {"workload", 0, POPT_ARG_STRING, &flags->workload, 0,
         "workload file, as in tools/workloads", "FILE"},
        {"gateways", 0, POPT_ARG_ARGV, &flags->gateways, 0,
         "gateways that callers of a region use; once per region",
         "REGION=IP:port,..."},
        {"replicas", 0, POPT_ARG_STRING, &flags->replicas, 0,
         "fake backend servers whose busy time is read", "IP:port,..."},
        {"seconds", 0, POPT_ARG_DOUBLE, &flags->length_s, 0,
         "time in which requests arrive", "S"},
        {"factor", 0, POPT_ARG_DOUBLE, &flags->factor, 0,
         "multiplies all rates of the workload", "F"},
        {"seed", 0, POPT_ARG_LONGLONG, &flags->seed, 0,
         "seed of the arrivals; the same seed gives the same ones", "N"},
        {"json", 0, POPT_ARG_STRING, &flags->json, 0,
         "file to which the report is written as JSON", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext("ebonyyard-load", argc, argv, table, 0);
    int code = poptGetNextOpt(context);
    if (code < -1) {
        (void)fprintf(stderr, "ebonyyard-load: %s: %s\n",
                      poptBadOption(context, 0), poptStrerror(code));
    }
    poptFreeContext(context);
    return code >= -1;
}

/* Converts flags to options; false, after printing a message, if a flag is
 * missing or invalid. */
static bool
make_options(const Flags_t *flags, EyLoadOptions_t *options)
{
    const char *invalid_flag = NULL;
    for (char **each = flags->gateways; each != NULL && *each != NULL; each++)
    {
        invalid_flag =
            add_gateways(options, *each) ? invalid_flag : "--gateways";
    }
    if (flags->replicas != NULL && !add_replicas(options, flags->replicas)) {
        invalid_flag = "--replicas";
    }
    if (options->gateway_count == 0) {
        invalid_flag = "--gateways";
    }
    if (!(flags->length_s > 0.0 && flags->length_s <= LENGTH_MAX_S)) {
        invalid_flag = "--seconds";
    }
    if (!(flags->factor > 0.0)) {
        invalid_flag = "--factor";
    }
    if (invalid_flag != NULL) {
        (void)fprintf(stderr, "ebonyyard-load: %s: missing or invalid value\n",
                      invalid_flag);
    }
    options->length_s = flags->length_s;
    options->rate_factor = flags->factor;
    options->seed = (uint64_t)flags->seed;
    return invalid_flag == NULL;
}

static void
write_report(const Flags_t *flags, EyLoadRunReport_t *report)
{
    GString *text = g_string_new(NULL);
    uint64_t seed = (uint64_t)flags->seed;
    EyLoadRunReport_Text(report, flags->length_s, seed, text);
    (void)fputs(text->str, stdout);
    g_string_free(text, TRUE);
    if (flags->json != NULL) {
        json_t *json = EyLoadRunReport_Json(report, flags->length_s, seed);
        if (json_dump_file(json, flags->json, JSON_INDENT(2)) != 0) {
            (void)fprintf(stderr, "ebonyyard-load: can't write %s\n",
                          flags->json);
        }
        json_decref(json);
    }
}

static void
free_flags(Flags_t *flags)
{
    for (char **each = flags->gateways; each != NULL && *each != NULL; each++)
    {
        free(*each);
    }
    free(flags->gateways);
    free(flags->workload);
    free(flags->replicas);
    free(flags->json);
}

/* Runs the workload and writes the report; returns the exit code. */
static int
run(const Flags_t *flags, EyLoadOptions_t *options)
{
    void *ctx = talloc_new(NULL);
    GError *error = NULL;
    EyLoadRunReport_t *report = NULL;
    int code = EY_EXIT_SETTINGS;
    options->workload = EyWorkload_Read(
        ctx, flags->workload != NULL ? flags->workload : "", &error);
    if (options->workload != NULL) {
        report = EyLoadRun_Run(ctx, options, &error);
    }
    if (report != NULL) {
        write_report(flags, report);
        code = 0;
    }
    else {
        bool is_usage =
            !g_error_matches(error, EY_LOAD_ERROR, EY_LOAD_ERROR_CLIENT);
        code = is_usage ? EY_EXIT_SETTINGS : EXIT_FAILURE;
        (void)fprintf(stderr, "ebonyyard-load: %s\n", error->message);
        g_clear_error(&error);
    }
    talloc_free(ctx);
    return code;
}

int
main(int argc, const char **argv)
{
    Flags_t flags = {.length_s = 10.0, .factor = 1.0, .seed = 1};
    EyLoadOptions_t options = {.gateway_count = 0};
    int code = EY_EXIT_SETTINGS;
    if (read_flags(&flags, argc, argv) && make_options(&flags, &options)) {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        code = run(&flags, &options);
        curl_global_cleanup();
    }
    free_flags(&flags);
    return code;
}
