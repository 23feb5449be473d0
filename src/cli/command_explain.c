/** `tealspar explain`: prints the limits and the shard routing of a query kind, offline. */
#include <stdio.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/declarations_file.h"
#include "tealspar/plugin.h"
#include "tealspar/route.h"
#include "tealspar/view.h"

#define NODES_MAX 1000
#define TABLE_SIZE 7
#define US_PER_MS_DOUBLE 1000.0
#define CANDIDATES_MAX 64U

/* The selector to explain, and the policy and nodes to evaluate it with. */
typedef struct explanation {
    const ts_declarations_t *declarations;
    const ts_selector_t *selector;
    const ts_policy_t *policy;
    const ts_view_t *view;
} explanation_t;

static const char *describe_wait(ts_wait_rule_t wait)
{
    static const char *const names[] = {
        "every shard until the deadline", "until the minimum coverage is reached",
        "past the minimum coverage, until the expected gain is too low"};
    return names[wait];
}

static void print_limits(const explanation_t *explanation)
{
    const ts_selector_t *selector = explanation->selector;
    uint32_t shards = selector->route == TS_ROUTE_KEY ? 1 : selector->reach_count;
    printf("kind            %s (declarations version %lu)\n", selector->kind,
           (unsigned long)explanation->declarations->version);
    printf("shards          %u of %u reachable%s\n", shards, selector->reach_count,
           selector->route == TS_ROUTE_KEY ? ", by key" : "");
    printf("deadline        %u ms\n", selector->deadline_ms);
    printf("min. coverage   %g%%: %u shards\n", selector->least_coverage_percent,
           ts_route_min_shards(selector, shards));
    printf("waits           %s\n", describe_wait(selector->wait));
    printf("hedges          %g%% of subrequests\n", selector->hedge_percent);
    printf("retries         %g%% of subrequests\n", selector->retry_percent);
    printf("priority        %u of %u\n", selector->priority, TS_PRIORITY_MAX);
    printf("slot share      %u%%\n", selector->slot_share_percent);
    printf("unrepeatable    %s\n", selector->unrepeatable ? "yes: at most one dispatch" : "no");
}

static void print_times(const explanation_t *explanation)
{
    ts_histogram_t no_samples = {0};
    ts_hedge_input_t hedge = {explanation->selector, &no_samples,
                              explanation->selector->deadline_ms * TS_US_PER_MS};
    ts_time_us_t after_us = explanation->policy->hedge_after_us(&hedge);
    if (after_us == TS_HEDGE_NEVER) {
        printf("hedge time      never\n");
    } else {
        printf("hedge time      initially %.1f ms, then the measured quantile\n",
               (double)after_us / US_PER_MS_DOUBLE);
    }
}

/*
 * Returns the index in `replicas` of the first choice of a node without measurements. Replicas
 * beyond CANDIDATES_MAX are ignored.
 */
static int choose(const explanation_t *explanation, const uint32_t *replicas, uint32_t count)
{
    ts_candidate_t candidates[CANDIDATES_MAX] = {0};
    uint32_t known = count < CANDIDATES_MAX ? count : CANDIDATES_MAX;
    for (uint32_t i = 0; i < known; i++) {
        candidates[i].backend = replicas[i];
        candidates[i].slots = explanation->declarations->backends[replicas[i]].slots;
    }
    ts_choice_input_t input = {candidates, known, 0, 1};
    return explanation->policy->choose(&input);
}

static void print_replica(const explanation_t *explanation, uint32_t index, bool is_chosen)
{
    const ts_backend_t *backend = &explanation->declarations->backends[index];
    const ts_view_member_t *owner =
        explanation->view->count == 0 ? NULL : ts_view_owner(explanation->view, backend);
    printf("    %s %-24s %-22s zone %-12s slots %u%s%s\n", is_chosen ? "*" : " ", backend->name,
           backend->address, backend->zone, backend->slots, owner == NULL ? "" : "  owner ",
           owner == NULL ? "" : owner->name);
}

