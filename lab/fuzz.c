/** The fuzzer: generation, execution and shrinking of action lists, and the oracle. */
#include "fuzz.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_check.h"
#include "sim.h"
#include "tealspar/declarations.h"

#include "../src/front/caller_json.h"

#define NODES_PER_ZONE 3U
#define ZONES 3U
#define NODES (NODES_PER_ZONE * ZONES)
#define SEARCHERS 12U
#define SETTLE_US (9ULL * TS_US_PER_S)
/* Simulated time after the last action, when all faults have ended; every query must end in it. */
#define FINAL_RUN_US (20ULL * TS_US_PER_S)
#define ANSWER_SLACK_US (1000ULL * TS_US_PER_MS)
#define DISPATCH_KIND "dispatch"
#define KEYS 5U
/* Number of maximum gaps between actions. The seed selects one: short gaps give dense runs, long
 * ones leave time for suspicions, fences and partitions to take effect. */
#define GAP_VARIANTS 3U

static const char *const first_config =
    "version: 1\n"
    "zones:\n"
    "  - {name: north, region: land}\n"
    "  - {name: middle, region: land}\n"
    "  - {name: south, region: land}\n"
    "groups:\n"
    "  - {name: one, labels: [service=a], shards: 3}\n"
    "  - {name: two, labels: [service=b], shards: 3}\n"
    "backends:\n"
    "  - {name: a1, address: '10.9.0.1:1', zone: north, shards: [one/0], slots: 2, connections: "
    "9}\n"
    "  - {name: a2, address: '10.9.0.2:1', zone: middle, shards: [one/0], slots: 2, connections: "
    "9}\n"
    "  - {name: a3, address: '10.9.0.3:1', zone: middle, shards: [one/1], slots: 2, connections: "
    "9}\n"
    "  - {name: a4, address: '10.9.0.4:1', zone: south, shards: [one/1], slots: 2, connections: "
    "9}\n"
    "  - {name: a5, address: '10.9.0.5:1', zone: south, shards: [one/2], slots: 2, connections: "
    "9}\n"
    "  - {name: a6, address: '10.9.0.6:1', zone: north, shards: [one/2], slots: 2, connections: "
    "9}\n"
    "  - {name: b1, address: '10.9.1.1:1', zone: north, shards: [two/0], slots: 2, connections: "
    "9}\n"
    "  - {name: b2, address: '10.9.1.2:1', zone: middle, shards: [two/0], slots: 2, connections: "
    "9}\n"
    "  - {name: b3, address: '10.9.1.3:1', zone: middle, shards: [two/1], slots: 2, connections: "
    "9}\n"
    "  - {name: b4, address: '10.9.1.4:1', zone: south, shards: [two/1], slots: 2, connections: "
    "9}\n"
    "  - {name: b5, address: '10.9.1.5:1', zone: south, shards: [two/2], slots: 2, connections: "
    "9}\n"
    "  - {name: b6, address: '10.9.1.6:1', zone: north, shards: [two/2], slots: 2, connections: "
    "9}\n"
    "selectors:\n"
    "  - {kind: wide, groups: [service=a|b], wait: gain, deadline_ms: 150, "
    "least_coverage_percent: 50, hedge_percent: 10, retry_percent: 20}\n"
    "  - {kind: narrow, groups: [service=a], wait: deadline, deadline_ms: 100, "
    "least_coverage_percent: 100, hedge_percent: 10, retry_percent: 20, priority: 9}\n"
    "  - {kind: fetch, groups: [service=b], route: key, wait: coverage, deadline_ms: 100, "
    "least_coverage_percent: 100, hedge_percent: 10, retry_percent: 20}\n"
    "  - {kind: dispatch, groups: [service=a], route: key, wait: deadline, deadline_ms: 400, "
    "least_coverage_percent: 100, priority: 5, unrepeatable: true}\n";

static const char *const kinds[] = {"wide", "narrow", "fetch"};

