/** Plain types that every part shares. */
#ifndef EY_CORE_TYPES_H
#define EY_CORE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Longest name of an instance, region, zone, model or service, with NUL. */
#define EY_NAME_SIZE_BYTES 64
/** Longest idempotency key, with NUL. */
#define EY_KEY_SIZE_BYTES 256
/** Longest IP:port text, with NUL. */
#define EY_ADDRESS_SIZE_BYTES 64

typedef char EyName_t[EY_NAME_SIZE_BYTES];
typedef char EyKey_t[EY_KEY_SIZE_BYTES];
typedef char EyAddress_t[EY_ADDRESS_SIZE_BYTES];

/** A span of bytes; the owner is the talloc parent of data. */
typedef struct EyBytes {
    uint8_t *data;
    uint32_t size_bytes;
} EyBytes_t;

/** What a caller is told about its request; NOT_RUN is a promise. */
typedef enum EyOutcome {
    EY_OUTCOME_COMPLETED,
    EY_OUTCOME_NOT_RUN,
    EY_OUTCOME_UNKNOWN,
    EY_OUTCOME_COUNT
} EyOutcome_t;

/** Names of the outcomes, indexed by EyOutcome_t, as the header has them. */
extern const char *const EyOutcome_names[EY_OUTCOME_COUNT];

/** The outcome as the header says it: completed, not-run, unknown. */
const char *
EyOutcome_Name(EyOutcome_t outcome);

/** Copies text into a fixed field; false if it was cut. */
bool
EyText_Copy(char *field, uint32_t field_size_bytes, const char *text);

/** Copies text into a fixed array field; false if it was cut. */
#define EY_COPY(field, text) EyText_Copy((field), sizeof(field), (text))

#ifdef __cplusplus
}
#endif

#endif
