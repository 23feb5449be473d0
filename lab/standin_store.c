/** Fake configuration service. */
#include "standin_store.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/names.h"
#include "tealspar/caller.h"
#include "tealspar/clock.h"

#define PAGE_DEFAULT 50
#define TICK_MS 20
#define STATUS_OK 200
#define STATUS_GONE 410
#define STATUS_THROTTLED 429
#define STATUS_UNAVAILABLE 503
#define STATUS_NOT_FOUND 404

typedef struct change {
    uint64_t revision;
    char *key;
    char *value; /* NULL: the key was deleted */
} change_t;

typedef struct watch {
    ts_caller_t *caller;
    char *prefix;
    uint64_t after;
    ts_time_us_t until_us;
} watch_t;

struct lab_store {
    ts_listener_t *listener;
    uv_timer_t tick;
    GTree *entries;     /* key -> change_t */
    GPtrArray *history; /* change_t[] */
    GPtrArray *watches; /* watch_t[] */
    uint64_t revision;
    uint64_t dropped_revision; /* the history up to this revision was dropped */
    lab_store_mode_t mode;
    uint64_t epoch;  /* in all responses; 0: not reported */
    GPtrArray *copy; /* change_t[]: the entries of the copy */
    uint64_t copy_revision;
    uint64_t copy_write_count; /* when the copy was taken or restored */
    uint64_t write_count;
    GHashTable *last_writes; /* key -> write_count after its last write, as a pointer */
    unsigned page_size;
    unsigned call_count;
    bool is_hold_armed; /* a list call is to be held or is held */
    unsigned list_calls_before_hold;
    ts_caller_t *held_caller; /* NULL: no list call is held */
    char *held_target;
};

static void free_change(gpointer data)
{
    change_t *change = data;
    g_free(change->key);
    g_free(change->value);
    g_free(change);
}

static void free_watch(gpointer data)
{
    watch_t *watch = data;
    g_free(watch->prefix);
    g_free(watch);
}

static change_t *create_change(uint64_t revision, const char *key, const char *value)
{
    change_t *change = g_new0(change_t, 1);
    change->revision = revision;
    change->key = g_strdup(key);
    change->value = g_strdup(value);
    return change;
}

static json_t *change_to_json(const change_t *change)
{
    json_t *item = json_object();
    json_object_set_new(item, FIELD_KEY, json_string(change->key));
    json_object_set_new(item, FIELD_REVISION, json_integer((json_int_t)change->revision));
    if (change->value == NULL) {
        json_object_set_new(item, FIELD_DELETED, json_true());
        return item;
    }
    char *encoded = g_base64_encode((const guchar *)change->value, strlen(change->value));
    json_object_set_new(item, FIELD_VALUE, json_string(encoded));
    g_free(encoded);
    return item;
}

static void respond(const lab_store_t *store, ts_caller_t *caller, unsigned status,
                    const char *body, size_t length)
{
    GString *fields = g_string_new(NULL);
    if (body != NULL)
        g_string_append(fields, "Content-Type: application/json\r\n");
    if (store->epoch > 0)
        g_string_append_printf(fields, NAME_STORE_EPOCH ": %lu\r\n", (unsigned long)store->epoch);
    ts_caller_answer(caller, status, fields->str, body, length);
    g_string_free(fields, TRUE);
}

static void respond_json(const lab_store_t *store, ts_caller_t *caller, json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT);
    respond(store, caller, STATUS_OK, text, strlen(text));
    free(text);
    json_decref(document);
}

/* Unescaped value of a query parameter; "" if it is missing. */
static char *get_query_parameter(const char *target, const char *name)
{
    char *pattern = g_strdup_printf("[?&]%s=([^&]*)", name);
    GRegex *regex = g_regex_new(pattern, 0, 0, NULL);
    GMatchInfo *match = NULL;
    char *value = NULL;
    if (g_regex_match(regex, target, 0, &match)) {
        char *raw = g_match_info_fetch(match, 1);
        value = g_uri_unescape_string(raw, NULL);
        g_free(raw);
    }
    g_match_info_free(match);
    g_regex_unref(regex);
    g_free(pattern);
    return value == NULL ? g_strdup("") : value;
}

