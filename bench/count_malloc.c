/**
 * Counts the allocations of a process. Loaded with LD_PRELOAD; at the first allocation after
 * SIGUSR1 it writes "mallocs N bytes N" to the file named by the environment variable
 * COUNT_MALLOC and resets the counters. For benchmarks only.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static atomic_ulong allocation_count;
static atomic_ulong allocated_bytes;

extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t n, size_t size);
extern void *__libc_realloc(void *pointer, size_t size);

static atomic_bool is_report_requested;
static const char *report_path;

static void write_counts(void)
{
    char text[96];
    int length =
        snprintf(text, sizeof(text), "mallocs %lu bytes %lu\n",
                 atomic_exchange(&allocation_count, 0), atomic_exchange(&allocated_bytes, 0));
    int fd =
        open(report_path == NULL ? "/dev/null" : report_path, O_CREAT | O_WRONLY | O_TRUNC, 0644);
    if (fd >= 0) {
        (void)!write(fd, text, (size_t)length);
        close(fd);
    }
}

static void count_allocation(size_t size)
{
    if (atomic_exchange(&is_report_requested, false)) {
        write_counts(); /* not in the signal handler: snprintf is not async-signal-safe */
    }
    atomic_fetch_add_explicit(&allocation_count, 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&allocated_bytes, size, memory_order_relaxed);
}

void *malloc(size_t size)
{
    count_allocation(size);
    return __libc_malloc(size);
}

void *calloc(size_t n, size_t size)
{
    count_allocation(n * size);
    return __libc_calloc(n, size);
}

void *realloc(void *pointer, size_t size)
{
    count_allocation(size);
    return __libc_realloc(pointer, size);
}

static void handle_sigusr1(int signal_number)
{
    atomic_store(&is_report_requested, true);
}

__attribute__((constructor)) static void install_signal_handler(void)
{
    report_path = getenv("COUNT_MALLOC");
    signal(SIGUSR1, handle_sigusr1);
}
