/** A stand-in of the platform's configuration service. */
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
#define STATUS_BUSY 503
#define STATUS_NOT_FOUND 404

typedef struct change {
    uint64_t revision;
    char *key;
    char *value; /* NULL: the key is gone */
} change_t;

typedef struct waiter {
    ts_caller_t *caller;
    char *prefix;
    uint64_t after;
    ts_time_us_t until_us;
} waiter_t;

struct lab_store {
    ts_listener_t *listener;
    uv_timer_t tick;
    GTree *entries;     /* key -> change_t */
    GPtrArray *history; /* of change_t */
    GPtrArray *waiters; /* of waiter_t */
    uint64_t revision;
    uint64_t forgotten; /* history up to here is gone */
    lab_store_mode_t mode;
    uint64_t epoch;  /* in all answers; 0: not told */
    GPtrArray *copy; /* of change_t: the entries of the copy */
    uint64_t copy_revision;
    uint64_t writes;
    GHashTable *written; /* key -> how many writes there were with its last one, as a pointer */
    unsigned page;
    unsigned calls;
};

static void free_change(gpointer data)
{
    change_t *change = data;
    g_free(change->key);
    g_free(change->value);
    g_free(change);
}

static void free_waiter(gpointer data)
{
    waiter_t *waiter = data;
    g_free(waiter->prefix);
    g_free(waiter);
}

static change_t *create_change(uint64_t revision, const char *key, const char *value)
{
    change_t *change = g_new0(change_t, 1);
    change->revision = revision;
    change->key = g_strdup(key);
    change->value = g_strdup(value);
    return change;
}

static json_t *describe(const change_t *change)
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

static void answer(const lab_store_t *store, ts_caller_t *caller, unsigned status, const char *body,
                   size_t length)
{
    GString *fields = g_string_new(NULL);
    if (body != NULL)
        g_string_append(fields, "Content-Type: application/json\r\n");
    if (store->epoch > 0)
        g_string_append_printf(fields, NAME_STORE_EPOCH ": %lu\r\n", (unsigned long)store->epoch);
    ts_caller_answer(caller, status, fields->str, body, length);
    g_string_free(fields, TRUE);
}

static void answer_json(const lab_store_t *store, ts_caller_t *caller, json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT);
    answer(store, caller, STATUS_OK, text, strlen(text));
    free(text);
    json_decref(document);
}

/* Value of a query parameter, unescaped; "" when it is not there. */
static char *query_of(const char *target, const char *name)
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
    if (json_array_size(listing->items) >= listing->store->page) {
        listing->has_more = true;
        return TRUE;
    }
    json_array_append_new(listing->items, describe(value));
    return FALSE;
}

static void answer_list(lab_store_t *store, ts_caller_t *caller, const char *target)
{
    char *prefix = query_of(target, QUERY_PREFIX);
    char *after = query_of(target, QUERY_AFTER);
    listing_t listing = {store, prefix, after, json_array(), false};
    g_tree_foreach(store->entries, list_entry, &listing);
    answer_json(store, caller,
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
            json_array_append_new(events, describe(change));
        }
    }
    return events;
}

static void answer_events(const lab_store_t *store, ts_caller_t *caller, json_t *events)
{
    answer_json(store, caller,
                json_pack("{s:o, s:I}", FIELD_EVENTS, events, FIELD_PAGE_REVISION,
                          (json_int_t)store->revision));
}

static void answer_watch(lab_store_t *store, ts_caller_t *caller, const char *target)
{
    char *prefix = query_of(target, QUERY_PREFIX);
    char *after_text = query_of(target, QUERY_AFTER);
    char *wait_text = query_of(target, QUERY_WAIT);
    uint64_t after = strtoull(after_text, NULL, 10);
    bool is_forgotten = store->mode == LAB_STORE_FORGETFUL || after < store->forgotten;
    if (is_forgotten || after > store->revision) {
        answer(store, caller, STATUS_GONE, NULL, 0);
    } else {
        json_t *events = changes_after(store, prefix, after);
        if (json_array_size(events) > 0) {
            answer_events(store, caller, events);
        } else {
            json_decref(events);
            waiter_t *waiter = g_new0(waiter_t, 1);
            waiter->caller = caller;
            waiter->prefix = g_strdup(prefix);
            waiter->after = after;
            waiter->until_us = ts_clock_now_us() + strtoull(wait_text, NULL, 10) * TS_US_PER_MS;
            g_ptr_array_add(store->waiters, waiter);
        }
    }
    g_free(prefix);
    g_free(after_text);
    g_free(wait_text);
}

static void take_call(ts_caller_t *caller, void *context)
{
    lab_store_t *store = context;
    const char *target = ts_caller_message(caller)->target->str;
    store->calls++;
    switch (store->mode) {
    case LAB_STORE_BUSY:
        answer(store, caller, STATUS_BUSY, NULL, 0);
        return;
    case LAB_STORE_THROTTLED:
        answer(store, caller, STATUS_THROTTLED, NULL, 0);
        return;
    case LAB_STORE_SILENT:
        return;
    case LAB_STORE_FORGETFUL:
    case LAB_STORE_NORMAL:
        break;
    }
    if (g_str_has_prefix(target, CALL_RANGE)) {
        answer_list(store, caller, target);
    } else if (g_str_has_prefix(target, CALL_WATCH)) {
        answer_watch(store, caller, target);
    } else {
        answer(store, caller, STATUS_NOT_FOUND, NULL, 0);
    }
}

