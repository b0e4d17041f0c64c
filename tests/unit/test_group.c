#include "core/memory.h"
#include "idempotency/claims.h"
#include "idempotency/group.h"
#include "idempotency/key.h"

#include <criterion/criterion.h>
#include <string.h>

/* Quorums */

typedef struct QuorumCase {
    uint32_t replicas;
    uint32_t witnesses;
    uint32_t ranks;
    bool is_quorum;
} QuorumCase_t;

static const QuorumCase_t QuorumCases[] = {
    {1, 0, 0x0, false},  {1, 0, 0x1, true},
    {2, 0, 0x1, true},  /* half, with the first rank */
    {2, 0, 0x2, false}, /* half, without the first rank */
    {2, 2, 0x3, true},   {2, 2, 0x6, false},
    {2, 2, 0xd, true},   {2, 2, 0xe, true},
    {2, 2, 0xc, false}, /* no replica */
    {2, 3, 0x3, false},  {2, 3, 0xe, true},
    {2, 3, 0x1c, false}, /* a majority, but of witnesses */
    {3, 0, 0x6, true},   {3, 0, 0x4, false},
    {3, 2, 0x7, true},   {3, 2, 0x3, false},
};

static EyView_t *
make_view(void *ctx, uint32_t replicas, uint32_t witnesses)
{
    EyView_t none = {.epoch = 1, .number = 1};
    EyView_t *view = EyView_Copy(ctx, &none);
    for (uint32_t i = 0; i < replicas + witnesses; i++) {
        EyGroupMember_t member = {.incarnation = i + 1,
                                  .is_witness = i >= replicas};
        member.name[0] = (char)('a' + (char)i);
        EyView_Add(view, &member);
    }
    return view;
}

Test(group, quorums)
{
    void *ctx = talloc_new(NULL);
    for (size_t i = 0; i < sizeof(QuorumCases) / sizeof(QuorumCases[0]); i++) {
        const QuorumCase_t *item = &QuorumCases[i];
        EyView_t *view = make_view(ctx, item->replicas, item->witnesses);
        cr_expect_eq(EyView_IsQuorum(view, item->ranks), item->is_quorum,
                     "case %d", (int)i);
    }
    talloc_free(ctx);
}

/** Any two quorums of a view share a member. */
Test(group, any_two_quorums_intersect)
{
    void *ctx = talloc_new(NULL);
    for (uint32_t replicas = 1; replicas <= 4; replicas++) {
        for (uint32_t witnesses = 0; witnesses <= 3; witnesses++) {
            EyView_t *view = make_view(ctx, replicas, witnesses);
            uint32_t sets = 1U << view->member_count;
            for (uint32_t a = 0; a < sets; a++) {
                uint32_t rest = ~a & (sets - 1);
                cr_assert_not(EyView_IsQuorum(view, a) &&
                              EyView_IsQuorum(view, rest));
            }
        }
    }
    talloc_free(ctx);
}

Test(group, replicas_rank_before_witnesses)
{
    void *ctx = talloc_new(NULL);
    EyView_t *view = make_view(ctx, 2, 2);
    EyGroupMember_t late = {.name = "late", .incarnation = 9};
    EyView_Add(view, &late);
    cr_assert_eq(EyView_Find(view, "late", 9), 2);
    cr_assert_eq(EyView_Find(view, "late", 8), -1);
    cr_assert(view->members[3].is_witness);
    talloc_free(ctx);
}

/* Keys */

typedef struct KeyCase {
    const char *key;
    bool is_issued;
    uint64_t epoch;
    const char *region;
} KeyCase_t;

static const KeyCase_t KeyCases[] = {
    {"ey1:3:0123456789abcdef0123456789abcdef:istra", true, 3, "istra"},
    {"ey1:3:0123456789abcdef0123456789abcdef:", false, 0, ""},
    {"ey1:3:0123456789abcdef0123456789abcde:istra", false, 0, ""},
    {"ey1:-3:0123456789abcdef0123456789abcdef:istra", false, 0, ""},
    {"ey1::0123456789abcdef0123456789abcdef:istra", false, 0, ""},
    {"order-17", false, 0, ""},
};

