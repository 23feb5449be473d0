/**
 * Execution of a query. Every event (a reply or the timer) runs one step: choose the snapshot, send
 * due retries, hedges and repeats for the snapshot, and decide whether to stop.
 */
#include <string.h>

#include "front_internal.h"
#include "tealspar/counters.h"
#include "tealspar/declarations.h"

#define CANDIDATES_MAX 64U
#define RETRY_BACKOFF_US 10000ULL
/* A retry that the budget denied is tried again after this time. */
#define DENIED_RETRY_INTERVAL_US 50000ULL
#define RETRY_AFTER_MIN_MS 1000U
/* At this number of samples the latency histogram decays by half. */
#define LATENCY_SAMPLES_MAX 8192U
/* A fragment with this many attempts is not retried. Below TS_ATTEMPTS_MAX, to leave attempts for
   hedges and for repeats for another snapshot. */
#define RETRY_ATTEMPTS_MAX 3U
/* A deadline that is noticed later than this passed while the process did not run. Replies that
   arrived meanwhile are read before the query ends, for which it waits as long again. */
#define LATE_DEADLINE_US (10ULL * TS_US_PER_MS)

static void free_query(ts_timer_t *timer)
{
    ts_query_t *query = timer->data;
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        for (uint32_t j = 0; j < query->fragments[i].answers_count; j++) {
            ts_subreply_clear(&query->fragments[i].answers[j]);
        }
    }
    g_free(query->fragments);
    ts_query_request_clear(&query->request);
    ts_query_params_unref(query->work);
    ts_declarations_unref(query->declarations);
    g_free(query);
}

/*
 * Cancels the attempts in flight and frees the query in the next loop iteration. An unrepeatable
 * request is not cancelled: its owner stores the outcome for a repeat of the same id.
 */
static void end_query(ts_query_t *query)
{
    bool cancel = !query->work->unrepeatable;
    query->is_finished = true;
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        while (query->fragments[i].attempts_in_flight > 0) {
            ts_attempt_end(query->fragments[i].attempts[0], cancel);
        }
    }
    g_hash_table_remove(query->front->queries, query);
    ts_count(TS_COUNTER_QUERIES_IN_FLIGHT, -1);
    ts_timer_close(&query->timer, free_query);
}

void ts_query_discard(ts_query_t *query)
{
    free_query(&query->timer);
}

void ts_query_abandon(ts_query_t *query)
{
    ts_count(TS_COUNTER_ABANDONED, 1);
    end_query(query);
}

/* ---- snapshot selection ---- */

static bool may_send_again(const ts_fragment_t *fragment)
{
    return fragment->state != TS_FRAGMENT_FAILED && fragment->attempts_made < TS_ATTEMPTS_MAX;
}

static ts_snapshot_choice_t choose_snapshot(const ts_query_t *query)
{
    ts_shard_versions_t *versions = g_new0(ts_shard_versions_t, query->fragment_count);
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        for (uint32_t j = 0; j < fragment->answers_count; j++) {
            versions[i].answered[j] = fragment->answers[j].snapshot;
        }
        memcpy(versions[i].denied, fragment->denied, sizeof(fragment->denied));
        versions[i].open = fragment->attempts_in_flight > 0 || may_send_again(fragment);
    }
    ts_snapshot_choice_t choice = ts_route_choose_snapshot(versions, query->fragment_count);
    g_free(versions);
    return choice;
}

/* The snapshot that the most shards can provide, by the latest replies of their first replicas. */
static uint64_t predict_snapshot(const ts_query_t *query)
{
    ts_shard_versions_t *versions = g_new0(ts_shard_versions_t, query->fragment_count);
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        uint32_t known = MIN(fragment->replica_count, TS_SHARD_ANSWERS_MAX);
        for (uint32_t j = 0; j < known; j++) {
            const ts_backend_t *backend = &query->declarations->backends[fragment->replicas[j]];
            versions[i].answered[j] =
                ts_directory_ensure_replica(query->front->directory, backend)->snapshot;
        }
    }
    uint64_t snapshot = ts_route_choose_snapshot(versions, query->fragment_count).snapshot;
    g_free(versions);
    return snapshot;
}

