/** Distribution of changes in the configuration service from the zone's watcher to other nodes. */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/drain_budget.h"

/* pull_from sends no other pull for this long after the last one, unless changes arrive before. */
#define PULL_TIMEOUT_US (300 * TS_US_PER_MS)
/*
 * A newer version announced by a node of another zone usually arrives from this zone's watcher. It
 * is pulled from the other zone, as a whole document over an expensive link, only if it has not
 * arrived after this time.
 */
#define CROSS_ZONE_PULL_DELAY_US (500 * TS_US_PER_MS)
/* Minimum interval of pulls from random peers, which are sent while this node has no entries or the
 * configuration service fails. */
#define RANDOM_PULL_INTERVAL_US (500 * TS_US_PER_MS)
/* Time after start that the configuration service has to respond before an empty node pulls from
 * peers. */
#define BOOTSTRAP_DELAY_US (400 * TS_US_PER_MS)
/* Precedes every position of the configuration service. */
static const ts_store_position_t position_zero = {0, 0};
/* Minimum advance of the confirmation time for sending a beacon without new changes. */
#define BEACON_MIN_ADVANCE_US (100 * TS_US_PER_MS)

/* UINT32_MAX: never confirmed, or longer ago than it can hold. */
static uint32_t confirmation_age_ms(const ts_peers_t *peers)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    ts_time_us_t age_us = confirmed_us == 0 ? 0 : ts_clock_now_us() - confirmed_us;
    ts_time_us_t age = age_us / TS_US_PER_MS;
    return confirmed_us == 0 || age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

void ts_peers_send_beacon(ts_peers_t *peers)
{
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    ts_store_position_t position = ts_store_mirror_position(peers->mirror);
    beacon.epoch = position.epoch;
    beacon.revision = position.revision;
    beacon.age_ms = confirmation_age_ms(peers);
    frame.beacon = &beacon;
    peers->ticks_without_beacon = 0;
    peers->sent_beacon_confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    peers->sent_beacon_position = position;
    ts_peers_send_to_children(peers, &frame);
}

static void send_pull(ts_peers_t *peers, const char *address, ts_store_position_t after)
{
    TsPeer__Pull pull = TS_PEER__PULL__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    pull.epoch = after.epoch;
    pull.after = after.revision;
    frame.pull = &pull;
    ts_peers_send(peers, address, &frame);
}

/* Pulls again immediately if newer changes were announced while the last ones were in transit. */
static void pull_remaining(ts_peers_t *peers)
{
    ts_store_position_t own = ts_store_mirror_position(peers->mirror);
    bool is_behind = ts_store_position_compare(peers->announced_position, own) > 0;
    if (!is_behind || peers->announcer == NULL)
        return;
    peers->pulled_us = ts_clock_now_us();
    send_pull(peers, peers->announcer, own);
}

static void note_announced(ts_peers_t *peers, const char *address, ts_store_position_t position)
{
    if (ts_store_position_compare(position, peers->announced_position) <= 0)
        return;
    peers->announced_position = position;
    g_free(peers->announcer);
    peers->announcer = g_strdup(address);
}

static void send_changes(ts_peers_t *peers, const char *address, ts_store_position_t after)
{
    bool is_whole = false;
    GPtrArray *list = ts_store_mirror_changes(peers->mirror, after, &is_whole);
    TsPeer__Entry *rows = g_new0(TsPeer__Entry, list->len + 1);
    TsPeer__Entry **pointers = g_new0(TsPeer__Entry *, list->len + 1);
    for (guint i = 0; i < list->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(list, i);
        ts_peer__entry__init(&rows[i]);
        rows[i].key = entry->key;
        rows[i].epoch = entry->changed.epoch;
        rows[i].revision = entry->changed.revision;
        rows[i].gone = entry->is_deleted;
        rows[i].value.data = (uint8_t *)entry->value;
        rows[i].value.len = entry->length;
        pointers[i] = &rows[i];
    }
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    ts_store_position_t position = ts_store_mirror_position(peers->mirror);
    changes.epoch = position.epoch;
    changes.revision = position.revision;
    changes.epoch_base = ts_store_mirror_base_revision(peers->mirror);
    changes.age_ms = confirmation_age_ms(peers);
    changes.is_whole = is_whole;
    changes.after = after.revision;
    changes.after_epoch = after.epoch;
    changes.entries = pointers;
    changes.n_entries = list->len;
    frame.changes = &changes;
    ts_peers_send(peers, address, &frame);
    g_free(pointers);
    g_free(rows);
    g_ptr_array_unref(list);
}