Test(group, keys)
{
    EyKeyOrigin_t origin;
    for (size_t i = 0; i < sizeof(KeyCases) / sizeof(KeyCases[0]); i++) {
        const KeyCase_t *item = &KeyCases[i];
        cr_expect_eq(EyKey_Parse(item->key, &origin), item->is_issued);
        cr_expect_eq(origin.epoch, item->epoch);
        cr_expect_str_eq(origin.region, item->region);
    }
    EyKey_t key;
    EyKey_Issue("istra", 7, 1, 2, key);
    cr_assert(EyKey_Parse(key, &origin));
    cr_assert_eq(origin.epoch, 7);
    cr_assert(EyKey_IsValid(key));
    cr_assert_not(EyKey_IsValid(""));
    cr_assert_not(EyKey_IsValid("two words"));
}

/* One member and its claimant */

typedef struct Solo {
    void *ctx;
    EyGroup_t *group;
    EyClaims_t *claims;
    int64_t now_ms;
    EyGroupActions_t *decided; /* DECIDED actions, in order */
    EyGroupActions_t *writes;  /* PERSIST actions, in order */
} Solo_t;

static void
carry_out(Solo_t *solo, const EyGroupActions_t *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        EyGroupAction_t *action = actions->items[i];
        if (action->kind != EY_GROUP_ACTION_SEND) {
            EyGroupActions_t *list = action->kind == EY_GROUP_ACTION_DECIDED
                                         ? solo->decided
                                         : solo->writes;
            EyGroupAction_t *copy = EyGroupActions_Add(list, action->kind);
            *copy = *action;
            (void)talloc_steal(copy, action);
            continue;
        }
        EyGroupActions_t *next = EyGroupActions_New(solo->ctx);
        EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_MESSAGE,
                                .from = "solo",
                                .message = action->message};
        if (EyClaims_Handles(action->message)) {
            EyClaims_Message(solo->claims, solo->now_ms, "solo",
                             action->message, next);
        }
        else {
            EyGroup_Step(solo->group, solo->now_ms, &event, next);
        }
        carry_out(solo, next);
    }
}

static void
step(Solo_t *solo, const EyGroupEvent_t *event)
{
    EyGroupActions_t *actions = EyGroupActions_New(solo->ctx);
    EyGroup_Step(solo->group, solo->now_ms, event, actions);
    carry_out(solo, actions);
}

static Solo_t
make_solo(bool has_disk, uint32_t count_max, uint64_t epoch)
{
    static const EyGroupMember_t Member = {.name = "solo", .incarnation = 5};
    Solo_t solo = {.ctx = talloc_new(NULL), .now_ms = 1000};
    EyGroupOptions_t options = {
        .name = "solo",
        .region = "istra",
        .incarnation = 5,
        .has_disk = has_disk,
        .limits = {.count_max = count_max},
    };
    EyClaimsOptions_t claims_options = {
        .name = "solo", .region = "istra", .incarnation = 6};
    solo.group = EyGroup_New(solo.ctx, &options, NULL, solo.now_ms);
    solo.claims = EyClaims_New(solo.ctx, &claims_options);
    solo.decided = EyGroupActions_New(solo.ctx);
    solo.writes = EyGroupActions_New(solo.ctx);
    EyClaims_SetMembers(solo.claims, &Member, 1);
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_EPOCH,
                            .epoch = epoch,
                            .members = &Member,
                            .member_count = 1};
    step(&solo, &event);
    return solo;
}

/** Claims a key and returns the decision, or NULL if there is none yet. */
static const EyGroupAction_t *
claim(Solo_t *solo, uint64_t number, const char *key, uint64_t fingerprint)
{
    uint32_t before = solo->decided->count;
    EyGroupActions_t *actions = EyGroupActions_New(solo->ctx);
    EyClaims_Claim(solo->claims, solo->now_ms, number, key, fingerprint,
                   solo->now_ms + 1000, actions);
    carry_out(solo, actions);
    return solo->decided->count > before ? solo->decided->items[before] : NULL;
}

