/** Follows the configuration service, unless the zone's watcher does it for this node. */
#include "tealspar/store_watch.h"

#include <string.h>

#include "tealspar/call_pace.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/peers.h"
#include "tealspar/store_client.h"
#include "tealspar/store_mirror.h"

#define STATUS_OK 200
#define STATUS_GONE 410
#define LIST_TIMEOUT_MS 2500
/*
 * While nothing is known, a silent service is asked again after less: it may have swallowed the
 * call and be back already. Each time that was too short for a slow service, it gets longer.
 */
#define FIRST_TIMEOUT_MS 300
#define FIRST_TIMEOUT_GROWTH 1.5
/*
 * A wait for changes; silence past it and its margin means that the service is not heard. A call
 * that a silent service has swallowed is noticed within their sum, which must lie below the time
 * from the service's return until its bounds hold again (five seconds on the platform).
 */
#define WATCH_MS 2500
#define WATCH_MARGIN_MS 1000
/*
 * A watcher that others rely on probes the service once a second anyway, at a tenth of the price:
 * its wait may be longer, as the probes tell when it was swallowed. One that failed makes the wait
 * doubtful; so many that see a newer revision while it waits show that it is deaf.
 */
#define WATCH_PROBED_MS 8000
#define DEAF_PROBES 2
/* A gateway that has just started listens to its peers for so long before it waits for changes. */
#define SETTLE_US (1000 * TS_US_PER_MS)
/* Between two looks of a node that leaves the service to the zone's watcher. */
#define REST_MS 200
/* Between two signs of life of the service while others rely on this node. */
#define PROBE_MS 1000
#define PROBE_TIMEOUT_MS 900
#define BACKOFF_FIRST_MS 150
#define BACKOFF_MAX_MS 1000
#define BACKOFF_GROWTH 2

struct ts_store_watch {
    ts_gateway_t *gateway;
    ts_store_client_t *client;
    uv_timer_t pause;
    bool is_listing;
    bool is_lost;           /**< the last call failed */
    uint64_t revision;      /**< changes up to here are applied */
    uint64_t list_revision; /**< of the first page of the list */
    char *list_after;       /**< last key of the pages so far; NULL at the beginning */
    GHashTable *listed;     /**< ids of instances on the pages so far */
    unsigned list_applied;  /**< entries on these pages that were news */
    uint64_t epoch;         /**< of the service when it last answered */
    ts_call_pace_t pace;
    uint32_t backoff_ms;
    uint32_t first_timeout_ms; /**< of a list while nothing is known */
    ts_time_us_t called_us;    /**< when the call under way began */
    ts_store_client_t *prober;
    uv_timer_t probe_timer;
    ts_time_us_t probed_us; /**< when the probe under way began */
    bool is_probing;
    bool is_long_wait;    /**< the call under way is one that probes watch over */
    bool is_doubtful;     /**< a probe failed since it began */
    unsigned behind_seen; /**< probes in a row that saw a newer revision meanwhile */
};

static void call_next(uv_timer_t *timer);

static void pause_for(ts_store_watch_t *watch, uint64_t pause_ms)
{
    uv_timer_start(&watch->pause, call_next, pause_ms, 0);
}

static void begin_list(ts_store_watch_t *watch)
{
    watch->is_listing = true;
    g_clear_pointer(&watch->list_after, g_free);
    g_hash_table_remove_all(watch->listed);
    watch->list_applied = 0;
}

/* Tells the other nodes of the zone that there is something new. */
static void announce(const ts_store_watch_t *watch)
{
    if (watch->gateway->peers != NULL) {
        ts_peers_announce(watch->gateway->peers);
    }
}

static void log_list(const ts_store_watch_t *watch)
{
    guint n = g_hash_table_size(watch->listed);
    uint64_t known = ts_store_mirror_revision(watch->gateway->mirror);
    ts_count(TS_COUNTER_STORE_LISTS, 1);
    ts_log(TS_EVENT_PLATFORM_LISTED, "epoch=%lu revision=%lu known=%lu entries=%u passed_over=%u",
           (unsigned long)watch->epoch, (unsigned long)watch->list_revision, (unsigned long)known,
           n, n - MIN(n, watch->list_applied));
}

/* The whole list was read: what it does not name has left. */
static void end_list(ts_store_watch_t *watch)
{
    ts_store_mirror_t *mirror = watch->gateway->mirror;
    log_list(watch);
    ts_store_mirror_keep_only(mirror, watch->listed, watch->list_revision);
    ts_store_mirror_reach(mirror, watch->list_revision, watch->called_us);
    g_hash_table_remove_all(watch->listed);
    watch->is_listing = false;
    announce(watch);
}

