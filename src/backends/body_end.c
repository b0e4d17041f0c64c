#include "backends/body_end.h"

bool
EyBodyEnd_IsWhole(const EyBodyEnd_t *self)
{
    return !self->is_inside_event &&
           (self->is_framed || self->may_end_with_connection ||
            self->says_its_end);
}

bool
EyBodyEnd_IsInferred(const EyBodyEnd_t *self)
{
    return !self->is_framed && !self->says_its_end;
}
