#include "control/control_part.h"

static uint32_t
choose(const EySettings_t *settings, const EyPartClass_t **parts)
{
    (void)settings;
    parts[0] = &EyControlPart_class;
    return 1;
}

int
main(int argc, const char **argv)
{
    return EyNode_Main("ebonyyard-control", argc, argv, choose);
}
