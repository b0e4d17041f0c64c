#include "sync_calls.h"

#include <errno.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

SyncCalls_t Sync_calls;

static int
sync_descriptor(long system_call, int descriptor)
{
    struct stat status;
    bool is_folder =
        fstat(descriptor, &status) == 0 && S_ISDIR(status.st_mode);
    (void)__atomic_add_fetch(is_folder ? &Sync_calls.folder_count
                                       : &Sync_calls.file_count,
                             1, __ATOMIC_SEQ_CST);
    if (is_folder ? Sync_calls.folder_fails : Sync_calls.file_fails) {
        errno = EIO;
        return -1;
    }
    return (int)syscall(system_call, descriptor);
}

int
fsync(int fd)
{
    return sync_descriptor(SYS_fsync, fd);
}

int
fdatasync(int fildes)
{
    return sync_descriptor(SYS_fdatasync, fildes);
}
