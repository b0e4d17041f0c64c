/**
 * Checked allocation: talloc, with a message on standard error and an abort
 * when memory runs out.
 */
#ifndef EY_CORE_MEMORY_H
#define EY_CORE_MEMORY_H

#include <stddef.h>
#include <talloc.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Allocates a zeroed object as a child of ctx; aborts if out of memory. */
#define EY_NEW(ctx, type)                                                     \
    ((type *)EyMemory_Checked(talloc_named_const((ctx), sizeof(type), #type), \
                              sizeof(type)))

/** Allocates a zeroed array of count objects as a child of ctx; aborts if out
 * of memory. */
#define EY_NEW_ARRAY(ctx, type, count)                                        \
    ((type *)EyMemory_Array((ctx), sizeof(type), (count), #type))

/** Zeroes size_bytes at memory and returns it; aborts if it is NULL. */
void *
EyMemory_Checked(void *memory, size_t size_bytes);

/** Implements EY_NEW_ARRAY; count may be 0. */
void *
EyMemory_Array(const void *ctx, size_t size_bytes, size_t count,
               const char *name);

/** Allocates a block that isn't zeroed, as a child of ctx; aborts if out of
 * memory. */
void *
EyMemory_Block(const void *ctx, size_t size_bytes);

/** Copies a string as a child of ctx; NULL gives NULL. */
char *
EyMemory_Strdup(const void *ctx, const char *text);

/** Copies size_bytes bytes as a child of ctx and appends a zero byte. */
void *
EyMemory_Copy(const void *ctx, const void *data, size_t size_bytes);

/** Frees a talloc object; a GDestroyNotify for GLib containers. */
void
EyMemory_Free(void *object);

#ifdef __cplusplus
}
#endif

#endif