/* What the oracle knows about a request id. */
typedef struct request {
    char id[24];
    const char *kind;
    char text[24];
    int64_t issued_at_ms;
    unsigned runs;
    unsigned open_submissions; /* submissions without a result so far */
    bool is_unrepeatable;
    bool is_last_refused; /* the last submission was refused, that is not run */
    bool may_retry;       /* the last outcome is unknown: a caller would retry */
} request_t;

/* One submission of a request. */
typedef struct submission {
    struct run *run;
    request_t *request;
    unsigned node;
    uint64_t generation; /* of the node when submitted; see node_generations */
    ts_time_us_t due_us; /* latest time for its result */
} submission_t;

typedef struct run {
    lab_sim_t *sim;
    lab_finding_t finding;
    ts_declarations_t *declarations;
    GHashTable *requests;    /* id -> request_t, owned */
    GPtrArray *dispatched;   /* unrepeatable requests, borrowed */
    GHashTable *submissions; /* set of submission_t without a result, owned */
    uint64_t node_versions[NODES];
    uint64_t node_generations[NODES];       /* incremented at each start and end of the process */
    ts_time_us_t disturbed_until_us[NODES]; /* end of the latest pause */
    uint64_t version;
    uint64_t snapshot;
    unsigned next_id;
    bool is_stopping[NODES];
    bool is_cut;
} run_t;

