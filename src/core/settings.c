#include "core/settings.h"

#include "core/memory.h"

#include <arpa/inet.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>

EY_DEFINE_ERROR_DOMAIN(Settings, "ey-settings")

#define ENVIRONMENT_PREFIX "EBONYYARD_"
#define CAPACITY_MAX 1000000
#define STOP_LINGER_MAX_MS 600000
#define STOP_GRACE_MAX_S 3600
#define MEMORY_MIN_MIB 16
#define MEMORY_MAX_MIB 1048576
#define BACKEND_TTL_MAX_MS 60000
#define PER_MILLE 1000
#define RETRY_SLACK_MAX 1000000
/* A group has at most 16 members, of which a majority must remain. */
#define CONTROL_LOSSES_MAX 7
#define REVOKE_MAX_MS 3600000
#define RETRY_WINDOW_MAX_S 3600
#define QUOTA_WINDOW_MAX_S 3600
#define QUOTA_SLACK_MAX 1e12

typedef enum SettingId {
    SETTING_ID,
    SETTING_REGION,
    SETTING_ZONE,
    SETTING_LISTEN,
    SETTING_ROUTED_LISTEN,
    SETTING_PEER_LISTEN,
    SETTING_ZONES,
    SETTING_HEADERS,
    SETTING_PEERS,
    SETTING_CONTROL,
    SETTING_CONTROL_PORT, /* after CONTROL, as it replaces the ports there */
    SETTING_MAY_FOUND,
    SETTING_TAKES_JOINERS,
    SETTING_CONTROL_LOSSES,
    SETTING_STOP_LINGER,
    SETTING_STOP_GRACE,
    SETTING_BACKEND_TTL,
    SETTING_STRICT_REVOCATION,
    SETTING_REVOKE,
    SETTING_RETRY_RATIO,
    SETTING_RETRY_SLACK,
    SETTING_RETRY_WINDOW,
    SETTING_QUOTA_WINDOW,
    SETTING_QUOTA_OVERAGE,
    SETTING_QUOTA_SLACK,
    SETTING_DATA_DIR,
    SETTING_OPERATOR_TOKEN_FILE,
    SETTING_PEER_SECRET_FILE,
    SETTING_MEMORY,
    SETTING_CAPACITY,
    SETTING_LOG_LEVEL,
    SETTING_LOG_FORMAT,
    SETTING_STANDALONE,
    SETTING_INSECURE_PEERS,
    SETTING_CHECK,
    SETTING_COUNT
} SettingId_t;

typedef bool (*SettingParser_t)(EySettings_t *settings, const char *text);

typedef struct Setting {
    const char *flag;
    const char *help;
    const char *default_text; /* NULL: no default */
    const char *expected;
    bool required;
    bool is_switch;
    SettingParser_t read;
} Setting_t;

static bool
is_valid_name(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length >= EY_NAME_SIZE_BYTES) {
        return false;
    }
    return strspn(text, "abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == length;
}

static bool
read_id(EySettings_t *settings, const char *text)
{
    return is_valid_name(text) && EY_COPY(settings->id, text);
}

static bool
read_region(EySettings_t *settings, const char *text)
{
    return is_valid_name(text) && EY_COPY(settings->region, text);
}

static bool
read_zone(EySettings_t *settings, const char *text)
{
    return is_valid_name(text) && EY_COPY(settings->zone, text);
}

static bool
read_peer_listen(EySettings_t *settings, const char *text)
{
    return EyAddress_IsValid(text) && EY_COPY(settings->peer_listen, text);
}

static bool
read_addresses(const char *text, EyAddress_t *addresses, uint32_t *count)
{
    bool ok = true;
    gchar **parts = g_strsplit(text, ",", -1);
    for (gchar **part = parts; *part != NULL && ok; part++) {
        const char *address = g_strstrip(*part);
        if (*address == '\0') {
            continue;
        }
        ok = *count < EY_SETTINGS_ADDRESSES_MAX && EyAddress_IsValid(address);
        if (ok) {
            (void)EY_COPY(addresses[*count], address);
            (*count)++;
        }
    }
    g_strfreev(parts);
    return ok;
}

