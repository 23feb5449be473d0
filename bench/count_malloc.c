/**
 * Counts allocations of a process: preload it (LD_PRELOAD) and it writes "mallocs N bytes N" to the
 * file named by COUNT_MALLOC at its next allocation after SIGUSR1, and begins anew. For benchmarks
 * only.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static atomic_ulong calls;
static atomic_ulong bytes;

extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t count, size_t size);
extern void *__libc_realloc(void *pointer, size_t size);

static atomic_bool is_wanted;
static const char *path;

static void write_counts(void)
{
    char text[96];
    int length = snprintf(text, sizeof(text), "mallocs %lu bytes %lu\n", atomic_exchange(&calls, 0),
                          atomic_exchange(&bytes, 0));
    int fd = open(path == NULL ? "/dev/null" : path, O_CREAT | O_WRONLY | O_TRUNC, 0644);
    if (fd >= 0) {
        (void)!write(fd, text, (size_t)length);
        close(fd);
    }
}

static void count(size_t size)
{
    if (atomic_exchange(&is_wanted, false)) {
        write_counts(); /* here and not in the handler of the signal, which may do next to nothing
                         */
    }
    atomic_fetch_add_explicit(&calls, 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&bytes, size, memory_order_relaxed);
}

void *malloc(size_t size)
{
    count(size);
    return __libc_malloc(size);
}

void *calloc(size_t number, size_t size)
{
    count(number * size);
    return __libc_calloc(number, size);
}

void *realloc(void *pointer, size_t size)
{
    count(size);
    return __libc_realloc(pointer, size);
}

static void request_counts(int number)
{
    atomic_store(&is_wanted, true);
}

__attribute__((constructor)) static void watch_signal(void)
{
    path = getenv("COUNT_MALLOC");
    signal(SIGUSR1, request_counts);
}
