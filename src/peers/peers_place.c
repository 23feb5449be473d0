/** Regions of members, and this node's index among those that keep connections to an instance. */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/hash.h"

typedef struct candidate {
    bool is_same_region;
    uint64_t weight;
} candidate_t;

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
    bool is_same_region = region != NULL && region == region_of(peers, own_zone);
    return is_same_region ? TS_DISTANCE_SAME_REGION : TS_DISTANCE_OTHER_REGION;
}

void ts_peers_locate_members(ts_peers_t *peers)
{
    peers->view_version++;
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

// `region` is interned, so that comparing pointers is sufficient.
static candidate_t make_candidate(const ts_peers_t *peers, size_t i, const char *region,
                                  uint64_t instance)
{
    bool is_same_region = region != NULL && g_ptr_array_index(peers->regions, i) == region;
    return (candidate_t){is_same_region, ts_hash_mix(peers->view->members[i].id, instance)};
}

static bool precedes(candidate_t a, candidate_t b)
{
    return a.is_same_region != b.is_same_region ? a.is_same_region : a.weight > b.weight;
}

uint64_t ts_peers_view_version(const ts_peers_t *peers)
{
    return peers->view_version;
}

unsigned ts_peers_index(const ts_peers_t *peers, const ts_instance_t *instance)
{
    const char *region = region_of(peers, instance->zone);
    uint64_t id = ts_hash_text(instance->id);
    candidate_t own = {false, 0};
    unsigned index = 0;
    for (size_t i = 0; i < peers->view->count; i++) {
        if (peers->view->members[i].is_self)
            own = make_candidate(peers, i, region, id);
    }
    for (size_t i = 0; i < peers->view->count; i++)
        index += precedes(make_candidate(peers, i, region, id), own);
    return index;
}
