/** Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1). */
#ifndef EY_EXCHANGE_HOP_HEADERS_H
#define EY_EXCHANGE_HOP_HEADERS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** True for a hop-by-hop header, for Content-Length, which frames the body,
 * and for Expect and Host; none of them is forwarded. */
bool
EyHopHeaders_Has(const char *name);

#ifdef __cplusplus
}
#endif

#endif
