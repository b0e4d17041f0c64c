#include "core/log.h"

#include "core/clock.h"
#include "core/types.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_DOMAIN "ebonyyard"

const char *const EyLog_level_names[EY_LOG_LEVEL_COUNT] = {
    [EY_LOG_ERROR] = "error",
    [EY_LOG_WARNING] = "warning",
    [EY_LOG_INFO] = "info",
    [EY_LOG_DEBUG] = "debug",
};

/* G_LOG_LEVEL_ERROR isn't used because GLib aborts the process after it. */
static const GLogLevelFlags GlibLevels[EY_LOG_LEVEL_COUNT] = {
    [EY_LOG_ERROR] = G_LOG_LEVEL_CRITICAL,
    [EY_LOG_WARNING] = G_LOG_LEVEL_WARNING,
    [EY_LOG_INFO] = G_LOG_LEVEL_INFO,
    [EY_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
};

static EyName_t Source = "-";
static EyLogLevel_t Level = EY_LOG_WARNING;
static bool Json;
/* Lines logged in the current second, and lines dropped; atomic. */
static int64_t CurrentSecond;
static uint32_t LinesThisSecond;
static uint32_t DroppedLines;
/* Whether the last line of this thread was written. */
static _Thread_local bool LastLineWritten;

static bool
needs_quotes(const char *text)
{
    return *text == '\0' || strpbrk(text, " \"=\\\n\r\t") != NULL;
}

static void
append_field(GString *line, const char *key, const char *text)
{
    if (line->len > 0) {
        g_string_append_c(line, ' ');
    }
    g_string_append_printf(line, "%s=", key);
    if (!needs_quotes(text)) {
        g_string_append(line, text);
        return;
    }
    char *escaped = g_strescape(text, NULL);
    g_string_append_printf(line, "\"%s\"", escaped);
    g_free(escaped);
}

/** Fields with a length are numbers of this type; texts have none (-1). */
typedef int64_t Number_t;

static bool
is_number(const GLogField *field)
{
    return field->length == (gssize)sizeof(Number_t);
}

static json_t *
to_json(const GLogField *field)
{
    if (is_number(field)) {
        return json_integer(*(const Number_t *)field->value);
    }
    json_t *text = json_string(field->value);
    return text != NULL ? text : json_null();
}

static void
append_to_line(GString *line, const GLogField *field)
{
    if (!is_number(field)) {
        append_field(line, field->key, field->value);
        return;
    }
    enum { NUMBER_SIZE_BYTES = 24 };
    char text[NUMBER_SIZE_BYTES];
    (void)snprintf(text, sizeof(text), "%lld",
                   (long long)*(const Number_t *)field->value);
    append_field(line, field->key, text);
}

static void
write_line(const GLogField *fields, gsize count)
{
    GString *line = g_string_new(NULL);
    json_t *object = Json ? json_object() : NULL;
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "PRIORITY") == 0 ||
            strcmp(fields[i].key, "GLIB_DOMAIN") == 0)
        {
            continue;
        }
        if (Json) {
            (void)json_object_set_new(object, fields[i].key,
                                      to_json(&fields[i]));
        }
        else {
            append_to_line(line, &fields[i]);
        }
    }
    if (Json) {
        char *text = json_dumps(object, JSON_COMPACT);
        g_string_assign(line, text);
        free(text);
        json_decref(object);
    }
    g_string_append_c(line, '\n');
    /* A single write, so that lines of several threads don't interleave. */
    LastLineWritten = write(STDOUT_FILENO, line->str, line->len) >= 0;
    g_string_free(line, TRUE);
}

static GLogWriterOutput
writer(GLogLevelFlags level, const GLogField *fields, gsize count,
       gpointer data)
{
    (void)level;
    (void)data;
    write_line(fields, count);
    return G_LOG_WRITER_HANDLED;
}

void
EyLog_Start(const char *source, EyLogLevel_t level, bool json)
{
    static bool started;
    (void)EY_COPY(Source, source);
    Level = level;
    Json = json;
    if (!started) {
        int flags = fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0) {
            (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        }
        started = true;
        g_log_set_writer_func(writer, NULL, NULL);
    }
}

/** Counts a line against the limit per second; false if it is exceeded. */
static bool
within_rate_limit(EyLogLevel_t level)
{
    if (level <= EY_LOG_WARNING) {
        return true;
    }
    int64_t second = EyClock_NowMs() / 1000;
    int64_t previous =
        __atomic_exchange_n(&CurrentSecond, second, __ATOMIC_RELAXED);
    if (previous != second) {
        __atomic_store_n(&LinesThisSecond, 0, __ATOMIC_RELAXED);
    }
    if (__atomic_add_fetch(&LinesThisSecond, 1, __ATOMIC_RELAXED) <=
        EY_LOG_LINES_PER_S_MAX)
    {
        return true;
    }
    (void)__atomic_add_fetch(&DroppedLines, 1, __ATOMIC_RELAXED);
    return false;
}

/** Writes one line; false if the reader of standard output is behind. */
static bool
write_event(EyLogLevel_t level, const char *part, const char *event,
            const EyLogField_t *fields, uint32_t count)
{
    enum { FIELDS_MAX = 24, FIXED_FIELDS = 5 };
    if (count > FIELDS_MAX - FIXED_FIELDS) {
        count = FIELDS_MAX - FIXED_FIELDS;
    }
    const Number_t time_ms = EyClock_WallMs();
    GLogField all[FIELDS_MAX] = {
        {.key = "time_ms", .value = &time_ms, .length = sizeof(time_ms)},
        {.key = "level", .value = EyLog_level_names[level], .length = -1},
        {.key = "source", .value = Source, .length = -1},
        {.key = "part", .value = part, .length = -1},
        {.key = "event", .value = event, .length = -1},
    };
    for (uint32_t i = 0; i < count; i++) {
        bool has_text = fields[i].text != NULL;
        all[FIXED_FIELDS + i] = (GLogField){
            .key = fields[i].key,
            .value = has_text ? (const void *)fields[i].text
                              : (const void *)&fields[i].number,
            .length = has_text ? -1 : (gssize)sizeof(Number_t),
        };
    }
    g_log_structured_array(GlibLevels[level], all, FIXED_FIELDS + count);
    return LastLineWritten;
}

void
EyLog_Write(EyLogLevel_t level, const char *part, const char *event,
            const EyLogField_t *fields, uint32_t count)
{
    if (level > Level || !within_rate_limit(level)) {
        return;
    }
    uint32_t dropped = __atomic_exchange_n(&DroppedLines, 0, __ATOMIC_RELAXED);
    dropped += write_event(level, part, event, fields, count) ? 0 : 1;
    if (dropped == 0) {
        return;
    }
    const EyLogField_t dropped_count = EY_LOG_NUMBER("count", dropped);
    if (!write_event(EY_LOG_WARNING, "log", "lines_dropped", &dropped_count,
                     1)) {
        /* Reported with a later line. */
        (void)__atomic_add_fetch(&DroppedLines, dropped, __ATOMIC_RELAXED);
    }
}
