/** Membership: handles received messages and reconciles views that differ from those of peers. */
#include "membership_internal.h"

#include <string.h>

#include "tealspar/counters.h"

/* State changes younger than this are sent again to a peer whose view differs. */
#define RECENT_CHANGE_US (15ULL * TS_US_PER_S)
#define RESEND_INTERVAL_US (300ULL * TS_US_PER_MS)
/* Of the full exchanges due with nodes of other zones, one in this many is made, at random. */
#define CROSS_ZONE_SYNC_ONE_IN 8U
#define SYNC_INTERVAL_MAX_US (64ULL * TS_US_PER_S)

/* A higher incarnation wins; within one incarnation the later state in enum order wins. */
static bool supersedes(const member_t *member, ts_member_state_t state, uint64_t incarnation)
{
    if (incarnation != member->incarnation) {
        return incarnation > member->incarnation;
    }
    return state > member->state;
}

/*
 * Contradicts a false rumour about this node by announcing its state with a higher incarnation.
 * Others may have taken over its backends meanwhile, so a new ownership epoch begins.
 */
static void refute(ts_membership_t *m, uint64_t incarnation)
{
    ts_count(TS_COUNTER_MEMBER_REFUTATIONS, 1);
    m->ownership_epoch++;
    m->is_view_changed = true;
    ts_member_state_t state = m->is_leaving ? TS_MEMBER_LEAVING : TS_MEMBER_LIVE;
    ts_member_set_state(m, m->self, state, MAX(incarnation, m->self->incarnation) + 1);
}

void ts_member_replace_string(char **string, const char *text)
{
    if (strcmp(*string, text) != 0) {
        g_free(*string);
        *string = g_strdup(text);
    }
}

static void apply_rumour(ts_membership_t *m, const TsWire__Member *rumour)
{
    if (rumour->state > TS_MEMBER_DEAD || rumour->name[0] == '\0' || rumour->incarnation == 0) {
        return;
    }
    ts_member_state_t state = (ts_member_state_t)rumour->state;
    member_t *member = ts_member_find_member(m, rumour->name);
    if (member == m->self) {
        bool is_own_address = strcmp(rumour->address, m->self->address) == 0;
        bool is_false = state != m->self->state && rumour->incarnation >= m->self->incarnation;
        if (is_own_address && is_false) {
            refute(m, rumour->incarnation);
        }
        return;
    }
    if (member == NULL && state == TS_MEMBER_DEAD) {
        return; /* an unknown member that is dead already */
    }
    if (member == NULL) {
        member = ts_member_add_member(m, rumour->name, rumour->address, rumour->zone);
    } else if (!supersedes(member, state, rumour->incarnation)) {
        return;
    }
    ts_member_replace_string(&member->address, rumour->address);
    ts_member_replace_string(&member->zone, rumour->zone);
    ts_member_set_state(m, member, state, rumour->incarnation);
}

/* A leaving node relies on a member acting on its announcement before acknowledging the probe. */
static void publish_view_before_ack(ts_membership_t *m)
{
    if (!m->uses_barriers || !m->is_view_changed)
        return;
    m->is_view_changed = false;
    m->ops.view_changed(m->context);
}

static void answer_ping(ts_membership_t *m, const char *name, const char *address,
                        uint64_t sequence)
{
    publish_view_before_ack(m);
    member_t *sender = ts_member_find_member(m, name);
    if (sender != NULL && sender->state != TS_MEMBER_LIVE) {
        /* The acknowledgement carries the rumour, so that the sender can refute it. */
        sender->rumour_sends_left = MAX(sender->rumour_sends_left, 1U);
    }
    ts_member_send_gossip(m, name, address, GOSSIP_ACK, sequence, NULL);
}

static void handle_ack(ts_membership_t *m, uint64_t sequence)
{
    if (ts_member_handle_barrier_ack(m, sequence))
        return;
    relay_t *relay = g_hash_table_lookup(m->relays, &sequence);
    if (relay != NULL) {
        ts_member_send_gossip(m, relay->requester, relay->requester_address, GOSSIP_ACK,
                              relay->requester_sequence, NULL);
        g_hash_table_remove(m->relays, &sequence);
        return;
    }
    if (m->probe.target != NULL && m->probe.sequence == sequence) {
        const member_t *target = ts_member_find_member(m, m->probe.target);
        if (target != NULL) {
            ts_member_record_probe(m, target, false);
        }
        ts_member_clear_probe(m);
    }
}

static gboolean is_relay_expired(gpointer key, gpointer value, gpointer data)
{
    const ts_membership_t *m = data;
    return m->now_us - ((relay_t *)value)->sent_us > TS_MEMBERSHIP_PERIOD_US;
}

