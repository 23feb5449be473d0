/**
 * The other gateways: who they are, and what is passed between them. One node of each zone, the
 * zone's watcher, follows the configuration service; the others are told by it and ask the service
 * themselves only when they hear nothing. Suspicions of back ends are shared within the zone.
 */
#ifndef TEALSPAR_PEERS_H
#define TEALSPAR_PEERS_H

#include "tealspar/gateway.h"
#include "tealspar/store_mirror.h"

/** Listens for peers; NULL when that fails. Not to be called without a peers' address. */
ts_peers_t *ts_peers_open(ts_gateway_t *gateway, ts_store_mirror_t *mirror);
/** Whether this node is to follow the configuration service itself, at this moment. */
bool ts_peers_should_watch(const ts_peers_t *peers, ts_time_us_t now_us);
/** Whether another node of the zone may follow the service for this one. */
bool ts_peers_may_be_told(const ts_peers_t *peers);
/** Whether others of the zone rely on this node to follow the service. */
bool ts_peers_is_relied_on(const ts_peers_t *peers);
/** Something new was read from the service: the zone is told at once. */
void ts_peers_announce(ts_peers_t *peers);
/** The service does not answer: somebody else is asked for what is known. */
void ts_peers_ask_around(ts_peers_t *peers);
/** Tells nodes of the region what was seen of a back end. */
void ts_peers_tell(ts_peers_t *peers, ts_life_t life, ts_sighting_t sighting);
/**
 * This node's place in the order of the nodes that keep connections to an instance: nodes of its
 * region come first, then the others, each by rendezvous weight.
 */
unsigned ts_peers_place(const ts_peers_t *peers, const ts_instance_t *instance);
/** Grows whenever the fleet or its places may have changed. */
uint64_t ts_peers_changes(const ts_peers_t *peers);
/** Asks others for extra sends to a service, as this node has none left. */
void ts_peers_ask_loan(ts_peers_t *peers, ts_service_t *service, ts_time_us_t now_us);
/**
 * Which node deals an account out: the live one of the highest rendezvous weight. None while less
 * than half of the fleet is in view, or this node is too young to tell; see ts_rate_limiter_ops_t.
 */
ts_rate_issuer_t ts_peers_rate_home(const ts_peers_t *peers, const char *account,
                                    const char **address);
/** Which node of this zone deals it out here: the home if it stands here, else likewise. */
ts_rate_issuer_t ts_peers_rate_deputy(const ts_peers_t *peers, const char *account,
                                      const char **address);
/** Asks the node at the address for tokens; answers one that has asked. */
void ts_peers_ask_rate(ts_peers_t *peers, const char *address, const ts_rate_message_t *row);
void ts_peers_answer_rate(ts_peers_t *peers, const char *address, const ts_rate_message_t *row);
/** Nodes believed live, this one included. */
unsigned ts_peers_count(const ts_peers_t *peers);
/** For tests: sends nothing more, as a process that stands still would. */
void ts_peers_set_mute(ts_peers_t *peers, bool is_mute);
/** This node leaves. */
void ts_peers_leave(ts_peers_t *peers);
/** Closes what is idle. */
void ts_peers_sweep(ts_peers_t *peers, ts_time_us_t now_us);

#endif
