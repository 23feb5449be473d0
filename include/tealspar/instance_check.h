/**
 * Whether a back end still takes connections, asked by opening one and closing it. What comes of it
 * is noted with the instance, see ts_instance_liveness.
 */
#ifndef TEALSPAR_INSTANCE_CHECK_H
#define TEALSPAR_INSTANCE_CHECK_H

#include <uv.h>

#include "tealspar/registry.h"

typedef struct ts_instance_checks ts_instance_checks_t;

ts_instance_checks_t *ts_instance_checks_create(uv_loop_t *loop);
/** Begins a check, unless one of this instance is under way. */
void ts_instance_checks_begin(ts_instance_checks_t *checks, ts_instance_t *instance);

#endif
