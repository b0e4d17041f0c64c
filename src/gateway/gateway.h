/** The gateway part of a daemon: accepts callers' requests and dispatches them
 * to backend servers. */
#ifndef EY_GATEWAY_GATEWAY_H
#define EY_GATEWAY_GATEWAY_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

extern const EyPartClass_t EyGateway_class;

#ifdef __cplusplus
}
#endif

#endif
