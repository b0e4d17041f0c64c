/** Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1). */
#ifndef EY_EXCHANGE_HOP_HEADERS_H
#define EY_EXCHANGE_HOP_HEADERS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** True for a hop-by-hop header, and for Content-Length, Expect and Host,
 * which the gateway sets anew for each connection. */
bool
EyHopHeaders_Has(const char *name);

#ifdef __cplusplus
}
#endif

#endif
