/** Communication with the other gateways: frames, membership, and the tree of the zone. */
#include "peers_internal.h"

#include <string.h>

#include "tealspar/byte_account.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"

#define PROTOCOL 1
/* Interval of membership ticks. */
#define TICK_MS 250
/* The watcher sends a beacon if it has sent none for this many ticks. */
#define BEACON_TICKS 2
/* Fan-out of the tree along which frames are distributed within a zone. */
#define TREE_CHILDREN 16U

bool ts_peers_is_watcher(const ts_peers_t *peers)
{
    return peers->own_index == 0;
}

/* -- Sending ----------------------------------------------------------------------------------- */

static ts_byte_cause_t byte_cause(const TsPeer__Frame *frame)
{
    if (frame->sighting != NULL)
        return TS_BYTES_SIGHTING;
    if (frame->loan != NULL)
        return TS_BYTES_LOAN;
    if (frame->evidence != NULL)
        return TS_BYTES_EVIDENCE;
    if (frame->rate != NULL)
        return TS_BYTES_RATE;
    if (frame->quarantine != NULL)
        return TS_BYTES_QUARANTINE;
    return frame->gossip.len > 0 ? TS_BYTES_MEMBERSHIP : TS_BYTES_STORE;
}

void ts_peers_send(ts_peers_t *peers, const char *address, TsPeer__Frame *frame)
{
    const ts_gateway_settings_t *settings = peers->gateway->settings;
    if (peers->is_mute) {
        return;
    }
    frame->protocol = PROTOCOL;
    frame->name = settings->name;
    frame->address = (char *)ts_gateway_settings_peer_address(settings);
    frame->sent_ms = ts_clock_now_us() / TS_US_PER_MS;
    frame->clock = peers->clock;
    ts_peers_number_frame(peers, address, frame);
    size_t length = ts_peer__frame__get_packed_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_peer__frame__pack(frame, bytes);
    ts_peer_link_send(peers->link, address, bytes, length);
    ts_byte_account_add(byte_cause(frame), ts_peers_distance(peers, address), length);
    g_free(bytes);
}

static void dispatch_frame(ts_peers_t *peers, TsPeer__Frame *frame)
{
    ts_time_us_t delay_us = ts_peers_frame_delay(peers, frame);
    if (frame->gossip.len > 0 &&
        !ts_membership_receive(peers->membership, frame->name, frame->address, frame->gossip.data,
                               frame->gossip.len, ts_clock_now_us())) {
        ts_count_error(TS_E_PROTOCOL);
    }
    if (frame->beacon != NULL) {
        ts_peers_handle_beacon(peers, frame, delay_us);
    }
    if (frame->pull != NULL) {
        ts_peers_handle_pull(peers, frame);
    }
    if (frame->changes != NULL) {
        ts_peers_handle_changes(peers, frame->changes, delay_us);
    }
    if (frame->sighting != NULL) {
        ts_peers_handle_sighting(peers, frame->sighting);
    }
    if (frame->loan != NULL) {
        ts_peers_handle_loan(peers, frame->address, frame->loan);
    }
    if (frame->evidence != NULL)
        ts_peers_handle_evidence(peers, frame);
    if (frame->rate != NULL)
        ts_peers_handle_rate(peers, frame);
    if (frame->quarantine != NULL)
        ts_peers_handle_quarantine(peers, frame);
}

static void handle_frame(void *context, const uint8_t *bytes, size_t length)
{
    ts_peers_t *peers = context;
    TsPeer__Frame *frame = ts_peer__frame__unpack(NULL, length, bytes);
    if (frame == NULL || frame->protocol != PROTOCOL) {
        ts_count_error(TS_E_PROTOCOL);
        if (frame != NULL) {
            ts_peer__frame__free_unpacked(frame, NULL);
        }
        return;
    }
    bool wants_echo = ts_peers_process_ack(peers, frame);
    uint32_t sent = ts_peers_frames_sent(peers, frame->address);
    dispatch_frame(peers, frame);
    if (wants_echo && ts_peers_frames_sent(peers, frame->address) == sent)
        ts_peers_send_ack(peers, frame->address); // no other frame has carried the ack
    ts_peer__frame__free_unpacked(frame, NULL);
}

/* -- Membership -------------------------------------------------------------------------------- */

static void send_gossip(void *context, const char *name, const char *address, const uint8_t *bytes,
                        size_t length)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.gossip.data = (uint8_t *)bytes;
    frame.gossip.len = length;
    ts_count(TS_COUNTER_CONTROL_BYTES_SENT, (int64_t)length);
    ts_peers_send(context, address, &frame);
}

/* Depends on the view only, so that all nodes with the same view agree on the order. */
gint ts_peers_compare_members(gconstpointer left, gconstpointer right)
{
    const ts_view_member_t *a = *(ts_view_member_t *const *)left;
    const ts_view_member_t *b = *(ts_view_member_t *const *)right;
    bool a_is_live = a->state == TS_MEMBER_LIVE;
    bool b_is_live = b->state == TS_MEMBER_LIVE;
    if (a_is_live != b_is_live) {
        return a_is_live ? -1 : 1;
    }
    uint64_t a_weight = ts_hash_mix(a->id, ts_hash_text(a->zone));
    uint64_t b_weight = ts_hash_mix(b->id, ts_hash_text(b->zone));
    return (a_weight < b_weight) - (a_weight > b_weight);
}

