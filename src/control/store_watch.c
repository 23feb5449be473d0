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
/* A node that a peer may tell of a service that came back gives it so long, on the mean. */
#define RELIST_OTHERS_MS 300
#define BACKOFF_FIRST_MS 150
#define BACKOFF_MAX_MS 1000
#define BACKOFF_GROWTH 2

struct ts_store_watch {
    ts_gateway_t *gateway;
    ts_store_client_t *client;
    uv_timer_t pause;
    bool is_listing;
    bool is_lost;                      /**< the last call failed */
    ts_store_position_t asked;         /**< the wait under way asks for changes after it */
    ts_store_position_t list_known;    /**< what was known when the list was begun */
    ts_store_position_t list_position; /**< of its first page */
    GPtrArray *list;                   /**< of ts_store_entry_t: its pages so far */
    ts_call_pace_t pace;
    uint32_t backoff_ms;
    uint32_t relist_ms;        /**< pause before the next list; grows until a wait is answered */
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
    g_ptr_array_set_size(watch->list, 0);
}

/* A pause of that length on the mean, drawn so that nodes don't ask at once. */
static uint32_t spread(const ts_store_watch_t *watch, uint32_t pause_ms)
{
    return pause_ms / 2 + ts_gateway_random(watch->gateway) % MAX(pause_ms, 1);
}

/*
 * All is to be read anew. At once the first time; if no wait is answered in between, ever later.
 * Returns how long to wait before the next call.
 */
static uint64_t restart_list(ts_store_watch_t *watch)
{
    const ts_peers_t *peers = watch->gateway->peers;
    uint32_t pause_ms = watch->relist_ms;
    if (pause_ms == 0 && peers != NULL && ts_peers_is_follower(peers))
        pause_ms = RELIST_OTHERS_MS;
    watch->relist_ms = CLAMP(watch->relist_ms * BACKOFF_GROWTH, BACKOFF_FIRST_MS, BACKOFF_MAX_MS);
    begin_list(watch);
    return pause_ms == 0 ? 0 : spread(watch, pause_ms);
}

/* Tells the other nodes of the zone that there is something new. */
static void announce(const ts_store_watch_t *watch)
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
           (unsigned long)ts_store_epoch_told(watch->list_position.epoch),
           (unsigned long)watch->list_position.revision, (unsigned long)watch->list_known.revision,
           n, n - MIN(n, applied));
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
 * Whether the list shows that the service went back without telling: each answer to a call holds
 * all that was known before the call.
 */
static bool went_back(const ts_store_watch_t *watch)
{
    return watch->list_position.epoch == watch->list_known.epoch &&
           watch->list_position.revision < watch->list_known.revision;
}

/* The whole list was read; returns how long to wait before the next call. */
static uint64_t end_list(ts_store_watch_t *watch)
{
    ts_store_mirror_t *mirror = watch->gateway->mirror;
    if (went_back(watch))
        set_list_epoch(watch, watch->list_known.epoch + 1);
    if (watch->list_position.epoch < ts_store_mirror_position(mirror).epoch)
        return restart_list(watch); // a peer has told of a later epoch meanwhile
    const ts_store_list_t list = {.entries = watch->list,
                                  .position = watch->list_position,
                                  .as_of_us = watch->called_us,
                                  .source = "service"};
    log_list(watch, ts_store_mirror_take_list(mirror, &list));
    g_ptr_array_set_size(watch->list, 0);
    watch->is_listing = false;
    announce(watch);
    return 0;
}

/* Whether a page is of another epoch than those before it, or of an earlier moment. */
static bool breaks_list(const ts_store_watch_t *watch, const ts_store_page_t *page)
{
    return watch->list->len > 0 && (page->position.epoch != watch->list_position.epoch ||
                                    page->position.revision < watch->list_position.revision);
}

/* Takes a page of the list; returns how long to wait before the next call. */
static uint64_t take_list_page(ts_store_watch_t *watch, ts_store_page_t *page)
{
    if (breaks_list(watch, page))
        return restart_list(watch);
    if (watch->list->len == 0)
        watch->list_position = page->position;
    bool has_entries = page->entries->len > 0;
    g_ptr_array_set_free_func(page->entries, NULL); // they belong to the list now
    g_ptr_array_extend(watch->list, page->entries, NULL, NULL);
    return page->has_more && has_entries ? 0 : end_list(watch);
}

