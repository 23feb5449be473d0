/** Mechanisms that can be switched off. */
#include "tealspar/mechanism.h"

static uint32_t off_bits;

void ts_mechanisms_set_off(uint32_t bits)
{
    off_bits = bits;
}

bool ts_mechanism_is_on(ts_mechanism_t mechanism)
{
    return (off_bits >> mechanism & 1U) == 0;
}
