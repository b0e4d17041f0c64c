#include "idempotency/claims.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_CLAIM_MAX 4096
/** Time without an answer after which a message is resent. */
#define RESEND_INTERVAL_MS 100
/** Time without an answer after which the next target is asked. */
#define TARGET_TIMEOUT_MS 250
/** Time without an answer after which a waiting claim fails. */
#define CLAIM_TIMEOUT_MS 3000
/** Delay after which a caller may retry with the same key. */
#define RETRY_AFTER_MS 1000

typedef enum ClaimState {
    CLAIM_WAITING,
    CLAIM_GRANTED,
    CLAIM_COMPLETED,
    CLAIM_NOT_SENT,
    CLAIM_UNKNOWN,
    CLAIM_STATE_COUNT
} ClaimState_t;

static const char *const StateNames[CLAIM_STATE_COUNT] = {
    [CLAIM_WAITING] = "waiting",     [CLAIM_GRANTED] = "granted",
    [CLAIM_COMPLETED] = "completed", [CLAIM_NOT_SENT] = "not-sent",
    [CLAIM_UNKNOWN] = "lost",
};

/** Message that a claim in a state sends to the leader until it is answered.
 */
static const EyGroupMessageKind_t ReportKinds[CLAIM_STATE_COUNT] = {
    [CLAIM_WAITING] = EY_GROUP_CLAIM,
    [CLAIM_GRANTED] = EY_GROUP_STILL_RUNNING,
    [CLAIM_COMPLETED] = EY_GROUP_COMPLETE,
    [CLAIM_NOT_SENT] = EY_GROUP_NOT_SENT,
    [CLAIM_UNKNOWN] = EY_GROUP_UNKNOWN,
};

/** Outcome for the caller if the decision is final. */
static const EyOutcome_t DecisionOutcomes[EY_GROUP_DECISION_COUNT] = {
    [EY_GROUP_DECISION_GRANTED] = EY_OUTCOME_UNKNOWN,
    [EY_GROUP_DECISION_REPLAY] = EY_OUTCOME_COMPLETED,
    [EY_GROUP_DECISION_MISMATCH] = EY_OUTCOME_NOT_RUN,
    [EY_GROUP_DECISION_UNKNOWN] = EY_OUTCOME_UNKNOWN,
    [EY_GROUP_DECISION_REFUSED] = EY_OUTCOME_NOT_RUN,
    [EY_GROUP_DECISION_WAITING] = EY_OUTCOME_UNKNOWN,
};

typedef struct Claim {
    int64_t number;
    char *key;
    uint64_t fingerprint;
    int64_t deadline_ms;
    ClaimState_t state;
    int64_t answered_ms; /* of the last answer */
    int64_t sent_ms;
    EyBytes_t answer;
} Claim_t;

struct EyClaims {
    EyClaimsOptions_t options;
    GHashTable *by_number;                    /* int64_t -> Claim_t */
    EyView_t *view;                           /* the newest known one */
    EyName_t candidates[EY_VIEW_MEMBERS_MAX]; /* asked if the view doesn't
                                                 answer */
    uint32_t candidate_count;
    uint32_t target; /* index of the instance asked: replicas of the view, then
                        candidates */
    int64_t target_answered_ms; /* last answer of the target */
};

static int
claims_destroy(EyClaims_t *self)
{
    g_hash_table_destroy(self->by_number);
    return 0;
}

EyClaims_t *
EyClaims_New(const void *ctx, const EyClaimsOptions_t *options)
{
    static const EyView_t None = {.number = 0};
    EyClaims_t *self = EY_NEW(ctx, EyClaims_t);
    self->options = *options;
    if (self->options.claim_max == 0) {
        self->options.claim_max = DEFAULT_CLAIM_MAX;
    }
    self->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->view = EyView_Copy(self, &None);
    talloc_set_destructor(self, claims_destroy);
    return self;
}

static bool
has_replica(const EyView_t *view)
{
    return view->member_count > 0 && !view->members[0].is_witness;
}

/** Replaces the view if the given one is newer, and makes its leader the
 * target. */
static void
update_view(EyClaims_t *self, int64_t now_ms, const EyView_t *view)
{
    if (!EyView_IsNewer(view, self->view) || !has_replica(view)) {
        return;
    }
    talloc_free(self->view);
    self->view = EyView_Copy(self, view);
    int32_t rank = EyView_Find(view, view->leader, 0);
    self->target = rank > 0 ? (uint32_t)rank : 0;
    self->target_answered_ms = now_ms;
}

