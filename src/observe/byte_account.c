/** Byte counters by cause and distance. */
#include "tealspar/byte_account.h"

static uint64_t counters[TS_BYTE_CAUSES][TS_DISTANCE_COUNT];

static const char *const distance_names[TS_DISTANCE_COUNT] = {"zone", "region", "far"};

#define TS_BYTE_CAUSE_NAME(symbol, name, description) name,
static const char *const cause_names[] = {TS_BYTE_CAUSE_TABLE(TS_BYTE_CAUSE_NAME)};
#undef TS_BYTE_CAUSE_NAME

void ts_byte_account_add(ts_byte_cause_t cause, ts_distance_t distance, size_t bytes)
{
    counters[cause][distance] += bytes;
}

uint64_t ts_byte_account_get(ts_byte_cause_t cause, ts_distance_t distance)
{
    return counters[cause][distance];
}

void ts_byte_account_write(GString *out)
{
    g_string_append(out, "# HELP tealspar_bytes_total bytes sent and received, by cause, to the "
                         "zone, the region or further\n"
                         "# TYPE tealspar_bytes_total counter\n");
    for (unsigned cause = 0; cause < TS_BYTE_CAUSES; cause++) {
        for (unsigned distance = 0; distance < TS_DISTANCE_COUNT; distance++)
            g_string_append_printf(
                out, "tealspar_bytes_total{cause=\"%s\",distance=\"%s\"} %" G_GUINT64_FORMAT "\n",
                cause_names[cause], distance_names[distance], counters[cause][distance]);
    }
}