static bool has_answer(const ts_fragment_t *fragment, uint64_t snapshot)
{
    for (uint32_t i = 0; i < fragment->answers_count; i++) {
        if (fragment->answers[i].snapshot == snapshot) {
            return true;
        }
    }
    return false;
}

/* ---- replica selection ---- */

static uint32_t fill_candidates(const ts_query_t *query, const ts_fragment_t *fragment,
                                ts_candidate_t *candidates)
{
    ts_time_us_t now_us = ts_clock_now_us();
    uint32_t count = MIN(fragment->replica_count, CANDIDATES_MAX);
    for (uint32_t i = 0; i < count; i++) {
        const ts_backend_t *backend = &query->declarations->backends[fragment->replicas[i]];
        ts_directory_fill_candidate(query->front->directory, backend, now_us, &candidates[i]);
        candidates[i].backend = fragment->replicas[i];
        candidates[i].tried = (fragment->tried >> i & 1U) != 0;
    }
    return count;
}

static int choose_replica(const ts_query_t *query, const ts_fragment_t *fragment,
                          uint64_t wanted_snapshot)
{
    if (query->work->unrepeatable) {
        return (int)ts_route_replica_of_id(query->declarations, fragment->replicas,
                                           fragment->replica_count, query->request.id);
    }
    ts_candidate_t candidates[CANDIDATES_MAX];
    ts_choice_input_t input = {
        .candidates = candidates,
        .count = fill_candidates(query, fragment, candidates),
        .wanted_snapshot = wanted_snapshot,
        .random = ts_front_next_random(query->front),
    };
    return query->front->policy->choose(&input);
}

/* Ends the retries of a fragment. It keeps waiting while an overdue attempt may be replied to, and
   stays answered if it has an answer from any snapshot. */
static void fail_fragment(ts_fragment_t *fragment, ts_error_t error)
{
    fragment->error = error;
    if (fragment->attempts_in_flight > 0) {
        fragment->state = TS_FRAGMENT_WAITING;
        return;
    }
    fragment->state = fragment->answers_count > 0 ? TS_FRAGMENT_ANSWERED : TS_FRAGMENT_FAILED;
}

/* Adds an attempt for a fragment to `dispatch`. If no replica can be used, the fragment fails,
   unless the attempt is a hedge, which is dropped. */
static void send_fragment(ts_dispatch_t *dispatch, ts_query_t *query, uint32_t index,
                          uint64_t wanted_snapshot, bool is_hedge)
{
    ts_fragment_t *fragment = &query->fragments[index];
    int replica_index = choose_replica(query, fragment, wanted_snapshot);
    ts_error_t error = replica_index < 0 ? TS_E_NO_REPLICA
                                         : ts_dispatch_add(dispatch, index, (uint32_t)replica_index,
                                                           wanted_snapshot, is_hedge);
    if (error != TS_OK && !is_hedge) {
        fail_fragment(fragment, error);
    }
}

/* ---- hedges, retries and repeats ---- */

static ts_time_us_t hedge_after_us(const ts_query_t *query)
{
    ts_hedge_input_t input = {query->selector, &query->stats->latencies, query->deadline_span_us};
    return query->front->policy->hedge_after_us(&input);
}

static bool may_hedge(const ts_query_t *query, const ts_fragment_t *fragment)
{
    return fragment->state == TS_FRAGMENT_WAITING && fragment->attempts_in_flight == 1 &&
           !fragment->is_hedge_attempted && fragment->replica_count > 1 &&
           fragment->attempts_made < TS_ATTEMPTS_MAX && !query->work->unrepeatable;
}

static void send_due_hedges(ts_dispatch_t *dispatch, ts_query_t *query, uint64_t snapshot,
                            ts_time_us_t now_us)
{
    ts_time_us_t age_us = hedge_after_us(query);
    if (age_us == TS_HEDGE_NEVER) {
        return;
    }
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        ts_fragment_t *fragment = &query->fragments[i];
        if (!may_hedge(query, fragment) || now_us - fragment->attempts[0]->sent_us < age_us) {
            continue;
        }
        fragment->is_hedge_attempted = true;
        if (!query->front->policy->unlimited_hedges && !ts_budget_spend(&query->stats->hedges)) {
            ts_count(TS_COUNTER_HEDGES_DENIED, 1);
            continue;
        }
        ts_count(TS_COUNTER_HEDGES, 1);
        send_fragment(dispatch, query, i, snapshot, true);
    }
}

