/**
 * Hollow fleets: the real membership code of many nodes in one process, on a virtual clock and a
 * simulated network that delays, drops and cuts. Deterministic by seed. Used by tests and for the
 * scale runs.
 */
#ifndef TEALSPAR_LAB_HOLLOW_H
#define TEALSPAR_LAB_HOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/membership.h"

/** Bytes that a message costs beside its gossip: frame head, nng, TCP and IP both ways. */
#define LAB_MESSAGE_OVERHEAD_BYTES 160U

typedef struct lab_hollow lab_hollow_t;

typedef struct lab_hollow_config {
    unsigned nodes;
    unsigned zones;
    unsigned delay_ms;   /**< one way within a zone, at most; other zones add as much */
    double drop_percent; /**< of messages */
    uint64_t seed;
    unsigned seeds; /**< nodes that a starting one knows, by address alone; 0: all, listed */
} lab_hollow_config_t;

/** What a fleet has cost and shown so far. */
typedef struct lab_hollow_report {
    uint64_t messages;
    uint64_t bytes;        /**< with the overhead */
    uint64_t zone_bytes;   /**< of these, between zones */
    uint64_t busiest;      /**< bytes that the busiest node sent */
    uint64_t false_deaths; /**< a running node declared dead by a running node, once a pair */
    double seconds;        /**< virtual */
} lab_hollow_report_t;

lab_hollow_t *lab_hollow_create(const lab_hollow_config_t *config);
void lab_hollow_destroy(lab_hollow_t *fleet);
/** Lets virtual time pass. */
void lab_hollow_run(lab_hollow_t *fleet, unsigned ms);
/** The process of a node ends: nothing is sent or received any more. */
void lab_hollow_kill(lab_hollow_t *fleet, unsigned node);
/** A node starts again under its name, knowing nothing. */
void lab_hollow_start(lab_hollow_t *fleet, unsigned node);
/** A node stands still for a while; what is sent to it waits. */
void lab_hollow_pause(lab_hollow_t *fleet, unsigned node, unsigned ms);
/** Cuts a zone from all others, or heals it. */
void lab_hollow_cut(lab_hollow_t *fleet, unsigned zone, bool is_cut);
/** A node learns of a new configuration version. */
void lab_hollow_configure(lab_hollow_t *fleet, unsigned node, uint64_t version);
/** Running nodes that hold this version or a higher one. */
unsigned lab_hollow_configured(const lab_hollow_t *fleet, uint64_t version);
/** Running nodes that believe `node` to be in this state (dead: or do not know it). */
unsigned lab_hollow_believers(const lab_hollow_t *fleet, unsigned node, ts_member_state_t state);
/** Whether every running node sees exactly the running nodes as live. */
bool lab_hollow_is_converged(const lab_hollow_t *fleet);
/** Nodes running now. */
unsigned lab_hollow_running(const lab_hollow_t *fleet);
/** The view of one node. */
ts_view_t *lab_hollow_view(const lab_hollow_t *fleet, unsigned node);
lab_hollow_report_t lab_hollow_report(const lab_hollow_t *fleet);
/** Begins to count messages, bytes and false deaths anew. */
void lab_hollow_reset_report(lab_hollow_t *fleet);

#endif
