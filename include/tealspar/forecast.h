/**
 * Forecast for a request: when a backend of its service has room, and when its answer can be
 * expected. Depends only on the state that is passed in; does not read the clock.
 */
#ifndef TEALSPAR_FORECAST_H
#define TEALSPAR_FORECAST_H

#include "tealspar/replica.h"

typedef struct ts_forecast {
    double begin_in_us;  /**< time until the request can be sent; INFINITY: no usable instance */
    double answer_in_us; /**< time until its answer arrives; INFINITY: as above */
} ts_forecast_t;

/**
 * Turns that a request sent to the instance takes, as a multiple of its work: 1 if a slot is free,
 * more if it is queued behind `in_flight` requests of this node.
 */
double ts_forecast_turns(const ts_instance_t *instance, uint32_t in_flight);
/**
 * Forecast for a request behind `ahead` others that wait for the same service. `input->work_us`:
 * its work; 0: unknown, it is then assumed that room comes at once and that the work takes no time.
 */
ts_forecast_t ts_forecast_request(const ts_service_t *service, const ts_replica_input_t *input,
                                  unsigned ahead);

#endif
