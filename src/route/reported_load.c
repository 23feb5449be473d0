/** Load reported by a backend. */
#include "tealspar/reported_load.h"

bool ts_reported_load_is_idle(const ts_reported_load_t *load)
{
    return load->reported_us != 0 && load->running < load->slots && load->waiting == 0;
}
