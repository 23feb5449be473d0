/** Requests that end the searchers that run them, and searchers that end by themselves. */
#include "soak.h"

// The platform's contactMs: what is known of such a request is known everywhere by then.
#define CONTACT_US (5 * TS_US_PER_S)
// Arrivals that are allowed after that.
#define LATER_MAX 3
#define ENDS_COUNTED 3
// Searchers that end under its first gather, each part sent twice at the most, and under three lone
// sends; all that once more, as a gateway may have heard nothing of it yet, cut off from the
// others.
#define ENDS_MAX (2 * (2 * SOAK_SHARDS + 3))
#define TRY_MIN_MS 50
#define TRY_MAX_MS 900

static uv_timer_t timer;

static void try_again(uv_timer_t *handle)
{
    soak_t *s = handle->data;
    soak_node_t *node = &s->nodes[g_rand_int_range(s->random, 0, (gint32)s->options.nodes)];
    if (s->fatal == NULL || s->is_draining)
        return;
    if (soak_takes_requests(node))
        soak_ask_fatal(s, node, s->fatal);
    uv_timer_start(handle, try_again, (uint64_t)g_rand_int_range(s->random, TRY_MIN_MS, TRY_MAX_MS),
                   0);
}

bool soak_begin_fatal(soak_t *s)
{
    if (s->fatal != NULL)
        return false;
    bool is_gather = g_rand_int_range(s->random, 0, 3) > 0;
    s->fatal = g_new0(soak_fatal_t, 1); // records refer to it to the end
    s->fatal->number = ++s->fatals;
    g_snprintf(s->fatal->target, sizeof(s->fatal->target), "/%s/" SOAK_FATAL "-%u",
               is_gather ? "all" : "forward", s->fatals);
    soak_say(s, "%s comes from now on", s->fatal->target);
    if (timer.data == NULL)
        uv_timer_init(&s->loop, &timer);
    timer.data = s;
    uv_timer_start(&timer, try_again, 0, 0);
    return true;
}

void soak_end_fatal(soak_t *s)
{
    soak_say(s, "%s comes no more: %u searchers ended under %u tries, %u late arrivals",
             s->fatal->target, s->fatal->ended, s->fatal->tries, s->fatal->later);
    s->fatal->is_over = true;
    s->fatal = NULL;
}

void soak_note_end(soak_searcher_t *own, const char *request_id)
{
    soak_t *s = own->soak;
    soak_record_t *record = request_id == NULL ? NULL : g_hash_table_lookup(s->records, request_id);
    soak_fatal_t *fatal = record == NULL ? NULL : record->fatal;
    soak_say(s, "%s ends under %s", own->searcher->id, fatal == NULL ? "nothing" : fatal->target);
    soak_restart_searcher(own);
    if (fatal == NULL)
        return;
    fatal->ended++;
    if (fatal->ended == ENDS_COUNTED)
        fatal->third_us = ts_clock_now_us();
    s->fatal_ended = MAX(s->fatal_ended, fatal->ended);
    if (fatal->ended == ENDS_MAX + 1)
        soak_broken(s, "CONTAINED", "%u searchers ended under %s, the last %s under %s",
                    fatal->ended, fatal->target, own->searcher->id, request_id);
}

void soak_check_fatal_arrival(soak_t *s, const soak_record_t *record, const char *request_id)
{
    soak_fatal_t *fatal = record->fatal;
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_late = fatal != NULL && fatal->third_us != 0 && now_us - fatal->third_us > CONTACT_US;
    if (!is_late || !soak_in_touch(record->node, now_us))
        return;
    if (++fatal->later > LATER_MAX)
        soak_broken(
            s, "CRASHES",
            "%s as %s reached searchers %u times, the last from %s %lu ms after the third ended",
            fatal->target, request_id, fatal->later, record->node->name,
            (unsigned long)((now_us - fatal->third_us) / TS_US_PER_MS));
}
