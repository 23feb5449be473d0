/** The other gateways: membership, the zone's watcher, and what is passed between them. */
#include "tealspar/peers.h"

#include <string.h>

#include "peer.pb-c.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/membership.h"
#include "tealspar/peer_link.h"

#define PROTOCOL 1
/* The time between two beacons of a watcher, and the tick of membership. */
#define TICK_MS 250
#define BEACON_TICKS 2
/* What a watcher knows is older than this: each node follows the service itself. */
#define CONFIRMED_MAX_US (1500 * TS_US_PER_MS)
/* A pull that was not answered is asked again after this. */
#define PULL_AGAIN_US (300 * TS_US_PER_MS)
/* While nothing is known, somebody is asked this often, once the service had time to answer. */
#define ASK_AROUND_US (500 * TS_US_PER_MS)
#define ASK_FIRST_US (400 * TS_US_PER_MS)
/* A beacon goes down a tree of the zone's nodes, so that no node sends more than this many. */
#define BEACON_CHILDREN 16U
/* A beacon is passed on only if it confirms what was last passed on this much later. */
#define BEACON_NEWER_US (100 * TS_US_PER_MS)
/* What is seen of a back end is told to so many nodes of the zone. */
#define SIGHTING_FANOUT 16U

/* Of extra sends: how many nodes are asked at once, how often, and what each gives at most. */
#define LOAN_ASKED 2U
#define LOAN_ASK_US (20 * TS_US_PER_MS)
#define LOAN_MOST 2U

struct ts_peers {
    ts_gateway_t *gateway;
    ts_store_mirror_t *mirror;
    ts_membership_t *membership;
    ts_peer_link_t *link;
    ts_view_t *view;
    uv_timer_t timer;
    /*
     * Members of this node's zone that are not dead, in the view, by rendezvous weight, the live
     * before others: the first is the zone's watcher, the children of the node at `i` stand from
     * BEACON_CHILDREN x i + 1 on.
     */
    GPtrArray *zone_order;
    guint own_place;           /* of this node in the order */
    ts_time_us_t passed_on_us; /* what the last beacon that was passed on confirmed */
    uint64_t passed_on_revision;
    unsigned ticks;
    bool is_mute;           /**< sends nothing; see ts_peers_set_mute */
    ts_time_us_t pulled_us; /* when changes were last asked for */
    ts_time_us_t asked_us;  /* when somebody was last asked for everything */
    unsigned asked_times;
};

static bool is_watcher(const ts_peers_t *peers)
{
    return peers->own_place == 0;
}

/* -- Sending ----------------------------------------------------------------------------------- */

static void send_frame(ts_peers_t *peers, const char *address, TsPeer__Frame *frame)
{
    const ts_gateway_settings_t *settings = peers->gateway->settings;
    if (peers->is_mute) {
        return;
    }
    frame->protocol = PROTOCOL;
    frame->name = settings->name;
    frame->address = (char *)ts_gateway_settings_reached_at(settings);
    size_t length = ts_peer__frame__get_packed_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_peer__frame__pack(frame, bytes);
    ts_peer_link_send(peers->link, address, bytes, length);
    g_free(bytes);
}

/* To this node's children in the zone's tree. */
static void send_to_children(ts_peers_t *peers, TsPeer__Frame *frame)
{
    guint begin = peers->own_place * BEACON_CHILDREN + 1;
    for (guint i = begin; i < begin + BEACON_CHILDREN && i < peers->zone_order->len; i++) {
        const ts_view_member_t *member = g_ptr_array_index(peers->zone_order, i);
        send_frame(peers, member->address, frame);
    }
}

/* To a few nodes of this zone, drawn at random; to all when there are few. */
static void send_to_some(ts_peers_t *peers, TsPeer__Frame *frame)
{
    guint count = peers->zone_order->len;
    guint begin = count == 0 ? 0 : ts_gateway_random(peers->gateway) % count;
    for (guint i = 0, sent = 0; i < count && sent < SIGHTING_FANOUT; i++) {
        const ts_view_member_t *member = g_ptr_array_index(peers->zone_order, (begin + i) % count);
        if (!member->is_self) {
            send_frame(peers, member->address, frame);
            sent++;
        }
    }
}

static uint32_t age_ms(const ts_peers_t *peers)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    ts_time_us_t age_us = confirmed_us == 0 ? 0 : ts_clock_now_us() - confirmed_us;
    ts_time_us_t age = age_us / TS_US_PER_MS;
    return confirmed_us == 0 || age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