/* Converts the age of a confirmation, in a frame that was delayed, to a time on this node's clock.
 */
static ts_time_us_t confirmation_time(uint32_t age_ms, ts_time_us_t delay_us)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t age_us = (ts_time_us_t)age_ms * TS_US_PER_MS + delay_us;
    return age_us < now_us ? now_us - age_us : 0;
}

/* -- Receiving --------------------------------------------------------------------------------- */

static void pull_from(ts_peers_t *peers, const char *address, ts_store_position_t after)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (now_us - peers->pulled_us > PULL_TIMEOUT_US) {
        peers->pulled_us = now_us;
        send_pull(peers, address, after);
    }
}

bool ts_peers_needs_bootstrap(const ts_peers_t *peers)
{
    return ts_store_mirror_is_empty(peers->mirror) &&
           ts_clock_now_us() - peers->gateway->opened_us > BOOTSTRAP_DELAY_US;
}

/* Sends a beacon to this node's children if, since the last one, the position has advanced or its
 * confirmation time by more than BEACON_MIN_ADVANCE_US. Not on the watcher: it sends regularly. */
static void send_beacon_if_advanced(ts_peers_t *peers)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    ts_store_position_t position = ts_store_mirror_position(peers->mirror);
    bool is_new = ts_store_position_compare(position, peers->sent_beacon_position) > 0 ||
                  confirmed_us > peers->sent_beacon_confirmed_us + BEACON_MIN_ADVANCE_US;
    if (is_new && !ts_peers_is_watcher(peers)) {
        ts_peers_send_beacon(peers);
    }
}

void ts_peers_handle_beacon(ts_peers_t *peers, const TsPeer__Frame *frame, ts_time_us_t delay_us)
{
    ts_store_position_t own = ts_store_mirror_position(peers->mirror);
    ts_store_position_t position = {frame->beacon->epoch, frame->beacon->revision};
    int order = ts_store_position_compare(position, own);
    if (!ts_store_mirror_is_loaded(peers->mirror)) {
        if (ts_peers_needs_bootstrap(peers)) {
            pull_from(peers, frame->address, position_zero);
        }
    } else if (order > 0) {
        note_announced(peers, frame->address, position);
        pull_from(peers, frame->address, own);
    } else if (order == 0) {
        ts_store_mirror_confirm(peers->mirror, confirmation_time(frame->beacon->age_ms, delay_us));
        send_beacon_if_advanced(peers);
    }
}

void ts_peers_handle_pull(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    const ts_store_position_t after = {frame->pull->epoch, frame->pull->after};
    if (ts_store_mirror_is_loaded(peers->mirror)) {
        send_changes(peers, frame->address, after);
    }
}

static GPtrArray *read_entries(const ts_peers_t *peers, const TsPeer__Changes *changes)
{
    ts_store_page_t *page = ts_store_page_create();
    for (size_t i = 0; i < changes->n_entries; i++) {
        const TsPeer__Entry *row = changes->entries[i];
        ts_store_entry_t *entry = ts_store_page_add(page);
        entry->key = g_strdup(row->key);
        entry->changed = (ts_store_position_t){row->epoch, row->revision};
        entry->is_deleted = row->gone;
        entry->length = row->value.len;
        entry->value = row->gone ? NULL : g_strndup((const char *)row->value.data, row->value.len);
        peers->gateway->dialect->classify_entry(entry);
    }
    GPtrArray *entries = g_ptr_array_ref(page->entries);
    ts_store_page_free(page);
    return entries;
}

/* Whether the changes leave none out. Those that an earlier process of this node has pulled may. */
static bool is_continued_by(const ts_peers_t *peers, ts_store_position_t own,
                            const TsPeer__Changes *changes)
{
    ts_store_position_t after = {changes->after_epoch, changes->after};
    return ts_store_mirror_is_loaded(peers->mirror) && ts_store_position_compare(after, own) <= 0;
}