static void handle_ping_request(ts_membership_t *m, const char *name, const char *address,
                                const TsWire__Gossip *gossip)
{
    const member_t *target = ts_member_find_member(m, gossip->target);
    if (target == NULL || target == m->self) {
        return;
    }
    g_hash_table_foreach_remove(m->relays, is_relay_expired, m);
    relay_t *relay = g_new0(relay_t, 1);
    relay->requester = g_strdup(name);
    relay->requester_address = g_strdup(address);
    relay->requester_sequence = gossip->sequence;
    relay->sent_us = m->now_us;
    uint64_t *key = g_new(uint64_t, 1);
    *key = ++m->sequence;
    g_hash_table_insert(m->relays, key, relay);
    ts_member_send_gossip(m, target->name, target->address, GOSSIP_PING, *key, NULL);
}

/* A peer with the same view knows the rumours already, so they need fewer further sends. */
static void halve_rumour_sends(ts_membership_t *m)
{
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        member->rumour_sends_left /= 2;
    }
}

/* Sends recent state changes to a peer whose view differs; it may have missed a rumour. */
static void send_recent_changes(ts_membership_t *m, const char *name, const char *address)
{
    bool has_recent_change = false;
    if (m->now_us < m->next_resend_us) {
        return;
    }
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        if (member->incarnation != 0 && m->now_us - member->state_since_us < RECENT_CHANGE_US) {
            member->rumour_sends_left = MAX(member->rumour_sends_left, 1U);
            has_recent_change = true;
        }
    }
    if (has_recent_change) {
        m->next_resend_us = m->now_us + RESEND_INTERVAL_US;
        ts_member_send_gossip(m, name, address, GOSSIP_RUMOURS, 0, NULL);
    }
}

/*
 * Whether to skip a full exchange with a node of another zone. Traffic between zones is expensive,
 * and what one node learns there spreads within its zone.
 */
static bool skips_sync(ts_membership_t *m, const char *name)
{
    const member_t *member = ts_member_find_member(m, name);
    bool is_other_zone = member != NULL && !ts_member_is_same_zone(m, member);
    return is_other_zone && ts_member_next_random(m) % CROSS_ZONE_SYNC_ONE_IN != 0;
}

/*
 * Views that stay different are reconciled by a full exchange of members. The interval doubles with
 * each exchange: frequent after startup, rare later.
 */
static void compare_digest(ts_membership_t *m, const char *name, const char *address,
                           uint64_t digest)
{
    if (digest == ts_member_digest_view(m)) {
        halve_rumour_sends(m);
        return;
    }
    send_recent_changes(m, name, address);
    if (m->now_us < m->next_sync_us || skips_sync(m, name)) {
        return;
    }
    m->next_sync_us =
        m->now_us + m->sync_interval_us + ts_member_next_random(m) % m->sync_interval_us;
    m->sync_interval_us = MIN(m->sync_interval_us * 2, SYNC_INTERVAL_MAX_US);
    ts_member_send_gossip(m, name, address, GOSSIP_SYNC_REQUEST, 0, NULL);
}

static void handle_gossip(ts_membership_t *m, const char *name, const char *address,
                          const TsWire__Gossip *gossip)
{
    switch (gossip->type) {
    case GOSSIP_PING:
        answer_ping(m, name, address, gossip->sequence);
        compare_digest(m, name, address, gossip->view_digest);
        break;
    case GOSSIP_ACK:
        handle_ack(m, gossip->sequence);
        compare_digest(m, name, address, gossip->view_digest);
        m->is_view_changed |= m->is_unacked_since_stall;
        m->is_unacked_since_stall = false;
        break;
    case GOSSIP_PING_REQUEST:
        handle_ping_request(m, name, address, gossip);
        break;
    case GOSSIP_SYNC_REQUEST:
        ts_member_send_sync(m, name, address);
        break;
    case GOSSIP_SYNC:
        m->is_view_changed |= !m->has_joined;
        m->has_joined = true;
        break;
    default:
        break;
    }
}

bool ts_membership_receive(ts_membership_t *m, const char *from_name, const char *from_address,
                           const uint8_t *bytes, size_t length, ts_time_us_t now_us)
{
    TsWire__Gossip *gossip = ts_wire__gossip__unpack(NULL, length, bytes);
    if (gossip == NULL) {
        return false;
    }
    ts_member_advance_clock(m, now_us);
    for (size_t i = 0; i < gossip->n_members; i++) {
        apply_rumour(m, gossip->members[i]);
    }
    handle_gossip(m, from_name, from_address, gossip);
    if (gossip->config_version != 0) {
        m->ops.config_announced(m->context, from_name, from_address, gossip->config_version,
                                gossip->config_digest);
    }
    ts_wire__gossip__free_unpacked(gossip, NULL);
    return true;
}
