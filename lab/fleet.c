/** Setup, processes and shutdown of a fleet. */
#include "fleet.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "tealspar/command.h"
#include "tealspar/http_fetch.h"

#define CALLERS_PORT 20001
#define OPERATORS_PORT 20101
#define PEERS_PORT 20201
#define PLATFORM_PORT 20000
#define PROXY_PORT 20900
#define PROXY_HOST_OFFSET 100
#define FIRST_NODE_HOST 10
#define SOAK_NETWORK 77 /* second octet of the addresses that the soak test uses */
#define ARGUMENTS_MAX 32
#define STOP_SECONDS 20.0
#define POLL_MS 10
#define CONFIG_VERSION_PATTERN "(?m)^version: *[0-9]+"

uint64_t lab_config_parse_version(const char *text)
{
    const char *line = strstr(text, "\nversion:");
    line = line == NULL ? strstr(text, "version:") : line + 1;
    return line == NULL ? 0 : strtoull(line + strlen("version:"), NULL, 10);
}

char *lab_config_with_version(const char *text, uint64_t version)
{
    GRegex *regex = g_regex_new(CONFIG_VERSION_PATTERN, 0, 0, NULL);
    char *line = g_strdup_printf("version: %" PRIu64, version);
    char *result = g_regex_replace_literal(regex, text, -1, 0, line, 0, NULL);
    g_free(line);
    g_regex_unref(regex);
    return result;
}

void lab_fleet_publish(lab_fleet_t *fleet, char *text)
{
    g_free(fleet->config_text);
    fleet->config_text = text;
    /* replaced atomically by GLib, so that the platform never reads a partial file */
    g_file_set_contents(fleet->config_path, text, -1, NULL);
}

/* ---- files ---- */

static char *make_path(const lab_fleet_t *fleet, const char *name, const char *suffix)
{
    return g_strdup_printf("%s/%s%s", fleet->directory, name, suffix);
}

static char *make_address(const lab_fleet_t *fleet, unsigned host, unsigned port)
{
    return g_strdup_printf("%s.%u:%u", fleet->base, host, port);
}

/* Overrides the deadline of all kinds; frees `text` and returns a new string. */
static char *set_deadlines(char *text, uint32_t deadline_ms)
{
    GRegex *regex = g_regex_new("deadline_ms: *[0-9]+", 0, 0, NULL);
    char *field = g_strdup_printf("deadline_ms: %u", deadline_ms);
    char *result = g_regex_replace_literal(regex, text, -1, 0, field, 0, NULL);
    g_free(field);
    g_regex_unref(regex);
    g_free(text);
    return result;
}

static bool load_declarations(lab_fleet_t *fleet, const char *path)
{
    size_t length = 0;
    ts_problems_t problems;
    char *text = ts_command_read_file(path, &length);
    if (text == NULL) {
        return false;
    }
    char *host = g_strdup_printf("'%s.1:", fleet->base);
    char **parts = g_strsplit(text, "'127.0.0.1:", -1);
    g_free(text);
    text = g_strjoinv(host, parts);
    g_strfreev(parts);
    g_free(host);
    if (fleet->scenario->deadline_ms > 0) {
        text = set_deadlines(text, fleet->scenario->deadline_ms);
    }
    ts_problems_init(&problems);
    fleet->declarations = ts_declarations_load(text, strlen(text), &problems);
    if (fleet->declarations == NULL) {
        ts_problems_print(&problems, path);
    }
    fleet->first_config = g_strdup(text);
    fleet->config_path = make_path(fleet, "config", ".yaml");
    lab_fleet_publish(fleet, text);
    ts_problems_clear(&problems);
    return fleet->declarations != NULL;
}

static void write_node_settings(const lab_fleet_t *fleet, lab_node_t *node)
{
    node->settings_path = make_path(fleet, node->process.name, ".yaml");
    char *text = g_strdup_printf("name: %s\ncluster: lab\nzone: %s\ncallers: %s\noperators: %s\n"
                                 "peers: %s\nadvertise: %s\nplatform: %s\npolicy: %s\n"
                                 "log_level: info\n",
                                 node->process.name, node->zone, node->callers, node->operators,
                                 node->peers, node->advertise, fleet->platform, fleet->policy);
    g_file_set_contents(node->settings_path, text, -1, NULL);
    g_free(text);
}

static void add_node(lab_fleet_t *fleet, const char *zone, unsigned number, unsigned host)
{
    lab_node_t *node = g_new0(lab_node_t, 1);
    bool has_proxy = fleet->proxy_control != NULL;
    node->process.name = g_strdup_printf("%s-%u", zone, number);
    node->zone = g_strdup(zone);
    node->callers = make_address(fleet, host, CALLERS_PORT);
    node->operators = make_address(fleet, host, OPERATORS_PORT);
    node->peers = make_address(fleet, host, PEERS_PORT);
    node->advertise = make_address(fleet, has_proxy ? host + PROXY_HOST_OFFSET : host, PEERS_PORT);
    write_node_settings(fleet, node);
    g_ptr_array_add(fleet->nodes, node);
}

