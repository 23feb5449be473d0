/** Wraps the wall clock of `tealspar` at link time and adds LAB_CLOCK_SKEW_MS to it. */
#include <stdint.h>
#include <stdlib.h>

int64_t __real_ts_clock_wall_ms(void); // NOLINT(bugprone-reserved-identifier)
int64_t __wrap_ts_clock_wall_ms(void); // NOLINT(bugprone-reserved-identifier)

int64_t __wrap_ts_clock_wall_ms(void) // NOLINT(bugprone-reserved-identifier)
{
    const char *skew = getenv("LAB_CLOCK_SKEW_MS");
    return __real_ts_clock_wall_ms() + (skew == NULL ? 0 : strtol(skew, NULL, 10));
}
