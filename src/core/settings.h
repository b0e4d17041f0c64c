/**
 * Settings of a daemon, from flags and environment variables. A variable is
 * named EBONYYARD_ and the flag in capitals, with underscores; a flag takes
 * precedence over its variable. All settings are checked before anything
 * starts.
 */
#ifndef EY_CORE_SETTINGS_H
#define EY_CORE_SETTINGS_H

#include "core/error.h"
#include "core/log.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Errors in settings; the message names the flag and its value. */
typedef enum EySettingsError {
    EY_SETTINGS_ERROR_USAGE, /* an unknown flag or a flag without its value */
    EY_SETTINGS_ERROR_VALUE, /* a value that is invalid or missing */
    EY_SETTINGS_ERROR_HELP   /* no failure: --help was given and printed */
} EySettingsError_t;

EY_ERROR_DOMAIN(Settings);
#define EY_SETTINGS_ERROR EySettings_ErrorDomain()

/** Maximum number of addresses in --peers or --control. */
#define EY_SETTINGS_ADDRESSES_MAX 64

/** Maximum number of addresses in --listen. */
#define EY_SETTINGS_LISTEN_ADDRESSES_MAX 4
/** Maximum number of availability zones in --zones. */
#define EY_SETTINGS_ZONES_MAX 256

/** Exit code for invalid settings. */
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
    EyAddress_t listen; /* the first address in --listen */
    EyAddress_t extra_listen_addresses[EY_SETTINGS_LISTEN_ADDRESSES_MAX - 1];
    uint32_t extra_listen_count;
    EyAddress_t routed_listen; /* serves the route table; empty: none */
    EyAddress_t peer_listen;
    EyZone_t *zones; /* zones of the fleet, from --zones */
    uint32_t zone_count;
    EyName_t headers;        /* which table of header names is used */
    uint32_t stop_linger_ms; /* how long requests are accepted after SIGTERM */
    uint32_t stop_grace_ms;  /* time from SIGTERM to SIGKILL; 0: no limit */
    uint32_t backend_ttl_ms; /* default TTL of announcements */
    uint32_t retry_permille; /* retries of the fleet for 1000 requests */
    uint32_t retry_slack;    /* further ones in each window */
    uint32_t retry_window_ms;        /* window of the retry budget */
    uint32_t quota_window_s;         /* window of the accounts' quotas */
    uint32_t quota_overage_permille; /* of a quota, that may be exceeded */
    double quota_slack; /* units that may be sent in each window above that */
    uint32_t revoke_ms; /* see strict_revocation */
    bool strict_revocation;  /* refuse calls that need a key while the route
                              * table hasn't been confirmed for revoke_ms */
    bool may_found;          /* may bootstrap a new control cluster */
    bool takes_joiners;      /* control: accept members not in --control */
    uint32_t control_losses; /* control processes that may be lost at once */
    EyAddress_t peers[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t peer_count;
    EyAddress_t control[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t control_count;
    char *data_dir;            /* NULL: no persistent state */
    char *operator_token_file; /* NULL: operators need no token */
    char *peer_secret_file;    /* NULL: no encryption between instances */
    uint32_t memory_mib;       /* that the process may use */
    uint32_t capacity;         /* weight in the distribution of callers */
    EyLogLevel_t log_level;
    bool log_json;
    bool standalone;
    bool insecure_peers;
    bool check;
} EySettings_t;

/** The region of an availability zone; NULL if --zones doesn't name it. */
const char *
EySettings_RegionOf(const EySettings_t *self, const char *zone);

/** The HTTP address that other instances give to callers. */
const char *
EySettings_AdvertisedAddress(const EySettings_t *self);

/** Reads flags and environment variables; the result is a child of ctx. NULL
 * with EY_SETTINGS_ERROR on failure. */
EySettings_t *
EySettings_Read(const void *ctx, const char *program, int argc,
                const char **argv, GError **error);

/** True if text is IP:port, with an IPv6 address in brackets. */
bool
EyAddress_IsValid(const char *text);

/** True if it is valid and can be connected to: its port isn't 0. */
bool
EyAddress_IsConnectable(const char *text);

/** Splits IP:port, without brackets; false if text has another format. */
bool
EyAddress_Split(const char *text, char *ip, uint32_t ip_size_bytes,
                uint16_t *port);

#ifdef __cplusplus
}
#endif

#endif