void ts_peers_handle_changes(ts_peers_t *peers, const TsPeer__Changes *changes,
                             ts_time_us_t delay_us)
{
    ts_store_position_t before = ts_store_mirror_position(peers->mirror);
    ts_store_list_t list = {.position = {changes->epoch, changes->revision},
                            .base_revision = changes->epoch_base,
                            .confirmed_us = confirmation_time(changes->age_ms, delay_us),
                            .source = "peer"};
    if (!changes->is_whole && !is_continued_by(peers, before, changes))
        return;
    GPtrArray *entries = read_entries(peers, changes);
    list.entries = entries;
    if (changes->is_whole) {
        (void)ts_store_mirror_apply_list(peers->mirror, &list);
    } else {
        (void)ts_store_mirror_apply(peers->mirror, entries, list.position);
        ts_store_mirror_advance(peers->mirror, list.position, list.confirmed_us);
    }
    ts_count(TS_COUNTER_CONFIG_FROM_PEER, 1);
    peers->pulled_us = 0;
    if (ts_store_position_compare(list.position, before) > 0)
        pull_remaining(peers);
    send_beacon_if_advanced(peers);
    g_ptr_array_unref(entries);
}

/*
 * Records the newest announced version. Returns whether it was first announced so long ago that the
 * zone's watcher should have delivered it.
 */
static bool note_announced_version(ts_peers_t *peers, uint64_t version)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (version > peers->announced_version) {
        peers->announced_version = version;
        peers->announced_version_us = now_us;
    }
    return now_us - peers->announced_version_us > CROSS_ZONE_PULL_DELAY_US;
}

void ts_peers_handle_config_version(void *context, const char *name, const char *address,
                                    uint64_t version, uint64_t digest)
{
    ts_peers_t *peers = context;
    const ts_traffic_t *traffic = peers->gateway->traffic;
    bool is_loaded = ts_store_mirror_is_loaded(peers->mirror);
    if (traffic != NULL && version <= traffic->version)
        return;
    bool is_same_zone = ts_peers_distance(peers, address) == TS_DISTANCE_SAME_ZONE;
    if (!is_loaded || is_same_zone || note_announced_version(peers, version))
        pull_from(peers, address,
                  is_loaded ? ts_store_mirror_position(peers->mirror) : position_zero);
}

/* -- Watcher role and pulls from random peers -------------------------------------------------- */

bool ts_peers_is_follower(const ts_peers_t *peers)
{
    return !ts_peers_is_watcher(peers);
}

bool ts_peers_should_watch(const ts_peers_t *peers, ts_time_us_t now_us)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    uint32_t age_max_ms = ts_drain_budget(peers->gateway->settings->drain_ms).standby_ms;
    return ts_peers_is_watcher(peers) || confirmed_us == 0 ||
           now_us - confirmed_us > age_max_ms * TS_US_PER_MS;
}

void ts_peers_announce(ts_peers_t *peers)
{
    const ts_traffic_t *traffic = peers->gateway->traffic;
    if (traffic != NULL) {
        ts_membership_set_config(peers->membership, traffic->version, 0);
    }
    if (ts_peers_is_watcher(peers)) {
        ts_peers_send_beacon(peers);
    }
}

/* A random node other than this one, alternately of this zone and of any zone. */
static const ts_view_member_t *choose_pull_target(ts_peers_t *peers)
{
    bool in_zone = peers->random_pulls++ % 2 == 0 && peers->zone_order->len > 1;
    size_t count = in_zone ? peers->zone_order->len : peers->view->count;
    size_t begin = ts_gateway_random(peers->gateway) % count;
    for (size_t i = 0; i < count; i++) {
        size_t index = (begin + i) % count;
        const ts_view_member_t *member =
            in_zone ? g_ptr_array_index(peers->zone_order, index) : &peers->view->members[index];
        if (!member->is_self) {
            return member;
        }
    }
    return NULL;
}

void ts_peers_pull_from_random_peer(ts_peers_t *peers)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (now_us - peers->random_pull_us < RANDOM_PULL_INTERVAL_US) {
        return;
    }
    const ts_view_member_t *member = choose_pull_target(peers);
    if (member != NULL) {
        peers->random_pull_us = now_us;
        bool is_loaded = ts_store_mirror_is_loaded(peers->mirror);
        send_pull(peers, member->address,
                  is_loaded ? ts_store_mirror_position(peers->mirror) : position_zero);
    }
}
