/**
 * Detects whether this node currently reaches a majority of the fleet. Membership takes 5 to 8 s
 * (probes and suspicion) to remove nodes that are cut off one after the other; this detects a
 * partition within two seconds, since frames to the zones behind it are no longer acknowledged. It
 * also selects nodes to probe in silent zones. It works on whole zones because partitions separate
 * zones at the links between them; an isolated node is a special case of this. Uses neither clock
 * nor sockets.
 */
#ifndef TEALSPAR_CONTACT_H
#define TEALSPAR_CONTACT_H

#include "tealspar/clock.h"
#include "tealspar/view.h"

typedef struct ts_contact ts_contact_t;

/** `node_hash`: hash of this node's name; spreads the probes of different nodes over members. */
ts_contact_t *ts_contact_create(uint64_t node_hash);
void ts_contact_free(ts_contact_t *contact);
/** Replaces the members; times of the last acknowledgement from each zone are kept. */
void ts_contact_set_view(ts_contact_t *contact, const ts_view_t *view);
/** Records that the node at `address` has acknowledged a frame of this node. */
void ts_contact_note_ack(ts_contact_t *contact, const char *address, ts_time_us_t now_us);
/** Whether this node and recently acknowledging zones hold more than half of the members. */
bool ts_contact_has_majority(const ts_contact_t *contact, ts_time_us_t now_us);
/**
 * Returns the address of the next node to probe, at most one in each silent zone, or NULL when no
 * zone is due for a probe. Call it repeatedly until it returns NULL.
 */
const char *ts_contact_next_probe(ts_contact_t *contact, ts_time_us_t now_us);

#endif