static bool
read_listen(EySettings_t *settings, const char *text)
{
    EyAddress_t addresses[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t count = 0;
    if (!read_addresses(text, addresses, &count) || count == 0 ||
        count > EY_SETTINGS_LISTEN_ADDRESSES_MAX)
    {
        return false;
    }
    (void)EY_COPY(settings->listen, addresses[0]);
    for (uint32_t i = 1; i < count; i++) {
        (void)EY_COPY(settings->extra_listen_addresses[i - 1], addresses[i]);
    }
    settings->extra_listen_count = count - 1;
    return true;
}

static bool
read_routed_listen(EySettings_t *settings, const char *text)
{
    return *text == '\0' ||
           (EyAddress_IsValid(text) && EY_COPY(settings->routed_listen, text));
}

/** Parses one ZONE=REGION pair; modifies pair. */
static bool
read_zone_region(EySettings_t *settings, char *pair)
{
    char *equals = strchr(pair, '=');
    if (equals == NULL || settings->zone_count == EY_SETTINGS_ZONES_MAX) {
        return false;
    }
    *equals = '\0';
    EyZone_t *zone = &settings->zones[settings->zone_count++];
    return is_valid_name(pair) && is_valid_name(equals + 1) &&
           EY_COPY(zone->zone, pair) && EY_COPY(zone->region, equals + 1);
}

static bool
read_zones(EySettings_t *settings, const char *text)
{
    settings->zones = EY_NEW_ARRAY(settings, EyZone_t, EY_SETTINGS_ZONES_MAX);
    bool ok = true;
    gchar **parts = g_strsplit(text, ",", -1);
    for (gchar **part = parts; *part != NULL && ok; part++) {
        char *pair = g_strstrip(*part);
        ok = *pair == '\0' || read_zone_region(settings, pair);
    }
    g_strfreev(parts);
    return ok;
}

static bool
read_headers(EySettings_t *settings, const char *text)
{
    return is_valid_name(text) && EY_COPY(settings->headers, text);
}

/** Parses a decimal integer from min to max. */
static bool
read_integer(const char *text, uint32_t min, uint32_t max, uint32_t *number)
{
    char *end = NULL;
    unsigned long value = strtoul(text, &end, 10);
    *number = (uint32_t)value;
    return g_ascii_isdigit(*text) && *end == '\0' && value >= min &&
           value <= max;
}

static bool
read_stop_linger(EySettings_t *settings, const char *text)
{
    return read_integer(text, 0, STOP_LINGER_MAX_MS,
                        &settings->stop_linger_ms);
}

static bool
read_stop_grace(EySettings_t *settings, const char *text)
{
    uint32_t grace_s = 0;
    bool is_valid = read_integer(text, 0, STOP_GRACE_MAX_S, &grace_s);
    settings->stop_grace_ms = grace_s * 1000;
    return is_valid;
}

static bool
read_backend_ttl(EySettings_t *settings, const char *text)
{
    return read_integer(text, 1, BACKEND_TTL_MAX_MS,
                        &settings->backend_ttl_ms);
}

/** Reads a ratio, such as 0.2, into per mille. */
static bool
read_ratio(const char *text, uint32_t *permille)
{
    gchar *end = NULL;
    double ratio = g_ascii_strtod(text, &end);
    bool is_valid = g_ascii_isdigit(*text) && *end == '\0' && ratio <= 1.0;
    *permille = is_valid ? (uint32_t)(ratio * PER_MILLE + 0.5) : 0;
    return is_valid;
}

static bool
read_retry_ratio(EySettings_t *settings, const char *text)
{
    return read_ratio(text, &settings->retry_permille);
}

static bool
read_quota_window(EySettings_t *settings, const char *text)
{
    return read_integer(text, 1, QUOTA_WINDOW_MAX_S,
                        &settings->quota_window_s);
}

static bool
read_quota_overage(EySettings_t *settings, const char *text)
{
    return read_ratio(text, &settings->quota_overage_permille);
}

static bool
read_quota_slack(EySettings_t *settings, const char *text)
{
    gchar *end = NULL;
    settings->quota_slack = g_ascii_strtod(text, &end);
    return g_ascii_isdigit(*text) && *end == '\0' &&
           settings->quota_slack <= QUOTA_SLACK_MAX;
}

static bool
read_retry_slack(EySettings_t *settings, const char *text)
{
    return read_integer(text, 0, RETRY_SLACK_MAX, &settings->retry_slack);
}

static bool
read_retry_window(EySettings_t *settings, const char *text)
{
    uint32_t window_s = 0;
    bool is_valid = read_integer(text, 1, RETRY_WINDOW_MAX_S, &window_s);
    settings->retry_window_ms = window_s * 1000;
    return is_valid;
}

static bool
read_bool(const char *text, bool *value)
{
    *value = strcmp(text, "1") == 0 || strcmp(text, "true") == 0;
    return *value || strcmp(text, "0") == 0 || strcmp(text, "false") == 0;
}

static bool
read_strict_revocation(EySettings_t *settings, const char *text)
{
    return read_bool(text, &settings->strict_revocation);
}

static bool
read_revoke(EySettings_t *settings, const char *text)
{
    return read_integer(text, 1, REVOKE_MAX_MS, &settings->revoke_ms);
}

static bool
read_may_found(EySettings_t *settings, const char *text)
{
    return read_bool(text, &settings->may_found);
}

static bool
read_takes_joiners(EySettings_t *settings, const char *text)
{
    return read_bool(text, &settings->takes_joiners);
}

static bool
read_control_losses(EySettings_t *settings, const char *text)
{
    return read_integer(text, 0, CONTROL_LOSSES_MAX,
                        &settings->control_losses);
}

static bool
read_peers(EySettings_t *settings, const char *text)
{
    return read_addresses(text, settings->peers, &settings->peer_count);
}

static bool
read_control(EySettings_t *settings, const char *text)
{
    return read_addresses(text, settings->control, &settings->control_count);
}

/** Replaces the port of an IP:port address. */
static void
set_port(EyAddress_t address, const char *port)
{
    char *colon = strrchr(address, ':');
    *colon = '\0';
    gchar *whole = g_strconcat(address, ":", port, NULL);
    (void)EyText_Copy(address, EY_ADDRESS_SIZE_BYTES, whole);
    g_free(whole);
}

static bool
read_control_port(EySettings_t *settings, const char *text)
{
    uint32_t port = 0;
    if (!read_integer(text, 1, UINT16_MAX, &port)) {
        return false;
    }
    for (uint32_t i = 0; i < settings->control_count; i++) {
        set_port(settings->control[i], text);
    }
    return true;
}

static bool
read_data_dir(EySettings_t *settings, const char *text)
{
    settings->data_dir = EyMemory_Strdup(settings, text);
    return g_file_test(text, G_FILE_TEST_IS_DIR);
}

static bool
read_operator_token_file(EySettings_t *settings, const char *text)
{
    settings->operator_token_file = EyMemory_Strdup(settings, text);
    return g_file_test(text, G_FILE_TEST_IS_REGULAR);
}

static bool
read_peer_secret_file(EySettings_t *settings, const char *text)
{
    settings->peer_secret_file = EyMemory_Strdup(settings, text);
    return g_file_test(text, G_FILE_TEST_IS_REGULAR);
}

/** A platform may give a fraction, which is left out. */
static bool
read_memory(EySettings_t *settings, const char *text)
{
    char *end = NULL;
    double memory_mib = g_ascii_strtod(text, &end);
    bool is_valid = g_ascii_isdigit(*text) && *end == '\0' &&
                    memory_mib >= MEMORY_MIN_MIB &&
                    memory_mib <= MEMORY_MAX_MIB;
    settings->memory_mib = is_valid ? (uint32_t)memory_mib : 0;
    return is_valid;
}

static bool
read_capacity(EySettings_t *settings, const char *text)
{
    return read_integer(text, 1, CAPACITY_MAX, &settings->capacity);
}

static bool
read_log_level(EySettings_t *settings, const char *text)
{
    for (int level = 0; level < EY_LOG_LEVEL_COUNT; level++) {
        if (strcmp(text, EyLog_level_names[level]) == 0) {
            settings->log_level = (EyLogLevel_t)level;
            return true;
        }
    }
    return false;
}

static bool
read_log_format(EySettings_t *settings, const char *text)
{
    settings->log_json = strcmp(text, "json") == 0;
    return settings->log_json || strcmp(text, "text") == 0;
}

static bool
read_standalone(EySettings_t *settings, const char *text)
{
    settings->standalone = strcmp(text, "1") == 0;
    return settings->standalone || strcmp(text, "0") == 0;
}

static bool
read_insecure_peers(EySettings_t *settings, const char *text)
{
    settings->insecure_peers = strcmp(text, "1") == 0;
    return settings->insecure_peers || strcmp(text, "0") == 0;
}

static bool
read_check(EySettings_t *settings, const char *text)
{
    settings->check = strcmp(text, "1") == 0;
    return settings->check || strcmp(text, "0") == 0;
}

#define NAME_EXPECTED "1 to 63 letters, digits, dots, dashes or underscores"
#define ADDRESS_EXPECTED "IP:port, such as 127.0.0.1:8080"
#define ADDRESSES_EXPECTED                                                    \
    "a comma-separated list of at most 64 IP:port, such as "                  \
    "10.0.0.1:7000,10.0.0.2:7000"

static const Setting_t Settings[SETTING_COUNT] = {
    [SETTING_ID] = {.flag = "id",
                    .help = "name of this instance, unique in the fleet",
                    .expected = NAME_EXPECTED,
                    .required = true,
                    .read = read_id},
    [SETTING_REGION] = {.flag = "region",
                        .help = "region of this instance",
                        .expected = NAME_EXPECTED,
                        .required = true,
                        .read = read_region},
    [SETTING_ZONE] = {.flag = "zone",
                      .help = "availability zone of this instance",
                      .expected = NAME_EXPECTED,
                      .required = true,
                      .read = read_zone},
    [SETTING_LISTEN] = {.flag = "listen",
                        .help = "addresses for HTTP, at most 4",
                        .expected =
                            "a comma-separated list of at most 4 IP:port",
                        .required = true,
                        .read = read_listen},
    [SETTING_ROUTED_LISTEN] = {.flag = "routed-listen",
                               .help = "address for requests that follow the "
                                       "configured routes, IP:port",
                               .default_text = "",
                               .expected = ADDRESS_EXPECTED,
                               .read = read_routed_listen},
    [SETTING_ZONES] = {.flag = "zones",
                       .help = "the fleet's availability zones as "
                               "ZONE=REGION",
                       .default_text = "",
                       .expected = "a comma-separated list of ZONE=REGION",
                       .read = read_zones},
    [SETTING_HEADERS] = {.flag = "headers",
                         .help = "table of header names used with callers and "
                                 "backend servers",
                         .default_text = "native",
                         .expected = "native or platform",
                         .read = read_headers},
    [SETTING_CONTROL_PORT] = {.flag = "control-port",
                              .help = "port that replaces those in --control",
                              .expected = "a port from 1 to 65535",
                              .read = read_control_port},
    [SETTING_MAY_FOUND] = {.flag = "may-found",
                           .help = "control: with an empty data folder, "
                                   "bootstrap a new cluster with the others "
                                   "in --control; 0: only join an existing "
                                   "one",
                           .default_text = "1",
                           .expected = "0 or 1",
                           .read = read_may_found},
    [SETTING_TAKES_JOINERS] = {.flag = "takes-joiners",
                               .help = "control: accept members that "
                                       "--control doesn't list",
                               .default_text = "0",
                               .expected = "0 or 1",
                               .read = read_takes_joiners},
    [SETTING_CONTROL_LOSSES] =
        {.flag = "control-losses",
         .help = "control: processes that may be lost at once, with their "
                 "disks; with --takes-joiners one that is gone is removed if "
                 "twice as many and one remain",
         .default_text = "2",
         .expected = "a whole number from 0 to 7",
         .read = read_control_losses},
    [SETTING_STOP_LINGER] = {.flag = "stop-linger-ms",
                             .help = "how long requests are accepted after "
                                     "SIGTERM, while callers move to other "
                                     "instances",
                             .default_text = "0",
                             .expected = "0 to 600000 milliseconds",
                             .read = read_stop_linger},
    [SETTING_STOP_GRACE] = {.flag = "stop-grace-s",
                            .help = "time from SIGTERM until the process is "
                                    "killed: what is in flight then is "
                                    "answered before; 0: it isn't killed",
                            .default_text = "0",
                            .expected = "0 to 3600 seconds",
                            .read = read_stop_grace},
    [SETTING_BACKEND_TTL] = {.flag = "backend-ttl-ms",
                             .help = "validity of an announcement that "
                                     "doesn't state one",
                             .default_text = "3000",
                             .expected = "1 to 60000 milliseconds",
                             .read = read_backend_ttl},
    [SETTING_RETRY_RATIO] = {.flag = "retry-ratio",
                             .help = "retries that the fleet may make for "
                                     "each request",
                             .default_text = "0.1",
                             .expected = "a number from 0 to 1",
                             .read = read_retry_ratio},
    [SETTING_RETRY_SLACK] = {.flag = "retry-slack",
                             .help = "further retries that the fleet may make "
                                     "in each window",
                             .default_text = "40",
                             .expected = "a whole number from 0 to 1000000",
                             .read = read_retry_slack},
    [SETTING_RETRY_WINDOW] = {.flag = "retry-window-s",
                              .help = "window of --retry-slack in seconds",
                              .default_text = "10",
                              .expected = "1 to 3600 seconds",
                              .read = read_retry_window},
    [SETTING_QUOTA_WINDOW] = {.flag = "quota-window-s",
                              .help = "window in seconds in which accounts "
                                      "keep to their quotas",
                              .default_text = "8",
                              .expected = "1 to 3600 seconds",
                              .read = read_quota_window},
    [SETTING_QUOTA_OVERAGE] = {.flag = "quota-overage",
                               .help = "part of a quota by which the fleet "
                                       "may exceed it in a window",
                               .default_text = "0.1",
                               .expected = "a number from 0 to 1",
                               .read = read_quota_overage},
    [SETTING_QUOTA_SLACK] = {.flag = "quota-slack",
                             .help = "further units, requests or tokens, that "
                                     "the fleet may send in a window",
                             .default_text = "140000",
                             .expected = "a number from 0 to 1e12",
                             .read = read_quota_slack},
    [SETTING_STRICT_REVOCATION] =
        {.flag = "strict-revocation",
         .help = "gateway: refuse calls that need a key while the route table "
                 "hasn't been confirmed for --revoke-ms",
         .default_text = "0",
         .expected = "0 or 1",
         .is_switch = true,
         .read = read_strict_revocation},
    [SETTING_REVOKE] = {.flag = "revoke-ms",
                        .help = "with --strict-revocation: longest time "
                                "without a confirmation",
                        .default_text = "5000",
                        .expected = "1 to 3600000 milliseconds",
                        .read = read_revoke},
    [SETTING_PEER_LISTEN] = {.flag = "peer-listen",
                             .help = "address for other instances, IP:port",
                             .expected = ADDRESS_EXPECTED,
                             .required = true,
                             .read = read_peer_listen},
    [SETTING_PEERS] = {.flag = "peers",
                       .help = "gateways to contact first to join the fleet",
                       .default_text = "",
                       .expected = ADDRESSES_EXPECTED,
                       .read = read_peers},
    [SETTING_CONTROL] = {.flag = "control",
                         .help = "peer addresses of the control processes",
                         .default_text = "",
                         .expected = ADDRESSES_EXPECTED,
                         .read = read_control},
    [SETTING_DATA_DIR] = {.flag = "data-dir",
                          .help = "folder for persistent state",
                          .expected = "a folder that exists",
                          .read = read_data_dir},
    [SETTING_OPERATOR_TOKEN_FILE] = {.flag = "operator-token-file",
                                     .help = "file with the operators' token",
                                     .expected = "a file that exists",
                                     .read = read_operator_token_file},
    [SETTING_PEER_SECRET_FILE] = {.flag = "peer-secret-file",
                                  .help = "file with the fleet's secret, from "
                                          "which peer keys are derived",
                                  .expected = "a file that exists",
                                  .read = read_peer_secret_file},
    [SETTING_MEMORY] = {.flag = "memory-mib",
                        .help = "memory that the process may use; a fifth of "
                                "it is for bodies of requests, a fifth for "
                                "what is buffered of answers",
                        .default_text = "256",
                        .expected = "16 to 1048576 MiB",
                        .read = read_memory},
    [SETTING_CAPACITY] = {.flag = "capacity",
                          .help = "weight of this instance in the "
                                  "distribution of callers",
                          .default_text = "100",
                          .expected = "a whole number from 1 to 1000000",
                          .read = read_capacity},
    [SETTING_LOG_LEVEL] = {.flag = "log-level",
                           .help = "error, warning, info or debug",
                           .default_text = "info",
                           .expected = "error, warning, info or debug",
                           .read = read_log_level},
    [SETTING_LOG_FORMAT] = {.flag = "log-format",
                            .help = "text or json",
                            .default_text = "text",
                            .expected = "text or json",
                            .read = read_log_format},
    [SETTING_STANDALONE] = {.flag = "standalone",
                            .help = "run the control part in this process",
                            .default_text = "0",
                            .expected = "0 or 1",
                            .is_switch = true,
                            .read = read_standalone},
    [SETTING_INSECURE_PEERS] = {.flag = "insecure-peers",
                                .help = "allow unencrypted peers beyond "
                                        "loopback",
                                .default_text = "0",
                                .expected = "0 or 1",
                                .is_switch = true,
                                .read = read_insecure_peers},
    [SETTING_CHECK] = {.flag = "check",
                       .help = "check the settings and exit",
                       .default_text = "0",
                       .expected = "0 or 1",
                       .is_switch = true,
                       .read = read_check},
};

const char *
EySettings_RegionOf(const EySettings_t *self, const char *zone)
{
    if (strcmp(zone, self->zone) == 0) {
        return self->region;
    }
    for (uint32_t i = 0; i < self->zone_count; i++) {
        if (strcmp(self->zones[i].zone, zone) == 0) {
            return self->zones[i].region;
        }
    }
    return NULL;
}

const char *
EySettings_AdvertisedAddress(const EySettings_t *self)
{
    return self->routed_listen[0] != '\0' ? self->routed_listen : self->listen;
}

bool
EyAddress_Split(const char *text, char *ip, uint32_t ip_size_bytes,
                uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL || !g_ascii_isdigit(colon[1])) {
        return false;
    }
    char *end = NULL;
    unsigned long number = strtoul(colon + 1, &end, 10);
    if (*end != '\0' || number > UINT16_MAX) {
        return false;
    }
    size_t length = (size_t)(colon - text);
    bool brackets = length > 2 && text[0] == '[' && text[length - 1] == ']';
    if (brackets) {
        text++;
        length -= 2;
    }
    if (length >= ip_size_bytes) {
        return false;
    }
    memcpy(ip, text, length);
    ip[length] = '\0';
    *port = (uint16_t)number;
    struct in6_addr parsed;
    return inet_pton(brackets ? AF_INET6 : AF_INET, ip, &parsed) == 1;
}

