/** Declarations shared by the modules of this folder; see tealspar/peers.h. */
#ifndef TEALSPAR_PEERS_INTERNAL_H
#define TEALSPAR_PEERS_INTERNAL_H

#include "peer.pb-c.h"
#include "tealspar/contact.h"
#include "tealspar/membership.h"
#include "tealspar/peer_link.h"
#include "tealspar/peers.h"
#include "tealspar/transit.h"

typedef struct ts_peers_quarantine ts_peers_quarantine_t;

struct ts_peers {
    ts_gateway_t *gateway;
    ts_store_mirror_t *mirror;
    ts_membership_t *membership;
    ts_peer_link_t *link;
    ts_view_t *view;
    uint64_t view_version; /**< increases with each change of the view */
    GPtrArray *regions;    /**< regions of the view's members, in its order; interned or NULL */
    GHashTable *distances; /**< address of a member -> ts_distance_t stored as a pointer */
    uv_timer_t timer;
    /*
     * Members of this node's zone (pointers into the view), live ones first, then by rendezvous
     * weight. The first is the zone's watcher and the root of the zone's tree; the children of the
     * node at index i begin at TREE_CHILDREN * i + 1.
     */
    GPtrArray *zone_order;
    guint own_index;                          /* index of this node in `zone_order` */
    ts_time_us_t sent_beacon_confirmed_us;    /* confirmation time in the last beacon sent */
    ts_store_position_t sent_beacon_position; /* position in that beacon */
    uint32_t clock; /**< identifies this process's clock in frames; not 0 */
    unsigned ticks;
    unsigned ticks_without_beacon; /* since this node last sent a beacon */
    bool is_mute;                  /**< see ts_peers_set_mute */
    ts_time_us_t pulled_us; /* last pull from an announcing peer; 0: none, or changes arrived */
    ts_store_position_t announced_position; /**< newest position in a received beacon */
    char *announcer;                        /**< address of its sender; NULL: none yet */
    uint64_t announced_version;             /* newest configuration version announced by gossip */
    ts_time_us_t announced_version_us;      /* when it was first announced */
    ts_time_us_t random_pull_us;            /* when a random peer was last sent a pull */
    unsigned random_pulls;                  /* number of these pulls */
    /* Evidence about backends; see peers_evidence.c. */
    GPtrArray *zone_heads;     /* of ts_view_member_t in the view: first live member of each zone */
    const char *collector;     /* address of the zone head that aggregates all counts; NULL: none */
    bool is_collector;         /* this node is the collector */
    uv_timer_t evidence_timer; /* runs while evidence waits to be sent */
    ts_time_us_t evidence_us;  /* when the timer last fired; 0: never */
    uint32_t evidence_sequence; /* of the last evidence frame sent by this node */
    GHashTable *evidence_seen;  /* name of a node -> last sequence received from it */
    GHashTable *acks;           /* address -> acknowledgement state, owned; see peers_echo.c */
    ts_peers_quarantine_t *quarantine; /* see peers_quarantine.c */
    /* Homes of rate accounts; see peers_rates.c. */
    ts_contact_t *contact;   /* detects loss of contact with a majority of the fleet */
    bool is_home_ineligible; /* last state reported to the limiter: cannot be home of accounts */
    uint64_t live_digest;    /* digest of the live members at the last change of the view */
    size_t members_live;     /* live members at the last change of the view */
    size_t members_max;      /* largest size of the view so far */
    ts_time_us_t shrunk_us;  /* since when the view has been below `members_max`; 0: it is not */
};

// -- peers.c
/** Sends a frame to a peer; fills in the fields of the sender. */
void ts_peers_send(ts_peers_t *peers, const char *address, TsPeer__Frame *frame);
/** Sends a frame to this node's children in the zone's tree, whose root is the watcher. */
void ts_peers_send_to_children(ts_peers_t *peers, TsPeer__Frame *frame);
/** Address of this node's parent in the zone's tree; NULL if this node is the root. */
const char *ts_peers_parent(const ts_peers_t *peers);
/** Order of members within a zone: live ones first, then by rendezvous weight. */
gint ts_peers_compare_members(gconstpointer left, gconstpointer right);
/** Whether this node watches the configuration service for its zone. */
bool ts_peers_is_watcher(const ts_peers_t *peers);

