/** Fleet-wide rate limits: choice of the home and deputy of an account, and their messages. */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"

/*
 * A process that started less than this ago may not have discovered the other nodes yet. Until then
 * it requires a majority of the expected number of nodes in its view before it accepts any node as
 * home; afterwards a majority of the largest view so far is sufficient.
 */
#define STARTUP_US (2 * TS_US_PER_S)
/* Once the view has been below its largest size for this long, its size counts as the fleet's. */
#define SHRINK_CONFIRM_US (60 * TS_US_PER_S)

/* Rates are sent in thousandths. */
#define MILLI 1000.0

/* Whether the view holds a majority of the fleet, so that nodes agree on the home. */
static bool has_majority_view(const ts_peers_t *peers)
{
    const ts_gateway_t *gateway = peers->gateway;
    bool is_starting = ts_clock_now_us() - gateway->opened_us < STARTUP_US;
    bool has_shrunk =
        peers->shrunk_us != 0 && ts_clock_now_us() - peers->shrunk_us > SHRINK_CONFIRM_US;
    size_t fleet = has_shrunk ? peers->view->count : peers->members_max;
    if (is_starting)
        fleet = MAX(fleet, gateway->nodes);
    return 2 * peers->view->count > fleet;
}

/* The live member with the highest rendezvous weight in `zone` (NULL: any), or NULL. */
static const ts_view_member_t *find_highest_weight(const ts_peers_t *peers, const char *account,
                                                   const char *zone)
{
    const ts_view_member_t *best = NULL;
    uint64_t best_weight = 0;
    uint64_t id = ts_hash_text(account);
    for (size_t i = 0; i < peers->view->count; i++) {
        const ts_view_member_t *member = &peers->view->members[i];
        uint64_t weight = ts_hash_mix(member->id, id);
        bool is_in_zone = zone == NULL || strcmp(member->zone, zone) == 0;
        if (!is_in_zone || member->state != TS_MEMBER_LIVE ||
            (best != NULL && weight <= best_weight))
            continue;
        best = member;
        best_weight = weight;
    }
    return best;
}

/* Whether this node may be home of any account. */
static bool can_be_home(const ts_peers_t *peers)
{
    return has_majority_view(peers) && ts_contact_has_majority(peers->contact, ts_clock_now_us());
}

static ts_rate_issuer_t resolve_issuer(const ts_view_member_t *member, const char **address)
{
    *address = member->address;
    return member->is_self ? TS_RATE_ISSUER_SELF : TS_RATE_ISSUER_PEER;
}

ts_rate_issuer_t ts_peers_find_rate_home(const ts_peers_t *peers, const char *account,
                                         const char **address)
{
    const ts_view_member_t *home = find_highest_weight(peers, account, NULL);
    bool is_certain = home != NULL && has_majority_view(peers);
    // Until the limiter was notified that this node is eligible again, the flag remains set.
    if (is_certain && home->is_self)
        is_certain = !peers->is_home_ineligible && can_be_home(peers);
    return is_certain ? resolve_issuer(home, address) : TS_RATE_ISSUER_NONE;
}

ts_rate_issuer_t ts_peers_find_rate_deputy(const ts_peers_t *peers, const char *account,
                                           const char **address)
{
    const char *zone = peers->gateway->settings->zone;
    const ts_view_member_t *home = find_highest_weight(peers, account, NULL);
    bool is_in_zone = home != NULL && strcmp(home->zone, zone) == 0 && has_majority_view(peers);
    const ts_view_member_t *deputy = is_in_zone ? home : find_highest_weight(peers, account, zone);
    return deputy == NULL ? TS_RATE_ISSUER_SELF : resolve_issuer(deputy, address);
}

/* Digest of the live members, which determine the homes. */
static uint64_t compute_live_digest(const ts_view_t *view)
{
    uint64_t digest = 0;
    for (size_t i = 0; i < view->count; i++)
        if (view->members[i].state == TS_MEMBER_LIVE)
            digest = ts_hash_mix(digest, view->members[i].id);
    return digest;
}

void ts_peers_update_homes(ts_peers_t *peers)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (peers->view->count >= peers->members_max) {
        peers->members_max = peers->view->count;
        peers->shrunk_us = 0;
    } else if (peers->shrunk_us == 0) {
        peers->shrunk_us = now_us;
    }
    ts_contact_set_view(peers->contact, peers->view);
    size_t live = ts_membership_count(peers->membership, TS_MEMBER_LIVE);
    uint64_t digest = compute_live_digest(peers->view);
    peers->is_home_ineligible = !can_be_home(peers);
    if (digest != peers->live_digest)
        ts_rate_limiter_update_view(peers->gateway->limiter, live < peers->members_live, now_us);
    peers->members_live = live;
    peers->live_digest = digest;
}

