/* Contacts in remote regions: how many of each role are kept. */
#include "core/memory.h"
#include "membership/members.h"

#include <criterion/criterion.h>
#include <stdio.h>

static const char Region[] = "istra";

static EyMember_t
make_member(const char *region, EyMemberRole_t role, uint32_t number)
{
    EyMember_t member = {
        .incarnation = 1, .role = role, .state = EY_MEMBER_ALIVE};
    (void)snprintf(member.id, sizeof(member.id), "%s-%d-%u", region, (int)role,
                   number);
    (void)snprintf(member.peer_address, sizeof(member.peer_address),
                   "10.0.%d.%u:7000", (int)role, number);
    (void)EY_COPY(member.region, region);
    return member;
}

/** Adds contacts of a role, each seen a second after the one before. */
static void
add_contacts(EyMembers_t *members, EyMemberRole_t role, uint32_t count,
             int64_t *now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        EyMember_t member = make_member(Region, role, i);
        *now_ms += 1000;
        cr_expect(EyMembers_PutContact(members, *now_ms, &member));
        cr_expect_not(EyMembers_PutContact(members, *now_ms, &member));
    }
}

static uint32_t
count_contacts(const EyMembers_t *members, EyMemberRole_t role)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t count = 0;
    g_hash_table_iter_init(&iterator, members->contacts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const EyContact_t *contact = value;
        count += contact->member.role == role;
    }
    return count;
}

typedef struct Case {
    const char *name;
    uint32_t gateways;
    uint32_t controls; /* seen after the gateways */
    uint32_t kept_gateways;
    uint32_t kept_controls;
} Case_t;

/* Guards against contacts in a region that are all of control processes, most
 * of them replaced: nothing could be forwarded there. */
Test(members, control_processes_take_no_places_of_gateways)
{
    static const Case_t Cases[] = {
        {"few", 2, 2, 2, 2},
        {"many gateways", 9, 2, 4, 2},
        {"as many control processes as gateways", 4, 4, 4, 4},
        {"control processes that were replaced", 4, 12, 4, 12},
        {"more of them than are kept", 4, 40, 4, 16},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const Case_t *test = &Cases[i];
        EyMember_t own = make_member("zagreb", EY_MEMBER_GATEWAY, 0);
        EyMembers_t *members = EyMembers_New(NULL, &own);
        int64_t now_ms = 0;
        add_contacts(members, EY_MEMBER_GATEWAY, test->gateways, &now_ms);
        add_contacts(members, EY_MEMBER_CONTROL, test->controls, &now_ms);
        cr_expect_eq(count_contacts(members, EY_MEMBER_GATEWAY),
                     test->kept_gateways, "%s", test->name);
        cr_expect_eq(count_contacts(members, EY_MEMBER_CONTROL),
                     test->kept_controls, "%s", test->name);
        talloc_free(members);
    }
}

/* Guards against messages to contacts that are dropped: the sockets must get
 * the address of a contact also if a third instance has sent it. */
Test(members, a_contact_that_moved_is_reported)
{
    EyMember_t own = make_member("zagreb", EY_MEMBER_GATEWAY, 0);
    EyMembers_t *members = EyMembers_New(NULL, &own);
    EyMember_t contact = make_member(Region, EY_MEMBER_CONTROL, 1);
    (void)EY_COPY(contact.peer_address, "10.0.0.1:7000");
    cr_expect(EyMembers_PutContact(members, 1, &contact), "new");
    cr_expect_not(EyMembers_PutContact(members, 2, &contact), "known");
    contact.incarnation++;
    cr_expect_not(EyMembers_PutContact(members, 3, &contact), "restarted");
    (void)EY_COPY(contact.peer_address, "10.0.0.2:7000");
    cr_expect(EyMembers_PutContact(members, 4, &contact), "moved");
    (void)EY_COPY(contact.peer_address, "10.0.0.1:7000");
    contact.incarnation--;
    cr_expect_not(EyMembers_PutContact(members, 5, &contact), "outdated");
    talloc_free(members);
}