static uint64_t take_changes(ts_store_watch_t *watch, const ts_store_page_t *page)
{
    ts_store_mirror_t *mirror = watch->gateway->mirror;
    watch->relist_ms = 0;
    (void)ts_store_mirror_apply(mirror, page->entries, page->position);
    ts_store_mirror_reach(mirror, page->position, ts_clock_now_us());
    if (page->entries->len == 0) {
        return 0;
    }
    announce(watch);
    return ts_call_pace_take(&watch->pace, ts_clock_now_us()) / TS_US_PER_MS;
}

/* Takes the answer to a wait; returns how long to wait before the next call. */
static uint64_t take_wait(ts_store_watch_t *watch, const ts_store_page_t *page)
{
    uint64_t epoch = ts_store_mirror_position(watch->gateway->mirror).epoch;
    if (page->position.epoch > epoch)
        return restart_list(watch);
    if (watch->asked.epoch != epoch)
        return 0; // a peer has told of that epoch, the wait asked in the one before
    if (page->position.revision < watch->asked.revision)
        return restart_list(watch);
    return take_changes(watch, page);
}

static void note_heard(ts_store_watch_t *watch)
{
    watch->backoff_ms = BACKOFF_FIRST_MS;
    if (watch->is_lost) {
        watch->is_lost = false;
        ts_store_position_t known = ts_store_mirror_position(watch->gateway->mirror);
        ts_log(TS_EVENT_PLATFORM_BACK, "epoch=%lu revision=%lu",
               (unsigned long)ts_store_epoch_told(known.epoch), (unsigned long)known.revision);
    }
}

static void note_lost(ts_store_watch_t *watch, const char *reason)
{
    if (!watch->is_lost) {
        watch->is_lost = true;
        ts_store_position_t known = ts_store_mirror_position(watch->gateway->mirror);
        ts_log(TS_EVENT_PLATFORM_LOST, "reason=%s epoch=%lu revision=%lu", reason,
               (unsigned long)ts_store_epoch_told(known.epoch), (unsigned long)known.revision);
    }
}

