#include "backends/event_framer.h"

#include "core/memory.h"

#include <string.h>

#define CAPACITY_INITIAL_BYTES 4096

/** Position and results of the scan. */
typedef struct Scan {
    uint32_t size_bytes;       /* of all buffered bytes */
    uint32_t line_start_bytes; /* of the incomplete line */
    uint32_t whole_bytes;
    uint32_t whole_events;
    bool has_field;      /* the incomplete event has a line; comments aside */
    bool has_data;       /* the incomplete event has a data line */
    bool has_done;       /* and its last data line is [DONE] */
    bool last_done;      /* the last complete event was [DONE] */
    bool follows_return; /* the last byte was a CR, which an LF may follow */
    EyEventId_t next_id; /* of the incomplete event */
    EyEventId_t last_id; /* of the last complete event */
} Scan_t;

struct EyEventFramer {
    uint8_t *buffer;
    uint32_t capacity_bytes;
    Scan_t current;
    Scan_t committed;
};

EyEventFramer_t *
EyEventFramer_New(const void *ctx)
{
    return EY_NEW(ctx, EyEventFramer_t);
}

/** Ends the event at a blank line. */
static void
end_event(Scan_t *scan, uint32_t end_bytes)
{
    scan->whole_bytes = end_bytes;
    if (scan->has_data) {
        scan->whole_events++;
        scan->last_done = scan->has_done;
        (void)EY_COPY(scan->last_id, scan->next_id);
    }
    scan->next_id[0] = '\0';
    scan->has_field = false;
    scan->has_data = false;
    scan->has_done = false;
}

/** True for an id that can be sent in a header as it is. */
static bool
is_plain_id(const uint8_t *id, uint32_t size_bytes)
{
    for (uint32_t i = 0; i < size_bytes; i++) {
        if (id[i] < ' ' || id[i] == 0x7f) {
            return false;
        }
    }
    return size_bytes > 0 && size_bytes < EY_EVENT_ID_SIZE_BYTES &&
           id[0] != ' ' && id[size_bytes - 1] != ' ';
}

/** Reads the value of an id line; one that can't be sent in a header counts as
 * none. */
static void
read_id(Scan_t *scan, const uint8_t *line, uint32_t size_bytes)
{
    uint32_t from = 3;
    if (from < size_bytes && line[from] == ' ') {
        from++;
    }
    uint32_t length_bytes = size_bytes - from;
    scan->next_id[0] = '\0';
    if (is_plain_id(line + from, length_bytes)) {
        memcpy(scan->next_id, line + from, length_bytes);
        scan->next_id[length_bytes] = '\0';
    }
}

/** Handles a line without its end; a comment outside of an event is passed on
 * as a complete event is. */
static void
end_line(Scan_t *scan, const uint8_t *line, uint32_t size_bytes,
         uint32_t end_bytes)
{
    if (size_bytes == 0) {
        end_event(scan, end_bytes);
        return;
    }
    if (line[0] == ':') {
        scan->whole_bytes = scan->has_field ? scan->whole_bytes : end_bytes;
        return;
    }
    scan->has_field = true;
    if (size_bytes >= 3 && memcmp(line, "id:", 3) == 0) {
        read_id(scan, line, size_bytes);
        return;
    }
    if (size_bytes >= 4 && memcmp(line, "data", 4) == 0 &&
        (size_bytes == 4 || line[4] == ':'))
    {
        static const char Done[] = "data: [DONE]";
        scan->has_data = true;
        scan->has_done = size_bytes == sizeof(Done) - 1 &&
                         memcmp(line, Done, size_bytes) == 0;
    }
}

/** Adds the LF of a CRLF to the line that its CR has ended. */
static void
end_return(Scan_t *scan, uint32_t at_bytes)
{
    if (scan->whole_bytes == at_bytes) {
        scan->whole_bytes++;
    }
    scan->line_start_bytes = at_bytes + 1;
}

/** Scans the bytes from start_bytes to the end. Lines end with LF, CR or CRLF.
 */
static void
scan_lines(EyEventFramer_t *self, uint32_t start_bytes)
{
    Scan_t *scan = &self->current;
    for (uint32_t at = start_bytes; at < scan->size_bytes; at++) {
        uint8_t byte = self->buffer[at];
        bool ends_return = byte == '\n' && scan->follows_return;
        scan->follows_return = byte == '\r';
        if (ends_return) {
            end_return(scan, at);
        }
        else if (byte == '\n' || byte == '\r') {
            end_line(scan, self->buffer + scan->line_start_bytes,
                     at - scan->line_start_bytes, at + 1);
            scan->line_start_bytes = at + 1;
        }
    }
}

static void
grow(EyEventFramer_t *self, uint32_t wanted_bytes)
{
    if (wanted_bytes <= self->capacity_bytes) {
        return;
    }
    uint32_t capacity_bytes = self->capacity_bytes > 0
                                  ? self->capacity_bytes
                                  : CAPACITY_INITIAL_BYTES;
    while (capacity_bytes < wanted_bytes) {
        capacity_bytes *= 2;
    }
    uint8_t *buffer = EY_NEW_ARRAY(self, uint8_t, capacity_bytes);
    if (self->buffer != NULL) {
        memcpy(buffer, self->buffer, self->current.size_bytes);
    }
    talloc_free(self->buffer);
    self->buffer = buffer;
    self->capacity_bytes = capacity_bytes;
}

bool
EyEventFramer_Add(EyEventFramer_t *self, const void *data, uint32_t size_bytes)
{
    uint32_t held_bytes = self->current.size_bytes;
    if (size_bytes == 0) {
        return true;
    }
    if (size_bytes > UINT32_MAX / 4 || held_bytes > UINT32_MAX / 4) {
        return false;
    }
    grow(self, held_bytes + size_bytes);
    memcpy(self->buffer + held_bytes, data, size_bytes);
    Scan_t before = self->current;
    self->current.size_bytes += size_bytes;
    scan_lines(self, held_bytes);
    if (self->current.size_bytes - self->current.whole_bytes >
        EY_EVENT_MAX_BYTES) {
        self->current = before;
        return false;
    }
    return true;
}

void
EyEventFramer_Rollback(EyEventFramer_t *self)
{
    self->current = self->committed;
}

void
EyEventFramer_Commit(EyEventFramer_t *self)
{
    self->committed = self->current;
}

const uint8_t *
EyEventFramer_Data(const EyEventFramer_t *self)
{
    return self->buffer;
}

uint32_t
EyEventFramer_WholeBytes(const EyEventFramer_t *self)
{
    return self->current.whole_bytes;
}

uint32_t
EyEventFramer_WholeEvents(const EyEventFramer_t *self)
{
    return self->current.whole_events;
}

uint32_t
EyEventFramer_HeldBytes(const EyEventFramer_t *self)
{
    return self->current.size_bytes;
}

void
EyEventFramer_Drop(EyEventFramer_t *self)
{
    Scan_t *scan = &self->current;
    uint32_t dropped_bytes = scan->whole_bytes;
    if (dropped_bytes > 0) {
        scan->size_bytes -= dropped_bytes;
        memmove(self->buffer, self->buffer + dropped_bytes, scan->size_bytes);
        scan->line_start_bytes -= dropped_bytes;
    }
    scan->whole_bytes = 0;
    scan->whole_events = 0;
    EyEventFramer_Commit(self);
}

const char *
EyEventFramer_LastId(const EyEventFramer_t *self)
{
    return self->committed.last_id;
}

bool
EyEventFramer_IsDone(const EyEventFramer_t *self)
{
    return self->current.last_done;
}
