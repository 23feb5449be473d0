/** Tenant quotas: the gateway's side of the fleet-wide rate limiter, and the tokens of requests. */
#include <string.h>

#include "request.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/peers.h"

/* Interval of the limiter's periodic work, which renews the leases in use. */
#define LIMITER_INTERVAL_MS 250
/* Tokens are prefetched once the fleet and the configuration have not changed for this long. */
#define PREFETCH_DELAY_US (400 * TS_US_PER_MS)
/* Maximum number of tenants of the configuration considered for a prefetch, as each prefetch costs
 * a message to the tenant's home node. */
#define PREFETCH_MAX 1024U

// -- Callbacks of the limiter

/* Gets the limits of a tenant from the newest configuration, as a lowered limit also applies to
 * requests in progress. Returns whether the tenant has a rate limit. */
static bool get_params(void *ctx, const char *account, ts_rate_params_t *params)
{
    const ts_gateway_t *gateway = ctx;
    const ts_gateway_settings_t *settings = gateway->settings;
    const ts_tenant_t *tenant = NULL;
    if (gateway->traffic != NULL)
        tenant = ts_tenants_find(gateway->traffic->tenants, account);
    if (tenant == NULL || tenant->rate <= 0)
        return false;
    double window_s = (double)settings->quota_window_ms * TS_US_PER_MS / TS_US_PER_S;
    params->rate = tenant->rate;
    params->burst = tenant->burst;
    params->limit = tenant->rate * window_s + tenant->burst;
    params->tolerance = settings->quota_overrun * params->limit + settings->quota_slack;
    return true;
}

static ts_rate_issuer_t find_home(void *ctx, const char *account, const char **address)
{
    const ts_gateway_t *gateway = ctx;
    if (gateway->peers == NULL)
        return TS_RATE_ISSUER_SELF;
    return ts_peers_find_rate_home(gateway->peers, account, address);
}

static ts_rate_issuer_t find_deputy(void *ctx, const char *account, const char **address)
{
    const ts_gateway_t *gateway = ctx;
    if (gateway->peers == NULL)
        return TS_RATE_ISSUER_SELF;
    return ts_peers_find_rate_deputy(gateway->peers, account, address);
}

static unsigned count_nodes(void *ctx)
{
    const ts_gateway_t *gateway = ctx;
    unsigned seen = gateway->peers == NULL ? 1 : ts_peers_count(gateway->peers);
    return MAX(seen, gateway->nodes);
}

static void send_claim(void *ctx, const char *address, const ts_rate_message_t *message)
{
    const ts_gateway_t *gateway = ctx;
    ts_peers_send_rate_claim(gateway->peers, address, message);
}

static void send_grant(void *ctx, const char *address, const ts_rate_message_t *message)
{
    const ts_gateway_t *gateway = ctx;
    ts_peers_send_rate_grant(gateway->peers, address, message);
}

/* Checks all requests that wait for a token of the account. */
static void recheck_waiters(void *ctx, const char *account)
{
    const ts_gateway_t *gateway = ctx;
    for (guint i = gateway->token_waiters->len; i > 0; i--) {
        ts_request_t *request = g_ptr_array_index(gateway->token_waiters, i - 1);
        if (strcmp(request->identity.tenant->name, account) == 0)
            ts_request_recheck(request);
    }
}

/*
 * Schedules a prefetch after a change of the fleet or the configuration. Returns whether one is
 * due, that is, both have remained unchanged for PREFETCH_DELAY_US.
 */
static bool update_prefetch_schedule(ts_gateway_t *gateway, ts_time_us_t now_us)
{
    uint64_t changes = gateway->peers == NULL ? 0 : ts_peers_view_version(gateway->peers);
    uint64_t version = gateway->traffic == NULL ? 0 : gateway->traffic->version;
    if (changes != gateway->prefetch_fleet_changes || version != gateway->prefetch_config_version) {
        gateway->prefetch_fleet_changes = changes;
        gateway->prefetch_config_version = version;
        gateway->prefetch_at_us = now_us + PREFETCH_DELAY_US;
    }
    if (gateway->prefetch_at_us == 0 || now_us < gateway->prefetch_at_us)
        return false;
    gateway->prefetch_at_us = 0;
    return true;
}

/* Prefetches tokens for the tenants of which this node is the deputy, among the first PREFETCH_MAX,
 * as a tenant may send requests at any time. */
