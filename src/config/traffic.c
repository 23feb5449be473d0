/** Routing configuration: construction, validation and route lookup. */
#include "tealspar/traffic.h"

#include <string.h>

#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES 262144
#define DEFAULT_HEAD_MS 5000
#define DEFAULT_IDLE_MS 15000
#define DEFAULT_TIMEOUT_MS 10000
#define HOST_MAX 256

static void clear_target(gpointer data)
{
    g_free(((ts_target_t *)data)->service);
}

static void free_route(gpointer data)
{
    ts_traffic_route_t *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_array_free(route->targets, TRUE);
    if (route->regions != NULL)
        g_ptr_array_unref(route->regions);
    g_free(route);
}

static void free_service(gpointer data)
{
    ts_traffic_service_t *service = data;
    g_free(service->name);
    g_free(service->health_path);
    g_free(service);
}

ts_traffic_t *ts_traffic_create(uint64_t version)
{
    ts_traffic_t *traffic = g_new0(ts_traffic_t, 1);
    traffic->references = 1;
    traffic->version = version;
    traffic->limits = (ts_traffic_limits_t){DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEAD_MS,
                                            DEFAULT_IDLE_MS};
    traffic->routes = g_ptr_array_new_with_free_func(free_route);
    traffic->by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    traffic->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    traffic->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    traffic->tenants = ts_tenants_create();
    return traffic;
}

ts_traffic_t *ts_traffic_ref(ts_traffic_t *traffic)
{
    traffic->references++;
    return traffic;
}

void ts_traffic_unref(ts_traffic_t *traffic)
{
    if (traffic == NULL || --traffic->references > 0) {
        return;
    }
    g_hash_table_destroy(traffic->by_host);
    g_hash_table_destroy(traffic->by_name);
    g_hash_table_destroy(traffic->services);
    g_ptr_array_unref(traffic->routes);
    ts_tenants_free(traffic->tenants);
    g_free(traffic);
}

ts_traffic_route_t *ts_traffic_add_route(ts_traffic_t *traffic)
{
    ts_traffic_route_t *route = g_new0(ts_traffic_route_t, 1);
    route->targets = g_array_new(FALSE, TRUE, sizeof(ts_target_t));
    g_array_set_clear_func(route->targets, clear_target);
    route->attempts_max = 1;
    route->timeout_ms = DEFAULT_TIMEOUT_MS;
    g_ptr_array_add(traffic->routes, route);
    return route;
}

void ts_traffic_route_add_target(ts_traffic_route_t *route, const char *service, double weight)
{
    ts_target_t target = {g_strdup(service), weight};
    g_array_append_val(route->targets, target);
}

void ts_traffic_route_allow_region(ts_traffic_route_t *route, const char *region)
{
    if (route->regions == NULL)
        route->regions = g_ptr_array_new();
    g_ptr_array_add(route->regions, (gpointer)g_intern_string(region));
}

ts_traffic_service_t *ts_traffic_add_service(ts_traffic_t *traffic, const char *name)
{
    ts_traffic_service_t *service = g_new0(ts_traffic_service_t, 1);
    service->name = g_strdup(name);
    g_hash_table_replace(traffic->services, service->name, service);
    return service;
}

static bool has_duplicate_target(const ts_traffic_route_t *route)
{
    for (guint i = 1; i < route->targets->len; i++) {
        for (guint j = 0; j < i; j++) {
            if (strcmp(g_array_index(route->targets, ts_target_t, i).service,
                       g_array_index(route->targets, ts_target_t, j).service) == 0) {
                return true;
            }
        }
    }
    return false;
}

static bool has_unnamed_region(const ts_traffic_route_t *route)
{
    for (guint i = 0; i < route->regions->len; i++) {
        const char *region = g_ptr_array_index(route->regions, i);
        if (region == NULL || *region == '\0')
            return true;
    }
    return false;
}