// -- peers_store.c: distribution of changes from the configuration service
/**
 * Sends the position of this node's entries, and the age of its last confirmation as the newest, to
 * the children in the zone's tree.
 */
void ts_peers_send_beacon(ts_peers_t *peers);
/** `delay_us`: how long the frame was delayed, by which its age is greater now. */
void ts_peers_handle_beacon(ts_peers_t *peers, const TsPeer__Frame *frame, ts_time_us_t delay_us);
void ts_peers_handle_pull(ts_peers_t *peers, const TsPeer__Frame *frame);
void ts_peers_handle_changes(ts_peers_t *peers, const TsPeer__Changes *changes,
                             ts_time_us_t delay_us);
/** Handles a configuration version announced by a peer's gossip; see CROSS_ZONE_PULL_DELAY_US. */
void ts_peers_handle_config_version(void *context, const char *name, const char *address,
                                    uint64_t version, uint64_t digest);
/** Whether this node has no entries although the configuration service had time to respond. */
bool ts_peers_needs_bootstrap(const ts_peers_t *peers);

// -- peers_sightings.c
void ts_peers_handle_sighting(ts_peers_t *peers, TsPeer__Sighting *row);

// -- peers_evidence.c
void ts_peers_init_evidence(ts_peers_t *peers);
/** Determines the zone heads and the collector from the view. */
void ts_peers_choose_collector(ts_peers_t *peers);
void ts_peers_handle_evidence(ts_peers_t *peers, const TsPeer__Frame *frame);
/** Schedules the sending of evidence. */
void ts_peers_schedule_evidence(void *ctx);

// -- peers_loans.c
void ts_peers_handle_loan(ts_peers_t *peers, const char *address, const TsPeer__Loan *loan);

// -- peers_echo.c
void ts_peers_init_acks(ts_peers_t *peers);
/**
 * Sets the frame's number and ack, and whether it requests an ack. Resets the connection to the
 * peer first if an ack is overdue.
 */
void ts_peers_number_frame(ts_peers_t *peers, const char *address, TsPeer__Frame *frame);
/** Processes the numbers of a received frame; returns whether its sender wants an ack. */
bool ts_peers_process_ack(ts_peers_t *peers, const TsPeer__Frame *frame);
/** How long a received frame was delayed on its way; called once for each frame. */
ts_time_us_t ts_peers_frame_delay(ts_peers_t *peers, const TsPeer__Frame *frame);
/** Number of the last frame sent to a peer; 0: none. */
uint32_t ts_peers_frames_sent(ts_peers_t *peers, const char *address);
void ts_peers_send_ack(ts_peers_t *peers, const char *address);
/** Sends a frame that requests an acknowledgement. */
void ts_peers_send_probe(ts_peers_t *peers, const char *address);
/** Removes the state of nodes that are not in the view. */
void ts_peers_prune_acks(ts_peers_t *peers);

// -- peers_rates.c
void ts_peers_handle_rate(ts_peers_t *peers, const TsPeer__Frame *frame);
/** Updates contact detection and, if the live members changed, the limiter after a view change. */
void ts_peers_update_homes(ts_peers_t *peers);
/** Notifies the limiter when this node becomes able or unable to be home of accounts. */
void ts_peers_update_home_eligibility(ts_peers_t *peers);
/** On each tick, if there are tenants: probes silent zones and updates the eligibility as home. */
void ts_peers_probe_silent_zones(ts_peers_t *peers);

// -- peers_quarantine.c
void ts_peers_init_quarantine(ts_peers_t *peers);
void ts_peers_handle_quarantine(ts_peers_t *peers, const TsPeer__Frame *frame);
/** On each tick: periodically compares the quarantine with other nodes. */
void ts_peers_compare_quarantine(ts_peers_t *peers);

// -- peers_place.c
/** Determines the region and distance of each member of the view. */
void ts_peers_locate_members(ts_peers_t *peers);
/** Distance of the member at `address`; TS_DISTANCE_OTHER_REGION if it is no member. */
ts_distance_t ts_peers_distance(const ts_peers_t *peers, const char *address);

#endif
