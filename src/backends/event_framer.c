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
    bool has_data;       /* the incomplete event has a data line */
    bool has_done;       /* and its last data line is [DONE] */
    bool last_done;      /* the last complete event was [DONE] */
    EyEventId_t next_id; /* of the incomplete event */
    EyEventId_t last_id; /* of the last complete event with an id */
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
        if (scan->next_id[0] != '\0') {
            (void)EY_COPY(scan->last_id, scan->next_id);
        }
    }
    scan->next_id[0] = '\0';
    scan->has_data = false;
    scan->has_done = false;
}

/** Reads the value of an id line; an id that is too long is ignored. */
static void
read_id(Scan_t *scan, const uint8_t *line, uint32_t size_bytes)
{
    uint32_t from = 3;
    if (from < size_bytes && line[from] == ' ') {
        from++;
    }
    uint32_t length_bytes = size_bytes - from;
    if (length_bytes < EY_EVENT_ID_SIZE_BYTES) {
        memcpy(scan->next_id, line + from, length_bytes);
        scan->next_id[length_bytes] = '\0';
    }
}

static void
end_line(Scan_t *scan, const uint8_t *line, uint32_t size_bytes,
         uint32_t end_bytes)
{
    if (size_bytes > 0 && line[size_bytes - 1] == '\r') {
        size_bytes--;
    }
    if (size_bytes == 0) {
        end_event(scan, end_bytes);
        return;
    }
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

/** Scans the bytes from start_bytes to the end. */
static void
scan_lines(EyEventFramer_t *self, uint32_t start_bytes)
{
    Scan_t *scan = &self->current;
    uint32_t from = start_bytes;
    while (from < scan->size_bytes) {
        const uint8_t *newline =
            memchr(self->buffer + from, '\n', scan->size_bytes - from);
        if (newline == NULL) {
            return;
        }
        uint32_t at = (uint32_t)(newline - self->buffer);
        end_line(scan, self->buffer + scan->line_start_bytes,
                 at - scan->line_start_bytes, at + 1);
        scan->line_start_bytes = at + 1;
        from = at + 1;
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