Test(group, decisions)
{
    Solo_t solo = make_solo(false, 2, 1);
    cr_assert_eq(claim(&solo, 1, "a", 1)->decision, EY_GROUP_DECISION_GRANTED);
    cr_assert_null(claim(&solo, 2, "a", 1));
    const EyGroupAction_t *mismatch = claim(&solo, 3, "a", 2);
    cr_assert_eq(mismatch->decision, EY_GROUP_DECISION_MISMATCH);
    cr_assert_eq(mismatch->outcome, EY_OUTCOME_NOT_RUN);
    EyBytes_t answer = {.data = (uint8_t *)"paid", .size_bytes = 4};
    EyGroupActions_t *actions = EyGroupActions_New(solo.ctx);
    EyClaims_Complete(solo.claims, solo.now_ms, 1, &answer, actions);
    carry_out(&solo, actions);
    const EyGroupAction_t *replay = claim(&solo, 4, "a", 1);
    cr_assert_eq(replay->decision, EY_GROUP_DECISION_REPLAY);
    cr_assert_eq(replay->outcome, EY_OUTCOME_COMPLETED);
    cr_assert_eq(replay->answer.size_bytes, 4);
    cr_assert_eq(claim(&solo, 5, "b", 1)->decision, EY_GROUP_DECISION_GRANTED);
    const EyGroupAction_t *refusal = claim(&solo, 6, "c", 1);
    cr_assert_eq(refusal->decision, EY_GROUP_DECISION_REFUSED);
    cr_assert_eq(refusal->reason, EY_REASON_FULL);
    cr_assert_eq(refusal->outcome, EY_OUTCOME_NOT_RUN);
    cr_assert_gt(refusal->retry_after_ms, 0);
    talloc_free(solo.ctx);
}

typedef struct EpochCase {
    const char *key;
    EyGroupDecision_t decision;
    EyGroupReason_t reason;
} EpochCase_t;

/** In epoch 2, keys that may be from epoch 1, whose records are lost, don't
 * run. */
static const EpochCase_t EpochCases[] = {
    {"plain", EY_GROUP_DECISION_UNKNOWN, EY_REASON_OTHER_EPOCH},
    {"ey1:1:0123456789abcdef0123456789abcdef:istra", EY_GROUP_DECISION_UNKNOWN,
     EY_REASON_OTHER_EPOCH},
    {"ey1:3:0123456789abcdef0123456789abcdef:istra", EY_GROUP_DECISION_UNKNOWN,
     EY_REASON_OTHER_EPOCH},
    {"ey1:2:0123456789abcdef0123456789abcdef:zagreb",
     EY_GROUP_DECISION_UNKNOWN, EY_REASON_OTHER_REGION},
    {"ey1:2:0123456789abcdef0123456789abcdef:istra", EY_GROUP_DECISION_GRANTED,
     EY_REASON_NONE},
};

Test(group, keys_of_earlier_epochs_are_unknown)
{
    Solo_t solo = make_solo(false, 0, 2);
    for (size_t i = 0; i < sizeof(EpochCases) / sizeof(EpochCases[0]); i++) {
        const EyGroupAction_t *action =
            claim(&solo, i + 1, EpochCases[i].key, 1);
        cr_expect_eq(action->decision, EpochCases[i].decision, "%d", (int)i);
        cr_expect_eq(action->reason, EpochCases[i].reason, "%d", (int)i);
    }
    /* Plain keys run again after the retention time, which passes in steps
     * that the age clock accepts. */
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_TICK};
    for (uint32_t i = 0; i < 24 * 60 * 60; i++) {
        solo.now_ms += 1000;
        EyGroupActions_t *actions = EyGroupActions_New(solo.ctx);
        EyGroup_Step(solo.group, solo.now_ms, &event, actions);
        talloc_free(actions);
    }
    cr_assert_eq(claim(&solo, 99, "plain", 1)->decision,
                 EY_GROUP_DECISION_GRANTED);
    talloc_free(solo.ctx);
}

/** Reports the last write as synced. */
static void
sync_last_write(Solo_t *solo)
{
    const EyGroupAction_t *last = solo->writes->items[solo->writes->count - 1];
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_PERSISTED,
                            .serial = last->state->serial};
    step(solo, &event);
}

Test(group, grant_waits_until_record_is_persisted)
{
    Solo_t solo = make_solo(true, 0, 1);
    sync_last_write(&solo);
    cr_assert_null(claim(&solo, 1, "a", 1));
    sync_last_write(&solo);
    cr_assert_eq(solo.decided->count, 1);
    cr_assert_eq(solo.decided->items[0]->decision, EY_GROUP_DECISION_GRANTED);
    talloc_free(solo.ctx);
}

