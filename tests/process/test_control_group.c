/* Five control processes, of which some are replaced at other addresses; then
 * all are killed and two lose their disks, right after a change was
 * acknowledged. It must be read back, and further changes must be possible. */
#include "core/random.h"
#include "process/control_group.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

static ControlGroup_t Group;

static void
end_group(void)
{
    ControlGroup_End(&Group);
}

TestSuite(control_group, .fini = end_group, .timeout = 240);

/** Whose disks are lost. */
typedef enum Victims {
    VICTIMS_ANY,
    VICTIMS_CONTACTS,
    VICTIMS_LEADER
} Victims_t;

typedef struct Case {
    const char *name;
    uint64_t seed;
    uint32_t replaced;     /* one after the other */
    bool is_in_order;      /* the first one first, else any */
    bool is_planned;       /* the successor first, then SIGTERM */
    bool has_old_contacts; /* --control names the first three all the while */
    Victims_t victims;
} Case_t;

/** The seed of the test, unless another one is given by hand. */
static uint64_t
seed_of(const Case_t *test)
{
    const char *text = getenv("EY_TEST_SEED");
    return text != NULL ? strtoull(text, NULL, 10) : test->seed;
}

/** A process that runs, other than the given one. */
static uint32_t
any_member(EyRandom_t *random, uint32_t other)
{
    for (;;) {
        uint32_t index = (uint32_t)EyRandom_Below(random, Group.count);
        if (index != other && !Group.members[index].is_gone) {
            return index;
        }
    }
}

static void
replace(const Case_t *test, EyRandom_t *random, uint32_t number)
{
    uint32_t index =
        test->is_in_order ? number : any_member(random, Group.count);
    if (!test->has_old_contacts) {
        Group.members[index].is_gone = true;
        ControlGroup_RenewContacts(&Group);
        Group.members[index].is_gone = false;
    }
    if (test->is_planned) {
        (void)ControlGroup_Add(&Group);
        Harness_SleepMs(CONTROL_GROUP_CATCH_UP_MS / 2);
        Process_Signal(&Group.members[index].process, SIGTERM);
        (void)Process_Wait(&Group.members[index].process, 10000);
        ControlGroup_Remove(&Group, index);
        Harness_SleepMs(CONTROL_GROUP_CATCH_UP_MS / 2);
        return;
    }
    ControlGroup_Remove(&Group, index);
    Harness_SleepMs((int64_t)EyRandom_Below(random, 2000));
    (void)ControlGroup_Add(&Group);
    Harness_SleepMs(CONTROL_GROUP_CATCH_UP_MS);
}

static void
run_case(const Case_t *test)
{
    EyRandom_t random = EyRandom_Make(seed_of(test));
    ControlGroup_Start(&Group, test->name);
    cr_assert(ControlGroup_Change(&Group, 1, CONTROL_GROUP_RECOVERY_MS));
    for (uint32_t i = 0; i < test->replaced; i++) {
        replace(test, &random, i);
    }
    uint32_t first = any_member(&random, Group.count);
    uint32_t second = any_member(&random, first);
    if (test->victims == VICTIMS_CONTACTS) {
        first = 1;
        second = 2;
    }
    if (test->victims == VICTIMS_LEADER) {
        first = ControlGroup_Leader(&Group);
        second = any_member(&random, first);
    }
    cr_assert_lt(first, Group.count);
    cr_assert(ControlGroup_Change(&Group, 2, CONTROL_GROUP_RECOVERY_MS));
    cr_expect(ControlGroup_AwaitVersion(&Group, 2, CONTROL_GROUP_APPLY_MS),
              "%s: what was acknowledged is not in force", test->name);
    cr_expect(ControlGroup_AwaitContacts(&Group, CONTROL_GROUP_APPLY_MS),
              "%s: the processes do not know each other", test->name);
    cr_expect(ControlGroup_AwaitWitnesses(&Group, CONTROL_GROUP_WITNESSES,
                                          CONTROL_GROUP_RECOVERY_MS),
              "%s: the record group has too few witnesses", test->name);
    ControlGroup_KillAll(&Group);
    ControlGroup_LoseDisk(&Group, first);
    ControlGroup_LoseDisk(&Group, second);
    Harness_SleepMs(700);
    ControlGroup_StartAll(&Group);
    cr_expect(ControlGroup_AwaitVersion(&Group, 2, CONTROL_GROUP_RECOVERY_MS),
              "%s: what was acknowledged is not read back", test->name);
    cr_expect(ControlGroup_AwaitVoters(&Group, CONTROL_GROUP_CATCH_UP_MS),
              "%s: the voters are not those that run", test->name);
    cr_expect(ControlGroup_Change(&Group, 3, CONTROL_GROUP_RECOVERY_MS),
              "%s: no change is possible", test->name);
}

