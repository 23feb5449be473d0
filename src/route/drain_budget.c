/** Division of a leaving backend's time. */
#include "tealspar/drain_budget.h"

ts_drain_budget_t ts_drain_budget(uint32_t drain_ms)
{
    return (ts_drain_budget_t){
        .watch_ms = drain_ms / 2,
        .answer_ms = drain_ms / 8,
        .standby_ms = drain_ms / 2 + drain_ms / 10,
        .send_ms = drain_ms - drain_ms / 10, // the rest is for the way to the backend
    };
}
