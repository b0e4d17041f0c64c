/**
 * The part of a daemon that serves discovery: backend servers announce
 * themselves to it, and callers ask it which gateways to use. Gateways and
 * control processes both have it. Announcements of backend servers of another
 * region are relayed to that region, whose registry keeps the record.
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
