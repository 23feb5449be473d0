/** Forecast of room and answers at the instances of a service. */
#include "tealspar/forecast.h"

#include <math.h>

/* Expected ends of requests at the busy instances of a service. */
typedef struct room {
    double rate;       /* requests that end per microsecond */
    double credit;     /* of the next end, the share of its interval that has passed, summed */
    double avoided_us; /* time until an instance with room is no longer avoided */
    double after_us;  /* from the start of a request there until its answer, at the best instance */
    bool is_any_time; /* an instance limits the rate of requests, not their number */
} room_t;

double ts_forecast_turns(const ts_instance_t *instance, uint32_t in_flight)
{
    if (instance->slots == 0)
        return 1;
    return ceil((in_flight + 1.0) / instance->slots);
}

static double answer_after_us(const ts_instance_t *instance, const ts_replica_input_t *input,
                              uint32_t in_flight)
{
    return ts_rtt_estimate_us(instance->rtt) +
           input->work_us * ts_forecast_turns(instance, in_flight);
}

/*
 * Adds a full instance. Its requests end at intervals of the work divided by the slots in use. If
 * it has not answered for longer than that, its requests are expected to take as much longer as
 * they are overdue: the longer it has been silent, the less is expected of it.
 */
static void add_busy(room_t *room, const ts_instance_t *instance, const ts_replica_input_t *input)
{
    double in_use = instance->in_flight;
    if (instance->slots > 0)
        in_use = MIN(in_use, instance->slots);
    double interval_us = MAX(input->work_us / in_use, 1);
    double silent_us = (double)(input->now_us - MIN(instance->progress_us, input->now_us));
    double overdue_us = silent_us - input->work_us;
    room->rate += overdue_us > input->work_us ? in_use / overdue_us : 1 / interval_us;
    room->credit += MAX(1 - fabs(silent_us - interval_us) / interval_us, 0);
    room->after_us = MIN(room->after_us, answer_after_us(instance, input, instance->in_flight - 1));
}

static void add_instance(room_t *room, const ts_instance_t *instance,
                         const ts_replica_input_t *input)
{
    bool is_full = ts_replica_is_full(instance, input);
    if (is_full && instance->in_flight > 0) {
        add_busy(room, instance, input);
        return;
    }
    room->is_any_time |= is_full;
    if (!is_full)
        room->avoided_us =
            MIN(room->avoided_us, (double)(instance->avoid_until_us - input->now_us));
    room->after_us = MIN(room->after_us, answer_after_us(instance, input, instance->in_flight));
}

static double room_in_us(const room_t *room, unsigned ahead)
{
    double in_us = room->avoided_us;
    if (room->is_any_time)
        in_us = 0;
    if (room->rate > 0)
        in_us = MIN(in_us, MAX(ahead + 1 - room->credit, 0) / room->rate);
    return in_us;
}

/* Time until the answer if the request is sent now; INFINITY: there is no room. */
static double answer_now_us(const ts_service_t *service, const ts_replica_input_t *input)
{
    double shortest_us = INFINITY;
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        if (ts_replica_is_usable(instance, input) && !ts_replica_is_full(instance, input) &&
            instance->avoid_until_us <= input->now_us)
            shortest_us = MIN(shortest_us, answer_after_us(instance, input, instance->in_flight));
    }
    return shortest_us;
}

ts_forecast_t ts_forecast_request(const ts_service_t *service, const ts_replica_input_t *input,
                                  unsigned ahead)
{
    room_t room = {.avoided_us = INFINITY, .after_us = INFINITY};
    double now_us = answer_now_us(service, input);
    if (isfinite(now_us))
        return (ts_forecast_t){0, now_us};
    for (guint i = 0; i < service->instances->len; i++) {
        const ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        if (ts_replica_is_usable(instance, input))
            add_instance(&room, instance, input);
    }
    double in_us = room_in_us(&room, ahead);
    if (input->work_us <= 0 && isfinite(in_us))
        in_us = 0;
    return (ts_forecast_t){in_us, in_us + room.after_us};
}