static void add_nodes(lab_fleet_t *fleet)
{
    unsigned host = FIRST_NODE_HOST;
    for (unsigned z = 0; z < fleet->declarations->zones_count; z++) {
        for (unsigned i = 1; i <= fleet->scenario->nodes_per_zone; i++) {
            add_node(fleet, fleet->declarations->zones[z].name, i, host++);
        }
    }
}

static void write_machine_list(const lab_fleet_t *fleet)
{
    json_t *rows = json_array();
    for (guint i = 0; i < fleet->nodes->len; i++) {
        const lab_node_t *node = g_ptr_array_index(fleet->nodes, i);
        json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:s}", "name", node->process.name,
                                              "address", node->advertise, "zone", node->zone,
                                              "state", "live"));
    }
    json_t *root = json_pack("{s:o}", "machines", rows);
    char *path = make_path(fleet, "machines", ".json");
    json_dump_file(root, path, JSON_INDENT(1));
    g_free(path);
    json_decref(root);
}

static const char *find_region(const lab_fleet_t *fleet, const char *zone)
{
    int index = ts_declarations_zone_index(fleet->declarations, zone);
    return fleet->declarations->zones[index].region;
}

static void write_proxy_settings(const lab_fleet_t *fleet)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "control: %s\nzone_delay_ms: %g\nregion_delay_ms: %g\n"
                           "jitter_ms: %g\nlinks:\n",
                           fleet->proxy_control, fleet->scenario->zone_delay_ms,
                           fleet->scenario->region_delay_ms, fleet->scenario->jitter_ms);
    for (guint i = 0; i < fleet->nodes->len; i++) {
        const lab_node_t *node = g_ptr_array_index(fleet->nodes, i);
        g_string_append_printf(text,
                               "  - {name: %s, zone: %s, region: %s, listen: '%s', target: '%s'}\n",
                               node->process.name, node->zone, find_region(fleet, node->zone),
                               node->advertise, node->peers);
    }
    char *path = make_path(fleet, "proxy", ".yaml");
    g_file_set_contents(path, text->str, -1, NULL);
    g_free(path);
    g_string_free(text, TRUE);
}

static bool needs_proxy(const lab_scenario_t *scenario)
{
    for (unsigned i = 0; i < scenario->faults_count; i++) {
        if (scenario->faults[i].type == LAB_FAULT_PARTITION) {
            return true;
        }
    }
    return scenario->zone_delay_ms > 0 || scenario->region_delay_ms > 0;
}

static void find_programs(lab_fleet_t *fleet)
{
    char path[4096];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    path[length > 0 ? length : 0] = '\0';
    char *folder = g_path_get_dirname(path);
    fleet->lab_program = g_strdup(path);
    fleet->program = g_strdup_printf("%s/tealspar", folder);
    g_free(folder);
}

/* Removes output of an earlier run, so that it is not read as output of this run. */
static void remove_old_files(const lab_fleet_t *fleet)
{
    GDir *folder = g_dir_open(fleet->directory, 0, NULL);
    const char *name = NULL;
    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        bool is_ours = g_str_has_suffix(name, ".journal") || g_str_has_suffix(name, ".log") ||
                       g_str_has_suffix(name, ".err") || g_str_has_suffix(name, ".json");
        char *path = make_path(fleet, name, "");
        if (is_ours) {
            unlink(path);
        }
        g_free(path);
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
}

/* Prevents two runs in one directory from overwriting each other's settings. */
static bool lock_directory(const lab_fleet_t *fleet)
{
    char *path = make_path(fleet, "run", ".lock");
    int file = open(path, O_CREAT | O_WRONLY | O_CLOEXEC, 0644); /* open until the process exits */
    bool is_locked = file >= 0 && flock(file, LOCK_EX | LOCK_NB) == 0;
    if (!is_locked)
        fprintf(stderr, "%s: cannot lock; is another run using this directory? (%s)\n",
                fleet->directory, g_strerror(errno));
    g_free(path);
    return is_locked;
}

