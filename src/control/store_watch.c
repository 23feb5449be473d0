/** Follows the configuration service, unless the zone's watcher does so for this node. */
#include "tealspar/store_watch.h"

#include <string.h>

#include "tealspar/call_pace.h"
#include "tealspar/counters.h"
#include "tealspar/drain_budget.h"
#include "tealspar/log.h"
#include "tealspar/peers.h"
#include "tealspar/store_client.h"
#include "tealspar/store_mirror.h"

#define STATUS_OK 200
#define STATUS_GONE 410
#define LIST_TIMEOUT_MS 2500
/*
 * Until the first list is applied, list calls have a shorter timeout: a service that was down may
 * have lost the call and be available again. The timeout grows with each call, so that a slow
 * service gets enough time.
 */
#define INITIAL_LIST_TIMEOUT_MS 300
#define INITIAL_LIST_TIMEOUT_GROWTH 1.5
/* Maximum of the time for a response (answer_ms), which grows with each call that times out. */
#define ANSWER_MAX_MS 2500
#define ANSWER_GROWTH 1.5
/* Shortest watch call: the service responds at once, with the changes if there are any. */
#define WATCH_MIN_MS 1
/* A gateway that has just started listens to its peers this long before it watches for changes. */
#define PEER_WAIT_US (1000 * TS_US_PER_MS)
/* Maximum interval at which a node that makes no watch calls (is_standby, is_settling) checks
 * again. */
#define STANDBY_POLL_MS 200
/* Mean pause before listing again if a peer may send the entries meanwhile, as after a restore. */
#define RELIST_PEER_PAUSE_MS 300
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1000
#define BACKOFF_GROWTH 2

struct ts_store_watch {
    ts_gateway_t *gateway;
    ts_store_client_t *client;
    uv_timer_t call_timer;
    bool is_listing;
    bool is_failing;                    /**< the last call failed */
    ts_store_position_t watch_position; /**< the pending watch call requests changes after this */
    ts_store_position_t list_start_position; /**< position of the mirror when the list was begun */
    ts_store_position_t list_position;       /**< position of the list's first page */
    ts_time_us_t list_started_us;            /**< start of the call for that page */
    GPtrArray *list;                         /**< of ts_store_entry_t: pages received so far */
    ts_call_pace_t pace;
    uint32_t backoff_ms;
    uint32_t relist_pause_ms;    /**< pause before the next list; reset by an answered watch call */
    uint32_t initial_timeout_ms; /**< timeout of a list call until the first list is applied */
    ts_time_us_t call_started_us; /**< start of the pending call */
    uint32_t watch_wait_ms; /**< the service may delay its response to the watch call by this */
    uint32_t answer_ms;     /**< time for the response beyond that; 0: of the drain budget */
};

static void start_next_call(uv_timer_t *timer);

static void schedule_call(ts_store_watch_t *watch, uint64_t pause_ms)
{
    uv_timer_start(&watch->call_timer, start_next_call, pause_ms, 0);
}

static void reset_list(ts_store_watch_t *watch)
{
    watch->is_listing = true;
    g_ptr_array_set_size(watch->list, 0);
}

/* Returns a random pause with that mean, so that nodes do not call at the same time. */
static uint32_t randomize_pause(const ts_store_watch_t *watch, uint32_t pause_ms)
{
    return pause_ms / 2 + ts_gateway_random(watch->gateway) % MAX(pause_ms, 1);
}

/*
 * Starts a new list; returns the pause before its first call in milliseconds. The pause is zero the
 * first time (unless a peer may send the entries instead) and grows until a watch call is answered.
 */
