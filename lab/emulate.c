/**
 * `tealspar-lab emulate`: the decision measured in the simulator, with whole nodes, at a given part
 * of the slots' capacity, beside baselines and a clairvoyant bound on the same arrivals and the
 * same service times.
 */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"
#include "tealspar/command.h"
#include "tealspar/declarations_file.h"
#include "tealspar/hash.h"
#include "tealspar/histogram.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 13
#define KINDS_MAX 16
#define SETTLE_US (9ULL * TS_US_PER_S)
#define DRAIN_US (5ULL * TS_US_PER_S)
#define VOCABULARY 997U
#define NETWORK_MS 0.3
#define US_PER_MS_DOUBLE 1000.0
#define REPORT_DIGITS 5
#define PERCENT 100.0
/* A run of faults in the middle of the measured time, as parts of it. */
#define FAULT_BEGIN 0.4
#define FAULT_END 0.6

/* One kind under load and what came of it. */
typedef struct emulated_kind {
    const ts_selector_t *selector;
    double share; /* of queries */
    uint64_t sent;
    uint64_t answered;
    double coverage_sum;
    ts_histogram_t latencies;
} emulated_kind_t;

typedef struct emulation {
    lab_sim_t *sim;
    ts_declarations_t *declarations;
    emulated_kind_t kinds[KINDS_MAX];
    size_t kinds_count;
    double load; /* part of the capacity of the hottest shard */
    double seconds;
    double rate;       /* queries a second */
    double service_ms; /* mean, stragglers included */
    uint64_t seed;
    uint64_t random; /* of arrivals, apart from the simulation's: the same for every policy */
    uint64_t next;
    uint64_t needed;
    uint64_t refused;
    uint64_t unknown;
    const char *fault;
} emulation_t;

static double uniform(emulation_t *emulation)
{
    emulation->random = ts_hash_mix(emulation->random, 7);
    return ((double)(emulation->random >> 11) + 0.5) / 9007199254740992.0;
}

/* ---- the rate for a load ---- */

/* Work a second that one query a second puts on each back end, in slot-seconds, at its hottest. */
static double hottest_use(const emulation_t *emulation)
{
    double *use = g_new0(double, emulation->declarations->backends_count);
    for (size_t k = 0; k < emulation->kinds_count; k++) {
        const emulated_kind_t *kind = &emulation->kinds[k];
        const ts_selector_t *selector = kind->selector;
        double part = selector->route == TS_ROUTE_KEY ? 1.0 / selector->reach_count : 1.0;
        for (uint32_t i = 0; i < selector->reach_count; i++) {
            uint32_t begin = selector->replicas_begin[i];
            uint32_t count = selector->replicas_begin[i + 1] - begin;
            for (uint32_t r = 0; r < count; r++) {
                use[selector->replicas[begin + r]] += kind->share * part / count;
            }
        }
    }
    double hottest = 0;
    for (unsigned b = 0; b < emulation->declarations->backends_count; b++) {
        double slots = emulation->declarations->backends[b].slots;
        hottest = MAX(hottest, use[b] * emulation->service_ms / 1000.0 / slots);
    }
    g_free(use);
    return hottest;
}

/* ---- queries ---- */

typedef struct asked {
    emulation_t *emulation;
    emulated_kind_t *kind;
} asked_t;

static void take_answer(void *context, const ts_answer_t *answer)
{
    asked_t *asked = context;
    emulated_kind_t *kind = asked->kind;
    switch (answer->outcome) {
    case TS_OUTCOME_ANSWERED:
        kind->answered++;
        kind->coverage_sum += (double)answer->covered / answer->shards;
        ts_histogram_add(&kind->latencies, answer->took_us);
        break;
    case TS_OUTCOME_REFUSED:
        asked->emulation->refused++;
        break;
    case TS_OUTCOME_UNKNOWN:
        asked->emulation->unknown++;
        break;
    }
    g_free(asked);
}

static emulated_kind_t *draw_kind(emulation_t *emulation)
{
    double drawn = uniform(emulation);
    for (size_t i = 0; i + 1 < emulation->kinds_count; i++) {
        drawn -= emulation->kinds[i].share;
        if (drawn < 0) {
            return &emulation->kinds[i];
        }
    }
    return &emulation->kinds[emulation->kinds_count - 1];
}

static void send_query(emulation_t *emulation)
{
    emulated_kind_t *kind = draw_kind(emulation);
    g_assert(kind->selector != NULL);
    unsigned node = (unsigned)(uniform(emulation) * lab_sim_node_count(emulation->sim));
    unsigned word = (unsigned)(uniform(emulation) * VOCABULARY);
    ts_front_t *front = lab_sim_front(emulation->sim, node);
    if (front == NULL) {
        return;
    }
    bool is_by_key = kind->selector->route == TS_ROUTE_KEY;
    char *text = g_strdup_printf("name-%u", word);
    ts_query_request_t request = {
        .id = g_strdup_printf("e%lu", (unsigned long)emulation->next++),
        .kind = g_strdup(kind->selector->kind),
        .text = is_by_key ? NULL : text,
        .key = is_by_key ? text : NULL,
        .limit = 10,
        .issued_at_ms = ts_clock_wall_ms(),
    };
    asked_t *asked = g_new0(asked_t, 1);
    asked->emulation = emulation;
    asked->kind = kind;
    kind->sent++;
    emulation->needed += is_by_key ? 1 : kind->selector->reach_count;
    ts_front_submit(front, &request, take_answer, asked);
}

