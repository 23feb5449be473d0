/**
 * The clock. All times inside a process are microseconds of one monotonic clock that goes on while
 * the machine is suspended, so that a belief is as old after it has woken as it is elsewhere.
 * Policy code never reads it but is given `now_us`, so that tests, the emulator and the fuzzer run
 * on a virtual one. The loop's timers stand still meanwhile: they pace work, and what they wake
 * looks at this clock; see tealspar/wake.h.
 */
#ifndef TEALSPAR_CLOCK_H
#define TEALSPAR_CLOCK_H

#include <stdint.h>

/** A point or a span of monotonic time, in microseconds. */
typedef uint64_t ts_time_us_t;

#define TS_US_PER_MS 1000ULL
#define TS_US_PER_S 1000000ULL

/** Monotonic time of this machine in microseconds; the origin means nothing. */
ts_time_us_t ts_clock_now_us(void);
/** Wall-clock time in milliseconds since 1970, used only where another party's clock is compared.
 */
int64_t ts_clock_wall_ms(void);

/** Puts other clocks in the place of the machine's (the simulator); NULL puts the machine's back.
 */
void ts_clock_set_source(ts_time_us_t (*now_us)(void), int64_t (*wall_ms)(void));

#endif
