/** Reads the configuration service, and applies what it says. */
#include "tealspar/store_watch.h"

#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/store_client.h"

#define STATUS_OK 200
#define STATUS_GONE 410
#define LIST_TIMEOUT_MS 2500
/*
 * A wait for changes; silence past it and its margin means that the service is not heard. A call
 * that a silent service has swallowed is noticed within their sum, which must lie below the time
 * from the service's return until its bounds hold again (five seconds on the platform).
 */
#define WATCH_MS 2500
#define WATCH_MARGIN_MS 1000
/* Changes that come close together are read by one call, as each call is priced. */
#define BATCH_MS 700
#define BACKOFF_FIRST_MS 150
#define BACKOFF_MAX_MS 1000
#define BACKOFF_GROWTH 2

struct ts_store_watch {
    ts_gateway_t *gateway;
    ts_store_client_t *client;
    uv_timer_t pause;
    bool is_listing;
    bool is_primed;
    bool is_lost;           /**< the last call failed */
    uint64_t revision;      /**< changes up to here are applied */
    uint64_t list_revision; /**< of the first page of the list */
    char *list_after;       /**< last key of the pages so far; NULL at the beginning */
    GHashTable *listed;     /**< ids of instances on the pages so far */
    uint32_t backoff_ms;
    ts_time_us_t heard_us; /**< when the service last answered */
};

static void call_next(uv_timer_t *timer);

static void pause_for(ts_store_watch_t *watch, uint64_t pause_ms) {
    uv_timer_start(&watch->pause, call_next, pause_ms, 0);
}

static void begin_list(ts_store_watch_t *watch) {
    watch->is_listing = true;
    g_clear_pointer(&watch->list_after, g_free);
    g_hash_table_remove_all(watch->listed);
}

static void apply_traffic(ts_store_watch_t *watch, const ts_store_entry_t *entry) {
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_traffic_t *traffic =
        watch->gateway->dialect->read_traffic(entry->value, entry->length, &problems);
    if (traffic == NULL) {
        char *text = ts_problems_format(&problems, entry->key);
        ts_count(TS_COUNTER_CONFIG_REFUSED, 1);
        ts_log(TS_EVENT_CONFIG_REFUSED, "%s", text);
        g_free(text);
    } else {
        ts_gateway_set_traffic(watch->gateway, traffic);
    }
    ts_problems_clear(&problems);
}

static void apply_instance(ts_store_watch_t *watch, const ts_store_entry_t *entry,
                           ts_time_us_t now_us) {
    ts_registry_t *registry = watch->gateway->registry;
    if (entry->is_gone) {
        ts_registry_remove(registry, entry->id, now_us);
        return;
    }
    ts_instance_record_t record = {0};
    ts_error_t error = watch->gateway->dialect->read_instance(entry, &record);
    if (error == TS_OK) {
        (void)ts_registry_update(registry, &record, now_us);
    } else {
        ts_count_error(error);
    }
    ts_instance_record_clear(&record);
}

static void apply_page(ts_store_watch_t *watch, const ts_store_page_t *page) {
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = 0; i < page->entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(page->entries, i);
        if (entry->kind == TS_STORE_INSTANCE) {
            apply_instance(watch, entry, now_us);
            if (watch->is_listing) {
                g_hash_table_add(watch->listed, g_strdup(entry->id));
            }
        } else if (entry->kind == TS_STORE_TRAFFIC && !entry->is_gone) {
            apply_traffic(watch, entry);
        }
    }
}

/* The whole list was read: what it does not name has left. */
static void end_list(ts_store_watch_t *watch) {
    ts_registry_keep_only(watch->gateway->registry, watch->listed, ts_clock_now_us());
    g_hash_table_remove_all(watch->listed);
    watch->revision = watch->list_revision;
    watch->is_listing = false;
    watch->is_primed = true;
}

/* Takes a page of the list; returns how long to wait before the next call. */
static uint64_t take_list_page(ts_store_watch_t *watch, const ts_store_page_t *page) {
    if (watch->list_after == NULL) {
        watch->list_revision = page->revision;
    }
    apply_page(watch, page);
    if (page->has_more && page->entries->len > 0) {
        const ts_store_entry_t *last = g_ptr_array_index(page->entries, page->entries->len - 1);
        g_free(watch->list_after);
        watch->list_after = g_strdup(last->key);
    } else {
        end_list(watch);
    }
    return 0;
}

