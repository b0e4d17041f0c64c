#include "config/proposer.h"

#include "core/memory.h"

typedef struct Pending {
    uint64_t number;      /* chosen by the caller */
    uint64_t sent_number; /* of the last message sent for it */
    EyCommand_t command;
    int64_t given_ms;  /* at the earliest */
    uint32_t control;  /* index of the control process tried last */
    uint32_t attempts; /* number of control processes tried */
    bool may_be_applied;
    int64_t retry_ms;
    int64_t deadline_ms;
} Pending_t;

struct EyProposer {
    EyProposerHooks_t hooks;
    uint64_t last_number;
    EyName_t *controls;
    uint32_t control_count;
    uint32_t preferred; /* index of the control process that answered last */
    GPtrArray *pending; /* Pending_t */
};

static int
proposer_destroy(EyProposer_t *self)
{
    g_ptr_array_free(self->pending, TRUE);
    return 0;
}

EyProposer_t *
EyProposer_New(const void *ctx, uint64_t seed, const EyProposerHooks_t *hooks)
{
    EyProposer_t *self = EY_NEW(ctx, EyProposer_t);
    self->hooks = *hooks;
    self->last_number = seed << 32;
    self->pending = g_ptr_array_new();
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
finish(EyProposer_t *self, Pending_t *pending, EyProposalOutcome_t outcome,
       const EyCommandResult_t *result)
{
    (void)g_ptr_array_remove(self->pending, pending);
    uint64_t number = pending->number;
    talloc_free(pending);
    self->hooks.answer(self->hooks.data, number, outcome, result);
}

static void
give_up(EyProposer_t *self, Pending_t *pending)
{
    EyCommandResult_t result = {.version = 0};
    finish(self, pending,
           pending->may_be_applied ? EY_PROPOSAL_UNKNOWN
                                   : EY_PROPOSAL_REJECTED,
           &result);
}

/** Returns the time until a proposal is sent to another control process. A
 * copy that is sent before the first has arrived would delay both. */
static int64_t
retry_delay_ms(const EyCommand_t *command)
{
    if (EyCommand_IsUnversioned(command)) {
        return EY_PROPOSER_ORDER_RETRY_MS;
    }
    return MAX(EY_PROPOSER_RETRY_MS,
               command->document.size_bytes / EY_SLOW_LINK_BYTES_PER_MS);
}

static void
try_next(EyProposer_t *self, int64_t now_ms, Pending_t *pending)
{
    bool is_repeatable = pending->command.change_id[0] != '\0';
    bool may_try = pending->attempts < self->control_count &&
                   (!pending->may_be_applied || is_repeatable);
    if (!may_try) {
        give_up(self, pending);
        return;
    }
    pending->control =
        (self->preferred + pending->attempts) % self->control_count;
    pending->attempts++;
    pending->sent_number = ++self->last_number;
    pending->retry_ms = now_ms + retry_delay_ms(&pending->command);
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_PROPOSE,
        .number = pending->sent_number,
        .command = pending->command,
        .age_ms = now_ms - pending->given_ms,
    };
    self->hooks.send(self->hooks.data, self->controls[pending->control],
                     &message);
}

void
EyProposer_Propose(EyProposer_t *self, int64_t now_ms, uint64_t number,
                   const EyCommand_t *command, int64_t given_ms)
{
    Pending_t *pending = EY_NEW(self, Pending_t);
    pending->number = number;
    pending->command = EyCommand_Copy(pending, command);
    pending->given_ms = given_ms;
    pending->deadline_ms = now_ms + EY_PROPOSER_TIMEOUT_MS;
    g_ptr_array_add(self->pending, pending);
    if (self->pending->len > EY_PROPOSER_PENDING_MAX) {
        give_up(self, pending);
        return;
    }
    try_next(self, now_ms, pending);
}

static Pending_t *
find_sent(const EyProposer_t *self, uint64_t sent_number)
{
    for (guint i = 0; i < self->pending->len; i++) {
        Pending_t *pending = g_ptr_array_index(self->pending, i);
        if (pending->sent_number == sent_number) {
            return pending;
        }
    }
    return NULL;
}

void
EyProposer_Receive(EyProposer_t *self, int64_t now_ms,
                   const EyConfigMessage_t *message)
{
    Pending_t *pending = message->kind == EY_CONFIG_ANSWER
                             ? find_sent(self, message->number)
                             : NULL;
    if (pending == NULL) {
        return;
    }
    if (message->outcome == EY_PROPOSAL_APPLIED) {
        self->preferred = pending->control;
        finish(self, pending, EY_PROPOSAL_APPLIED, &message->result);
        return;
    }
    if (message->outcome == EY_PROPOSAL_UNKNOWN) {
        pending->may_be_applied = true;
    }
    try_next(self, now_ms, pending);
}

void
EyProposer_Tick(EyProposer_t *self, int64_t now_ms)
{
    for (guint i = self->pending->len; i > 0; i--) {
        Pending_t *pending = g_ptr_array_index(self->pending, i - 1);
        if (now_ms < pending->retry_ms && now_ms < pending->deadline_ms) {
            continue;
        }
        pending->may_be_applied = true;
        if (now_ms >= pending->deadline_ms) {
            give_up(self, pending);
        }
        else {
            try_next(self, now_ms, pending);
        }
    }
}

int64_t
EyProposer_DueMs(const EyProposer_t *self)
{
    int64_t due_ms = INT64_MAX;
    for (guint i = 0; i < self->pending->len; i++) {
        const Pending_t *pending = g_ptr_array_index(self->pending, i);
        due_ms = MIN(due_ms, MIN(pending->retry_ms, pending->deadline_ms));
    }
    return due_ms;
}
