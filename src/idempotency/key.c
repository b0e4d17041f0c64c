#include "idempotency/key.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/** Format of issued keys: PREFIX epoch ":" 32 hexadecimal digits ":" region.
 */
#define PREFIX "ey1:"
#define RANDOM_DIGITS 32

bool
EyKey_IsValid(const char *key)
{
    size_t length = strlen(key);
    if (length == 0 || length >= EY_KEY_SIZE_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (key[i] < '!' || key[i] > '~') {
            return false;
        }
    }
    return true;
}

void
EyKey_Issue(const char *region, uint64_t epoch, uint64_t random_high,
            uint64_t random_low, EyKey_t key)
{
    (void)snprintf(key, EY_KEY_SIZE_BYTES,
                   PREFIX "%" PRIu64 ":%016" PRIx64 "%016" PRIx64 ":%s", epoch,
                   random_high, random_low, region);
}

bool
EyKey_Parse(const char *key, EyKeyOrigin_t *origin)
{
    *origin = (EyKeyOrigin_t){.epoch = 0};
    if (strncmp(key, PREFIX, strlen(PREFIX)) != 0) {
        return false;
    }
    const char *digits = key + strlen(PREFIX);
    char *end = NULL;
    uint64_t epoch = g_ascii_strtoull(digits, &end, 10);
    if (!g_ascii_isdigit(digits[0]) || *end != ':') {
        return false;
    }
    const char *random = end + 1;
    if (strspn(random, "0123456789abcdef") != RANDOM_DIGITS ||
        random[RANDOM_DIGITS] != ':')
    {
        return false;
    }
    const char *region = random + RANDOM_DIGITS + 1;
    if (region[0] == '\0' || !EY_COPY(origin->region, region)) {
        return false;
    }
    origin->epoch = epoch;
    return true;
}
