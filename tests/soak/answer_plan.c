#include "soak/answer_plan.h"

#include "core/random.h"

#define SILENCE_MIN_MS 1000
#define SILENCE_SPAN_MS 7000
#define INTERVAL_MIN_MS 5
#define INTERVAL_SPAN_MS 120

/** Usual shares, in permille. */
static const uint32_t Usual[END_COUNT] = {
    [END_LAST_CHUNK] = 60, [END_LENGTH_SHORT] = 50, [END_LENGTH_LONG] = 30,
    [END_RESET] = 50,      [END_CLOSE] = 50,        [END_SILENCE] = 25,
    [END_CRASH] = 8,       [END_DECLINE] = 40,
};
/** What the frequent one gets more; no more than that of crashes, after each
 * of which a server is down for seconds. */
#define FREQUENT_PERMILLE 300
#define FREQUENT_CRASH_PERMILLE 30

EndShares_t
EndShares_Draw(uint64_t seed)
{
    EyRandom_t random = EyRandom_Make(seed);
    EndShares_t shares = {.permille = {0}};
    double factor = 0.2 + 1.4 * EyRandom_Unit(&random);
    for (uint32_t i = 0; i < END_COUNT; i++) {
        shares.permille[i] = (uint32_t)(factor * Usual[i]);
    }
    AnswerEnd_t frequent = (AnswerEnd_t)EyRandom_Below(&random, END_COUNT);
    shares.permille[frequent] +=
        frequent == END_CRASH ? FREQUENT_CRASH_PERMILLE : FREQUENT_PERMILLE;
    shares.permille[END_WHOLE] = 0;
    return shares;
}

/** For plain calls some ends would be those of whole answers. */
static bool
is_for_plain(AnswerEnd_t end)
{
    return end != END_LAST_CHUNK && end != END_LENGTH_SHORT;
}

static AnswerEnd_t
draw_end(const EndShares_t *shares, EyRandom_t *random, bool is_stream)
{
    uint32_t drawn = (uint32_t)EyRandom_Below(random, 1000);
    for (uint32_t i = 0; i < END_COUNT; i++) {
        if (drawn < shares->permille[i]) {
            return is_stream || is_for_plain((AnswerEnd_t)i) ? (AnswerEnd_t)i
                                                             : END_WHOLE;
        }
        drawn -= shares->permille[i];
    }
    return END_WHOLE;
}

/** An end shows only in some framings: an orderly close ends an answer that
 * has neither a length nor chunks as whole, if no event is cut. */
static Framing_t
fitting(Framing_t framing, AnswerEnd_t end, bool is_stream)
{
    switch (end) {
    case END_LAST_CHUNK:
        return FRAMED_CHUNKS;
    case END_LENGTH_SHORT:
    case END_LENGTH_LONG:
        return FRAMED_LENGTH;
    case END_CLOSE:
        return framing == FRAMED_CLOSE && !is_stream ? FRAMED_LENGTH : framing;
    default:
        return framing;
    }
}

AnswerPlan_t
AnswerPlan_Draw(const EndShares_t *shares, uint64_t seed, bool is_stream,
                uint32_t first, uint32_t last)
{
    EyRandom_t random = EyRandom_Make(seed);
    AnswerPlan_t plan = {.end = draw_end(shares, &random, is_stream)};
    plan.framing =
        fitting((Framing_t)EyRandom_Below(&random, 3), plan.end, is_stream);
    plan.piece = first + (uint32_t)EyRandom_Below(&random, last - first + 1);
    /* Inside the piece, never all of it. */
    plan.piece_part = 0.1 + 0.8 * EyRandom_Unit(&random);
    bool may_be_between =
        plan.end == END_RESET ||
        (plan.end == END_CLOSE && plan.framing != FRAMED_CLOSE);
    if (may_be_between && EyRandom_Below(&random, 3) == 0) {
        plan.piece_part = 0.0;
    }
    plan.silence_ms =
        SILENCE_MIN_MS + (int64_t)EyRandom_Below(&random, SILENCE_SPAN_MS);
    plan.interval_ms =
        INTERVAL_MIN_MS + (int64_t)EyRandom_Below(&random, INTERVAL_SPAN_MS);
    plan.sends_beyond = EyRandom_Below(&random, 2) == 0;
    return plan;
}