static void update_zone_order(ts_peers_t *peers)
{
    const char *zone = peers->gateway->settings->zone;
    g_ptr_array_set_size(peers->zone_order, 0);
    for (size_t i = 0; i < peers->view->count; i++) {
        ts_view_member_t *member = &peers->view->members[i];
        if (strcmp(member->zone, zone) == 0) {
            g_ptr_array_add(peers->zone_order, member);
        }
    }
    g_ptr_array_sort(peers->zone_order, ts_peers_compare_members);
    for (guint i = 0; i < peers->zone_order->len; i++) {
        if (((ts_view_member_t *)g_ptr_array_index(peers->zone_order, i))->is_self) {
            peers->own_index = i;
        }
    }
}

void ts_peers_send_to_children(ts_peers_t *peers, TsPeer__Frame *frame)
{
    guint begin = peers->own_index * TREE_CHILDREN + 1;
    for (guint i = begin; i < begin + TREE_CHILDREN && i < peers->zone_order->len; i++) {
        const ts_view_member_t *member = g_ptr_array_index(peers->zone_order, i);
        ts_peers_send(peers, member->address, frame);
    }
}

const char *ts_peers_parent(const ts_peers_t *peers)
{
    if (peers->own_index == 0)
        return NULL;
    guint index = (peers->own_index - 1) / TREE_CHILDREN;
    const ts_view_member_t *parent = g_ptr_array_index(peers->zone_order, index);
    return parent->address;
}

static void update_view(void *context)
{
    ts_peers_t *peers = context;
    ts_view_unref(peers->view);
    peers->view = ts_membership_view(peers->membership);
    update_zone_order(peers);
    ts_peers_locate_members(peers);
    ts_peers_choose_collector(peers);
    ts_peers_update_homes(peers);
    ts_peers_prune_acks(peers);
    ts_gauge_set(TS_COUNTER_MEMBERS_LIVE,
                 (int64_t)ts_membership_count(peers->membership, TS_MEMBER_LIVE));
    ts_gateway_set_node_count(peers->gateway, (unsigned)peers->view->count);
}

static void log_member_state(void *context, const char *name, ts_member_state_t old,
                             ts_member_state_t state)
{
    ts_log(TS_EVENT_MEMBER_STATE, "peer=%s before=%s state=%s", name, ts_member_state_name(old),
           ts_member_state_name(state));
}

static void tick(uv_timer_t *timer)
{
    ts_peers_t *peers = timer->data;
    ts_membership_tick(peers->membership, ts_clock_now_us());
    if (ts_peers_needs_bootstrap(peers)) {
        ts_peers_pull_from_random_peer(peers);
    }
    ts_peers_compare_quarantine(peers);
    ts_peers_probe_silent_zones(peers);
    peers->ticks++;
    if (++peers->ticks_without_beacon >= BEACON_TICKS && ts_peers_is_watcher(peers) &&
        ts_store_mirror_is_loaded(peers->mirror)) {
        ts_peers_send_beacon(peers);
    }
}

unsigned ts_peers_count(const ts_peers_t *peers)
{
    return (unsigned)peers->view->count;
}

void ts_peers_set_mute(ts_peers_t *peers, bool is_mute)
{
    peers->is_mute = is_mute;
}

void ts_peers_leave(ts_peers_t *peers)
{
    ts_membership_leave(peers->membership, ts_clock_now_us());
}

void ts_peers_sweep(ts_peers_t *peers, ts_time_us_t now_us)
{
    ts_peer_link_sweep(peers->link, now_us);
}

/* Seeds are known by address only; their names are learned from their replies. */
static void add_seeds(ts_peers_t *peers)
{
    const ts_gateway_settings_t *settings = peers->gateway->settings;
    ts_membership_begin_machines(peers->membership);
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        if (strcmp(settings->seeds[i], ts_gateway_settings_peer_address(settings)) != 0) {
            ts_membership_add_machine(peers->membership, settings->seeds[i], settings->seeds[i],
                                      "");
        }
    }
    ts_membership_end_machines(peers->membership);
}

ts_peers_t *ts_peers_open(ts_gateway_t *gateway, ts_store_mirror_t *mirror)
{
    static const ts_membership_ops_t ops = {send_gossip, ts_peers_handle_config_version,
                                            update_view, log_member_state};
    const ts_gateway_settings_t *settings = gateway->settings;
    ts_peers_t *peers = g_new0(ts_peers_t, 1);
    uint64_t incarnation = (uint64_t)ts_clock_wall_ms();
    ts_membership_config_t config = {
        .name = settings->name,
        .address = ts_gateway_settings_peer_address(settings),
        .zone = settings->zone,
        .incarnation = incarnation,
        .seed = ts_hash_mix(ts_hash_text(settings->name), incarnation),
        .retries_probe = true,
    };
    peers->gateway = gateway;
    peers->clock = (uint32_t)config.seed | 1U;
    peers->mirror = mirror;
    peers->link = ts_peer_link_open(gateway->loop, settings->peers, handle_frame, peers);
    if (peers->link == NULL) {
        return NULL;
    }
    ts_peers_init_acks(peers);
    peers->contact = ts_contact_create(ts_hash_text(settings->name));
    peers->membership = ts_membership_create(&config, &ops, peers, ts_clock_now_us());
    peers->zone_order = g_ptr_array_new();
    peers->regions = g_ptr_array_new();
    peers->distances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    peers->view = ts_membership_view(peers->membership);
    update_zone_order(peers);
    ts_peers_locate_members(peers);
    ts_peers_update_homes(peers);
    ts_peers_init_evidence(peers);
    ts_peers_init_quarantine(peers);
    ts_registry_set_evidence_callback(gateway->registry, ts_peers_schedule_evidence, peers);
    add_seeds(peers);
    uv_timer_init(gateway->loop, &peers->timer);
    peers->timer.data = peers;
    uv_timer_start(&peers->timer, tick, TICK_MS, TICK_MS);
    return peers;
}
