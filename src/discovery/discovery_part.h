/**
 * The part of a daemon by which others find each other: backend servers
 * announce themselves to it, callers ask it which gateways to use. Both
 * gateways and control processes have it. What a backend server of another
 * region says is passed on to that region, where its record is kept.
 */
#ifndef EY_DISCOVERY_DISCOVERY_PART_H
#define EY_DISCOVERY_DISCOVERY_PART_H

#include "node/node.h"

#ifdef __cplusplus
extern "C" {
#endif

extern const EyPartClass_t EyDiscoveryPart_class;

#ifdef __cplusplus
}
#endif

#endif
