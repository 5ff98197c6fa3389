/* Counts memory blocks and their bytes: loaded before the C library (LD_PRELOAD) into a Python that takes all
   its memory from there (PYTHONMALLOC=malloc). One thread is all that is counted. */
#include <stddef.h>

extern void *__libc_malloc(size_t);
extern void *__libc_calloc(size_t, size_t);
extern void *__libc_realloc(void *, size_t);

unsigned long long bench_blocks = 0, bench_bytes = 0;

void *malloc(size_t size) { bench_blocks++; bench_bytes += size; return __libc_malloc(size); }
void *calloc(size_t count, size_t size) {
    bench_blocks++; bench_bytes += count * size; return __libc_calloc(count, size);
}
void *realloc(void *old, size_t size) { bench_blocks++; bench_bytes += size; return __libc_realloc(old, size); }
