#include "instances/peer_message.h"

#include "core/clock.h"
#include "core/memory.h"

/* Maximum number of msgpack objects in an envelope, and in its payload. */
#define ENVELOPE_OBJECTS_MAX 64
#define PAYLOAD_OBJECTS_MAX 1000000

const char *const EyPeerMessage_kind_names[EY_PEER_KIND_COUNT] = {
    [EY_PEER_MEMBERSHIP] = "membership",
    [EY_PEER_GROUP] = "group",
    [EY_PEER_RAFT] = "log",
    [EY_PEER_CONFIG] = "config",
    [EY_PEER_FORWARD] = "forward",
    [EY_PEER_ANNOUNCE] = "announce",
    [EY_PEER_ENGINE_UPDATE] = "news",
    [EY_PEER_STREAM] = "stream",
    [EY_PEER_QUOTA] = "quota",
    [EY_PEER_QUOTA_ANSWER] = "quota_answer",
};

/** The wire format. The version is the first field in every version. */
typedef struct Envelope {
    uint32_t version;
    uint32_t kind;
    EyName_t from;
    uint64_t from_incarnation;
    EyAddress_t from_address;
    EyName_t to;
    EyBytes_t payload;
    int64_t sent_ms;
} Envelope_t;

static const EyField_t EnvelopeFields[] = {
    EY_FIELD(Envelope_t, version, EY_FIELD_U32),
    EY_FIELD(Envelope_t, kind, EY_FIELD_U32),
    EY_FIELD_TEXT(Envelope_t, from),
    EY_FIELD(Envelope_t, from_incarnation, EY_FIELD_U64),
    EY_FIELD_TEXT(Envelope_t, from_address),
    EY_FIELD_TEXT(Envelope_t, to),
    EY_FIELD_BYTES_MAX(Envelope_t, payload, EY_PEER_MESSAGE_MAX_BYTES),
    EY_FIELD(Envelope_t, sent_ms, EY_FIELD_I64),
    EY_FIELD_END,
};
static const EySchema_t EnvelopeSchema = EY_SCHEMA(Envelope_t, EnvelopeFields);