static void caller_left(ts_caller_t *caller, void *context)
{
    lab_store_t *store = context;
    for (guint i = store->waiters->len; i > 0; i--) {
        const waiter_t *waiter = g_ptr_array_index(store->waiters, i - 1);
        if (waiter->caller == caller) {
            g_ptr_array_remove_index(store->waiters, i - 1);
        }
    }
}

static const ts_listener_ops_t store_ops = {take_call, caller_left};

/* Answers the watches that something came for, or whose time is over. */
static void serve_waiters(lab_store_t *store)
{
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = store->waiters->len; i > 0 && store->mode != LAB_STORE_SILENT; i--) {
        waiter_t *waiter = g_ptr_array_index(store->waiters, i - 1);
        json_t *events = changes_after(store, waiter->prefix, waiter->after);
        bool is_due = json_array_size(events) > 0 || now_us >= waiter->until_us;
        if (!is_due) {
            json_decref(events);
            continue;
        }
        ts_caller_t *caller = waiter->caller;
        g_ptr_array_remove_index(store->waiters, i - 1);
        answer_events(store, caller, events);
    }
}

static void tick(uv_timer_t *timer)
{
    serve_waiters(timer->data);
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
    store->waiters = g_ptr_array_new_with_free_func(free_waiter);
    store->copy = g_ptr_array_new_with_free_func(free_change);
    store->written = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    store->epoch = 1;
    store->page = PAGE_DEFAULT;
    uv_timer_init(loop, &store->tick);
    store->tick.data = store;
    uv_timer_start(&store->tick, tick, TICK_MS, TICK_MS);
    return store->listener == NULL ? NULL : store;
}

static void note_change(lab_store_t *store, const char *key, const char *value)
{
    store->revision++;
    store->writes++;
    g_hash_table_insert(store->written, g_strdup(key), GSIZE_TO_POINTER(store->writes));
    g_ptr_array_add(store->history, create_change(store->revision, key, value));
}

void lab_store_put(lab_store_t *store, const char *key, const char *value)
{
    note_change(store, key, value);
    g_tree_replace(store->entries, g_strdup(key), create_change(store->revision, key, value));
    serve_waiters(store);
}

void lab_store_delete(lab_store_t *store, const char *key)
{
    note_change(store, key, NULL);
    g_tree_remove(store->entries, key);
    serve_waiters(store);
}

void lab_store_forget(lab_store_t *store)
{
    store->forgotten = store->revision + 1;
    store->revision++;
    g_ptr_array_set_size(store->history, 0);
    while (store->waiters->len > 0) {
        ts_caller_t *caller = ((waiter_t *)g_ptr_array_index(store->waiters, 0))->caller;
        g_ptr_array_remove_index(store->waiters, 0);
        answer(store, caller, STATUS_GONE, NULL, 0);
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
}

/* Keys of the history after the copy, each once, in no order. */
static GHashTable *keys_since_copy(const lab_store_t *store)
{
    GHashTable *keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < store->history->len; i++) {
        const change_t *change = g_ptr_array_index(store->history, i);
        if (change->revision > store->copy_revision)
            g_hash_table_add(keys, g_strdup(change->key));
    }
    return keys;
}

static void tell_lost(const lab_store_t *store, lab_store_lost_t lost, void *ctx)
{
    GHashTable *keys = keys_since_copy(store);
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, keys);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const change_t *change = g_tree_lookup(store->entries, key);
        lost(ctx, key, change == NULL ? NULL : change->value);
    }
    g_hash_table_unref(keys);
}

uint64_t lab_store_writes(const lab_store_t *store)
{
    return store->writes;
}

void lab_store_write_again(lab_store_t *store, const char *key, const char *value, uint64_t writes)
{
    if (GPOINTER_TO_SIZE(g_hash_table_lookup(store->written, key)) > writes)
        return;
    if (value != NULL)
        lab_store_put(store, key, value);
    else if (g_tree_lookup(store->entries, key) != NULL)
        lab_store_delete(store, key);
}

void lab_store_restore(lab_store_t *store, lab_store_lost_t lost, void *ctx)
{
    if (lost != NULL)
        tell_lost(store, lost, ctx);
    g_tree_remove_all(store->entries);
    for (guint i = 0; i < store->copy->len; i++) {
        const change_t *change = g_ptr_array_index(store->copy, i);
        g_tree_replace(store->entries, g_strdup(change->key),
                       create_change(change->revision, change->key, change->value));
    }
    g_ptr_array_set_size(store->history, 0);
    g_ptr_array_set_size(store->waiters, 0);
    store->revision = store->copy_revision;
    store->forgotten = store->copy_revision;
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
        g_ptr_array_set_size(store->waiters, 0); /* the calls that wait are never answered */
    }
}

void lab_store_cut_waits(lab_store_t *store)
{
    while (store->waiters->len > 0) {
        ts_caller_t *caller = ((waiter_t *)g_ptr_array_index(store->waiters, 0))->caller;
        g_ptr_array_remove_index(store->waiters, 0);
        answer(store, caller, STATUS_BUSY, NULL, 0);
    }
}

void lab_store_set_page(lab_store_t *store, unsigned entries)
{
    store->page = entries;
}

unsigned lab_store_calls(const lab_store_t *store)
{
    return store->calls;
}
