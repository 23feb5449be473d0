/** The usual patience of callers. */
#include "tealspar/patience.h"

#include <glib.h>

/* Less patience than this part of the usual tells that a caller came back; the rest is rounding. */
#define RETURNED_SHARE 0.95
/* Of so many callers one may have an unusual patience, and so many of all that are remembered. */
#define UNUSUAL_EVERY 4U
#define UNUSUAL_MOST 3U

void ts_patience_note(ts_patience_t *patience, uint32_t patience_ms)
{
    if (patience_ms == 0)
        return;
    patience->latest_ms[patience->count % TS_PATIENCE_SAMPLES] = patience_ms;
    patience->count++;
}

/* Whether `value_ms` is at least as long as all but `unusual` of the latest. */
static bool is_usual(const ts_patience_t *patience, uint32_t known, uint32_t value_ms,
                     uint32_t unusual)
{
    uint32_t longer = 0;
    for (uint32_t i = 0; i < known; i++)
        longer += patience->latest_ms[i] > value_ms;
    return longer <= unusual;
}

uint32_t ts_patience_usual_ms(const ts_patience_t *patience)
{
    uint32_t known = MIN(patience->count, TS_PATIENCE_SAMPLES);
    uint32_t unusual = MIN(known / UNUSUAL_EVERY, UNUSUAL_MOST);
    uint32_t usual_ms = 0;
    for (uint32_t i = 0; i < known; i++) {
        uint32_t value_ms = patience->latest_ms[i];
        if ((usual_ms == 0 || value_ms < usual_ms) && is_usual(patience, known, value_ms, unusual))
            usual_ms = value_ms;
    }
    return usual_ms;
}

bool ts_patience_has_returned(const ts_patience_t *patience, uint32_t patience_ms)
{
    return patience_ms != 0 && patience_ms < RETURNED_SHARE * ts_patience_usual_ms(patience);
}
