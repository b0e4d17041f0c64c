/**
 * The region's backend servers as a control process last saw them, stored in
 * its data folder. After a power loss of all instances, servers announce
 * themselves again only one by one. Until then the servers of the list are
 * entered into the registry for a short time, marked as cold so that they get
 * few requests.
 *
 * The list is only a hint: a missing, damaged or outdated one is tolerated,
 * and a failed write is only logged.
 */
#ifndef EY_CONTROL_SERVER_LIST_H
#define EY_CONTROL_SERVER_LIST_H

#include "membership/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How long a restored server stays in the registry without an announcement
 * of its own. */
#define EY_SERVER_LIST_RESTORED_TTL_MS 3000
/** Most servers in a list; further ones are left out. */
#define EY_SERVER_LIST_MAX 4096

typedef struct EyServerList {
    EyBackend_t *servers;
    uint32_t count;
} EyServerList_t;

typedef enum EyServerListError {
    EY_SERVER_LIST_ERROR_READ,    /* the file exists but can't be read */
    EY_SERVER_LIST_ERROR_DAMAGED, /* its checksum or content is wrong */
    EY_SERVER_LIST_ERROR_WRITE    /* the disk is full or fails */
} EyServerListError_t;

EY_ERROR_DOMAIN(ServerList);
#define EY_SERVER_LIST_ERROR EyServerList_ErrorDomain()

/** The registry's servers in state serving, as a new talloc object below
 * ctx. */
EyServerList_t *
EyServerList_FromRegistry(const void *ctx, const EyRegistry_t *registry);

/** Writes the list to a file in folder and syncs it; false with an error. */
bool
EyServerList_Save(const EyServerList_t *self, const char *folder,
                  GError **error);

/** Reads the list from its file in folder; empty if there is no file. NULL
 * with an error. */
EyServerList_t *
EyServerList_Load(const void *ctx, const char *folder, GError **error);

/** Announces the servers to the registry, as cold, if the registry is empty;
 * returns how many. */
uint32_t
EyServerList_Restore(const EyServerList_t *self, EyRegistry_t *registry,
                     int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
