#include "soak/answer_plan.h"

#include "core/random.h"

#define SILENCE_MIN_MS 1000
#define SILENCE_SPAN_MS 7000

/** Shares of the ends, in percent; the rest is whole. */
typedef struct EndShare {
    AnswerEnd_t end;
    uint32_t percent;
    bool is_for_plain; /* else it would be a whole answer there */
} EndShare_t;

static const EndShare_t Shares[] = {
    {END_LAST_CHUNK, 7, false}, {END_LENGTH_SHORT, 6, false},
    {END_LENGTH_LONG, 3, true}, {END_RESET, 5, true},
    {END_CLOSE, 5, true},       {END_SILENCE, 2, true},
    {END_CRASH, 1, true},       {END_DECLINE, 4, true},
};

static AnswerEnd_t
draw_end(EyRandom_t *random, bool is_stream)
{
    uint32_t drawn = (uint32_t)EyRandom_Below(random, 100);
    for (uint32_t i = 0; i < sizeof(Shares) / sizeof(Shares[0]); i++) {
        if (drawn < Shares[i].percent) {
            return is_stream || Shares[i].is_for_plain ? Shares[i].end
                                                       : END_WHOLE;
        }
        drawn -= Shares[i].percent;
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
AnswerPlan_Draw(uint64_t seed, bool is_stream, uint32_t first, uint32_t last)
{
    EyRandom_t random = EyRandom_Make(seed);
    AnswerPlan_t plan = {.end = draw_end(&random, is_stream)};
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
    plan.sends_beyond = EyRandom_Below(&random, 2) == 0;
    return plan;
}