void
EyClaims_UpdateView(EyClaims_t *self, int64_t now_ms, const EyView_t *view)
{
    update_view(self, now_ms, view);
}

void
EyClaims_SetMembers(EyClaims_t *self, const EyGroupMember_t *members,
                    uint32_t member_count)
{
    self->candidate_count = 0;
    for (uint32_t i = 0; i < member_count; i++) {
        if (members[i].is_witness ||
            self->candidate_count == EY_VIEW_MEMBERS_MAX) {
            continue;
        }
        (void)EY_COPY(self->candidates[self->candidate_count],
                      members[i].name);
        self->candidate_count++;
    }
}

/** Name of the target, or NULL if the index is past the last one. */
static const char *
target_name(const EyClaims_t *self)
{
    uint32_t count = EyView_ReplicaCount(self->view);
    if (self->target < count) {
        return self->view->members[self->target].name;
    }
    uint32_t candidate = self->target - count;
    return candidate < self->candidate_count ? self->candidates[candidate]
                                             : NULL;
}

/** Switches to the next target if the current one doesn't answer. All replicas
 * of the known view may be down, so the candidates are included. */
static void
rotate_target(EyClaims_t *self, int64_t now_ms)
{
    if (now_ms - self->target_answered_ms < TARGET_TIMEOUT_MS) {
        return;
    }
    self->target_answered_ms = now_ms;
    self->target++;
    if (target_name(self) == NULL) {
        self->target = 0;
    }
}

static EyGroupMessage_t *
make_report(const EyClaims_t *self, const Claim_t *claim,
            const EyGroupActions_t *actions)
{
    EyGroupMessage_t *message =
        EyGroupMessage_New(actions, ReportKinds[claim->state]);
    message->from_incarnation = self->options.incarnation;
    message->key = EyMemory_Strdup(message, claim->key);
    message->fingerprint = claim->fingerprint;
    message->claim.incarnation = self->options.incarnation;
    message->claim.number = (uint64_t)claim->number;
    (void)EY_COPY(message->claim.instance, self->options.name);
    message->accepted = true;
    if (claim->state == CLAIM_COMPLETED) {
        message->answer.data = EyMemory_Copy(message, claim->answer.data,
                                             claim->answer.size_bytes);
        message->answer.size_bytes = claim->answer.size_bytes;
    }
    return message;
}

static void
report(EyClaims_t *self, int64_t now_ms, Claim_t *claim,
       EyGroupActions_t *actions)
{
    claim->sent_ms = now_ms;
    const char *target = target_name(self);
    if (target != NULL) {
        EyGroupActions_AddSend(actions, target,
                               make_report(self, claim, actions));
    }
}

static Claim_t *
find_claim(const EyClaims_t *self, uint64_t number)
{
    int64_t key = (int64_t)number;
    return g_hash_table_lookup(self->by_number, &key);
}

static void
remove_claim(EyClaims_t *self, Claim_t *claim)
{
    (void)g_hash_table_remove(self->by_number, &claim->number);
    talloc_free(claim);
}

static EyGroupAction_t *
add_decision(uint64_t number, EyGroupDecision_t decision,
             EyGroupReason_t reason, EyGroupActions_t *actions)
{
    EyGroupAction_t *action =
        EyGroupActions_Add(actions, EY_GROUP_ACTION_DECIDED);
    action->number = number;
    action->decision = decision;
    action->reason = reason;
    action->outcome = DecisionOutcomes[decision];
    if (decision == EY_GROUP_DECISION_UNKNOWN ||
        decision == EY_GROUP_DECISION_REFUSED)
    {
        action->retry_after_ms = RETRY_AFTER_MS;
    }
    return action;
}

/** Ends the claim; the end is reported until all replicas have it. */
static void
end_claim(EyClaims_t *self, int64_t now_ms, Claim_t *claim, ClaimState_t state,
          EyGroupActions_t *actions)
{
    claim->state = state;
    report(self, now_ms, claim, actions);
}

/**
 * Ends an undecided claim. An earlier attempt with the same key may have
 * run, so the outcome can only be "unknown".
 */
static void
give_up(EyClaims_t *self, int64_t now_ms, Claim_t *claim,
        EyGroupReason_t reason, EyGroupActions_t *actions)
{
    (void)add_decision((uint64_t)claim->number, EY_GROUP_DECISION_UNKNOWN,
                       reason, actions);
    end_claim(self, now_ms, claim, CLAIM_NOT_SENT, actions);
}

