/**
 * Gossip membership: SWIM-style probes with suspicion, refutation by incarnation number, and
 * rumours (state updates) that are pushed to a few members at once and piggybacked on probes. The
 * caller supplies the clock, the network and the random seed, so nodes, simulated fleets and
 * fuzzers run the same code.
 *
 * Based on SWIM (Das, Gupta, Motivala 2002). As in Lifeguard (Dadgar, Phillips, Currey 2018), a
 * node distrusts its own failure detector for a while after a local pause.
 */
#ifndef TEALSPAR_MEMBERSHIP_H
#define TEALSPAR_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/view.h"

typedef struct ts_membership ts_membership_t;

/** Callbacks implemented by the embedding task. */
typedef struct ts_membership_ops {
    /** Sends a packed gossip message to a node. */
    void (*send)(void *context, const char *name, const char *address, const uint8_t *bytes,
                 size_t length);
    /** A peer announced its active configuration. */
    void (*config_announced)(void *context, const char *name, const char *address, uint64_t version,
                             uint64_t digest);
    /**
     * The view has changed. Called at most once per tick and, with `uses_barriers`, before a probe
     * is acknowledged.
     */
    void (*view_changed)(void *context);
    /** A member changed state; for logging. `old` is TS_MEMBER_DEAD for a new member. */
    void (*member_changed)(void *context, const char *name, ts_member_state_t old,
                           ts_member_state_t state);
} ts_membership_ops_t;

typedef struct ts_membership_config {
    const char *name;
    const char *address;
    const char *zone;
    uint64_t incarnation;
    uint64_t seed;
    /**
     * Resend an unanswered probe to its target along with the indirect probes. For a transport that
     * closes an unresponsive connection only when the next message is sent.
     */
    bool retries_probe;
    /** Run a barrier when this node leaves, see ts_membership_begin_barrier. */
    bool uses_barriers;
} ts_membership_config_t;

/** Probe interval. */
#define TS_MEMBERSHIP_PERIOD_US (1000ULL * TS_US_PER_MS)
/** Interval at which ts_membership_tick must be called. */
#define TS_MEMBERSHIP_TICK_US (100ULL * TS_US_PER_MS)

/** Copies the strings of `config`. */
ts_membership_t *ts_membership_create(const ts_membership_config_t *config,
                                      const ts_membership_ops_t *ops, void *context,
                                      ts_time_us_t now_us);
void ts_membership_destroy(ts_membership_t *membership);
/** Runs everything that is due: joining, probes, suspicion timeouts, retries, rumours. */
void ts_membership_tick(ts_membership_t *membership, ts_time_us_t now_us);
/** Handles a gossip message from a node; returns false if it could not be unpacked. */
bool ts_membership_receive(ts_membership_t *membership, const char *from_name,
                           const char *from_address, const uint8_t *bytes, size_t length,
                           ts_time_us_t now_us);
/**
 * Handles the end of a connection to a node: a leaving one becomes dead; any other active one is
 * suspected with a shortened timeout (unless suspicion is paused) and probed immediately.
 */
void ts_membership_handle_peer_lost(ts_membership_t *membership, const char *name,
                                    ts_time_us_t now_us);
/**
 * Begins an update of the platform's machine list. Machines not added before
 * ts_membership_end_machines are delisted.
 */
void ts_membership_begin_machines(ts_membership_t *membership);
/**
 * Adds one machine of the platform's list, as a seed. Its state is determined by gossip only; its
 * address and zone are those of the list until gossip reports them.
 */
void ts_membership_add_machine(ts_membership_t *membership, const char *name, const char *address,
                               const char *zone);
void ts_membership_end_machines(ts_membership_t *membership);
/** Sets this node's active configuration. It is announced at the next tick and in every message. */
void ts_membership_set_config(ts_membership_t *membership, uint64_t version, uint64_t digest);
/** Announces that this node is leaving; begins a barrier if `uses_barriers` is set. */
void ts_membership_leave(ts_membership_t *membership, ts_time_us_t now_us);
/**
 * Begins a barrier. It is passed once every other active member has acknowledged that it knows this
 * node is leaving and has handled all earlier messages from it, or after one second.
 */
void ts_membership_begin_barrier(ts_membership_t *membership, ts_time_us_t now_us);
bool ts_membership_is_barrier_passed(const ts_membership_t *membership, ts_time_us_t now_us);
/** Whether another member has sent its member list, or the machine list names no other machine. */
bool ts_membership_has_joined(const ts_membership_t *membership);
/** Creates a view of the active members (all but dead ones); the caller owns one reference. */
ts_view_t *ts_membership_view(const ts_membership_t *membership);
/** Number of members in a state, including this node. */
size_t ts_membership_count(const ts_membership_t *membership, ts_member_state_t state);

#endif
