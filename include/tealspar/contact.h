/**
 * Whether a node is in contact with most of the fleet just now. A view loses nodes that were cut
 * off one after the other, over 5 to 8 s (probes and suspicions); this tells within two seconds,
 * from the zones of which anything was heard, and says whom to call where nothing was. It answers
 * for whole zones, as cuts run along links between them; a node that hears nobody is the same case.
 * Pure: no clock, no sockets.
 */
#ifndef TEALSPAR_CONTACT_H
#define TEALSPAR_CONTACT_H

#include "tealspar/clock.h"
#include "tealspar/view.h"

typedef struct ts_contact ts_contact_t;

/** `node`: hash of this node's name; spreads the calls of nodes over those of another zone. */
ts_contact_t *ts_contact_create(uint64_t node);
void ts_contact_free(ts_contact_t *contact);
/** The members as of now; what was heard of their zones stays. */
void ts_contact_set_view(ts_contact_t *contact, const ts_view_t *view);
/** The node at an address was heard, and said that it hears this one. */
void ts_contact_note(ts_contact_t *contact, const char *address, ts_time_us_t now_us);
/** Whether zones that were heard lately hold more than half of the members, this node included. */
bool ts_contact_has_majority(const ts_contact_t *contact, ts_time_us_t now_us);
/**
 * A node to call, one of each zone that was not heard for a while; NULL when there is none (left).
 * Call it until it returns NULL.
 */
const char *ts_contact_next_call(ts_contact_t *contact, ts_time_us_t now_us);

#endif