static void send_beacon(ts_peers_t *peers)
{
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.revision = ts_store_mirror_revision(peers->mirror);
    beacon.age_ms = age_ms(peers);
    frame.beacon = &beacon;
    peers->passed_on_us = ts_store_mirror_confirmed_us(peers->mirror);
    peers->passed_on_revision = beacon.revision;
    send_to_children(peers, &frame);
}

static void send_pull(ts_peers_t *peers, const char *address, uint64_t after)
{
    TsPeer__Pull pull = TS_PEER__PULL__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    pull.after = after;
    frame.pull = &pull;
    send_frame(peers, address, &frame);
}

static void send_changes(ts_peers_t *peers, const char *address, uint64_t after)
{
    bool is_whole = false;
    GPtrArray *list = ts_store_mirror_changes(peers->mirror, after, &is_whole);
    TsPeer__Entry *rows = g_new0(TsPeer__Entry, list->len + 1);
    TsPeer__Entry **pointers = g_new0(TsPeer__Entry *, list->len + 1);
    for (guint i = 0; i < list->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(list, i);
        ts_peer__entry__init(&rows[i]);
        rows[i].key = entry->key;
        rows[i].revision = entry->revision;
        rows[i].gone = entry->is_gone;
        rows[i].value.data = (uint8_t *)entry->value;
        rows[i].value.len = entry->length;
        pointers[i] = &rows[i];
    }
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    changes.revision = ts_store_mirror_revision(peers->mirror);
    changes.age_ms = age_ms(peers);
    changes.is_whole = is_whole;
    changes.entries = pointers;
    changes.n_entries = list->len;
    frame.changes = &changes;
    send_frame(peers, address, &frame);
    g_free(pointers);
    g_free(rows);
    g_ptr_array_unref(list);
}

/* -- Receiving --------------------------------------------------------------------------------- */

/* When something of that age was confirmed, on this node's clock. */
static ts_time_us_t confirmed_at(uint32_t age)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t age_us = (ts_time_us_t)age * TS_US_PER_MS;
    return age_us < now_us ? now_us - age_us : 0;
}

static void pull_from(ts_peers_t *peers, const char *address, uint64_t after)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (now_us - peers->pulled_us > PULL_AGAIN_US) {
        peers->pulled_us = now_us;
        send_pull(peers, address, after);
    }
}

/* Whether this node knows nothing although the service had time to answer. */
static bool is_in_need(const ts_peers_t *peers)
{
    return ts_store_mirror_is_empty(peers->mirror) &&
           ts_clock_now_us() - peers->gateway->opened_us > ASK_FIRST_US;
}

/* Passes on what is known now to this node's children, if it is news since the last time. */
static void pass_on(ts_peers_t *peers)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    bool is_news = ts_store_mirror_revision(peers->mirror) > peers->passed_on_revision ||
                   confirmed_us > peers->passed_on_us + BEACON_NEWER_US;
    if (is_news && !is_watcher(peers)) {
        send_beacon(peers);
    }
}

static void take_beacon(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    uint64_t own = ts_store_mirror_revision(peers->mirror);
    if (!ts_store_mirror_is_primed(peers->mirror)) {
        if (is_in_need(peers)) {
            pull_from(peers, frame->address, 0);
        }
    } else if (frame->beacon->revision > own) {
        pull_from(peers, frame->address, own);
    } else if (frame->beacon->revision == own) {
        ts_store_mirror_confirm(peers->mirror, confirmed_at(frame->beacon->age_ms));
        pass_on(peers);
    }
}

static void take_pull(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    if (ts_store_mirror_is_primed(peers->mirror)) {
        send_changes(peers, frame->address, frame->pull->after);
    }
}

static GPtrArray *read_entries(const ts_peers_t *peers, const TsPeer__Changes *changes)
{
    ts_store_page_t *page = ts_store_page_create();
    for (size_t i = 0; i < changes->n_entries; i++) {
        const TsPeer__Entry *row = changes->entries[i];
        ts_store_entry_t *entry = ts_store_page_add(page);
        entry->key = g_strdup(row->key);
        entry->revision = row->revision;
        entry->is_gone = row->gone;
        entry->length = row->value.len;
        entry->value = row->gone ? NULL : g_strndup((const char *)row->value.data, row->value.len);
        peers->gateway->dialect->name_entry(entry);
    }
    GPtrArray *entries = g_ptr_array_ref(page->entries);
    ts_store_page_free(page);
    return entries;
}

