/** The registry of backends. */
#include "tealspar/registry.h"

#include <inttypes.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"

/* An instance that is not listed and has no references is freed this long after it was delisted or,
 * if earlier, began to drain. */
#define RETENTION_US (10 * TS_US_PER_S)
/* Maximum length of an id in bytes; it is sent in a header field of each request. */
#define ID_LENGTH_MAX 256U

struct ts_registry {
    char *zone;            /**< this node's zone */
    GHashTable *zones;     /**< zone -> region, not owned; may be NULL */
    GHashTable *services;  /**< name -> ts_service_t, owned */
    GHashTable *instances; /**< id -> ts_instance_t of the current incarnation, owned */
    GPtrArray *retired;    /**< of ts_instance_t, owned: replaced by a later incarnation */
    GHashTable *rtts;      /**< zone -> ts_rtt_t, owned */
    GHashTable *evacuated; /**< set of zones that are being evacuated */
    double rtt_min_us;
    double rtt_max_us;
    ts_registry_sighting_cb_t on_sighting;
    void *on_sighting_ctx;
    ts_registry_evidence_cb_t on_evidence;
    void *on_evidence_ctx;
};

void ts_instance_record_clear(ts_instance_record_t *record)
{
    g_free(record->id);
    g_free(record->service);
    g_free(record->address);
    g_free(record->zone);
    memset(record, 0, sizeof(*record));
}

static void free_service(gpointer data)
{
    ts_service_t *service = data;
    g_ptr_array_unref(service->instances);
    g_free(service->name);
    g_free(service);
}

static void free_instance(gpointer data)
{
    ts_instance_t *instance = data;
    g_queue_clear(&instance->idle);
    g_free(instance->id);
    g_free(instance->zone);
    g_free(instance->collected_evidence);
    g_free(instance);
}

static const char *find_region(const ts_registry_t *registry, const char *zone)
{
    return registry->zones == NULL ? NULL : g_hash_table_lookup(registry->zones, zone);
}

ts_registry_t *ts_registry_create(const char *zone, GHashTable *zones)
{
    ts_registry_t *registry = g_new0(ts_registry_t, 1);
    registry->zone = g_strdup(zone);
    registry->zones = zones;
    registry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    registry->instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_instance);
    registry->retired = g_ptr_array_new_with_free_func(free_instance);
    registry->evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    registry->rtts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return registry;
}

void ts_registry_destroy(ts_registry_t *registry)
{
    g_hash_table_destroy(registry->services);
    g_hash_table_destroy(registry->instances);
    g_ptr_array_unref(registry->retired);
    g_hash_table_destroy(registry->rtts);
    g_hash_table_destroy(registry->evacuated);
    g_free(registry->zone);
    g_free(registry);
}

ts_service_t *ts_registry_find_service(const ts_registry_t *registry, const char *name)
{
    return g_hash_table_lookup(registry->services, name);
}

ts_service_t *ts_registry_ensure_service(ts_registry_t *registry, const char *name)
{
    ts_service_t *service = g_hash_table_lookup(registry->services, name);
    if (service == NULL) {
        service = g_new0(ts_service_t, 1);
        service->name = g_strdup(name);
        service->instances = g_ptr_array_new();
        service->registry = registry;
        g_hash_table_insert(registry->services, service->name, service);
    }
    return service;
}

static ts_distance_t find_distance(const ts_registry_t *registry, const char *zone)
{
    if (strcmp(zone, registry->zone) == 0) {
        return TS_DISTANCE_SAME_ZONE;
    }
    /* Looked up each time, as a reload of the settings replaces the strings in the table. */
    const char *own_region = find_region(registry, registry->zone);
    const char *region = find_region(registry, zone);
    bool is_same_region = region != NULL && own_region != NULL && strcmp(region, own_region) == 0;
    return is_same_region ? TS_DISTANCE_SAME_REGION : TS_DISTANCE_OTHER_REGION;
}

/* -- Round-trip times -------------------------------------------------------------------------- */

static void update_rtt_bounds(ts_registry_t *registry)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    registry->rtt_min_us = G_MAXDOUBLE;
    registry->rtt_max_us = 0;
    g_hash_table_iter_init(&iterator, registry->rtts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        double rtt_us = ts_rtt_estimate_us(value);
        registry->rtt_min_us = MIN(registry->rtt_min_us, rtt_us);
        registry->rtt_max_us = MAX(registry->rtt_max_us, rtt_us);
    }
}

static ts_rtt_t *find_or_add_rtt(ts_registry_t *registry, const char *zone, ts_distance_t distance)
{
    ts_rtt_t *rtt = g_hash_table_lookup(registry->rtts, zone);
    if (rtt == NULL) {
        rtt = g_new0(ts_rtt_t, 1);
        ts_rtt_init(rtt, distance);
        g_hash_table_insert(registry->rtts, g_strdup(zone), rtt);
        update_rtt_bounds(registry);
    }
    return rtt;
}