/** A leader that appended before its view is synced could lose the view in a
 * restart, lead it again and assign the same versions to other records. */
Test(group, leader_appends_nothing_before_its_view_is_synced)
{
    Solo_t solo = make_solo(true, 0, 1);
    uint32_t writes = solo.writes->count;
    cr_assert_null(claim(&solo, 1, "a", 1));
    cr_assert_eq(solo.writes->count, writes);
    cr_assert_not(EyGroup_IsServing(solo.group));
    sync_last_write(&solo);
    cr_assert(EyGroup_IsServing(solo.group));
    talloc_free(solo.ctx);
}

Test(group, member_with_broken_disk_stops)
{
    Solo_t solo = make_solo(true, 0, 1);
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_PERSIST_FAILED};
    step(&solo, &event);
    cr_assert_null(claim(&solo, 1, "a", 1));
    cr_assert_not(EyGroup_IsServing(solo.group));
    talloc_free(solo.ctx);
}

Test(group, member_whose_disk_has_room_again_goes_on)
{
    Solo_t solo = make_solo(true, 0, 1);
    EyGroupEvent_t failed = {.kind = EY_GROUP_EVENT_PERSIST_FAILED};
    step(&solo, &failed);
    solo.now_ms += 3000;
    sync_last_write(&solo);
    EyGroupEvent_t tick = {.kind = EY_GROUP_EVENT_TICK};
    for (uint32_t i = 0; i < 50 && !EyGroup_IsServing(solo.group); i++) {
        solo.now_ms += 100;
        step(&solo, &tick);
        sync_last_write(&solo);
    }
    cr_assert(EyGroup_IsServing(solo.group));
    cr_assert_null(claim(&solo, 1, "a", 1));
    sync_last_write(&solo);
    cr_assert_eq(solo.decided->count, 1);
    cr_expect_eq(solo.decided->items[0]->decision, EY_GROUP_DECISION_GRANTED);
    talloc_free(solo.ctx);
}

Test(group, claim_without_leader_ends_as_unknown)
{
    void *ctx = talloc_new(NULL);
    EyClaimsOptions_t options = {
        .name = "solo", .region = "istra", .incarnation = 6};
    EyClaims_t *claims = EyClaims_New(ctx, &options);
    EyGroupActions_t *actions = EyGroupActions_New(ctx);
    EyClaims_Claim(claims, 0, 1, "a", 1, 60000, actions);
    for (int64_t now_ms = 50; now_ms <= 3000; now_ms += 50) {
        cr_assert_eq(actions->count, 0);
        EyClaims_Tick(claims, now_ms, actions);
    }
    cr_assert_eq(actions->count, 1);
    cr_assert_eq(actions->items[0]->reason, EY_REASON_NO_LEADER);
    cr_assert_eq(actions->items[0]->outcome, EY_OUTCOME_UNKNOWN);
    talloc_free(ctx);
}

/* One of three members: a is the leader, b and c follow */

static const EyGroupMember_t Three[] = {
    {.name = "a", .incarnation = 1},
    {.name = "b", .incarnation = 2},
    {.name = "c", .incarnation = 3},
};

static EyGroup_t *
make_member(void *ctx, uint32_t index, const EyGroupState_t *restored)
{
    EyGroupOptions_t options = {
        .region = "istra",
        .incarnation = Three[index].incarnation,
        .limits = {.count_max = 1},
    };
    (void)EY_COPY(options.name, Three[index].name);
    EyGroup_t *group = EyGroup_New(ctx, &options, restored, 0);
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_EPOCH,
                            .epoch = 1,
                            .members = Three,
                            .member_count = 3};
    EyGroup_Step(group, 0, &event, EyGroupActions_New(ctx));
    return group;
}

/** Passes a message of one of the three members; returns the actions, a talloc
 * child of ctx. */
static EyGroupActions_t *
deliver(void *ctx, EyGroup_t *group, uint32_t from, EyGroupMessage_t *message)
{
    message->from_incarnation = Three[from].incarnation;
    message->epoch = 1;
    message->view_number = 1;
    EyGroupActions_t *actions = EyGroupActions_New(ctx);
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_MESSAGE,
                            .message = message};
    (void)EY_COPY(event.from, Three[from].name);
    EyGroup_Step(group, 1, &event, actions);
    return actions;
}

