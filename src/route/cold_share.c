/** Rate limit for cold instances. */
#include "tealspar/cold_share.h"

#include <math.h>
#include <string.h>

#include "tealspar/connection_share.h"

/*
 * The window covers the current slice and the five before it, at least 1.25 s. This keeps requests
 * of two windows from arriving within the same second when some have a longer network delay.
 */
#define SLICE_US (250 * TS_US_PER_MS)

uint32_t ts_cold_share(const ts_cold_rule_t *rule, double rate, const ts_fleet_index_t *fleet)
{
    uint32_t bound = (uint32_t)floor(rate * rule->overrun + rule->slack);
    unsigned index = fleet->is_stable ? fleet->index : fleet->nodes;
    return ts_connection_share(bound, fleet->nodes, index);
}

bool ts_cold_window_has_room(const ts_cold_window_t *window, ts_time_us_t now_us)
{
    uint64_t slice = now_us / SLICE_US;
    uint32_t sent = 0;
    for (unsigned i = 0; i < TS_COLD_SLICES; i++) {
        bool is_recent = window->latest >= i && window->latest - i + TS_COLD_SLICES > slice;
        sent += is_recent ? window->sent[(window->latest - i) % TS_COLD_SLICES] : 0;
    }
    return sent < window->share;
}

void ts_cold_window_count(ts_cold_window_t *window, ts_time_us_t now_us)
{
    uint64_t slice = now_us / SLICE_US;
    if (slice - window->latest >= TS_COLD_SLICES)
        memset(window->sent, 0, sizeof(window->sent));
    for (uint64_t i = window->latest + 1; i <= slice && slice - window->latest < TS_COLD_SLICES;
         i++)
        window->sent[i % TS_COLD_SLICES] = 0;
    window->latest = slice;
    window->sent[slice % TS_COLD_SLICES]++;
}
