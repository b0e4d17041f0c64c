/**
 * Simulated loss of the way to backend servers, for tests: the environment
 * variable EBONYYARD_TEST_UNREACHABLE_FILE names a file with one server a
 * line, a word and its address. While it is listed, this process's attempts
 * there fail to connect: "refuse" at once, "hang" after the connect timeout.
 */
#ifndef EY_BACKENDS_TEST_UNREACHABLE_H
#define EY_BACKENDS_TEST_UNREACHABLE_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** True if the file lists the address with the word. */
bool
EyTestUnreachable_Lists(const char *word, const char *address);

#ifdef __cplusplus
}
#endif

#endif