static const EyGroupMessage_t *
find_message(const EyGroupActions_t *actions, EyGroupMessageKind_t kind)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyGroupMessage_t *message = actions->items[i]->message;
        if (message != NULL && message->kind == kind) {
            return message;
        }
    }
    return NULL;
}

static EyGroupMessage_t
make_append(EyRecord_t *record)
{
    record->key = (char *)"key";
    record->version = 1;
    return (EyGroupMessage_t){.kind = EY_GROUP_APPEND,
                              .to_version = 1,
                              .records = record,
                              .record_count = 1};
}

Test(group, promise_survives_a_restart)
{
    void *ctx = talloc_new(NULL);
    EyGroup_t *group = make_member(ctx, 1, NULL);
    EyGroupMessage_t high = {.kind = EY_GROUP_PREPARE, .ballot = 50};
    (void)deliver(ctx, group, 2, &high);
    EyGroupState_t *state = EyGroup_Snapshot(group, ctx);
    EyGroup_t *restarted = make_member(ctx, 1, state);
    EyGroupMessage_t low = {.kind = EY_GROUP_PREPARE, .ballot = 33};
    const EyGroupMessage_t *promise =
        find_message(deliver(ctx, restarted, 2, &low), EY_GROUP_PROMISE);
    cr_assert_eq(promise->ballot, 50);
    EyRecord_t record = {0};
    EyGroupMessage_t append = make_append(&record);
    (void)deliver(ctx, restarted, 0, &append);
    cr_assert_eq(EyRecords_Count(EyGroup_Records(restarted)), 0);
    talloc_free(ctx);
}

Test(group, member_that_accepted_a_view_refuses_appends)
{
    void *ctx = talloc_new(NULL);
    EyGroup_t *group = make_member(ctx, 1, NULL);
    EyGroupMessage_t propose = {.kind = EY_GROUP_PROPOSE, .ballot = 16};
    propose.view = *EyView_Copy(ctx, EyGroup_View(group));
    propose.view.number = 2;
    cr_assert_not_null(
        find_message(deliver(ctx, group, 0, &propose), EY_GROUP_ACCEPT));
    EyRecord_t record = {0};
    EyGroupMessage_t append = make_append(&record);
    const EyGroupMessage_t *ack =
        find_message(deliver(ctx, group, 0, &append), EY_GROUP_APPEND_ACK);
    cr_assert(ack->accepted);
    cr_assert_eq(EyRecords_Count(EyGroup_Records(group)), 0);
    talloc_free(ctx);
}

Test(group, member_removed_from_view_clears_its_records)
{
    void *ctx = talloc_new(NULL);
    EyGroup_t *group = make_member(ctx, 1, NULL);
    EyRecord_t record = {0};
    EyGroupMessage_t append = make_append(&record);
    (void)deliver(ctx, group, 0, &append);
    cr_assert_eq(EyRecords_Count(EyGroup_Records(group)), 1);
    EyGroupMessage_t install = {.kind = EY_GROUP_INSTALL};
    install.view = *EyView_Copy(ctx, EyGroup_View(group));
    install.view.number = 2;
    install.view.member_count = 1;
    (void)deliver(ctx, group, 0, &install);
    cr_assert_eq(EyGroup_View(group)->number, 2);
    cr_assert_eq(EyRecords_Count(EyGroup_Records(group)), 0);
    talloc_free(ctx);
}

/** A refusal because of a full table is sent only once all replicas have
 * acknowledged it. */