typedef struct listing {
    const lab_store_t *store;
    const char *prefix;
    const char *after;
    json_t *items;
    bool has_more;
} listing_t;

static gboolean list_entry(gpointer key, gpointer value, gpointer context)
{
    listing_t *listing = context;
    if (strncmp(key, listing->prefix, strlen(listing->prefix)) != 0 ||
        strcmp(key, listing->after) <= 0) {
        return FALSE;
    }
    if (json_array_size(listing->items) >= listing->store->page_size) {
        listing->has_more = true;
        return TRUE;
    }
    json_array_append_new(listing->items, change_to_json(value));
    return FALSE;
}

static void respond_to_list(lab_store_t *store, ts_caller_t *caller, const char *target)
{
    char *prefix = get_query_parameter(target, QUERY_PREFIX);
    char *after = get_query_parameter(target, QUERY_AFTER);
    listing_t listing = {store, prefix, after, json_array(), false};
    g_tree_foreach(store->entries, list_entry, &listing);
    respond_json(store, caller,
                 json_pack("{s:o, s:b, s:I}", FIELD_ITEMS, listing.items, FIELD_MORE,
                           listing.has_more, FIELD_PAGE_REVISION, (json_int_t)store->revision));
    g_free(prefix);
    g_free(after);
}

static json_t *changes_after(const lab_store_t *store, const char *prefix, uint64_t after)
{
    json_t *events = json_array();
    for (guint i = 0; i < store->history->len; i++) {
        const change_t *change = g_ptr_array_index(store->history, i);
        if (change->revision > after && g_str_has_prefix(change->key, prefix)) {
            json_array_append_new(events, change_to_json(change));
        }
    }
    return events;
}

static void respond_with_events(const lab_store_t *store, ts_caller_t *caller, json_t *events)
{
    respond_json(store, caller,
                 json_pack("{s:o, s:I}", FIELD_EVENTS, events, FIELD_PAGE_REVISION,
                           (json_int_t)store->revision));
}

static void respond_to_watch(lab_store_t *store, ts_caller_t *caller, const char *target)
{
    char *prefix = get_query_parameter(target, QUERY_PREFIX);
    char *after_text = get_query_parameter(target, QUERY_AFTER);
    char *wait_text = get_query_parameter(target, QUERY_WAIT);
    uint64_t after = strtoull(after_text, NULL, 10);
    bool is_dropped = store->mode == LAB_STORE_NO_HISTORY || after < store->dropped_revision;
    if (is_dropped || after > store->revision) {
        respond(store, caller, STATUS_GONE, NULL, 0);
    } else {
        json_t *events = changes_after(store, prefix, after);
        if (json_array_size(events) > 0) {
            respond_with_events(store, caller, events);
        } else {
            json_decref(events);
            watch_t *watch = g_new0(watch_t, 1);
            watch->caller = caller;
            watch->prefix = g_strdup(prefix);
            watch->after = after;
            watch->until_us = ts_clock_now_us() + strtoull(wait_text, NULL, 10) * TS_US_PER_MS;
            g_ptr_array_add(store->watches, watch);
        }
    }
    g_free(prefix);
    g_free(after_text);
    g_free(wait_text);
}

static void answer_call(lab_store_t *store, ts_caller_t *caller, const char *target)
{
    switch (store->mode) {
    case LAB_STORE_UNAVAILABLE:
        respond(store, caller, STATUS_UNAVAILABLE, NULL, 0);
        return;
    case LAB_STORE_THROTTLED:
        respond(store, caller, STATUS_THROTTLED, NULL, 0);
        return;
    case LAB_STORE_SILENT:
        return;
    case LAB_STORE_NO_HISTORY:
    case LAB_STORE_NORMAL:
        break;
    }
    if (g_str_has_prefix(target, CALL_RANGE)) {
        respond_to_list(store, caller, target);
    } else if (g_str_has_prefix(target, CALL_WATCH)) {
        respond_to_watch(store, caller, target);
    } else {
        respond(store, caller, STATUS_NOT_FOUND, NULL, 0);
    }
}