static const char *find_route_error(const ts_traffic_route_t *route)
{
    if (route->name == NULL || route->host == NULL || *route->host == '\0') {
        return "a route needs a name and a host";
    }
    size_t length = route->prefix_length;
    if (length == 0 || route->prefix[0] != '/' || route->prefix[length - 1] != '/') {
        return "the prefix must begin and end with a slash";
    }
    if (route->targets->len == 0) {
        return "the route leads to no service";
    }
    if (route->kind == TS_TARGET_GATHER && has_duplicate_target(route)) {
        return "a shard is named twice";
    }
    if (route->kind == TS_TARGET_GATHER && !route->is_repeatable) {
        return "a request over shards must be repeatable";
    }
    if (route->coverage_min < 0 || route->coverage_min > 1) {
        return "the minimum coverage must be between 0 and 1";
    }
    if (route->regions != NULL && has_unnamed_region(route)) {
        return "allowed regions must be a list of names";
    }
    if (route->timeout_ms == 0 || route->attempts_max == 0) {
        return "timeout and attempts must be above zero";
    }
    return NULL;
}

static gint compare_prefixes(gconstpointer left, gconstpointer right)
{
    const ts_traffic_route_t *a = *(ts_traffic_route_t *const *)left;
    const ts_traffic_route_t *b = *(ts_traffic_route_t *const *)right;
    return (a->prefix_length < b->prefix_length) - (a->prefix_length > b->prefix_length);
}

static void index_route(ts_traffic_t *traffic, ts_traffic_route_t *route)
{
    GPtrArray *routes = g_hash_table_lookup(traffic->by_host, route->host);
    if (routes == NULL) {
        routes = g_ptr_array_new();
        g_hash_table_insert(traffic->by_host, route->host, routes);
    }
    g_ptr_array_add(routes, route);
    g_hash_table_insert(traffic->by_name, route->name, route);
}

ts_error_t ts_traffic_finish(ts_traffic_t *traffic, ts_problems_t *problems)
{
    ts_error_t result = ts_tenants_finish(traffic->tenants, problems);
    for (guint i = 0; i < traffic->routes->len; i++) {
        ts_traffic_route_t *route = g_ptr_array_index(traffic->routes, i);
        const char *reason = find_route_error(route);
        if (reason != NULL) {
            char path[32];
            g_snprintf(path, sizeof(path), "routes[%u]", i);
            ts_problems_add(problems, TS_E_INVALID, 0, path, "%s", reason);
            result = TS_E_INVALID;
        } else {
            index_route(traffic, route);
        }
    }
    GHashTableIter iterator;
    gpointer routes = NULL;
    g_hash_table_iter_init(&iterator, traffic->by_host);
    while (g_hash_table_iter_next(&iterator, NULL, &routes)) {
        g_ptr_array_sort(routes, compare_prefixes);
    }
    return result;
}

/* Converts to lower case and strips the port. Returns false if the host is too long. */
static bool normalize_host(const char *host, char *normal)
{
    size_t length = strcspn(host, ":");
    if (length >= HOST_MAX) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        normal[i] = g_ascii_tolower(host[i]);
    }
    normal[length] = '\0';
    return true;
}

const ts_traffic_route_t *ts_traffic_match(const ts_traffic_t *traffic, const char *host,
                                           const char *target)
{
    char normal[HOST_MAX];
    if (!normalize_host(host, normal)) {
        return NULL;
    }
    const GPtrArray *routes = g_hash_table_lookup(traffic->by_host, normal);
    size_t path_length = strcspn(target, "?#");
    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const ts_traffic_route_t *route = g_ptr_array_index(routes, i);
        if (route->prefix_length <= path_length &&
            memcmp(route->prefix, target, route->prefix_length) == 0) {
            return route;
        }
    }
    return NULL;
}

const ts_traffic_route_t *ts_traffic_find_route(const ts_traffic_t *traffic, const char *name)
{
    return g_hash_table_lookup(traffic->by_name, name);
}
