/** Routing mechanisms that can be disabled. */
#include "tealspar/mechanism.h"

static uint32_t disabled_bits;

void ts_mechanisms_set_off(uint32_t bits)
{
    disabled_bits = bits;
}

bool ts_mechanism_is_on(ts_mechanism_t mechanism)
{
    return (disabled_bits >> mechanism & 1U) == 0;
}
