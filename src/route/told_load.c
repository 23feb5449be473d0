/** What told load is worth. */
#include "tealspar/told_load.h"

#include <math.h>

/* Searchers share their machines with others, and their speed changes several times a second. */
#define TOLD_HALF_LIFE_US (150.0 * (double)TS_US_PER_MS)
#define USUAL_PERCENT 100.0

bool ts_told_load_is_idle(const ts_told_load_t *load)
{
    return load->told_us != 0 && load->running < load->slots && load->waiting == 0;
}

double ts_told_load_slowness(const ts_told_load_t *load, ts_time_us_t now_us)
{
    if (load->told_us == 0 || load->work_percent <= USUAL_PERCENT)
        return 1;
    double age_us = (double)(now_us - load->told_us);
    double surplus = load->work_percent / USUAL_PERCENT - 1;
    return 1 + surplus * exp2(-age_us / TOLD_HALF_LIFE_US);
}
