/** How the memory and the descriptors that a process may use are divided. */
#ifndef TEALSPAR_PROCESS_LIMITS_H
#define TEALSPAR_PROCESS_LIMITS_H

#include <stddef.h>
#include <stdint.h>

typedef struct ts_process_limits {
    size_t answer_bytes;   /**< for answers on their way to callers */
    size_t request_bytes;  /**< for requests of callers */
    size_t socket_bytes;   /**< for the kernel's buffers of callers' connections */
    unsigned callers_max;  /**< connections of callers */
    unsigned backends_max; /**< connections to backends */
    unsigned others_max;   /**< connections to each of the ports for readiness and metrics */
} ts_process_limits_t;

/**
 * `memory_mb`: memory that the process may use; 0: all of the machine. `descriptors_max`:
 * descriptors that it may open; 0: up to the system's limit, which counts in any case.
 */
ts_process_limits_t ts_process_limits(uint32_t memory_mb, uint32_t descriptors_max);

#endif
