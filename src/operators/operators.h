/**
 * The operators' HTTP interface below /v1/config, as pure functions of a
 * request and the store: the answer, or a command to propose and then the
 * answer from what became of it.
 *
 *     GET    /v1/config                  defaults, exceptions, version
 *     GET    /v1/config/history          changes with author and reason
 *     PUT    /v1/config/defaults/{key}   value
 *     POST   /v1/config/exceptions       key, scope, value, reason, duration_s
 *     DELETE /v1/config/exceptions/{id}  reason
 *     GET    /v1/config/routes           the newest committed route table
 *     PUT    /v1/config/routes           a whole route table; see
 *                                        config/route_table.h
 *     PUT    /v1/config/evacuations/{zone}   sends nothing there any more
 *     DELETE /v1/config/evacuations/{zone}   takes that back; a body may
 *                                        give author, reason and change_id
 *
 * The body of a change of defaults or exceptions has also version (that it
 * was made against), change_id and author. Of route tables the highest
 * version wins, so one that is sent again is acknowledged again.
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

/** Shortest token. */
#define EY_OPERATORS_TOKEN_MIN_BYTES 16

/** Either answer, or a command to propose if answer is NULL. */
typedef struct EyOperatorsReply {
    EyAnswer_t *answer;
    bool is_read; /* the command, which changes nothing, shows how new the
                     store must be for EyOperators_Read */
    EyCommand_t command;
} EyOperatorsReply_t;

/** Reads the token, the file's first line, below ctx; NULL with an error. */
char *
EyOperators_ReadToken(const void *ctx, const char *path, GError **error);

/**
 * True if the request may go on: token is NULL, or the request's header
 * Authorization bears it. The comparison takes the same time for all tokens
 * of a length.
 */
bool
EyOperators_IsAllowed(const EyRequest_t *request, const char *token);

/** The answer to who isn't allowed. */
EyAnswer_t *
EyOperators_Refusal(void);

/** The answer to a read once the store is new enough. */
EyAnswer_t *
EyOperators_Read(const EyStore_t *store);

/** Handles a request below /v1/config. */
EyOperatorsReply_t
EyOperators_Handle(const EyRequest_t *request, const EyStore_t *store,
                   const char *token);

/** The answer to a change, from what became of its proposal. */
EyAnswer_t *
EyOperators_Answer(EyProposalOutcome_t outcome,
                   const EyCommandResult_t *result);

#ifdef __cplusplus
}
#endif

#endif
