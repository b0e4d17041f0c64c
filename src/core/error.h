/**
 * Error domains. Each layer declares one domain with EY_ERROR_DOMAIN in its
 * header, defines it with EY_DEFINE_ERROR_DOMAIN, and wraps errors of lower
 * layers in its own domain with EyError_Wrap.
 */
#ifndef EY_CORE_ERROR_H
#define EY_CORE_ERROR_H

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_ERROR_DOMAIN(layer) GQuark Ey##layer##_ErrorDomain(void)

#define EY_DEFINE_ERROR_DOMAIN(layer, text)                                   \
    GQuark Ey##layer##_ErrorDomain(void)                                      \
    {                                                                         \
        return g_quark_from_static_string(text);                              \
    }

/**
 * Replaces *error, which a lower layer set, with an error of this domain whose
 * message is prefix, a colon and the original message. Does nothing if error
 * or *error is NULL.
 */
void
EyError_Wrap(GError **error, GQuark domain, gint code, const char *prefix);

#ifdef __cplusplus
}
#endif

#endif
