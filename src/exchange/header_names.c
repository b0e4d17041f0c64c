#include "exchange/header_names.h"

#include <stddef.h>
#include <string.h>
#include <strings.h>

static const char *const NativeReserved[] = {
    "Ebonyyard-Expected-Backend",
    "Ebonyyard-Urgency",
    "Ebonyyard-Cache-Source",
    NULL,
};

const EyHeaderNames_t EyHeaderNames_native = {
    .name = "native",
    .by_role =
        {
            [EY_HEADER_REQUEST_ID] = "X-Request-Id",
            [EY_HEADER_TIMEOUT] = "Ebonyyard-Timeout-Ms",
            [EY_HEADER_HOME] = "Ebonyyard-Home",
            [EY_HEADER_ACCOUNT] = "Ebonyyard-Account",
            [EY_HEADER_AUTHORIZATION] = "Authorization",
            [EY_HEADER_KEY_OWNER] = "Ebonyyard-Account",
            [EY_HEADER_OUTCOME] = "Ebonyyard-Outcome",
            [EY_HEADER_TOKENS] = "Ebonyyard-Tokens",
            [EY_HEADER_PROMPT_PARTS] = "Ebonyyard-Prompt-Parts",
            [EY_HEADER_LENGTH_HINT] = "Ebonyyard-Length-Hint",
            [EY_HEADER_RESUME_AFTER] = "Ebonyyard-Resume-After",
            [EY_HEADER_LAST_EVENT] = NULL,
            [EY_HEADER_RESUMES] = NULL,
            [EY_HEADER_EXPECTED_BACKEND] = "Ebonyyard-Expected-Backend",
            [EY_HEADER_URGENCY] = "Ebonyyard-Urgency",
            [EY_HEADER_CACHE_SOURCE] = "Ebonyyard-Cache-Source",
            [EY_HEADER_NOT_RUN] = "Ebonyyard-Not-Run",
            [EY_HEADER_LOAD] = "Ebonyyard-Load",
            [EY_HEADER_LEAVING] = "Ebonyyard-Leaving",
            [EY_HEADER_LIMIT] = "Ebonyyard-Limit",
        },
    .reserved = NativeReserved,
    .sends_stream_error_event = true,
    .start_field = "started_at_ms",
};

/** The native table and that of the site. */
static const EyHeaderNames_t *Tables[2] = {&EyHeaderNames_native, NULL};

void
EyHeaderNames_Register(const EyHeaderNames_t *table)
{
    Tables[1] = table;
}

const EyHeaderNames_t *
EyHeaderNames_Find(const char *name)
{
    for (size_t i = 0; i < sizeof(Tables) / sizeof(Tables[0]); i++) {
        if (Tables[i] != NULL && strcmp(Tables[i]->name, name) == 0) {
            return Tables[i];
        }
    }
    return NULL;
}

bool
EyHeaderNames_Is(const EyHeaderNames_t *self, EyHeaderRole_t role,
                 const char *header)
{
    const char *name = self->by_role[role];
    return name != NULL && strcasecmp(name, header) == 0;
}

bool
EyHeaderNames_IsReserved(const EyHeaderNames_t *self, const char *header)
{
    const char *const *reserved = self->reserved;
    for (; reserved != NULL && *reserved != NULL; reserved++) {
        if (strcasecmp(*reserved, header) == 0) {
            return true;
        }
    }
    return false;
}
