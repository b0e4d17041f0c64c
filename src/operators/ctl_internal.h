/** Internal to ebonyyardctl. */
#ifndef EY_OPERATORS_CTL_INTERNAL_H
#define EY_OPERATORS_CTL_INTERNAL_H

#include "operators/ctl.h"
#include "operators/ctl_client.h"

#include <jansson.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/** The values of the flags. */
typedef struct Flags {
    char *server;
    char *token_file;
    char *reason;
    char *author;
    char *change_id;
    long long version;
    int duration_s;
    int json;
    int markdown;
} Flags_t;

typedef struct Ctl {
    Flags_t flags;
    EyCtlClient_t client;
    const char **arguments; /* after the command's name and subcommand */
    int argument_count;
    FILE *out;
    FILE *err;
} Ctl_t;

/** Requests a path and returns its JSON; NULL, after printing an error, if it
 * fails. Sets *code. */
json_t *
EyCtl_Get(const Ctl_t *self, const char *path, EyCtlExit_t *code);

/** Sends an idempotent change, which may be repeated as it is; takes over
 * body. */
EyCtlExit_t
EyCtl_SendIdempotent(const Ctl_t *self, const char *method, const char *path,
                     json_t *body);

/* The commands for client accounts. */

EyCtlExit_t
EyCtl_RunAccountList(const Ctl_t *self);

EyCtlExit_t
EyCtl_RunAccountShow(const Ctl_t *self);

EyCtlExit_t
EyCtl_RunAccountSet(const Ctl_t *self);

EyCtlExit_t
EyCtl_RunAccountKey(const Ctl_t *self);

#ifdef __cplusplus
}
#endif

#endif