/* Takes a page of the list; returns how long to wait before the next call. */
static uint64_t take_list_page(ts_store_watch_t *watch, const ts_store_page_t *page)
{
    if (watch->list_after == NULL) {
        watch->list_revision = page->revision;
    }
    watch->list_applied += ts_store_mirror_apply(watch->gateway->mirror, page->entries);
    for (guint i = 0; i < page->entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(page->entries, i);
        g_hash_table_add(watch->listed, g_strdup(entry->key));
    }
    if (page->has_more && page->entries->len > 0) {
        const ts_store_entry_t *last = g_ptr_array_index(page->entries, page->entries->len - 1);
        g_free(watch->list_after);
        watch->list_after = g_strdup(last->key);
    } else {
        end_list(watch);
    }
    return 0;
}

static uint64_t take_changes(ts_store_watch_t *watch, const ts_store_page_t *page)
{
    (void)ts_store_mirror_apply(watch->gateway->mirror, page->entries);
    ts_store_mirror_reach(watch->gateway->mirror, page->revision, ts_clock_now_us());
    if (page->entries->len == 0) {
        return 0;
    }
    announce(watch);
    return ts_call_pace_take(&watch->pace, ts_clock_now_us()) / TS_US_PER_MS;
}

static void note_heard(ts_store_watch_t *watch)
{
    watch->backoff_ms = BACKOFF_FIRST_MS;
    if (watch->is_lost) {
        watch->is_lost = false;
        ts_log(TS_EVENT_PLATFORM_BACK, "epoch=%lu revision=%lu", (unsigned long)watch->epoch,
               (unsigned long)ts_store_mirror_revision(watch->gateway->mirror));
    }
}

static void note_lost(ts_store_watch_t *watch, const char *reason)
{
    if (!watch->is_lost) {
        watch->is_lost = true;
        ts_log(TS_EVENT_PLATFORM_LOST, "reason=%s epoch=%lu revision=%lu", reason,
               (unsigned long)watch->epoch,
               (unsigned long)ts_store_mirror_revision(watch->gateway->mirror));
    }
}

static void take_failure(ts_store_watch_t *watch, const char *reason)
{
    ts_count(TS_COUNTER_PLATFORM_FAILURES, 1);
    note_lost(watch, reason);
    if (watch->gateway->peers != NULL) {
        ts_peers_ask_around(watch->gateway->peers);
    }
    uint32_t random = ts_gateway_random(watch->gateway);
    pause_for(watch, watch->backoff_ms / 2 + random % watch->backoff_ms);
    /* A node that knows nothing yet can serve nobody: it keeps asking. */
    bool is_primed = ts_store_mirror_is_primed(watch->gateway->mirror);
    uint32_t most_ms = is_primed ? BACKOFF_MAX_MS : BACKOFF_FIRST_MS;
    watch->backoff_ms = MIN(watch->backoff_ms * BACKOFF_GROWTH, most_ms);
}

static uint32_t list_timeout_ms(ts_store_watch_t *watch)
{
    if (ts_store_mirror_is_primed(watch->gateway->mirror))
        return LIST_TIMEOUT_MS;
    uint32_t timeout_ms = watch->first_timeout_ms;
    watch->first_timeout_ms = MIN((uint32_t)(timeout_ms * FIRST_TIMEOUT_GROWTH), LIST_TIMEOUT_MS);
    return timeout_ms;
}

static void call_done(void *context, ts_error_t error, const ts_store_answer_t *answer)
{
    ts_store_watch_t *watch = context;
    watch->is_long_wait = false;
    if (error != TS_OK) {
        take_failure(watch, ts_error_name(error));
        return;
    }
    watch->epoch = answer->epoch;
    ts_gauge_set(TS_COUNTER_STORE_EPOCH, (int64_t)answer->epoch);
    if (answer->status == STATUS_GONE) {
        ts_count(TS_COUNTER_STORE_HISTORY_GONE, 1);
        note_heard(watch);
        begin_list(watch);
        pause_for(watch, 0);
        return;
    }
    if (answer->status != STATUS_OK) {
        char reason[32];
        g_snprintf(reason, sizeof(reason), "status_%u", answer->status);
        take_failure(watch, reason);
        return;
    }
    ts_store_page_t *page = ts_store_page_create();
    error = watch->gateway->dialect->read_page(answer->body, answer->length, page);
    if (error != TS_OK) {
        take_failure(watch, ts_error_name(error));
    } else {
        note_heard(watch);
        pause_for(watch,
                  watch->is_listing ? take_list_page(watch, page) : take_changes(watch, page));
    }
    ts_store_page_free(page);
}

/* Whether this node leaves the service to others at present. */
static bool may_rest(const ts_store_watch_t *watch)
{
    const ts_gateway_t *gateway = watch->gateway;
    return gateway->peers != NULL && ts_store_mirror_is_primed(gateway->mirror) &&
           !ts_peers_should_watch(gateway->peers, ts_clock_now_us());
}

static bool is_relied_on(const ts_store_watch_t *watch)
{
    const ts_gateway_t *gateway = watch->gateway;
    return gateway->peers != NULL && ts_peers_is_relied_on(gateway->peers);
}

/* Whether a peer may still tell that it follows the service for this node. */
static bool may_settle(const ts_store_watch_t *watch)
{
    const ts_gateway_t *gateway = watch->gateway;
    return gateway->peers != NULL && ts_store_mirror_is_primed(gateway->mirror) &&
           ts_clock_now_us() - gateway->opened_us < SETTLE_US;
}

