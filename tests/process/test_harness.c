#include "process/harness.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* A test process whose id is a multiple of the number of blocks away took the
 * port of a server that was down for a moment. */
Test(harness, ports_of_a_block_in_use_are_not_given_out)
{
    uint16_t used = (uint16_t)(HARNESS_FIRST_PORT + (uint32_t)getpid() %
                                                        HARNESS_PORT_BLOCKS *
                                                        HARNESS_BLOCK_PORTS);
    int other = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(used)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    /* In use already if that other process runs just now. */
    (void)bind(other, (struct sockaddr *)&address, sizeof(address));
    for (int i = 0; i < HARNESS_BLOCK_PORTS - 1; i++) {
        uint16_t port = Harness_FreePort();
        cr_assert(port < used || port >= used + HARNESS_BLOCK_PORTS,
                  "port %u of a block that is in use", port);
    }
    (void)close(other);
}