static void report_violation(run_t *run, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Records the first violation; later ones are ignored. */
static void report_violation(run_t *run, const char *format, ...)
{
    if (run->finding.is_broken) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    g_vsnprintf(run->finding.text, sizeof(run->finding.text), format, arguments);
    va_end(arguments);
    run->finding.is_broken = true;
    run->finding.steps = lab_sim_steps(run->sim);
}

/* ---- callbacks of the simulator ---- */

static void note_ran(void *context, const lab_sim_execution_t *ran)
{
    run_t *run = context;
    request_t *request = g_hash_table_lookup(run->requests, ran->request_id);
    if (request == NULL) {
        report_violation(run, "a request nobody sent: %s", ran->request_id);
        return;
    }
    request->runs++;
    if (request->is_unrepeatable && request->runs > 1) {
        report_violation(run, "ran_twice: %s, again at %s", request->id, ran->backend);
    }
    if (request->open_submissions == 0 && request->is_last_refused) {
        report_violation(run, "ran_though_refused: %s at %s after the refusal", request->id,
                         ran->backend);
    }
}

static void note_after_leave(void *context, const char *request_id, const char *backend)
{
    report_violation(context, "work_after_leave: %s at %s", request_id, backend);
}

static void note_configured(void *context, unsigned node, uint64_t version)
{
    run_t *run = context;
    if (version < run->node_versions[node]) {
        report_violation(run, "config_reverted: node %u from %" PRIu64 " to %" PRIu64, node,
                         run->node_versions[node], version);
    }
    run->node_versions[node] = MAX(version, run->node_versions[node]);
}

/* ---- submissions ---- */

static void check_answered(run_t *run, const request_t *request, const ts_answer_t *answer)
{
    lab_violations_t violations = {0};
    lab_answer_summary_t told;
    char *text = ts_caller_json_write(answer, NULL);
    json_t *root = json_loads(text, 0, NULL);
    lab_query_spec_t asked = {run->declarations,
                              ts_declarations_selector(run->declarations, request->kind),
                              request->id, request->text, true};
    lab_check_answer(&asked, root, &told, &violations);
    if (violations.mixed_snapshot > 0 || violations.false_coverage > 0 ||
        violations.wrong_answer > 0) {
        report_violation(run, "%s: %s",
                         violations.mixed_snapshot > 0   ? "mixed_snapshot"
                         : violations.false_coverage > 0 ? "false_coverage"
                                                         : "wrong_answer",
                         request->id);
    }
    json_decref(root);
    free(text);
}

static void handle_answer(void *context, const ts_answer_t *answer)
{
    submission_t *submission = context;
    run_t *run = submission->run;
    request_t *request = submission->request;
    request->open_submissions--;
    request->is_last_refused = answer->outcome == TS_OUTCOME_REFUSED;
    request->may_retry = answer->outcome == TS_OUTCOME_UNKNOWN;
    switch (answer->outcome) {
    case TS_OUTCOME_ANSWERED:
        run->finding.answered++;
        check_answered(run, request, answer);
        break;
    case TS_OUTCOME_REFUSED:
        run->finding.refused++;
        if (request->runs > 0) {
            report_violation(run, "ran_though_refused: %s (%s)", request->id,
                             ts_error_name(answer->error));
        }
        break;
    case TS_OUTCOME_UNKNOWN:
        run->finding.unknown++;
        break;
    }
    g_hash_table_remove(run->submissions, submission);
}

static void submit(run_t *run, request_t *request, unsigned node, bool is_repeat)
{
    ts_front_t *front = lab_sim_front(run->sim, node);
    if (front == NULL) {
        return;
    }
    const ts_selector_t *selector = ts_declarations_selector(run->declarations, request->kind);
    bool has_key_route = selector->route == TS_ROUTE_KEY;
    ts_query_request_t query = {
        .id = g_strdup(request->id),
        .kind = g_strdup(request->kind),
        .text = has_key_route ? NULL : g_strdup(request->text),
        .key = has_key_route ? g_strdup(request->text) : NULL,
        .limit = 100,
        .unrepeatable = request->is_unrepeatable,
        .repeat = is_repeat,
        .issued_at_ms = request->issued_at_ms,
    };
    submission_t *submission = g_new0(submission_t, 1);
    submission->run = run;
    submission->request = request;
    submission->node = node;
    submission->generation = run->node_generations[node];
    submission->due_us =
        lab_sim_now_us(run->sim) + selector->deadline_ms * TS_US_PER_MS + ANSWER_SLACK_US;
    g_hash_table_add(run->submissions, submission);
    request->open_submissions++;
    ts_front_submit(front, &query, handle_answer, submission);
}

static request_t *create_request(run_t *run, const char *kind, bool is_unrepeatable)
{
    request_t *request = g_new0(request_t, 1);
    g_snprintf(request->id, sizeof(request->id), "r%u", run->next_id++);
    g_snprintf(request->text, sizeof(request->text), "t%" PRIu64, lab_sim_random(run->sim) % KEYS);
    request->kind = kind;
    request->is_unrepeatable = is_unrepeatable;
    request->issued_at_ms = ts_clock_wall_ms();
    g_hash_table_insert(run->requests, request->id, request);
    return request;
}

static void dispatch(run_t *run, unsigned node)
{
    request_t *request = create_request(run, DISPATCH_KIND, true);
    g_ptr_array_add(run->dispatched, request);
    submit(run, request, node, false);
}

static void repeat(run_t *run, const lab_action_t *action)
{
    if (run->dispatched->len == 0) {
        return;
    }
    request_t *request = g_ptr_array_index(run->dispatched, action->b % run->dispatched->len);
    submit(run, request, action->a, true);
}

/* A submission must end by its deadline, unless its process has ended; a pause extends the
 * deadline. */
static void check_overdue(run_t *run)
{
    ts_time_us_t now_us = lab_sim_now_us(run->sim);
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, run->submissions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        submission_t *submission = key;
        unsigned node = submission->node;
        if (submission->generation != run->node_generations[node]) {
            submission->request->open_submissions--;
            submission->request->is_last_refused = false;
            submission->request->may_retry = true;
            g_hash_table_iter_remove(&iterator);
        } else if (now_us >
                   MAX(submission->due_us, run->disturbed_until_us[node] + ANSWER_SLACK_US)) {
            report_violation(run, "no_answer: %s at node %u", submission->request->id, node);
        }
    }
}

/* ---- actions ---- */

