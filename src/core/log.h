/**
 * Structured logs over GLib: one line per event, as key=value or JSON, on
 * standard output. Writing never blocks and is bounded: what is below a
 * warning is dropped beyond EY_LOG_LINES_PER_S_MAX lines a second, and any
 * line while the reader is behind; the next line that is written is followed
 * by one that counts them.
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

/** Most lines below a warning that are written in a second. */
#define EY_LOG_LINES_PER_S_MAX 500

typedef enum EyLogLevel {
    EY_LOG_ERROR,
    EY_LOG_WARNING,
    EY_LOG_INFO,
    EY_LOG_DEBUG,
    EY_LOG_LEVEL_COUNT
} EyLogLevel_t;

/** One field of an event: a text, or a number if text is NULL. */
typedef struct EyLogField {
    const char *key;
    const char *text;
    int64_t number;
} EyLogField_t;

#define EY_LOG_TEXT(field_key, field_text)                                    \
    ((EyLogField_t){.key = (field_key), .text = (field_text)})
#define EY_LOG_NUMBER(field_key, field_number)                                \
    ((EyLogField_t){.key = (field_key), .number = (int64_t)(field_number)})

/** Logs an event of a part; the fields follow. */
#define EY_LOG(level, part, event, ...)                                       \
    EyLog_Write((level), (part), (event),                                     \
                (const EyLogField_t[]){__VA_ARGS__},                          \
                (uint32_t)(sizeof((const EyLogField_t[]){__VA_ARGS__}) /      \
                           sizeof(EyLogField_t)))

/** Names of the levels, indexed by EyLogLevel_t. */
extern const char *const EyLog_level_names[EY_LOG_LEVEL_COUNT];

/** Sets the writer for the whole process; source names its instance. */
void
EyLog_Start(const char *source, EyLogLevel_t level, bool json);

/** The function behind EY_LOG. */
void
EyLog_Write(EyLogLevel_t level, const char *part, const char *event,
            const EyLogField_t *fields, uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
