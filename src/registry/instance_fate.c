/** Liveness of an instance after the connection of a send to it broke. */
#include <inttypes.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/registry.h"

/* An instance that has neither accepted nor refused a connection this long after the break counts
 * as ended. */
#define LIVENESS_TIMEOUT_US TS_US_PER_S

void ts_instance_note_connected(ts_instance_t *instance, ts_time_us_t begun_us)
{
    instance->connect_begun_us = MAX(instance->connect_begun_us, begun_us);
}

void ts_instance_note_ended(ts_instance_t *instance)
{
    if (instance->has_ended)
        return;
    instance->has_ended = true;
    ts_count(TS_COUNTER_INSTANCES_ENDED, 1);
    ts_log(TS_EVENT_BACKEND_STATE, "instance=%s born=%" PRIu64 " service=%s zone=%s state=ended",
           instance->id, instance->born_ms, instance->service->name, instance->zone);
}

ts_instance_liveness_t ts_instance_liveness(const ts_instance_t *instance, ts_time_us_t since_us,
                                            ts_time_us_t now_us)
{
    if (instance->has_ended)
        return TS_LIVENESS_ENDED;
    if (instance->connect_begun_us != 0 && instance->connect_begun_us >= since_us)
        return TS_LIVENESS_ALIVE;
    return now_us - since_us > LIVENESS_TIMEOUT_US ? TS_LIVENESS_ENDED : TS_LIVENESS_UNKNOWN;
}
