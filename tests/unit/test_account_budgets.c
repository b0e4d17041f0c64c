/* One client account must not take all of the memory for buffers: callers of
 * the others would be refused, or their answers broken off. */
#include "core/account_budgets.h"
#include "core/memory.h"
#include "core/stream.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>

#define LIMIT_BYTES (UINT64_C(8) * 1024 * 1024)
#define PART_BYTES (LIMIT_BYTES / EY_ACCOUNT_BUDGET_PART)
#define SHARE_BYTES (UINT64_C(64) * 1024)
#define SEED 20261206

/** Takes shares until there is no room; returns the bytes. */
static uint64_t
take_all(const void *ctx, EyMemoryBudget_t *budget)
{
    uint64_t taken_bytes = 0;
    while (EyMemoryBudget_Take(budget, ctx, SHARE_BYTES) != NULL) {
        taken_bytes += SHARE_BYTES;
    }
    return taken_bytes;
}

typedef struct Case {
    const char *name;
    const char *first; /* accounts; "": none */
    const char *second;
    uint64_t first_bytes; /* that each can take, one after the other */
    uint64_t second_bytes;
} Case_t;

static const Case_t Cases[] = {
    {"two accounts", "istra-tours", "zagreb-guide", PART_BYTES,
     LIMIT_BYTES - PART_BYTES},
    {"the same account twice", "istra-tours", "istra-tours", PART_BYTES, 0},
    {"an account, then calls without one", "istra-tours", "", PART_BYTES,
     LIMIT_BYTES - PART_BYTES},
    {"calls without an account, which have no limit of their own", "",
     "istra-tours", LIMIT_BYTES, 0},
};

Test(account_budgets, an_account_takes_its_part_at_most)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const Case_t *given = &Cases[i];
        void *ctx = talloc_new(NULL);
        EyMemoryBudget_t total = {.limit_bytes = LIMIT_BYTES};
        EyAccountBudgets_t *accounts = EyAccountBudgets_New(ctx, &total, SEED);
        void *shares = talloc_new(NULL);
        cr_expect_eq(
            take_all(shares, EyAccountBudgets_Of(accounts, given->first)),
            given->first_bytes, "%s", given->name);
        cr_expect_eq(
            take_all(shares, EyAccountBudgets_Of(accounts, given->second)),
            given->second_bytes, "%s", given->name);
        talloc_free(shares);
        cr_expect_eq(EyMemoryBudget_UsedBytes(&total), 0, "%s", given->name);
        cr_expect_eq(EyMemoryBudget_UsedBytes(
                         EyAccountBudgets_Of(accounts, given->first)),
                     0, "%s", given->name);
        talloc_free(ctx);
    }
}

/* A share that is refused must leave nothing behind in either budget. */
Test(account_budgets, a_refused_share_takes_nothing)
{
    void *ctx = talloc_new(NULL);
    EyMemoryBudget_t total = {.limit_bytes = LIMIT_BYTES};
    EyAccountBudgets_t *accounts = EyAccountBudgets_New(ctx, &total, SEED);
    EyMemoryBudget_t *budget = EyAccountBudgets_Of(accounts, "istra-tours");
    cr_expect_null(EyMemoryBudget_Take(budget, ctx, PART_BYTES + 1));
    cr_expect_eq(EyMemoryBudget_UsedBytes(budget), 0);
    cr_expect_eq(EyMemoryBudget_UsedBytes(&total), 0);
    cr_expect_not_null(EyMemoryBudget_Take(&total, ctx, LIMIT_BYTES));
    cr_expect_null(EyMemoryBudget_Take(budget, ctx, 1));
    cr_expect_eq(EyMemoryBudget_UsedBytes(budget), 0);
    cr_expect_eq(EyMemoryBudget_UsedBytes(&total), LIMIT_BYTES);
    talloc_free(ctx);
}

/* Callers may name any number of accounts. */
Test(account_budgets, many_accounts_spread_over_the_budgets)
{
    enum { ACCOUNTS = 10000, SAME_MAX = 20 };
    void *ctx = talloc_new(NULL);
    EyMemoryBudget_t total = {.limit_bytes = LIMIT_BYTES};
    EyAccountBudgets_t *accounts = EyAccountBudgets_New(ctx, &total, SEED);
    GHashTable *counts = g_hash_table_new(g_direct_hash, g_direct_equal);
    guint most = 0;
    for (uint32_t i = 0; i < ACCOUNTS; i++) {
        char name[32];
        (void)snprintf(name, sizeof(name), "account-%u", i);
        gpointer budget = EyAccountBudgets_Of(accounts, name);
        cr_assert_eq(budget, EyAccountBudgets_Of(accounts, name));
        guint count =
            GPOINTER_TO_UINT(g_hash_table_lookup(counts, budget)) + 1;
        (void)g_hash_table_insert(counts, budget, GUINT_TO_POINTER(count));
        most = MAX(most, count);
    }
    cr_expect_lt(most, SAME_MAX, "%u accounts share one budget", most);
    g_hash_table_destroy(counts);
    talloc_free(ctx);
}

/** Writes to the streams of an account until each is full or refused. */
static uint64_t
fill_streams(EyStream_t **streams, uint32_t count, EyMemoryBudget_t *budget)
{
    enum { CAPACITY_BYTES = 256 * 1024 };
    static const char Piece[4096];
    uint64_t written_bytes = 0;
    for (uint32_t i = 0; i < count; i++) {
        streams[i] = EyStream_New(CAPACITY_BYTES);
        EyStream_SetBudget(streams[i], budget);
        while (EyStream_Write(streams[i], Piece, sizeof(Piece))) {
            written_bytes += sizeof(Piece);
        }
    }
    return written_bytes;
}

/* Streams that nobody reads, as those of hundreds of slow callers. */
Test(account_budgets, slow_readers_of_an_account_leave_room_for_others)
{
    enum { SLOW = 300, OTHERS = 8 };
    void *ctx = talloc_new(NULL);
    EyMemoryBudget_t total = {.limit_bytes = LIMIT_BYTES};
    EyAccountBudgets_t *accounts = EyAccountBudgets_New(ctx, &total, SEED);
    EyStream_t *slow[SLOW];
    EyStream_t *others[OTHERS];
    uint64_t slow_bytes =
        fill_streams(slow, SLOW, EyAccountBudgets_Of(accounts, "istra-tours"));
    uint64_t other_bytes = fill_streams(
        others, OTHERS, EyAccountBudgets_Of(accounts, "zagreb-guide"));
    uint64_t uncounted_bytes = EY_MEMORY_BUDGET_UNCOUNTED_BYTES;
    cr_expect_leq(slow_bytes, PART_BYTES + SLOW * uncounted_bytes);
    cr_expect_eq(other_bytes, OTHERS * UINT64_C(256) * 1024);
    for (uint32_t i = 0; i < SLOW; i++) {
        EyStream_Unref(slow[i]);
    }
    for (uint32_t i = 0; i < OTHERS; i++) {
        EyStream_Unref(others[i]);
    }
    cr_expect_eq(EyMemoryBudget_UsedBytes(&total), 0);
    talloc_free(ctx);
}
