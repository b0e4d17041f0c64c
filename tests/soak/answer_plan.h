/** How a server of a soak frames and ends one answer, drawn from the run's
 * seed and the request. */
#ifndef EY_TESTS_SOAK_ANSWER_PLAN_H
#define EY_TESTS_SOAK_ANSWER_PLAN_H

#include <stdbool.h>
#include <stdint.h>

typedef enum Framing { FRAMED_CHUNKS, FRAMED_LENGTH, FRAMED_CLOSE } Framing_t;

typedef enum AnswerEnd {
    END_WHOLE,
    END_LAST_CHUNK,   /* a proper one in the middle of an event */
    END_LENGTH_SHORT, /* the length ends inside an event */
    END_LENGTH_LONG,  /* than the body, then an orderly close */
    END_RESET,
    END_CLOSE, /* in order, without the last chunk or the whole length */
    END_SILENCE,
    END_CRASH,
    END_DECLINE, /* refused, not run */
    END_COUNT
} AnswerEnd_t;

typedef struct AnswerPlan {
    Framing_t framing;
    AnswerEnd_t end;
    uint32_t piece;    /* at which it ends */
    double piece_part; /* how much of this piece is sent; 0.0: nothing */
    int64_t silence_ms;
    int64_t interval_ms; /* between two pieces */
    bool sends_beyond;   /* the whole body, beyond the declared length */
} AnswerPlan_t;

/** Shares of the ends in one run, in permille; the rest is whole. */
typedef struct EndShares {
    uint32_t permille[END_COUNT];
} EndShares_t;

/** Few or many ends that aren't whole, with one kind that is frequent. */
EndShares_t
EndShares_Draw(uint64_t seed);

/** first and last: numbers of the pieces to answer with. */
AnswerPlan_t
AnswerPlan_Draw(const EndShares_t *shares, uint64_t seed, bool is_stream,
                uint32_t first, uint32_t last);

#endif