static void take_failure(ts_store_watch_t *watch, const char *reason)
{
    ts_count(TS_COUNTER_PLATFORM_FAILURES, 1);
    note_lost(watch, reason);
    if (watch->gateway->peers != NULL) {
        ts_peers_pull_from_random_peer(watch->gateway->peers);
    }
    pause_for(watch, spread(watch, watch->backoff_ms));
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

/* The epoch of an answer by the number it tells. */
static uint64_t epoch_of(const ts_store_watch_t *watch, const ts_store_answer_t *answer)
{
    uint64_t epoch = ts_store_mirror_position(watch->gateway->mirror).epoch;
    bool is_present = answer->epoch == ts_store_epoch_told(epoch);
    return is_present ? epoch : ts_store_epoch(answer->epoch);
}

/* Why an answer can't be used; NULL: it can. */
static const char *find_fault(const ts_store_watch_t *watch, const ts_store_answer_t *answer)
{
    uint64_t epoch = ts_store_mirror_position(watch->gateway->mirror).epoch;
    if (answer->status != STATUS_OK && answer->status != STATUS_GONE)
        return "status";
    if (answer->epoch >= ts_store_epoch_told(epoch))
        return NULL;
    return answer->epoch == 0 ? "no_epoch" : "earlier_epoch";
}

static void refuse_answer(ts_store_watch_t *watch, const ts_store_answer_t *answer,
                          const char *fault)
{
    char reason[32];
    g_snprintf(reason, sizeof(reason), "%s_%u", fault, answer->status);
    if (answer->status == STATUS_OK || answer->status == STATUS_GONE)
        ts_store_client_reconnect(watch->client); // it may lead to what the service was before
    take_failure(watch, reason);
}

/* Reads the answer to a list or a wait; NULL after a failure. */
static ts_store_page_t *read_page(ts_store_watch_t *watch, const ts_store_answer_t *answer)
{
    ts_store_page_t *page = ts_store_page_create();
    ts_error_t error = watch->gateway->dialect->read_page(answer->body, answer->length, page);
    if (error != TS_OK) {
        take_failure(watch, ts_error_name(error));
        ts_store_page_free(page);
        return NULL;
    }
    ts_store_page_set_epoch(page, epoch_of(watch, answer));
    return page;
}

static void call_done(void *context, ts_error_t error, const ts_store_answer_t *answer)
{
    ts_store_watch_t *watch = context;
    watch->is_long_wait = false;
    if (error != TS_OK) {
        take_failure(watch, ts_error_name(error));
        return;
    }
    const char *fault = find_fault(watch, answer);
    if (fault != NULL) {
        refuse_answer(watch, answer, fault);
        return;
    }
    if (answer->status == STATUS_GONE) {
        ts_count(TS_COUNTER_STORE_HISTORY_GONE, 1);
        note_heard(watch);
        pause_for(watch, restart_list(watch));
        return;
    }
    ts_store_page_t *page = read_page(watch, answer);
    if (page == NULL)
        return;
    note_heard(watch);
    pause_for(watch, watch->is_listing ? take_list_page(watch, page) : take_wait(watch, page));
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
    return gateway->peers != NULL && ts_peers_has_followers(gateway->peers);
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
    watch->asked = ts_store_mirror_position(watch->gateway->mirror);
    char *target = watch->gateway->dialect->watch_target(watch->asked.revision, wait_ms);
    watch->is_long_wait = wait_ms > WATCH_MS;
    watch->is_doubtful = false;
    watch->behind_seen = 0;
    ts_store_client_get(watch->client, target, wait_ms + WATCH_MARGIN_MS);
    g_free(target);
}

/* Asks for the first page of a list, or for the one after those that are there. */
static void ask_list(ts_store_watch_t *watch)
{
    const ts_store_entry_t *last = NULL;
    if (watch->list->len > 0)
        last = g_ptr_array_index(watch->list, watch->list->len - 1);
    else
        watch->list_known = ts_store_mirror_position(watch->gateway->mirror);
    char *target = watch->gateway->dialect->list_target(last == NULL ? NULL : last->key);
    ts_store_client_get(watch->client, target, list_timeout_ms(watch));
    g_free(target);
}

static void call_next(uv_timer_t *timer)
{
    ts_store_watch_t *watch = timer->data;
    if (may_rest(watch)) {
        watch->is_listing = false; /* a peer has given what the list would */
        g_ptr_array_set_size(watch->list, 0);
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
    ask_list(watch);
}

/* -- Probing ----------------------------------------------------------------------------------- */

/* The service is heard, but the wait under way may not be: another one takes its place. */
static void renew_wait(ts_store_watch_t *watch)
{
    ts_store_client_abandon(watch->client);
    watch->is_long_wait = false;
    pause_for(watch, 0);
}

/* The service is heard in an epoch that the wait under way does not ask in. */
static void leave_wait(ts_store_watch_t *watch)
{
    if (watch->is_listing)
        return;
    ts_store_client_abandon(watch->client);
    watch->is_long_wait = false;
    pause_for(watch, restart_list(watch));
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
    uint64_t epoch = ts_store_epoch_told(ts_store_mirror_position(mirror).epoch);
    if (answer->epoch != epoch) {
        if (answer->epoch > epoch)
            leave_wait(watch);
        return;
    }
    ts_store_page_t *page = ts_store_page_create();
    const ts_dialect_t *dialect = watch->gateway->dialect;
    bool is_read = dialect->read_page(answer->body, answer->length, page) == TS_OK;
    uint64_t known = ts_store_mirror_position(mirror).revision;
    bool is_current = is_read && page->position.revision <= known;
    if (is_current && !watch->is_lost) {
        ts_store_mirror_confirm(mirror, watch->probed_us);
    }
    ts_store_page_free(page);
    if (is_read)
        judge_wait(watch, !is_current);
}

/* A peer has told of another epoch while the wait under way asks in the one before. */
static bool is_wait_outdated(const ts_store_watch_t *watch)
{
    return watch->is_long_wait &&
           watch->asked.epoch != ts_store_mirror_position(watch->gateway->mirror).epoch;
}

/* The zone's watcher makes sure, between changes, that the service is still heard. */
static void probe(uv_timer_t *timer)
{
    ts_store_watch_t *watch = timer->data;
    const ts_gateway_t *gateway = watch->gateway;
    if (is_wait_outdated(watch))
        renew_wait(watch);
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
    watch->list = g_ptr_array_new_with_free_func(ts_store_entry_free);
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
