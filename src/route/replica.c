/** The choice of an instance. */
#include "tealspar/replica.h"

#include <glib.h>
#include <math.h>

#define SUSPECTED_COST_US 400000.0
#define AVOIDED_COST_US 600000.0
#define LEAVING_COST_US 1200000.0
#define WARMUP_FACTOR 1.6
/* What a failed answer costs, in times of such a request: it is sent once more, from the budget. */
#define FAILED_COST_RATIO 10.0
/* A suspected instance is given one request after so long without an answer. */
#define RETRY_SUSPECTED_US (1000 * TS_US_PER_MS)
/* How often the nodes together fill an instance's slots when their limits are at the lowest. */
#define SLOTS_FILLED 2.0
#define TIE_SHARE 0.04
#define RANDOM_RANGE 1024U

static bool is_permitted(const ts_instance_t *instance, const GPtrArray *regions)
{
    for (guint i = 0; regions != NULL && i < regions->len; i++) {
        if (g_ptr_array_index(regions, i) == instance->region)
            return true;
    }
    return regions == NULL;
}

ts_obstacle_t ts_replica_find_obstacle(const ts_instance_t *instance,
                                       const ts_replica_input_t *input)
{
    bool is_leaving = instance->is_draining || !instance->is_listed;
    if (!is_permitted(instance, input->regions))
        return TS_OBSTACLE_PLACEMENT;
    if (instance->is_evacuated)
        return TS_OBSTACLE_EVACUATION;
    if (is_leaving && input->now_us - instance->left_us >= input->drain_us)
        return TS_OBSTACLE_LEAVING;
    return TS_OBSTACLE_NONE;
}

bool ts_replica_is_usable(const ts_instance_t *instance, const ts_replica_input_t *input)
{
    return ts_replica_find_obstacle(instance, input) == TS_OBSTACLE_NONE;
}

bool ts_replica_is_excluded(const ts_service_t *service, const ts_replica_input_t *input)
{
    bool has_listed = false;
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        ts_obstacle_t obstacle = ts_replica_find_obstacle(instance, input);
        if (obstacle != TS_OBSTACLE_PLACEMENT && obstacle != TS_OBSTACLE_EVACUATION)
            return false;
        has_listed |= instance->is_listed;
    }
    return has_listed;
}

/* Share of a service time that new work waits for what this node has there already. */
static double queue_factor(const ts_instance_t *instance)
{
    double slots = instance->slots > 0 ? instance->slots : 1;
    double load = instance->in_flight / slots;
    return load < 1 ? load * load / 2 : load;
}

static bool is_due_for_trial(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return now_us - instance->suspect_sent_us > RETRY_SUSPECTED_US;
}

double ts_replica_cost(const ts_instance_t *instance, const ts_replica_input_t *input)
{
    double work_us = input->work_us * ts_instance_slowness(instance, input->now_us);
    if (instance->warm_at_us > input->now_us) {
        work_us *= WARMUP_FACTOR;
    }
    double cost_us = ts_travel_us(instance->rtt) + work_us * (1 + queue_factor(instance));
    cost_us += ts_instance_failing(instance, input->now_us) * FAILED_COST_RATIO * input->work_us;
    if (instance->suspected_us != 0 && !is_due_for_trial(instance, input->now_us)) {
        cost_us += SUSPECTED_COST_US;
    }
    if (instance->avoid_until_us > input->now_us) {
        cost_us += AVOIDED_COST_US;
    }
    if (instance->is_draining || !instance->is_listed) {
        cost_us += LEAVING_COST_US;
    }
    return cost_us;
}

bool ts_replica_is_full(const ts_instance_t *instance, const ts_replica_input_t *input)
{
    bool is_bound = ts_instance_is_warmup_limited(instance, input->now_us);
    if (is_bound && !ts_cold_window_has_room(&instance->cold, input->now_us))
        return true;
    /* Whatever was learned, the nodes together may fill the instance's slots and queue as much. */
    double slots_share = SLOTS_FILLED * instance->slots / (double)input->nodes;
    double least = MAX(ceil(slots_share), 1);
    double learned =
        instance->limit > 0 ? MAX(floor(instance->limit), least) : input->connections_max;
    return instance->in_flight >= MIN(learned, input->connections_max);
}

static bool is_among(const ts_instance_t *instance, ts_instance_t *const *tried, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        if (tried[i] == instance) {
            return true;
        }
    }
    return false;
}

ts_instance_t *ts_replica_choose(const ts_service_t *service, const ts_replica_input_t *input,
                                 ts_instance_t *const *tried, unsigned tried_count)
{
    ts_instance_t *best = NULL;
    double best_cost_us = 0;
    uint32_t random = input->random;
    for (guint i = 0; i < service->instances->len; i++) {
        ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        if (!ts_replica_is_usable(instance, input) || is_among(instance, tried, tried_count) ||
            ts_replica_is_full(instance, input)) {
            continue;
        }
        random = random * 1664525U + 1013904223U;
        double tie = TIE_SHARE * ((random >> 16) % RANDOM_RANGE) / RANDOM_RANGE;
        double cost_us = ts_replica_cost(instance, input) + tie * input->work_us;
        if (best == NULL || cost_us < best_cost_us) {
            best = instance;
            best_cost_us = cost_us;
        }
    }
    if (best != NULL && best->suspected_us != 0) {
        best->suspect_sent_us = input->now_us;
    }
    return best;
}

bool ts_replica_is_any_free(const ts_service_t *service, const ts_replica_input_t *input)
{
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        if (ts_replica_is_usable(instance, input) && !ts_replica_is_full(instance, input) &&
            instance->avoid_until_us <= input->now_us) {
            return true;
        }
    }
    return false;
}

ts_replica_census_t ts_replica_count(const ts_service_t *service, const ts_replica_input_t *input)
{
    ts_replica_census_t census = {.listed = service->instances->len};
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        ts_obstacle_t obstacle = ts_replica_find_obstacle(instance, input);
        bool is_usable = obstacle == TS_OBSTACLE_NONE;
        bool is_full = is_usable && ts_replica_is_full(instance, input);
        census.in_flight += instance->in_flight;
        census.misplaced += obstacle == TS_OBSTACLE_PLACEMENT;
        census.evacuated += obstacle == TS_OBSTACLE_EVACUATION;
        census.leaving += obstacle == TS_OBSTACLE_LEAVING;
        census.full += is_full;
        census.avoided += is_usable && !is_full && instance->avoid_until_us > input->now_us;
    }
    return census;
}

bool ts_replica_is_worth_waiting(const ts_service_t *service, const ts_replica_input_t *input,
                                 ts_instance_t *const *tried, unsigned tried_count)
{
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        if (ts_replica_is_usable(instance, input) && !is_among(instance, tried, tried_count) &&
            ts_replica_is_full(instance, input)) {
            return true;
        }
    }
    return false;
}
