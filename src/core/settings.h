/**
 * Settings of a daemon, from flags and environment variables (EBONYYARD_ and
 * the flag's name in capitals; a flag goes before its variable). They are
 * checked as a whole before anything starts.
 */
#ifndef EY_CORE_SETTINGS_H
#define EY_CORE_SETTINGS_H

#include "core/error.h"
#include "core/log.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EySettingsError {
    EY_SETTINGS_ERROR_USAGE, /* an unknown flag or a flag without its value */
    EY_SETTINGS_ERROR_VALUE, /* a bad or missing value; the message names it */
    EY_SETTINGS_ERROR_HELP   /* help was asked for and printed */
} EySettingsError_t;

EY_ERROR_DOMAIN(Settings);
#define EY_SETTINGS_ERROR EySettings_ErrorDomain()

/** Most addresses in --peers or --control. */
#define EY_SETTINGS_ADDRESSES_MAX 64

/** Exit code for bad settings. */
#define EY_EXIT_SETTINGS 2

typedef struct EySettings {
    EyName_t id;
    EyName_t region;
    EyName_t zone;
    EyAddress_t listen;
    EyAddress_t peer_listen;
    EyAddress_t peers[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t peer_count;
    EyAddress_t control[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t control_count;
    char *data_dir;            /* NULL: no disk */
    char *operator_token_file; /* NULL: operators need no token */
    char *peer_secret_file;    /* NULL: no encryption between instances */
    uint32_t capacity;         /* weight when callers are spread */
    EyLogLevel_t log_level;
    bool log_json;
    bool standalone;
    bool insecure_peers;
    bool check;
} EySettings_t;

/** Reads flags and environment; NULL with an error, EY_SETTINGS_ERROR. */
EySettings_t *
EySettings_Read(const void *ctx, const char *program, int argc,
                const char **argv, GError **error);

/** True if text is IP:port; IPv6 addresses stand in brackets. */
bool
EyAddress_IsValid(const char *text);

/** Splits IP:port; false if it isn't one. */
bool
EyAddress_Split(const char *text, char *ip, uint32_t ip_size_bytes,
                uint16_t *port);

#ifdef __cplusplus
}
#endif

#endif
