#include "core/clock.h"
#include "core/log.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINES 5000
/* More than the capacity of a pipe. */
#define TEXT_MAX_BYTES (1024 * 1024)

/** Replaces standard output by a pipe; returns the pipe's read end. */
static int
redirect_output(void)
{
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    cr_assert_geq(dup2(ends[1], STDOUT_FILENO), 0);
    (void)close(ends[1]);
    return ends[0];
}

/** Reads the available text and counts the occurrences of part. */
static uint32_t
count_lines(int reader, const char *part)
{
    static char text[TEXT_MAX_BYTES];
    ssize_t size_bytes = read(reader, text, sizeof(text) - 1);
    cr_assert_gt(size_bytes, 0);
    text[size_bytes] = '\0';
    uint32_t count = 0;
    for (const char *at = strstr(text, part); at != NULL;
         at = strstr(at + 1, part))
    {
        count++;
    }
    return count;
}

/* When nobody reads standard output the pipe fills up. Logging must then drop
 * lines and report their number later; a blocking write would stop the daemon.
 */
Test(log, a_stalled_reader_blocks_no_writer, .timeout = 20)
{
    int reader = redirect_output();
    EyLog_Start("gw-1", EY_LOG_INFO, true);
    for (uint32_t i = 0; i < LINES; i++) {
        EY_LOG(EY_LOG_WARNING, "test", "loud", EY_LOG_NUMBER("i", i));
    }
    uint32_t written = count_lines(reader, "\"loud\"");
    cr_expect_gt(written, 0);
    cr_expect_lt(written, LINES, "the pipe holds less than all");
    EY_LOG(EY_LOG_WARNING, "test", "after", EY_LOG_NUMBER("i", 0));
    cr_expect_eq(count_lines(reader, "lines_dropped"), 1);
    (void)close(reader);
}

Test(log, lines_per_second_are_limited_except_warnings)
{
    int reader = redirect_output();
    EyLog_Start("gw-1", EY_LOG_INFO, false);
    int64_t first_second = EyClock_NowMs() / 1000;
    for (uint32_t i = 0; i < 2 * EY_LOG_LINES_PER_S_MAX; i++) {
        EY_LOG(EY_LOG_INFO, "t", "e", EY_LOG_NUMBER("i", i));
    }
    int64_t seconds = EyClock_NowMs() / 1000 - first_second + 1;
    uint32_t written = count_lines(reader, "event=e");
    cr_expect_leq(written, EY_LOG_LINES_PER_S_MAX * (uint64_t)seconds, "%u",
                  written);
    EY_LOG(EY_LOG_WARNING, "t", "w", EY_LOG_NUMBER("i", 0));
    cr_expect_eq(count_lines(reader, "event=w"), 1);
    (void)close(reader);
}

/** A line of two fields, as text and as JSON. */
typedef struct FormatCase {
    bool json;
    const char *part;
} FormatCase_t;

static const FormatCase_t FormatCases[] = {
    {true, "\"n\":-12,\"t\":\"12\""},
    {true, "\"time_ms\":1"},
    {false, "event=e n=-12 t=12"},
};

Test(log, numbers_are_numbers_and_texts_are_texts)
{
    for (size_t i = 0; i < sizeof(FormatCases) / sizeof(FormatCases[0]); i++) {
        int reader = redirect_output();
        EyLog_Start("gw-1", EY_LOG_INFO, FormatCases[i].json);
        EY_LOG(EY_LOG_WARNING, "p", "e", EY_LOG_NUMBER("n", -12),
               EY_LOG_TEXT("t", "12"));
        cr_expect_eq(count_lines(reader, FormatCases[i].part), 1, "%s",
                     FormatCases[i].part);
        (void)close(reader);
    }
}
