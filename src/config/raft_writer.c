#include "config/raft_writer.h"

#include "core/memory.h"

struct EyRaftWriter {
    EyRaftFile_t *file;
    EyRaftWritten_t written;
    void *data;
    GQueue waiting; /* of EyRaftDiskWrite_t, oldest first */
};

static int
destroy_writer(EyRaftWriter_t *self)
{
    g_queue_clear_full(&self->waiting, EyMemory_Free);
    return 0;
}

EyRaftWriter_t *
EyRaftWriter_New(const void *ctx, EyRaftFile_t *file, EyRaftWritten_t written,
                 void *data)
{
    EyRaftWriter_t *self = EY_NEW(ctx, EyRaftWriter_t);
    self->file = file;
    self->written = written;
    self->data = data;
    g_queue_init(&self->waiting);
    talloc_set_destructor(self, destroy_writer);
    return self;
}

void
EyRaftWriter_Add(EyRaftWriter_t *self, EyRaftDiskWrite_t *disk_write)
{
    if (disk_write->snapshot.index != 0) {
        g_queue_clear_full(&self->waiting, EyMemory_Free);
    }
    g_queue_push_tail(&self->waiting, disk_write);
}

bool
EyRaftWriter_Flush(EyRaftWriter_t *self)
{
    EyRaftDiskWrite_t *disk_write = NULL;
    while ((disk_write = g_queue_peek_head(&self->waiting)) != NULL) {
        GError *error = NULL;
        uint64_t serial = disk_write->serial;
        if (!EyRaftFile_Recover(self->file, &error) ||
            !EyRaftFile_Write(self->file, disk_write, &error))
        {
            self->written(self->data, serial, error->message,
                          self->waiting.length);
            g_error_free(error);
            return false;
        }
        talloc_free(g_queue_pop_head(&self->waiting));
        self->written(self->data, serial, NULL, self->waiting.length);
    }
    return true;
}
