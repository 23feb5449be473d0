/**
 * Checks whether an instance accepts TCP connections: opens one and closes it again. A successful
 * and a refused connection are recorded in the instance (see ts_instance_liveness()); any other
 * error or a timeout records nothing.
 */
#ifndef TEALSPAR_INSTANCE_CHECK_H
#define TEALSPAR_INSTANCE_CHECK_H

#include <uv.h>

#include "tealspar/registry.h"

typedef struct ts_instance_checks ts_instance_checks_t;

ts_instance_checks_t *ts_instance_checks_create(uv_loop_t *loop);
/** Begins a check, unless the instance is being checked already or is known to have ended. */
void ts_instance_checks_begin(ts_instance_checks_t *checks, ts_instance_t *instance);

#endif
