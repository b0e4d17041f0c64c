/**
 * Structured logging over GLib: one line per event, as key=value or JSON, on
 * standard output. Writing never blocks. Lines below warning level are dropped
 * beyond EY_LOG_LINES_PER_S_MAX per second, and any line is dropped while the
 * reader of standard output is behind. The next line that is written is
 * followed by one with the number of dropped lines.
 *
 *     EY_LOG(EY_LOG_INFO, "callers", "answer_sent",
 *            EY_LOG_TEXT("request_id", id), EY_LOG_NUMBER("status", 200));
 */
#ifndef EY_CORE_LOG_H
#define EY_CORE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of lines per second below warning level. */
#define EY_LOG_LINES_PER_S_MAX 500

typedef enum EyLogLevel {
    EY_LOG_ERROR,
    EY_LOG_WARNING,
    EY_LOG_INFO,
    EY_LOG_DEBUG,
    EY_LOG_LEVEL_COUNT
} EyLogLevel_t;

/** One field of an event: text, or number if text is NULL. */
typedef struct EyLogField {
    const char *key;
    const char *text;
    int64_t number;
} EyLogField_t;

#define EY_LOG_TEXT(field_key, field_text)                                    \
    ((EyLogField_t){.key = (field_key), .text = (field_text)})
#define EY_LOG_NUMBER(field_key, field_number)                                \
    ((EyLogField_t){.key = (field_key), .number = (int64_t)(field_number)})

/** Logs an event of a part, with at least one EyLogField_t. */
#define EY_LOG(level, part, event, ...)                                       \
    EyLog_Write((level), (part), (event),                                     \
                (const EyLogField_t[]){__VA_ARGS__},                          \
                (uint32_t)(sizeof((const EyLogField_t[]){__VA_ARGS__}) /      \
                           sizeof(EyLogField_t)))

/** Names of the levels, indexed by EyLogLevel_t. */
extern const char *const EyLog_level_names[EY_LOG_LEVEL_COUNT];

/** Sets up logging for the whole process; source is the instance's id. */
void
EyLog_Start(const char *source, EyLogLevel_t level, bool json);

/** Implements EY_LOG. */
void
EyLog_Write(EyLogLevel_t level, const char *part, const char *event,
            const EyLogField_t *fields, uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
