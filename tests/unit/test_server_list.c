/* The stored list of backend servers, which is restored after a power loss
 * for the time until servers announce themselves again. */
#include "control/server_list.h"
#include "core/memory.h"
#include "registry_fixture.h"
#include "sync_calls.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define NOW_MS 1000
#define TICK_MS 100

static EyBackend_t
make_backend(const char *id, EyBackendState_t state)
{
    static EyName_t models[] = {"plan"};
    EyBackend_t backend = {
        .models = models,
        .model_count = 1,
        .slots = 64,
        .speed = 1.0,
        .ttl_ms = 6000,
        .incarnation = 1700000000000,
        .load = {.running = 3, .at = 7},
        .state = state,
    };
    (void)EY_COPY(backend.id, id);
    (void)EY_COPY(backend.address, "10.0.0.1:80");
    (void)EY_COPY(backend.region, "istra");
    (void)EY_COPY(backend.zone, "pula-a");
    return backend;
}

static char *
make_folder(void *ctx)
{
    char *folder = talloc_strdup(ctx, "/tmp/ey-server-list-XXXXXX");
    cr_assert_not_null(mkdtemp(folder));
    return folder;
}

static void
remove_folder(const char *folder)
{
    char path[128];
    (void)snprintf(path, sizeof(path), "%s/servers.list", folder);
    (void)unlink(path);
    (void)rmdir(folder);
}

/** Saves the list of a registry with two servers, one of them leaving; returns
 * the folder. */
static char *
save_list(void *ctx)
{
    char *folder = make_folder(ctx);
    EyRegistry_t *registry =
        registry_fixture_new(ctx, EY_MEMBER_CONTROL, NOW_MS);
    const EyBackend_t serving = make_backend("i-1", EY_BACKEND_SERVING);
    const EyBackend_t leaving = make_backend("i-2", EY_BACKEND_LEAVING);
    EyRegistry_Announce(registry, NOW_MS, &serving);
    EyRegistry_Announce(registry, NOW_MS, &leaving);
    const EyServerList_t *list = EyServerList_FromRegistry(ctx, registry);
    cr_assert(EyServerList_Save(list, folder, NULL));
    return folder;
}

Test(server_list, serving_servers_are_restored_as_cold_until_the_ttl)
{
    void *ctx = talloc_new(NULL);
    char *folder = save_list(ctx);
    EyServerList_t *list = EyServerList_Load(ctx, folder, NULL);
    cr_assert_not_null(list);
    EyRegistry_t *registry =
        registry_fixture_new(ctx, EY_MEMBER_CONTROL, NOW_MS);
    cr_expect_eq(EyServerList_Restore(list, registry, NOW_MS), 1);
    const EyBackend_t *restored = EyRegistry_Find(registry, "i-1");
    cr_assert_not_null(restored);
    cr_expect(restored->is_cold);
    cr_expect_str_eq(restored->address, "10.0.0.1:80");
    cr_expect_str_eq(restored->models[0], "plan");
    cr_expect_null(EyRegistry_Find(registry, "i-2"));
    int64_t end_ms = NOW_MS + EY_SERVER_LIST_RESTORED_TTL_MS + 2 * TICK_MS;
    for (int64_t now_ms = NOW_MS; now_ms < end_ms; now_ms += TICK_MS) {
        EyRegistry_Tick(registry, now_ms);
    }
    cr_expect_null(EyRegistry_Find(registry, "i-1"));
    remove_folder(folder);
    talloc_free(ctx);
}

Test(server_list, announcement_replaces_the_restored_entry)
{
    void *ctx = talloc_new(NULL);
    char *folder = save_list(ctx);
    EyServerList_t *list = EyServerList_Load(ctx, folder, NULL);
    EyRegistry_t *registry =
        registry_fixture_new(ctx, EY_MEMBER_CONTROL, NOW_MS);
    (void)EyServerList_Restore(list, registry, NOW_MS);
    EyBackend_t announcement = make_backend("i-1", EY_BACKEND_SERVING);
    announcement.load.at = 8;
    EyRegistry_Announce(registry, NOW_MS + TICK_MS, &announcement);
    cr_expect_not(EyRegistry_Find(registry, "i-1")->is_cold);
    announcement.state = EY_BACKEND_LEAVING;
    announcement.load.at = 9;
    EyRegistry_Announce(registry, NOW_MS + 2 * TICK_MS, &announcement);
    cr_expect_eq(EyRegistry_Find(registry, "i-1")->state, EY_BACKEND_LEAVING);
    remove_folder(folder);
    talloc_free(ctx);
}

static json_int_t
dumped_serial(const EyRegistry_t *registry)
{
    json_t *dump = EyRegistry_Dump(registry);
    const json_t *first = json_array_get(json_object_get(dump, "backends"), 0);
    json_int_t serial = json_integer_value(json_object_get(first, "serial"));
    json_decref(dump);
    return serial;
}

