/** The operators' command-line tool, ebonyyardctl. */
#ifndef EY_OPERATORS_CTL_H
#define EY_OPERATORS_CTL_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyCtlExit {
    EY_CTL_DONE = 0,
    EY_CTL_CONFLICT = 1, /* another change was made first; nothing changed */
    EY_CTL_USAGE = 2,    /* invalid flags or arguments */
    EY_CTL_UNAVAILABLE = 3, /* no server reachable, or no quorum; nothing
                               changed */
    EY_CTL_UNKNOWN = 4,     /* the change may have been made or not */
    EY_CTL_REFUSED = 5      /* invalid value, not found or not allowed */
} EyCtlExit_t;

/** Runs the tool with the arguments of main; returns its exit code. */
EyCtlExit_t
EyCtl_Run(int argc, const char **argv, FILE *out, FILE *err);

#ifdef __cplusplus
}
#endif

#endif