Test(group, refusal_needs_all_replicas)
{
    void *ctx = talloc_new(NULL);
    EyGroup_t *group = make_member(ctx, 0, NULL);
    for (uint32_t from = 1; from < 3; from++) {
        EyGroupMessage_t ack = {.kind = EY_GROUP_APPEND_ACK};
        (void)deliver(ctx, group, from, &ack);
    }
    EyGroupMessage_t first = {.kind = EY_GROUP_CLAIM,
                              .key = (char *)"first",
                              .claim = {.instance = "b", .number = 1}};
    (void)deliver(ctx, group, 1, &first);
    EyGroupMessage_t second = {.kind = EY_GROUP_CLAIM,
                               .key = (char *)"second",
                               .claim = {.instance = "b", .number = 2}};
    cr_assert_null(
        find_message(deliver(ctx, group, 1, &second), EY_GROUP_DECISION));
    const EyGroupMessage_t *decision = NULL;
    for (uint32_t from = 1; from < 3; from++) {
        cr_assert_null(decision);
        EyGroupMessage_t ack = {.kind = EY_GROUP_APPEND_ACK,
                                .version = UINT64_C(2) << 32};
        EyGroupActions_t *actions = deliver(ctx, group, from, &ack);
        decision = find_message(actions, EY_GROUP_DECISION);
    }
    cr_assert_not_null(decision);
    talloc_free(ctx);
}

#define CONTACT_COUNT 12

/** Marks the contacts that the member sends JOIN to. */
static void
mark_asked(const EyGroupActions_t *actions, const EyName_t *contacts,
           bool *asked)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyGroupAction_t *action = actions->items[i];
        for (uint32_t c = 0; c < CONTACT_COUNT; c++) {
            asked[c] |= action->kind == EY_GROUP_ACTION_SEND &&
                        action->message->kind == EY_GROUP_JOIN &&
                        strcmp(action->to, contacts[c]) == 0;
        }
    }
}

/** The contacts are set again and again, as members change; each of them must
 * be asked in its turn all the same. */
Test(group, every_contact_is_asked_though_the_list_is_set_again)
{
    void *ctx = talloc_new(NULL);
    EyGroupOptions_t options = {
        .name = "late", .region = "istra", .incarnation = 9};
    EyGroup_t *group = EyGroup_New(ctx, &options, NULL, 1000);
    EyName_t contacts[CONTACT_COUNT];
    bool asked[CONTACT_COUNT] = {false};
    for (uint32_t c = 0; c < CONTACT_COUNT; c++) {
        (void)g_snprintf(contacts[c], sizeof(contacts[c]), "gw-%u", c);
    }
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_TICK};
    for (int64_t now_ms = 1500; now_ms <= 4000; now_ms += 500) {
        EyGroup_SetContacts(group, contacts, CONTACT_COUNT);
        EyGroupActions_t *actions = EyGroupActions_New(ctx);
        EyGroup_Step(group, now_ms, &event, actions);
        mark_asked(actions, contacts, asked);
    }
    for (uint32_t c = 0; c < CONTACT_COUNT; c++) {
        cr_expect(asked[c], "%s was not asked", contacts[c]);
    }
    talloc_free(ctx);
}

/* Bytes of an answer, which takes longer than a second at 7.5 Mbit/s. */
#define LARGE_ANSWER_BYTES (UINT64_C(1024) * 1024)

/** Makes the leader of the three members store a large answer. */
static EyGroup_t *
make_leader_with_answer(void *ctx, EyGroupActions_t **sent)
{
    EyGroup_t *group = make_member(ctx, 0, NULL);
    for (uint32_t from = 1; from < 3; from++) {
        EyGroupMessage_t ack = {.kind = EY_GROUP_APPEND_ACK};
        (void)deliver(ctx, group, from, &ack);
    }
    const EyClaimId_t claim = {.instance = "b", .number = 1};
    EyGroupMessage_t begin = {
        .kind = EY_GROUP_CLAIM, .key = (char *)"key", .claim = claim};
    (void)deliver(ctx, group, 1, &begin);
    for (uint32_t from = 1; from < 3; from++) {
        EyGroupMessage_t ack = {.kind = EY_GROUP_APPEND_ACK,
                                .version = UINT64_C(1) << 32};
        (void)deliver(ctx, group, from, &ack);
    }
    EyGroupMessage_t complete = {
        .kind = EY_GROUP_COMPLETE,
        .key = (char *)"key",
        .claim = claim,
        .answer = {.data = talloc_zero_size(ctx, LARGE_ANSWER_BYTES),
                   .size_bytes = LARGE_ANSWER_BYTES}};
    *sent = deliver(ctx, group, 1, &complete);
    return group;
}