static bool has_punctual_attempt(const ts_fragment_t *fragment)
{
    for (uint32_t i = 0; i < fragment->attempts_in_flight; i++) {
        if (!fragment->attempts[i]->is_overdue) {
            return true;
        }
    }
    return false;
}

static void cancel_attempts(ts_fragment_t *fragment)
{
    while (fragment->attempts_in_flight > 0) {
        ts_attempt_end(fragment->attempts[0], true);
    }
}

/* Cancels the overdue attempts of a fragment that is sent elsewhere. */
static void replace_overdue_attempts(ts_fragment_t *fragment)
{
    fragment->may_have_run |= fragment->attempts_in_flight > 0;
    cancel_attempts(fragment);
}

/* Called if the budget denies a retry. It is delayed while an overdue attempt may be replied to. */
static void delay_or_end_retries(ts_fragment_t *fragment, ts_time_us_t now_us)
{
    if (fragment->attempts_in_flight > 0) {
        fragment->retry_at_us = now_us + DENIED_RETRY_INTERVAL_US;
    } else {
        fail_fragment(fragment, fragment->error);
    }
}

static void send_due_retries(ts_dispatch_t *dispatch, ts_query_t *query, uint64_t snapshot,
                             ts_time_us_t now_us)
{
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        ts_fragment_t *fragment = &query->fragments[i];
        if (fragment->state != TS_FRAGMENT_BACKOFF || fragment->retry_at_us > now_us) {
            continue;
        }
        if (!ts_budget_spend(&query->stats->retries)) {
            ts_count(TS_COUNTER_RETRIES_DENIED, 1);
            delay_or_end_retries(fragment, now_us);
            continue;
        }
        ts_count(TS_COUNTER_RETRIES, 1);
        replace_overdue_attempts(fragment);
        send_fragment(dispatch, query, i, snapshot, false);
    }
}

/* Queries shards again that have only answered from other snapshots than the chosen one. */
static void send_snapshot_repeats(ts_dispatch_t *dispatch, ts_query_t *query, uint64_t snapshot)
{
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        ts_fragment_t *fragment = &query->fragments[i];
        bool is_denied = fragment->denied[0] == snapshot || fragment->denied[1] == snapshot;
        if (fragment->state != TS_FRAGMENT_ANSWERED || has_punctual_attempt(fragment) ||
            is_denied || has_answer(fragment, snapshot) || !may_send_again(fragment)) {
            continue;
        }
        ts_count(TS_COUNTER_SNAPSHOT_ASKED_AGAIN, 1);
        replace_overdue_attempts(fragment);
        send_fragment(dispatch, query, i, snapshot, false);
    }
}

/* ---- stop conditions ---- */

static ts_stop_input_t make_stop_input(const ts_query_t *query, const ts_snapshot_choice_t *choice,
                                       ts_time_us_t now_us)
{
    ts_stop_input_t input = {
        .selector = query->selector,
        .latencies = &query->stats->latencies,
        .shards = query->fragment_count,
        .covered = choice->covered,
        .possible = choice->possible,
        .elapsed_us = now_us - query->started_us,
        .deadline_span_us = query->deadline_span_us,
    };
    return input;
}

/* The first fragment with an error, which is reported if the coverage is not reached. */
static const ts_fragment_t *find_failure(const ts_query_t *query)
{
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        if (query->fragments[i].error != TS_OK) {
            return &query->fragments[i];
        }
    }
    return NULL;
}

/* Whether some replica may have executed the query or an attempt is still in flight. */
static bool may_have_run(const ts_query_t *query)
{
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        if (fragment->may_have_run || fragment->attempts_in_flight > 0 ||
            fragment->answers_count > 0) {
            return true;
        }
    }
    return false;
}

