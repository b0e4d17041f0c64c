#include "control/stream_table.h"

#include "core/clock.h"
#include "core/memory.h"
#include "exchange/stream_message.h"

struct EyStreamTable {
    EyNode_t *node;
    EyStreamVersions_t *versions;
};

EyStreamTable_t *
EyStreamTable_New(const void *ctx, EyNode_t *node)
{
    EyStreamTable_t *self = EY_NEW(ctx, EyStreamTable_t);
    self->node = node;
    self->versions = EyStreamVersions_New(self);
    return self;
}

static void
answer(const EyStreamTable_t *self, const char *to,
       const EyStreamMessage_t *query)
{
    const EyStreamMessage_t message = {
        .kind = EY_STREAM_ANSWER,
        .number = query->number,
        .version =
            EyStreamVersions_Find(self->versions, EyClock_NowMs(), query->key),
    };
    EyNode_Send(self->node, EY_PEER_STREAM, to, &EyStreamMessage_schema,
                &message);
}

void
EyStreamTable_Receive(EyStreamTable_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyStreamMessage_t stream;
    bool is_valid =
        EySchema_Unpack(&EyStreamMessage_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &stream, NULL);
    if (is_valid && stream.kind == EY_STREAM_RECORDS) {
        for (uint32_t i = 0; i < stream.record_count; i++) {
            EyStreamVersions_Add(self->versions, EyClock_NowMs(),
                                 &stream.records[i]);
        }
    }
    if (is_valid && stream.kind == EY_STREAM_QUERY) {
        answer(self, message->from, &stream);
    }
    talloc_free(ctx);
}

uint32_t
EyStreamTable_Count(const EyStreamTable_t *self)
{
    return EyStreamVersions_Count(self->versions);
}
