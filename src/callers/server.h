/**
 * The HTTP server of a daemon, for callers, backend servers' announcements
 * and operators. It runs threads of its own; hooks are called on them.
 */
#ifndef EY_CALLERS_SERVER_H
#define EY_CALLERS_SERVER_H

#include "core/error.h"
#include "exchange/answer.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyServerError {
    EY_SERVER_ERROR_LISTEN /* the address can't be listened on */
} EyServerError_t;

EY_ERROR_DOMAIN(Server);
#define EY_SERVER_ERROR EyServer_ErrorDomain()

/** What the server asks of its daemon; called on the server's threads. */
typedef struct EyServerHooks {
    /**
     * Looks at a request's head before its body is read. An answer refuses
     * it at once; NULL lets it go on. May be NULL.
     */
    EyAnswer_t *(*check)(void *data, const EyRequest_t *request);
    /** Takes over a whole request; false keeps it and means no room. */
    bool (*submit)(void *data, EyRequest_t *request);
    /** The caller hung up before its answer's end. */
    void (*gone)(void *data, uint64_t number);
    void *data;
    const EyHeaderNames_t *names; /* NULL: the product's own */
} EyServerHooks_t;

/** Most addresses that one server listens on. */
#define EY_SERVER_LISTENERS_MAX 6

typedef struct EyServer EyServer_t;

/** Listens on IP:port (port 0: any free one) and serves. */
EyServer_t *
EyServer_Start(const void *ctx, const char *address,
               const EyServerHooks_t *hooks, GError **error);

/** Listens on a further address; is_routed: every call there goes by the
 * configured routes. False with EY_SERVER_ERROR. */
bool
EyServer_Listen(EyServer_t *self, const char *address, bool is_routed,
                GError **error);

/** The port of the first address. */
uint16_t
EyServer_Port(const EyServer_t *self);

/**
 * Gives the answer to a request, from any thread, and takes it over. Does
 * nothing if the request has been answered or its caller is gone.
 */
void
EyServer_Answer(EyServer_t *self, uint64_t number, EyAnswer_t *answer);

/** Requests whose answers haven't wholly been given to the network. */
uint32_t
EyServer_InFlight(const EyServer_t *self);

/** Answers close their connections from now on. */
void
EyServer_CloseAfterAnswers(EyServer_t *self);

/** No new connections from now on; answers close theirs. */
void
EyServer_Quiesce(EyServer_t *self);

/** Ends the threads. Requests still in flight are cut off, so quiesce and
 * wait for EyServer_InFlight to be 0 before. */
void
EyServer_Stop(EyServer_t *self);

#ifdef __cplusplus
}
#endif

#endif
