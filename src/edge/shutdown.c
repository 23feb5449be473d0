/** Schedule of a graceful shutdown. */
#include "tealspar/shutdown.h"

/* Clients still open connections after a stop signal. The listener stays open for this long, or for
 * 2/3 of the time until the exit if the process must exit earlier. */
#define ACCEPTING_US (3500 * TS_US_PER_MS)
/* At the end of the grace period the process is killed. It exits at the latest this long before, or
 * at half of a grace period that is not longer than twice this value. */
#define EXIT_MARGIN_US (400 * TS_US_PER_MS)

void ts_shutdown_begin(ts_shutdown_t *shutdown, ts_time_us_t now_us, ts_time_us_t grace_us)
{
    if (shutdown->phase != TS_SHUTDOWN_NONE)
        return;
    ts_time_us_t exit_us = grace_us > 2 * EXIT_MARGIN_US ? grace_us - EXIT_MARGIN_US : grace_us / 2;
    ts_time_us_t accepting_us = ACCEPTING_US < exit_us ? ACCEPTING_US : exit_us * 2 / 3;
    shutdown->phase = TS_SHUTDOWN_ACCEPTING;
    shutdown->close_listener_us = now_us + accepting_us;
    shutdown->exit_us = now_us + exit_us;
}

ts_shutdown_phase_t ts_shutdown_advance(ts_shutdown_t *shutdown, ts_time_us_t now_us, bool is_idle)
{
    if (shutdown->phase == TS_SHUTDOWN_ACCEPTING && now_us > shutdown->close_listener_us)
        shutdown->phase = TS_SHUTDOWN_CLOSING;
    if (shutdown->phase == TS_SHUTDOWN_CLOSING && (is_idle || now_us > shutdown->exit_us))
        shutdown->phase = TS_SHUTDOWN_ENDED;
    return shutdown->phase;
}
