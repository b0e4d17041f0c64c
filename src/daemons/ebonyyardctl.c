#include "operators/ctl.h"

int
main(int argc, char **argv)
{
    return (int)EyCtl_Run(argc, (const char **)argv, stdout, stderr);
}
