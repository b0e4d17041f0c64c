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

/** Most addresses in --listen. */
#define EY_SETTINGS_LISTENS_MAX 4
/** Most availability zones in --zones. */
#define EY_SETTINGS_ZONES_MAX 256

/** Exit code for bad settings. */
#define EY_EXIT_SETTINGS 2

/** An availability zone and the region that it is in. */
typedef struct EyZone {
    EyName_t zone;
    EyName_t region;
} EyZone_t;

typedef struct EySettings {
    EyName_t id;
    EyName_t region;
    EyName_t zone;
    EyAddress_t listen; /* the first of --listen */
    EyAddress_t more_listens[EY_SETTINGS_LISTENS_MAX - 1];
    uint32_t more_listen_count;
    EyAddress_t routed_listen; /* for calls by host and path; empty: none */
    EyAddress_t peer_listen;
    EyZone_t *zones; /* of the fleet, as far as the settings name them */
    uint32_t zone_count;
    EyName_t headers;        /* name of the table of header names */
    uint32_t stop_linger_ms; /* service goes on so long after SIGTERM */
    uint32_t backend_ttl_ms; /* of announcements that name none */
    bool may_found;          /* may start a new control cluster */
    bool takes_joiners;      /* control: also ones not in --control */
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

/** The region of an availability zone; NULL if --zones doesn't name it. */
const char *
EySettings_RegionOf(const EySettings_t *self, const char *zone);

/** The address that callers are to use. */
const char *
EySettings_AdvertisedAddress(const EySettings_t *self);

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
