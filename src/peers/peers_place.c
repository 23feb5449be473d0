/** This node's place among those that keep connections to an instance. */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/hash.h"

typedef struct claim {
    bool is_near;
    uint64_t weight;
} claim_t;

static const char *region_of(const ts_peers_t *peers, const char *zone)
{
    const char *region = g_hash_table_lookup(peers->gateway->zones, zone);
    return region == NULL ? NULL : g_intern_string(region);
}

static ts_distance_t distance_to(const ts_peers_t *peers, const char *zone, const char *region)
{
    const char *own_zone = peers->gateway->settings->zone;
    if (strcmp(zone, own_zone) == 0)
        return TS_DISTANCE_SAME_ZONE;
    bool is_near = region != NULL && region == region_of(peers, own_zone);
    return is_near ? TS_DISTANCE_SAME_REGION : TS_DISTANCE_OTHER_REGION;
}

void ts_peers_locate_members(ts_peers_t *peers)
{
    peers->changes++;
    g_ptr_array_set_size(peers->regions, 0);
    g_hash_table_remove_all(peers->distances);
    for (size_t i = 0; i < peers->view->count; i++) {
        const ts_view_member_t *member = &peers->view->members[i];
        const char *region = region_of(peers, member->zone);
        ts_distance_t distance = distance_to(peers, member->zone, region);
        g_ptr_array_add(peers->regions, (gpointer)region);
        g_hash_table_insert(peers->distances, g_strdup(member->address), GINT_TO_POINTER(distance));
    }
}

ts_distance_t ts_peers_distance(const ts_peers_t *peers, const char *address)
{
    gpointer distance = NULL;
    if (!g_hash_table_lookup_extended(peers->distances, address, NULL, &distance))
        return TS_DISTANCE_OTHER_REGION;
    return (ts_distance_t)GPOINTER_TO_INT(distance);
}

// `region` is interned, so that one comparison of pointers tells.
static claim_t claim_of(const ts_peers_t *peers, size_t i, const char *region, uint64_t instance)
{
    bool is_near = region != NULL && g_ptr_array_index(peers->regions, i) == region;
    return (claim_t){is_near, ts_hash_mix(peers->view->members[i].id, instance)};
}

static bool comes_before(claim_t a, claim_t b)
{
    return a.is_near != b.is_near ? a.is_near : a.weight > b.weight;
}

uint64_t ts_peers_changes(const ts_peers_t *peers)
{
    return peers->changes;
}

unsigned ts_peers_place(const ts_peers_t *peers, const ts_instance_t *instance)
{
    const char *region = region_of(peers, instance->zone);
    uint64_t id = ts_hash_text(instance->id);
    claim_t own = {false, 0};
    unsigned place = 0;
    for (size_t i = 0; i < peers->view->count; i++) {
        if (peers->view->members[i].is_self)
            own = claim_of(peers, i, region, id);
    }
    for (size_t i = 0; i < peers->view->count; i++)
        place += comes_before(claim_of(peers, i, region, id), own);
    return place;
}
