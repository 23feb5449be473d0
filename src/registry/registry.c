/** The registry of back ends. */
#include "tealspar/registry.h"

#include <inttypes.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"

/* One that has left is forgotten after this, when it has no connections. */
#define FORGET_US (10 * TS_US_PER_S)
/* Bytes of an id, which goes into a header field of each request. */
#define ID_MAX 256U

struct ts_registry {
    char *zone;
    GHashTable *zones;
    GHashTable *services;  /**< name -> ts_service_t, owned */
    GHashTable *instances; /**< id -> ts_instance_t of its present life, owned */
    GPtrArray *former;     /**< of ts_instance_t, owned: lives that were followed by another */
    GHashTable *travels;   /**< zone -> ts_rtt_t, owned */
    GHashTable *evacuated; /**< set of zones whose back ends are to get nothing */
    double travel_least_us;
    double travel_most_us;
    ts_registry_seen_t seen;
    void *seen_ctx;
    ts_registry_evidence_t wake;
    void *wake_ctx;
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
    g_free(instance->collected);
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
    registry->former = g_ptr_array_new_with_free_func(free_instance);
    registry->evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    registry->travels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return registry;
}

void ts_registry_destroy(ts_registry_t *registry)
{
    g_hash_table_destroy(registry->services);
    g_hash_table_destroy(registry->instances);
    g_ptr_array_unref(registry->former);
    g_hash_table_destroy(registry->travels);
    g_hash_table_destroy(registry->evacuated);
    g_free(registry->zone);
    g_free(registry);
}

ts_service_t *ts_registry_find_service(const ts_registry_t *registry, const char *name)
{
    return g_hash_table_lookup(registry->services, name);
}

ts_service_t *ts_registry_service(ts_registry_t *registry, const char *name)
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

static ts_distance_t measure_distance(const ts_registry_t *registry, const char *zone)
{
    if (strcmp(zone, registry->zone) == 0) {
        return TS_DISTANCE_SAME_ZONE;
    }
    /* Looked up each time: a reload of the settings replaces the texts in the table. */
    const char *own = find_region(registry, registry->zone);
    const char *region = find_region(registry, zone);
    bool is_near = region != NULL && own != NULL && strcmp(region, own) == 0;
    return is_near ? TS_DISTANCE_SAME_REGION : TS_DISTANCE_OTHER_REGION;
}

/* -- Travel ------------------------------------------------------------------------------------ */

static void find_travel_bounds(ts_registry_t *registry)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    registry->travel_least_us = G_MAXDOUBLE;
    registry->travel_most_us = 0;
    g_hash_table_iter_init(&iterator, registry->travels);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        double travel_us = ts_rtt_estimate_us(value);
        registry->travel_least_us = MIN(registry->travel_least_us, travel_us);
        registry->travel_most_us = MAX(registry->travel_most_us, travel_us);
    }
}

static ts_rtt_t *find_travel(ts_registry_t *registry, const char *zone, ts_distance_t distance)
{
    ts_rtt_t *travel = g_hash_table_lookup(registry->travels, zone);
    if (travel == NULL) {
        travel = g_new0(ts_rtt_t, 1);
        ts_rtt_init(travel, distance);
        g_hash_table_insert(registry->travels, g_strdup(zone), travel);
        find_travel_bounds(registry);
    }
    return travel;
}

void ts_registry_note_travel(ts_registry_t *registry, const ts_instance_t *instance,
                             ts_time_us_t span_us)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_TRAVEL))
        return;
    ts_rtt_add_sample(instance->travel, span_us);
    find_travel_bounds(registry);
}

double ts_registry_travel_least_us(const ts_registry_t *registry)
{
    return registry->travel_least_us;
}

double ts_registry_travel_most_us(const ts_registry_t *registry)
{
    return registry->travel_most_us;
}

/* -- Instances --------------------------------------------------------------------------------- */

static void locate(const ts_registry_t *registry, ts_instance_t *instance)
{
    const char *region = find_region(registry, instance->zone);
    instance->region = region == NULL ? NULL : g_intern_string(region);
    instance->distance = measure_distance(registry, instance->zone);
}

static ts_instance_t *add_instance(ts_registry_t *registry, const ts_instance_record_t *record)
{
    ts_instance_t *instance = g_new0(ts_instance_t, 1);
    instance->id = g_strdup(record->id);
    instance->born_ms = record->born_ms;
    instance->zone = g_strdup(record->zone);
    locate(registry, instance);
    instance->is_evacuated = ts_registry_is_evacuated(registry, record->zone);
    instance->travel = find_travel(registry, record->zone, instance->distance);
    g_queue_init(&instance->idle);
    instance->service = ts_registry_service(registry, record->service);
    g_ptr_array_add(instance->service->instances, instance);
    g_hash_table_insert(registry->instances, instance->id, instance);
    return instance;
}

static void log_state(const ts_instance_t *instance, const char *state)
{
    ts_log(TS_EVENT_BACKEND_STATE, "instance=%s born=%" PRIu64 " service=%s zone=%s state=%s",
           instance->id, instance->born_ms, instance->service->name, instance->zone, state);
}

static void set_draining(ts_instance_t *instance, bool is_draining, ts_time_us_t now_us)
{
    if (instance->is_draining == is_draining) {
        return;
    }
    instance->is_draining = is_draining;
    instance->left_us = now_us;
    log_state(instance, is_draining ? "draining" : "ready");
}

