#include "control/control_part.h"
#include "discovery/discovery_part.h"
#include "platform/headers.h"

static uint32_t
choose_parts(const EySettings_t *settings, const EyPartClass_t **parts)
{
    (void)settings;
    parts[0] = &EyControlPart_class;
    parts[1] = &EyDiscoveryPart_class;
    return 2;
}

int
main(int argc, const char **argv)
{
    EyHeaderNames_Register(&EyPlatform_headers);
    return EyNode_Main("ebonyyard-control", argc, argv, choose_parts);
}