void ts_peers_update_home_eligibility(ts_peers_t *peers)
{
    bool is_ineligible = !can_be_home(peers);
    if (is_ineligible == peers->is_home_ineligible)
        return;
    peers->is_home_ineligible = is_ineligible;
    ts_rate_limiter_update_view(peers->gateway->limiter, false, ts_clock_now_us());
}

void ts_peers_probe_silent_zones(ts_peers_t *peers)
{
    const ts_traffic_t *traffic = peers->gateway->traffic;
    ts_time_us_t now_us = ts_clock_now_us();
    const char *address = NULL;
    if (traffic == NULL || ts_tenants_count(traffic->tenants) == 0)
        return; // without tenants there are no accounts
    while ((address = ts_contact_next_probe(peers->contact, now_us)) != NULL)
        ts_peers_send_probe(peers, address);
    ts_peers_update_home_eligibility(peers);
}

static uint32_t to_thousandths(double rate)
{
    return (uint32_t)MIN(rate * MILLI, UINT32_MAX);
}

void ts_peers_send_rate_claim(ts_peers_t *peers, const char *address, const ts_rate_message_t *row)
{
    TsPeer__Rate rate = TS_PEER__RATE__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    rate.account = (char *)row->account;
    rate.ask = row->sequence;
    rate.in_hand = row->in_hand;
    rate.spent_alone = row->spent_alone;
    rate.wanted = row->wanted;
    rate.used_milli = to_thousandths(row->request_rate);
    rate.right_milli = to_thousandths(row->fallback_rate);
    rate.foreign_milli = to_thousandths(row->foreign_rate);
    rate.foreign_from = row->foreign_issuer;
    rate.is_alone = row->is_alone;
    rate.has_moved = row->has_moved;
    rate.is_leaving = row->is_leaving;
    rate.saved_milli = to_thousandths(row->saved);
    frame.rate = &rate;
    ts_count(TS_COUNTER_RATE_ASKS, 1);
    ts_peers_send(peers, address, &frame);
}

void ts_peers_send_rate_grant(ts_peers_t *peers, const char *address, const ts_rate_message_t *row)
{
    TsPeer__Rate rate = TS_PEER__RATE__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    rate.account = (char *)row->account;
    rate.ask = row->sequence;
    rate.is_deal = true;
    rate.tokens = row->grant.tokens;
    rate.right_milli = to_thousandths(row->grant.fallback_rate);
    rate.is_sublet = row->grant.is_sublet;
    rate.is_lost = row->grant.is_home_unreachable;
    rate.has_left = row->grant.has_left;
    rate.foreign_from = row->foreign_issuer;
    rate.valid_ms = (uint32_t)(row->grant.valid_us / TS_US_PER_MS);
    rate.wait_ms = (uint32_t)MIN(row->grant.wait_us / TS_US_PER_MS, UINT32_MAX);
    frame.rate = &rate;
    ts_count(TS_COUNTER_RATE_DEALS, 1);
    ts_peers_send(peers, address, &frame);
}

void ts_peers_handle_rate(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    const TsPeer__Rate *rate = frame->rate;
    ts_rate_limiter_t *limiter = peers->gateway->limiter;
    ts_time_us_t now_us = ts_clock_now_us();
    ts_rate_message_t row = {.account = rate->account,
                             .sequence = rate->ask,
                             .in_hand = rate->in_hand,
                             .spent_alone = rate->spent_alone,
                             .wanted = rate->wanted,
                             .request_rate = rate->used_milli / MILLI,
                             .fallback_rate = rate->right_milli / MILLI,
                             .foreign_rate = rate->foreign_milli / MILLI,
                             .foreign_issuer = rate->foreign_from,
                             .is_alone = rate->is_alone,
                             .has_moved = rate->has_moved,
                             .is_leaving = rate->is_leaving,
                             .saved = rate->saved_milli / MILLI,
                             .grant = {.tokens = rate->tokens,
                                       .fallback_rate = rate->right_milli / MILLI,
                                       .is_sublet = rate->is_sublet,
                                       .is_home_unreachable = rate->is_lost,
                                       .has_left = rate->has_left,
                                       .valid_us = rate->valid_ms * TS_US_PER_MS,
                                       .wait_us = rate->wait_ms * TS_US_PER_MS}};
    if (rate->is_deal)
        ts_rate_limiter_receive_grant(limiter, &row, now_us);
    else if (!ts_rate_limiter_receive_claim(limiter, ts_hash_text(frame->name), frame->address,
                                            &row, now_us))
        ts_count(TS_COUNTER_RATE_ASKS_ASTRAY, 1);
}
