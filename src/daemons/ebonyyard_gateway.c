#include "gateway/gateway.h"

static uint32_t
choose(const EySettings_t *settings, const EyPartClass_t **parts)
{
    (void)settings;
    parts[0] = &EyGateway_class;
    return 1;
}

int
main(int argc, const char **argv)
{
    return EyNode_Main("ebonyyard-gateway", argc, argv, choose);
}
