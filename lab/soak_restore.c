/** The store of the soak comes back from an older copy; its writers write again what it has lost.
 */
#include "soak.h"

// After the store's return, the writers write again within so long: operators, then searchers.
#define OPERATOR_MOST_MS 1000
#define SEARCHER_MOST_MS 2200
#define AWAY_MIN_MS 300
#define AWAY_MAX_MS 2000
// Calls of one gateway in a second.
#define CALLS_A_SECOND 20
#define SECOND_MS 1000

typedef struct rewrite {
    soak_t *s;
    char *key;
    char *value;     // NULL: it was gone
    uint64_t writes; // to the store, when this one was lost
    uv_timer_t timer;
} rewrite_t;

static void free_rewrite(uv_handle_t *handle)
{
    rewrite_t *again = handle->data;
    g_free(again->key);
    g_free(again->value);
    g_free(again);
}

static void write_again(uv_timer_t *timer)
{
    rewrite_t *again = timer->data;
    lab_store_write_again(again->s->store, again->key, again->value, again->writes);
    uv_close((uv_handle_t *)timer, free_rewrite);
}

static void note_lost(void *ctx, const char *key, const char *value)
{
    soak_t *s = ctx;
    rewrite_t *again = g_new0(rewrite_t, 1);
    bool is_operator = g_str_has_prefix(key, "op/");
    gint32 most_ms = is_operator ? OPERATOR_MOST_MS : SEARCHER_MOST_MS;
    again->s = s;
    again->key = g_strdup(key);
    again->value = g_strdup(value);
    again->writes = lab_store_writes(s->store);
    uv_timer_init(&s->loop, &again->timer);
    again->timer.data = again;
    uv_timer_start(&again->timer, write_again, (uint64_t)g_rand_int_range(s->random, 0, most_ms),
                   0);
}

static void come_back(uv_timer_t *timer)
{
    soak_t *s = timer->data;
    lab_store_restore(s->store, note_lost, s);
    lab_store_set_mode(s->store, LAB_STORE_NORMAL);
    soak_touch_store(s, -1);
    soak_say(s, "store: back from a copy, epoch %lu", (unsigned long)lab_store_epoch(s->store));
    uv_close((uv_handle_t *)timer, (uv_close_cb)g_free);
}

bool soak_begin_restore(soak_t *s)
{
    if (s->store_faults > 0)
        return false;
    soak_touch_store(s, 1);
    lab_store_take_copy(s->store);
    soak_say(s, "store: a copy is taken");
    return true;
}

void soak_end_restore(soak_t *s)
{
    static const lab_store_mode_t modes[] = {LAB_STORE_BUSY, LAB_STORE_SILENT};
    uv_timer_t *timer = g_new0(uv_timer_t, 1);
    lab_store_set_mode(s->store, modes[g_rand_int_range(s->random, 0, G_N_ELEMENTS(modes))]);
    lab_store_cut_waits(s->store);
    soak_say(s, "store: away");
    uv_timer_init(&s->loop, timer);
    timer->data = s;
    uv_timer_start(timer, come_back,
                   (uint64_t)g_rand_int_range(s->random, AWAY_MIN_MS, AWAY_MAX_MS), 0);
}

static void check_calls(uv_timer_t *timer)
{
    soak_t *s = timer->data;
    unsigned calls = lab_store_calls(s->store);
    unsigned most = CALLS_A_SECOND * s->options.nodes;
    if (calls - s->store_calls > most)
        soak_broken(s, "CALLS", "%u calls to the store in a second, %u are allowed",
                    calls - s->store_calls, most);
    s->store_calls = calls;
}

void soak_watch_calls(soak_t *s)
{
    static uv_timer_t timer;
    uv_timer_init(&s->loop, &timer);
    timer.data = s;
    uv_timer_start(&timer, check_calls, SECOND_MS, SECOND_MS);
}
