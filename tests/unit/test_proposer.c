/* How often a change is sent to the control processes. */
#include "config/proposer.h"
#include "core/memory.h"

#include <criterion/criterion.h>

/* Bytes of a table of 2,800 routes, and of one on a route. */
#define LARGE_TABLE_BYTES 500000
#define SMALL_TABLE_BYTES 200

static void
count_sent(void *data, const char *to, const EyConfigMessage_t *message)
{
    (void)to;
    (void)message;
    uint32_t *sent = data;
    (*sent)++;
}

static void
ignore_answer(void *data, uint64_t number, EyProposalOutcome_t outcome,
              const EyCommandResult_t *result)
{
    (void)data;
    (void)number;
    (void)outcome;
    (void)result;
}

/** Returns how often a change without an answer has been sent when a time has
 * passed. */
static uint32_t
count_proposals(uint32_t document_bytes, int64_t time_ms)
{
    uint32_t sent = 0;
    const EyProposerHooks_t hooks = {
        .send = count_sent, .answer = ignore_answer, .data = &sent};
    EyProposer_t *proposer = EyProposer_New(NULL, 1, &hooks);
    const EyName_t controls[] = {"control-0", "control-1", "control-2"};
    EyProposer_SetControls(proposer, controls, 3);
    EyCommand_t command = {
        .kind = EY_COMMAND_REPLACE_ROUTES,
        .document = {.data = talloc_zero_size(proposer, document_bytes),
                     .size_bytes = document_bytes}};
    (void)EyText_Copy(command.change_id, sizeof(command.change_id), "order-1");
    EyProposer_Propose(proposer, 1000, 1, &command, 1000);
    for (int64_t now_ms = 1000; now_ms <= 1000 + time_ms; now_ms += 100) {
        EyProposer_Tick(proposer, now_ms);
    }
    talloc_free(proposer);
    return sent;
}

typedef struct RepeatCase {
    uint32_t document_bytes;
    int64_t time_ms;
    uint32_t sent;
} RepeatCase_t;

static const RepeatCase_t RepeatCases[] = {
    {SMALL_TABLE_BYTES, 900, 1},  {SMALL_TABLE_BYTES, 1000, 2},
    {LARGE_TABLE_BYTES, 1200, 1}, {LARGE_TABLE_BYTES, 1300, 2},
    {LARGE_TABLE_BYTES, 2600, 3},
};

Test(proposer, large_table_is_not_sent_again_while_it_is_on_its_way)
{
    for (size_t i = 0; i < sizeof(RepeatCases) / sizeof(RepeatCases[0]); i++) {
        const RepeatCase_t *given = &RepeatCases[i];
        uint32_t sent = count_proposals(given->document_bytes, given->time_ms);
        cr_expect_eq(sent, given->sent, "%u bytes, %ld ms: sent %u times",
                     given->document_bytes, (long)given->time_ms, sent);
    }
}