void ts_registry_add_rtt_sample(ts_registry_t *registry, const ts_instance_t *instance,
                                ts_time_us_t connect_us)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_TRAVEL))
        return;
    ts_rtt_add_sample(instance->rtt, connect_us);
    update_rtt_bounds(registry);
}

double ts_registry_rtt_min_us(const ts_registry_t *registry)
{
    return registry->rtt_min_us;
}

double ts_registry_rtt_max_us(const ts_registry_t *registry)
{
    return registry->rtt_max_us;
}

/* -- Instances --------------------------------------------------------------------------------- */

static void update_location(const ts_registry_t *registry, ts_instance_t *instance)
{
    const char *region = find_region(registry, instance->zone);
    instance->region = region == NULL ? NULL : g_intern_string(region);
    instance->distance = find_distance(registry, instance->zone);
}

static ts_instance_t *add_instance(ts_registry_t *registry, const ts_instance_record_t *record)
{
    ts_instance_t *instance = g_new0(ts_instance_t, 1);
    instance->id = g_strdup(record->id);
    instance->born_ms = record->born_ms;
    instance->zone = g_strdup(record->zone);
    update_location(registry, instance);
    instance->is_evacuated = ts_registry_is_evacuated(registry, record->zone);
    instance->rtt = find_or_add_rtt(registry, record->zone, instance->distance);
    g_queue_init(&instance->idle);
    instance->service = ts_registry_ensure_service(registry, record->service);
    g_ptr_array_add(instance->service->instances, instance);
    g_hash_table_insert(registry->instances, instance->id, instance);
    return instance;
}

static void log_state(const ts_instance_t *instance, const char *state)
{
    ts_log(TS_EVENT_BACKEND_STATE, "instance=%s born=%" PRIu64 " service=%s zone=%s state=%s",
           instance->id, instance->born_ms, instance->service->name, instance->zone, state);
}

static void set_draining(ts_instance_t *instance, bool is_draining, ts_time_us_t left_us)
{
    if (instance->is_draining == is_draining) {
        return;
    }
    instance->is_draining = is_draining;
    instance->left_us = left_us;
    log_state(instance, is_draining ? "draining" : "ready");
}

static void delist(ts_instance_t *instance, ts_time_us_t left_us)
{
    if (!instance->is_listed) {
        return;
    }
    instance->is_listed = false;
    /* The drain period of a draining instance continues from its start. */
    if (!instance->is_draining) {
        instance->left_us = left_us;
    }
    log_state(instance, "gone");
}

static bool is_valid_id(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++)
        if (!g_ascii_isgraph(text[i]))
            return false;
    return length > 0 && length <= ID_LENGTH_MAX;
}

ts_error_t ts_registry_validate(const ts_instance_record_t *record)
{
    struct sockaddr_storage address;
    if (!is_valid_id(record->id) || record->service[0] == '\0' || record->zone[0] == '\0')
        return TS_E_INVALID;
    return ts_address_parse(record->address, &address);
}

/*
 * Retires an instance that is replaced by a later incarnation. It is marked as ended, so that
 * ts_instance_liveness reports TS_LIVENESS_ENDED for requests whose connection to it broke. Unlike
 * an instance that was only delisted, it is no longer a candidate for new requests.
 */
static void retire_instance(ts_registry_t *registry, ts_instance_t *instance, ts_time_us_t now_us)
{
    delist(instance, now_us);
    ts_instance_note_ended(instance);
    g_ptr_array_remove_fast(instance->service->instances, instance);
    g_hash_table_steal(registry->instances, instance->id);
    g_ptr_array_add(registry->retired, instance);
    ts_count(TS_COUNTER_INSTANCES_REBORN, 1);
}

/* Without a reported start time, an instance that ended, was delisted and is listed again counts as
 * a new incarnation. */
static bool is_same_incarnation(const ts_instance_t *instance, const ts_instance_record_t *record)
{
    bool is_relisted = !instance->is_listed && instance->has_ended && record->born_ms == 0;
    return instance->born_ms == record->born_ms && !is_relisted;
}

bool ts_registry_update(ts_registry_t *registry, const ts_instance_record_t *record,
                        ts_time_us_t now_us)
{
    struct sockaddr_storage address;
    if (ts_address_parse(record->address, &address) != TS_OK) {
        ts_count_error(TS_E_ADDRESS);
        return false;
    }
    ts_instance_t *instance = g_hash_table_lookup(registry->instances, record->id);
    if (instance != NULL && !is_same_incarnation(instance, record)) {
        retire_instance(registry, instance, now_us);
        instance = NULL;
    }
    bool is_new = instance == NULL;
    if (is_new) {
        instance = add_instance(registry, record);
    }
    instance->address = address;
    instance->slots = record->slots;
    if (record->warmup_left_ms > 0) {
        instance->warm_at_us = now_us + record->warmup_left_ms * TS_US_PER_MS;
    }
    if (!instance->is_listed) {
        instance->is_listed = true;
        log_state(instance, "listed");
    }
    set_draining(instance, record->is_draining, record->left_us);
    return is_new;
}

