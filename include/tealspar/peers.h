/**
 * Communication with the other gateways: membership and the messages exchanged between nodes. In
 * each zone one node, the watcher, watches the configuration service and distributes its changes;
 * the other nodes query the service themselves only while the watcher's announcements do not
 * confirm their entries as current. Suspicions of backends are shared within the region.
 */
#ifndef TEALSPAR_PEERS_H
#define TEALSPAR_PEERS_H

#include "tealspar/gateway.h"
#include "tealspar/store_mirror.h"

/** Listens for peers; returns NULL on failure. The settings must contain a peer address. */
ts_peers_t *ts_peers_open(ts_gateway_t *gateway, ts_store_mirror_t *mirror);
/** Whether this node should watch the configuration service itself now. */
bool ts_peers_should_watch(const ts_peers_t *peers, ts_time_us_t now_us);
/** Whether another node of the zone is the watcher. */
bool ts_peers_is_follower(const ts_peers_t *peers);
/**
 * Announces what the configuration service has responded: the configuration version by gossip and,
 * if this node is the watcher, its confirmed position to the zone immediately.
 */
void ts_peers_announce(ts_peers_t *peers);
/** Pulls changes from a random peer; for nodes without entries or access to the service. */
void ts_peers_pull_from_random_peer(ts_peers_t *peers);
/** Sends a health observation of an instance to some nodes of each zone of the region. */
void ts_peers_share_sighting(ts_peers_t *peers, ts_instance_key_t key, ts_sighting_t sighting);
/**
 * This node's index in the order of the nodes that keep connections to an instance: nodes of the
 * instance's region first, then the others, each group by rendezvous weight.
 */
unsigned ts_peers_index(const ts_peers_t *peers, const ts_instance_t *instance);
/** Increases whenever the members or their locations may have changed. */
uint64_t ts_peers_view_version(const ts_peers_t *peers);
/** Asks other nodes to lend retry budget of a service; to be called when its own is exhausted. */
void ts_peers_request_loan(ts_peers_t *peers, ts_service_t *service, ts_time_us_t now_us);
/**
 * The home of a rate account, which issues its tokens: the live node with the highest rendezvous
 * weight. TS_RATE_ISSUER_NONE while the view holds no majority of the fleet, while this node has
 * just started and cannot tell, or if this node would be the home but does not reach a majority;
 * `*address` is then not set. See ts_rate_limiter_ops_t.
 */
ts_rate_issuer_t ts_peers_find_rate_home(const ts_peers_t *peers, const char *account,
                                         const char **address);
/**
 * The deputy of an account in this zone: the home if it is in this zone, otherwise the zone's live
 * node with the highest rendezvous weight; TS_RATE_ISSUER_SELF if the zone has no live node, in
 * which case `*address` is not set.
 */
ts_rate_issuer_t ts_peers_find_rate_deputy(const ts_peers_t *peers, const char *account,
                                           const char **address);
/** Claims tokens from the node at `address`. */
void ts_peers_send_rate_claim(ts_peers_t *peers, const char *address, const ts_rate_message_t *row);
/** Grants tokens in reply to a claim from the node at `address`. */
void ts_peers_send_rate_grant(ts_peers_t *peers, const char *address, const ts_rate_message_t *row);
/** Number of nodes in the view that are not dead, including this one. */
unsigned ts_peers_count(const ts_peers_t *peers);
/** For tests: suppresses all sending, as in a process that is suspended. */
void ts_peers_set_mute(ts_peers_t *peers, bool is_mute);
/** Announces that this node is leaving. */
void ts_peers_leave(ts_peers_t *peers);
/** Closes idle connections to peers; see ts_peer_link_sweep. */
void ts_peers_sweep(ts_peers_t *peers, ts_time_us_t now_us);

#endif