/* ---- faults in the middle ---- */

static void begin_fault(emulation_t *emulation)
{
    lab_sim_t *sim = emulation->sim;
    if (strcmp(emulation->fault, "replica") == 0) {
        lab_sim_set_searcher(sim, 0, LAB_SIM_DEAD);
    } else if (strcmp(emulation->fault, "straggler") == 0) {
        lab_sim_slow_searcher(sim, 0, 30.0);
    } else if (strcmp(emulation->fault, "node") == 0) {
        lab_sim_kill(sim, 0);
    }
}

static void end_fault(emulation_t *emulation)
{
    lab_sim_set_searcher(emulation->sim, 0, LAB_SIM_SERVING);
    lab_sim_slow_searcher(emulation->sim, 0, 1.0);
    lab_sim_start(emulation->sim, 0);
}

/* Rolls the back ends one by one over the middle of the time. */
static void roll_due(emulation_t *emulation, double part, unsigned *rolled)
{
    unsigned count = lab_sim_searcher_count(emulation->sim);
    double progress = (part - FAULT_BEGIN) / (FAULT_END - FAULT_BEGIN);
    while (*rolled < count && (double)*rolled / count < progress) {
        lab_sim_set_snapshot(emulation->sim, (*rolled)++, 2, true);
    }
}

/* ---- the run ---- */

static void run_load(emulation_t *emulation)
{
    lab_sim_run(emulation->sim, SETTLE_US);
    lab_sim_reset_totals(emulation->sim);
    ts_time_us_t begin_us = lab_sim_now_us(emulation->sim);
    double at_s = 0;
    unsigned rolled = 0;
    bool has_begun = false;
    bool has_ended = false;
    while (at_s < emulation->seconds) {
        at_s += -log(uniform(emulation)) / emulation->rate;
        ts_time_us_t due_us = begin_us + (ts_time_us_t)(at_s * (double)TS_US_PER_S);
        ts_time_us_t now_us = lab_sim_now_us(emulation->sim);
        lab_sim_run(emulation->sim, due_us > now_us ? due_us - now_us : 0);
        double part = at_s / emulation->seconds;
        if (!has_begun && part > FAULT_BEGIN) {
            has_begun = true;
            begin_fault(emulation);
        }
        if (strcmp(emulation->fault, "roll") == 0) {
            roll_due(emulation, part, &rolled);
        }
        if (has_begun && !has_ended && part > FAULT_END) {
            has_ended = true;
            end_fault(emulation);
        }
        send_query(emulation);
    }
    lab_sim_run(emulation->sim, DRAIN_US);
}

static double quantile_ms(const ts_histogram_t *histogram, double quantile)
{
    return (double)ts_histogram_quantile(histogram, quantile) / US_PER_MS_DOUBLE;
}

static json_t *report_kinds(const emulation_t *emulation)
{
    json_t *kinds = json_object();
    for (size_t i = 0; i < emulation->kinds_count; i++) {
        const emulated_kind_t *kind = &emulation->kinds[i];
        double mean = kind->answered == 0 ? 0 : kind->coverage_sum / (double)kind->answered;
        json_object_set_new(
            kinds, kind->selector->kind,
            json_pack("{s:I, s:I, s:f, s:f, s:f, s:f}", "sent", (json_int_t)kind->sent, "answered",
                      (json_int_t)kind->answered, "p50_ms", quantile_ms(&kind->latencies, 0.5),
                      "p99_ms", quantile_ms(&kind->latencies, 0.99), "p999_ms",
                      quantile_ms(&kind->latencies, 0.999), "coverage_mean", mean));
    }
    return kinds;
}

static json_t *report(const emulation_t *emulation, const char *policy, double stragglers)
{
    double work_us = 0;
    uint64_t requests = 0;
    lab_sim_totals(emulation->sim, &work_us, &requests);
    double extra = emulation->needed == 0 ? 0 : (double)requests / (double)emulation->needed - 1.0;
    return json_pack("{s:s, s:f, s:f, s:s, s:I, s:f, s:f, s:I, s:I, s:o}", "policy", policy, "load",
                     emulation->load, "straggler_percent", stragglers, "fault", emulation->fault,
                     "seed", (json_int_t)emulation->seed, "queries_per_s", emulation->rate,
                     "extra_load", extra, "refused", (json_int_t)emulation->refused, "unknown",
                     (json_int_t)emulation->unknown, "kinds", report_kinds(emulation));
}

