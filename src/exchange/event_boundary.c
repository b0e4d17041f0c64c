#include "exchange/event_boundary.h"

static void
end_line(EyEventBoundary_t *self)
{
    if (!self->is_in_line) {
        self->has_field = false;
    }
    else if (!self->is_in_comment) {
        self->has_field = true;
    }
    self->is_in_line = false;
    self->is_in_comment = false;
}

static void
add_byte(EyEventBoundary_t *self, uint8_t byte)
{
    bool ends_return = byte == '\n' && self->follows_return;
    self->follows_return = byte == '\r';
    if (ends_return) {
        return;
    }
    if (byte == '\n' || byte == '\r') {
        end_line(self);
        return;
    }
    self->is_in_comment =
        self->is_in_comment || (!self->is_in_line && byte == ':');
    self->is_in_line = true;
}

void
EyEventBoundary_Add(EyEventBoundary_t *self, const void *data,
                    size_t size_bytes)
{
    const uint8_t *bytes = data;
    for (size_t i = 0; i < size_bytes; i++) {
        add_byte(self, bytes[i]);
    }
}

bool
EyEventBoundary_IsInside(const EyEventBoundary_t *self)
{
    return self->has_field || (self->is_in_line && !self->is_in_comment);
}

bool
EyEventBoundary_IsBetween(const EyEventBoundary_t *self)
{
    return !self->has_field && !self->is_in_line;
}
