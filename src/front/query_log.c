/** Logging of queries that ended without an answer. */
#include <inttypes.h>

#include "front_internal.h"
#include "tealspar/log.h"

#define NAME_SIZE 64

/* The fragment that prevented an answer: the first with attempts in flight, else the first that
   failed. */
static const ts_fragment_t *find_cause(const ts_query_t *query)
{
    const ts_fragment_t *failed = NULL;
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        if (fragment->attempts_in_flight > 0)
            return fragment;
        if (failed == NULL && fragment->error != TS_OK)
            failed = fragment;
    }
    return failed;
}

/* Counts the fragments that will not be answered. `*error` is the first one's, or TS_OK. */
static uint32_t count_failed(const ts_query_t *query, ts_error_t *error)
{
    uint32_t count = 0;
    *error = TS_OK;
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        if (fragment->state != TS_FRAGMENT_FAILED)
            continue;
        if (count++ == 0)
            *error = fragment->error;
    }
    return count;
}

/* Writes the name of a node to `name` (NAME_SIZE bytes): "self" for TS_PEER_SELF, and its id if it
   is not in the view. */
static void name_node(const ts_query_t *query, uint64_t peer, char *name)
{
    const ts_view_t *view = ts_directory_view(query->front->directory);
    g_snprintf(name, NAME_SIZE, peer == TS_PEER_SELF ? "self" : "%016" PRIx64, peer);
    for (size_t i = 0; view != NULL && i < view->count; i++) {
        if (view->members[i].id == peer)
            g_strlcpy(name, view->members[i].name, NAME_SIZE);
    }
}

void ts_query_log_unanswered(const ts_query_t *query, ts_outcome_t outcome, ts_error_t error)
{
    bool is_unknown = outcome == TS_OUTCOME_UNKNOWN;
    ts_event_t event = is_unknown ? TS_EVENT_QUERY_UNKNOWN : TS_EVENT_QUERY_REFUSED;
    const ts_fragment_t *cause = find_cause(query);
    char node[NAME_SIZE] = "-";
    uint64_t age_us = 0;
    ts_error_t failed_error = TS_OK;
    if (!ts_log_is_wanted(event))
        return;
    if (cause != NULL && cause->attempts_made > 0)
        name_node(query, cause->last_peer, node);
    if (cause != NULL && cause->attempts_in_flight > 0)
        age_us = ts_clock_now_us() - cause->attempts[0]->sent_us;
    uint32_t failed = count_failed(query, &failed_error);
    ts_log(event,
           "id=%s kind=%s error=%s repeat=%d asked=%s attempts=%u out=%u out_ms=%" PRIu64
           " failed=%u failed_error=%s",
           query->request.id == NULL ? "-" : query->request.id, query->request.kind,
           ts_error_name(error), query->request.repeat, node,
           cause == NULL ? 0 : cause->attempts_made, cause == NULL ? 0 : cause->attempts_in_flight,
           (uint64_t)(age_us / TS_US_PER_MS), failed, ts_error_name(failed_error));
}