static void unlist(ts_instance_t *instance, ts_time_us_t now_us)
{
    if (!instance->is_listed) {
        return;
    }
    instance->is_listed = false;
    if (!instance->is_draining) {
        instance->left_us = now_us;
    }
    log_state(instance, "gone");
}

static bool is_header_text(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++)
        if (!g_ascii_isgraph(text[i]))
            return false;
    return length > 0 && length <= ID_MAX;
}

ts_error_t ts_registry_check(const ts_instance_record_t *record)
{
    struct sockaddr_storage address;
    if (!is_header_text(record->id) || record->service[0] == '\0' || record->zone[0] == '\0')
        return TS_E_INVALID;
    return ts_address_parse(record->address, &address);
}

/*
 * The next life of a searcher begins: nothing is sent to the one before any more, and what was
 * under way there is judged by it. It is no candidate from now on, unlike one that only left the
 * list.
 */
static void end_life(ts_registry_t *registry, ts_instance_t *instance, ts_time_us_t now_us)
{
    unlist(instance, now_us);
    ts_instance_note_ended(instance);
    g_ptr_array_remove_fast(instance->service->instances, instance);
    g_hash_table_steal(registry->instances, instance->id);
    g_ptr_array_add(registry->former, instance);
    ts_count(TS_COUNTER_INSTANCES_REBORN, 1);
}

/* One that tells no birth has begun another life if it is listed again after it had ended. */
static bool is_same_life(const ts_instance_t *instance, const ts_instance_record_t *record)
{
    bool is_back = !instance->is_listed && instance->has_ended && record->born_ms == 0;
    return instance->born_ms == record->born_ms && !is_back;
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
    if (instance != NULL && !is_same_life(instance, record)) {
        end_life(registry, instance, now_us);
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
    set_draining(instance, record->is_draining, now_us);
    return is_new;
}

/* -- Evacuation and placement ------------------------------------------------------------------ */

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

void ts_registry_relocate(ts_registry_t *registry)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        locate(registry, value);
}

/* -- Leaving ----------------------------------------------------------------------------------- */

void ts_registry_remove(ts_registry_t *registry, const char *id, ts_time_us_t now_us)
{
    ts_instance_t *instance = g_hash_table_lookup(registry->instances, id);
    if (instance != NULL) {
        unlist(instance, now_us);
    }
}

void ts_registry_keep_only(ts_registry_t *registry, GHashTable *ids, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer instance = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &instance)) {
        if (!g_hash_table_contains(ids, ((ts_instance_t *)instance)->id)) {
            unlist(instance, now_us);
        }
    }
}

static bool is_forgettable(const ts_instance_t *instance, ts_time_us_t now_us)
{
    bool is_unused =
        instance->connections == 0 && instance->in_flight == 0 && instance->references == 0;
    return !instance->is_listed && is_unused && now_us - instance->left_us > FORGET_US;
}

void ts_registry_sweep(ts_registry_t *registry, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_instance_t *instance = value;
        if (!is_forgettable(instance, now_us))
            continue;
        g_ptr_array_remove_fast(instance->service->instances, instance);
        g_hash_table_iter_remove(&iterator);
    }
    for (guint i = registry->former->len; i > 0; i--) {
        if (is_forgettable(g_ptr_array_index(registry->former, i - 1), now_us))
            g_ptr_array_remove_index_fast(registry->former, i - 1);
    }
}

ts_instance_t *ts_registry_find(const ts_registry_t *registry, ts_life_t life)
{
    ts_instance_t *instance = g_hash_table_lookup(registry->instances, life.id);
    return instance != NULL && instance->born_ms == life.born_ms ? instance : NULL;
}

ts_instance_t *ts_registry_present(const ts_registry_t *registry, const char *id)
{
    return g_hash_table_lookup(registry->instances, id);
}

ts_life_t ts_instance_life(const ts_instance_t *instance)
{
    return (ts_life_t){instance->id, instance->born_ms};
}

void ts_registry_on_sighting(ts_registry_t *registry, ts_registry_seen_t seen, void *ctx)
{
    registry->seen = seen;
    registry->seen_ctx = ctx;
}

void ts_registry_tell(const ts_instance_t *instance, ts_sighting_t sighting)
{
    const ts_registry_t *registry = instance->service->registry;
    if (registry->seen != NULL)
        registry->seen(registry->seen_ctx, instance, sighting);
}

void ts_registry_on_evidence(ts_registry_t *registry, ts_registry_evidence_t wake, void *ctx)
{
    registry->wake = wake;
    registry->wake_ctx = ctx;
}

void ts_registry_wake(const ts_instance_t *instance)
{
    const ts_registry_t *registry = instance->service->registry;
    if (registry->wake != NULL)
        registry->wake(registry->wake_ctx);
}

void ts_registry_each_instance(ts_registry_t *registry, ts_registry_visit_t visit, void *context)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, registry->instances);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        visit(value, context);
    for (guint i = 0; i < registry->former->len; i++)
        visit(g_ptr_array_index(registry->former, i), context);
}

void ts_registry_each_service(ts_registry_t *registry, GHFunc visit, void *context)
{
    g_hash_table_foreach(registry->services, visit, context);
}

unsigned ts_registry_listed(const ts_registry_t *registry)
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
