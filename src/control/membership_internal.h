/** Internal declarations shared by the membership_*.c files. */
#ifndef TEALSPAR_MEMBERSHIP_INTERNAL_H
#define TEALSPAR_MEMBERSHIP_INTERNAL_H

#include <glib.h>

#include "tealspar.pb-c.h"
#include "tealspar/membership.h"

/** Value of `rumour_sends_left` above the regular limit: the next message carries the rumour. */
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
    bool has_final_probe;       /* the final probe before death was sent, or skipped at random */
    bool has_left;              /* announced that it is leaving, in this incarnation */
    bool is_listed;             /* by the platform */
    bool is_in_new_list;        /* in the machine list being updated */
    unsigned rumour_sends_left; /* messages that still carry its state */
    uint64_t barrier_sequence;  /* unacknowledged barrier probe; 0: none */
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
    unsigned rounds;
    probe_t probe;
    GHashTable *relays; /* sequence -> relay_t, owned */
    uint64_t sequence;
    uint64_t random;
    uint64_t config_version;
    uint64_t config_digest;
    ts_time_us_t now_us;
    ts_time_us_t next_probe_us;
    ts_time_us_t next_join_us;
    ts_time_us_t next_dead_retry_us;
    ts_time_us_t next_sync_us;
    ts_time_us_t next_repair_us;
    ts_time_us_t sync_interval_us;
    uint64_t digest; /* of the view; see ts_member_digest_view */
    bool is_digest_known;
    ts_time_us_t barrier_until_us; /* 0: no barrier was begun */
    ts_time_us_t next_barrier_us;
    ts_time_us_t suspicion_paused_until_us;
    uint64_t ownership_epoch;    /* incremented by every refutation and every stall */
    unsigned probe_history;      /* results of probes within the zone, latest in bit 0; 1: failed */
    bool is_unacked_since_stall; /* no acknowledgement was received since the last stall */
    bool has_joined;
    bool has_machine_list;
    bool is_leaving;
    bool is_view_changed;
    bool is_push_due;
};

/** Returns the next 64 bits of the seeded generator. */
uint64_t ts_member_next_random(ts_membership_t *m);
/** Returns the member with that name, or NULL. */
member_t *ts_member_find_member(const ts_membership_t *m, const char *name);
/** How many messages carry each rumour. */
unsigned ts_member_rumour_limit(const ts_membership_t *m);
/** Changes a member's state and incarnation; all state changes go through here. */
void ts_member_set_state(ts_membership_t *m, member_t *member, ts_member_state_t state,
                         uint64_t incarnation);
/** Adds a member in state TS_MEMBER_DEAD; copies the strings. */
member_t *ts_member_add_member(ts_membership_t *m, const char *name, const char *address,
                               const char *zone);
void ts_member_remove_member(ts_membership_t *m, member_t *member);
/** Digest of the members in the view; cached until a state changes. */
uint64_t ts_member_digest_view(ts_membership_t *m);
/** Sends one gossip message with the rumours that are due; `target` may be NULL. */
void ts_member_send_gossip(ts_membership_t *m, const char *name, const char *address,
                           gossip_type_t type, uint64_t sequence, const char *target);
/** Sends the full member list, split into messages of bounded size. */
void ts_member_send_sync(ts_membership_t *m, const char *name, const char *address);
/** Whether a member is live, suspect or leaving. */
bool ts_member_is_active(const member_t *member);
/** Whether at least two of the last four probes within the zone failed. */
bool ts_member_is_isolated(const ts_membership_t *m);
/** Whether a member is in this node's zone. */
bool ts_member_is_same_zone(const ts_membership_t *m, const member_t *member);
/** Returns a random active member other than this node and `other`, or NULL. */
member_t *ts_member_choose_random(ts_membership_t *m, const member_t *other);
/** Discards the pending probe. */
void ts_member_clear_probe(ts_membership_t *m);
/** Records the result of a probe; ignored for targets in other zones. */
void ts_member_record_probe(ts_membership_t *m, const member_t *target, bool has_failed);
/** Checks the pending probe for timeouts: sends indirect probes, then suspects the target. */
void ts_member_check_probe(ts_membership_t *m);
void ts_member_start_due_probe(ts_membership_t *m);
/** Starts probing all active members until each has acknowledged or the barrier times out. */
void ts_member_begin_barrier(ts_membership_t *m);
/** Probes members again that have not acknowledged the barrier. */
void ts_member_check_barrier(ts_membership_t *m);
/** Handles an acknowledgement; returns whether it belongs to a barrier probe. */
bool ts_member_handle_barrier_ack(ts_membership_t *m, uint64_t sequence);
/** Expires the suspect and leaving states and removes dead members after their retention time. */
void ts_member_expire_members(ts_membership_t *m);
/** Sets the current time; a jump is treated as a stall of this process. */
void ts_member_advance_clock(ts_membership_t *m, ts_time_us_t now_us);
/** Replaces an owned string if the new one differs. */
void ts_member_replace_string(char **place, const char *text);

#endif
