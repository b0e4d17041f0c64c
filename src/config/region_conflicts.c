#include "config/region_conflicts.h"

#include <glib.h>

/** Most regions of a table that is checked. */
#define REGIONS_MAX 64

/** A set of regions, one bit each; empty: any region. */
typedef uint64_t RegionSet_t;

/** Sets of regions are compared, not lists: a table has thousands of accounts
 * but few different sets. */
typedef struct Search {
    const EyRouteTable_t *table;
    GHashTable *numbers;     /* region -> its number from 1 on */
    GHashTable *of_routes;   /* RegionSet_t -> name of the first route */
    GHashTable *of_accounts; /* RegionSet_t -> name of the first account */
} Search_t;

static RegionSet_t
make_set(const Search_t *self, const EyName_t *regions, uint32_t count)
{
    RegionSet_t set = 0;
    for (uint32_t i = 0; i < count; i++) {
        gpointer number = g_hash_table_lookup(self->numbers, regions[i]);
        if (number == NULL) {
            number = GUINT_TO_POINTER(g_hash_table_size(self->numbers) + 1);
            (void)g_hash_table_insert(self->numbers, (gpointer)regions[i],
                                      number);
        }
        set |= UINT64_C(1) << ((GPOINTER_TO_UINT(number) - 1) % REGIONS_MAX);
    }
    return set;
}

static RegionSet_t
route_set(const Search_t *self, uint32_t index)
{
    const EyRouteRule_t *route = &self->table->routes[index];
    return make_set(self, route->allowed_regions, route->allowed_region_count);
}

static RegionSet_t
account_set(const Search_t *self, uint32_t index)
{
    const EyAccountRule_t *account = &self->table->accounts[index];
    return make_set(self, account->allowed_regions,
                    account->allowed_region_count);
}

static void
add_set(GHashTable *sets, RegionSet_t set, const char *name)
{
    if (!g_hash_table_contains(sets, &set)) {
        RegionSet_t *key = g_new(RegionSet_t, 1);
        *key = set;
        (void)g_hash_table_insert(sets, key, (gpointer)name);
    }
}

static void
collect_sets(const Search_t *self)
{
    for (uint32_t i = 0; i < self->table->account_count; i++) {
        add_set(self->of_accounts, account_set(self, i),
                self->table->accounts[i].name);
    }
    for (uint32_t i = 0; i < self->table->route_count; i++) {
        add_set(self->of_routes, route_set(self, i),
                self->table->routes[i].name);
    }
}

/** Returns the name of a set without a region in common with this one; NULL if
 * there is none. */
static const char *
find_disjoint(GHashTable *sets, RegionSet_t set)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer name = NULL;
    g_hash_table_iter_init(&iterator, sets);
    while (g_hash_table_iter_next(&iterator, &key, &name)) {
        RegionSet_t other = *(const RegionSet_t *)key;
        if (set != 0 && other != 0 && (set & other) == 0) {
            return name;
        }
    }
    return NULL;
}

static EyRegionConflicts_t
count_conflicts(const Search_t *self)
{
    EyRegionConflicts_t conflicts = {.routes = 0};
    for (uint32_t i = 0; i < self->table->route_count; i++) {
        const char *account =
            find_disjoint(self->of_accounts, route_set(self, i));
        if (account != NULL && conflicts.routes == 0) {
            conflicts.route = self->table->routes[i].name;
            conflicts.account = account;
        }
        conflicts.routes += account != NULL;
    }
    for (uint32_t i = 0; i < self->table->account_count; i++) {
        conflicts.accounts +=
            find_disjoint(self->of_routes, account_set(self, i)) != NULL;
    }
    return conflicts;
}

static GHashTable *
new_sets(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

EyRegionConflicts_t
EyRegionConflicts_Find(const EyRouteTable_t *table)
{
    const Search_t search = {
        .table = table,
        .numbers = g_hash_table_new(g_str_hash, g_str_equal),
        .of_routes = new_sets(),
        .of_accounts = new_sets(),
    };
    EyRegionConflicts_t conflicts = {.routes = 0};
    collect_sets(&search);
    if (g_hash_table_size(search.numbers) <= REGIONS_MAX) {
        conflicts = count_conflicts(&search);
    }
    g_hash_table_destroy(search.of_accounts);
    g_hash_table_destroy(search.of_routes);
    g_hash_table_destroy(search.numbers);
    return conflicts;
}
