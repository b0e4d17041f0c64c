#include "exchange/hop_headers.h"

#include <stddef.h>
#include <strings.h>

static const char *const Names[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Host",
};

bool
EyHopHeaders_Has(const char *name)
{
    for (size_t i = 0; i < sizeof(Names) / sizeof(Names[0]); i++) {
        if (strcasecmp(Names[i], name) == 0) {
            return true;
        }
    }
    return false;
}
