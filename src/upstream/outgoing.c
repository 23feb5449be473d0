/** What is sent to back ends: shared by all sends of one request. */
#include "tealspar/upstream.h"

ts_outgoing_t *ts_outgoing_ref(ts_outgoing_t *outgoing)
{
    outgoing->references++;
    return outgoing;
}

void ts_outgoing_unref(ts_outgoing_t *outgoing)
{
    if (--outgoing->references > 0) {
        return;
    }
    g_string_free(outgoing->head, TRUE);
    if (outgoing->body != NULL) {
        g_string_free(outgoing->body, TRUE);
    }
    g_free(outgoing->request_id);
    g_free(outgoing);
}
