/** Bound on the memory of many holders together. */
#include "tealspar/memory_budget.h"

/* Interval at which room is reclaimed while a charge waits. */
#define RECLAIM_INTERVAL_MS 50
/*
 * If reclaimable charges hold less than this fraction of the limit, the rest is held by charges
 * that may wait for each other; one at a time may then exceed the limit.
 */
#define OVERDRAFT_RECLAIMABLE_SHARE 0.25

struct ts_memory_budget {
    size_t limit;
    size_t used;
    size_t reclaimable;                  /* part of `used` */
    GQueue waiting;                      /* of ts_memory_charge_t, by `order` */
    const ts_memory_charge_t *overdraft; /* the charge that may exceed the limit; NULL: none */
    ts_memory_reclaim_cb_t reclaim;
    void *ctx;
    uv_timer_t timer; /* runs while charges wait */
};

static void serve_waiting(uv_timer_t *timer);

ts_memory_budget_t *ts_memory_budget_create(uv_loop_t *loop, ts_memory_reclaim_cb_t reclaim,
                                            void *ctx)
{
    ts_memory_budget_t *budget = g_new0(ts_memory_budget_t, 1);
    budget->limit = SIZE_MAX;
    budget->reclaim = reclaim;
    budget->ctx = ctx;
    g_queue_init(&budget->waiting);
    uv_timer_init(loop, &budget->timer);
    budget->timer.data = budget;
    return budget;
}

/* Serves those that wait in the next loop iteration, as there may be room now. */
static void wake(ts_memory_budget_t *budget)
{
    if (budget->waiting.length > 0)
        uv_timer_start(&budget->timer, serve_waiting, 0, RECLAIM_INTERVAL_MS);
}

void ts_memory_budget_set_limit(ts_memory_budget_t *budget, size_t limit)
{
    budget->limit = limit;
    wake(budget);
}

size_t ts_memory_budget_limit(const ts_memory_budget_t *budget)
{
    return budget->limit;
}

size_t ts_memory_budget_used(const ts_memory_budget_t *budget)
{
    return budget->used;
}

unsigned ts_memory_budget_waiting(const ts_memory_budget_t *budget)
{
    return budget->waiting.length;
}

bool ts_memory_budget_has_room(const ts_memory_budget_t *budget, size_t bytes, double share)
{
    return (double)budget->used + (double)bytes <= share * (double)budget->limit;
}

bool ts_memory_budget_make_room(ts_memory_budget_t *budget, size_t bytes, double share)
{
    if (ts_memory_budget_has_room(budget, bytes, share))
        return true;
    double above = (1 - share) * (double)budget->limit;
    budget->reclaim(budget->ctx, budget, bytes + (size_t)above);
    return ts_memory_budget_has_room(budget, bytes, share);
}

void ts_memory_charge_set(ts_memory_charge_t *charge, size_t bytes)
{
    ts_memory_budget_t *budget = charge->budget;
    if (budget == NULL)
        return;
    bool is_less = bytes < charge->bytes;
    budget->used = budget->used - charge->bytes + bytes;
    if (charge->is_reclaimable)
        budget->reclaimable = budget->reclaimable - charge->bytes + bytes;
    charge->bytes = bytes;
    if (bytes == 0 && budget->overdraft == charge)
        budget->overdraft = NULL;
    if (is_less)
        wake(budget);
}

static void stop_waiting(ts_memory_charge_t *charge)
{
    ts_memory_budget_t *budget = charge->budget;
    if (charge->wanted == 0)
        return;
    g_queue_unlink(&budget->waiting, &charge->link);
    charge->wanted = 0;
    if (budget->waiting.length == 0)
        uv_timer_stop(&budget->timer);
}

void ts_memory_charge_clear(ts_memory_charge_t *charge)
{
    if (charge->budget == NULL)
        return;
    stop_waiting(charge);
    ts_memory_charge_set(charge, 0);
}

static size_t missing_bytes(const ts_memory_charge_t *charge, size_t bytes)
{
    return bytes > charge->bytes ? bytes - charge->bytes : 0;
}

/* Whether the first waiting charge may exceed the limit. */
static bool may_overdraw(const ts_memory_budget_t *budget)
{
    return budget->overdraft == NULL &&
           (double)budget->reclaimable < OVERDRAFT_RECLAIMABLE_SHARE * (double)budget->limit;
}

/* Grants the wish of the first waiting charge if that is possible. */
static bool serve_first(ts_memory_budget_t *budget)
{
    ts_memory_charge_t *charge = budget->waiting.head->data;
    size_t bytes = charge->wanted;
    bool has_room = ts_memory_budget_has_room(budget, missing_bytes(charge, bytes), 1);
    if (!has_room && !may_overdraw(budget))
        return false;
    if (!has_room)
        budget->overdraft = charge;
    stop_waiting(charge);
    ts_memory_charge_set(charge, MAX(bytes, charge->bytes));
    charge->granted(charge->ctx);
    return true;
}

static void serve_waiting(uv_timer_t *timer)
{
    ts_memory_budget_t *budget = timer->data;
    if (budget->waiting.length == 0)
        return;
    const ts_memory_charge_t *first = budget->waiting.head->data;
    (void)ts_memory_budget_make_room(budget, missing_bytes(first, first->wanted), 1);
    while (budget->waiting.length > 0 && serve_first(budget)) {
    }
}

static uint64_t order_of(const GList *link)
{
    return ((const ts_memory_charge_t *)link->data)->order;
}

/* Adds the charge to those that wait, behind others of the same order. */
static void start_waiting(ts_memory_charge_t *charge)
{
    ts_memory_budget_t *budget = charge->budget;
    GList *next = budget->waiting.head;
    while (next != NULL && order_of(next) <= charge->order)
        next = next->next;
    charge->link.data = charge;
    g_queue_insert_before_link(&budget->waiting, next, &charge->link);
    if (!uv_is_active((uv_handle_t *)&budget->timer))
        uv_timer_start(&budget->timer, serve_waiting, 0, RECLAIM_INTERVAL_MS);
}

bool ts_memory_reserve(ts_memory_charge_t *charge, size_t bytes, uint64_t order,
                       void (*granted)(void *ctx), void *ctx)
{
    ts_memory_budget_t *budget = charge->budget;
    if (budget == NULL)
        return true;
    size_t missing = missing_bytes(charge, bytes);
    bool is_first = budget->waiting.length == 0 || order < order_of(budget->waiting.head);
    if (missing == 0 || (is_first && ts_memory_budget_make_room(budget, missing, 1))) {
        ts_memory_charge_set(charge, MAX(bytes, charge->bytes));
        return true;
    }
    charge->wanted = bytes;
    charge->order = order;
    charge->granted = granted;
    charge->ctx = ctx;
    start_waiting(charge);
    return false;
}

size_t ts_memory_of_string(const GString *string)
{
    return string == NULL ? 0 : string->allocated_len;
}

size_t ts_memory_of_length(size_t length)
{
    size_t allocated = 1;
    while (allocated <= length)
        allocated *= 2;
    return allocated;
}