static char *compose_config(uint64_t version, const char *suffix)
{
    const char *rest = strchr(first_config, '\n');
    return g_strdup_printf("version: %" PRIu64 "%s%s", version, rest, suffix);
}

static void publish(run_t *run, uint64_t version, const char *suffix)
{
    char *text = compose_config(version, suffix);
    lab_sim_set_platform(run->sim, text);
    g_free(text);
}

static void kill_process(run_t *run, unsigned node)
{
    if (lab_sim_is_running(run->sim, node)) {
        lab_sim_kill(run->sim, node);
        run->node_generations[node]++;
    }
}

/*
 * Lower bound on the version that a starting node may apply: the lowest of its own previous version
 * and those of all nodes that it can reach. 0 if it can reach none or if anything is cut off:
 * versions are stored in the nodes only, so a version that no reachable node holds is lost.
 */
static uint64_t version_floor(const run_t *run, unsigned starting)
{
    uint64_t floor = run->node_versions[starting];
    bool has_reachable_node = false;
    for (unsigned node = 0; node < NODES; node++) {
        bool is_awake = lab_sim_is_running(run->sim, node) &&
                        run->disturbed_until_us[node] <= lab_sim_now_us(run->sim);
        if (node != starting && is_awake && !run->is_stopping[node]) {
            has_reachable_node = true;
            floor = MIN(floor, run->node_versions[node]);
        }
    }
    return has_reachable_node && !run->is_cut ? floor : 0;
}

static void start_process(run_t *run, unsigned node)
{
    if (!lab_sim_is_running(run->sim, node)) {
        run->node_versions[node] = version_floor(run, node);
        run->node_generations[node]++;
        run->is_stopping[node] = false;
        lab_sim_start(run->sim, node);
    }
}

static void heal(run_t *run)
{
    for (unsigned zone = 0; zone < ZONES; zone++) {
        lab_sim_partition_zone(run->sim, zone, false);
    }
    for (unsigned node = 0; node < NODES; node++) {
        lab_sim_isolate(run->sim, node, false);
    }
    run->is_cut = false;
}

static void roll_snapshot(run_t *run, const lab_action_t *action)
{
    run->snapshot += lab_sim_random(run->sim) % 8 == 0;
    lab_sim_set_snapshot(run->sim, action->a % SEARCHERS, run->snapshot, action->b % 2 == 0);
}

static void apply_action(run_t *run, const lab_action_t *action)
{
    unsigned node = action->a % NODES;
    lab_action_t bounded = *action;
    bounded.a = node;
    switch (action->type) {
    case LAB_ACTION_QUERY:
        submit(run, create_request(run, kinds[action->b % G_N_ELEMENTS(kinds)], false), node,
               false);
        break;
    case LAB_ACTION_DISPATCH:
        dispatch(run, node);
        break;
    case LAB_ACTION_REPEAT:
        repeat(run, &bounded);
        break;
    case LAB_ACTION_KILL:
        kill_process(run, node);
        break;
    case LAB_ACTION_START:
        start_process(run, node);
        break;
    case LAB_ACTION_STOP:
        lab_sim_stop(run->sim, node);
        run->is_stopping[node] = true;
        break;
    case LAB_ACTION_PAUSE: {
        ts_time_us_t span_us = (action->b % 12000) * TS_US_PER_MS;
        run->disturbed_until_us[node] =
            MAX(run->disturbed_until_us[node], lab_sim_now_us(run->sim) + span_us);
        lab_sim_pause(run->sim, node, span_us);
        break;
    }
    case LAB_ACTION_CUT:
        lab_sim_partition_zone(run->sim, action->a % ZONES, true);
        run->is_cut = true;
        break;
    case LAB_ACTION_ISOLATE:
        lab_sim_isolate(run->sim, node, true);
        run->is_cut = true;
        break;
    case LAB_ACTION_HEAL:
        heal(run);
        break;
    case LAB_ACTION_SEARCHER:
        lab_sim_set_searcher_state(run->sim, action->a % SEARCHERS,
                                   (lab_sim_searcher_state_t)(action->b % 4));
        break;
    case LAB_ACTION_SLOW:
        lab_sim_slow_searcher(run->sim, action->a % SEARCHERS,
                              action->b % 2 == 0 ? 1.0 : 1.0 + action->b % 60);
        break;
    case LAB_ACTION_ROLL:
        roll_snapshot(run, action);
        break;
    case LAB_ACTION_CONFIG:
        publish(run, ++run->version, "");
        break;
    case LAB_ACTION_CONFIG_OLD:
        publish(run, 1, "");
        break;
    case LAB_ACTION_CONFIG_DOWN:
        lab_sim_set_platform(run->sim, NULL);
        break;
    case LAB_ACTION_CONFIG_BAD:
        publish(run, run->version + 1, "  - {kind: bad}\n");
        break;
    case LAB_ACTION_COUNT:
        break;
    }
}