/* ---- the command ---- */

static bool add_kind(emulation_t *emulation, const char *text)
{
    char **parts = g_strsplit(text, ":", 2);
    emulated_kind_t *kind = &emulation->kinds[emulation->kinds_count++];
    kind->selector =
        parts[0] == NULL ? NULL : ts_declarations_selector(emulation->declarations, parts[0]);
    kind->share = parts[0] != NULL && parts[1] != NULL ? g_ascii_strtod(parts[1], NULL) : 0;
    g_strfreev(parts);
    if (kind->selector == NULL || kind->share <= 0) {
        fprintf(stderr, "--kind %s: not of the form KIND:SHARE, or not declared\n", text);
        return false;
    }
    return true;
}

static void normalise_shares(emulation_t *emulation)
{
    double sum = 0;
    for (size_t i = 0; i < emulation->kinds_count; i++) {
        sum += emulation->kinds[i].share;
    }
    for (size_t i = 0; i < emulation->kinds_count; i++) {
        emulation->kinds[i].share /= sum;
    }
}

static void emulate(emulation_t *emulation, const lab_sim_config_t *config)
{
    static const lab_sim_observer_t nobody = {0};
    const lab_sim_service_t *service = &config->service;
    double mean_factor = (service->straggler_factor[0] + service->straggler_factor[1]) / 2;
    emulation->service_ms =
        service->mean_ms * (1.0 + service->straggler_percent / PERCENT * (mean_factor - 1.0));
    emulation->rate = emulation->load / hottest_use(emulation);
    emulation->random = ts_hash_mix(emulation->seed, 99);
    emulation->sim = lab_sim_create(config, &nobody);
    run_load(emulation);
    json_t *result = report(emulation, config->policy, service->straggler_percent);
    json_dumpf(result, stdout, JSON_COMPACT | JSON_REAL_PRECISION(REPORT_DIGITS));
    printf("\n");
    json_decref(result);
    lab_sim_destroy(emulation->sim);
}

static double value_or(const struct arg_dbl *option, double fallback)
{
    return option->count > 0 ? option->dval[0] : fallback;
}

static int run_emulate(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("d", "declarations", "FILE", "declarations");
    struct arg_str *kinds =
        arg_strn("k", "kind", "KIND:SHARE", 1, KINDS_MAX, "kinds and their shares of queries");
    struct arg_str *policy = arg_str0(NULL, "policy", "NAME", "adaptive, naive, fixed-hedge");
    struct arg_dbl *load = arg_dbl0(NULL, "load", "PART", "of the slots' capacity (0.7)");
    struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "S", "virtual time (20)");
    struct arg_dbl *mean = arg_dbl0(NULL, "service-ms", "MS", "mean service time (5)");
    struct arg_dbl *stragglers = arg_dbl0(NULL, "stragglers", "PERCENT", "slow requests (1)");
    struct arg_dbl *sigma = arg_dbl0(NULL, "sigma", "S", "spread of service times (0.4)");
    struct arg_int *nodes = arg_int0(NULL, "nodes", "N", "nodes a zone (2)");
    struct arg_str *fault = arg_str0(NULL, "fault", "NAME", "none, replica, straggler, node, roll");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help,       file,  kinds, policy, load, seconds, mean,
                               stragglers, sigma, nodes, fault,  seed, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE, "measure the decision in the simulator",
                         &exit_code)) {
        emulation_t emulation = {.load = value_or(load, 0.7),
                                 .seconds = value_or(seconds, 20),
                                 .seed = seed->count > 0 ? (uint64_t)seed->ival[0] : 1,
                                 .fault = fault->count > 0 ? fault->sval[0] : "none"};
        emulation.declarations = ts_declarations_load_file(file->filename[0]);
        bool is_good = emulation.declarations != NULL;
        for (int i = 0; is_good && i < kinds->count; i++) {
            is_good = add_kind(&emulation, kinds->sval[i]);
        }
        exit_code = is_good ? TS_EXIT_OK : TS_EXIT_USAGE;
        if (is_good) {
            lab_sim_config_t config = {
                .declarations = emulation.declarations->text,
                .nodes_per_zone = nodes->count > 0 ? (unsigned)nodes->ival[0] : 2,
                .policy = policy->count > 0 ? policy->sval[0] : "adaptive",
                .network_ms = NETWORK_MS,
                .zone_ms = 1,
                .jitter = 0.2,
                .service = {value_or(mean, 5),
                            value_or(sigma, 0.4),
                            value_or(stragglers, 1),
                            {10, 50}},
                .seed = emulation.seed,
            };
            normalise_shares(&emulation);
            emulate(&emulation, &config);
        }
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_emulate};
TS_REGISTER_PLUGIN(lab_command_emulate, TS_PLUGIN_COMMAND, "emulate", 8, &command,
                   "measure the decision in the simulator")
