/**
 * The clock. All times inside a process are microseconds of one monotonic clock that keeps running
 * while the machine is suspended, so that the age of state is right after the machine resumes.
 * Policy code does not read the clock but gets `now_us` as an argument, so that tests, the emulator
 * and the fuzzer can use a virtual clock. Loop timers do not advance during a suspension: they only
 * trigger work, and their callbacks check this clock; see tealspar/stall_detector.h.
 */
#ifndef TEALSPAR_CLOCK_H
#define TEALSPAR_CLOCK_H

#include <stdint.h>

/** A monotonic time or a duration, in microseconds. */
typedef uint64_t ts_time_us_t;

#define TS_US_PER_MS 1000ULL
#define TS_US_PER_S 1000000ULL

/** Monotonic time of this machine in microseconds; the origin is arbitrary. */
ts_time_us_t ts_clock_now_us(void);
/** Unix time in milliseconds, used only for comparison with another machine's clock. */
int64_t ts_clock_wall_ms(void);

/** Replaces the system clocks, for the simulator. NULL restores a system clock. */
void ts_clock_set_source(ts_time_us_t (*now_us)(void), int64_t (*wall_ms)(void));

#endif
