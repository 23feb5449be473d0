/** Detection of contact with a majority of the fleet, from acknowledgements by zone. */
#include "tealspar/contact.h"

#include <glib.h>
#include <string.h>

/* A zone counts as reachable for this long after an acknowledgement, enough to tolerate two lost
 * probes in a row. */
#define REACHABLE_TIMEOUT_US (2 * TS_US_PER_S)
/* A zone is probed once its last acknowledgement is older than this. */
#define PROBE_AFTER_US (700 * TS_US_PER_MS)
/* Interval of the probes of a zone until it acknowledges one. */
#define PROBE_INTERVAL_US (400 * TS_US_PER_MS)

typedef struct zone {
    char *name;
    GPtrArray *addresses;   /* of its members except this node; owned strings */
    ts_time_us_t acked_us;  /* last acknowledgement from a member; 0: never */
    ts_time_us_t probed_us; /* last probe; 0: never */
    /* The member at this index, modulo the number of addresses, is probed; incremented when the
     * last probe was not acknowledged. */
    guint probe_index;
} zone_t;

struct ts_contact {
    guint probe_offset; /* initial `probe_index` of a zone; differs between nodes to spread their
                           probes */
    GPtrArray *zones;
    GHashTable *zone_by_address; /* address -> zone_t */
    size_t members;              /* size of the view, this node included */
};

static void free_zone(gpointer data)
{
    zone_t *zone = data;
    g_ptr_array_unref(zone->addresses);
    g_free(zone->name);
    g_free(zone);
}

ts_contact_t *ts_contact_create(uint64_t node_hash)
{
    ts_contact_t *contact = g_new0(ts_contact_t, 1);
    contact->probe_offset = (guint)node_hash;
    contact->zones = g_ptr_array_new_with_free_func(free_zone);
    contact->zone_by_address = g_hash_table_new(g_str_hash, g_str_equal);
    contact->members = 1;
    return contact;
}

void ts_contact_free(ts_contact_t *contact)
{
    g_hash_table_unref(contact->zone_by_address);
    g_ptr_array_unref(contact->zones);
    g_free(contact);
}

static zone_t *find_or_add_zone(ts_contact_t *contact, const char *name)
{
    for (guint i = 0; i < contact->zones->len; i++) {
        zone_t *zone = g_ptr_array_index(contact->zones, i);
        if (strcmp(zone->name, name) == 0)
            return zone;
    }
    zone_t *zone = g_new0(zone_t, 1);
    zone->name = g_strdup(name);
    zone->addresses = g_ptr_array_new_with_free_func(g_free);
    zone->probe_index = contact->probe_offset;
    g_ptr_array_add(contact->zones, zone);
    return zone;
}

void ts_contact_set_view(ts_contact_t *contact, const ts_view_t *view)
{
    g_hash_table_remove_all(contact->zone_by_address);
    for (guint i = 0; i < contact->zones->len; i++)
        g_ptr_array_set_size(((zone_t *)g_ptr_array_index(contact->zones, i))->addresses, 0);
    contact->members = view->count;
    for (size_t i = 0; i < view->count; i++) {
        const ts_view_member_t *member = &view->members[i];
        if (member->is_self)
            continue;
        zone_t *zone = find_or_add_zone(contact, member->zone);
        char *address = g_strdup(member->address);
        g_ptr_array_add(zone->addresses, address);
        g_hash_table_insert(contact->zone_by_address, address, zone);
    }
}

void ts_contact_note_ack(ts_contact_t *contact, const char *address, ts_time_us_t now_us)
{
    zone_t *zone = g_hash_table_lookup(contact->zone_by_address, address);
    if (zone != NULL)
        zone->acked_us = now_us;
}

bool ts_contact_has_majority(const ts_contact_t *contact, ts_time_us_t now_us)
{
    size_t reachable = 1; // this node
    for (guint i = 0; i < contact->zones->len; i++) {
        const zone_t *zone = g_ptr_array_index(contact->zones, i);
        if (zone->acked_us != 0 && now_us - zone->acked_us < REACHABLE_TIMEOUT_US)
            reachable += zone->addresses->len;
    }
    return 2 * reachable > contact->members;
}

const char *ts_contact_next_probe(ts_contact_t *contact, ts_time_us_t now_us)
{
    for (guint i = 0; i < contact->zones->len; i++) {
        zone_t *zone = g_ptr_array_index(contact->zones, i);
        bool is_silent = now_us - zone->acked_us > PROBE_AFTER_US;
        bool was_probed_recently =
            zone->probed_us != 0 && now_us - zone->probed_us < PROBE_INTERVAL_US;
        if (zone->addresses->len == 0 || !is_silent || was_probed_recently)
            continue;
        if (zone->probed_us > zone->acked_us)
            zone->probe_index++;
        zone->probed_us = now_us;
        return g_ptr_array_index(zone->addresses, zone->probe_index % zone->addresses->len);
    }
    return NULL;
}
