/**
 * A group message as it is sent between instances, with the region of its
 * group, because a witness is a member of the groups of several regions.
 */
#ifndef EY_IDEMPOTENCY_ENVELOPE_H
#define EY_IDEMPOTENCY_ENVELOPE_H

#include "idempotency/message.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyGroupEnvelope {
    EyName_t region;
    EyGroupMessage_t message;
} EyGroupEnvelope_t;

extern const EySchema_t EyGroupEnvelope_schema;

#ifdef __cplusplus
}
#endif

#endif