/** Returns the bytes of answers that are appended at a member. */
static uint64_t
appended_bytes(const EyGroupActions_t *actions, const char *to)
{
    uint64_t size_bytes = 0;
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyGroupAction_t *action = actions->items[i];
        bool is_append = action->kind == EY_GROUP_ACTION_SEND &&
                         action->message->kind == EY_GROUP_APPEND &&
                         strcmp(action->to, to) == 0;
        for (uint32_t j = 0; is_append && j < action->message->record_count;
             j++) {
            size_bytes += action->message->records[j].answer.size_bytes;
        }
    }
    return size_bytes;
}

Test(group, large_record_is_not_sent_again_while_it_is_on_its_way)
{
    void *ctx = talloc_new(NULL);
    EyGroupActions_t *actions = NULL;
    EyGroup_t *group = make_leader_with_answer(ctx, &actions);
    uint64_t sent_bytes = appended_bytes(actions, "b");
    cr_assert_eq(sent_bytes, LARGE_ANSWER_BYTES);
    for (int64_t now_ms = 10; now_ms < 900; now_ms += 10) {
        actions = EyGroupActions_New(ctx);
        EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_TICK};
        EyGroup_Step(group, now_ms, &event, actions);
        sent_bytes += appended_bytes(actions, "b");
    }
    cr_expect_eq(sent_bytes, LARGE_ANSWER_BYTES, "%.1f copies",
                 (double)sent_bytes / LARGE_ANSWER_BYTES);
    talloc_free(ctx);
}

Test(group, large_record_that_is_lost_is_sent_again)
{
    void *ctx = talloc_new(NULL);
    EyGroupActions_t *actions = NULL;
    EyGroup_t *group = make_leader_with_answer(ctx, &actions);
    uint64_t sent_bytes = appended_bytes(actions, "b");
    for (int64_t now_ms = 10; now_ms < 400; now_ms += 10) {
        actions = EyGroupActions_New(ctx);
        EyGroupMessage_t stale = {.kind = EY_GROUP_APPEND_ACK,
                                  .from_incarnation = Three[1].incarnation,
                                  .epoch = 1,
                                  .view_number = 1,
                                  .version = UINT64_C(1) << 32};
        EyGroupEvent_t event = {.kind = now_ms % 100 == 0
                                            ? EY_GROUP_EVENT_MESSAGE
                                            : EY_GROUP_EVENT_TICK,
                                .from = "b",
                                .message = &stale};
        EyGroup_Step(group, now_ms, &event, actions);
        sent_bytes += appended_bytes(actions, "b");
    }
    cr_expect_geq(sent_bytes, 2 * LARGE_ANSWER_BYTES);
    talloc_free(ctx);
}

/** Passes a JOIN of an instance in its incarnation. */
static void
join_as(void *ctx, EyGroup_t *group, const char *name, uint64_t incarnation)
{
    EyGroupMessage_t message = {.kind = EY_GROUP_JOIN,
                                .from_incarnation = incarnation};
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_MESSAGE,
                            .message = &message};
    (void)EY_COPY(event.from, name);
    EyGroup_Step(group, 1, &event, EyGroupActions_New(ctx));
}

/* Guards against a region that refuses all purchases for good: a member that
 * had been asked by many gateways, most of them gone, took no note any more
 * that the others of its view had restarted without their records. */
Test(group, a_lost_quorum_is_noticed_after_many_gateways_came_and_went)
{
    static const uint32_t Earlier[] = {0, 1, 31, 32, 33, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(Earlier); i++) {
        void *ctx = talloc_new(NULL);
        EyGroup_t *group = make_member(ctx, 0, NULL);
        for (uint32_t g = 0; g < Earlier[i]; g++) {
            char name[32];
            (void)g_snprintf(name, sizeof(name), "gw-%u", g);
            join_as(ctx, group, name, g + 1);
        }
        join_as(ctx, group, "b", 20);
        join_as(ctx, group, "c", 30);
        const EyGroupEvent_t tick = {.kind = EY_GROUP_EVENT_TICK};
        EyGroup_Step(group, 10000, &tick, EyGroupActions_New(ctx));
        EyGroupMember_t members[EY_VIEW_MEMBERS_MAX];
        uint32_t count = 0;
        cr_expect(EyGroup_HasLostQuorum(group, members, &count),
                  "after %u gateways", Earlier[i]);
        talloc_free(ctx);
    }
}
