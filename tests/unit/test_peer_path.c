#include "instances/peer_path.h"

#include <criterion/criterion.h>

#define START_MS 100000

/* An answer whose parts are sent 400 ms apart goes on after the other
 * instance has begun to send on the connection in the other direction, so that
 * nothing arrives on the inbound one any more. It used to change connections
 * after 5 s; parts then overtook each other and the answer was broken off. */
Test(peer_path, a_connection_in_use_is_kept_when_nothing_arrives_on_it)
{
    EyPeerPath_t path = {.received_ms = 0};
    EyPeerPath_Received(&path, START_MS);
    for (int64_t now_ms = START_MS; now_ms < START_MS + 30000; now_ms += 400) {
        cr_assert(EyPeerPath_PrefersInbound(&path, now_ms));
        EyPeerPath_Sent(&path, now_ms, true);
    }
}

Test(peer_path, a_connection_in_use_is_kept_when_the_other_becomes_fresh)
{
    EyPeerPath_t path = {.received_ms = 0};
    for (int64_t now_ms = START_MS; now_ms < START_MS + 30000; now_ms += 400) {
        cr_assert(!EyPeerPath_PrefersInbound(&path, now_ms));
        EyPeerPath_Sent(&path, now_ms, false);
        EyPeerPath_Received(&path, now_ms);
    }
}

/** What happened, and the connection for the next message at START_MS. */
typedef struct ChoiceCase {
    const char *label;
    int64_t received_ago_ms; /* -1: never */
    int64_t sent_ago_ms;     /* -1: never */
    bool sent_inbound;
    bool restarted;
    bool prefers_inbound;
} ChoiceCase_t;

static const ChoiceCase_t ChoiceCases[] = {
    {"nothing yet", -1, -1, false, false, false},
    {"an answer to a first request", 1, -1, false, false, true},
    {"idle, inbound fresh", 4999, 2000, false, false, true},
    {"idle, inbound stale", 5000, 2000, true, false, false},
    {"in use and failed over", 1, 1999, false, false, false},
    {"in use on the inbound one", 9000, 1999, true, false, true},
    {"restarted", 9000, 1, true, true, false},
};

Test(peer_path, an_idle_path_takes_a_fresh_inbound_connection)
{
    for (size_t i = 0; i < sizeof(ChoiceCases) / sizeof(ChoiceCases[0]); i++) {
        const ChoiceCase_t *c = &ChoiceCases[i];
        EyPeerPath_t path = {.received_ms = 0};
        if (c->received_ago_ms >= 0) {
            EyPeerPath_Received(&path, START_MS - c->received_ago_ms);
        }
        if (c->sent_ago_ms >= 0) {
            EyPeerPath_Sent(&path, START_MS - c->sent_ago_ms, c->sent_inbound);
        }
        if (c->restarted) {
            EyPeerPath_Restarted(&path);
        }
        cr_expect_eq(EyPeerPath_PrefersInbound(&path, START_MS),
                     c->prefers_inbound, "%s", c->label);
    }
}