void
EyClaims_Claim(EyClaims_t *self, int64_t now_ms, uint64_t number,
               const char *key, uint64_t fingerprint, int64_t deadline_ms,
               EyGroupActions_t *actions)
{
    if (g_hash_table_size(self->by_number) >= self->options.claim_max) {
        (void)add_decision(number, EY_GROUP_DECISION_UNKNOWN, EY_REASON_BUSY,
                           actions);
        return;
    }
    if (deadline_ms <= now_ms) {
        (void)add_decision(number, EY_GROUP_DECISION_UNKNOWN,
                           EY_REASON_DEADLINE, actions);
        return;
    }
    int64_t latest_ms = now_ms + EY_CLAIM_DEADLINE_MAX_MS;
    Claim_t *claim = EY_NEW(self, Claim_t);
    claim->number = (int64_t)number;
    claim->key = EyMemory_Strdup(claim, key);
    claim->fingerprint = fingerprint;
    claim->deadline_ms = deadline_ms < latest_ms ? deadline_ms : latest_ms;
    claim->answered_ms = now_ms;
    if (g_hash_table_size(self->by_number) == 0) {
        self->target_answered_ms = now_ms;
    }
    (void)g_hash_table_insert(self->by_number, &claim->number, claim);
    report(self, now_ms, claim, actions);
}

void
EyClaims_Complete(EyClaims_t *self, int64_t now_ms, uint64_t number,
                  const EyBytes_t *answer, EyGroupActions_t *actions)
{
    Claim_t *claim = find_claim(self, number);
    if (claim == NULL || claim->state != CLAIM_GRANTED) {
        return;
    }
    if (answer->size_bytes > EY_RECORD_ANSWER_MAX_BYTES) {
        end_claim(self, now_ms, claim, CLAIM_UNKNOWN, actions);
        return;
    }
    claim->answer.data =
        EyMemory_Copy(claim, answer->data, answer->size_bytes);
    claim->answer.size_bytes = answer->size_bytes;
    end_claim(self, now_ms, claim, CLAIM_COMPLETED, actions);
}

void
EyClaims_ReportNotSent(EyClaims_t *self, int64_t now_ms, uint64_t number,
                       EyGroupActions_t *actions)
{
    Claim_t *claim = find_claim(self, number);
    if (claim != NULL && claim->state == CLAIM_GRANTED) {
        end_claim(self, now_ms, claim, CLAIM_NOT_SENT, actions);
    }
}

void
EyClaims_ReportUnknown(EyClaims_t *self, int64_t now_ms, uint64_t number,
                       EyGroupActions_t *actions)
{
    Claim_t *claim = find_claim(self, number);
    if (claim != NULL && claim->state == CLAIM_GRANTED) {
        end_claim(self, now_ms, claim, CLAIM_UNKNOWN, actions);
    }
}

void
EyClaims_Abandon(EyClaims_t *self, int64_t now_ms, uint64_t number,
                 EyGroupActions_t *actions)
{
    Claim_t *claim = find_claim(self, number);
    if (claim != NULL && claim->state == CLAIM_WAITING) {
        end_claim(self, now_ms, claim, CLAIM_NOT_SENT, actions);
    }
}

static void
handle_decision(EyClaims_t *self, int64_t now_ms,
                const EyGroupMessage_t *message, EyGroupActions_t *actions)
{
    Claim_t *claim = find_claim(self, message->claim.number);
    if (claim == NULL || claim->state != CLAIM_WAITING) {
        return;
    }
    claim->answered_ms = now_ms;
    if (message->decision == EY_GROUP_DECISION_WAITING) {
        return;
    }
    /* A decision that is handled late, because the process was paused, may
     * be out of date. A late grant is dropped, as the request wasn't sent. */
    if (now_ms >= claim->deadline_ms &&
        message->decision != EY_GROUP_DECISION_REPLAY)
    {
        give_up(self, now_ms, claim, EY_REASON_DEADLINE, actions);
        return;
    }
    if (message->decision == EY_GROUP_DECISION_GRANTED) {
        claim->state = CLAIM_GRANTED;
    }
    EyGroupAction_t *action = add_decision(
        message->claim.number, message->decision, message->reason, actions);
    if (message->retry_after_ms > 0) {
        action->retry_after_ms = message->retry_after_ms;
    }
    if (message->answer.size_bytes > 0) {
        action->answer.data = EyMemory_Copy(action, message->answer.data,
                                            message->answer.size_bytes);
        action->answer.size_bytes = message->answer.size_bytes;
    }
    if (message->decision != EY_GROUP_DECISION_GRANTED) {
        end_claim(self, now_ms, claim, CLAIM_NOT_SENT, actions);
    }
}