/* ---- runs ---- */

static void open_run(run_t *run, uint64_t seed)
{
    lab_sim_config_t config = {
        .declarations = first_config,
        .nodes_per_zone = NODES_PER_ZONE,
        .policy = "adaptive",
        .network_ms = 0.2,
        .zone_ms = 1,
        .drop_percent = 0.5,
        .duplicate_percent = 0.5,
        .jitter = 3,
        .service = {2, 0.5, 1, {10, 50}},
        .seed = seed,
    };
    ts_problems_t problems;
    lab_sim_observer_t observer = {run, note_ran, note_after_leave, note_configured};
    ts_problems_init(&problems);
    run->declarations = ts_declarations_load(first_config, strlen(first_config), &problems);
    ts_problems_clear(&problems);
    run->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    run->submissions = g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
    run->dispatched = g_ptr_array_new();
    run->version = 1;
    run->snapshot = 1;
    run->sim = lab_sim_create(&config, &observer);
}

static void close_run(run_t *run)
{
    lab_sim_destroy(run->sim);
    g_hash_table_destroy(run->submissions);
    g_hash_table_destroy(run->requests);
    g_ptr_array_free(run->dispatched, TRUE);
    ts_declarations_unref(run->declarations);
}

/* Counts processes that have ended by themselves: after a planned stop a process ends when it is
 * idle. */
static void note_ended(run_t *run, const bool *was_running)
{
    for (unsigned node = 0; node < NODES; node++) {
        if (was_running[node] && !lab_sim_is_running(run->sim, node)) {
            run->node_generations[node]++;
        }
    }
}

static void advance_time(run_t *run, ts_time_us_t span_us)
{
    bool was_running[NODES];
    for (unsigned node = 0; node < NODES; node++) {
        was_running[node] = lab_sim_is_running(run->sim, node);
    }
    lab_sim_advance(run->sim, span_us);
    note_ended(run, was_running);
    check_overdue(run);
}

static void finish(run_t *run)
{
    heal(run);
    for (unsigned node = 0; node < NODES; node++) {
        start_process(run, node);
    }
    for (unsigned i = 0; i < 20 && !run->finding.is_broken; i++) {
        advance_time(run, FINAL_RUN_US / 20);
    }
}

lab_finding_t lab_fuzz_run(uint64_t seed, const GArray *actions)
{
    run_t run = {0};
    open_run(&run, seed);
    lab_sim_advance(run.sim, SETTLE_US);
    for (guint i = 0; i < actions->len && !run.finding.is_broken; i++) {
        const lab_action_t *action = &g_array_index(actions, lab_action_t, i);
        advance_time(&run, action->after_ms * TS_US_PER_MS);
        apply_action(&run, action);
        run.finding.actions = i + 1;
    }
    if (!run.finding.is_broken) {
        finish(&run);
        run.finding.steps = lab_sim_steps(run.sim);
    }
    lab_finding_t finding = run.finding;
    close_run(&run);
    return finding;
}

/* ---- generation ---- */

