/** Selection of an instance. */
#include "tealspar/replica.h"

#include <glib.h>
#include <math.h>

#define SUSPECTED_COST_US 400000.0
#define AVOIDED_COST_US 600000.0
#define LEAVING_COST_US 1200000.0
#define WARMUP_FACTOR 1.6
/* Cost of a failed response, in service times: it takes a retry from the budget. */
#define FAILED_COST_RATIO 10.0
/* A suspected instance gets a probe request after this time since the last one. */
#define PROBE_INTERVAL_US (1000 * TS_US_PER_MS)
/* Requests per slot that all nodes together may have in flight at their lowest limits. */
#define MIN_REQUESTS_PER_SLOT 2.0
/* Random cost to break ties, as a share of the service time. */
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

ts_exclusion_t ts_replica_find_exclusion(const ts_instance_t *instance,
                                         const ts_replica_input_t *input)
{
    bool is_leaving = instance->is_draining || !instance->is_listed;
    if (!is_permitted(instance, input->regions))
        return TS_EXCLUSION_PLACEMENT;
    if (instance->is_evacuated)
        return TS_EXCLUSION_EVACUATION;
    if (is_leaving && input->now_us - instance->left_us >= input->drain_us)
        return TS_EXCLUSION_DRAINED;
    return TS_EXCLUSION_NONE;
}

bool ts_replica_is_usable(const ts_instance_t *instance, const ts_replica_input_t *input)
{
    return ts_replica_find_exclusion(instance, input) == TS_EXCLUSION_NONE;
}

bool ts_replica_is_excluded(const ts_service_t *service, const ts_replica_input_t *input)
{
    bool has_listed = false;
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        ts_exclusion_t exclusion = ts_replica_find_exclusion(instance, input);
        if (exclusion != TS_EXCLUSION_PLACEMENT && exclusion != TS_EXCLUSION_EVACUATION)
            return false;
        has_listed |= instance->is_listed;
    }
    return has_listed;
}

/* Expected queueing delay behind this node's requests in flight, in service times. */
static double queue_factor(const ts_instance_t *instance)
{
    double slots = instance->slots > 0 ? instance->slots : 1;
    double load = instance->in_flight / slots;
    return load < 1 ? load * load / 2 : load;
}

static bool is_probe_due(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return now_us - instance->suspect_sent_us > PROBE_INTERVAL_US;
}

/* Expected response time if the instance takes `ratio` times the typical service time. */
static double response_time_us(const ts_instance_t *instance, const ts_replica_input_t *input,
                               double ratio)
{
    double work_us = input->work_us * ratio;
    if (instance->warm_at_us > input->now_us) {
        work_us *= WARMUP_FACTOR;
    }
    return ts_rtt_estimate_us(instance->rtt) + work_us * (1 + queue_factor(instance));
}

double ts_replica_cost(const ts_instance_t *instance, const ts_replica_input_t *input)
{
    double ratio = ts_instance_latency_ratio(instance, input->now_us);
    double cost_us = response_time_us(instance, input, ratio);
    cost_us +=
        ts_instance_failure_rate(instance, input->now_us) * FAILED_COST_RATIO * input->work_us;
    if (instance->suspected_us != 0 && !is_probe_due(instance, input->now_us)) {
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
    bool is_warmup_limited = ts_instance_is_warmup_limited(instance, input->now_us);
    if (is_warmup_limited && !ts_cold_window_has_room(&instance->cold, input->now_us))
        return true;
    /* The limits of all nodes together always allow filling the slots and a queue of the same
     * length. */
    double slots_share = MIN_REQUESTS_PER_SLOT * instance->slots / (double)input->nodes;
    double limit_min = MAX(ceil(slots_share), 1);
    double limit =
        instance->limit > 0 ? MAX(floor(instance->limit), limit_min) : input->connections_max;
    return instance->in_flight >= MIN(limit, input->connections_max);
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

double ts_replica_response_time_us(const ts_service_t *service, const ts_replica_input_t *input)
{
    double shortest_us = 0;
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        if (!ts_replica_is_usable(instance, input))
            continue;
        double ratio = MAX(ts_instance_latency_ratio(instance, input->now_us), 1);
        double time_us = response_time_us(instance, input, ratio);
        if (shortest_us == 0 || time_us < shortest_us)
            shortest_us = time_us;
    }
    return shortest_us;
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

ts_replica_summary_t ts_replica_summarize(const ts_service_t *service,
                                          const ts_replica_input_t *input)
{
    ts_replica_summary_t summary = {.listed = service->instances->len};
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        ts_exclusion_t exclusion = ts_replica_find_exclusion(instance, input);
        bool is_usable = exclusion == TS_EXCLUSION_NONE;
        bool is_full = is_usable && ts_replica_is_full(instance, input);
        summary.in_flight += instance->in_flight;
        summary.misplaced += exclusion == TS_EXCLUSION_PLACEMENT;
        summary.evacuated += exclusion == TS_EXCLUSION_EVACUATION;
        summary.leaving += exclusion == TS_EXCLUSION_DRAINED;
        summary.full += is_full;
        summary.avoided += is_usable && !is_full && instance->avoid_until_us > input->now_us;
    }
    return summary;
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
