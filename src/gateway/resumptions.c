#include "gateway/resumptions.h"

#include "core/memory.h"
#include "core/random.h"

#include <glib.h>
#include <string.h>

/** A resumption that waits for the answers of the control processes. */
typedef struct Waiting {
    uint64_t number; /* of its query */
    EyRequest_t *request;
    int64_t ends_ms;
    uint32_t unanswered; /* control processes that were asked */
} Waiting_t;

struct EyResumptions {
    EyResumptionsHooks_t hooks;
    EyStreamVersions_t *versions;
    EyName_t *controls;
    uint32_t control_count;
    GArray *untold; /* EyStreamRecord_t, to be sent */
    int64_t tell_ms;
    GArray *waiting; /* Waiting_t, by ends_ms */
    uint64_t last_number;
};

static int
destroy(EyResumptions_t *self)
{
    for (guint i = 0; i < self->waiting->len; i++) {
        talloc_free(g_array_index(self->waiting, Waiting_t, i).request);
    }
    g_array_free(self->waiting, TRUE);
    g_array_free(self->untold, TRUE);
    return 0;
}

EyResumptions_t *
EyResumptions_New(const void *ctx, uint64_t seed,
                  const EyResumptionsHooks_t *hooks)
{
    EyResumptions_t *self = EY_NEW(ctx, EyResumptions_t);
    self->hooks = *hooks;
    self->versions = EyStreamVersions_New(self);
    self->untold = g_array_new(FALSE, FALSE, sizeof(EyStreamRecord_t));
    self->waiting = g_array_new(FALSE, FALSE, sizeof(Waiting_t));
    /* Answers to queries from before a restart must not match. */
    EyRandom_t random = EyRandom_Make(seed);
    self->last_number = EyRandom_Next(&random);
    talloc_set_destructor(self, destroy);
    return self;
}

void
EyResumptions_SetControls(EyResumptions_t *self, const EyName_t *controls,
                          uint32_t count)
{
    talloc_free(self->controls);
    self->controls =
        EyMemory_Copy(self, controls, sizeof(EyName_t) * (size_t)count);
    self->control_count = count;
}

bool
EyResumptions_Concerns(const EyRequest_t *request)
{
    return request->call == EY_CALL_ROUTED && request->terms.is_resumable &&
           request->resumes_stream && !request->begun_by.is_set;
}

static void
remember(EyResumptions_t *self, int64_t now_ms, const char *attempt_id,
         const EyServerVersion_t *version)
{
    EyStreamRecord_t record = {.key = EyStreamVersions_Key(attempt_id)};
    (void)EY_COPY(record.version, version->name);
    EyStreamVersions_Add(self->versions, now_ms, &record);
    if (self->untold->len == 0) {
        self->tell_ms = now_ms + EY_RESUMPTIONS_REPORT_MS;
    }
    g_array_append_val(self->untold, record);
}

void
EyResumptions_Began(EyResumptions_t *self, int64_t now_ms,
                    const EyRequest_t *request,
                    const EyServerVersion_t *version)
{
    if (version->is_set && !request->resumes_stream) {
        remember(self, now_ms, request->id, version);
    }
}

static void
decide(EyResumptions_t *self, int64_t now_ms, EyRequest_t *request,
       const EyServerVersion_t *version)
{
    request->begun_by = *version;
    if (version->is_set) {
        remember(self, now_ms, request->resumes, version);
    }
    self->hooks.decided(self->hooks.data, request, version->is_set);
}

/** Takes the i-th waiting resumption off the list and decides it. */
static void
end_waiting(EyResumptions_t *self, int64_t now_ms, guint i,
            const EyServerVersion_t *version)
{
    EyRequest_t *request = g_array_index(self->waiting, Waiting_t, i).request;
    g_array_remove_index(self->waiting, i);
    decide(self, now_ms, request, version);
}

void
EyResumptions_Begin(EyResumptions_t *self, int64_t now_ms,
                    EyRequest_t *request)
{
    uint64_t key = EyStreamVersions_Key(request->resumes);
    EyServerVersion_t version =
        request->resumes[0] != '\0'
            ? EyStreamVersions_Find(self->versions, now_ms, key)
            : (EyServerVersion_t){.is_set = false};
    if (version.is_set || request->resumes[0] == '\0' ||
        self->control_count == 0 ||
        self->waiting->len >= EY_RESUMPTIONS_WAITING_MAX)
    {
        decide(self, now_ms, request, &version);
        return;
    }
    Waiting_t waiting = {
        .number = ++self->last_number,
        .request = request,
        .ends_ms = now_ms + EY_RESUMPTIONS_ASK_MAX_MS,
        .unanswered = self->control_count,
    };
    g_array_append_val(self->waiting, waiting);
    const EyStreamMessage_t query = {
        .kind = EY_STREAM_QUERY, .number = waiting.number, .key = key};
    for (uint32_t i = 0; i < self->control_count; i++) {
        self->hooks.send(self->hooks.data, self->controls[i], &query);
    }
}

void
EyResumptions_Cancel(EyResumptions_t *self, uint64_t request_number)
{
    for (guint i = 0; i < self->waiting->len; i++) {
        EyRequest_t *request =
            g_array_index(self->waiting, Waiting_t, i).request;
        if (request->number == request_number) {
            g_array_remove_index(self->waiting, i);
            talloc_free(request);
            return;
        }
    }
}

void
EyResumptions_Receive(EyResumptions_t *self, int64_t now_ms, const char *from,
                      const EyStreamMessage_t *message)
{
    (void)from;
    if (message->kind != EY_STREAM_ANSWER) {
        return;
    }
    for (guint i = 0; i < self->waiting->len; i++) {
        Waiting_t *waiting = &g_array_index(self->waiting, Waiting_t, i);
        if (waiting->number != message->number) {
            continue;
        }
        waiting->unanswered--;
        if (message->version.is_set || waiting->unanswered == 0) {
            end_waiting(self, now_ms, i, &message->version);
        }
        return;
    }
}

static void
tell(EyResumptions_t *self)
{
    guint sent = 0;
    while (sent < self->untold->len) {
        const EyStreamMessage_t message = {
            .kind = EY_STREAM_RECORDS,
            .records = &g_array_index(self->untold, EyStreamRecord_t, sent),
            .record_count =
                MIN(self->untold->len - sent, EY_STREAM_RECORDS_MAX),
        };
        for (uint32_t i = 0;
             i < MIN(self->control_count, EY_RESUMPTIONS_COPIES); i++) {
            self->hooks.send(self->hooks.data, self->controls[i], &message);
        }
        sent += message.record_count;
    }
    g_array_set_size(self->untold, 0);
}

void
EyResumptions_Tick(EyResumptions_t *self, int64_t now_ms)
{
    const EyServerVersion_t unknown = {.is_set = false};
    while (self->waiting->len > 0 &&
           g_array_index(self->waiting, Waiting_t, 0).ends_ms <= now_ms)
    {
        end_waiting(self, now_ms, 0, &unknown);
    }
    if (self->untold->len > 0 && now_ms >= self->tell_ms) {
        tell(self);
    }
}

int64_t
EyResumptions_DueMs(const EyResumptions_t *self)
{
    int64_t due_ms = self->untold->len > 0 ? self->tell_ms : INT64_MAX;
    if (self->waiting->len > 0) {
        due_ms =
            MIN(due_ms, g_array_index(self->waiting, Waiting_t, 0).ends_ms);
    }
    return due_ms;
}

uint32_t
EyResumptions_Waiting(const EyResumptions_t *self)
{
    return self->waiting->len;
}