/* Holds the call if it is the list call selected by lab_store_hold_list_call. */
static bool hold_list_call(lab_store_t *store, ts_caller_t *caller, const char *target)
{
    bool is_candidate =
        store->is_hold_armed && store->held_caller == NULL && g_str_has_prefix(target, CALL_RANGE);
    if (!is_candidate)
        return false;
    if (store->list_calls_before_hold > 0) {
        store->list_calls_before_hold--;
        return false;
    }
    store->held_caller = caller;
    store->held_target = g_strdup(target);
    return true;
}

static void handle_call(ts_caller_t *caller, void *context)
{
    lab_store_t *store = context;
    const char *target = ts_caller_message(caller)->target->str;
    store->call_count++;
    if (!hold_list_call(store, caller, target))
        answer_call(store, caller, target);
}

static void handle_caller_close(ts_caller_t *caller, void *context)
{
    lab_store_t *store = context;
    if (store->held_caller == caller) {
        store->held_caller = NULL; /* the hold stays armed for the client's retry */
        g_clear_pointer(&store->held_target, g_free);
    }
    for (guint i = store->watches->len; i > 0; i--) {
        const watch_t *watch = g_ptr_array_index(store->watches, i - 1);
        if (watch->caller == caller) {
            g_ptr_array_remove_index(store->watches, i - 1);
        }
    }
}

static const ts_listener_ops_t store_ops = {handle_call, handle_caller_close, NULL};

/* Answers watches that have new changes or have timed out. */
static void answer_due_watches(lab_store_t *store)
{
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = store->watches->len; i > 0 && store->mode != LAB_STORE_SILENT; i--) {
        watch_t *watch = g_ptr_array_index(store->watches, i - 1);
        json_t *events = changes_after(store, watch->prefix, watch->after);
        bool is_due = json_array_size(events) > 0 || now_us >= watch->until_us;
        if (!is_due) {
            json_decref(events);
            continue;
        }
        ts_caller_t *caller = watch->caller;
        g_ptr_array_remove_index(store->watches, i - 1);
        respond_with_events(store, caller, events);
    }
}

static void tick(uv_timer_t *timer)
{
    answer_due_watches(timer->data);
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer data)
{
    return strcmp(left, right);
}

lab_store_t *lab_store_open(uv_loop_t *loop, unsigned port)
{
    lab_store_t *store = g_new0(lab_store_t, 1);
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    store->listener = ts_listener_open(loop, address, &store_ops, store);
    store->entries = g_tree_new_full(compare_keys, NULL, g_free, free_change);
    store->history = g_ptr_array_new_with_free_func(free_change);
    store->watches = g_ptr_array_new_with_free_func(free_watch);
    store->copy = g_ptr_array_new_with_free_func(free_change);
    store->last_writes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    store->epoch = 1;
    store->page_size = PAGE_DEFAULT;
    uv_timer_init(loop, &store->tick);
    store->tick.data = store;
    uv_timer_start(&store->tick, tick, TICK_MS, TICK_MS);
    return store->listener == NULL ? NULL : store;
}

static void record_change(lab_store_t *store, const char *key, const char *value)
{
    store->revision++;
    store->write_count++;
    g_hash_table_insert(store->last_writes, g_strdup(key), GSIZE_TO_POINTER(store->write_count));
    g_ptr_array_add(store->history, create_change(store->revision, key, value));
}

void lab_store_put(lab_store_t *store, const char *key, const char *value)
{
    record_change(store, key, value);
    g_tree_replace(store->entries, g_strdup(key), create_change(store->revision, key, value));
    answer_due_watches(store);
}

void lab_store_delete(lab_store_t *store, const char *key)
{
    record_change(store, key, NULL);
    g_tree_remove(store->entries, key);
    answer_due_watches(store);
}

void lab_store_drop_history(lab_store_t *store)
{
    store->dropped_revision = store->revision + 1;
    store->revision++;
    g_ptr_array_set_size(store->history, 0);
    while (store->watches->len > 0) {
        ts_caller_t *caller = ((watch_t *)g_ptr_array_index(store->watches, 0))->caller;
        g_ptr_array_remove_index(store->watches, 0);
        respond(store, caller, STATUS_GONE, NULL, 0);
    }
}