static void take_changes(ts_peers_t *peers, const TsPeer__Changes *changes)
{
    bool is_news = changes->revision >= ts_store_mirror_revision(peers->mirror);
    if (!changes->is_whole && !ts_store_mirror_is_primed(peers->mirror)) {
        return;
    }
    GPtrArray *entries = read_entries(peers, changes);
    ts_store_mirror_apply(peers->mirror, entries);
    if (changes->is_whole && is_news) {
        GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
        for (guint i = 0; i < entries->len; i++) {
            g_hash_table_add(keys, ((ts_store_entry_t *)g_ptr_array_index(entries, i))->key);
        }
        ts_store_mirror_keep_only(peers->mirror, keys, changes->revision);
        g_hash_table_unref(keys);
    }
    ts_store_mirror_reach(peers->mirror, changes->revision, confirmed_at(changes->age_ms));
    ts_count(TS_COUNTER_CONFIG_FROM_PEER, 1);
    peers->pulled_us = 0;
    pass_on(peers);
    g_ptr_array_unref(entries);
}

static void send_sighting(ts_peers_t *peers, TsPeer__Sighting *sighting);

static void take_sighting(ts_peers_t *peers, TsPeer__Sighting *row)
{
    ts_instance_t *instance = ts_registry_instance(peers->gateway->registry, row->instance);
    ts_sighting_kind_t kind = row->suspected ? TS_SIGHTING_SUSPECTED : TS_SIGHTING_ANSWERS;
    kind = row->slow_span_ms > 0 ? TS_SIGHTING_SLOW : kind;
    ts_sighting_t sighting = {kind, row->slow_span_ms * TS_US_PER_MS};
    if (instance != NULL)
        ts_instance_hear(instance, &sighting, ts_clock_now_us());
    if (row->relay) {
        row->relay = false;
        send_sighting(peers, row);
    }
}

/* -- Loans of extra sends ---------------------------------------------------------------------- */

static void send_loan(ts_peers_t *peers, const char *address, const char *service, uint32_t granted)
{
    TsPeer__Loan loan = TS_PEER__LOAN__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    loan.service = (char *)service;
    loan.granted = granted;
    frame.loan = &loan;
    send_frame(peers, address, &frame);
}

static void take_loan(ts_peers_t *peers, const char *address, const TsPeer__Loan *loan)
{
    ts_gateway_t *gateway = peers->gateway;
    ts_service_t *service = ts_registry_find_service(gateway->registry, loan->service);
    ts_time_us_t now_us = ts_clock_now_us();
    if (service == NULL)
        return;
    if (loan->granted > 0) {
        ts_count(TS_COUNTER_EXTRAS_BORROWED, loan->granted);
        ts_retry_budget_borrow(&service->budget, loan->granted, now_us);
        return;
    }
    uint32_t granted = ts_retry_budget_lend(&service->budget, &gateway->rule, LOAN_MOST, now_us);
    if (granted > 0) {
        ts_count(TS_COUNTER_EXTRAS_LENT, granted);
        send_loan(peers, address, loan->service, granted);
    }
}

void ts_peers_ask_loan(ts_peers_t *peers, ts_service_t *service, ts_time_us_t now_us)
{
    size_t count = peers->view->count;
    size_t begin = ts_gateway_random(peers->gateway) % count;
    if (now_us - service->budget.asked_us < LOAN_ASK_US)
        return;
    service->budget.asked_us = now_us;
    for (size_t i = 0, asked = 0; i < count && asked < LOAN_ASKED; i++) {
        const ts_view_member_t *member = &peers->view->members[(begin + i) % count];
        if (member->is_self || member->state != TS_MEMBER_LIVE)
            continue;
        send_loan(peers, member->address, service->name, 0);
        asked++;
    }
}

static void take_frame(void *context, const uint8_t *bytes, size_t length)
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
    if (frame->gossip.len > 0 &&
        !ts_membership_receive(peers->membership, frame->name, frame->address, frame->gossip.data,
                               frame->gossip.len, ts_clock_now_us())) {
        ts_count_error(TS_E_PROTOCOL);
    }
    if (frame->beacon != NULL) {
        take_beacon(peers, frame);
    }
    if (frame->pull != NULL) {
        take_pull(peers, frame);
    }
    if (frame->changes != NULL) {
        take_changes(peers, frame->changes);
    }
    if (frame->sighting != NULL) {
        take_sighting(peers, frame->sighting);
    }
    if (frame->loan != NULL) {
        take_loan(peers, frame->address, frame->loan);
    }
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
    send_frame(context, address, &frame);
}