/** Reads the port of an address; false if it isn't valid. */
static bool
read_port(const char *text, uint16_t *port)
{
    EyAddress_t ip;
    return strlen(text) < sizeof(ip) &&
           EyAddress_Split(text, ip, sizeof(ip), port);
}

bool
EyAddress_IsValid(const char *text)
{
    uint16_t port = 0;
    return read_port(text, &port);
}

bool
EyAddress_IsConnectable(const char *text)
{
    uint16_t port = 0;
    return read_port(text, &port) && port != 0;
}

/** Sets values[] from flags; the caller frees the strings with free(). */
static bool
read_flags(const char *program, int argc, const char **argv, char **values,
           GError **error)
{
    struct poptOption options[SETTING_COUNT + 2] = {0};
    for (int i = 0; i < SETTING_COUNT; i++) {
        const Setting_t *setting = &Settings[i];
        options[i] = (struct poptOption){
            .longName = setting->flag,
            .argInfo = setting->is_switch ? POPT_ARG_NONE : POPT_ARG_STRING,
            .arg = setting->is_switch ? NULL : &values[i],
            .val = setting->is_switch ? i + 1 : 0,
            .descrip = setting->help,
        };
    }
    options[SETTING_COUNT] = (struct poptOption){.longName = "help",
                                                 .shortName = 'h',
                                                 .val = SETTING_COUNT + 1,
                                                 .descrip = "print this help"};
    poptContext context = poptGetContext(program, argc, argv, options, 0);
    int result = 0;
    bool ok = true;
    while (ok && (result = poptGetNextOpt(context)) > 0) {
        if (result == SETTING_COUNT + 1) {
            poptPrintHelp(context, stdout, 0);
            g_set_error(error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_HELP,
                        "help was requested");
            ok = false;
        }
        else if (values[result - 1] == NULL) {
            values[result - 1] = strdup("1");
        }
    }
    if (ok && result < -1) {
        g_set_error(error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_USAGE,
                    "%s: %s", poptBadOption(context, 0), poptStrerror(result));
        ok = false;
    }
    const char *unexpected = ok ? poptGetArg(context) : NULL;
    if (unexpected != NULL) {
        g_set_error(error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_USAGE,
                    "%s: unexpected argument, expected only flags",
                    unexpected);
        ok = false;
    }
    (void)poptFreeContext(context);
    return ok;
}

