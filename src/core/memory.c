#include "core/memory.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
out_of_memory(size_t size_bytes)
{
    (void)fprintf(stderr, "out of memory: can't allocate %zu bytes\n",
                  size_bytes);
    abort();
}

void *
EyMemory_Checked(void *memory, size_t size_bytes)
{
    if (memory == NULL) {
        out_of_memory(size_bytes);
    }
    return memset(memory, 0, size_bytes);
}

void *
EyMemory_Array(const void *ctx, size_t size_bytes, size_t count,
               const char *name)
{
    if (count > SIZE_MAX / size_bytes) {
        out_of_memory(SIZE_MAX);
    }
    size_t total_bytes = size_bytes * count;
    void *memory = talloc_named_const(ctx, total_bytes, name);
    return EyMemory_Checked(memory, total_bytes);
}

void *
EyMemory_Block(const void *ctx, size_t size_bytes)
{
    void *memory = talloc_named_const(ctx, size_bytes, "block");
    if (memory == NULL) {
        out_of_memory(size_bytes);
    }
    return memory;
}

char *
EyMemory_Strdup(const void *ctx, const char *text)
{
    if (text == NULL) {
        return NULL;
    }
    char *copy = EyMemory_Copy(ctx, text, strlen(text));
    talloc_set_name_const(copy, "char");
    return copy;
}

void *
EyMemory_Copy(const void *ctx, const void *data, size_t size_bytes)
{
    char *copy = EyMemory_Array(ctx, 1, size_bytes + 1, "bytes");
    if (size_bytes > 0) {
        memcpy(copy, data, size_bytes);
    }
    return copy;
}

void
EyMemory_Free(void *object)
{
    talloc_free(object);
}
