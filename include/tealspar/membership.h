/**
 * Membership by gossip: SWIM-style probes with suspicion, refutation by incarnation, and rumours
 * that are pushed eagerly to a few members and carried along on probes. Pure: the clock, the
 * network and the random seed are given, so that nodes, hollow fleets and fuzzers run the same
 * code.
 *
 * Published ideas used: SWIM (Das, Gupta, Motivala 2002); self-doubt after a local pause as in
 * Lifeguard (Dadgar, Phillips, Currey 2018).
 */
#ifndef TEALSPAR_MEMBERSHIP_H
#define TEALSPAR_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/view.h"

typedef struct ts_membership ts_membership_t;

/** What membership needs from its surroundings. */
typedef struct ts_membership_ops {
    /** Sends a packed gossip to a node. */
    void (*send)(void *context, const char *name, const char *address, const uint8_t *bytes,
                 size_t length);
    /** Somebody's configuration in force was heard. */
    void (*heard_config)(void *context, const char *name, const char *address, uint64_t version,
                         uint64_t digest);
    /** The view has changed; called at most once a tick, and before a probe is answered. */
    void (*changed)(void *context);
    /** A member changed its state; for logs. `old` is TS_MEMBER_DEAD for one that is new. */
    void (*member_changed)(void *context, const char *name, ts_member_state_t old,
                           ts_member_state_t state);
} ts_membership_ops_t;

typedef struct ts_membership_config {
    const char *name;
    const char *address;
    const char *zone;
    uint64_t incarnation;
    uint64_t seed;
    /** A connection that has gone silent is given up by the transport at the next message: a probe
     * that is not answered goes to its target once more beside the indirect ones. */
    bool probes_again;
    /** A node that leaves asks all members whether they know it, see ts_membership_begin_barrier.
     */
    bool uses_barriers;
} ts_membership_config_t;

/** Time between probes; every limit below is a multiple of it. */
#define TS_MEMBERSHIP_PERIOD_US (1000ULL * TS_US_PER_MS)
/** How often ts_membership_tick is to be called. */
#define TS_MEMBERSHIP_TICK_US (100ULL * TS_US_PER_MS)

/** Creates it; the texts of `config` are copied. */
ts_membership_t *ts_membership_create(const ts_membership_config_t *config,
                                      const ts_membership_ops_t *ops, void *context,
                                      ts_time_us_t now_us);
void ts_membership_destroy(ts_membership_t *membership);
/** Does what is due. */
void ts_membership_tick(ts_membership_t *membership, ts_time_us_t now_us);
/** Takes a gossip from a node. Unreadable ones are dropped; returns whether it was readable. */
bool ts_membership_receive(ts_membership_t *membership, const char *from_name,
                           const char *from_address, const uint8_t *bytes, size_t length,
                           ts_time_us_t now_us);
/** A connection to a node ended: probe it at once. */
void ts_membership_peer_lost(ts_membership_t *membership, const char *name, ts_time_us_t now_us);
/** Begins an update of the platform's list; machines not listed until the end are delisted. */
void ts_membership_begin_machines(ts_membership_t *membership);
/** One machine of the platform's list: a seed; gossip decides on its state. */
void ts_membership_add_machine(ts_membership_t *membership, const char *name, const char *address,
                               const char *zone);
void ts_membership_end_machines(ts_membership_t *membership);
/** The configuration in force here; told along with every gossip, and pushed when it changes. */
void ts_membership_set_config(ts_membership_t *membership, uint64_t version, uint64_t digest);
/** Announces that this node leaves; begins a barrier, if it uses them. */
void ts_membership_leave(ts_membership_t *membership, ts_time_us_t now_us);
/**
 * Begins a barrier: it is passed when each member has answered that it knows that this node leaves
 * and has handled all that was sent to it before, or after a second.
 */
void ts_membership_begin_barrier(ts_membership_t *membership, ts_time_us_t now_us);
/** Whether the last barrier is passed. */
bool ts_membership_is_barrier_passed(const ts_membership_t *membership, ts_time_us_t now_us);
/** Whether another member has answered, or nobody else is known. */
bool ts_membership_has_joined(const ts_membership_t *membership);
/** A view as of now; the caller owns one reference. */
ts_view_t *ts_membership_view(const ts_membership_t *membership);
/** Members in a state, this node included. */
size_t ts_membership_count(const ts_membership_t *membership, ts_member_state_t state);

#endif
