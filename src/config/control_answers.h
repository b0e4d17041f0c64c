/**
 * Which control processes have answered a gateway, and when: whether the
 * gateway is cut off from most of them.
 */
#ifndef EY_CONFIG_CONTROL_ANSWERS_H
#define EY_CONFIG_CONTROL_ANSWERS_H

#include "core/types.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Most control processes whose answers are kept. */
#define EY_CONTROL_ANSWERS_MAX 32

/** The last answer of a control process. */
typedef struct EyControlAnswer {
    EyName_t id;
    int64_t answered_ms;
    bool awaits_leader;  /* as in EyConfigMessage_t */
    bool hears_majority; /* likewise */
    bool is_older_build; /* it says nothing of confirmations */
} EyControlAnswer_t;

typedef struct EyControlAnswers {
    EyControlAnswer_t items[EY_CONTROL_ANSWERS_MAX];
    uint32_t count;
} EyControlAnswers_t;

/** Records an answer; drops the oldest one if there is no room. */
void
EyControlAnswers_Note(EyControlAnswers_t *self,
                      const EyControlAnswer_t *answer);

/** Returns how many have answered since a time. */
uint32_t
EyControlAnswers_CountSince(const EyControlAnswers_t *self, int64_t since_ms);

/** True if one has answered since a time that it waits for a leader. */
bool
EyControlAnswers_AwaitsLeader(const EyControlAnswers_t *self,
                              int64_t since_ms);

/** True if one has answered since a time that it hears most of the others. */
bool
EyControlAnswers_HearsMajority(const EyControlAnswers_t *self,
                               int64_t since_ms);

/** True if a process has answered and is of an older build. */
bool
EyControlAnswers_IsOlderBuild(const EyControlAnswers_t *self, const char *id);

/** Moves all times forward, past a pause of this process. */
void
EyControlAnswers_Shift(EyControlAnswers_t *self, int64_t by_ms);

#ifdef __cplusplus
}
#endif

#endif
