#include "control/control_part.h"
#include "gateway/gateway.h"

static uint32_t
choose(const EySettings_t *settings, const EyPartClass_t **parts)
{
    uint32_t count = 0;
    if (settings->standalone) {
        parts[count++] = &EyControlPart_class;
    }
    parts[count++] = &EyGateway_class;
    return count;
}

int
main(int argc, const char **argv)
{
    return EyNode_Main("ebonyyard-gateway", argc, argv, choose);
}
