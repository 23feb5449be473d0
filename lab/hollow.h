/**
 * Hollow fleets: many nodes in one process that run only the production membership code, on a
 * virtual clock and a simulated network with delay, loss and partitions. Deterministic for a given
 * seed. Used by tests and scale runs.
 */
#ifndef TEALSPAR_LAB_HOLLOW_H
#define TEALSPAR_LAB_HOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/membership.h"

/** Bytes per message beyond the gossip: frame header, nng, TCP and IP in both directions. */
#define LAB_MESSAGE_OVERHEAD_BYTES 160U

typedef struct lab_hollow lab_hollow_t;

typedef struct lab_hollow_config {
    unsigned nodes;
    unsigned zones;
    unsigned delay_ms;   /**< maximum one-way delay within a zone; twice that between zones */
    double drop_percent; /**< percentage of messages lost */
    uint64_t seed;
    /** Number of seed nodes given to a starting node, by address only; 0: it gets all nodes with
     * name and zone. */
    unsigned seeds;
} lab_hollow_config_t;

/** Traffic and failure detection since the last reset. */
typedef struct lab_hollow_report {
    uint64_t messages;
    uint64_t bytes;            /**< including LAB_MESSAGE_OVERHEAD_BYTES per message */
    uint64_t cross_zone_bytes; /**< part of `bytes` sent between zones */
    uint64_t max_node_bytes;   /**< maximum of the bytes sent by any one node */
    uint64_t false_deaths;     /**< times a node declared a running, reachable node dead */
    double seconds;            /**< virtual time */
} lab_hollow_report_t;

lab_hollow_t *lab_hollow_create(const lab_hollow_config_t *config);
void lab_hollow_destroy(lab_hollow_t *fleet);
/** Advances the virtual clock. */
void lab_hollow_advance(lab_hollow_t *fleet, unsigned ms);
/** Simulates a crash: the node no longer sends or receives. */
void lab_hollow_kill(lab_hollow_t *fleet, unsigned node);
/** Restarts a node under its old name with empty state. */
void lab_hollow_start(lab_hollow_t *fleet, unsigned node);
/** Suspends a node; messages to it are delivered when it resumes. */
void lab_hollow_pause(lab_hollow_t *fleet, unsigned node, unsigned ms);
/** Partitions a zone from all others, or heals the partition. */
void lab_hollow_partition_zone(lab_hollow_t *fleet, unsigned zone, bool is_partitioned);
/** Sets the configuration version of a node. */
void lab_hollow_set_config_version(lab_hollow_t *fleet, unsigned node, uint64_t version);
/** Counts running nodes that have this configuration version or a higher one. */
unsigned lab_hollow_count_configured(const lab_hollow_t *fleet, uint64_t version);
/** Counts running nodes that see `node` in `state`; an unknown node counts as dead. */
unsigned lab_hollow_count_seeing(const lab_hollow_t *fleet, unsigned node, ts_member_state_t state);
/** Whether each running node sees as many live nodes as are running, and no suspects. */
bool lab_hollow_is_converged(const lab_hollow_t *fleet);
unsigned lab_hollow_count_running(const lab_hollow_t *fleet);
/** Returns a reference to a node's membership view; release it with ts_view_unref. */
ts_view_t *lab_hollow_view(const lab_hollow_t *fleet, unsigned node);
lab_hollow_report_t lab_hollow_report(const lab_hollow_t *fleet);
/** Resets messages, bytes, false deaths and the start of the measured time. */
void lab_hollow_reset_report(lab_hollow_t *fleet);

#endif
