/** What a node learns about a route. */
#include "tealspar/route_state.h"

#define TYPICAL_QUANTILE 0.5
#define OVERDUE_QUANTILE 0.9
/* First guesses, as parts of the aim, until answers were seen. */
#define TYPICAL_GUESS_DIVISOR 10
#define OVERDUE_GUESS_DIVISOR 5
#define AIM_DEFAULT_MS 500
#define US_PER_MS 1000.0
/*
 * However late the latest tenth is, a send is overdue after this many times the median: when some
 * instances are slow, the quantile is theirs.
 */
#define OVERDUE_TYPICAL_MAX 2.5
/* Places in the order of a split where a node may begin: a split by hundredths repeats after these.
 */
#define PHASES 100U
/* An unfinished send counts as this much longer than the present estimate. */
#define OVERDUE_FACTOR 2.0

ts_route_state_t *ts_route_state_create(uint32_t aim_ms)
{
    ts_route_state_t *state = g_new0(ts_route_state_t, 1);
    double aim_us = (aim_ms > 0 ? aim_ms : AIM_DEFAULT_MS) * US_PER_MS;
    ts_quantile_init(&state->typical, TYPICAL_QUANTILE, aim_us / TYPICAL_GUESS_DIVISOR);
    ts_quantile_init(&state->overdue, OVERDUE_QUANTILE, aim_us / OVERDUE_GUESS_DIVISOR);
    state->credits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return state;
}

void ts_route_state_set_phase(ts_route_state_t *state, uint32_t random)
{
    state->turns_ahead = random % PHASES;
}

void ts_route_state_free(ts_route_state_t *state)
{
    for (int i = 0; i < TS_OUTCOME_COUNT; i++) {
        g_free(state->latencies[i]);
    }
    g_hash_table_destroy(state->credits);
    g_free(state);
}

void ts_route_state_note(ts_route_state_t *state, double span_us)
{
    ts_quantile_add(&state->typical, span_us);
    ts_quantile_add(&state->overdue, span_us);
}

void ts_route_state_note_overdue(ts_route_state_t *state)
{
    ts_quantile_add(&state->overdue, state->overdue.value_us * OVERDUE_FACTOR);
}

double ts_route_state_overdue_us(const ts_route_state_t *state)
{
    return MIN(state->overdue.value_us, OVERDUE_TYPICAL_MAX * state->typical.value_us);
}

const char *ts_route_outcome_name(ts_outcome_t outcome)
{
    static const char *const names[] = {"ok", "partial", "refused", "failed", "left"};
    return names[outcome];
}

void ts_route_state_count(ts_route_state_t *state, ts_outcome_t outcome, ts_time_us_t span_us)
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
    for (; route->kind == TS_TARGET_SPLIT && state->turns_ahead > 0; state->turns_ahead--)
        (void)take_turn(state, route);
    return take_turn(state, route);
}
