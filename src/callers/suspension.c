#include "callers/suspension.h"

#include <microhttpd.h>

void
EySuspension_Init(EySuspension_t *self, struct MHD_Connection *connection)
{
    *self = (EySuspension_t){.connection = connection};
    (void)pthread_mutex_init(&self->lock, NULL);
}

void
EySuspension_Clear(EySuspension_t *self)
{
    (void)pthread_mutex_destroy(&self->lock);
}

bool
EySuspension_TrySuspend(EySuspension_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    bool suspends = !self->wake_pending && !self->closed;
    self->wake_pending = false;
    if (suspends) {
        self->suspended = true;
        MHD_suspend_connection(self->connection);
    }
    (void)pthread_mutex_unlock(&self->lock);
    return suspends;
}

/** Resumes the connection, or records the wake if it isn't suspended. The lock
 * must be held. */
static void
wake_locked(EySuspension_t *self)
{
    if (!self->suspended) {
        self->wake_pending = true;
        return;
    }
    self->suspended = false;
    MHD_resume_connection(self->connection);
}

void
EySuspension_Wake(EySuspension_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    wake_locked(self);
    (void)pthread_mutex_unlock(&self->lock);
}

void
EySuspension_Close(EySuspension_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->closed = true;
    wake_locked(self);
    (void)pthread_mutex_unlock(&self->lock);
}

bool
EySuspension_IsClosed(EySuspension_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    bool closed = self->closed;
    (void)pthread_mutex_unlock(&self->lock);
    return closed;
}
