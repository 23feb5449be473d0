/** Schedule of a graceful shutdown. */
#include "tealspar/shutdown.h"

/* Clients still open connections after a stop signal. The listener stays open for this long, or for
 * 2/3 of the time until requests must be answered if that is less. */
#define ACCEPTING_US (3500 * TS_US_PER_MS)
/* At the end of the grace period the process is killed. Requests are answered at the latest this
 * long before, and the process exits at the latest after half of it, so that clients can read the
 * last answers. In a grace period of at most twice this margin, half of it is the margin. */
#define ANSWER_MARGIN_US (400 * TS_US_PER_MS)

void ts_shutdown_begin(ts_shutdown_t *shutdown, ts_time_us_t now_us, ts_time_us_t grace_us)
{
    if (shutdown->phase != TS_SHUTDOWN_NONE)
        return;
    ts_time_us_t margin_us = grace_us > 2 * ANSWER_MARGIN_US ? ANSWER_MARGIN_US : grace_us / 2;
    ts_time_us_t answering_us = grace_us - margin_us;
    ts_time_us_t accepting_us = ACCEPTING_US < answering_us ? ACCEPTING_US : answering_us * 2 / 3;
    shutdown->phase = TS_SHUTDOWN_ACCEPTING;
    shutdown->close_listener_us = now_us + accepting_us;
    shutdown->answer_by_us = now_us + answering_us;
    shutdown->exit_us = now_us + grace_us - margin_us / 2;
}

/* The phase that follows the current one at this time, or the current one. */
static ts_shutdown_phase_t next_phase(const ts_shutdown_t *shutdown, ts_time_us_t now_us,
                                      bool is_idle)
{
    switch (shutdown->phase) {
    case TS_SHUTDOWN_ACCEPTING:
        return now_us > shutdown->close_listener_us ? TS_SHUTDOWN_CLOSING : shutdown->phase;
    case TS_SHUTDOWN_CLOSING:
        if (is_idle)
            return TS_SHUTDOWN_ENDED;
        return now_us > shutdown->answer_by_us ? TS_SHUTDOWN_FLUSHING : shutdown->phase;
    case TS_SHUTDOWN_FLUSHING:
        return is_idle || now_us > shutdown->exit_us ? TS_SHUTDOWN_ENDED : shutdown->phase;
    case TS_SHUTDOWN_NONE:
    case TS_SHUTDOWN_ENDED:
        break;
    }
    return shutdown->phase;
}

ts_shutdown_phase_t ts_shutdown_advance(ts_shutdown_t *shutdown, ts_time_us_t now_us, bool is_idle)
{
    shutdown->phase = next_phase(shutdown, now_us, is_idle);
    return shutdown->phase;
}

ts_time_us_t ts_shutdown_answer_by_us(const ts_shutdown_t *shutdown)
{
    return shutdown->phase == TS_SHUTDOWN_NONE ? UINT64_MAX : shutdown->answer_by_us;
}
