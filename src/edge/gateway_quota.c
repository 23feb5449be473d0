/** What tenants may send over the whole fleet: the limiter of this gateway, and requests at it. */
#include <string.h>

#include "request.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/peers.h"

/* Between two turns of the limiter, in which leases in use are renewed. */
#define TURN_MS 250
/* Tenants are expected anew when the fleet and the configuration have rested for so long; so many
 * at most, as each is a call to its home. */
#define EXPECT_RESTED_US (400 * TS_US_PER_MS)
#define EXPECTED_MAX 1024U

// -- What the limiter is given

/* A tenant of the newest configuration, as a lower limit also binds requests under way. */
static bool find_terms(void *ctx, const char *account, ts_rate_terms_t *terms)
{
    const ts_gateway_t *gateway = ctx;
    const ts_gateway_settings_t *settings = gateway->settings;
    const ts_tenant_t *tenant = NULL;
    if (gateway->traffic != NULL)
        tenant = ts_tenants_find(gateway->traffic->tenants, account);
    if (tenant == NULL || tenant->rate <= 0)
        return false;
    double window_s = (double)settings->quota_window_ms * TS_US_PER_MS / TS_US_PER_S;
    terms->rate = tenant->rate;
    terms->burst = tenant->burst;
    terms->limit = tenant->rate * window_s + tenant->burst;
    terms->tolerance = settings->quota_overrun * terms->limit + settings->quota_slack;
    return true;
}

static ts_rate_dealer_t find_home(void *ctx, const char *account, const char **address)
{
    const ts_gateway_t *gateway = ctx;
    if (gateway->peers == NULL)
        return TS_RATE_DEALER_SELF;
    return ts_peers_find_rate_home(gateway->peers, account, address);
}

static ts_rate_dealer_t find_deputy(void *ctx, const char *account, const char **address)
{
    const ts_gateway_t *gateway = ctx;
    if (gateway->peers == NULL)
        return TS_RATE_DEALER_SELF;
    return ts_peers_find_rate_deputy(gateway->peers, account, address);
}

static unsigned count_nodes(void *ctx)
{
    const ts_gateway_t *gateway = ctx;
    unsigned seen = gateway->peers == NULL ? 1 : ts_peers_count(gateway->peers);
    return MAX(seen, gateway->nodes);
}

static void ask_dealer(void *ctx, const char *address, const ts_rate_row_t *row)
{
    const ts_gateway_t *gateway = ctx;
    ts_peers_send_rate_claim(gateway->peers, address, row);
}

static void answer(void *ctx, const char *address, const ts_rate_row_t *row)
{
    const ts_gateway_t *gateway = ctx;
    ts_peers_send_rate_grant(gateway->peers, address, row);
}

/* Requests that wait for a token of the account look again. */
static void look_again(void *ctx, const char *account)
{
    const ts_gateway_t *gateway = ctx;
    for (guint i = gateway->token_waiters->len; i > 0; i--) {
        ts_request_t *request = g_ptr_array_index(gateway->token_waiters, i - 1);
        if (strcmp(request->identity.tenant->name, account) == 0)
            ts_request_look_again(request);
    }
}

/*
 * Whether the fleet or the configuration has changed since tenants were last expected, and has
 * rested for a moment.
 */
static bool is_expecting_due(ts_gateway_t *gateway, ts_time_us_t now_us)
{
    uint64_t changes = gateway->peers == NULL ? 0 : ts_peers_view_version(gateway->peers);
    uint64_t version = gateway->traffic == NULL ? 0 : gateway->traffic->version;
    if (changes != gateway->expected_changes || version != gateway->expected_version) {
        gateway->expected_changes = changes;
        gateway->expected_version = version;
        gateway->expect_at_us = now_us + EXPECT_RESTED_US;
    }
    if (gateway->expect_at_us == 0 || now_us < gateway->expect_at_us)
        return false;
    gateway->expect_at_us = 0;
    return true;
}