Test(server_list, restored_entry_does_not_supersede_an_announced_one)
{
    void *ctx = talloc_new(NULL);
    char *folder = save_list(ctx);
    EyServerList_t *list = EyServerList_Load(ctx, folder, NULL);
    EyRegistry_t *restored =
        registry_fixture_new(ctx, EY_MEMBER_CONTROL, NOW_MS);
    cr_expect_eq(EyServerList_Restore(list, restored, NOW_MS), 1);
    EyRegistry_t *announced =
        registry_fixture_new(ctx, EY_MEMBER_CONTROL, NOW_MS);
    const EyBackend_t announcement = make_backend("i-1", EY_BACKEND_SERVING);
    EyRegistry_Announce(announced, NOW_MS, &announcement);
    cr_expect_lt(dumped_serial(restored), dumped_serial(announced));
    remove_folder(folder);
    talloc_free(ctx);
}

Test(server_list, non_empty_registry_is_not_changed)
{
    void *ctx = talloc_new(NULL);
    char *folder = save_list(ctx);
    EyServerList_t *list = EyServerList_Load(ctx, folder, NULL);
    EyRegistry_t *registry =
        registry_fixture_new(ctx, EY_MEMBER_CONTROL, NOW_MS);
    const EyBackend_t other = make_backend("i-3", EY_BACKEND_SERVING);
    EyRegistry_Announce(registry, NOW_MS, &other);
    cr_expect_eq(EyServerList_Restore(list, registry, NOW_MS), 0);
    cr_expect_null(EyRegistry_Find(registry, "i-1"));
    remove_folder(folder);
    talloc_free(ctx);
}

typedef struct FileCase {
    const char *name;
    long truncated_bytes;        /* cut off at the end; < 0: no file */
    long corrupted_offset_bytes; /* < 0: none */
    bool is_read;
} FileCase_t;

static const FileCase_t FileCases[] = {
    {"whole", 0, -1, true},
    {"missing: an empty list", -1, -1, true},
    {"cut off", 5, -1, false},
    {"two bytes left", 1000000, -1, false},
    {"a bit in the checksum", 0, 3, false},
    {"a bit in the list", 0, 20, false},
};

static void
damage(const char *path, const FileCase_t *test)
{
    struct stat status;
    if (test->truncated_bytes < 0) {
        cr_assert_eq(unlink(path), 0);
        return;
    }
    cr_assert_eq(stat(path, &status), 0);
    long left = status.st_size - test->truncated_bytes;
    cr_assert_eq(truncate(path, left > 2 ? left : 2), 0);
    if (test->corrupted_offset_bytes >= 0) {
        FILE *file = fopen(path, "r+");
        (void)fseek(file, test->corrupted_offset_bytes, SEEK_SET);
        int byte = fgetc(file);
        (void)fseek(file, test->corrupted_offset_bytes, SEEK_SET);
        (void)fputc(byte ^ 1, file);
        (void)fclose(file);
    }
}

Test(server_list, damaged_file_is_reported_as_an_error)
{
    for (size_t i = 0; i < G_N_ELEMENTS(FileCases); i++) {
        const FileCase_t *test = &FileCases[i];
        void *ctx = talloc_new(NULL);
        char *folder = save_list(ctx);
        char *path = talloc_asprintf(ctx, "%s/servers.list", folder);
        damage(path, test);
        GError *error = NULL;
        const EyServerList_t *list = EyServerList_Load(ctx, folder, &error);
        cr_expect_eq(list != NULL, test->is_read, "%s", test->name);
        cr_expect_eq(error == NULL, test->is_read, "%s", test->name);
        g_clear_error(&error);
        remove_folder(folder);
        talloc_free(ctx);
    }
}

Test(server_list, unwritable_folder_is_reported_as_an_error)
{
    void *ctx = talloc_new(NULL);
    const EyServerList_t *list = EY_NEW(ctx, EyServerList_t);
    GError *error = NULL;
    cr_expect_not(EyServerList_Save(list, "/tmp/ey-no-such-folder", &error));
    cr_assert_not_null(error);
    cr_expect_eq(error->code, EY_SERVER_LIST_ERROR_WRITE);
    g_error_free(error);
    talloc_free(ctx);
}

/* A file whose name isn't synced is missing after a power loss. */
Test(server_list, unsynced_folder_is_synced_by_the_next_save)
{
    void *ctx = talloc_new(NULL);
    char *folder = make_folder(ctx);
    const EyServerList_t *list = EY_NEW(ctx, EyServerList_t);
    Sync_calls.folder_fails = true;
    cr_expect_not(EyServerList_Save(list, folder, NULL));
    Sync_calls.folder_fails = false;
    Sync_calls.folder_count = 0;
    cr_expect(EyServerList_Save(list, folder, NULL));
    cr_expect_eq(Sync_calls.folder_count, 1);
    cr_expect(EyServerList_Save(list, folder, NULL));
    cr_expect_eq(Sync_calls.folder_count, 1);
    remove_folder(folder);
    talloc_free(ctx);
}