bool lab_fleet_prepare(lab_fleet_t *fleet, const char *declarations_path)
{
    pid_t pid = getpid();
    /* The network is derived from the pid, so that concurrent runs do not share addresses. */
    int second = 1 + pid / 250 % 250;
    second += second >= SOAK_NETWORK;
    fleet->base = g_strdup_printf("127.%d.%d", second, 1 + pid % 250);
    fleet->nodes = g_ptr_array_new();
    fleet->processes = g_ptr_array_new();
    find_programs(fleet);
    if (g_mkdir_with_parents(fleet->directory, 0755) != 0 || !lock_directory(fleet) ||
        !load_declarations(fleet, declarations_path)) {
        return false;
    }
    remove_old_files(fleet);
    fleet->platform = make_address(fleet, 1, PLATFORM_PORT);
    if (needs_proxy(fleet->scenario)) {
        fleet->proxy_control = make_address(fleet, 1, PROXY_PORT);
    }
    add_nodes(fleet);
    write_machine_list(fleet);
    write_proxy_settings(fleet);
    return true;
}

/* ---- processes ---- */

static void handle_exit(uv_process_t *handle, int64_t status, int signal_number)
{
    lab_process_t *process = handle->data;
    process->is_running = false;
    process->exit_status = status;
    process->signal = signal_number;
    if ((status != 0 || signal_number != 0) && !process->is_exit_expected) {
        process->failed_exits++;
        fprintf(stderr, "%s exited unexpectedly: status %lld, signal %d\n", process->name,
                (long long)status, signal_number);
    }
    uv_close((uv_handle_t *)handle, NULL);
}

bool lab_fleet_spawn(lab_fleet_t *fleet, lab_process_t *process, char **arguments,
                     const char *output, uv_exit_cb on_exit)
{
    char *path = make_path(fleet, output, "");
    char *error_path = g_strdup_printf("%s.err", path);
    int file = open(path, O_CREAT | O_WRONLY | O_APPEND, 0644); /* keeps earlier incarnations */
    int errors = open(error_path, O_CREAT | O_WRONLY | O_APPEND, 0644);
    g_free(error_path);
    g_free(path);
    uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE},
                                     {.flags = UV_INHERIT_FD, .data.fd = file},
                                     {.flags = UV_INHERIT_FD, .data.fd = errors}};
    uv_process_options_t options = {
        .file = arguments[0],
        .args = arguments,
        .exit_cb = on_exit == NULL ? handle_exit : on_exit,
        .stdio_count = 3,
        .stdio = stdio,
    };
    process->handle.data = process;
    int status = uv_spawn(fleet->loop, &process->handle, &options);
    close(file);
    close(errors);
    process->is_running = status == 0;
    process->is_exit_expected = false;
    if (status != 0) {
        fprintf(stderr, "cannot start %s: %s\n", arguments[0], uv_strerror(status));
    }
    return status == 0;
}

static bool start_helper_process(lab_fleet_t *fleet, const char *name, char **arguments)
{
    lab_process_t *process = g_new0(lab_process_t, 1);
    process->name = g_strdup(name);
    g_ptr_array_add(fleet->processes, process);
    char *log = g_strdup_printf("%s.log", name);
    bool is_started = lab_fleet_spawn(fleet, process, arguments, log, NULL);
    g_free(log);
    return is_started;
}

bool lab_fleet_start_node(lab_fleet_t *fleet, lab_node_t *node)
{
    char *arguments[] = {fleet->program, "node", "--settings", node->settings_path, NULL};
    char *log = g_strdup_printf("%s.log", node->process.name);
    bool is_started = lab_fleet_spawn(fleet, &node->process, arguments, log, NULL);
    g_free(log);
    return is_started;
}

static bool start_searchers(lab_fleet_t *fleet, const char *zone)
{
    const lab_scenario_t *scenario = fleet->scenario;
    char *name = g_strdup_printf("searchers-%s", zone);
    char *journal = make_path(fleet, name, ".journal");
    char seed[32];
    char mean[32];
    char sigma[32];
    char stragglers[32];
    char factor[32];
    g_snprintf(seed, sizeof(seed), "%" PRIu64, fleet->seed);
    g_snprintf(mean, sizeof(mean), "%g", scenario->service_ms);
    g_snprintf(sigma, sizeof(sigma), "%g", scenario->sigma);
    g_snprintf(stragglers, sizeof(stragglers), "%g", scenario->straggler_percent);
    g_snprintf(factor, sizeof(factor), "%g", scenario->straggler_factor);
    char *arguments[] = {fleet->lab_program,
                         "searcher",
                         "--declarations",
                         fleet->config_path,
                         "--zone",
                         (char *)zone,
                         "--journal",
                         journal,
                         "--seed",
                         seed,
                         "--service-ms",
                         mean,
                         "--sigma",
                         sigma,
                         "--stragglers",
                         stragglers,
                         "--factor",
                         factor,
                         NULL};
    bool is_started = start_helper_process(fleet, name, arguments);
    g_free(journal);
    g_free(name);
    return is_started;
}