static void print_shard(const explanation_t *explanation, uint32_t reach_index,
                        const char *request_id)
{
    const ts_selector_t *selector = explanation->selector;
    uint32_t begin = selector->replicas_begin[reach_index];
    uint32_t count = selector->replicas_begin[reach_index + 1] - begin;
    const uint32_t *replicas = &selector->replicas[begin];
    int chosen = selector->unrepeatable ? (int)ts_route_replica_of_id(explanation->declarations,
                                                                      replicas, count, request_id)
                                        : choose(explanation, replicas, count);
    printf("  %s\n", explanation->declarations->shards[selector->reach[reach_index]].name);
    for (uint32_t i = 0; i < count; i++) {
        print_replica(explanation, replicas[i], (int)i == chosen);
    }
}

static void print_shards(const explanation_t *explanation, const char *key, const char *request_id)
{
    const ts_selector_t *selector = explanation->selector;
    printf("shards and replicas (* is the first choice of a node without measurements):\n");
    if (selector->route == TS_ROUTE_KEY && key != NULL) {
        print_shard(explanation, ts_route_shard_of_key(explanation->declarations, selector, key),
                    request_id);
        return;
    }
    for (uint32_t i = 0; i < selector->reach_count; i++) {
        print_shard(explanation, i, request_id);
    }
}

static bool add_nodes(ts_view_t *view, const struct arg_str *nodes)
{
    for (int i = 0; i < nodes->count; i++) {
        char **parts = g_strsplit(nodes->sval[i], "/", 2);
        bool is_valid = parts[0] != NULL && parts[1] != NULL;
        if (is_valid) {
            ts_view_add(view, parts[0], "", parts[1], 1, TS_MEMBER_LIVE, false);
        } else {
            fprintf(stderr, "--node %s: expected NAME/ZONE\n", nodes->sval[i]);
        }
        g_strfreev(parts);
        if (!is_valid) {
            return false;
        }
    }
    return true;
}

static int explain(const char *path, const char *kind, const char *key, const char *id,
                   const struct arg_str *nodes)
{
    ts_declarations_t *declarations = ts_declarations_load_file(path);
    if (declarations == NULL) {
        return TS_EXIT_USAGE;
    }
    ts_view_t *view = ts_view_create(NODES_MAX);
    explanation_t explanation = {declarations, ts_declarations_selector(declarations, kind),
                                 ts_plugin_find(TS_PLUGIN_POLICY, "adaptive"), view};
    int exit_code = TS_EXIT_USAGE;
    if (explanation.selector == NULL) {
        fprintf(stderr, "%s: no selector is declared for kind '%s' (%s)\n", path, kind,
                ts_error_name(TS_E_UNKNOWN_KIND));
    } else if (add_nodes(view, nodes)) {
        print_limits(&explanation);
        print_times(&explanation);
        print_shards(&explanation, key, id);
        exit_code = TS_EXIT_OK;
    }
    ts_view_unref(view);
    ts_declarations_unref(declarations);
    return exit_code;
}

static int run_explain(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("d", "declarations", "FILE", "declarations (YAML)");
    struct arg_str *kind = arg_str1("k", "kind", "KIND", "kind of query");
    struct arg_str *key = arg_str0(NULL, "key", "KEY", "key, for kinds routed by key");
    struct arg_str *id = arg_str0(NULL, "id", "ID", "request id, for unrepeatable kinds");
    struct arg_str *nodes = arg_strn(NULL, "node", "NAME/ZONE", 0, NODES_MAX,
                                     "a live node; shows the owners of the backends");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, file, kind, key, id, nodes, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "print the limits and the shard routing of a query kind", &exit_code)) {
        exit_code = explain(file->filename[0], kind->sval[0], key->count > 0 ? key->sval[0] : NULL,
                            id->count > 0 ? id->sval[0] : "", nodes);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_explain};
TS_REGISTER_PLUGIN(command_explain, TS_PLUGIN_COMMAND, "explain", 2, &command,
                   "print the limits and the shard routing of a query kind")