static uint64_t restart_list(ts_store_watch_t *watch)
{
    const ts_peers_t *peers = watch->gateway->peers;
    uint32_t pause_ms = watch->relist_pause_ms;
    if (pause_ms == 0 && peers != NULL && ts_peers_is_follower(peers))
        pause_ms = RELIST_PEER_PAUSE_MS;
    watch->relist_pause_ms =
        CLAMP(watch->relist_pause_ms * BACKOFF_GROWTH, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
    reset_list(watch);
    return pause_ms == 0 ? 0 : randomize_pause(watch, pause_ms);
}

/* Announces new entries to the other nodes of the zone. */
static void announce_entries(const ts_store_watch_t *watch)
{
    if (watch->gateway->peers != NULL) {
        ts_peers_announce(watch->gateway->peers);
    }
}

static void log_list(const ts_store_watch_t *watch, unsigned applied)
{
    guint n = watch->list->len;
    ts_count(TS_COUNTER_STORE_LISTS, 1);
    ts_log(TS_EVENT_PLATFORM_LISTED, "epoch=%lu revision=%lu known=%lu entries=%u passed_over=%u",
           (unsigned long)ts_store_epoch_reported(watch->list_position.epoch),
           (unsigned long)watch->list_position.revision,
           (unsigned long)watch->list_start_position.revision, n, n - MIN(n, applied));
}

static void set_list_epoch(ts_store_watch_t *watch, uint64_t epoch)
{
    watch->list_position.epoch = epoch;
    for (guint i = 0; i < watch->list->len; i++) {
        ts_store_entry_t *entry = g_ptr_array_index(watch->list, i);
        entry->changed.epoch = epoch;
    }
}

/*
 * Whether the list shows a restore that the service did not report. Without one, a response is
 * never older than the position that was known before the call.
 */
static bool has_revision_regressed(const ts_store_watch_t *watch)
{
    return watch->list_position.epoch == watch->list_start_position.epoch &&
           watch->list_position.revision < watch->list_start_position.revision;
}

/* Applies the complete list; returns the pause before the next call in milliseconds. */
static uint64_t finish_list(ts_store_watch_t *watch)
{
    ts_store_mirror_t *mirror = watch->gateway->mirror;
    if (has_revision_regressed(watch))
        set_list_epoch(watch, watch->list_start_position.epoch + 1);
    if (watch->list_position.epoch < ts_store_mirror_position(mirror).epoch)
        return restart_list(watch); // a peer has reported a later epoch meanwhile
    const ts_store_list_t list = {.entries = watch->list,
                                  .position = watch->list_position,
                                  .confirmed_us = watch->list_started_us,
                                  .source = "service"};
    log_list(watch, ts_store_mirror_apply_list(mirror, &list));
    g_ptr_array_set_size(watch->list, 0);
    watch->is_listing = false;
    announce_entries(watch);
    return 0;
}

/* Whether a page is of another epoch than the first page of the list, or older than it. */
static bool is_page_inconsistent(const ts_store_watch_t *watch, const ts_store_page_t *page)
{
    return watch->list->len > 0 && (page->position.epoch != watch->list_position.epoch ||
                                    page->position.revision < watch->list_position.revision);
}

/* Adds a page to the list; returns the pause before the next call in milliseconds. */
static uint64_t add_list_page(ts_store_watch_t *watch, ts_store_page_t *page)
{
    if (is_page_inconsistent(watch, page))
        return restart_list(watch);
    if (watch->list->len == 0)
        watch->list_position = page->position;
    bool has_entries = page->entries->len > 0;
    g_ptr_array_set_free_func(page->entries, NULL); // the list owns the entries now
    g_ptr_array_extend(watch->list, page->entries, NULL, NULL);
    return page->has_more && has_entries ? 0 : finish_list(watch);
}

/*
 * Latest time at which the service can have sent the response to the watch call. This process may
 * have received it later, e.g. after a suspension.
 */
static ts_time_us_t response_time_us(const ts_store_watch_t *watch)
{
    ts_time_us_t due_us = watch->call_started_us + watch->watch_wait_ms * TS_US_PER_MS;
    return MIN(due_us, ts_clock_now_us());
}

static uint64_t apply_changes(ts_store_watch_t *watch, const ts_store_page_t *page)
{
    ts_store_mirror_t *mirror = watch->gateway->mirror;
    watch->relist_pause_ms = 0;
    (void)ts_store_mirror_apply(mirror, page->entries, page->position);
    ts_store_mirror_advance(mirror, page->position, response_time_us(watch));
    announce_entries(watch);
    if (page->entries->len == 0)
        return 0;
    return ts_call_pace_take(&watch->pace, ts_clock_now_us()) / TS_US_PER_MS;
}

/* Handles the response to a watch call; returns the pause before the next call in milliseconds. */
static uint64_t handle_watch_response(ts_store_watch_t *watch, const ts_store_page_t *page)
{
    uint64_t epoch = ts_store_mirror_position(watch->gateway->mirror).epoch;
    if (page->position.epoch > epoch)
        return restart_list(watch);
    if (watch->watch_position.epoch != epoch)
        return 0; // a peer has reported a new epoch since the call was made
    if (page->position.revision < watch->watch_position.revision)
        return restart_list(watch);
    return apply_changes(watch, page);
}

static void record_success(ts_store_watch_t *watch)
{
    watch->backoff_ms = BACKOFF_MIN_MS;
    if (watch->is_failing) {
        watch->is_failing = false;
        ts_store_position_t known = ts_store_mirror_position(watch->gateway->mirror);
        ts_log(TS_EVENT_PLATFORM_BACK, "epoch=%lu revision=%lu",
               (unsigned long)ts_store_epoch_reported(known.epoch), (unsigned long)known.revision);
    }
}

static void record_failure(ts_store_watch_t *watch, const char *reason)
{
    if (!watch->is_failing) {
        watch->is_failing = true;
        ts_store_position_t known = ts_store_mirror_position(watch->gateway->mirror);
        ts_log(TS_EVENT_PLATFORM_LOST, "reason=%s epoch=%lu revision=%lu", reason,
               (unsigned long)ts_store_epoch_reported(known.epoch), (unsigned long)known.revision);
    }
}

static void handle_failure(ts_store_watch_t *watch, const char *reason)
{
    ts_count(TS_COUNTER_PLATFORM_FAILURES, 1);
    record_failure(watch, reason);
    if (watch->gateway->peers != NULL) {
        ts_peers_pull_from_random_peer(watch->gateway->peers);
    }
    schedule_call(watch, randomize_pause(watch, watch->backoff_ms));
    /* A node without any list cannot serve requests yet, so it retries without backing off. */
    bool is_loaded = ts_store_mirror_is_loaded(watch->gateway->mirror);
    uint32_t max_ms = is_loaded ? BACKOFF_MAX_MS : BACKOFF_MIN_MS;
    watch->backoff_ms = MIN(watch->backoff_ms * BACKOFF_GROWTH, max_ms);
}

static uint32_t list_timeout_ms(ts_store_watch_t *watch)
{
    if (ts_store_mirror_is_loaded(watch->gateway->mirror))
        return LIST_TIMEOUT_MS;
    uint32_t timeout_ms = watch->initial_timeout_ms;
    watch->initial_timeout_ms =
        MIN((uint32_t)(timeout_ms * INITIAL_LIST_TIMEOUT_GROWTH), LIST_TIMEOUT_MS);
    return timeout_ms;
}

/* Converts the epoch number reported in a response to an internal epoch. */
static uint64_t response_epoch(const ts_store_watch_t *watch, const ts_store_response_t *response)
{
    uint64_t epoch = ts_store_mirror_position(watch->gateway->mirror).epoch;
    bool is_same_epoch = response->epoch == ts_store_epoch_reported(epoch);
    return is_same_epoch ? epoch : ts_store_epoch_from_reported(response->epoch);
}

/* Returns why a response must be rejected, or NULL. */
static const char *find_fault(const ts_store_watch_t *watch, const ts_store_response_t *response)
{
    uint64_t epoch = ts_store_mirror_position(watch->gateway->mirror).epoch;
    if (response->status != STATUS_OK && response->status != STATUS_GONE)
        return "status";
    if (response->epoch >= ts_store_epoch_reported(epoch))
        return NULL;
    return response->epoch == 0 ? "no_epoch" : "earlier_epoch";
}

static void reject_response(ts_store_watch_t *watch, const ts_store_response_t *response,
                            const char *fault)
{
    char reason[32];
    g_snprintf(reason, sizeof(reason), "%s_%u", fault, response->status);
    // A connection that still reaches the service as it was before its restore must not be reused.
    if (response->status == STATUS_OK || response->status == STATUS_GONE)
        ts_store_client_reconnect(watch->client);
    handle_failure(watch, reason);
}

/* Parses the response to a list or watch call; on failure schedules a retry and returns NULL. */
static ts_store_page_t *read_page(ts_store_watch_t *watch, const ts_store_response_t *response)
{
    ts_store_page_t *page = ts_store_page_create();
    ts_error_t error = watch->gateway->dialect->read_page(response->body, response->length, page);
    if (error != TS_OK) {
        handle_failure(watch, ts_error_name(error));
        ts_store_page_free(page);
        return NULL;
    }
    ts_store_page_set_epoch(page, response_epoch(watch, response));
    return page;
}

static ts_drain_budget_t drain_budget(const ts_store_watch_t *watch)
{
    return ts_drain_budget(watch->gateway->settings->drain_ms);
}

static uint32_t answer_ms(const ts_store_watch_t *watch)
{
    return MAX(watch->answer_ms, drain_budget(watch).answer_ms);
}

/* Gives the next call more time if this one timed out, as the service may only be slow. */
static void adapt_answer_time(ts_store_watch_t *watch, ts_error_t error)
{
    ts_time_us_t due_us = watch->call_started_us + watch->watch_wait_ms * TS_US_PER_MS;
    ts_time_us_t late_us = ts_clock_now_us() - MIN(due_us, ts_clock_now_us());
    if (error == TS_E_DEADLINE)
        watch->answer_ms = MIN((uint32_t)(answer_ms(watch) * ANSWER_GROWTH), ANSWER_MAX_MS);
    else if (error == TS_OK && late_us < drain_budget(watch).answer_ms * TS_US_PER_MS / 2)
        watch->answer_ms = 0;
}

static void on_call_done(void *context, ts_error_t error, const ts_store_response_t *response)
{
    ts_store_watch_t *watch = context;
    if (!watch->is_listing)
        adapt_answer_time(watch, error);
    if (error != TS_OK) {
        handle_failure(watch, ts_error_name(error));
        return;
    }
    const char *fault = find_fault(watch, response);
    if (fault != NULL) {
        reject_response(watch, response, fault);
        return;
    }
    if (response->status == STATUS_GONE) {
        ts_count(TS_COUNTER_STORE_HISTORY_GONE, 1);
        record_success(watch);
        schedule_call(watch, restart_list(watch));
        return;
    }
    ts_store_page_t *page = read_page(watch, response);
    if (page == NULL)
        return;
    record_success(watch);
    schedule_call(watch, watch->is_listing ? add_list_page(watch, page)
                                           : handle_watch_response(watch, page));
    ts_store_page_free(page);
}

/* Whether a peer currently watches the service for this node. */
static bool is_standby(const ts_store_watch_t *watch)
{
    const ts_gateway_t *gateway = watch->gateway;
    return gateway->peers != NULL && ts_store_mirror_is_loaded(gateway->mirror) &&
           !ts_peers_should_watch(gateway->peers, ts_clock_now_us());
}

/* Whether this node has just started and a peer may still announce that it watches the service. */
static bool is_settling(const ts_store_watch_t *watch)
{
    const ts_gateway_t *gateway = watch->gateway;
    return gateway->peers != NULL && ts_store_mirror_is_loaded(gateway->mirror) &&
           ts_clock_now_us() - gateway->opened_us < PEER_WAIT_US;
}

/* The next confirmation is due `watch_ms` after the last one, whatever has delayed this call. */
static uint32_t watch_wait_ms(const ts_store_watch_t *watch)
{
    ts_time_us_t due_us = ts_store_mirror_confirmed_us(watch->gateway->mirror) +
                          drain_budget(watch).watch_ms * TS_US_PER_MS;
    ts_time_us_t left_us = due_us - MIN(due_us, watch->call_started_us);
    return MAX((uint32_t)(left_us / TS_US_PER_MS), WATCH_MIN_MS);
}

static void start_watch(ts_store_watch_t *watch)
{
    watch->watch_wait_ms = watch_wait_ms(watch);
    watch->watch_position = ts_store_mirror_position(watch->gateway->mirror);
    char *target =
        watch->gateway->dialect->watch_target(watch->watch_position.revision, watch->watch_wait_ms);
    ts_store_client_get(watch->client, target, watch->watch_wait_ms + answer_ms(watch));
    g_free(target);
}

/* Requests the next page of the list. */
static void request_list(ts_store_watch_t *watch)
{
    const ts_store_entry_t *last = NULL;
    if (watch->list->len > 0) {
        last = g_ptr_array_index(watch->list, watch->list->len - 1);
    } else {
        watch->list_start_position = ts_store_mirror_position(watch->gateway->mirror);
        watch->list_started_us = watch->call_started_us;
    }
    char *target = watch->gateway->dialect->list_target(last == NULL ? NULL : last->key);
    ts_store_client_get(watch->client, target, list_timeout_ms(watch));
    g_free(target);
}

/* Whether a peer has sent a later state than that of the list since the list was begun. */
static bool is_list_superseded(const ts_store_watch_t *watch)
{
    const ts_store_mirror_t *mirror = watch->gateway->mirror;
    ts_store_position_t position = ts_store_mirror_position(mirror);
    return watch->list->len > 0 && ts_store_mirror_is_loaded(mirror) &&
           ts_store_position_compare(position, watch->list_position) > 0 &&
           ts_store_position_compare(position, watch->list_start_position) > 0;
}

static void drop_list(ts_store_watch_t *watch)
{
    watch->is_listing = false;
    g_ptr_array_set_size(watch->list, 0);
}

/* Time until this node has to call the service itself, unless a peer confirms the position. */
static uint64_t standby_pause_ms(const ts_store_watch_t *watch)
{
    ts_time_us_t age_us = ts_clock_now_us() - ts_store_mirror_confirmed_us(watch->gateway->mirror);
    ts_time_us_t age_max_us = drain_budget(watch).standby_ms * TS_US_PER_MS;
    ts_time_us_t left_us = age_max_us - MIN(age_us, age_max_us);
    return MIN(left_us / TS_US_PER_MS + 1, STANDBY_POLL_MS);
}

static void start_next_call(uv_timer_t *timer)
{
    ts_store_watch_t *watch = timer->data;
    if (is_list_superseded(watch))
        drop_list(watch);
    if (is_standby(watch)) {
        drop_list(watch); /* the entries come from a peer instead */
        schedule_call(watch, standby_pause_ms(watch));
        return;
    }
    if (!watch->is_listing && is_settling(watch)) {
        schedule_call(watch, STANDBY_POLL_MS);
        return;
    }
    watch->call_started_us = ts_clock_now_us();
    if (!watch->is_listing) {
        start_watch(watch);
        return;
    }
    request_list(watch);
}

ts_store_watch_t *ts_store_watch_create(ts_gateway_t *gateway)
{
    ts_store_watch_t *watch = g_new0(ts_store_watch_t, 1);
    const char *address = gateway->settings->store;
    watch->gateway = gateway;
    watch->client =
        ts_store_client_create(gateway->loop, gateway->dialect, address, on_call_done, watch);
    watch->list = g_ptr_array_new_with_free_func(ts_store_entry_free);
    watch->backoff_ms = BACKOFF_MIN_MS;
    watch->initial_timeout_ms = INITIAL_LIST_TIMEOUT_MS;
    uv_timer_init(gateway->loop, &watch->call_timer);
    watch->call_timer.data = watch;
    reset_list(watch);
    return watch;
}

void ts_store_watch_start(ts_store_watch_t *watch)
{
    schedule_call(watch, 0);
}

ts_time_us_t ts_store_watch_earliest_us(const ts_store_watch_t *watch, ts_time_us_t now_us)
{
    const uv_timer_t *timer = &watch->call_timer;
    bool is_pausing = uv_is_active((const uv_handle_t *)timer) != 0;
    return is_pausing ? now_us + uv_timer_get_due_in(timer) * TS_US_PER_MS : now_us;
}

void ts_store_watch_reload(ts_store_watch_t *watch)
{
    ts_store_client_set_address(watch->client, watch->gateway->settings->store);
}
