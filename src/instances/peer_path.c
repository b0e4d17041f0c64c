#include "instances/peer_path.h"

static bool
is_within(int64_t since_ms, int64_t now_ms, int64_t limit_ms)
{
    return since_ms != 0 && now_ms - since_ms < limit_ms;
}

void
EyPeerPath_Received(EyPeerPath_t *self, int64_t now_ms)
{
    self->received_ms = now_ms;
}

bool
EyPeerPath_PrefersInbound(const EyPeerPath_t *self, int64_t now_ms)
{
    if (is_within(self->sent_ms, now_ms, EY_PEER_PATH_IDLE_MS)) {
        return self->uses_inbound;
    }
    return is_within(self->received_ms, now_ms, EY_PEER_PATH_INBOUND_FRESH_MS);
}

void
EyPeerPath_Sent(EyPeerPath_t *self, int64_t now_ms, bool inbound)
{
    self->sent_ms = now_ms;
    self->uses_inbound = inbound;
}

void
EyPeerPath_Restarted(EyPeerPath_t *self)
{
    *self = (EyPeerPath_t){.received_ms = 0};
}
