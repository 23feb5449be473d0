/** The faults. */
#include "faults.h"

#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/http_client.h"

#define COLD_STARTING_MS 1000
#define MS_PER_S_DOUBLE 1000.0
#define CONTROL_CONNECTIONS 4

/* One fault with its timers. */
typedef struct armed_fault {
    lab_fleet_t *fleet;
    lab_fault_log_t *log;
    const lab_fault_t *fault;
    uv_timer_t begin;
    uv_timer_t middle; /* cold start: from starting to slow */
    uv_timer_t end;
    unsigned rolled; /* snapshot roll: back ends done */
} armed_fault_t;

/* ---- talking to the stand-ins ---- */

typedef struct control_call {
    ts_http_pool_t *pool;
} control_call_t;

static void forget_call(void *context, const ts_http_result_t *result)
{
    control_call_t *call = context;
    ts_http_pool_close(call->pool);
    g_free(call);
}

static void send_control(const lab_fleet_t *fleet, const char *address, const char *body)
{
    control_call_t *call = g_new0(control_call_t, 1);
    ts_http_send_t send = {"POST", "/control", "connection: close\r\n", body, strlen(body)};
    if (ts_http_pool_open(&call->pool, fleet->loop, address, CONTROL_CONNECTIONS) == TS_OK) {
        ts_http_call(call->pool, &send, forget_call, call);
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

static void control_backend(const armed_fault_t *armed, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void control_backend(const armed_fault_t *armed, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *body = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    const ts_backend_t *backend = find_backend(armed->fleet, armed->fault->target);
    send_control(armed->fleet, backend->address, body);
    g_free(body);
}

static void control_proxy(const armed_fault_t *armed, const char *mode)
{
    char *body =
        g_strdup_printf("{\"zone\": \"%s\", \"mode\": \"%s\"}", armed->fault->target, mode);
    send_control(armed->fleet, armed->fleet->proxy_control, body);
    g_free(body);
}

/* ---- nodes ---- */

static void signal_node(const armed_fault_t *armed, int number)
{
    lab_node_t *node = lab_fleet_find_node(armed->fleet, armed->fault->target);
    if (node->process.is_running) {
        uv_process_kill(&node->process.handle, number);
    }
}

static void note_stop(const armed_fault_t *armed)
{
    int64_t now_ms = ts_clock_wall_ms();
    g_array_append_val(armed->log->stops, now_ms);
}

static void note_disturbance(const armed_fault_t *armed)
{
    int64_t now_ms = ts_clock_wall_ms();
    lab_disturbance_t disturbance = {now_ms,
                                     now_ms + (int64_t)(armed->fault->for_s * MS_PER_S_DOUBLE)};
    g_array_append_val(armed->log->disturbances, disturbance);
}

static void kill_target(const armed_fault_t *armed)
{
    lab_node_t *node = lab_fleet_find_node(armed->fleet, armed->fault->target);
    if (node == NULL) {
        control_backend(armed, "{\"state\": \"dead\"}");
        return;
    }
    node->process.is_exit_expected = true;
    note_disturbance(armed);
    signal_node(armed, SIGKILL);
}

static void start_target(const armed_fault_t *armed)
{
    lab_node_t *node = lab_fleet_find_node(armed->fleet, armed->fault->target);
    if (node == NULL) {
        control_backend(armed, "{\"state\": \"serving\"}");
    } else if (!node->process.is_running) {
        lab_fleet_start_node(armed->fleet, node);
    }
}

/* ---- configuration ---- */

static void publish(const armed_fault_t *armed, char *text)
{
    lab_published_t published = {lab_config_parse_version(text), ts_clock_now_us()};
    lab_fleet_publish(armed->fleet, text);
    g_array_append_val(armed->log->published, published);
}

static void publish_change(const armed_fault_t *armed)
{
    uint64_t version = lab_config_parse_version(armed->fleet->config_text) + 1;
    publish(armed, lab_config_with_version(armed->fleet->config_text, version));
}

static void show_text(const lab_fleet_t *fleet, const char *text)
{
    g_file_set_contents(fleet->config_path, text, -1, NULL);
}

/* A higher version that every node must refuse: a selector reaches a group that nobody declares. */
static void show_bad(const armed_fault_t *armed)
{
    uint64_t version = lab_config_parse_version(armed->fleet->config_text) + 1;
    char *text = lab_config_with_version(armed->fleet->config_text, version);
    char *bad = g_strconcat(text, "  - {kind: bad, groups: [service=nobody], wait: deadline, ",
                            "deadline_ms: 100, least_coverage_percent: 50}\n", NULL);
    show_text(armed->fleet, bad);
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

/* The declarations with the shards of two back ends exchanged. */
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

static void set_shards(const lab_fleet_t *fleet, const ts_backend_t *backend, const char *shards)
{
    char *body = g_strdup_printf("{\"shards\": [%s]}", shards);
    send_control(fleet, backend->address, body);
    g_free(body);
}

static void begin_repartition(const armed_fault_t *armed)
{
    const lab_fleet_t *fleet = armed->fleet;
    const ts_backend_t *first = find_backend(fleet, armed->fault->target);
    const ts_backend_t *second = find_backend(fleet, armed->fault->to);
    char *both = g_strdup_printf("\"%s\", \"%s\"", first->shards[0], second->shards[0]);
    set_shards(fleet, first, both);
    set_shards(fleet, second, both);
    g_free(both);
    uint64_t version = lab_config_parse_version(fleet->config_text) + 1;
    char *exchanged = exchange_shards(fleet->config_text, armed->fault->target, armed->fault->to);
    publish(armed, lab_config_with_version(exchanged, version));
    g_free(exchanged);
}

static void end_repartition(const armed_fault_t *armed)
{
    const ts_backend_t *first = find_backend(armed->fleet, armed->fault->target);
    const ts_backend_t *second = find_backend(armed->fleet, armed->fault->to);
    char *of_first = g_strdup_printf("\"%s\"", second->shards[0]);
    char *of_second = g_strdup_printf("\"%s\"", first->shards[0]);
    set_shards(armed->fleet, first, of_first);
    set_shards(armed->fleet, second, of_second);
    g_free(of_first);
    g_free(of_second);
}

/* ---- snapshot roll ---- */

static void roll_next(uv_timer_t *timer)
{
    armed_fault_t *armed = timer->data;
    const lab_fleet_t *fleet = armed->fleet;
    if (armed->rolled >= fleet->declarations->backends_count) {
        uv_timer_stop(timer);
        return;
    }
    const ts_backend_t *backend = &fleet->declarations->backends[armed->rolled++];
    char *body =
        g_strdup_printf("{\"snapshot\": %u, \"keep_previous\": %s}", armed->fault->snapshot,
                        armed->fault->keep_previous ? "true" : "false");
    send_control(fleet, backend->address, body);
    g_free(body);
}

static void begin_roll(armed_fault_t *armed)
{
    uint64_t step_ms = (uint64_t)(armed->fault->for_s * MS_PER_S_DOUBLE /
                                  armed->fleet->declarations->backends_count);
    uv_timer_start(&armed->middle, roll_next, 0, MAX(step_ms, 1));
}

/* ---- beginning and ending ---- */

static void warm_up_slowly(uv_timer_t *timer)
{
    const armed_fault_t *armed = timer->data;
    control_backend(armed, "{\"state\": \"serving\", \"cold_ms\": %g}",
                    armed->fault->for_s * MS_PER_S_DOUBLE);
}

static void begin_fault(uv_timer_t *timer)
{
    armed_fault_t *armed = timer->data;
    switch (armed->fault->type) {
    case LAB_FAULT_STRAGGLE:
        control_backend(armed, "{\"slow_factor\": %g}", armed->fault->factor);
        break;
    case LAB_FAULT_KILL:
        kill_target(armed);
        break;
    case LAB_FAULT_START:
        start_target(armed);
        break;
    case LAB_FAULT_PAUSE:
        note_disturbance(armed);
        signal_node(armed, SIGSTOP);
        break;
    case LAB_FAULT_PARTITION:
        control_proxy(armed, armed->fault->mode == NULL ? "blackhole" : armed->fault->mode);
        break;
    case LAB_FAULT_DRAIN:
        control_backend(armed, "{\"state\": \"draining\"}");
        break;
    case LAB_FAULT_COLD_START:
        control_backend(armed, "{\"state\": \"starting\"}");
        uv_timer_start(&armed->middle, warm_up_slowly, COLD_STARTING_MS, 0);
        break;
    case LAB_FAULT_SHED:
        control_backend(armed, "{\"state\": \"shedding\"}");
        break;
    case LAB_FAULT_SNAPSHOT_ROLL:
        begin_roll(armed);
        break;
    case LAB_FAULT_REPARTITION:
        begin_repartition(armed);
        break;
    case LAB_FAULT_CONFIG_DOWN:
        send_control(armed->fleet, armed->fleet->platform, "{\"mode\": \"down\"}");
        break;
    case LAB_FAULT_CONFIG_STALE:
        show_text(armed->fleet, armed->fleet->first_config);
        break;
    case LAB_FAULT_CONFIG_CHANGE:
        publish_change(armed);
        break;
    case LAB_FAULT_CONFIG_BAD:
        show_bad(armed);
        break;
    case LAB_FAULT_STOP:
        note_stop(armed);
        signal_node(armed, SIGTERM);
        break;
    }
}

static void end_fault(uv_timer_t *timer)
{
    armed_fault_t *armed = timer->data;
    switch (armed->fault->type) {
    case LAB_FAULT_STRAGGLE:
        control_backend(armed, "{\"slow_factor\": 1.0}");
        break;
    case LAB_FAULT_PAUSE:
        signal_node(armed, SIGCONT);
        break;
    case LAB_FAULT_PARTITION:
        control_proxy(armed, "pass");
        break;
    case LAB_FAULT_DRAIN:
    case LAB_FAULT_SHED:
        control_backend(armed, "{\"state\": \"serving\"}");
        break;
    case LAB_FAULT_REPARTITION:
        end_repartition(armed);
        break;
    case LAB_FAULT_CONFIG_DOWN:
        send_control(armed->fleet, armed->fleet->platform, "{\"mode\": \"up\"}");
        break;
    case LAB_FAULT_CONFIG_STALE:
    case LAB_FAULT_CONFIG_BAD:
        show_text(armed->fleet, armed->fleet->config_text);
        break;
    default:
        break;
    }
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

void lab_faults_arm(lab_fleet_t *fleet, lab_fault_log_t *log)
{
    for (unsigned i = 0; i < fleet->scenario->faults_count; i++) {
        const lab_fault_t *fault = &fleet->scenario->faults[i];
        armed_fault_t *armed = g_new0(armed_fault_t, 1);
        armed->fleet = fleet;
        armed->log = log;
        armed->fault = fault;
        uv_timer_init(fleet->loop, &armed->begin);
        uv_timer_init(fleet->loop, &armed->middle);
        uv_timer_init(fleet->loop, &armed->end);
        armed->begin.data = armed;
        armed->middle.data = armed;
        armed->end.data = armed;
        uint64_t at_ms = (uint64_t)(fault->at_s * MS_PER_S_DOUBLE);
        uv_timer_start(&armed->begin, begin_fault, at_ms, 0);
        if (fault->for_s > 0) {
            uint64_t for_ms = (uint64_t)(fault->for_s * MS_PER_S_DOUBLE);
            uv_timer_start(&armed->end, end_fault, at_ms + for_ms, 0);
        }
    }
}
