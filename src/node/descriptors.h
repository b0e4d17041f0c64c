/** How many descriptors the process may have, and how they are shared. */
#ifndef EY_NODE_DESCRIPTORS_H
#define EY_NODE_DESCRIPTORS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Raises the process's soft limit to the hard one, as far as it is of use;
 * returns the limit. */
uint64_t
EyDescriptors_Raise(void);

/** Callers' connections on each address, of so many descriptors: as many must
 * be left for connections to backend servers. */
uint32_t
EyDescriptors_CallersMax(uint64_t limit);

#ifdef __cplusplus
}
#endif

#endif