static const char *
environment_value(const Setting_t *setting)
{
    gchar *upper = g_ascii_strup(setting->flag, -1);
    gchar *name =
        g_strconcat(ENVIRONMENT_PREFIX, g_strdelimit(upper, "-", '_'), NULL);
    const char *value = getenv(name);
    g_free(name);
    g_free(upper);
    return value;
}

static bool
apply_setting(EySettings_t *settings, const Setting_t *setting,
              const char *flag_text, GError **error)
{
    const char *text = flag_text;
    if (text == NULL) {
        text = environment_value(setting);
    }
    if (text == NULL) {
        text = setting->default_text;
    }
    if (text == NULL && !setting->required) {
        return true;
    }
    if (text == NULL) {
        g_set_error(error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_VALUE,
                    "--%s is missing: expected %s", setting->flag,
                    setting->expected);
        return false;
    }
    if (!setting->read(settings, text)) {
        g_set_error(error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_VALUE,
                    "--%s \"%s\": expected %s", setting->flag, text,
                    setting->expected);
        return false;
    }
    return true;
}

EySettings_t *
EySettings_Read(const void *ctx, const char *program, int argc,
                const char **argv, GError **error)
{
    EySettings_t *settings = EY_NEW(ctx, EySettings_t);
    char *values[SETTING_COUNT] = {0};
    bool ok = read_flags(program, argc, argv, values, error);
    for (int i = 0; i < SETTING_COUNT && ok; i++) {
        ok = apply_setting(settings, &Settings[i], values[i], error);
    }
    for (int i = 0; i < SETTING_COUNT; i++) {
        free(values[i]);
    }
    if (!ok) {
        talloc_free(settings);
        return NULL;
    }
    return settings;
}