static void begin_wait(ts_store_watch_t *watch)
{
    uint32_t wait_ms = is_relied_on(watch) ? WATCH_PROBED_MS : WATCH_MS;
    uint64_t revision = ts_store_mirror_revision(watch->gateway->mirror);
    char *target = watch->gateway->dialect->watch_target(revision, wait_ms);
    watch->is_long_wait = wait_ms > WATCH_MS;
    watch->is_doubtful = false;
    watch->behind_seen = 0;
    ts_store_client_get(watch->client, target, wait_ms + WATCH_MARGIN_MS);
    g_free(target);
}

static void call_next(uv_timer_t *timer)
{
    ts_store_watch_t *watch = timer->data;
    if (may_rest(watch)) {
        watch->is_listing = false; /* a peer has given what the list would */
        pause_for(watch, REST_MS);
        return;
    }
    if (!watch->is_listing && may_settle(watch)) {
        pause_for(watch, REST_MS);
        return;
    }
    watch->called_us = ts_clock_now_us();
    if (!watch->is_listing) {
        begin_wait(watch);
        return;
    }
    char *target = watch->gateway->dialect->list_target(watch->list_after);
    ts_store_client_get(watch->client, target, list_timeout_ms(watch));
    g_free(target);
}

/* -- Probing ----------------------------------------------------------------------------------- */

/* The service is heard, but the wait under way may not be: another one takes its place. */
static void renew_wait(ts_store_watch_t *watch)
{
    ts_store_client_abandon(watch->client);
    watch->is_long_wait = false;
    pause_for(watch, 0);
}

/* What a probe that was answered says of the wait under way. */
static void judge_wait(ts_store_watch_t *watch, bool is_behind)
{
    bool is_concerned = watch->is_long_wait && watch->called_us < watch->probed_us;
    if (!is_concerned)
        return;
    watch->behind_seen = is_behind ? watch->behind_seen + 1 : 0;
    if (watch->is_doubtful || watch->behind_seen >= DEAF_PROBES)
        renew_wait(watch);
}

static void probe_done(void *context, ts_error_t error, const ts_store_answer_t *answer)
{
    ts_store_watch_t *watch = context;
    ts_store_mirror_t *mirror = watch->gateway->mirror;
    watch->is_probing = false;
    if (error != TS_OK || answer->status != STATUS_OK) {
        watch->is_doubtful = true;
        return;
    }
    ts_store_page_t *page = ts_store_page_create();
    const ts_dialect_t *dialect = watch->gateway->dialect;
    bool is_read = dialect->read_page(answer->body, answer->length, page) == TS_OK;
    bool is_current = is_read && page->revision <= ts_store_mirror_revision(mirror);
    if (is_current && !watch->is_lost) {
        ts_store_mirror_confirm(mirror, watch->probed_us);
    }
    ts_store_page_free(page);
    if (is_read)
        judge_wait(watch, !is_current);
}

/* The zone's watcher makes sure, between changes, that the service is still heard. */
static void probe(uv_timer_t *timer)
{
    ts_store_watch_t *watch = timer->data;
    const ts_gateway_t *gateway = watch->gateway;
    bool is_needed = watch->is_long_wait || is_relied_on(watch);
    if (watch->is_probing || !is_needed || !ts_store_mirror_is_primed(gateway->mirror)) {
        return;
    }
    watch->is_probing = true;
    watch->probed_us = ts_clock_now_us();
    char *target = gateway->dialect->probe_target();
    ts_store_client_get(watch->prober, target, PROBE_TIMEOUT_MS);
    g_free(target);
}

ts_store_watch_t *ts_store_watch_create(ts_gateway_t *gateway)
{
    ts_store_watch_t *watch = g_new0(ts_store_watch_t, 1);
    const char *address = gateway->settings->store;
    watch->gateway = gateway;
    watch->client =
        ts_store_client_create(gateway->loop, gateway->dialect, address, call_done, watch);
    watch->prober =
        ts_store_client_create(gateway->loop, gateway->dialect, address, probe_done, watch);
    watch->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    watch->backoff_ms = BACKOFF_FIRST_MS;
    watch->first_timeout_ms = FIRST_TIMEOUT_MS;
    uv_timer_init(gateway->loop, &watch->pause);
    uv_timer_init(gateway->loop, &watch->probe_timer);
    watch->pause.data = watch;
    watch->probe_timer.data = watch;
    begin_list(watch);
    return watch;
}

void ts_store_watch_start(ts_store_watch_t *watch)
{
    pause_for(watch, 0);
    uv_timer_start(&watch->probe_timer, probe, PROBE_MS, PROBE_MS);
}

bool ts_store_watch_is_lost(const ts_store_watch_t *watch)
{
    return watch->is_lost;
}

void ts_store_watch_reload(ts_store_watch_t *watch)
{
    ts_store_client_set_address(watch->client, watch->gateway->settings->store);
    ts_store_client_set_address(watch->prober, watch->gateway->settings->store);
}