/* A replaced process stayed a voter, so two lost disks left no quorum. */
Test(control_group, two_disks_are_lost_after_one_was_replaced)
{
    run_case(&(Case_t){.name = "group-one", .seed = 1, .replaced = 1});
}

/* With this seed the gateway asked only control processes that it knew from
 * others of its region, without their addresses. */
Test(control_group, two_disks_are_lost_after_three_planned_replacements)
{
    run_case(&(Case_t){.name = "group-planned",
                       .seed = 110,
                       .replaced = 3,
                       .is_planned = true,
                       .victims = VICTIMS_LEADER});
}

/* Processes that lost their disks stayed outside of the group for ever, where
 * --control named only themselves and one that was gone. */
Test(control_group, the_contacts_lose_their_disks_after_one_was_replaced)
{
    run_case(&(Case_t){.name = "group-contacts",
                       .seed = 1,
                       .replaced = 1,
                       .is_in_order = true,
                       .has_old_contacts = true,
                       .victims = VICTIMS_CONTACTS});
}

/* Gateways that went on while every control process was replaced knew only
 * addresses of those that were gone. */
Test(control_group, two_disks_are_lost_after_each_was_replaced)
{
    run_case(&(Case_t){
        .name = "group-row", .seed = 1, .replaced = 6, .is_in_order = true});
}

#define TABLE(version, service)                                               \
    "{\"version\":" version                                                   \
    ",\"routes\":[],\"services\":[{\"name\":\"" service "\"}]}"
/** A gateway tries the control processes one after the other. */
#define GATEWAY_CALL_MS 5000

typedef struct HeldCase {
    const char *table;
    long status;
} HeldCase_t;

static const HeldCase_t HeldCases[] = {
    {TABLE("7", "first"), 200},
    {TABLE("7", "other"), 200},
    {TABLE("6", "earlier"), 200},
    {TABLE("8", "next"), 503},
};

static void
expect_answers(const Process_t *process, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const HeldCase_t *test = &HeldCases[i];
        Reply_t reply = Http_Call(process->port, "PUT", "/v1/config/routes",
                                  NULL, test->table, GATEWAY_CALL_MS);
        cr_expect_eq(reply.status, test->status, "%s: %s: %ld", process->name,
                     test->table, reply.status);
        Reply_Clear(&reply);
    }
}

/* Its first acknowledgement may be lost; each repeat was another entry of the
 * log, and got no clear answer without a leader. */
Test(control_group, a_table_that_is_held_is_acknowledged_without_a_leader)
{
    ControlGroup_Start(&Group, "group-held");
    Reply_t reply =
        Http_Call(Group.members[0].process.port, "PUT", "/v1/config/routes",
                  NULL, HeldCases[0].table, CONTROL_GROUP_RECOVERY_MS);
    cr_assert_eq(reply.status, 200);
    Reply_Clear(&reply);
    cr_assert(ControlGroup_AwaitVersion(&Group, 7, CONTROL_GROUP_APPLY_MS));
    for (uint32_t i = 0; i < CONTROL_GROUP_SIZE - 2; i++) {
        Process_Kill(&Group.members[i].process);
    }
    Harness_SleepMs(CONTROL_GROUP_APPLY_MS);
    for (uint32_t i = CONTROL_GROUP_SIZE - 2; i < CONTROL_GROUP_SIZE; i++) {
        expect_answers(&Group.members[i].process, G_N_ELEMENTS(HeldCases));
    }
    /* It can't tell whether a process that is gone has taken the last one. */
    expect_answers(&Group.gateway, G_N_ELEMENTS(HeldCases) - 1);
    ControlGroup_StartAll(&Group);
    cr_assert(ControlGroup_AwaitVersion(&Group, 7, CONTROL_GROUP_RECOVERY_MS));
    reply = Http_Call(Group.gateway.port, "GET", "/v1/config/routes", NULL,
                      NULL, GATEWAY_CALL_MS);
    cr_expect_str_eq(reply.body, HeldCases[0].table);
    Reply_Clear(&reply);
}
