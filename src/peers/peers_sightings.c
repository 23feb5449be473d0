/** Sightings: what one node sees of a back end is told to nodes of its region. */
#include <string.h>

#include "peers_internal.h"

/* What is seen of a back end is told to so many nodes of the zone. */
#define SIGHTING_FANOUT 16U

/* To a few nodes of this zone, drawn at random; to all when there are few. */
static void send_to_some(ts_peers_t *peers, TsPeer__Frame *frame)
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

/* To some nodes of this zone. */
static void send_sighting(ts_peers_t *peers, TsPeer__Sighting *sighting)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.sighting = sighting;
    send_to_some(peers, &frame);
}

/* One node of each other zone of the region, drawn at random, tells its own zone. */
static void send_to_region(ts_peers_t *peers, TsPeer__Sighting *sighting)
{
    const ts_gateway_t *gateway = peers->gateway;
    const char *region = g_hash_table_lookup(gateway->zones, gateway->settings->zone);
    GHashTable *done = g_hash_table_new(g_str_hash, g_str_equal);
    size_t begin = ts_gateway_random(peers->gateway) % peers->view->count;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.sighting = sighting;
    sighting->relay = true;
    g_hash_table_add(done, gateway->settings->zone);
    for (size_t i = 0; i < peers->view->count && region != NULL; i++) {
        const ts_view_member_t *member = &peers->view->members[(begin + i) % peers->view->count];
        const char *theirs = g_hash_table_lookup(gateway->zones, member->zone);
        bool is_near = theirs != NULL && strcmp(theirs, region) == 0;
        if (is_near && member->state == TS_MEMBER_LIVE && g_hash_table_add(done, member->zone))
            ts_peers_send(peers, member->address, &frame);
    }
    sighting->relay = false;
    g_hash_table_unref(done);
}

void ts_peers_take_sighting(ts_peers_t *peers, TsPeer__Sighting *row)
{
    ts_life_t life = {row->instance, row->born_ms};
    ts_instance_t *instance = ts_registry_find(peers->gateway->registry, life);
    ts_sighting_t sighting = row->suspected ? TS_SIGHTING_SUSPECTED : TS_SIGHTING_ANSWERS;
    if (instance != NULL)
        ts_instance_hear(instance, sighting, ts_clock_now_us());
    if (row->relay) {
        row->relay = false;
        send_sighting(peers, row);
    }
}

void ts_peers_tell(ts_peers_t *peers, ts_life_t life, ts_sighting_t sighting)
{
    TsPeer__Sighting row = TS_PEER__SIGHTING__INIT;
    row.instance = (char *)life.id;
    row.born_ms = life.born_ms;
    row.suspected = sighting == TS_SIGHTING_SUSPECTED;
    send_sighting(peers, &row);
    send_to_region(peers, &row);
}
