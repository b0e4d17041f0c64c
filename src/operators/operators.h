/**
 * The operators' HTTP API below /v1/config, as pure functions of a request and
 * the store. A request gives either its answer, or a command to propose; the
 * answer then follows from the proposal's outcome.
 *
 *     GET    /v1/config                  defaults, exceptions, version
 *     GET    /v1/config/history          changes with author and reason
 *     PUT    /v1/config/defaults/{key}   value
 *     POST   /v1/config/exceptions       key, scope, value, reason, duration_s
 *     DELETE /v1/config/exceptions/{id}  reason
 *     GET    /v1/config/routes           the newest committed route table
 *     PUT    /v1/config/routes           a whole route table; see
 *                                        config/route_table.h
 *     PUT    /v1/config/evacuations/{zone}   stops routing to the zone
 *     DELETE /v1/config/evacuations/{zone}   routes to it again; a body may
 *                                        give author, reason and change_id
 *
 * The body of a change to defaults or exceptions also has version (the one
 * that the change is based on), change_id and author. Of route tables the one
 * with the highest version wins, so sending a table again is acknowledged
 * again.
 */
#ifndef EY_OPERATORS_OPERATORS_H
#define EY_OPERATORS_OPERATORS_H

#include "config/config_message.h"
#include "exchange/answer.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyOperatorsError {
    EY_OPERATORS_ERROR_TOKEN /* the token file can't be read or is too short */
} EyOperatorsError_t;

EY_ERROR_DOMAIN(Operators);
#define EY_OPERATORS_ERROR EyOperators_ErrorDomain()

/** Minimum length of the token. */
#define EY_OPERATORS_TOKEN_MIN_BYTES 16

/** The answer or, if answer is NULL, a command to propose. */
typedef struct EyOperatorsReply {
    EyAnswer_t *answer;
    bool is_read; /* a linearizable read: the command changes nothing, and the
                     revision of its result is the least that the store must
                     have for EyOperators_AnswerRead */
    EyCommand_t command;
} EyOperatorsReply_t;

/** Reads the token, which is the file's first line, allocated below ctx; NULL
 * with an error. */
char *
EyOperators_ReadToken(const void *ctx, const char *path, GError **error);

/**
 * True if the request is authorized: token is NULL, or it is the bearer token
 * of the request's Authorization header. The comparison takes the same time
 * for all tokens of the same length.
 */
bool
EyOperators_IsAllowed(const EyRequest_t *request, const char *token);

/** The 401 answer to an unauthorized request. */
EyAnswer_t *
EyOperators_AnswerUnauthorized(void);

/** The answer to a read (is_read), once the store has the required revision:
 * the route table. */
EyAnswer_t *
EyOperators_AnswerRead(const EyStore_t *store);

/** Handles a request below /v1/config. */
EyOperatorsReply_t
EyOperators_Handle(const EyRequest_t *request, const EyStore_t *store,
                   const char *token);

/** The answer to a change, from the outcome of its proposal. */
EyAnswer_t *
EyOperators_AnswerChange(EyProposalOutcome_t outcome,
                         const EyCommandResult_t *result);

/** Logs that the command of a request is not carried out as it is too old. */
void
EyOperators_LogOld(const EyRequest_t *request, int64_t age_ms);

/** The refusal of a command that EyCommand_IsTooOld. */
EyAnswer_t *
EyOperators_RefuseOld(void);

#ifdef __cplusplus
}
#endif

#endif
