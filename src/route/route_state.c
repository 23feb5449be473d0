/** Per-route statistics of a node. */
#include "tealspar/route_state.h"

#define MEDIAN_QUANTILE 0.5
#define OVERDUE_QUANTILE 0.9
/* Initial estimates, as fractions of the route's target latency. */
#define MEDIAN_GUESS_DIVISOR 10
#define OVERDUE_GUESS_DIVISOR 5
#define TARGET_LATENCY_DEFAULT_MS 500
#define US_PER_MS 1000.0
/*
 * Upper bound on the overdue time, in medians: when some instances are slow, the quantile is the
 * response time of the slow ones.
 */
#define OVERDUE_MEDIANS_MAX 2.5
/* Starting positions of the round robin. With weights in percent it repeats after 100 turns. */
#define PHASES 100U
/* A request that is still unanswered counts as this multiple of the overdue estimate. */
#define OVERDUE_FACTOR 2.0

ts_route_state_t *ts_route_state_create(uint32_t target_latency_ms)
{
    ts_route_state_t *state = g_new0(ts_route_state_t, 1);
    double target_us =
        (target_latency_ms > 0 ? target_latency_ms : TARGET_LATENCY_DEFAULT_MS) * US_PER_MS;
    ts_quantile_init(&state->median, MEDIAN_QUANTILE, target_us / MEDIAN_GUESS_DIVISOR);
    ts_quantile_init(&state->overdue, OVERDUE_QUANTILE, target_us / OVERDUE_GUESS_DIVISOR);
    state->credits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return state;
}

void ts_route_state_set_start(ts_route_state_t *state, uint32_t random)
{
    state->turns_to_skip = random % PHASES;
}

void ts_route_state_free(ts_route_state_t *state)
{
    for (int i = 0; i < TS_OUTCOME_COUNT; i++) {
        g_free(state->latencies[i]);
    }
    g_hash_table_destroy(state->credits);
    g_free(state);
}

void ts_route_state_add_latency(ts_route_state_t *state, double span_us)
{
    ts_quantile_add(&state->median, span_us);
    ts_quantile_add(&state->overdue, span_us);
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
                                   ts_time_us_t span_us)
{
    if (state->latencies[outcome] == NULL) {
        state->latencies[outcome] = g_new0(ts_histogram_t, 1);
    }
    ts_histogram_add(state->latencies[outcome], span_us);
}

static double *find_credit(ts_route_state_t *state, const char *service)
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
        double *credit = find_credit(state, target->service);
        *credit += target->weight;
        total += target->weight;
        if (target->weight > 0 && (best == NULL || *credit > best_credit)) {
            best = target;
            best_credit = *credit;
        }
    }
    if (best == NULL) {
        return g_array_index(route->targets, ts_target_t, 0).service;
    }
    *find_credit(state, best->service) -= total;
    return best->service;
}

const char *ts_route_state_next_target(ts_route_state_t *state, const ts_traffic_route_t *route)
{
    for (; route->kind == TS_TARGET_SPLIT && state->turns_to_skip > 0; state->turns_to_skip--)
        (void)take_turn(state, route);
    return take_turn(state, route);
}