/* A peer has a newer configuration; asked for only if the zone's watcher is not heard. */
static void hear_config(void *context, const char *name, const char *address, uint64_t version,
                        uint64_t digest)
{
    ts_peers_t *peers = context;
    const ts_traffic_t *traffic = peers->gateway->traffic;
    if (traffic == NULL || version > traffic->version) {
        pull_from(peers, address,
                  ts_store_mirror_is_primed(peers->mirror) ? ts_store_mirror_revision(peers->mirror)
                                                           : 0);
    }
}

/* Live ones first, then by rendezvous weight; the same view gives the same order everywhere. */
static gint compare_members(gconstpointer left, gconstpointer right)
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

static void order_zone(ts_peers_t *peers)
{
    const char *zone = peers->gateway->settings->zone;
    g_ptr_array_set_size(peers->zone_order, 0);
    for (size_t i = 0; i < peers->view->count; i++) {
        ts_view_member_t *member = &peers->view->members[i];
        if (strcmp(member->zone, zone) == 0) {
            g_ptr_array_add(peers->zone_order, member);
        }
    }
    g_ptr_array_sort(peers->zone_order, compare_members);
    for (guint i = 0; i < peers->zone_order->len; i++) {
        if (((ts_view_member_t *)g_ptr_array_index(peers->zone_order, i))->is_self) {
            peers->own_place = i;
        }
    }
}

static void change_view(void *context)
{
    ts_peers_t *peers = context;
    ts_view_unref(peers->view);
    peers->view = ts_membership_view(peers->membership);
    order_zone(peers);
    ts_gauge_set(TS_COUNTER_MEMBERS_LIVE,
                 (int64_t)ts_membership_count(peers->membership, TS_MEMBER_LIVE));
    ts_gateway_set_nodes(peers->gateway, (unsigned)peers->view->count);
}

static void log_member(void *context, const char *name, ts_member_state_t old,
                       ts_member_state_t state)
{
    ts_log(TS_EVENT_MEMBER_STATE, "peer=%s before=%s state=%s", name, ts_member_state_name(old),
           ts_member_state_name(state));
}

/* -- Places --------------------------------------------------------------------------------- */

typedef struct claim {
    bool is_near;
    uint64_t weight;
} claim_t;

static claim_t claim_of(const ts_peers_t *peers, const ts_view_member_t *member, const char *region,
                        uint64_t instance)
{
    const char *own = g_hash_table_lookup(peers->gateway->zones, member->zone);
    bool is_near = own != NULL && region != NULL && strcmp(own, region) == 0;
    return (claim_t){is_near, ts_hash_mix(member->id, instance)};
}

static bool comes_before(claim_t a, claim_t b)
{
    return a.is_near != b.is_near ? a.is_near : a.weight > b.weight;
}

unsigned ts_peers_place(const ts_peers_t *peers, const ts_instance_t *instance)
{
    const char *region = g_hash_table_lookup(peers->gateway->zones, instance->zone);
    uint64_t id = ts_hash_text(instance->id);
    claim_t own = {false, 0};
    unsigned place = 0;
    for (size_t i = 0; i < peers->view->count; i++) {
        if (peers->view->members[i].is_self)
            own = claim_of(peers, &peers->view->members[i], region, id);
    }
    for (size_t i = 0; i < peers->view->count; i++)
        place += comes_before(claim_of(peers, &peers->view->members[i], region, id), own);
    return place;
}

/* -- Time -------------------------------------------------------------------------------------- */

bool ts_peers_is_relied_on(const ts_peers_t *peers)
{
    return peers->zone_order->len > 1 && is_watcher(peers);
}

bool ts_peers_should_watch(const ts_peers_t *peers, ts_time_us_t now_us)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(peers->mirror);
    return is_watcher(peers) || confirmed_us == 0 || now_us - confirmed_us > CONFIRMED_MAX_US;
}

