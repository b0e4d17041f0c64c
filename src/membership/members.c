#include "membership/members.h"

#include "core/memory.h"

#include <string.h>

/* Gossip rounds in which each instance forwards a change. */
#define CHANGE_ROUNDS 2
/* How long the record of a gone instance is kept and exchanged. */
#define GONE_KEPT_MS 600000
/* Gone incarnations remembered beyond that time, one per instance. */
#define GONE_INCARNATIONS_MAX 8192
#define GATEWAY_CONTACTS_PER_REGION 4
#define CONTROL_CONTACTS_PER_REGION 16
#define CONTACTS_MAX 256
/* Age after which a contact's address is contacted again if it is a seed, and
 * age after which the contact is dropped. */
#define CONTACT_STALE_MS 240000
#define CONTACT_EXPIRY_MS 600000

EyMemberEntry_t *
EyMembers_Find(const EyMembers_t *self, const char *id)
{
    return g_hash_table_lookup(self->entries, id);
}

static uint64_t
record_hash(const EyMember_t *member)
{
    uint64_t hash = EyDigest_HashId(member->id);
    hash = EyDigest_Mix(hash, member->incarnation);
    hash = EyDigest_Mix(hash, member->serial);
    return EyDigest_Mix(hash, (uint64_t)member->state);
}

/** Adds an entry to the digest or removes it. Gone instances aren't part of
 * the digest, so that tables don't differ by when they drop them. */
static void
toggle_digest(EyMembers_t *self, const EyMemberEntry_t *entry)
{
    if (!EyMember_IsGone(&entry->member)) {
        EyDigest_Toggle(&self->digest, entry->member.id,
                        record_hash(&entry->member));
    }
}

static gint
compare_ring_positions(gconstpointer left, gconstpointer right)
{
    const EyMemberEntry_t *one = *(EyMemberEntry_t *const *)left;
    const EyMemberEntry_t *other = *(EyMemberEntry_t *const *)right;
    if (one->ring_position != other->ring_position) {
        return one->ring_position < other->ring_position ? -1 : 1;
    }
    return strcmp(one->member.id, other->member.id);
}

static void
rebuild_ring(EyMembers_t *self)
{
    GHashTableIter entries;
    gpointer data = NULL;
    g_ptr_array_set_size(self->ring, 0);
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyMemberEntry_t *entry = data;
        if (!EyMember_IsGone(&entry->member)) {
            g_ptr_array_add(self->ring, data);
        }
    }
    g_ptr_array_sort(self->ring, compare_ring_positions);
}

uint32_t
EyMembers_OwnRingIndex(const EyMembers_t *self)
{
    for (uint32_t i = 0; i < self->ring->len; i++) {
        if (self->ring->pdata[i] == self->own) {
            return i;
        }
    }
    return 0;
}

uint64_t
EyMembers_GoneIncarnation(const EyMembers_t *self, const char *id)
{
    const uint64_t *gone_incarnation =
        g_hash_table_lookup(self->gone_incarnations, id);
    return gone_incarnation == NULL ? 0 : *gone_incarnation;
}

static void
raise_gone_incarnation(EyMembers_t *self, const char *id, uint64_t incarnation)
{
    uint64_t *gone_incarnation =
        g_hash_table_lookup(self->gone_incarnations, id);
    if (gone_incarnation == NULL) {
        if (g_hash_table_size(self->gone_incarnations) >=
            GONE_INCARNATIONS_MAX) {
            return;
        }
        gone_incarnation = g_new0(uint64_t, 1);
        (void)g_hash_table_insert(self->gone_incarnations, g_strdup(id),
                                  gone_incarnation);
    }
    *gone_incarnation = MAX(*gone_incarnation, incarnation);
}

EyMemberEntry_t *
EyMembers_Put(EyMembers_t *self, int64_t now_ms, const EyMember_t *member)
{
    EyMemberEntry_t *entry = EyMembers_Find(self, member->id);
    if (entry == NULL) {
        entry = g_new0(EyMemberEntry_t, 1);
        (void)EY_COPY(entry->member.id, member->id);
        entry->ring_position = EyDigest_HashId(member->id);
        entry->member.state = EY_MEMBER_GONE;
        (void)g_hash_table_insert(self->entries, entry->member.id, entry);
    }
    bool is_new_incarnation = entry->member.incarnation != member->incarnation;
    EyVitals_t vitals = entry->member.vitals;
    toggle_digest(self, entry);
    entry->member = *member;
    toggle_digest(self, entry);
    if (!is_new_incarnation && vitals.serial > member->vitals.serial) {
        entry->member.vitals = vitals;
    }
    entry->change_rounds = CHANGE_ROUNDS;
    if (is_new_incarnation || EyMember_IsGone(member)) {
        entry->monitored = false;
        entry->suspect = false;
    }
    if (EyMember_IsGone(member)) {
        entry->gone_ms = now_ms;
        raise_gone_incarnation(self, member->id, member->incarnation);
    }
    rebuild_ring(self);
    return entry;
}

/** Most contacts of a role in each remote region. Those of control processes
 * that were replaced stay until they expire, so they are counted apart from
 * gateways. */
static uint32_t
contacts_max(EyMemberRole_t role)
{
    return role == EY_MEMBER_GATEWAY ? GATEWAY_CONTACTS_PER_REGION
                                     : CONTROL_CONTACTS_PER_REGION;
}

/** Drops the contact of this region and role that was seen least recently, if
 * there are too many of them. */