static uint64_t take_changes(ts_store_watch_t *watch, const ts_store_page_t *page) {
    apply_page(watch, page);
    if (page->revision > watch->revision) {
        watch->revision = page->revision;
    }
    return page->entries->len > 0 ? BATCH_MS : 0;
}

static void note_heard(ts_store_watch_t *watch) {
    watch->heard_us = ts_clock_now_us();
    watch->backoff_ms = BACKOFF_FIRST_MS;
    if (watch->is_lost) {
        watch->is_lost = false;
        ts_log(TS_EVENT_PLATFORM_BACK, "revision=%lu", (unsigned long)watch->revision);
    }
}

static void note_lost(ts_store_watch_t *watch, const char *reason) {
    if (!watch->is_lost) {
        watch->is_lost = true;
        ts_log(TS_EVENT_PLATFORM_LOST, "reason=%s revision=%lu", reason,
               (unsigned long)watch->revision);
    }
}

static void take_failure(ts_store_watch_t *watch, const char *reason) {
    ts_count(TS_COUNTER_PLATFORM_FAILURES, 1);
    note_lost(watch, reason);
    uint32_t random = ts_gateway_random(watch->gateway);
    pause_for(watch, watch->backoff_ms / 2 + random % watch->backoff_ms);
    /* A node that knows nothing yet can serve nobody: it keeps asking. */
    uint32_t most_ms = watch->is_primed ? BACKOFF_MAX_MS : BACKOFF_FIRST_MS;
    watch->backoff_ms = MIN(watch->backoff_ms * BACKOFF_GROWTH, most_ms);
}

static void call_done(void *context, ts_error_t error, unsigned status, const char *body,
                      size_t length) {
    ts_store_watch_t *watch = context;
    if (error != TS_OK) {
        take_failure(watch, ts_error_name(error));
        return;
    }
    if (status == STATUS_GONE) {
        note_heard(watch);
        begin_list(watch);
        pause_for(watch, 0);
        return;
    }
    if (status != STATUS_OK) {
        char reason[32];
        g_snprintf(reason, sizeof(reason), "status_%u", status);
        take_failure(watch, reason);
        return;
    }
    ts_store_page_t *page = ts_store_page_create();
    error = watch->gateway->dialect->read_page(body, length, page);
    if (error != TS_OK) {
        take_failure(watch, ts_error_name(error));
    } else {
        note_heard(watch);
        pause_for(watch,
                  watch->is_listing ? take_list_page(watch, page) : take_changes(watch, page));
    }
    ts_store_page_free(page);
}

static void call_next(uv_timer_t *timer) {
    ts_store_watch_t *watch = timer->data;
    const ts_dialect_t *dialect = watch->gateway->dialect;
    char *target = watch->is_listing ? dialect->list_target(watch->list_after)
                                     : dialect->watch_target(watch->revision, WATCH_MS);
    ts_store_client_get(watch->client, target,
                        watch->is_listing ? LIST_TIMEOUT_MS : WATCH_MS + WATCH_MARGIN_MS);
    g_free(target);
}

ts_store_watch_t *ts_store_watch_create(ts_gateway_t *gateway) {
    ts_store_watch_t *watch = g_new0(ts_store_watch_t, 1);
    watch->gateway = gateway;
    watch->client =
        ts_store_client_create(gateway->loop, gateway->settings->store, call_done, watch);
    watch->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    watch->backoff_ms = BACKOFF_FIRST_MS;
    uv_timer_init(gateway->loop, &watch->pause);
    watch->pause.data = watch;
    begin_list(watch);
    return watch;
}

void ts_store_watch_start(ts_store_watch_t *watch) {
    pause_for(watch, 0);
}

void ts_store_watch_reload(ts_store_watch_t *watch) {
    ts_store_client_set_address(watch->client, watch->gateway->settings->store);
}

bool ts_store_watch_is_primed(const ts_store_watch_t *watch) {
    return watch->is_primed;
}