/* Tenants whose deputy this node is may send at any time. */
static void expect_tenants(const ts_gateway_t *gateway, ts_time_us_t now_us)
{
    unsigned count = gateway->traffic == NULL ? 0 : ts_tenants_count(gateway->traffic->tenants);
    for (unsigned i = 0; i < MIN(count, EXPECTED_MAX); i++) {
        const char *name = ts_tenants_at(gateway->traffic->tenants, i)->name;
        ts_rate_limiter_expect(gateway->limiter, name, now_us);
    }
}

static void turn(uv_timer_t *timer)
{
    ts_gateway_t *gateway = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (is_expecting_due(gateway, now_us))
        expect_tenants(gateway, now_us);
    ts_rate_limiter_turn(gateway->limiter, ts_clock_now_us());
    ts_gauge_set(TS_COUNTER_RATE_LEASES, ts_rate_limiter_leases(gateway->limiter));
    ts_gauge_set(TS_COUNTER_RATE_ACCOUNTS, ts_rate_limiter_accounts(gateway->limiter));
}

static void wake(void *ctx)
{
    ts_gateway_t *gateway = ctx;
    uv_timer_start(&gateway->limiter_timer, turn, 0, TURN_MS);
}

static void log_change(void *ctx, const char *account, const ts_rate_terms_t *terms, bool is_over)
{
    ts_log(TS_EVENT_QUOTA_STATE, "tenant=%s state=%s rate=%g burst=%g", account,
           is_over ? "over" : "within", terms->rate, terms->burst);
}

static const ts_rate_limiter_ops_t limiter_ops = {find_terms,  find_home,  find_deputy,
                                                  count_nodes, ask_dealer, answer,
                                                  wake,        look_again, log_change};

void ts_gateway_open_quotas(ts_gateway_t *gateway)
{
    uint64_t node = ts_hash_text(gateway->settings->name);
    gateway->limiter = ts_rate_limiter_create(node, &limiter_ops, gateway, ts_clock_now_us());
    gateway->token_waiters = g_ptr_array_new();
    uv_timer_init(gateway->loop, &gateway->limiter_timer);
    gateway->limiter_timer.data = gateway;
    uv_timer_start(&gateway->limiter_timer, turn, TURN_MS, TURN_MS);
}

// -- Requests

void ts_request_note_quota(const ts_request_t *request)
{
    const ts_tenant_t *tenant = request->identity.tenant;
    if (tenant != NULL)
        ts_rate_limiter_note_request(request->gateway->limiter, tenant->name, ts_clock_now_us());
}

static void set_waiting(ts_request_t *request, bool is_waiting)
{
    GPtrArray *waiters = request->gateway->token_waiters;
    if (is_waiting && !request->waits_for_token)
        g_ptr_array_add(waiters, request);
    if (!is_waiting && request->waits_for_token)
        g_ptr_array_remove_fast(waiters, request);
    request->waits_for_token = is_waiting;
}

ts_rate_verdict_t ts_request_take_quota(ts_request_t *request, ts_time_us_t now_us)
{
    const ts_tenant_t *tenant = request->identity.tenant;
    if (tenant == NULL || request->has_token)
        return TS_RATE_TAKEN;
    ts_rate_verdict_t verdict =
        ts_rate_limiter_take(request->gateway->limiter, tenant->name, now_us);
    request->has_token = verdict == TS_RATE_TAKEN;
    set_waiting(request, verdict == TS_RATE_WAITS || verdict == TS_RATE_UNKNOWN);
    return verdict;
}

void ts_request_end_quota(ts_request_t *request)
{
    set_waiting(request, false);
    if (!request->has_token || ts_request_may_have_run(request))
        return;
    request->has_token = false;
    ts_rate_limiter_return(request->gateway->limiter, request->identity.tenant->name,
                           ts_clock_now_us());
}

uint32_t ts_request_quota_wait_ms(const ts_request_t *request)
{
    const char *account = request->identity.tenant->name;
    ts_time_us_t wait_us =
        ts_rate_limiter_wait_us(request->gateway->limiter, account, ts_clock_now_us());
    return (uint32_t)(wait_us / TS_US_PER_MS);
}