/** The fields of an envelope that all versions have in common. */
static const EyField_t VersionFields[] = {
    EY_FIELD(Envelope_t, version, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t VersionSchema = EY_SCHEMA(Envelope_t, VersionFields);

EyPeerMessage_t *
EyPeerMessage_New(EyPeerMessageKind_t kind, const char *to,
                  const EySchema_t *schema, const void *object)
{
    EyPeerMessage_t *self = EY_NEW(NULL, EyPeerMessage_t);
    self->kind = kind;
    self->sent_ms = EyClock_NowMs();
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
        .sent_ms = self->sent_ms,
    };
    (void)EY_COPY(envelope.from, self->from);
    (void)EY_COPY(envelope.from_address, self->from_address);
    (void)EY_COPY(envelope.to, self->to);
    return EySchema_Pack(&EnvelopeSchema, ctx, &envelope);
}

/* Limits on object counts, checked before the decoder allocates memory for the
 * sizes that a message claims */

/** The start of a msgpack object: its type byte, then a count or size. */
typedef struct ObjectHeader {
    uint64_t skip_bytes;    /* body bytes that contain no objects */
    uint64_t child_objects; /* objects that follow this header */
    uint32_t header_bytes;
} ObjectHeader_t;

/** Layout of the types from 0xc0 to 0xdf: number of bytes that hold a size or
 * count, further body bytes, and objects per counted item. */
typedef struct TypeSizes {
    uint8_t count_bytes;
    uint8_t body_bytes;
    uint8_t objects_per_item;
} TypeSizes_t;

static const TypeSizes_t TypeTable[32] = {
    [0x04] = {.count_bytes = 1}, /* bin */
    [0x05] = {.count_bytes = 2},
    [0x06] = {.count_bytes = 4},
    [0x07] = {.count_bytes = 1, .body_bytes = 1}, /* ext */
    [0x08] = {.count_bytes = 2, .body_bytes = 1},
    [0x09] = {.count_bytes = 4, .body_bytes = 1},
    [0x0a] = {.body_bytes = 4}, /* float */
    [0x0b] = {.body_bytes = 8},
    [0x0c] = {.body_bytes = 1}, /* uint */
    [0x0d] = {.body_bytes = 2},
    [0x0e] = {.body_bytes = 4},
    [0x0f] = {.body_bytes = 8},
    [0x10] = {.body_bytes = 1}, /* int */
    [0x11] = {.body_bytes = 2},
    [0x12] = {.body_bytes = 4},
    [0x13] = {.body_bytes = 8},
    [0x14] = {.body_bytes = 2}, /* fixext */
    [0x15] = {.body_bytes = 3},
    [0x16] = {.body_bytes = 5},
    [0x17] = {.body_bytes = 9},
    [0x18] = {.body_bytes = 17},
    [0x19] = {.count_bytes = 1}, /* str */
    [0x1a] = {.count_bytes = 2},
    [0x1b] = {.count_bytes = 4},
    [0x1c] = {.count_bytes = 2, .objects_per_item = 1}, /* array */
    [0x1d] = {.count_bytes = 4, .objects_per_item = 1},
    [0x1e] = {.count_bytes = 2, .objects_per_item = 2}, /* map */
    [0x1f] = {.count_bytes = 4, .objects_per_item = 2},
};

static ObjectHeader_t
decode_fixed_header(uint8_t type)
{
    ObjectHeader_t header = {.header_bytes = 1};
    if (type >= 0xa0 && type < 0xc0) {
        header.skip_bytes = type & 0x1fU;
    }
    else if (type >= 0x90 && type < 0xa0) {
        header.child_objects = type & 0x0fU;
    }
    else if (type >= 0x80 && type < 0x90) {
        header.child_objects = 2 * (uint64_t)(type & 0x0fU);
    }
    return header;
}

static bool
decode_header(const uint8_t *data, uint64_t remaining_bytes,
              ObjectHeader_t *header)
{
    if (data[0] < 0xc0 || data[0] > 0xdf) {
        *header = decode_fixed_header(data[0]);
        return true;
    }
    const TypeSizes_t *sizes = &TypeTable[data[0] - 0xc0];
    if (remaining_bytes <= sizes->count_bytes) {
        return false;
    }
    uint64_t count = 0;
    for (uint32_t i = 1; i <= sizes->count_bytes; i++) {
        count = count << 8 | data[i];
    }
    *header =
        (ObjectHeader_t){.header_bytes = 1 + (uint32_t)sizes->count_bytes,
                         .skip_bytes = sizes->body_bytes};
    if (sizes->objects_per_item > 0) {
        header->child_objects = count * sizes->objects_per_item;
    }
    else {
        header->skip_bytes += count;
    }
    return true;
}

/** True if the first object in data is complete and has at most objects_max
 * objects including itself, so that decoding it needs bounded memory. */
static bool
is_bounded(const uint8_t *data, uint64_t size_bytes, uint64_t objects_max)
{
    uint64_t offset_bytes = 0;
    uint64_t total_objects = 1;
    for (uint64_t checked = 0; checked < total_objects; checked++) {
        ObjectHeader_t header = {0};
        if (offset_bytes >= size_bytes ||
            !decode_header(data + offset_bytes, size_bytes - offset_bytes,
                           &header))
        {
            return false;
        }
        total_objects += header.child_objects;
        offset_bytes += header.header_bytes + header.skip_bytes;
        if (total_objects > objects_max || offset_bytes > size_bytes) {
            return false;
        }
    }
    return true;
}

/** Distinguishes a message of another version from invalid data. */
static EyPeerFault_t
classify_undecodable(const void *ctx, const uint8_t *data, uint32_t size_bytes)
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
check_envelope(const Envelope_t *envelope)
{
    if (envelope->version != EY_PEER_VERSION) {
        return EY_PEER_FAULT_VERSION;
    }
    if (envelope->kind >= EY_PEER_KIND_COUNT) {
        return EY_PEER_FAULT_KIND;
    }
    const EyBytes_t *payload = &envelope->payload;
    bool is_usable =
        payload->size_bytes == 0 ||
        is_bounded(payload->data, payload->size_bytes, PAYLOAD_OBJECTS_MAX);
    if (envelope->from[0] == '\0' || !is_usable) {
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
    if (!is_bounded(data, size_bytes, ENVELOPE_OBJECTS_MAX)) {
        *fault = EY_PEER_FAULT_MALFORMED;
        return NULL;
    }
    EyPeerMessage_t *self = EY_NEW(NULL, EyPeerMessage_t);
    Envelope_t envelope;
    if (EySchema_Unpack(&EnvelopeSchema, self, data, (uint32_t)size_bytes,
                        &envelope, NULL))
    {
        *fault = check_envelope(&envelope);
    }
    else {
        *fault = classify_undecodable(self, data, (uint32_t)size_bytes);
    }
    if (*fault != EY_PEER_FAULT_NONE) {
        (void)talloc_free(self);
        return NULL;
    }
    self->kind = (EyPeerMessageKind_t)envelope.kind;
    (void)EY_COPY(self->from, envelope.from);
    self->from_incarnation = envelope.from_incarnation;
    (void)EY_COPY(self->from_address, envelope.from_address);
    (void)EY_COPY(self->to, envelope.to);
    self->payload = envelope.payload;
    self->sent_ms = envelope.sent_ms;
    return self;
}