void ts_peers_announce(ts_peers_t *peers)
{
    const ts_traffic_t *traffic = peers->gateway->traffic;
    if (traffic != NULL) {
        ts_membership_set_config(peers->membership, traffic->version, 0);
    }
    if (is_watcher(peers)) {
        send_beacon(peers);
    }
}

/* Somebody else, drawn at random: of this zone and of all zones in turn. */
static const ts_view_member_t *choose_to_ask(ts_peers_t *peers)
{
    bool in_zone = peers->asked_times++ % 2 == 0 && peers->zone_order->len > 1;
    size_t count = in_zone ? peers->zone_order->len : peers->view->count;
    size_t begin = ts_gateway_random(peers->gateway) % count;
    for (size_t i = 0; i < count; i++) {
        size_t place = (begin + i) % count;
        const ts_view_member_t *member =
            in_zone ? g_ptr_array_index(peers->zone_order, place) : &peers->view->members[place];
        if (!member->is_self) {
            return member;
        }
    }
    return NULL;
}

void ts_peers_ask_around(ts_peers_t *peers)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (now_us - peers->asked_us < ASK_AROUND_US) {
        return;
    }
    const ts_view_member_t *member = choose_to_ask(peers);
    if (member != NULL) {
        peers->asked_us = now_us;
        bool is_primed = ts_store_mirror_is_primed(peers->mirror);
        send_pull(peers, member->address, is_primed ? ts_store_mirror_revision(peers->mirror) : 0);
    }
}

static void tick(uv_timer_t *timer)
{
    ts_peers_t *peers = timer->data;
    ts_membership_tick(peers->membership, ts_clock_now_us());
    if (is_in_need(peers)) {
        ts_peers_ask_around(peers);
    }
    if (++peers->ticks % BEACON_TICKS == 0 && is_watcher(peers) &&
        ts_store_mirror_is_primed(peers->mirror)) {
        send_beacon(peers);
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
            send_frame(peers, member->address, &frame);
    }
    sighting->relay = false;
    g_hash_table_unref(done);
}

void ts_peers_tell(ts_peers_t *peers, const char *instance, const ts_sighting_t *sighting)
{
    TsPeer__Sighting row = TS_PEER__SIGHTING__INIT;
    ts_time_us_t span_ms = sighting->span_us / TS_US_PER_MS;
    row.instance = (char *)instance;
    row.suspected = sighting->kind == TS_SIGHTING_SUSPECTED;
    row.slow_span_ms = sighting->kind == TS_SIGHTING_SLOW ? (uint32_t)MAX(span_ms, 1) : 0;
    send_sighting(peers, &row);
    send_to_region(peers, &row);
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

/* Seeds are asked by address alone; their names come with their answers. */
static void add_seeds(ts_peers_t *peers)
{
    const ts_gateway_settings_t *settings = peers->gateway->settings;
    ts_membership_begin_machines(peers->membership);
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        if (strcmp(settings->seeds[i], ts_gateway_settings_reached_at(settings)) != 0) {
            ts_membership_add_machine(peers->membership, settings->seeds[i], settings->seeds[i],
                                      "");
        }
    }
    ts_membership_end_machines(peers->membership);
}

ts_peers_t *ts_peers_open(ts_gateway_t *gateway, ts_store_mirror_t *mirror)
{
    static const ts_membership_ops_t ops = {send_gossip, hear_config, change_view, log_member};
    const ts_gateway_settings_t *settings = gateway->settings;
    ts_peers_t *peers = g_new0(ts_peers_t, 1);
    uint64_t incarnation = (uint64_t)ts_clock_wall_ms();
    ts_membership_config_t config = {
        .name = settings->name,
        .address = ts_gateway_settings_reached_at(settings),
        .zone = settings->zone,
        .incarnation = incarnation,
        .seed = ts_hash_mix(ts_hash_text(settings->name), incarnation),
    };
    peers->gateway = gateway;
    peers->mirror = mirror;
    peers->link = ts_peer_link_open(gateway->loop, settings->peers, take_frame, peers);
    if (peers->link == NULL) {
        return NULL;
    }
    peers->membership = ts_membership_create(&config, &ops, peers, ts_clock_now_us());
    peers->zone_order = g_ptr_array_new();
    peers->view = ts_membership_view(peers->membership);
    order_zone(peers);
    add_seeds(peers);
    uv_timer_init(gateway->loop, &peers->timer);
    peers->timer.data = peers;
    uv_timer_start(&peers->timer, tick, TICK_MS, TICK_MS);
    return peers;
}
