/** Division of a process's memory and descriptors. */
#include "tealspar/process_limits.h"

#include <glib.h>
#include <uv.h>

#define BYTES_PER_MB ((uint64_t)1 << 20)
/* Answers, requests and the kernel's buffers get one of these parts of the memory each. */
#define MEMORY_PARTS 4

/* The machine's memory, or the process's share of it if that is limited. */
static uint64_t machine_memory_bytes(void)
{
    uint64_t total = uv_get_total_memory();
    uint64_t share = uv_get_constrained_memory();
    return share > 0 && share < total ? share : total;
}

ts_process_limits_t ts_process_limits(uint32_t memory_mb)
{
    uint64_t memory = memory_mb == 0 ? machine_memory_bytes() : memory_mb * BYTES_PER_MB;
    size_t part = (size_t)(memory / MEMORY_PARTS);
    return (ts_process_limits_t){.answer_bytes = part, .request_bytes = part, .socket_bytes = part};
}
