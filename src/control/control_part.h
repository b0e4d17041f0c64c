/**
 * The control part of a daemon: a member of the Raft group that replicates the
 * configuration.
 */
#ifndef EY_CONTROL_CONTROL_PART_H
#define EY_CONTROL_CONTROL_PART_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyControlPartError {
    EY_CONTROL_PART_ERROR_DATA_DIR, /* --data-dir isn't set */
    EY_CONTROL_PART_ERROR_FILE      /* the Raft file can't be opened */
} EyControlPartError_t;

EY_ERROR_DOMAIN(ControlPart);
#define EY_CONTROL_PART_ERROR EyControlPart_ErrorDomain()

extern const EyPartClass_t EyControlPart_class;

#ifdef __cplusplus
}
#endif

#endif
