/** Per-route statistics and weighted round robin of a node. */
#include "tealspar/route_state.h"

#define MEDIAN_QUANTILE 0.5
#define OVERDUE_QUANTILE 0.9
/* Initial estimates: the route's target latency divided by these. */
#define MEDIAN_GUESS_DIVISOR 10
#define OVERDUE_GUESS_DIVISOR 5
#define TARGET_LATENCY_DEFAULT_MS 500
#define US_PER_MS 1000.0
/*
 * Upper bound on the overdue time, as a multiple of the median. When some instances are slow, the
 * 0.9 quantile is their response time, and none of their requests would count as overdue.
 */
#define OVERDUE_MEDIANS_MAX 2.5
/* Number of starting positions of the round robin. With weights in percent it repeats after 100
 * turns. */
#define START_POSITIONS 100U
/* Response time assumed for an overdue request, as a multiple of the overdue quantile. */
#define OVERDUE_FACTOR 2.0

ts_route_state_t *ts_route_state_create(uint32_t target_latency_ms)
{
    ts_route_state_t *state = g_new0(ts_route_state_t, 1);
    double target_latency_us =
        (target_latency_ms > 0 ? target_latency_ms : TARGET_LATENCY_DEFAULT_MS) * US_PER_MS;
    ts_quantile_init(&state->median, MEDIAN_QUANTILE, target_latency_us / MEDIAN_GUESS_DIVISOR);
    ts_quantile_init(&state->overdue, OVERDUE_QUANTILE, target_latency_us / OVERDUE_GUESS_DIVISOR);
    state->credits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return state;
}

void ts_route_state_set_start(ts_route_state_t *state, uint32_t random)
{
    state->turns_to_skip = random % START_POSITIONS;
}

void ts_route_state_free(ts_route_state_t *state)
{
    for (int i = 0; i < TS_OUTCOME_COUNT; i++) {
        g_free(state->latencies[i]);
    }
    g_hash_table_destroy(state->credits);
    g_free(state);
}

void ts_route_state_add_response_time(ts_route_state_t *state, double response_time_us)
{
    ts_quantile_add(&state->median, response_time_us);
    ts_quantile_add(&state->overdue, response_time_us);
}

double ts_route_state_long_us(const ts_route_state_t *state, double quantile)
{
    const ts_histogram_t *latencies = state->latencies[TS_OUTCOME_OK];
    ts_time_us_t latency_us = latencies == NULL ? 0 : ts_histogram_quantile(latencies, quantile);
    return MAX((double)latency_us, state->overdue.value_us);
}

void ts_route_state_add_overdue(ts_route_state_t *state)
{
    ts_quantile_add(&state->overdue, state->overdue.value_us * OVERDUE_FACTOR);
}

double ts_route_state_overdue_us(const ts_route_state_t *state)
{
    return MIN(state->overdue.value_us, OVERDUE_MEDIANS_MAX * state->median.value_us);
}

const char *ts_route_outcome_name(ts_outcome_t outcome)
{
    static const char *const names[] = {"ok", "partial", "refused", "failed", "left"};
    return names[outcome];
}

void ts_route_state_record_outcome(ts_route_state_t *state, ts_outcome_t outcome,
                                   ts_time_us_t latency_us)
{
    if (state->latencies[outcome] == NULL) {
        state->latencies[outcome] = g_new0(ts_histogram_t, 1);
    }
    ts_histogram_add(state->latencies[outcome], latency_us);
}

static double *ensure_credit(ts_route_state_t *state, const char *service)
{
    double *credit = g_hash_table_lookup(state->credits, service);
    if (credit == NULL) {
        credit = g_new0(double, 1);
        g_hash_table_insert(state->credits, g_strdup(service), credit);
    }
    return credit;
}

static const char *take_turn(ts_route_state_t *state, const ts_traffic_route_t *route)
{
    const ts_target_t *best = NULL;
    double best_credit = 0;
    double total = 0;
    for (guint i = 0; i < route->targets->len; i++) {
        const ts_target_t *target = &g_array_index(route->targets, ts_target_t, i);
        double *credit = ensure_credit(state, target->service);
        *credit += target->weight;
        total += target->weight;
        if (target->weight > 0 && (best == NULL || *credit > best_credit)) {
            best = target;
            best_credit = *credit;
        }
    }
    if (best == NULL) { // all weights are 0
        return g_array_index(route->targets, ts_target_t, 0).service;
    }
    *ensure_credit(state, best->service) -= total;
    return best->service;
}

const char *ts_route_state_next_target(ts_route_state_t *state, const ts_traffic_route_t *route)
{
    // The turns are skipped here, as the targets are not known when the start is drawn.
    for (; route->kind == TS_TARGET_SPLIT && state->turns_to_skip > 0; state->turns_to_skip--)
        (void)take_turn(state, route);
    return take_turn(state, route);
}
