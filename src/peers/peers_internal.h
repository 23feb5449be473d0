/** What the modules of this folder share; see tealspar/peers.h for what they are for. */
#ifndef TEALSPAR_PEERS_INTERNAL_H
#define TEALSPAR_PEERS_INTERNAL_H

#include "peer.pb-c.h"
#include "tealspar/contact.h"
#include "tealspar/membership.h"
#include "tealspar/peer_link.h"
#include "tealspar/peers.h"

typedef struct ts_peers_quarantine ts_peers_quarantine_t;

struct ts_peers {
    ts_gateway_t *gateway;
    ts_store_mirror_t *mirror;
    ts_membership_t *membership;
    ts_peer_link_t *link;
    ts_view_t *view;
    uint64_t changes;      /**< of the view so far */
    GPtrArray *regions;    /**< of the members of the view in its order; interned texts or NULL */
    GHashTable *distances; /**< address of a member -> ts_distance_t as a pointer */
    uv_timer_t timer;
    /*
     * Members of this node's zone that are not dead, in the view, by rendezvous weight, the live
     * before others: the first is the zone's watcher, the children of the node at `i` stand from
     * BEACON_CHILDREN x i + 1 on.
     */
    GPtrArray *zone_order;
    guint own_place;           /* of this node in the order */
    ts_time_us_t passed_on_us; /* what the last beacon that was passed on confirmed */
    ts_store_position_t passed_on;
    unsigned ticks;
    bool is_mute;           /**< sends nothing; see ts_peers_set_mute */
    ts_time_us_t pulled_us; /* when changes were last asked for; 0: and none are on their way */
    ts_store_position_t announced; /**< the newest that a peer has announced */
    char *announcer;               /**< address of that peer; NULL: nobody yet */
    uint64_t heard_version;        /* newest configuration that others spoke of */
    ts_time_us_t heard_us;         /* when it was first heard of */
    ts_time_us_t asked_us;         /* when somebody was last asked for everything */
    unsigned asked_times;
    /* Evidence about back ends; see peers_evidence.c. */
    GPtrArray *zone_heads;     /* of ts_view_member_t in the view, one a zone: first in its order */
    const char *collector;     /* address of the zone head that collects; NULL: nobody is there */
    bool is_collector;         /* this node is it */
    uv_timer_t evidence_timer; /* runs while something waits to be told */
    ts_time_us_t evidence_us;  /* when it last ran */
    uint32_t evidence_sequence;        /* of the last frame of evidence that this node sent */
    GHashTable *evidence_seen;         /* name of a node -> the last sequence from it */
    GHashTable *echoes;                /* address -> what peers_echo.c keeps of it, owned */
    ts_peers_quarantine_t *quarantine; /* see peers_quarantine.c */
    /* Homes of rates; see peers_rates.c. */
    ts_contact_t *contact;  /* with most of the fleet, just now */
    bool is_out;            /* this node can't be home of anything, as far as the limiter knows */
    uint64_t live_digest;   /* of who was live at the last change of the view */
    size_t members_live;    /* at the last change of the view */
    size_t members_most;    /* that were in the view at once */
    ts_time_us_t shrunk_us; /* since when there have been fewer; 0: there are not */
};

// -- peers.c
/** Sends a frame to a peer; fills in who it is from. */
void ts_peers_send(ts_peers_t *peers, const char *address, TsPeer__Frame *frame);
/** To this node's children in the zone's tree, whose root is the watcher. */
void ts_peers_send_to_children(ts_peers_t *peers, TsPeer__Frame *frame);
/** Address of this node's parent in the zone's tree; NULL at the root. */
const char *ts_peers_parent(const ts_peers_t *peers);
/** Order of members within a zone: live ones first, then by rendezvous weight. */
gint ts_peers_compare_members(gconstpointer left, gconstpointer right);
/** Whether this node follows the configuration service for its zone. */
bool ts_peers_is_watcher(const ts_peers_t *peers);

// -- peers_store.c: what the configuration service said, passed on
void ts_peers_send_beacon(ts_peers_t *peers);
void ts_peers_take_beacon(ts_peers_t *peers, const TsPeer__Frame *frame);
void ts_peers_take_pull(ts_peers_t *peers, const TsPeer__Frame *frame);
void ts_peers_take_changes(ts_peers_t *peers, const TsPeer__Changes *changes);
/** A peer speaks of a configuration; see HEARD_WAITS_US. */
void ts_peers_hear_config(void *context, const char *name, const char *address, uint64_t version,
                          uint64_t digest);
/** Whether this node knows nothing although the service had time to answer. */
bool ts_peers_is_in_need(const ts_peers_t *peers);

// -- peers_sightings.c
void ts_peers_take_sighting(ts_peers_t *peers, TsPeer__Sighting *row);

// -- peers_evidence.c
void ts_peers_open_evidence(ts_peers_t *peers);
/** Works out anew who collects, from the view. */
void ts_peers_find_collector(ts_peers_t *peers);
void ts_peers_take_evidence(ts_peers_t *peers, const TsPeer__Frame *frame);
/** Something waits to be told. */
void ts_peers_wake_evidence(void *ctx);

// -- peers_loans.c
void ts_peers_take_loan(ts_peers_t *peers, const char *address, const TsPeer__Loan *loan);

// -- peers_echo.c
void ts_peers_open_echoes(ts_peers_t *peers);
/** Numbers a frame that goes to a peer; gives its connection up first if that is silent. */
void ts_peers_mark_frame(ts_peers_t *peers, const char *address, TsPeer__Frame *frame);
/** A frame has come; returns whether its sender wants an echo. */
bool ts_peers_note_frame(ts_peers_t *peers, const TsPeer__Frame *frame);
/** Frames sent to a peer so far. */
uint32_t ts_peers_frames_sent(ts_peers_t *peers, const char *address);
void ts_peers_send_echo(ts_peers_t *peers, const char *address);
/** Asks a peer to send some frame back. */
void ts_peers_call(ts_peers_t *peers, const char *address);
/** The view has changed: nodes that are not in it are forgotten. */
void ts_peers_forget_echoes(ts_peers_t *peers);

// -- peers_rates.c
void ts_peers_take_rate(ts_peers_t *peers, const TsPeer__Frame *frame);
/** The view has changed, and with it which node is home of what. */
void ts_peers_change_homes(ts_peers_t *peers);
/** Tells the limiter if this node can be home from now on, or no longer. */
void ts_peers_check_standing(ts_peers_t *peers);
/** With each tick of membership: calls zones that are silent, as homes need to be in contact. */
void ts_peers_check_contact(ts_peers_t *peers);

// -- peers_quarantine.c
void ts_peers_open_quarantine(ts_peers_t *peers);
void ts_peers_take_quarantine(ts_peers_t *peers, const TsPeer__Frame *frame);
/** With each tick of membership: compares with others now and then. */
void ts_peers_compare_quarantine(ts_peers_t *peers);

// -- peers_place.c
/** Works out anew in which region each member of the view stands. */
void ts_peers_locate_members(ts_peers_t *peers);
/** How far a member stands; far if the address is none of a member. */
ts_distance_t ts_peers_distance(const ts_peers_t *peers, const char *address);

#endif