static void prefetch_tokens(const ts_gateway_t *gateway, ts_time_us_t now_us)
{
    unsigned count = gateway->traffic == NULL ? 0 : ts_tenants_count(gateway->traffic->tenants);
    for (unsigned i = 0; i < MIN(count, PREFETCH_MAX); i++) {
        const char *name = ts_tenants_get(gateway->traffic->tenants, i)->name;
        ts_rate_limiter_prefetch(gateway->limiter, name, now_us);
    }
}

static void on_limiter_timer(uv_timer_t *timer)
{
    ts_gateway_t *gateway = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (update_prefetch_schedule(gateway, now_us))
        prefetch_tokens(gateway, now_us);
    ts_rate_limiter_tick(gateway->limiter, ts_clock_now_us());
    ts_gauge_set(TS_COUNTER_RATE_LEASES, ts_rate_limiter_count_leases(gateway->limiter));
    ts_gauge_set(TS_COUNTER_RATE_ACCOUNTS, ts_rate_limiter_count_accounts(gateway->limiter));
}

static void wake_limiter(void *ctx)
{
    ts_gateway_t *gateway = ctx;
    uv_timer_start(&gateway->limiter_timer, on_limiter_timer, 0, LIMITER_INTERVAL_MS);
}

static void log_change(void *ctx, const char *account, const ts_rate_params_t *params, bool is_over)
{
    ts_log(TS_EVENT_QUOTA_STATE, "tenant=%s state=%s rate=%g burst=%g", account,
           is_over ? "over" : "within", params->rate, params->burst);
}

static const ts_rate_limiter_ops_t limiter_ops = {get_params,   find_home,       find_deputy,
                                                  count_nodes,  send_claim,      send_grant,
                                                  wake_limiter, recheck_waiters, log_change};

void ts_gateway_open_quotas(ts_gateway_t *gateway)
{
    uint64_t node = ts_hash_text(gateway->settings->name);
    gateway->limiter = ts_rate_limiter_create(node, &limiter_ops, gateway, ts_clock_now_us());
    gateway->token_waiters = g_ptr_array_new();
    uv_timer_init(gateway->loop, &gateway->limiter_timer);
    gateway->limiter_timer.data = gateway;
    uv_timer_start(&gateway->limiter_timer, on_limiter_timer, LIMITER_INTERVAL_MS,
                   LIMITER_INTERVAL_MS);
}

// -- Requests

void ts_request_count_quota_demand(const ts_request_t *request)
{
    const ts_tenant_t *tenant = request->identity.tenant;
    if (tenant != NULL)
        ts_rate_limiter_count_request(request->gateway->limiter, tenant->name, ts_clock_now_us());
}

static void set_waiting(ts_request_t *request, bool is_waiting)
{
    GPtrArray *waiters = request->gateway->token_waiters;
    if (is_waiting && !request->is_waiting_for_token)
        g_ptr_array_add(waiters, request);
    if (!is_waiting && request->is_waiting_for_token)
        g_ptr_array_remove_fast(waiters, request);
    request->is_waiting_for_token = is_waiting;
}

ts_rate_verdict_t ts_request_acquire_quota(ts_request_t *request, ts_time_us_t now_us)
{
    const ts_tenant_t *tenant = request->identity.tenant;
    if (tenant == NULL || request->has_token)
        return TS_RATE_TAKEN;
    ts_rate_verdict_t verdict =
        ts_rate_limiter_take(request->gateway->limiter, tenant->name, now_us);
    request->has_token = verdict == TS_RATE_TAKEN;
    set_waiting(request, verdict == TS_RATE_PENDING || verdict == TS_RATE_UNAVAILABLE);
    return verdict;
}

void ts_request_release_quota(ts_request_t *request)
{
    set_waiting(request, false);
    if (!request->has_token || ts_request_may_have_run(request))
        return;
    request->has_token = false;
    ts_rate_limiter_refund(request->gateway->limiter, request->identity.tenant->name,
                           ts_clock_now_us());
}

uint32_t ts_request_quota_wait_ms(const ts_request_t *request)
{
    const char *account = request->identity.tenant->name;
    ts_time_us_t wait_us =
        ts_rate_limiter_retry_after_us(request->gateway->limiter, account, ts_clock_now_us());
    return (uint32_t)(wait_us / TS_US_PER_MS);
}
