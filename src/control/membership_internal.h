/** What the modules of membership share among themselves. */
#ifndef TEALSPAR_MEMBERSHIP_INTERNAL_H
#define TEALSPAR_MEMBERSHIP_INTERNAL_H

#include <glib.h>

#include "tealspar.pb-c.h"
#include "tealspar/membership.h"

/** As rumours left to send: more than any has, so that it goes into the next message. */
#define TS_MEMBER_RUMOUR_FIRST 100U

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
    ts_time_us_t since_us;     /* of the state */
    ts_time_us_t suspicion_us; /* how long a suspicion lasts before death */
    bool is_reconfirmed;       /* the last probe before death was sent */
    bool has_left;             /* said that it leaves, in this incarnation */
    bool is_listed;            /* by the platform */
    bool list_mark;
    unsigned rumour_sends; /* times the state is still to be told */
    uint64_t barrier;      /* sequence of the barrier's probe that it has not answered; 0: none */
} member_t;

/* One probe that waits for its answer. */
typedef struct probe {
    char *target; /* NULL: no probe is out */
    uint64_t sequence;
    ts_time_us_t sent_us;
    bool is_indirect_sent;
} probe_t;

/* A probe made for another node, to be answered to it. */
typedef struct relay {
    char *requester;
    char *requester_address;
    uint64_t requester_sequence;
    ts_time_us_t sent_us;
} relay_t;

struct ts_membership {
    ts_membership_ops_t ops;
    bool probes_again;
    bool uses_barriers;
    void *context;
    GHashTable *members; /* name -> member_t, owned; this node included */
    member_t *self;
    GPtrArray *order; /* of member_t, shuffled, for the rounds of probes */
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
    ts_time_us_t sync_gap_us;
    uint64_t digest; /* of the view; see digest_view */
    bool is_digest_known;
    ts_time_us_t barrier_until_us; /* 0: none was begun */
    ts_time_us_t next_barrier_us;
    ts_time_us_t doubt_until_us;
    uint64_t standing;      /* grows with every refutation and every stall */
    unsigned probe_history; /* of this zone's probes, newest in the lowest bit; 1: failed */
    bool is_doubtful;       /* stood still, and nobody has answered since */
    bool has_joined;
    bool has_list;
    bool is_leaving;
    bool is_changed;
    bool push_due;
};

/** Fresh random bits. */
uint64_t ts_member_next_random(ts_membership_t *m);
/** A member by name, or NULL. */
member_t *ts_member_find_member(const ts_membership_t *m, const char *name);
/** How often a rumour is told. */
unsigned ts_member_sends_for_rumour(const ts_membership_t *m);
/** Changes a member's state; the one place where it changes. */
void ts_member_set_state(ts_membership_t *m, member_t *member, ts_member_state_t state,
                         uint64_t incarnation);
/** Adds a member nobody has heard of, as dead; texts are copied. */
member_t *ts_member_add_member(ts_membership_t *m, const char *name, const char *address,
                               const char *zone);
/** Forgets a member. */
void ts_member_remove_member(ts_membership_t *m, member_t *member);
/** A digest of who is in the view, kept until a state changes. */
uint64_t ts_member_digest_view(ts_membership_t *m);
/** Sends one gossip with the rumours that are due; `target` may be NULL. */
void ts_member_send_gossip(ts_membership_t *m, const char *name, const char *address,
                           gossip_type_t type, uint64_t sequence, const char *target);
/** Sends all members, in messages of bounded size. */
void ts_member_send_sync(ts_membership_t *m, const char *name, const char *address);
/** Whether a member is not dead. */
bool ts_member_is_heard(const member_t *member);
/** Whether most of the latest probes within the zone failed. */
bool ts_member_is_cut_off(const ts_membership_t *m);
/** Whether a member is of this node's zone. */
bool ts_member_is_same_zone(const ts_membership_t *m, const member_t *member);
/** A random member that is not this node, not dead, and not `other`; or NULL. */
member_t *ts_member_choose_random(ts_membership_t *m, const member_t *other);
/** Forgets the probe that is out. */
void ts_member_clear_probe(ts_membership_t *m);
/** Remembers how a probe within the zone ended. */
void ts_member_note_probe(ts_membership_t *m, const member_t *target, bool has_failed);
/** Goes on with the probe that is out: indirect probes, suspicion. */
void ts_member_check_probe(ts_membership_t *m);
/** Starts the next probe when it is due. */
void ts_member_start_due_probe(ts_membership_t *m);
/** Probes each member until it answers, or for some time. */
void ts_member_begin_barrier(ts_membership_t *m);
/** Probes those again that have not answered. */
void ts_member_check_barrier(ts_membership_t *m);
/** Takes an answer; whether it was one to a barrier's probe. */
bool ts_member_take_barrier_ack(ts_membership_t *m, uint64_t sequence);
/** Ends suspicions and leavings whose time is over, and forgets the dead. */
void ts_member_age_members(ts_membership_t *m);
/** Sets the time; a jump means that the process stood still. */
void ts_member_notice_stall(ts_membership_t *m, ts_time_us_t now_us);
/** Puts another text in the place of one. */
void ts_member_replace_text(char **place, const char *text);

#endif