/** Replies to a query about a claim that isn't open here: it has ended, or
 * belongs to an earlier process of this instance. */
static void
report_unknown_claim(const EyClaims_t *self, const char *to,
                     const EyGroupMessage_t *query, EyGroupActions_t *actions)
{
    EyGroupMessage_t *message = EyGroupMessage_New(actions, EY_GROUP_UNKNOWN);
    message->from_incarnation = self->options.incarnation;
    message->key = EyMemory_Strdup(message, query->key);
    message->fingerprint = query->fingerprint;
    message->claim = query->claim;
    EyGroupActions_AddSend(actions, to, message);
}

static void
handle_query(EyClaims_t *self, const char *from,
             const EyGroupMessage_t *message, EyGroupActions_t *actions)
{
    Claim_t *claim = find_claim(self, message->claim.number);
    bool is_own = message->claim.incarnation == self->options.incarnation;
    if (message->key == NULL ||
        strcmp(message->claim.instance, self->options.name) != 0)
    {
        return;
    }
    if (claim == NULL || !is_own) {
        report_unknown_claim(self, from, message, actions);
        return;
    }
    EyGroupActions_AddSend(actions, from, make_report(self, claim, actions));
}

bool
EyClaims_Handles(const EyGroupMessage_t *message)
{
    return message->kind >= EY_GROUP_DECISION &&
           message->kind < EY_GROUP_MESSAGE_KIND_COUNT;
}

static bool
is_own_claim(const EyClaims_t *self, const EyGroupMessage_t *message)
{
    return message->claim.incarnation == self->options.incarnation &&
           strcmp(message->claim.instance, self->options.name) == 0;
}

void
EyClaims_Message(EyClaims_t *self, int64_t now_ms, const char *from,
                 const EyGroupMessage_t *message, EyGroupActions_t *actions)
{
    if (message->kind == EY_GROUP_REDIRECT) {
        update_view(self, now_ms, &message->view);
        return;
    }
    if (message->kind == EY_GROUP_QUERY) {
        handle_query(self, from, message, actions);
        return;
    }
    if (!is_own_claim(self, message)) {
        return;
    }
    self->target_answered_ms = now_ms;
    if (message->kind == EY_GROUP_DECISION) {
        handle_decision(self, now_ms, message, actions);
        return;
    }
    Claim_t *claim = find_claim(self, message->claim.number);
    if (message->kind == EY_GROUP_SETTLED && claim != NULL &&
        claim->state >= CLAIM_COMPLETED)
    {
        remove_claim(self, claim);
    }
}

static void
advance_claim(EyClaims_t *self, int64_t now_ms, Claim_t *claim,
              EyGroupActions_t *actions)
{
    if (claim->state == CLAIM_WAITING && now_ms >= claim->deadline_ms) {
        give_up(self, now_ms, claim, EY_REASON_DEADLINE, actions);
        return;
    }
    if (claim->state == CLAIM_WAITING &&
        now_ms - claim->answered_ms >= CLAIM_TIMEOUT_MS)
    {
        give_up(self, now_ms, claim, EY_REASON_NO_LEADER, actions);
        return;
    }
    if (claim->state != CLAIM_GRANTED &&
        now_ms - claim->sent_ms >= RESEND_INTERVAL_MS)
    {
        report(self, now_ms, claim, actions);
    }
}

void
EyClaims_Tick(EyClaims_t *self, int64_t now_ms, EyGroupActions_t *actions)
{
    if (g_hash_table_size(self->by_number) > 0) {
        rotate_target(self, now_ms);
    }
    GHashTableIter iter;
    gpointer claim = NULL;
    g_hash_table_iter_init(&iter, self->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &claim)) {
        advance_claim(self, now_ms, claim, actions);
    }
}

uint32_t
EyClaims_OpenCount(const EyClaims_t *self)
{
    return g_hash_table_size(self->by_number);
}

json_t *
EyClaims_Dump(const EyClaims_t *self)
{
    uint32_t counts[CLAIM_STATE_COUNT] = {0};
    GHashTableIter iter;
    gpointer claim = NULL;
    g_hash_table_iter_init(&iter, self->by_number);
    while (g_hash_table_iter_next(&iter, NULL, &claim)) {
        counts[((const Claim_t *)claim)->state]++;
    }
    json_t *json = json_object();
    for (uint32_t i = 0; i < CLAIM_STATE_COUNT; i++) {
        (void)json_object_set_new(json, StateNames[i],
                                  json_integer(counts[i]));
    }
    (void)json_object_set_new(json, "view",
                              EySchema_ToJson(&EyView_schema, self->view));
    return json;
}
