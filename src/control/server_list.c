#include "control/server_list.h"

#include "core/memory.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

EY_DEFINE_ERROR_DOMAIN(ServerList, "ey-server-list")

#define FILE_NAME "servers.list"
/** A larger file is treated as damaged. */
#define FILE_MAX_BYTES ((size_t)4 * 1024 * 1024)

static const EyField_t ListFields[] = {
    EY_FIELD_ARRAY_OF(EyServerList_t, servers, count, EyBackend_schema,
                      EY_SERVER_LIST_MAX),
    EY_FIELD_END,
};
static const EySchema_t ListSchema = EY_SCHEMA(EyServerList_t, ListFields);

/* From and to the registry */

typedef struct Collection {
    EyServerList_t *list;
    uint32_t capacity;
} Collection_t;

static void
collect_serving(void *data, const EyBackend_t *backend)
{
    Collection_t *collection = data;
    EyServerList_t *list = collection->list;
    if (backend->state == EY_BACKEND_SERVING &&
        list->count < collection->capacity) {
        EyBackend_t *copy = EyBackend_Copy(list, backend);
        list->servers[list->count++] = *copy;
    }
}

EyServerList_t *
EyServerList_FromRegistry(const void *ctx, const EyRegistry_t *registry)
{
    EyServerList_t *self = EY_NEW(ctx, EyServerList_t);
    Collection_t collection = {
        .list = self,
        .capacity = MIN(EyRegistry_Count(registry), EY_SERVER_LIST_MAX),
    };
    self->servers = EY_NEW_ARRAY(self, EyBackend_t, collection.capacity);
    EyRegistry_Each(registry, collect_serving, &collection);
    return self;
}

uint32_t
EyServerList_Restore(const EyServerList_t *self, EyRegistry_t *registry,
                     int64_t now_ms)
{
    if (EyRegistry_Count(registry) > 0) {
        return 0;
    }
    uint32_t restored_count = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        EyBackend_t restored = self->servers[i];
        if (!EyBackend_Check(&restored, NULL)) {
            continue;
        }
        restored_count++;
        restored.ttl_ms = EY_SERVER_LIST_RESTORED_TTL_MS;
        restored.is_cold = true;
        /* Without a load number it supersedes no record from an announcement.
         */
        restored.load = (EyBackendLoad_t){.at = 0};
        EyRegistry_Announce(registry, now_ms, &restored);
    }
    return restored_count;
}

/* The file: an XXH64 checksum, then the packed list. */

static bool
write_all(int file, const void *data, size_t size_bytes)
{
    const char *from = data;
    while (size_bytes > 0) {
        ssize_t written = write(file, from, size_bytes);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        from += written;
        size_bytes -= (size_t)written;
    }
    return true;
}

static bool
sync_folder(const char *folder)
{
    int file = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool done = file >= 0 && fsync(file) == 0;
    if (file >= 0) {
        (void)close(file);
    }
    return done;
}

/** Overwrites the file in place, which takes a single sync; the checksum
 * detects a list that was only partly written. */
static bool
write_file(const char *path, const EyBytes_t *packed)
{
    uint64_t checksum = XXH64(packed->data, packed->size_bytes, 0);
    int file = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool done = file >= 0 && write_all(file, &checksum, sizeof(checksum)) &&
                write_all(file, packed->data, packed->size_bytes) &&
                fdatasync(file) == 0;
    if (file >= 0) {
        /* The first failure is the one to report. */
        int cause = errno;
        bool is_closed = close(file) == 0;
        errno = done ? errno : cause;
        done = done && is_closed;
    }
    return done;
}

bool
EyServerList_Save(const EyServerList_t *self, const char *folder,
                  GError **error)
{
    void *ctx = talloc_new(NULL);
    const EyBytes_t packed = EySchema_Pack(&ListSchema, ctx, self);
    char *path = talloc_asprintf(ctx, "%s/%s", folder, FILE_NAME);
    bool is_new = access(path, F_OK) != 0;
    bool done = write_file(path, &packed) && (!is_new || sync_folder(folder));
    if (!done) {
        int cause = errno;
        if (is_new) {
            /* The next save must sync the folder, as for a new file. */
            (void)unlink(path);
        }
        errno = cause;
        g_set_error(error, EY_SERVER_LIST_ERROR, EY_SERVER_LIST_ERROR_WRITE,
                    "can't write %s: %s", path, g_strerror(errno));
    }
    talloc_free(ctx);
    return done;
}

/** Reads the list from a file's content; false if it is damaged. */
static bool
unpack_content(EyServerList_t *self, const uint8_t *content, size_t size_bytes)
{
    uint64_t checksum = 0;
    if (size_bytes < sizeof(checksum) || size_bytes > FILE_MAX_BYTES) {
        return false;
    }
    memcpy(&checksum, content, sizeof(checksum));
    const uint8_t *packed = content + sizeof(checksum);
    size_t packed_size_bytes = size_bytes - sizeof(checksum);
    return XXH64(packed, packed_size_bytes, 0) == checksum &&
           EySchema_Unpack(&ListSchema, self, packed,
                           (uint32_t)packed_size_bytes, self, NULL);
}

EyServerList_t *
EyServerList_Load(const void *ctx, const char *folder, GError **error)
{
    EyServerList_t *self = EY_NEW(ctx, EyServerList_t);
    char *path = talloc_asprintf(self, "%s/%s", folder, FILE_NAME);
    char *content = NULL;
    gsize size_bytes = 0;
    GError *read_error = NULL;
    if (!g_file_get_contents(path, &content, &size_bytes, &read_error)) {
        bool is_missing =
            g_error_matches(read_error, G_FILE_ERROR, G_FILE_ERROR_NOENT);
        if (!is_missing) {
            g_set_error(error, EY_SERVER_LIST_ERROR, EY_SERVER_LIST_ERROR_READ,
                        "%s", read_error->message);
            talloc_free(self);
        }
        g_error_free(read_error);
        return is_missing ? self : NULL;
    }
    bool is_valid = unpack_content(self, (const uint8_t *)content, size_bytes);
    g_free(content);
    if (!is_valid) {
        g_set_error(error, EY_SERVER_LIST_ERROR, EY_SERVER_LIST_ERROR_DAMAGED,
                    "%s is damaged: wrong size, checksum or content", path);
        talloc_free(self);
        return NULL;
    }
    return self;
}
