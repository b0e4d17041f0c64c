/** Basic types shared by all parts. */
#ifndef EY_CORE_TYPES_H
#define EY_CORE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size of a name of an instance, region, zone, model or service, with NUL. */
#define EY_NAME_SIZE_BYTES 64
/** Size of an idempotency key, with NUL. */
#define EY_KEY_SIZE_BYTES 256
/** Size of an IP:port string, with NUL. */
#define EY_ADDRESS_SIZE_BYTES 64
/** Size limit of all header lines and trailers of an answer that a client of
 * ours reads. */
#define EY_HEADER_LINES_MAX_BYTES 65536U
/** Slowest link between instances that is expected: large messages are given
 * the time that they take on it. */
#define EY_SLOW_LINK_BYTES_PER_MS 400

typedef char EyName_t[EY_NAME_SIZE_BYTES];
typedef char EyKey_t[EY_KEY_SIZE_BYTES];
typedef char EyAddress_t[EY_ADDRESS_SIZE_BYTES];

/** A byte array, owned by the talloc parent of data. */
typedef struct EyBytes {
    uint8_t *data;
    uint32_t size_bytes;
} EyBytes_t;

/** The outcome reported to a caller. NOT_RUN guarantees that the request was
 * not executed. */
typedef enum EyOutcome {
    EY_OUTCOME_COMPLETED,
    EY_OUTCOME_NOT_RUN,
    EY_OUTCOME_UNKNOWN,
    EY_OUTCOME_COUNT
} EyOutcome_t;

/** Names of the outcomes as sent in the header, indexed by EyOutcome_t. */
extern const char *const EyOutcome_names[EY_OUTCOME_COUNT];

/** The outcome as sent in the header: completed, not-run or unknown. */
const char *
EyOutcome_Name(EyOutcome_t outcome);

/** Copies text into a buffer of fixed size; false if it was truncated. */
bool
EyText_Copy(char *field, uint32_t field_size_bytes, const char *text);

/** Copies text into a char array; false if it was truncated. */
#define EY_COPY(field, text) EyText_Copy((field), sizeof(field), (text))

#ifdef __cplusplus
}
#endif

#endif