/* Whether the owner returned the error after looking up the id in its idempotency table. */
static bool is_checked_by_owner(ts_error_t error)
{
    switch (error) {
    case TS_E_QUEUE_FULL:
    case TS_E_CANNOT_FINISH:
    case TS_E_PAST_DEADLINE:
    case TS_E_DRAINING:
    case TS_E_SHEDDING:
    case TS_E_CONNECT:
    case TS_E_ID_REUSED:
        return true;
    default:
        return false;
    }
}

static void finish_without_answer(ts_query_t *query, const ts_snapshot_choice_t *choice,
                                  ts_stop_t stop)
{
    const ts_fragment_t *failure = find_failure(query);
    bool is_possibly_run = may_have_run(query);
    ts_error_t error = failure != NULL ? failure->error : TS_E_DEADLINE;
    if (is_possibly_run && query->fragment_count > 1) {
        error = stop == TS_STOP_DEADLINE ? TS_E_DEADLINE : TS_E_COVERAGE;
    }
    uint32_t after_ms = failure != NULL ? failure->retry_after_ms : 0;
    bool is_unknown = is_possibly_run || (query->request.repeat && !is_checked_by_owner(error));
    ts_outcome_t outcome = is_unknown ? TS_OUTCOME_UNKNOWN : TS_OUTCOME_REFUSED;
    ts_query_log_unanswered(query, outcome, error);
    ts_query_deliver_failure(query, outcome, error, choice->snapshot,
                             MAX(after_ms, RETRY_AFTER_MIN_MS));
}

static void finish_query(ts_query_t *query, const ts_snapshot_choice_t *choice, ts_stop_t stop)
{
    uint32_t min_shards = ts_route_min_shards(query->selector, query->fragment_count);
    bool is_enough = choice->covered > 0 && choice->covered >= min_shards;
    const ts_fragment_t *failure = is_enough ? NULL : find_failure(query);
    ts_shedder_record(&query->stats->shedder,
                      failure != NULL && ts_route_is_overload(failure->error));
    if (is_enough) {
        ts_query_deliver_answer(query, choice->snapshot);
    } else {
        finish_without_answer(query, choice, stop);
    }
    end_query(query);
}

/* ---- step ---- */

static void on_timer(ts_timer_t *timer)
{
    ts_query_step(timer->data);
}

static ts_time_us_t next_event_us(const ts_query_t *query, const ts_stop_input_t *stop_input)
{
    ts_time_us_t due = MAX(query->started_us + query->deadline_span_us, query->grace_until_us);
    ts_time_us_t stop_check = query->front->policy->stop_check_us(stop_input);
    if (stop_check > stop_input->elapsed_us) {
        due = MIN(due, query->started_us + stop_check);
    }
    ts_time_us_t age_us = hedge_after_us(query);
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        if (fragment->state == TS_FRAGMENT_BACKOFF) {
            due = MIN(due, fragment->retry_at_us);
        } else if (age_us != TS_HEDGE_NEVER && may_hedge(query, fragment)) {
            due = MIN(due, fragment->attempts[0]->sent_us + age_us);
        }
    }
    return due;
}

static void arm_timer(ts_query_t *query, const ts_stop_input_t *stop_input, ts_time_us_t now_us)
{
    ts_time_us_t due = next_event_us(query, stop_input);
    ts_time_us_t left = due > now_us ? due - now_us : 0;
    /* Rounded up, so that the event is due when the timer fires. */
    ts_timer_start(&query->timer, (left + TS_US_PER_MS - 1) / TS_US_PER_MS, 0);
}

/* Whether the deadline has just been noticed late. Timers fire before sockets are read, so replies
   may have arrived in time. */
static bool is_reply_unread(ts_query_t *query, ts_time_us_t now_us)
{
    ts_time_us_t deadline_us = query->started_us + query->deadline_span_us;
    if (query->grace_until_us == 0 && now_us > deadline_us + LATE_DEADLINE_US) {
        query->grace_until_us = now_us + LATE_DEADLINE_US;
    }
    return now_us < query->grace_until_us;
}

