/** Execution of a scenario's faults. */
#include "faults.h"

#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/http_client.h"

#define STARTING_MS 1000
#define MS_PER_S_DOUBLE 1000.0
#define CONTROL_CONNECTIONS 4

struct lab_faults {
    lab_fleet_t *fleet;
    lab_fault_log_t *log;
    GPtrArray *scheduled; /* of scheduled_fault_t */
    unsigned pending_control_calls;
};

/* A fault and its timers. */
typedef struct scheduled_fault {
    lab_faults_t *faults;
    lab_fleet_t *fleet;
    lab_fault_log_t *log;
    const lab_fault_t *fault;
    bool has_begun;
    bool has_ended;
    uv_timer_t begin;
    uv_timer_t middle; /* cold start: end of the starting state; snapshot roll: next backend */
    uv_timer_t end;
    unsigned rolled_backends; /* snapshot roll: backends done */
} scheduled_fault_t;

/* ---- control calls to fake backends, platform and proxy ---- */

typedef struct control_call {
    lab_faults_t *faults;
    ts_http_pool_t *pool;
} control_call_t;

static void finish_control_call(void *context, const ts_http_result_t *result)
{
    control_call_t *call = context;
    call->faults->pending_control_calls--;
    ts_http_pool_close(call->pool);
    g_free(call);
}

static void send_control(lab_faults_t *faults, const char *address, const char *body)
{
    control_call_t *call = g_new0(control_call_t, 1);
    call->faults = faults;
    ts_http_client_request_t send = {"POST", "/control", "connection: close\r\n", body,
                                     strlen(body)};
    if (ts_http_pool_open(&call->pool, faults->fleet->loop, address, CONTROL_CONNECTIONS) ==
        TS_OK) {
        faults->pending_control_calls++;
        ts_http_call(call->pool, &send, finish_control_call, call);
    }
}

static const ts_backend_t *find_backend(const lab_fleet_t *fleet, const char *name)
{
    for (unsigned i = 0; name != NULL && i < fleet->declarations->backends_count; i++) {
        if (strcmp(fleet->declarations->backends[i].name, name) == 0) {
            return &fleet->declarations->backends[i];
        }
    }
    return NULL;
}

