#include "config/proposer.h"

#include "core/memory.h"

typedef struct Waiting {
    uint64_t number;      /* chosen by the caller */
    uint64_t sent_number; /* of the last message sent for it */
    EyCommand_t command;
    uint32_t control; /* index of the control process tried last */
    uint32_t asked;   /* number of control processes tried */
    bool may_have_run;
    int64_t again_ms;
    int64_t ends_ms;
} Waiting_t;

struct EyProposer {
    EyProposerHooks_t hooks;
    uint64_t last_number;
    EyName_t *controls;
    uint32_t control_count;
    uint32_t preferred; /* index of the control process that answered last */
    GPtrArray *waiting; /* Waiting_t */
};

static int
proposer_destroy(EyProposer_t *self)
{
    g_ptr_array_free(self->waiting, TRUE);
    return 0;
}

EyProposer_t *
EyProposer_New(const void *ctx, uint64_t seed, const EyProposerHooks_t *hooks)
{
    EyProposer_t *self = EY_NEW(ctx, EyProposer_t);
    self->hooks = *hooks;
    self->last_number = seed << 32;
    self->waiting = g_ptr_array_new();
    talloc_set_destructor(self, proposer_destroy);
    return self;
}

void
EyProposer_SetControls(EyProposer_t *self, const EyName_t *controls,
                       uint32_t count)
{
    talloc_free(self->controls);
    self->controls = EY_NEW_ARRAY(self, EyName_t, count);
    self->control_count = count;
    for (uint32_t i = 0; i < count; i++) {
        (void)EY_COPY(self->controls[i], controls[i]);
    }
}

static void
finish(EyProposer_t *self, Waiting_t *waiting, EyProposalOutcome_t outcome,
       const EyCommandResult_t *result)
{
    (void)g_ptr_array_remove(self->waiting, waiting);
    uint64_t number = waiting->number;
    talloc_free(waiting);
    self->hooks.answer(self->hooks.data, number, outcome, result);
}

static void
give_up(EyProposer_t *self, Waiting_t *waiting)
{
    EyCommandResult_t result = {.version = 0};
    finish(self, waiting,
           waiting->may_have_run ? EY_PROPOSAL_UNKNOWN : EY_PROPOSAL_REJECTED,
           &result);
}

static void
ask_next(EyProposer_t *self, int64_t now_ms, Waiting_t *waiting)
{
    bool is_repeatable = waiting->command.change_id[0] != '\0';
    bool may_ask = waiting->asked < self->control_count &&
                   (!waiting->may_have_run || is_repeatable);
    if (!may_ask) {
        give_up(self, waiting);
        return;
    }
    waiting->control =
        (self->preferred + waiting->asked) % self->control_count;
    waiting->asked++;
    waiting->sent_number = ++self->last_number;
    waiting->again_ms = now_ms + EY_PROPOSER_AGAIN_MS;
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_PROPOSE,
        .number = waiting->sent_number,
        .command = waiting->command,
    };
    self->hooks.send(self->hooks.data, self->controls[waiting->control],
                     &message);
}

void
EyProposer_Propose(EyProposer_t *self, int64_t now_ms, uint64_t number,
                   const EyCommand_t *command)
{
    Waiting_t *waiting = EY_NEW(self, Waiting_t);
    waiting->number = number;
    waiting->command = EyCommand_Copy(waiting, command);
    waiting->ends_ms = now_ms + EY_PROPOSER_ANSWER_MS;
    g_ptr_array_add(self->waiting, waiting);
    if (self->waiting->len > EY_PROPOSER_WAITING_MAX) {
        give_up(self, waiting);
        return;
    }
    ask_next(self, now_ms, waiting);
}

static Waiting_t *
find_sent(const EyProposer_t *self, uint64_t sent_number)
{
    for (guint i = 0; i < self->waiting->len; i++) {
        Waiting_t *waiting = g_ptr_array_index(self->waiting, i);
        if (waiting->sent_number == sent_number) {
            return waiting;
        }
    }
    return NULL;
}

void
EyProposer_Receive(EyProposer_t *self, int64_t now_ms,
                   const EyConfigMessage_t *message)
{
    Waiting_t *waiting = message->kind == EY_CONFIG_ANSWER
                             ? find_sent(self, message->number)
                             : NULL;
    if (waiting == NULL) {
        return;
    }
    if (message->outcome == EY_PROPOSAL_APPLIED) {
        self->preferred = waiting->control;
        finish(self, waiting, EY_PROPOSAL_APPLIED, &message->result);
        return;
    }
    if (message->outcome == EY_PROPOSAL_UNKNOWN) {
        waiting->may_have_run = true;
    }
    ask_next(self, now_ms, waiting);
}

void
EyProposer_Tick(EyProposer_t *self, int64_t now_ms)
{
    for (guint i = self->waiting->len; i > 0; i--) {
        Waiting_t *waiting = g_ptr_array_index(self->waiting, i - 1);
        if (now_ms < waiting->again_ms && now_ms < waiting->ends_ms) {
            continue;
        }
        waiting->may_have_run = true;
        if (now_ms >= waiting->ends_ms) {
            give_up(self, waiting);
        }
        else {
            ask_next(self, now_ms, waiting);
        }
    }
}

int64_t
EyProposer_DueMs(const EyProposer_t *self)
{
    int64_t due_ms = INT64_MAX;
    for (guint i = 0; i < self->waiting->len; i++) {
        const Waiting_t *waiting = g_ptr_array_index(self->waiting, i);
        due_ms = MIN(due_ms, MIN(waiting->again_ms, waiting->ends_ms));
    }
    return due_ms;
}
