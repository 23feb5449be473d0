/** Clock based on CLOCK_BOOTTIME and CLOCK_REALTIME. */
#include "tealspar/clock.h"

#include <stddef.h>
#include <time.h>

#define NS_PER_US 1000
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static ts_time_us_t (*source_now_us)(void);
static int64_t (*source_wall_ms)(void);

void ts_clock_set_source(ts_time_us_t (*now_us)(void), int64_t (*wall_ms)(void))
{
    source_now_us = now_us;
    source_wall_ms = wall_ms;
}

ts_time_us_t ts_clock_now_us(void)
{
    if (source_now_us != NULL) {
        return source_now_us();
    }
    struct timespec now;
    (void)clock_gettime(CLOCK_BOOTTIME, &now); // cannot fail on supported kernels
    return (ts_time_us_t)now.tv_sec * TS_US_PER_S + (ts_time_us_t)(now.tv_nsec / NS_PER_US);
}

int64_t ts_clock_wall_ms(void)
{
    if (source_wall_ms != NULL) {
        return source_wall_ms();
    }
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}