static void
evict_oldest_contact(EyMembers_t *self, const char *region,
                     EyMemberRole_t role)
{
    GHashTableIter contacts;
    gpointer data = NULL;
    const EyContact_t *oldest = NULL;
    uint32_t count = 0;
    g_hash_table_iter_init(&contacts, self->contacts);
    while (g_hash_table_iter_next(&contacts, NULL, &data)) {
        const EyContact_t *contact = data;
        if (contact->member.role != role ||
            strcmp(contact->member.region, region) != 0)
        {
            continue;
        }
        count++;
        if (oldest == NULL || contact->last_seen_ms < oldest->last_seen_ms) {
            oldest = contact;
        }
    }
    if (oldest != NULL && count > contacts_max(role)) {
        (void)g_hash_table_remove(self->contacts, oldest->member.id);
    }
}

bool
EyMembers_PutContact(EyMembers_t *self, int64_t last_seen_ms,
                     const EyMember_t *member)
{
    EyContact_t *contact = g_hash_table_lookup(self->contacts, member->id);
    if (member->incarnation <= EyMembers_GoneIncarnation(self, member->id)) {
        return false;
    }
    if (EyMember_IsGone(member)) {
        (void)g_hash_table_remove(self->contacts, member->id);
        raise_gone_incarnation(self, member->id, member->incarnation);
        return false;
    }
    if (contact == NULL) {
        if (g_hash_table_size(self->contacts) >= CONTACTS_MAX) {
            return false;
        }
        contact = g_new0(EyContact_t, 1);
        (void)g_hash_table_insert(self->contacts, g_strdup(member->id),
                                  contact);
    }
    else if (member->incarnation < contact->member.incarnation) {
        return false;
    }
    bool has_moved =
        strcmp(contact->member.peer_address, member->peer_address) != 0;
    contact->member = *member;
    contact->last_seen_ms = MAX(contact->last_seen_ms, last_seen_ms);
    evict_oldest_contact(self, member->region, member->role);
    return has_moved;
}

static bool
is_newer(const EyMember_t *member, const EyMember_t *than)
{
    if (member->incarnation != than->incarnation) {
        return member->incarnation > than->incarnation;
    }
    if (EyMember_IsGone(member) != EyMember_IsGone(than)) {
        return EyMember_IsGone(member);
    }
    return member->serial > than->serial;
}

bool
EyMembers_IsNewer(EyMembers_t *self, const EyMember_t *member)
{
    if (!EyMember_IsGone(member) &&
        member->incarnation <= EyMembers_GoneIncarnation(self, member->id))
    {
        return false;
    }
    const EyMemberEntry_t *entry = EyMembers_Find(self, member->id);
    if (entry == NULL && EyMember_IsGone(member)) {
        raise_gone_incarnation(self, member->id, member->incarnation);
        return false;
    }
    return entry == NULL || is_newer(member, &entry->member);
}

bool
EyMembers_IsAddressKnown(const EyMembers_t *self, int64_t now_ms,
                         const char *address)
{
    GHashTableIter contacts;
    gpointer data = NULL;
    for (uint32_t i = 0; i < self->ring->len; i++) {
        const EyMemberEntry_t *entry = self->ring->pdata[i];
        if (strcmp(entry->member.peer_address, address) == 0) {
            return true;
        }
    }
    g_hash_table_iter_init(&contacts, self->contacts);
    while (g_hash_table_iter_next(&contacts, NULL, &data)) {
        const EyContact_t *contact = data;
        bool is_fresh = now_ms - contact->last_seen_ms < CONTACT_STALE_MS;
        if (is_fresh && strcmp(contact->member.peer_address, address) == 0) {
            return true;
        }
    }
    return false;
}

const char *
EyMembers_RandomGoneAddress(const EyMembers_t *self, EyRandom_t *random)
{
    GHashTableIter entries;
    gpointer data = NULL;
    const char *address = NULL;
    uint64_t seen = 0;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyMemberEntry_t *entry = data;
        if (EyMember_IsGone(&entry->member) &&
            EyRandom_Below(random, ++seen) == 0) {
            address = entry->member.peer_address;
        }
    }
    return address;
}

static gboolean
is_expired_gone(gpointer id, gpointer data, gpointer now_ms)
{
    (void)id;
    const EyMemberEntry_t *entry = data;
    return EyMember_IsGone(&entry->member) &&
           *(const int64_t *)now_ms - entry->gone_ms > GONE_KEPT_MS;
}

static gboolean
is_expired_contact(gpointer id, gpointer data, gpointer now_ms)
{
    (void)id;
    const EyContact_t *contact = data;
    return *(const int64_t *)now_ms - contact->last_seen_ms >
           CONTACT_EXPIRY_MS;
}

void
EyMembers_RemoveExpired(EyMembers_t *self, int64_t now_ms)
{
    (void)g_hash_table_foreach_remove(self->contacts, is_expired_contact,
                                      &now_ms);
    (void)g_hash_table_foreach_remove(self->entries, is_expired_gone, &now_ms);
}

static int
members_destroy(EyMembers_t *self)
{
    g_ptr_array_free(self->ring, TRUE);
    g_hash_table_destroy(self->entries);
    g_hash_table_destroy(self->gone_incarnations);
    g_hash_table_destroy(self->contacts);
    return 0;
}

EyMembers_t *
EyMembers_New(const void *ctx, const EyMember_t *own)
{
    EyMembers_t *self = EY_NEW(ctx, EyMembers_t);
    self->ring = g_ptr_array_new();
    self->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    self->gone_incarnations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->contacts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, members_destroy);
    self->own = EyMembers_Put(self, 0, own);
    return self;
}
