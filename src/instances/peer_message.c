#include "instances/peer_message.h"

#include "core/memory.h"

const char *const EyPeer_kind_names[EY_PEER_KIND_COUNT] = {
    [EY_PEER_MEMBERSHIP] = "membership",
    [EY_PEER_GROUP] = "group",
    [EY_PEER_LOG] = "log",
    [EY_PEER_CONFIG] = "config",
    [EY_PEER_FORWARD] = "forward",
};

/** What is on the wire. The version stays first in every version. */
typedef struct Envelope {
    uint32_t version;
    uint32_t kind;
    EyName_t from;
    uint64_t from_incarnation;
    EyAddress_t from_address;
    EyName_t to;
    EyBytes_t payload;
} Envelope_t;

static const EyField_t EnvelopeFields[] = {
    EY_FIELD(Envelope_t, version, EY_FIELD_U32),
    EY_FIELD(Envelope_t, kind, EY_FIELD_U32),
    EY_FIELD_TEXT(Envelope_t, from),
    EY_FIELD(Envelope_t, from_incarnation, EY_FIELD_U64),
    EY_FIELD_TEXT(Envelope_t, from_address),
    EY_FIELD_TEXT(Envelope_t, to),
    EY_FIELD_BYTES_MAX(Envelope_t, payload, EY_PEER_MESSAGE_MAX_BYTES),
    EY_FIELD_END,
};
static const EySchema_t EnvelopeSchema = EY_SCHEMA(Envelope_t, EnvelopeFields);

/** The part of an envelope that every version has. */
static const EyField_t VersionFields[] = {
    EY_FIELD(Envelope_t, version, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t VersionSchema = EY_SCHEMA(Envelope_t, VersionFields);

EyPeerMessage_t *
EyPeerMessage_New(EyPeerKind_t kind, const char *to, const EySchema_t *schema,
                  const void *object)
{
    EyPeerMessage_t *self = EY_NEW(NULL, EyPeerMessage_t);
    self->kind = kind;
    if (to != NULL) {
        (void)EY_COPY(self->to, to);
    }
    self->payload = EySchema_Pack(schema, self, object);
    return self;
}

EyBytes_t
EyPeerMessage_Encode(const EyPeerMessage_t *self, const void *ctx)
{
    Envelope_t envelope = {
        .version = EY_PEER_VERSION,
        .kind = (uint32_t)self->kind,
        .from_incarnation = self->from_incarnation,
        .payload = self->payload,
    };
    (void)EY_COPY(envelope.from, self->from);
    (void)EY_COPY(envelope.from_address, self->from_address);
    (void)EY_COPY(envelope.to, self->to);
    return EySchema_Pack(&EnvelopeSchema, ctx, &envelope);
}

/** Tells a message of another version from one that is no message. */
static EyPeerFault_t
fault_of(const void *ctx, const uint8_t *data, uint32_t size_bytes)
{
    Envelope_t envelope;
    bool has_version = EySchema_Unpack(&VersionSchema, ctx, data, size_bytes,
                                       &envelope, NULL);
    if (has_version && envelope.version != EY_PEER_VERSION) {
        return EY_PEER_FAULT_VERSION;
    }
    return EY_PEER_FAULT_MALFORMED;
}

static EyPeerFault_t
check(const Envelope_t *envelope)
{
    if (envelope->version != EY_PEER_VERSION) {
        return EY_PEER_FAULT_VERSION;
    }
    if (envelope->kind >= EY_PEER_KIND_COUNT) {
        return EY_PEER_FAULT_KIND;
    }
    if (envelope->from[0] == '\0') {
        return EY_PEER_FAULT_MALFORMED;
    }
    return EY_PEER_FAULT_NONE;
}

EyPeerMessage_t *
EyPeerMessage_Decode(const uint8_t *data, size_t size_bytes,
                     EyPeerFault_t *fault)
{
    if (size_bytes > EY_PEER_FRAME_MAX_BYTES) {
        *fault = EY_PEER_FAULT_TOO_LARGE;
        return NULL;
    }
    EyPeerMessage_t *self = EY_NEW(NULL, EyPeerMessage_t);
    Envelope_t envelope;
    if (EySchema_Unpack(&EnvelopeSchema, self, data, (uint32_t)size_bytes,
                        &envelope, NULL))
    {
        *fault = check(&envelope);
    }
    else {
        *fault = fault_of(self, data, (uint32_t)size_bytes);
    }
    if (*fault != EY_PEER_FAULT_NONE) {
        (void)talloc_free(self);
        return NULL;
    }
    self->kind = (EyPeerKind_t)envelope.kind;
    (void)EY_COPY(self->from, envelope.from);
    self->from_incarnation = envelope.from_incarnation;
    (void)EY_COPY(self->from_address, envelope.from_address);
    (void)EY_COPY(self->to, envelope.to);
    self->payload = envelope.payload;
    return self;
}
