/** Restores the soak's store from an older copy; the writers then repeat the lost writes. */
#include "soak.h"

// Rewrite window: maximum delay after the restore until operators and searchers repeat their
// writes.
#define OPERATOR_REWRITE_MAX_MS 1000
#define SEARCHER_REWRITE_MAX_MS 2200
#define OUTAGE_MIN_MS 300
#define OUTAGE_MAX_MS 2000
// Maximum number of store calls of one gateway per second.
#define CALLS_PER_NODE_PER_S 20
#define CHECK_INTERVAL_MS 1000

typedef struct rewrite {
    soak_t *s;
    char *key;
    char *value;     // NULL: a deletion
    uint64_t writes; // lab_store_write_count at the restore
    uv_timer_t timer;
} rewrite_t;

static void free_rewrite(uv_handle_t *handle)
{
    rewrite_t *rewrite = handle->data;
    g_free(rewrite->key);
    g_free(rewrite->value);
    g_free(rewrite);
}

static void run_rewrite(uv_timer_t *timer)
{
    rewrite_t *rewrite = timer->data;
    lab_store_rewrite(rewrite->s->store, rewrite->key, rewrite->value, rewrite->writes);
    uv_close((uv_handle_t *)timer, free_rewrite);
}

static void schedule_rewrite(void *ctx, const char *key, const char *value)
{
    soak_t *s = ctx;
    rewrite_t *rewrite = g_new0(rewrite_t, 1);
    bool is_operator = g_str_has_prefix(key, "op/");
    gint32 max_ms = is_operator ? OPERATOR_REWRITE_MAX_MS : SEARCHER_REWRITE_MAX_MS;
    rewrite->s = s;
    rewrite->key = g_strdup(key);
    rewrite->value = g_strdup(value);
    rewrite->writes = lab_store_write_count(s->store);
    uv_timer_init(&s->loop, &rewrite->timer);
    rewrite->timer.data = rewrite;
    uv_timer_start(&rewrite->timer, run_rewrite, (uint64_t)g_rand_int_range(s->random, 0, max_ms),
                   0);
}

static void restore_store(uv_timer_t *timer)
{
    soak_t *s = timer->data;
    lab_store_restore(s->store, schedule_rewrite, s);
    lab_store_set_mode(s->store, LAB_STORE_NORMAL);
    soak_count_store_fault(s, -1);
    soak_log(s, "store: back from a copy, epoch %lu", (unsigned long)lab_store_epoch(s->store));
    uv_close((uv_handle_t *)timer, (uv_close_cb)g_free);
}

bool soak_prepare_restore(soak_t *s)
{
    if (s->store_faults > 0)
        return false;
    soak_count_store_fault(s, 1);
    lab_store_take_copy(s->store);
    soak_log(s, "store: a copy is taken");
    return true;
}

void soak_restore_after_outage(soak_t *s)
{
    static const lab_store_mode_t modes[] = {LAB_STORE_UNAVAILABLE, LAB_STORE_SILENT};
    uv_timer_t *timer = g_new0(uv_timer_t, 1);
    lab_store_set_mode(s->store, modes[g_rand_int_range(s->random, 0, G_N_ELEMENTS(modes))]);
    lab_store_fail_watches(s->store);
    soak_log(s, "store: away");
    uv_timer_init(&s->loop, timer);
    timer->data = s;
    uv_timer_start(timer, restore_store,
                   (uint64_t)g_rand_int_range(s->random, OUTAGE_MIN_MS, OUTAGE_MAX_MS), 0);
}

static void check_calls(uv_timer_t *timer)
{
    soak_t *s = timer->data;
    unsigned calls = lab_store_call_count(s->store);
    unsigned max_calls = CALLS_PER_NODE_PER_S * s->options.nodes;
    if (calls - s->last_store_calls > max_calls)
        soak_report_violation(s, "CALLS", "%u calls to the store in a second, %u are allowed",
                              calls - s->last_store_calls, max_calls);
    s->last_store_calls = calls;
}

void soak_watch_store_calls(soak_t *s)
{
    static uv_timer_t timer;
    uv_timer_init(&s->loop, &timer);
    timer.data = s;
    uv_timer_start(&timer, check_calls, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
}
