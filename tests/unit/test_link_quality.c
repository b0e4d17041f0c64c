/* Regularity of a link: an outage is no sample of it, a slow link is. */
#include "membership/link_quality.h"

#include <criterion/criterion.h>

#define ACK_INTERVAL_MS 200
#define START_MS 1000

/** Acknowledgements every ACK_INTERVAL_MS; returns the time of the last. */
static int64_t
record_regular(EyLinkQuality_t *link, int64_t now_ms, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        now_ms += ACK_INTERVAL_MS;
        EyLinkQuality_RecordAck(link, now_ms);
    }
    return now_ms;
}

Test(link_quality, an_outage_delays_the_next_suspicion_by_little)
{
    EyLinkQuality_t link = {.last_ack_ms = START_MS};
    int64_t now_ms = record_regular(&link, START_MS, 100);
    cr_expect_leq(EyLinkQuality_SlackMs(&link), 10);
    now_ms += 10000;
    EyLinkQuality_RecordAck(&link, now_ms);
    cr_expect_leq(EyLinkQuality_SlackMs(&link), 2500);
    (void)record_regular(&link, now_ms, 60);
    cr_expect_leq(EyLinkQuality_SlackMs(&link), 500);
}

/* The delay of such a link varies by seconds; now and then some ten
 * acknowledgements in a row are regular. */
Test(link_quality, regular_acknowledgements_in_a_row_keep_the_slack)
{
    EyLinkQuality_t link = {.last_ack_ms = START_MS};
    int64_t now_ms = START_MS;
    for (uint32_t i = 0; i < 20; i++) {
        now_ms = record_regular(&link, now_ms, 1) + 1800;
        EyLinkQuality_RecordAck(&link, now_ms);
    }
    int64_t slack_ms = EyLinkQuality_SlackMs(&link);
    (void)record_regular(&link, now_ms, 10);
    cr_expect_geq(EyLinkQuality_SlackMs(&link), slack_ms / 2);
}
