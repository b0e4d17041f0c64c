/**
 * The region's backend servers as a control process last knew them, kept in
 * its data folder. After a loss of power of all instances servers announce
 * themselves only one by one; until then those of the list are shown for a
 * short time, as cold ones, which get few requests.
 *
 * A hint: a list that is missing, damaged or old harms nothing, and a write
 * that fails is only logged.
 */
#ifndef EY_CONTROL_SERVER_LIST_H
#define EY_CONTROL_SERVER_LIST_H

#include "membership/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How long a server of the list is shown that hasn't announced itself. */
#define EY_SERVER_LIST_RESTORED_TTL_MS 3000
/** Most servers kept; more are left out. */
#define EY_SERVER_LIST_MAX 4096

typedef struct EyServerList {
    EyBackend_t *servers;
    uint32_t count;
} EyServerList_t;

typedef enum EyServerListError {
    EY_SERVER_LIST_ERROR_READ,    /* the file is there and can't be read */
    EY_SERVER_LIST_ERROR_DAMAGED, /* its checksum or content is wrong */
    EY_SERVER_LIST_ERROR_WRITE    /* the disk is full or broken */
} EyServerListError_t;

EY_ERROR_DOMAIN(ServerList);
#define EY_SERVER_LIST_ERROR EyServerList_ErrorDomain()

/** The servers that serve now, as a new talloc object below ctx. */
EyServerList_t *
EyServerList_FromRegistry(const void *ctx, const EyRegistry_t *registry);

/** Writes the list into a folder, synced; false with an error. */
bool
EyServerList_Save(const EyServerList_t *self, const char *folder,
                  GError **error);

/** Reads it; empty if there is no file. NULL with an error. */
EyServerList_t *
EyServerList_Load(const void *ctx, const char *folder, GError **error);

/** Shows the servers in a registry that knows none; returns how many. */
uint32_t
EyServerList_Restore(const EyServerList_t *self, EyRegistry_t *registry,
                     int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
