/** Sightings: health observations of backends, shared within the region. */
#include <string.h>

#include "peers_internal.h"

/* Maximum number of nodes of a zone to which a node sends a sighting. */
#define SIGHTING_FANOUT 16U

/* Sends to at most SIGHTING_FANOUT nodes of this zone, chosen at random. */
static void send_to_random_nodes(ts_peers_t *peers, TsPeer__Frame *frame)
{
    guint count = peers->zone_order->len;
    guint begin = count == 0 ? 0 : ts_gateway_random(peers->gateway) % count;
    for (guint i = 0, sent = 0; i < count && sent < SIGHTING_FANOUT; i++) {
        const ts_view_member_t *member = g_ptr_array_index(peers->zone_order, (begin + i) % count);
        if (!member->is_self) {
            ts_peers_send(peers, member->address, frame);
            sent++;
        }
    }
}

static void send_sighting(ts_peers_t *peers, TsPeer__Sighting *sighting)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.sighting = sighting;
    send_to_random_nodes(peers, &frame);
}

/* Sends to one random node of each other zone of the region, which relays to nodes of its own. */
static void send_to_region(ts_peers_t *peers, TsPeer__Sighting *sighting)
{
    const ts_gateway_t *gateway = peers->gateway;
    const char *region = g_hash_table_lookup(gateway->zones, gateway->settings->zone);
    GHashTable *zones_sent = g_hash_table_new(g_str_hash, g_str_equal);
    size_t begin = ts_gateway_random(peers->gateway) % peers->view->count;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.sighting = sighting;
    sighting->relay = true;
    g_hash_table_add(zones_sent, gateway->settings->zone);
    for (size_t i = 0; i < peers->view->count && region != NULL; i++) {
        const ts_view_member_t *member = &peers->view->members[(begin + i) % peers->view->count];
        const char *member_region = g_hash_table_lookup(gateway->zones, member->zone);
        bool is_same_region = member_region != NULL && strcmp(member_region, region) == 0;
        if (is_same_region && member->state == TS_MEMBER_LIVE &&
            g_hash_table_add(zones_sent, member->zone))
            ts_peers_send(peers, member->address, &frame);
    }
    sighting->relay = false;
    g_hash_table_unref(zones_sent);
}

void ts_peers_handle_sighting(ts_peers_t *peers, TsPeer__Sighting *row)
{
    ts_instance_key_t key = {row->instance, row->born_ms};
    ts_instance_t *instance = ts_registry_find(peers->gateway->registry, key);
    ts_sighting_t sighting = row->suspected ? TS_SIGHTING_SUSPECTED : TS_SIGHTING_RECOVERED;
    if (instance != NULL)
        ts_instance_apply_sighting(instance, sighting, ts_clock_now_us());
    if (row->relay) {
        row->relay = false;
        send_sighting(peers, row);
    }
}

void ts_peers_share_sighting(ts_peers_t *peers, ts_instance_key_t key, ts_sighting_t sighting)
{
    TsPeer__Sighting row = TS_PEER__SIGHTING__INIT;
    row.instance = (char *)key.id;
    row.born_ms = key.born_ms;
    row.suspected = sighting == TS_SIGHTING_SUSPECTED;
    send_sighting(peers, &row);
    send_to_region(peers, &row);
}