void ts_query_step(ts_query_t *query)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_dispatch_t *dispatch = ts_dispatch_begin(query);
    ts_snapshot_choice_t choice = choose_snapshot(query);
    send_due_retries(dispatch, query, choice.snapshot, now_us);
    send_due_hedges(dispatch, query, choice.snapshot, now_us);
    if (choice.snapshot != 0) {
        send_snapshot_repeats(dispatch, query, choice.snapshot);
    }
    ts_dispatch_send(dispatch);
    choice = choose_snapshot(query);
    ts_stop_input_t stop_input = make_stop_input(query, &choice, now_us);
    ts_stop_t stop = query->front->policy->stop(&stop_input);
    if (stop == TS_STOP_DEADLINE && is_reply_unread(query, now_us)) {
        stop = TS_STOP_WAIT;
    }
    if (stop != TS_STOP_WAIT) {
        finish_query(query, &choice, stop);
        return;
    }
    arm_timer(query, &stop_input, now_us);
}

/* ---- replies ---- */

/* Moves a reply into the fragment's answers, unless they are full or one has the same snapshot. */
static void store_answer(ts_fragment_t *fragment, ts_subreply_t *subreply)
{
    if (has_answer(fragment, subreply->snapshot) ||
        fragment->answers_count == TS_SHARD_ANSWERS_MAX) {
        return;
    }
    fragment->answers[fragment->answers_count++] = *subreply;
    subreply->hits = NULL; /* moved */
    subreply->hits_count = 0;
}

/* Records that a replica was asked for a snapshot but answered from another one. Keeps the first
   and the latest such snapshot. */
static void record_denied_snapshot(ts_fragment_t *fragment, uint64_t wanted, uint64_t provided)
{
    if (wanted == 0 || wanted == provided) {
        return;
    }
    if (fragment->denied[0] != 0 && fragment->denied[0] != wanted) {
        fragment->denied[1] = wanted;
    } else {
        fragment->denied[0] = wanted;
    }
}

static void record_latency(const ts_query_t *query, ts_time_us_t latency_us)
{
    if (query->stats->latencies.total >= LATENCY_SAMPLES_MAX) {
        ts_histogram_decay(&query->stats->latencies);
    }
    ts_histogram_add(&query->stats->latencies, latency_us);
    ts_observe_us(TS_HISTOGRAM_SUBREQUEST_LATENCY, latency_us);
}

/* Stores a successful reply and cancels the fragment's other attempts. */
static void handle_answer(ts_query_t *query, ts_fragment_t *fragment, ts_subreply_t *subreply,
                          uint64_t wanted)
{
    record_denied_snapshot(fragment, wanted, subreply->snapshot);
    store_answer(fragment, subreply);
    fragment->state = TS_FRAGMENT_ANSWERED;
    cancel_attempts(fragment);
}

static bool may_retry(const ts_query_t *query, const ts_fragment_t *fragment)
{
    return query->front->policy->retries && !query->work->unrepeatable &&
           fragment->attempts_made < RETRY_ATTEMPTS_MAX && fragment->answers_count == 0;
}

/* Whether some replica of the fragment has not been tried yet. */
static bool has_untried_replica(const ts_fragment_t *fragment)
{
    uint64_t all =
        fragment->replica_count >= 64 ? UINT64_MAX : (1ULL << fragment->replica_count) - 1;
    return (fragment->tried & all) != all;
}

/* Whether some replica has not been tried yet whose owner is not silent. */
static bool has_untried_live_replica(const ts_query_t *query, const ts_fragment_t *fragment)
{
    ts_directory_t *directory = query->front->directory;
    for (uint32_t i = 0; i < fragment->replica_count; i++) {
        const ts_backend_t *backend = &query->declarations->backends[fragment->replicas[i]];
        const ts_view_member_t *owner = ts_directory_owner(directory, backend);
        bool is_tried = (fragment->tried >> i & 1U) != 0;
        if (!is_tried && owner != NULL &&
            (owner->is_self || !ts_directory_is_silent(directory, owner->id))) {
            return true;
        }
    }
    return false;
}