static void control_backend(const scheduled_fault_t *scheduled, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void control_backend(const scheduled_fault_t *scheduled, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *body = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    const ts_backend_t *backend = find_backend(scheduled->fleet, scheduled->fault->target);
    send_control(scheduled->faults, backend->address, body);
    g_free(body);
}

static void control_proxy(const scheduled_fault_t *scheduled, const char *mode)
{
    char *body =
        g_strdup_printf("{\"zone\": \"%s\", \"mode\": \"%s\"}", scheduled->fault->target, mode);
    send_control(scheduled->faults, scheduled->fleet->proxy_control, body);
    g_free(body);
}

/* ---- nodes ---- */

static void signal_node(const scheduled_fault_t *scheduled, int number)
{
    lab_node_t *node = lab_fleet_find_node(scheduled->fleet, scheduled->fault->target);
    if (node->process.is_running) {
        uv_process_kill(&node->process.handle, number);
    }
}

static void record_stop(const scheduled_fault_t *scheduled)
{
    int64_t now_ms = ts_clock_wall_ms();
    g_array_append_val(scheduled->log->stops, now_ms);
}

static void record_disturbance(const scheduled_fault_t *scheduled)
{
    int64_t now_ms = ts_clock_wall_ms();
    lab_disturbance_t disturbance = {now_ms,
                                     now_ms + (int64_t)(scheduled->fault->for_s * MS_PER_S_DOUBLE)};
    g_array_append_val(scheduled->log->disturbances, disturbance);
}

static void kill_target(const scheduled_fault_t *scheduled)
{
    lab_node_t *node = lab_fleet_find_node(scheduled->fleet, scheduled->fault->target);
    if (node == NULL) {
        control_backend(scheduled, "{\"state\": \"dead\"}");
        return;
    }
    node->process.is_exit_expected = true;
    record_disturbance(scheduled);
    signal_node(scheduled, SIGKILL);
}

static void start_target(const scheduled_fault_t *scheduled)
{
    lab_node_t *node = lab_fleet_find_node(scheduled->fleet, scheduled->fault->target);
    if (node == NULL) {
        control_backend(scheduled, "{\"state\": \"serving\"}");
    } else if (!node->process.is_running) {
        lab_fleet_start_node(scheduled->fleet, node);
    }
}

/* ---- configuration ---- */

static void publish(const scheduled_fault_t *scheduled, char *text)
{
    lab_published_t published = {lab_config_parse_version(text), ts_clock_now_us()};
    lab_fleet_publish(scheduled->fleet, text);
    g_array_append_val(scheduled->log->published, published);
}

static void publish_change(const scheduled_fault_t *scheduled)
{
    uint64_t version = lab_config_parse_version(scheduled->fleet->config_text) + 1;
    publish(scheduled, lab_config_with_version(scheduled->fleet->config_text, version));
}

static void write_config_file(const lab_fleet_t *fleet, const char *text)
{
    g_file_set_contents(fleet->config_path, text, -1, NULL);
}

/* Writes a newer version that every node must reject: a selector refers to an undeclared group. */
static void publish_invalid_config(const scheduled_fault_t *scheduled)
{
    uint64_t version = lab_config_parse_version(scheduled->fleet->config_text) + 1;
    char *text = lab_config_with_version(scheduled->fleet->config_text, version);
    char *bad = g_strconcat(text, "  - {kind: bad, groups: [service=nobody], wait: deadline, ",
                            "deadline_ms: 100, least_coverage_percent: 50}\n", NULL);
    write_config_file(scheduled->fleet, bad);
    g_free(bad);
    g_free(text);
}

/* ---- repartition ---- */

static char *find_shards_field(char *text, const char *backend, char **end)
{
    char *name = g_strdup_printf("{name: %s,", backend);
    char *line = strstr(text, name);
    g_free(name);
    char *field = line == NULL ? NULL : strstr(line, "shards: [");
    *end = field == NULL ? NULL : strchr(field, ']') + 1;
    return field;
}

/* Returns the declarations with the shards of two backends swapped. */
static char *exchange_shards(const char *config, const char *first, const char *second)
{
    char *text = g_strdup(config);
    char *first_end = NULL;
    char *second_end = NULL;
    char *first_field = find_shards_field(text, first, &first_end);
    char *second_field = find_shards_field(text, second, &second_end);
    if (first_field > second_field) {
        char *field = first_field;
        char *field_end = first_end;
        first_field = second_field;
        first_end = second_end;
        second_field = field;
        second_end = field_end;
    }
    GString *result = g_string_new_len(text, first_field - text);
    g_string_append_len(result, second_field, second_end - second_field);
    g_string_append_len(result, first_end, second_field - first_end);
    g_string_append_len(result, first_field, first_end - first_field);
    g_string_append(result, second_end);
    g_free(text);
    return g_string_free(result, FALSE);
}

static void set_shards(lab_faults_t *faults, const ts_backend_t *backend, const char *shards)
{
    char *body = g_strdup_printf("{\"shards\": [%s]}", shards);
    send_control(faults, backend->address, body);
    g_free(body);
}

static void begin_repartition(const scheduled_fault_t *scheduled)
{
    const lab_fleet_t *fleet = scheduled->fleet;
    const ts_backend_t *first = find_backend(fleet, scheduled->fault->target);
    const ts_backend_t *second = find_backend(fleet, scheduled->fault->to);
    char *both = g_strdup_printf("\"%s\", \"%s\"", first->shards[0], second->shards[0]);
    set_shards(scheduled->faults, first, both);
    set_shards(scheduled->faults, second, both);
    g_free(both);
    uint64_t version = lab_config_parse_version(fleet->config_text) + 1;
    char *exchanged =
        exchange_shards(fleet->config_text, scheduled->fault->target, scheduled->fault->to);
    publish(scheduled, lab_config_with_version(exchanged, version));
    g_free(exchanged);
}

static void end_repartition(const scheduled_fault_t *scheduled)
{
    const ts_backend_t *first = find_backend(scheduled->fleet, scheduled->fault->target);
    const ts_backend_t *second = find_backend(scheduled->fleet, scheduled->fault->to);
    char *of_first = g_strdup_printf("\"%s\"", second->shards[0]);
    char *of_second = g_strdup_printf("\"%s\"", first->shards[0]);
    set_shards(scheduled->faults, first, of_first);
    set_shards(scheduled->faults, second, of_second);
    g_free(of_first);
    g_free(of_second);
}

/* ---- snapshot roll ---- */

static void roll_next_backend(uv_timer_t *timer)
{
    scheduled_fault_t *scheduled = timer->data;
    const lab_fleet_t *fleet = scheduled->fleet;
    if (scheduled->rolled_backends >= fleet->declarations->backends_count) {
        uv_timer_stop(timer);
        return;
    }
    const ts_backend_t *backend = &fleet->declarations->backends[scheduled->rolled_backends++];
    char *body =
        g_strdup_printf("{\"snapshot\": %u, \"keep_previous\": %s}", scheduled->fault->snapshot,
                        scheduled->fault->keep_previous ? "true" : "false");
    send_control(scheduled->faults, backend->address, body);
    g_free(body);
}

static void begin_roll(scheduled_fault_t *scheduled)
{
    uint64_t step_ms = (uint64_t)(scheduled->fault->for_s * MS_PER_S_DOUBLE /
                                  scheduled->fleet->declarations->backends_count);
    uv_timer_start(&scheduled->middle, roll_next_backend, 0, MAX(step_ms, 1));
}

/* ---- beginning and ending ---- */

static void begin_warmup(uv_timer_t *timer)
{
    const scheduled_fault_t *scheduled = timer->data;
    control_backend(scheduled, "{\"state\": \"serving\", \"cold_ms\": %g}",
                    scheduled->fault->for_s * MS_PER_S_DOUBLE);
}

static void begin_fault(uv_timer_t *timer)
{
    scheduled_fault_t *scheduled = timer->data;
    scheduled->has_begun = true;
    switch (scheduled->fault->type) {
    case LAB_FAULT_STRAGGLE:
        control_backend(scheduled, "{\"slow_factor\": %g}", scheduled->fault->factor);
        break;
    case LAB_FAULT_KILL:
        kill_target(scheduled);
        break;
    case LAB_FAULT_START:
        start_target(scheduled);
        break;
    case LAB_FAULT_PAUSE:
        record_disturbance(scheduled);
        signal_node(scheduled, SIGSTOP);
        break;
    case LAB_FAULT_PARTITION:
        control_proxy(scheduled,
                      scheduled->fault->mode == NULL ? "blackhole" : scheduled->fault->mode);
        break;
    case LAB_FAULT_DRAIN:
        control_backend(scheduled, "{\"state\": \"draining\"}");
        break;
    case LAB_FAULT_COLD_START:
        control_backend(scheduled, "{\"state\": \"starting\"}");
        uv_timer_start(&scheduled->middle, begin_warmup, STARTING_MS, 0);
        break;
    case LAB_FAULT_SHED:
        control_backend(scheduled, "{\"state\": \"shedding\"}");
        break;
    case LAB_FAULT_SNAPSHOT_ROLL:
        begin_roll(scheduled);
        break;
    case LAB_FAULT_REPARTITION:
        begin_repartition(scheduled);
        break;
    case LAB_FAULT_CONFIG_DOWN:
        send_control(scheduled->faults, scheduled->fleet->platform, "{\"mode\": \"down\"}");
        break;
    case LAB_FAULT_CONFIG_STALE:
        write_config_file(scheduled->fleet, scheduled->fleet->first_config);
        break;
    case LAB_FAULT_CONFIG_CHANGE:
        publish_change(scheduled);
        break;
    case LAB_FAULT_CONFIG_BAD:
        publish_invalid_config(scheduled);
        break;
    case LAB_FAULT_STOP:
        record_stop(scheduled);
        signal_node(scheduled, SIGTERM);
        break;
    }
}

static void end_fault(scheduled_fault_t *scheduled)
{
    scheduled->has_ended = true;
    switch (scheduled->fault->type) {
    case LAB_FAULT_STRAGGLE:
        control_backend(scheduled, "{\"slow_factor\": 1.0}");
        break;
    case LAB_FAULT_PAUSE:
        signal_node(scheduled, SIGCONT);
        break;
    case LAB_FAULT_PARTITION:
        control_proxy(scheduled, "pass");
        break;
    case LAB_FAULT_DRAIN:
    case LAB_FAULT_SHED:
        control_backend(scheduled, "{\"state\": \"serving\"}");
        break;
    case LAB_FAULT_REPARTITION:
        end_repartition(scheduled);
        break;
    case LAB_FAULT_CONFIG_DOWN:
        send_control(scheduled->faults, scheduled->fleet->platform, "{\"mode\": \"up\"}");
        break;
    case LAB_FAULT_CONFIG_STALE:
    case LAB_FAULT_CONFIG_BAD:
        write_config_file(scheduled->fleet, scheduled->fleet->config_text);
        break;
    default:
        break;
    }
}

static void on_end_timer(uv_timer_t *timer)
{
    end_fault(timer->data);
}

/* ---- checking and arming ---- */

static bool has_target(const lab_fleet_t *fleet, const lab_fault_t *fault)
{
    switch (fault->type) {
    case LAB_FAULT_KILL:
    case LAB_FAULT_START:
        return lab_fleet_find_node(fleet, fault->target) != NULL ||
               find_backend(fleet, fault->target) != NULL;
    case LAB_FAULT_PAUSE:
    case LAB_FAULT_STOP:
        return lab_fleet_find_node(fleet, fault->target) != NULL;
    case LAB_FAULT_PARTITION:
        return fault->target != NULL &&
               (strcmp(fault->target, "*") == 0 ||
                ts_declarations_zone_index(fleet->declarations, fault->target) >= 0);
    case LAB_FAULT_STRAGGLE:
    case LAB_FAULT_DRAIN:
    case LAB_FAULT_COLD_START:
    case LAB_FAULT_SHED:
        return find_backend(fleet, fault->target) != NULL;
    case LAB_FAULT_REPARTITION:
        return find_backend(fleet, fault->target) != NULL && find_backend(fleet, fault->to) != NULL;
    default:
        return true;
    }
}

bool lab_faults_check(const lab_fleet_t *fleet)
{
    for (unsigned i = 0; i < fleet->scenario->faults_count; i++) {
        const lab_fault_t *fault = &fleet->scenario->faults[i];
        if (!has_target(fleet, fault)) {
            fprintf(stderr, "faults[%u]: no target '%s' for this type of fault\n", i,
                    fault->target == NULL ? "" : fault->target);
            return false;
        }
    }
    return true;
}

static void schedule_fault(lab_faults_t *faults, const lab_fault_t *fault)
{
    uv_loop_t *loop = faults->fleet->loop;
    scheduled_fault_t *scheduled = g_new0(scheduled_fault_t, 1);
    scheduled->faults = faults;
    scheduled->fleet = faults->fleet;
    scheduled->log = faults->log;
    scheduled->fault = fault;
    uv_timer_init(loop, &scheduled->begin);
    uv_timer_init(loop, &scheduled->middle);
    uv_timer_init(loop, &scheduled->end);
    scheduled->begin.data = scheduled;
    scheduled->middle.data = scheduled;
    scheduled->end.data = scheduled;
    g_ptr_array_add(faults->scheduled, scheduled);
    uint64_t at_ms = (uint64_t)(fault->at_s * MS_PER_S_DOUBLE);
    uv_timer_start(&scheduled->begin, begin_fault, at_ms, 0);
    if (fault->for_s > 0) {
        uint64_t for_ms = (uint64_t)(fault->for_s * MS_PER_S_DOUBLE);
        uv_timer_start(&scheduled->end, on_end_timer, at_ms + for_ms, 0);
    }
}

lab_faults_t *lab_faults_schedule(lab_fleet_t *fleet, lab_fault_log_t *log)
{
    lab_faults_t *faults = g_new0(lab_faults_t, 1);
    faults->fleet = fleet;
    faults->log = log;
    faults->scheduled = g_ptr_array_new();
    for (unsigned i = 0; i < fleet->scenario->faults_count; i++)
        schedule_fault(faults, &fleet->scenario->faults[i]);
    return faults;
}

void lab_faults_end(lab_faults_t *faults)
{
    for (guint i = 0; i < faults->scheduled->len; i++) {
        scheduled_fault_t *scheduled = g_ptr_array_index(faults->scheduled, i);
        uv_timer_stop(&scheduled->begin);
        uv_timer_stop(&scheduled->middle);
        uv_timer_stop(&scheduled->end);
        if (scheduled->has_begun && !scheduled->has_ended)
            end_fault(scheduled);
    }
}

bool lab_faults_have_ended(void *context)
{
    return ((const lab_faults_t *)context)->pending_control_calls == 0;
}
