/** Simulated planned stop of an owner of backends while another member is suspended. */
#include "suspension.h"

#include <inttypes.h>
#include <stdlib.h>

#include "../test_support.h"
#include "sim_internal.h"
#include "tealspar/hash.h"
#include "tealspar/messages.h"

#define OWNER 0U
#define MEMBER (NODES - 1U)
#define SUSPENSION_LEAD_US (100ULL * TS_US_PER_MS)
/* Subrequests have left the node, replies have not arrived. */
#define SEND_US 100ULL
#define END_US (12ULL * TS_US_PER_S)

char *suspension_declarations(void)
{
    static const char *const zones[] = {"north", "south", "east"};
    GString *text = g_string_new("version: 1\nzones:\n");
    for (unsigned z = 0; z < ZONES; z++)
        g_string_append_printf(text, "  - {name: %s, region: land}\n", zones[z]);
    g_string_append(text, "groups:\n  - {name: one, labels: [service=a], shards: 1}\nbackends:\n");
    for (unsigned i = 0; i < ZONES * BACKENDS_PER_ZONE; i++)
        g_string_append_printf(text,
                               "  - {name: b%u, address: '10.7.0.%u:1', zone: %s, shards: [one/0], "
                               "slots: 8, connections: 16}\n",
                               i, i + 1, zones[i % ZONES]);
    g_string_append(text, "selectors:\n  - {kind: send, groups: [service=a], route: key, wait: "
                          "deadline, deadline_ms: 2000, least_coverage_percent: 100, "
                          "unrepeatable: true}\n");
    return g_string_free(text, FALSE);
}

typedef struct outcomes {
    unsigned answered;
    unsigned refused;
    unsigned unknown;
    ts_error_t error; /* of the last unknown outcome */
} outcomes_t;

typedef struct request_result {
    bool has_ended;
    ts_outcome_t outcome;
    ts_error_t error;
    unsigned executions;
} request_result_t;

typedef struct suspension {
    lab_sim_t *sim;
    request_result_t results[SUSPENSION_REQUESTS];
} suspension_t;

static void count_execution(void *context, const lab_sim_execution_t *execution)
{
    suspension_t *suspension = context;
    suspension->results[atoi(execution->request_id + 1)].executions++;
}

static void record_outcome(void *context, const ts_answer_t *answer)
{
    suspension_t *suspension = context;
    request_result_t *result = &suspension->results[atoi(answer->id + 1)];
    assert_false(result->has_ended);
    result->has_ended = true;
    result->outcome = answer->outcome;
    result->error = answer->error;
}

static void submit_requests(void *context)
{
    suspension_t *suspension = context;
    for (unsigned i = 0; i < SUSPENSION_REQUESTS; i++) {
        ts_query_request_t request = {.id = g_strdup_printf("q%u", i),
                                      .kind = g_strdup("send"),
                                      .key = g_strdup("k"),
                                      .limit = 10,
                                      .unrepeatable = true,
                                      .issued_at_ms = ts_clock_wall_ms()};
        ts_front_submit(lab_sim_front(suspension->sim, MEMBER), &request, record_outcome,
                        suspension);
    }
}

/* Reports the loss of the connection to the owner before the frames that wait are read. */
static void report_loss(void *context)
{
    const suspension_t *suspension = context;
    const lab_sim_node_t *owner = &suspension->sim->nodes[OWNER];
    const lab_sim_node_t *member = &suspension->sim->nodes[MEMBER];
    const char *name = owner->settings.name;
    ts_task_send(ts_task_find(member->node.tasks, "front"),
                 &ts_peer_lost_message(ts_hash_text(name), name)->head);
}

/* Suspends the member for `span_us` from 0.1 s before the owner's stop. */
static void run_suspension(suspension_t *suspension, submission_t submission, ts_time_us_t span_us)
{
    lab_sim_t *sim = suspension->sim;
    lab_sim_advance(sim, SETTLE_US);
    ts_time_us_t begin_us = lab_sim_now_us(sim);
    if (submission == SUBMITTED_AFTER)
        lab_sim_call_at(sim, begin_us + span_us, submit_requests, suspension);
    else
        submit_requests(suspension);
    if (submission == SUBMITTED_AND_SENT_LOSS_FIRST)
        lab_sim_call_at(sim, begin_us + span_us, report_loss, suspension);
    if (submission == SUBMITTED_AND_SENT || submission == SUBMITTED_AND_SENT_LOSS_FIRST)
        lab_sim_advance(sim, SEND_US);
    lab_sim_pause(sim, MEMBER, begin_us + span_us - lab_sim_now_us(sim));
    lab_sim_advance(sim, begin_us + SUSPENSION_LEAD_US - lab_sim_now_us(sim));
    lab_sim_stop(sim, OWNER);
    lab_sim_advance(sim, END_US);
}

/* Returns the number of answered requests. */
static unsigned check_results(const suspension_t *suspension)
{
    outcomes_t outcomes = {0};
    unsigned unknown_executed = 0;
    for (unsigned i = 0; i < SUSPENSION_REQUESTS; i++) {
        const request_result_t *result = &suspension->results[i];
        assert_true(result->has_ended);
        assert_true(result->executions <= 1);
        assert_false(result->outcome == TS_OUTCOME_REFUSED && result->executions > 0);
        outcomes.answered += result->outcome == TS_OUTCOME_ANSWERED;
        outcomes.refused += result->outcome == TS_OUTCOME_REFUSED;
        if (result->outcome == TS_OUTCOME_UNKNOWN) {
            outcomes.unknown++;
            outcomes.error = result->error;
            unknown_executed += result->executions;
        }
    }
    if (outcomes.unknown > 0)
        print_message("%u answered, %u refused, %u unknown (%s), of which executed %u\n",
                      outcomes.answered, outcomes.refused, outcomes.unknown,
                      ts_error_name(outcomes.error), unknown_executed);
    assert_int_equal(outcomes.unknown, 0);
    return outcomes.answered;
}

static unsigned check_with(const char *declarations, submission_t submission, unsigned span_ms)
{
    suspension_t suspension = {0};
    lab_sim_observer_t observer = {.context = &suspension, .on_execution = count_execution};
    lab_sim_config_t config = {.declarations = declarations,
                               .nodes_per_zone = NODES_PER_ZONE,
                               .policy = "adaptive",
                               .network_ms = 0.3,
                               .zone_ms = 1,
                               .jitter = 0.2,
                               .service = {5, 0.2, 0, {1, 1}},
                               .seed = 1};
    suspension.sim = lab_sim_create(&config, &observer);
    run_suspension(&suspension, submission, span_ms * TS_US_PER_MS);
    unsigned answered = check_results(&suspension);
    lab_sim_destroy(suspension.sim);
    return answered;
}

unsigned suspension_check(submission_t submission, unsigned span_ms)
{
    char *declarations = suspension_declarations();
    unsigned answered = check_with(declarations, submission, span_ms);
    g_free(declarations);
    return answered;
}

void suspension_check_within_deadline(submission_t submission, unsigned span_ms)
{
    char *declarations = suspension_declarations();
    char *replaced = test_replace(declarations, "deadline_ms: 2000", "deadline_ms: 10000");
    assert_true(check_with(replaced, submission, span_ms) > 0);
    g_free(replaced);
    g_free(declarations);
}