static void handle_failure(ts_query_t *query, ts_fragment_t *fragment,
                           const ts_subreply_t *subreply)
{
    fragment->error = subreply->error;
    fragment->retry_after_ms = MAX(fragment->retry_after_ms, subreply->retry_after_ms);
    /* TS_EXECUTION_NOT_HERE does not count: this owner has not executed it. An earlier owner may
       have executed an earlier send of a repeat; see is_checked_by_owner(). */
    fragment->may_have_run |=
        subreply->run == TS_EXECUTION_COMPLETED || subreply->run == TS_EXECUTION_POSSIBLE;
    if (has_punctual_attempt(fragment)) {
        return;
    }
    if (!may_retry(query, fragment)) {
        fail_fragment(fragment, subreply->error);
        return;
    }
    fragment->state = TS_FRAGMENT_BACKOFF;
    ts_time_us_t backoff_us =
        has_untried_replica(fragment)
            ? 0
            : RETRY_BACKOFF_US + ts_front_next_random(query->front) % RETRY_BACKOFF_US;
    fragment->retry_at_us = ts_clock_now_us() + backoff_us;
}

void ts_query_handle_reply(ts_attempt_t *attempt, ts_subreply_t *subreply)
{
    ts_query_t *query = attempt->query;
    ts_fragment_t *fragment = &query->fragments[attempt->fragment_index];
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t latency_us = now_us - attempt->sent_us;
    uint64_t wanted = attempt->wanted_snapshot;
    ts_directory_record_reply(query->front->directory, attempt->replica, subreply, latency_us,
                              now_us);
    bool is_measurable = ts_attempt_is_measurable(attempt);
    ts_attempt_end(attempt, false);
    if (subreply->error == TS_OK) {
        if (is_measurable) {
            record_latency(query, latency_us);
        }
        handle_answer(query, fragment, subreply, wanted);
    } else {
        handle_failure(query, fragment, subreply);
    }
    ts_query_step(query);
}

void ts_query_handle_overdue(ts_attempt_t *attempt)
{
    const ts_query_t *query = attempt->query;
    ts_fragment_t *fragment = &query->fragments[attempt->fragment_index];
    attempt->is_overdue = true;
    if (fragment->state != TS_FRAGMENT_WAITING || has_punctual_attempt(fragment)) {
        return;
    }
    if (fragment->answers_count > 0) {
        fragment->state = TS_FRAGMENT_ANSWERED; // see send_snapshot_repeats()
    } else if (may_retry(query, fragment) && has_untried_live_replica(query, fragment)) {
        fragment->state = TS_FRAGMENT_BACKOFF;
        fragment->retry_at_us = ts_clock_now_us();
    }
}

/* ---- start ---- */

/* `reach_index` is an index into the selector's `reach`. */
static void plan_fragment(ts_query_t *query, uint32_t index, uint32_t reach_index)
{
    const ts_selector_t *selector = query->selector;
    ts_fragment_t *fragment = &query->fragments[index];
    uint32_t begin = selector->replicas_begin[reach_index];
    fragment->shard = selector->reach[reach_index];
    fragment->replicas = &selector->replicas[begin];
    fragment->replica_count = selector->replicas_begin[reach_index + 1] - begin;
}

static void plan_query(ts_query_t *query)
{
    const ts_selector_t *selector = query->selector;
    bool is_by_key = selector->route == TS_ROUTE_KEY;
    query->fragment_count = is_by_key ? 1 : selector->reach_count;
    query->fragments = g_new0(ts_fragment_t, query->fragment_count);
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        uint32_t reach_index =
            is_by_key ? ts_route_shard_of_key(query->declarations, selector, query->request.key)
                      : i;
        plan_fragment(query, i, reach_index);
    }
}

void ts_query_start(ts_query_t *query)
{
    plan_query(query);
    ts_timer_init(&query->timer, query->front->node->runtime, on_timer, query);
    ts_budget_credit(&query->stats->hedges, query->selector->hedge_percent, query->fragment_count);
    ts_budget_credit(&query->stats->retries, query->selector->retry_percent, query->fragment_count);
    uint64_t snapshot = predict_snapshot(query);
    ts_dispatch_t *dispatch = ts_dispatch_begin(query);
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        send_fragment(dispatch, query, i, snapshot, false);
    }
    ts_dispatch_send(dispatch);
    ts_query_step(query);
}
