/** Division of a process's memory and descriptors. */
#include "tealspar/process_limits.h"

#include <glib.h>
#include <sys/resource.h>
#include <uv.h>

#define BYTES_PER_MB ((uint64_t)1 << 20)
/* Answers, requests and the kernel's buffers get one of these parts of the memory each. */
#define MEMORY_PARTS 4
/* Descriptors that are not used for sockets. */
#define FILE_DESCRIPTORS 200U
/* Shares of the other descriptors. The rest is for peers, the store and listeners. */
#define CALLERS_SHARE 0.4
#define BACKENDS_SHARE 0.4
#define OTHERS_MAX 32U

/* The machine's memory, or the process's share of it if that is limited. */
static uint64_t machine_memory_bytes(void)
{
    uint64_t total = uv_get_total_memory();
    uint64_t share = uv_get_constrained_memory();
    return share > 0 && share < total ? share : total;
}

/* Number of descriptors for sockets. */
static unsigned count_sockets(uint32_t descriptors_max)
{
    struct rlimit limit;
    uint64_t descriptors = descriptors_max == 0 ? UINT32_MAX : descriptors_max;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < descriptors)
        descriptors = limit.rlim_cur;
    return (unsigned)MAX(descriptors, 2 * FILE_DESCRIPTORS) - FILE_DESCRIPTORS;
}

ts_process_limits_t ts_process_limits(uint32_t memory_mb, uint32_t descriptors_max)
{
    uint64_t memory = memory_mb == 0 ? machine_memory_bytes() : memory_mb * BYTES_PER_MB;
    size_t part = (size_t)(memory / MEMORY_PARTS);
    unsigned sockets = count_sockets(descriptors_max);
    return (ts_process_limits_t){.answer_bytes = part,
                                 .request_bytes = part,
                                 .socket_bytes = part,
                                 .callers_max = (unsigned)(CALLERS_SHARE * sockets),
                                 .backends_max = (unsigned)(BACKENDS_SHARE * sockets),
                                 .others_max = OTHERS_MAX};
}
