/**
 * Answers whose end was inferred from the end of their connection: they have
 * neither a length nor chunks, so a whole one and one that broke off with its
 * server look alike. Such an answer alone clears nothing. It is settled by
 * what is seen of its server afterwards: the server is seen running, then the
 * answer was whole; or the server turns out to have ended at about that time,
 * then it may have crashed on the request. Without such a sign it counts as
 * neither.
 *
 * All ends that may come from one kill of several servers are dated alike, by
 * the first sign of an ended server after them: crashes at one time aren't
 * held against requests.
 *
 * The tables are bounded; above the limits the newest ends aren't kept.
 */
#ifndef EY_ROUTING_INFERRED_ENDS_H
#define EY_ROUTING_INFERRED_ENDS_H

#include "core/types.h"
#include "suspects/crash_suspects.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most ends that wait to be settled. */
#define EY_INFERRED_ENDS_MAX 4096
/** Most servers of which something is kept. */
#define EY_INFERRED_SERVERS_MAX 1024
/** Time for which an end waits. */
#define EY_INFERRED_KEPT_MS 4000
/** A server may end this long after it has completed an answer on which it
 * crashes; its connections break within this time. */
#define EY_INFERRED_DOUBT_MS 250
/** Answers of a server that are seen later may be of its next start. */
#define EY_INFERRED_RUNS_MAX_MS 1000
/** An announcement may take this long from the server to this gateway. */
#define EY_INFERRED_ANNOUNCED_MS 1500
/** A connection that is refused later says nothing of the end. */
#define EY_INFERRED_REFUSED_MAX_MS 1000
/** The same for another instance that is seen at the address. */
#define EY_INFERRED_REPLACED_MAX_MS 2500

typedef struct EyInferredEnds EyInferredEnds_t;

/** A server at the end of an answer. */
typedef struct EyInferredServer {
    uint64_t crash; /* key of the crash of its incarnation */
    const char *address;
    uint64_t incarnation; /* 0: not announced */
} EyInferredServer_t;

/** What is seen of a server. */
typedef enum EyServerSign {
    EY_SERVER_SIGN_RUNS,      /* it has begun or completed an answer */
    EY_SERVER_SIGN_ANNOUNCED, /* a later announcement of the incarnation */
    EY_SERVER_SIGN_LEAVING,   /* it is stopped orderly */
    EY_SERVER_SIGN_BROKEN,    /* another connection to it broke */
    EY_SERVER_SIGN_REFUSED,   /* its port refused a connection */
    EY_SERVER_SIGN_REPLACED,  /* another instance answered at its address */
    EY_SERVER_SIGN_COUNT
} EyServerSign_t;

/** A settled end; prompt is valid until the next call. */
typedef struct EyInferredVerdict {
    bool is_crash;  /* else the answer was whole */
    uint64_t crash; /* key of the server's crash */
    int64_t at_ms;  /* of a crash: its time */
    EyPromptParts_t prompt;
} EyInferredVerdict_t;

EyInferredEnds_t *
EyInferredEnds_New(const void *ctx);

/** An answer to the prompt ended with its connection. */
void
EyInferredEnds_Add(EyInferredEnds_t *self, int64_t now_ms,
                   const EyInferredServer_t *server,
                   const EyPromptParts_t *prompt);

/** Something was seen of the server with that crash key. */
void
EyInferredEnds_AddSign(EyInferredEnds_t *self, int64_t now_ms,
                       EyServerSign_t sign, uint64_t crash);

/** A server was announced: its predecessors at the address have ended. */
void
EyInferredEnds_AddStart(EyInferredEnds_t *self, int64_t now_ms,
                        const EyInferredServer_t *server);

/** Takes the next settled end; false: there is none. */
bool
EyInferredEnds_Next(EyInferredEnds_t *self, EyInferredVerdict_t *verdict);

/** Drops ends that nothing has settled. */
void
EyInferredEnds_Expire(EyInferredEnds_t *self, int64_t now_ms);

/** Drops all ends, as when the process was stopped and their times say nothing
 * any more. */
void
EyInferredEnds_Reset(EyInferredEnds_t *self);

/** Number of ends that wait to be settled. */
uint32_t
EyInferredEnds_Count(const EyInferredEnds_t *self);

#ifdef __cplusplus
}
#endif

#endif
