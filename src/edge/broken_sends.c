/** Sends that were broken off. */
#include "tealspar/broken_sends.h"

#include "tealspar/counters.h"
#include "tealspar/log.h"

void ts_broken_sends_note(void *ctx, const ts_broken_send_t *send)
{
    char digest[TS_REQUEST_DIGEST_TEXT];
    ts_count(TS_COUNTER_SENDS_BROKEN, 1);
    if (!ts_log_is_wanted(TS_EVENT_SEND_BROKEN))
        return;
    ts_request_digest_print(ts_outgoing_digest(send->outgoing), digest);
    ts_log(TS_EVENT_SEND_BROKEN,
           "request=%s digest=%s service=%s instance=%s after_ms=%lu awaited=%d",
           send->outgoing->request_id, digest, send->instance->service->name, send->instance->id,
           (unsigned long)(send->span_us / TS_US_PER_MS), send->is_awaited);
}