static bool start_platform(lab_fleet_t *fleet)
{
    char *machines = make_path(fleet, "machines", ".json");
    char *arguments[] = {fleet->lab_program, "platform", "--address",
                         fleet->platform,    "--config", fleet->config_path,
                         "--machines",       machines,   NULL};
    bool is_started = start_helper_process(fleet, "platform", arguments);
    g_free(machines);
    return is_started;
}

static bool start_proxy(lab_fleet_t *fleet)
{
    if (fleet->proxy_control == NULL) {
        return true;
    }
    char *settings = make_path(fleet, "proxy", ".yaml");
    char *arguments[] = {fleet->lab_program, "fault-proxy", "--settings", settings, NULL};
    bool is_started = start_helper_process(fleet, "proxy", arguments);
    g_free(settings);
    return is_started;
}

bool lab_fleet_start(lab_fleet_t *fleet)
{
    bool is_started = start_platform(fleet) && start_proxy(fleet);
    for (unsigned z = 0; z < fleet->declarations->zones_count; z++) {
        is_started = is_started && start_searchers(fleet, fleet->declarations->zones[z].name);
    }
    for (guint i = 0; i < fleet->nodes->len; i++) {
        is_started = is_started && lab_fleet_start_node(fleet, g_ptr_array_index(fleet->nodes, i));
    }
    return is_started;
}

lab_node_t *lab_fleet_find_node(const lab_fleet_t *fleet, const char *name)
{
    for (guint i = 0; name != NULL && i < fleet->nodes->len; i++) {
        lab_node_t *node = g_ptr_array_index(fleet->nodes, i);
        if (strcmp(node->process.name, name) == 0) {
            return node;
        }
    }
    return NULL;
}

/* ---- waiting and stopping ---- */

/* Empty: the timer only makes uv_run return, so that `is_done` is polled. */
static void ignore_tick(uv_timer_t *timer)
{
}

bool lab_run_until(lab_fleet_t *fleet, bool (*is_done)(void *context), void *context,
                   double seconds)
{
    ts_time_us_t ends_us = ts_clock_now_us() + (ts_time_us_t)(seconds * (double)TS_US_PER_S);
    uv_timer_t timer;
    uv_timer_init(fleet->loop, &timer);
    uv_timer_start(&timer, ignore_tick, POLL_MS, POLL_MS);
    bool done = is_done(context);
    while (!done && !fleet->is_interrupted && ts_clock_now_us() < ends_us) {
        uv_run(fleet->loop, UV_RUN_ONCE);
        done = is_done(context);
    }
    uv_close((uv_handle_t *)&timer, NULL);
    uv_run(fleet->loop, UV_RUN_NOWAIT);
    return done;
}

static bool have_nodes_exited(void *context)
{
    const lab_fleet_t *fleet = context;
    for (guint i = 0; i < fleet->nodes->len; i++) {
        if (((lab_node_t *)g_ptr_array_index(fleet->nodes, i))->process.is_running) {
            return false;
        }
    }
    return true;
}

static bool have_helpers_exited(void *context)
{
    const lab_fleet_t *fleet = context;
    for (guint i = 0; i < fleet->processes->len; i++) {
        if (((lab_process_t *)g_ptr_array_index(fleet->processes, i))->is_running) {
            return false;
        }
    }
    return true;
}

static void signal_process(lab_process_t *process, int number)
{
    if (process->is_running) {
        uv_process_kill(&process->handle, number);
    }
}

static void signal_nodes(lab_fleet_t *fleet, int number)
{
    for (guint i = 0; i < fleet->nodes->len; i++) {
        signal_process(&((lab_node_t *)g_ptr_array_index(fleet->nodes, i))->process, number);
    }
}

unsigned lab_fleet_stop(lab_fleet_t *fleet)
{
    unsigned failed = 0;
    fleet->is_interrupted = false; /* otherwise the waits below would return at once */
    signal_nodes(fleet, SIGCONT);
    signal_nodes(fleet, SIGTERM);
    if (!lab_run_until(fleet, have_nodes_exited, fleet, STOP_SECONDS)) {
        signal_nodes(fleet, SIGKILL);
        lab_run_until(fleet, have_nodes_exited, fleet, STOP_SECONDS);
    }
    for (guint i = 0; i < fleet->nodes->len; i++) {
        failed += ((lab_node_t *)g_ptr_array_index(fleet->nodes, i))->process.failed_exits;
    }
    for (guint i = 0; i < fleet->processes->len; i++) {
        signal_process(g_ptr_array_index(fleet->processes, i), SIGTERM);
    }
    lab_run_until(fleet, have_helpers_exited, fleet, STOP_SECONDS);
    return failed;
}
