/**
 * Allocation that can't fail quietly: talloc, with an abort and a log line
 * when memory runs out.
 */
#ifndef EY_CORE_MEMORY_H
#define EY_CORE_MEMORY_H

#include <stddef.h>
#include <talloc.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A zeroed object of a type below ctx; aborts when memory runs out. */
#define EY_NEW(ctx, type)                                                     \
    ((type *)EyMemory_Checked(talloc_named_const((ctx), sizeof(type), #type), \
                              sizeof(type)))

/** A zeroed array of count objects below ctx; aborts as EY_NEW does. */
#define EY_NEW_ARRAY(ctx, type, count)                                        \
    ((type *)EyMemory_Array((ctx), sizeof(type), (count), #type))

/** Zeroes size_bytes at memory and returns it; aborts if it is NULL. */
void *
EyMemory_Checked(void *memory, size_t size_bytes);

/** The function behind EY_NEW_ARRAY; count may be 0. */
void *
EyMemory_Array(const void *ctx, size_t size_bytes, size_t count,
               const char *name);

/** A copy of text below ctx; NULL stays NULL. */
char *
EyMemory_Strdup(const void *ctx, const char *text);

/** A copy of size_bytes bytes below ctx, with a zero byte behind them. */
void *
EyMemory_Copy(const void *ctx, const void *data, size_t size_bytes);

/** Frees a talloc object, in the form that GLib's tables ask for. */
void
EyMemory_Free(void *object);

#ifdef __cplusplus
}
#endif

#endif
