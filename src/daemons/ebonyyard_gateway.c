#include "control/control_part.h"
#include "discovery/discovery_part.h"
#include "gateway/gateway.h"
#include "platform/headers.h"

static uint32_t
choose_parts(const EySettings_t *settings, const EyPartClass_t **parts)
{
    uint32_t count = 0;
    if (settings->standalone) {
        parts[count++] = &EyControlPart_class;
    }
    parts[count++] = &EyGateway_class;
    parts[count++] = &EyDiscoveryPart_class;
    return count;
}

int
main(int argc, const char **argv)
{
    EyHeaderNames_Register(&EyPlatform_headers);
    return EyNode_Main("ebonyyard-gateway", argc, argv, choose_parts);
}
