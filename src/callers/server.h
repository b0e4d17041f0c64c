/**
 * The HTTP server of a daemon, for callers, announcements of backend servers
 * and operators. It runs its own threads, on which it calls the hooks.
 */
#ifndef EY_CALLERS_SERVER_H
#define EY_CALLERS_SERVER_H

#include "core/account_budgets.h"
#include "core/error.h"
#include "core/memory_budget.h"
#include "exchange/answer.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyServerError {
    EY_SERVER_ERROR_LISTEN /* can't listen on the address */
} EyServerError_t;

EY_ERROR_DOMAIN(Server);
#define EY_SERVER_ERROR EyServer_ErrorDomain()

/** Callbacks into the daemon; called on the server's threads. */
typedef struct EyServerHooks {
    /**
     * Checks a request's head before its body is read. Returns an answer to
     * refuse it at once, or NULL to accept it. The hook may be NULL.
     */
    EyAnswer_t *(*check)(void *data, const EyRequest_t *request);
    /** Takes ownership of a complete request. False if the queue is full: the
     * server then keeps the request and refuses it. */
    bool (*submit)(void *data, EyRequest_t *request);
    /** The caller disconnected before the end of its answer. */
    void (*disconnected)(void *data, uint64_t number);
    void *data;
    const EyHeaderNames_t *names; /* NULL: EyHeaderNames_native */
    /** For bodies, from the head of a request until the request is freed;
     * NULL: EY_SERVER_BODIES_BYTES, for all servers without one. */
    EyMemoryBudget_t *bodies;
    /** What one client account may take of them; NULL: all. */
    EyAccountBudgets_t *account_bodies;
    /** Connections on each address; 0: EY_SERVER_CONNECTIONS_MAX. */
    uint32_t connections_max;
} EyServerHooks_t;

/** How long after EyServer_Quiesce open connections may deliver a request:
 * callers wait about a second for a request to be read. */
#define EY_SERVER_LATE_REQUEST_MS 1000

/** Most connections on an address. */
#define EY_SERVER_CONNECTIONS_MAX 8192

/** Memory for bodies where no limit is known. */
#define EY_SERVER_BODIES_BYTES (UINT64_C(256) * 1024 * 1024)

/** Most addresses that one server listens on. */
#define EY_SERVER_LISTENERS_MAX 6

typedef struct EyServer EyServer_t;

/** Starts a server that listens on IP:port (port 0: any free one). NULL with
 * EY_SERVER_ERROR. */
EyServer_t *
EyServer_Start(const void *ctx, const char *address,
               const EyServerHooks_t *hooks, GError **error);

/** Listens on a further address; is_routed: the configured routes apply to
 * every call there. False with EY_SERVER_ERROR. */
bool
EyServer_Listen(EyServer_t *self, const char *address, bool is_routed,
                GError **error);

/** The port of the first address. */
uint16_t
EyServer_Port(const EyServer_t *self);

/**
 * Sends the answer to a request and takes ownership of it; may be called on
 * any thread. If the request was answered already or its caller has
 * disconnected, the answer is dropped.
 */
void
EyServer_Answer(EyServer_t *self, uint64_t number, EyAnswer_t *answer);

/** The time until which a request, whose head was read, must have its body;
 * 0: any time. */
typedef int64_t (*EyBodyDeadline_t)(void *data, const EyRequest_t *request);

/** Answers requests whose bodies have not come in time, 408 and not run, and
 * closes their connections. Asks for the deadline of each once, in the calling
 * thread. To be called now and then. */
void
EyServer_EndLateBodies(EyServer_t *self, int64_t now_ms,
                       EyBodyDeadline_t deadline, void *data);

/** Number of requests whose answers haven't been sent completely. */
uint32_t
EyServer_InFlight(const EyServer_t *self);

/**
 * True if the server can be stopped without loss to a caller: no request is in
 * flight, no refused body is being read, and no open connection may still
 * deliver a request. Once the server is quiesced, connections may do so for
 * EY_SERVER_LATE_REQUEST_MS.
 */
bool
EyServer_IsIdle(const EyServer_t *self);

/** From now on connections are closed after their current answer. */
void
EyServer_CloseAfterAnswers(EyServer_t *self);

/** Stops accepting connections; the open ones are closed after their current
 * answer. Blocks for EY_LISTENER_HANDSHAKE_MS the first time. */
void
EyServer_Quiesce(EyServer_t *self);

/** Stops the threads and frees the server. Requests still in flight are
 * aborted; to avoid that, quiesce first and wait for EyServer_IsIdle. */
void
EyServer_Stop(EyServer_t *self);

#ifdef __cplusplus
}
#endif

#endif
