/** Internal declarations shared by the membership_*.c files. */
#ifndef TEALSPAR_MEMBERSHIP_INTERNAL_H
#define TEALSPAR_MEMBERSHIP_INTERNAL_H

#include <glib.h>

#include "tealspar.pb-c.h"
#include "tealspar/membership.h"

/**
 * Value of `rumour_sends_left` higher than any regular one. Messages carry the rumours with the
 * most sends left, so the next one carries this rumour.
 */
#define TS_MEMBER_RUMOUR_URGENT 100U

typedef enum gossip_type {
    GOSSIP_PING = 1,
    GOSSIP_ACK,
    GOSSIP_PING_REQUEST,
    GOSSIP_RUMOURS,
    GOSSIP_SYNC_REQUEST,
    GOSSIP_SYNC
} gossip_type_t;

typedef struct member {
    char *name;
    char *address;
    char *zone;
    uint64_t incarnation;
    ts_member_state_t state;
    ts_time_us_t state_since_us;
    ts_time_us_t suspicion_timeout_us; /* time from suspect to dead */
    bool is_final_probe_done;          /* sent or skipped at random, see send_final_probe */
    bool has_left;                     /* announced that it is leaving, in this incarnation */
    bool is_listed;                    /* in the platform's machine list */
    bool is_in_new_list;               /* in the machine list being updated */
    unsigned rumour_sends_left;        /* further messages that will carry this member's state */
    uint64_t barrier_sequence;         /* unacknowledged barrier probe; 0: none */
} member_t;

/* The probe that is waiting for its acknowledgement. */
typedef struct probe {
    char *target; /* NULL: no probe is pending */
    uint64_t sequence;
    ts_time_us_t sent_us;
    bool is_indirect_sent;
} probe_t;

/* An indirect probe sent on behalf of another node; its acknowledgement is forwarded. */
typedef struct relay {
    char *requester;
    char *requester_address;
    uint64_t requester_sequence;
    ts_time_us_t sent_us;
} relay_t;

struct ts_membership {
    ts_membership_ops_t ops;
    bool retries_probe;
    bool uses_barriers;
    void *context;
    GHashTable *members; /* name -> member_t, owned; this node included */
    member_t *self;
    GPtrArray *order; /* all members, shuffled: the order of probes */
    guint order_next;
    unsigned attempts; /* join requests and probe rounds so far; selects the next target's zone */
    probe_t probe;
    GHashTable *relays; /* sequence -> relay_t, owned */
    uint64_t sequence;  /* of the last probe sent by this node, barrier probes included */
    uint64_t random_state;
    uint64_t config_version;
    uint64_t config_digest;
    ts_time_us_t now_us;
    ts_time_us_t next_probe_us;
    ts_time_us_t next_join_us;
    ts_time_us_t next_dead_retry_us;
    ts_time_us_t next_sync_us;
    ts_time_us_t next_resend_us;   /* of recent changes to a peer with another view */
    ts_time_us_t sync_interval_us; /* between full exchanges; doubles with each one */
    uint64_t digest;               /* of the view; see ts_member_digest_view */
    bool is_digest_valid;
    ts_time_us_t barrier_until_us; /* 0: no barrier was begun */
    ts_time_us_t next_barrier_retry_us;
    ts_time_us_t suspicion_paused_until_us;
    uint64_t ownership_epoch;    /* see ts_view_t; incremented by refutations and stalls */
    unsigned probe_history;      /* results of probes within the zone, latest in bit 0; 1: failed */
    bool is_unacked_since_stall; /* no acknowledgement was received since the last stall */
    bool has_joined;
    bool has_machine_list;
    bool is_leaving;
    bool is_view_changed;
    bool is_rumour_push_due;
};

/** Returns the next 64 bits of the seeded generator. */
uint64_t ts_member_next_random(ts_membership_t *m);
/** Returns the member with that name, or NULL. */
member_t *ts_member_find_member(const ts_membership_t *m, const char *name);
/** Number of messages that carry each rumour; grows with the number of members. */
unsigned ts_member_rumour_limit(const ts_membership_t *m);
/** Changes a member's state and incarnation; all state changes go through here. */
void ts_member_set_state(ts_membership_t *m, member_t *member, ts_member_state_t state,
                         uint64_t incarnation);
/**
 * Adds a member that has not been heard of yet: it is TS_MEMBER_DEAD until a rumour says otherwise.
 * Copies the strings.
 */
member_t *ts_member_add_member(ts_membership_t *m, const char *name, const char *address,
                               const char *zone);
void ts_member_remove_member(ts_membership_t *m, member_t *member);
/** Digest of the names and incarnations of all active members; cached until a state changes. */
uint64_t ts_member_digest_view(ts_membership_t *m);
/**
 * Sends one gossip message to the node with that name and address, together with the rumours that
 * have the most sends left. `sequence` is 0 unless the message belongs to a probe. `target`: the
 * member to probe, for GOSSIP_PING_REQUEST; otherwise NULL.
 */
void ts_member_send_gossip(ts_membership_t *m, const char *name, const char *address,
                           gossip_type_t type, uint64_t sequence, const char *target);
/**
 * Sends all members that have been heard of, dead ones included, split into messages of bounded
 * size. Machines known from the platform's list only are left out.
 */
void ts_member_send_sync(ts_membership_t *m, const char *name, const char *address);
/** Whether a member is live, suspect or leaving. */
bool ts_member_is_active(const member_t *member);
/**
 * Whether this node appears cut off from its zone: at least two of its last four probes within the
 * zone failed.
 */
bool ts_member_is_isolated(const ts_membership_t *m);
/** Whether a member is in this node's zone. */
bool ts_member_is_same_zone(const ts_membership_t *m, const member_t *member);
/** Returns a random active member other than this node and `excluded`, or NULL. */
member_t *ts_member_choose_random(ts_membership_t *m, const member_t *excluded);
/** Discards the pending probe. */
void ts_member_clear_probe(ts_membership_t *m);
/** Records the result of a probe; ignored for targets in other zones. */
void ts_member_record_probe(ts_membership_t *m, const member_t *target, bool has_failed);
/** Checks the pending probe for timeouts: sends indirect probes, then suspects the target. */
void ts_member_check_probe(ts_membership_t *m);
/** Starts the next probe if it is due and no other probe is pending. */
void ts_member_start_due_probe(ts_membership_t *m);
/** Starts probing all other active members until each has acknowledged or the barrier times out. */
void ts_member_begin_barrier(ts_membership_t *m);
/** Probes members again that have not acknowledged the barrier, when a retry is due. */
void ts_member_check_barrier(ts_membership_t *m);
/** Handles an acknowledgement; returns whether it belongs to a barrier probe. */
bool ts_member_handle_barrier_ack(ts_membership_t *m, uint64_t sequence);
/**
 * Sends due final probes, expires the suspect and leaving states, and removes dead members that are
 * not listed after the retention time.
 */
void ts_member_expire_members(ts_membership_t *m);
/**
 * Sets the current time. A step of more than STALL_THRESHOLD_US counts as a stall of this process:
 * suspicion is paused, the pending probe is discarded and `ownership_epoch` is incremented.
 */
void ts_member_advance_clock(ts_membership_t *m, ts_time_us_t now_us);
/** Replaces an owned string if the new one differs. */
void ts_member_replace_string(char **string, const char *text);

#endif
