/** This node's place among those that keep connections to an instance. */
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

void ts_peers_locate_members(ts_peers_t *peers)
{
    peers->changes++;
    g_ptr_array_set_size(peers->regions, 0);
    for (size_t i = 0; i < peers->view->count; i++) {
        const char *region = region_of(peers, peers->view->members[i].zone);
        g_ptr_array_add(peers->regions, (gpointer)region);
    }
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