static gboolean copy_entry(gpointer key, gpointer value, gpointer ctx)
{
    const change_t *change = value;
    g_ptr_array_add(ctx, create_change(change->revision, change->key, change->value));
    return FALSE;
}

void lab_store_take_copy(lab_store_t *store)
{
    g_ptr_array_set_size(store->copy, 0);
    g_tree_foreach(store->entries, copy_entry, store->copy);
    store->copy_revision = store->revision;
    store->copy_write_count = store->write_count;
}

/* Reports the keys written since the copy was taken or restored. The history is not used, as it may
 * have been dropped since. */
static void report_lost_writes(const lab_store_t *store, lab_store_lost_write_t lost, void *ctx)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer write_count = NULL;
    g_hash_table_iter_init(&iterator, store->last_writes);
    while (g_hash_table_iter_next(&iterator, &key, &write_count)) {
        const change_t *change = g_tree_lookup(store->entries, key);
        if (GPOINTER_TO_SIZE(write_count) > store->copy_write_count)
            lost(ctx, key, change == NULL ? NULL : change->value);
    }
}

uint64_t lab_store_write_count(const lab_store_t *store)
{
    return store->write_count;
}

void lab_store_rewrite(lab_store_t *store, const char *key, const char *value, uint64_t write_count)
{
    if (GPOINTER_TO_SIZE(g_hash_table_lookup(store->last_writes, key)) > write_count)
        return;
    if (value != NULL)
        lab_store_put(store, key, value);
    else if (g_tree_lookup(store->entries, key) != NULL)
        lab_store_delete(store, key);
}

void lab_store_restore(lab_store_t *store, lab_store_lost_write_t lost, void *ctx)
{
    if (lost != NULL)
        report_lost_writes(store, lost, ctx);
    g_tree_remove_all(store->entries);
    for (guint i = 0; i < store->copy->len; i++) {
        const change_t *change = g_ptr_array_index(store->copy, i);
        g_tree_replace(store->entries, g_strdup(change->key),
                       create_change(change->revision, change->key, change->value));
    }
    g_ptr_array_set_size(store->history, 0);
    g_ptr_array_set_size(store->watches, 0);
    store->revision = store->copy_revision;
    store->copy_write_count = store->write_count;
    store->dropped_revision = store->copy_revision;
    if (store->epoch > 0)
        store->epoch++;
}

void lab_store_set_epoch(lab_store_t *store, uint64_t epoch)
{
    store->epoch = epoch;
}

uint64_t lab_store_epoch(const lab_store_t *store)
{
    return store->epoch;
}

void lab_store_set_mode(lab_store_t *store, lab_store_mode_t mode)
{
    store->mode = mode;
    if (mode == LAB_STORE_SILENT) {
        g_ptr_array_set_size(store->watches, 0); /* pending watches are never answered */
    }
}

void lab_store_fail_watches(lab_store_t *store)
{
    while (store->watches->len > 0) {
        ts_caller_t *caller = ((watch_t *)g_ptr_array_index(store->watches, 0))->caller;
        g_ptr_array_remove_index(store->watches, 0);
        respond(store, caller, STATUS_UNAVAILABLE, NULL, 0);
    }
}

void lab_store_set_page_size(lab_store_t *store, unsigned entries)
{
    store->page_size = entries;
}

void lab_store_hold_list_call(lab_store_t *store, unsigned calls_before)
{
    store->is_hold_armed = true;
    store->list_calls_before_hold = calls_before;
}

bool lab_store_is_list_call_held(const lab_store_t *store)
{
    return store->held_caller != NULL;
}

void lab_store_release_list_call(lab_store_t *store)
{
    ts_caller_t *caller = store->held_caller;
    char *target = store->held_target;
    store->is_hold_armed = false;
    store->held_caller = NULL;
    store->held_target = NULL;
    if (caller != NULL)
        answer_call(store, caller, target);
    g_free(target);
}

unsigned lab_store_call_count(const lab_store_t *store)
{
    return store->call_count;
}