/* -- Evacuation and locations ------------------------------------------------------------------ */

bool ts_registry_is_evacuated(const ts_registry_t *registry, const char *zone)
{
    return g_hash_table_contains(registry->evacuated, zone);
}

static void set_instance_evacuated(ts_instance_t *instance, bool is_evacuated, ts_time_us_t now_us)
{
    const ts_service_t *service = instance->service;
    instance->is_evacuated = is_evacuated;
    if (!is_evacuated && service->warmup_rate > 0)
        instance->warm_at_us = MAX(instance->warm_at_us, now_us + service->warmup_us);
}

void ts_registry_set_evacuated(ts_registry_t *registry, const char *zone, bool is_evacuated,
                               ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    if (ts_registry_is_evacuated(registry, zone) == is_evacuated)
        return;
    if (is_evacuated)
        g_hash_table_add(registry->evacuated, g_strdup(zone));
    else
        g_hash_table_remove(registry->evacuated, zone);
    ts_log(TS_EVENT_ZONE_STATE, "zone=%s state=%s", zone, is_evacuated ? "evacuated" : "in_use");
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_instance_t *instance = value;
        if (strcmp(instance->zone, zone) == 0)
            set_instance_evacuated(instance, is_evacuated, now_us);
    }
}

void ts_registry_update_locations(ts_registry_t *registry)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        update_location(registry, value);
}

/* -- Delisting and cleanup --------------------------------------------------------------------- */

void ts_registry_delist(ts_registry_t *registry, const char *id, ts_time_us_t left_us)
{
    ts_instance_t *instance = g_hash_table_lookup(registry->instances, id);
    if (instance != NULL) {
        delist(instance, left_us);
    }
}

void ts_registry_delist_all_except(ts_registry_t *registry, GHashTable *ids, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer instance = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &instance)) {
        if (!g_hash_table_contains(ids, ((ts_instance_t *)instance)->id)) {
            delist(instance, now_us);
        }
    }
}

static bool can_be_freed(const ts_instance_t *instance, ts_time_us_t now_us)
{
    bool is_unused =
        instance->connections == 0 && instance->in_flight == 0 && instance->references == 0;
    return !instance->is_listed && is_unused && now_us - instance->left_us > RETENTION_US;
}

void ts_registry_sweep(ts_registry_t *registry, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_instance_t *instance = value;
        if (!can_be_freed(instance, now_us))
            continue;
        g_ptr_array_remove_fast(instance->service->instances, instance);
        g_hash_table_iter_remove(&iterator);
    }
    for (guint i = registry->retired->len; i > 0; i--) {
        if (can_be_freed(g_ptr_array_index(registry->retired, i - 1), now_us))
            g_ptr_array_remove_index_fast(registry->retired, i - 1);
    }
}

ts_instance_t *ts_registry_find(const ts_registry_t *registry, ts_instance_key_t key)
{
    ts_instance_t *instance = g_hash_table_lookup(registry->instances, key.id);
    return instance != NULL && instance->born_ms == key.born_ms ? instance : NULL;
}

ts_instance_t *ts_registry_find_current(const ts_registry_t *registry, const char *id)
{
    return g_hash_table_lookup(registry->instances, id);
}

ts_instance_key_t ts_instance_key_of(const ts_instance_t *instance)
{
    return (ts_instance_key_t){instance->id, instance->born_ms};
}

void ts_registry_set_sighting_callback(ts_registry_t *registry, ts_registry_sighting_cb_t callback,
                                       void *ctx)
{
    registry->on_sighting = callback;
    registry->on_sighting_ctx = ctx;
}

void ts_registry_report_sighting(const ts_instance_t *instance, ts_sighting_t sighting)
{
    const ts_registry_t *registry = instance->service->registry;
    if (registry->on_sighting != NULL)
        registry->on_sighting(registry->on_sighting_ctx, instance, sighting);
}

void ts_registry_set_evidence_callback(ts_registry_t *registry, ts_registry_evidence_cb_t callback,
                                       void *ctx)
{
    registry->on_evidence = callback;
    registry->on_evidence_ctx = ctx;
}

void ts_registry_notify_evidence(const ts_instance_t *instance)
{
    const ts_registry_t *registry = instance->service->registry;
    if (registry->on_evidence != NULL)
        registry->on_evidence(registry->on_evidence_ctx);
}

void ts_registry_each_instance(ts_registry_t *registry, ts_registry_visit_t visit, void *context)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        visit(value, context);
    for (guint i = 0; i < registry->retired->len; i++)
        visit(g_ptr_array_index(registry->retired, i), context);
}

void ts_registry_each_service(ts_registry_t *registry, GHFunc visit, void *context)
{
    g_hash_table_foreach(registry->services, visit, context);
}

unsigned ts_registry_count_listed(const ts_registry_t *registry)
{
    GHashTableIter iterator;
    gpointer instance = NULL;
    unsigned count = 0;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &instance)) {
        count += ((ts_instance_t *)instance)->is_listed;
    }
    return count;
}