/* Relative frequency of each action. */
static const unsigned weights[LAB_ACTION_COUNT] = {
    [LAB_ACTION_QUERY] = 220,     [LAB_ACTION_DISPATCH] = 120, [LAB_ACTION_REPEAT] = 120,
    [LAB_ACTION_KILL] = 6,        [LAB_ACTION_START] = 14,     [LAB_ACTION_STOP] = 5,
    [LAB_ACTION_PAUSE] = 8,       [LAB_ACTION_CUT] = 4,        [LAB_ACTION_ISOLATE] = 6,
    [LAB_ACTION_HEAL] = 8,        [LAB_ACTION_SEARCHER] = 25,  [LAB_ACTION_SLOW] = 15,
    [LAB_ACTION_ROLL] = 40,       [LAB_ACTION_CONFIG] = 10,    [LAB_ACTION_CONFIG_OLD] = 5,
    [LAB_ACTION_CONFIG_DOWN] = 5, [LAB_ACTION_CONFIG_BAD] = 4,
};

static lab_action_type_t choose_type(GRand *random)
{
    gint32 sum = 0;
    for (int i = 0; i < LAB_ACTION_COUNT; i++) {
        sum += (gint32)weights[i];
    }
    gint32 drawn = g_rand_int_range(random, 0, sum);
    int type = 0;
    while (drawn >= (gint32)weights[type]) {
        drawn -= (gint32)weights[type++];
    }
    return (lab_action_type_t)type;
}

GArray *lab_fuzz_generate(uint64_t seed, unsigned count)
{
    static const gint32 gap_max_ms[GAP_VARIANTS] = {120, 300, 900};
    GRand *random = g_rand_new_with_seed((guint32)seed);
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(lab_action_t));
    for (unsigned i = 0; i < count; i++) {
        bool is_burst = g_rand_int_range(random, 0, 3) == 0;
        lab_action_t action = {
            .type = choose_type(random),
            .after_ms = (uint32_t)g_rand_int_range(random, 0,
                                                   is_burst ? 3 : gap_max_ms[seed % GAP_VARIANTS]),
            .a = g_rand_int(random),
            .b = g_rand_int(random),
        };
        g_array_append_val(actions, action);
    }
    g_rand_free(random);
    return actions;
}

/* ---- shrinking ---- */

static GArray *copy_without(const GArray *actions, guint begin, guint count)
{
    GArray *rest = g_array_new(FALSE, FALSE, sizeof(lab_action_t));
    uint32_t removed_ms = 0;
    for (guint i = 0; i < actions->len; i++) {
        lab_action_t action = g_array_index(actions, lab_action_t, i);
        if (i >= begin && i < begin + count) {
            removed_ms += action.after_ms; /* the remaining actions keep their times */
            continue;
        }
        action.after_ms += removed_ms;
        removed_ms = 0;
        g_array_append_val(rest, action);
    }
    return rest;
}

GArray *lab_fuzz_shrink(uint64_t seed, const GArray *actions)
{
    GArray *best = copy_without(actions, 0, 0);
    for (guint chunk = best->len / 2; chunk > 0; chunk /= 2) {
        for (guint begin = 0; begin < best->len;) {
            GArray *candidate = copy_without(best, begin, chunk);
            if (lab_fuzz_run(seed, candidate).is_broken) {
                g_array_free(best, TRUE);
                best = candidate;
            } else {
                g_array_free(candidate, TRUE);
                begin += chunk;
            }
        }
    }
    return best;
}

void lab_fuzz_describe(const lab_action_t *action, GString *out)
{
    static const char *const names[] = {
        "query", "dispatch", "repeat",     "kill",        "start",     "stop",
        "pause", "cut",      "isolate",    "heal",        "searcher",  "slow",
        "roll",  "config",   "config_old", "config_down", "config_bad"};
    g_string_append_printf(out, "+%u ms %s a=%u b=%u", action->after_ms, names[action->type],
                           action->a, action->b);
}
