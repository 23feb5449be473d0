/** Membership: what is received: rumours, probes, answers, differences of views. */
#include "membership_internal.h"

#include <string.h>

#include "tealspar/counters.h"

/* Exchanges of all members are paced: often after the start, rarely later. */
#define RECENT_US (15ULL * TS_US_PER_S)
#define REPAIR_GAP_US (300ULL * TS_US_PER_MS)
/* One in so many exchanges that are due with a node of another zone is made. */
#define SYNC_OTHER_ZONE_EVERY 8U
#define SYNC_GAP_MOST_US (64ULL * TS_US_PER_S)

/* At one incarnation a later state of this order wins. */
static bool is_news(const member_t *member, ts_member_state_t state, uint64_t incarnation)
{
    if (incarnation != member->incarnation) {
        return incarnation > member->incarnation;
    }
    return state > member->state;
}

static void refute(ts_membership_t *m, uint64_t incarnation)
{
    ts_count(TS_COUNTER_MEMBER_REFUTATIONS, 1);
    m->standing++;
    m->is_changed = true;
    ts_member_state_t state = m->is_leaving ? TS_MEMBER_LEAVING : TS_MEMBER_LIVE;
    ts_member_set_state(m, m->self, state, MAX(incarnation, m->self->incarnation) + 1);
}

void ts_member_replace_text(char **place, const char *text)
{
    if (strcmp(*place, text) != 0) {
        g_free(*place);
        *place = g_strdup(text);
    }
}

static void take_rumour(ts_membership_t *m, const TsWire__Member *rumour)
{
    if (rumour->state > TS_MEMBER_DEAD || rumour->name[0] == '\0' || rumour->incarnation == 0) {
        return;
    }
    ts_member_state_t state = (ts_member_state_t)rumour->state;
    member_t *member = ts_member_find_member(m, rumour->name);
    if (member == m->self) {
        bool is_mine = strcmp(rumour->address, m->self->address) == 0;
        bool is_false = state != m->self->state && rumour->incarnation >= m->self->incarnation;
        if (is_mine && is_false) {
            refute(m, rumour->incarnation);
        }
        return;
    }
    if (member == NULL && state == TS_MEMBER_DEAD) {
        return; /* never known here, and gone */
    }
    if (member == NULL) {
        member = ts_member_add_member(m, rumour->name, rumour->address, rumour->zone);
    } else if (!is_news(member, state, rumour->incarnation)) {
        return;
    }
    ts_member_replace_text(&member->address, rumour->address);
    ts_member_replace_text(&member->zone, rumour->zone);
    ts_member_set_state(m, member, state, rumour->incarnation);
}

/* A node that leaves relies on it that whoever answers acts by what it was told. */
static void show_view_before_answer(ts_membership_t *m)
{
    if (!m->uses_barriers || !m->is_changed)
        return;
    m->is_changed = false;
    m->ops.changed(m->context);
}

static void answer_ping(ts_membership_t *m, const char *name, const char *address,
                        uint64_t sequence)
{
    show_view_before_answer(m);
    member_t *sender = ts_member_find_member(m, name);
    if (sender != NULL && sender->state != TS_MEMBER_LIVE) {
        sender->rumour_sends = MAX(sender->rumour_sends, 1U); /* lets it refute */
    }
    ts_member_send_gossip(m, name, address, GOSSIP_ACK, sequence, NULL);
}

static void take_ack(ts_membership_t *m, uint64_t sequence)
{
    if (ts_member_take_barrier_ack(m, sequence))
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
            ts_member_note_probe(m, target, false);
        }
        ts_member_clear_probe(m);
    }
}

static gboolean is_relay_old(gpointer key, gpointer value, gpointer data)
{
    const ts_membership_t *m = data;
    return m->now_us - ((relay_t *)value)->sent_us > TS_MEMBERSHIP_PERIOD_US;
}

static void take_ping_request(ts_membership_t *m, const char *name, const char *address,
                              const TsWire__Gossip *gossip)
{
    const member_t *target = ts_member_find_member(m, gossip->target);
    if (target == NULL || target == m->self) {
        return;
    }
    g_hash_table_foreach_remove(m->relays, is_relay_old, m);
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

/* Rumours that a peer with the same view knows already are told less often. */
static void fade_rumours(ts_membership_t *m)
{
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        member->rumour_sends /= 2;
    }
}

/* Tells a peer whose view differs what has changed here lately; it may have missed a rumour. */
static void tell_recent(ts_membership_t *m, const char *name, const char *address)
{
    bool has_recent = false;
    if (m->now_us < m->next_repair_us) {
        return;
    }
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        if (member->incarnation != 0 && m->now_us - member->since_us < RECENT_US) {
            member->rumour_sends = MAX(member->rumour_sends, 1U);
            has_recent = true;
        }
    }
    if (has_recent) {
        m->next_repair_us = m->now_us + REPAIR_GAP_US;
        ts_member_send_gossip(m, name, address, GOSSIP_RUMOURS, 0, NULL);
    }
}

/*
 * Whether the exchange of all members is left to a node of this zone: links between zones are dear,
 * and what one node of a zone learns there it tells the others.
 */
static bool is_sync_spared(ts_membership_t *m, const char *name)
{
    const member_t *member = ts_member_find_member(m, name);
    bool is_other_zone = member != NULL && !ts_member_is_same_zone(m, member);
    return is_other_zone && ts_member_next_random(m) % SYNC_OTHER_ZONE_EVERY != 0;
}

/* Views that stay different are put right by an exchange of all members, paced. */
static void compare_digest(ts_membership_t *m, const char *name, const char *address,
                           uint64_t digest)
{
    if (digest == ts_member_digest_view(m)) {
        fade_rumours(m);
        return;
    }
    tell_recent(m, name, address);
    if (m->now_us < m->next_sync_us || is_sync_spared(m, name)) {
        return;
    }
    m->next_sync_us = m->now_us + m->sync_gap_us + ts_member_next_random(m) % m->sync_gap_us;
    m->sync_gap_us = MIN(m->sync_gap_us * 2, SYNC_GAP_MOST_US);
    ts_member_send_gossip(m, name, address, GOSSIP_SYNC_REQUEST, 0, NULL);
}

static void take_gossip(ts_membership_t *m, const char *name, const char *address,
                        const TsWire__Gossip *gossip)
{
    switch (gossip->type) {
    case GOSSIP_PING:
        answer_ping(m, name, address, gossip->sequence);
        compare_digest(m, name, address, gossip->view_digest);
        break;
    case GOSSIP_ACK:
        take_ack(m, gossip->sequence);
        compare_digest(m, name, address, gossip->view_digest);
        m->is_changed |= m->is_doubtful;
        m->is_doubtful = false;
        break;
    case GOSSIP_PING_REQUEST:
        take_ping_request(m, name, address, gossip);
        break;
    case GOSSIP_SYNC_REQUEST:
        ts_member_send_sync(m, name, address);
        break;
    case GOSSIP_SYNC:
        m->is_changed |= !m->has_joined;
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
    ts_member_notice_stall(m, now_us);
    for (size_t i = 0; i < gossip->n_members; i++) {
        take_rumour(m, gossip->members[i]);
    }
    take_gossip(m, from_name, from_address, gossip);
    if (gossip->config_version != 0) {
        m->ops.heard_config(m->context, from_name, from_address, gossip->config_version,
                            gossip->config_digest);
    }
    ts_wire__gossip__free_unpacked(gossip, NULL);
    return true;
}
