/** The operators' command line, ebonyyardctl. */
#ifndef EY_OPERATORS_CTL_H
#define EY_OPERATORS_CTL_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyCtlExit {
    EY_CTL_DONE = 0,
    EY_CTL_CONFLICT = 1,    /* another change came first; nothing changed */
    EY_CTL_USAGE = 2,       /* wrong flags or arguments */
    EY_CTL_UNAVAILABLE = 3, /* no server, or no quorum; nothing changed */
    EY_CTL_UNKNOWN = 4,     /* the change may have been made or not */
    EY_CTL_REFUSED = 5      /* bad value, no such thing, or not allowed */
} EyCtlExit_t;

/** Runs the command line. */
EyCtlExit_t
EyCtl_Run(int argc, const char **argv, FILE *out, FILE *err);

#ifdef __cplusplus
}
#endif

#endif
