/* What was sent to an earlier incarnation of a gateway and arrives after it
 * has started again: pushes of the configuration, and answers to proposals. */
#include "config/config_replica.h"
#include "config/proposer.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>

#define NOW_MS 1000
#define REVISIONS 8
#define INCARNATIONS 50

/* Pushes */

static void
ignore_send(void *data, const char *to, const EyConfigMessage_t *message)
{
    (void)data;
    (void)to;
    (void)message;
}

static void
ignore_change(void *data, const EyStore_t *store)
{
    (void)data;
    (void)store;
}

static EyCommand_t
make_change(uint64_t version)
{
    EyCommand_t command = {.kind = EY_COMMAND_SET_DEFAULT, .version = version};
    (void)EY_COPY(command.key, "routing.queue_max");
    (void)g_snprintf(command.value, sizeof(command.value), "%llu",
                     (unsigned long long)version + 1);
    (void)g_snprintf(command.change_id, sizeof(command.change_id), "c-%llu",
                     (unsigned long long)version);
    return command;
}

/** A store after some changes, as a control process has it. */
static EyStore_t *
make_store(const void *ctx, uint64_t revision)
{
    EyStore_t *store = EyStore_New(ctx);
    while (store->config.revision < revision) {
        EyCommand_t command = make_change(store->config.version);
        cr_assert_eq(EyStore_Apply(store, &command).status,
                     EY_COMMAND_RESULT_DONE);
    }
    return store;
}

static void
push_snapshot(EyConfigReplica_t *replica, uint64_t revision)
{
    EyStore_t *store = make_store(NULL, revision);
    EyConfigMessage_t push = {.kind = EY_CONFIG_PUSH,
                              .revision = revision,
                              .snapshot = EyStore_Snapshot(store, store),
                              .confirmation = EY_CONFIRMATION_DONE};
    EyConfigReplica_Receive(replica, NOW_MS, "control", &push);
    talloc_free(store);
}

static void
push_commands(EyConfigReplica_t *replica, uint64_t first, uint64_t last)
{
    EyCommand_t commands[REVISIONS];
    uint32_t count = 0;
    for (uint64_t revision = first; revision <= last; revision++) {
        commands[count++] = make_change(revision - 1);
    }
    const EyConfigMessage_t push = {.kind = EY_CONFIG_PUSH,
                                    .revision = last,
                                    .first_revision = first,
                                    .commands = commands,
                                    .command_count = count,
                                    .confirmation = EY_CONFIRMATION_DONE};
    EyConfigReplica_Receive(replica, NOW_MS, "control", &push);
}

typedef struct PushCase {
    const char *name;
    uint64_t held;     /* revision of the new incarnation; 0: none yet */
    uint64_t first;    /* late commands from here on; 0: a late snapshot */
    uint64_t last;     /* the push's revision */
    uint64_t expected; /* revision afterwards */
} PushCase_t;

static const PushCase_t PushCases[] = {
    {"commands that follow the earlier one's revision", 0, 5, 6, 0},
    {"the same, on what is held by chance", 4, 5, 6, 6},
    {"commands with a gap", 2, 5, 6, 2},
    {"older commands", 7, 5, 6, 7},
    {"an older snapshot", 7, 0, 5, 7},
    {"a snapshot before anything else", 0, 0, 5, 5},
};

Test(config_incarnations,
     a_push_to_an_earlier_one_leaves_no_gap_and_reverts_nothing)
{
    for (size_t i = 0; i < G_N_ELEMENTS(PushCases); i++) {
        const PushCase_t *given = &PushCases[i];
        const EyConfigReplicaHooks_t hooks = {.send = ignore_send,
                                              .changed = ignore_change};
        EyConfigReplica_t *replica =
            EyConfigReplica_New(NULL, "gw-1", i + 1, &hooks, NOW_MS);
        const EyName_t control = "control";
        EyConfigReplica_SetSources(replica, NULL, 0, &control, 1);
        if (given->held != 0) {
            push_snapshot(replica, given->held);
        }
        if (given->first != 0) {
            push_commands(replica, given->first, given->last);
        }
        else {
            push_snapshot(replica, given->last);
        }
        const EyStore_t *store = EyConfigReplica_Store(replica);
        EyStore_t *expected = make_store(replica, given->expected);
        cr_expect_eq(store->config.revision, given->expected, "%s: %llu",
                     given->name, (unsigned long long)store->config.revision);
        cr_expect_eq(EyStore_Hash(store), EyStore_Hash(expected), "%s",
                     given->name);
        talloc_free(replica);
    }
}

/* Proposals */

/** What the proposer of one incarnation sent and was answered. */
typedef struct Incarnation {
    uint64_t sent_number;
    uint32_t answers;
} Incarnation_t;

static void
note_sent(void *data, const char *to, const EyConfigMessage_t *message)
{
    (void)to;
    Incarnation_t *incarnation = data;
    incarnation->sent_number = message->number;
}

static void
note_answer(void *data, uint64_t number, EyProposalOutcome_t outcome,
            const EyCommandResult_t *result)
{
    (void)number;
    (void)outcome;
    (void)result;
    Incarnation_t *incarnation = data;
    incarnation->answers++;
}

/** A proposer that waits for the answer to its first proposal. */
static EyProposer_t *
make_proposer(Incarnation_t *incarnation, uint64_t seed)
{
    const EyProposerHooks_t hooks = {
        .send = note_sent, .answer = note_answer, .data = incarnation};
    EyProposer_t *proposer = EyProposer_New(NULL, seed, &hooks);
    const EyName_t control = "control";
    EyProposer_SetControls(proposer, &control, 1);
    const EyCommand_t command = make_change(1);
    EyProposer_Propose(proposer, NOW_MS, 1, &command, NOW_MS);
    return proposer;
}

Test(config_incarnations, an_answer_to_an_earlier_one_answers_no_proposal)
{
    EyRandom_t random = EyRandom_Make(20261205);
    for (uint32_t i = 0; i < INCARNATIONS; i++) {
        Incarnation_t earlier = {.answers = 0};
        Incarnation_t later = {.answers = 0};
        talloc_free(make_proposer(&earlier, EyRandom_Next(&random)));
        EyProposer_t *proposer = make_proposer(&later, EyRandom_Next(&random));
        EyConfigMessage_t answer = {.kind = EY_CONFIG_ANSWER,
                                    .number = earlier.sent_number,
                                    .outcome = EY_PROPOSAL_APPLIED};
        EyProposer_Receive(proposer, NOW_MS, &answer);
        cr_expect_eq(later.answers, 0);
        answer.number = later.sent_number;
        EyProposer_Receive(proposer, NOW_MS, &answer);
        cr_expect_eq(later.answers, 1);
        talloc_free(proposer);
    }
}
