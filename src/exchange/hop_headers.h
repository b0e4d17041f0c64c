/** Headers that concern one connection only and are never passed on. */
#ifndef EY_EXCHANGE_HOP_HEADERS_H
#define EY_EXCHANGE_HOP_HEADERS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** True for a hop-by-hop header or one that frames the message's body. */
bool
EyHopHeaders_Has(const char *name);

#ifdef __cplusplus
}
#endif

#endif
