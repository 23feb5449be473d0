/**
 * `tealspar-lab fault-proxy`: a TCP proxy for the links between nodes. It knows the zones of both
 * ends (the client's by its address) and can delay or hold traffic between zones, hold it in one
 * direction only, or reset connections. POST /control with {"zone": Z, "mode": M} sets the mode
 * between a zone and all others ("*": between all zones). Modes: pass, blackhole (hold both
 * directions), reset, half_open (hold bytes to the server).
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "link.h"
#include "tealspar/command.h"
#include "tealspar/http_server.h"
#include "tealspar/plugin.h"
#include "tealspar/yaml_load.h"

#define TABLE_SIZE 3
#define TEXT_MAX 200
#define LIST_MAX 1000
#define BODY_BYTES_MAX 4096
#define REQUEST_TIMEOUT_MS 5000
#define CONNECTIONS_MAX 64

typedef struct link {
    char *name;
    char *zone;
    char *region;
    char *listen; /* address that the node advertises */
    char *target; /* address on which the node listens */
    lab_link_t *link;
} link_t;

typedef struct proxy_settings {
    char *control;
    double zone_delay_ms;
    double region_delay_ms;
    double jitter_ms; /* maximum of a uniformly distributed addition to each delay */
    link_t *links;
    unsigned links_count;
} proxy_settings_t;

static const cyaml_schema_field_t link_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, link_t, name, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("zone", CYAML_FLAG_POINTER, link_t, zone, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, link_t, region, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("listen", CYAML_FLAG_POINTER, link_t, listen, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("target", CYAML_FLAG_POINTER, link_t, target, 1, TEXT_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t link_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, link_t, link_fields)};
static const cyaml_schema_field_t settings_fields[] = {
    CYAML_FIELD_STRING_PTR("control", CYAML_FLAG_POINTER, proxy_settings_t, control, 1, TEXT_MAX),
    CYAML_FIELD_FLOAT("zone_delay_ms", CYAML_FLAG_OPTIONAL, proxy_settings_t, zone_delay_ms),
    CYAML_FIELD_FLOAT("region_delay_ms", CYAML_FLAG_OPTIONAL, proxy_settings_t, region_delay_ms),
    CYAML_FIELD_FLOAT("jitter_ms", CYAML_FLAG_OPTIONAL, proxy_settings_t, jitter_ms),
    CYAML_FIELD_SEQUENCE("links", CYAML_FLAG_POINTER, proxy_settings_t, links, &link_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, proxy_settings_t, settings_fields)};

static struct proxy {
    uv_loop_t *loop;
    proxy_settings_t *settings;
    GHashTable *modes; /* zone -> lab_link_mode_t */
    ts_http_server_t *control;
} proxy;

static lab_link_mode_t mode_of(const char *zone)
{
    gpointer mode = g_hash_table_lookup(proxy.modes, zone);
    if (mode == NULL) {
        mode = g_hash_table_lookup(proxy.modes, "*");
    }
    return (lab_link_mode_t)GPOINTER_TO_INT(mode);
}

/* Link of the node with a client address; NULL: unknown node. */
static const link_t *find_source(const char *address)
{
    size_t length = strlen(address);
    for (unsigned i = 0; i < proxy.settings->links_count; i++) {
        const link_t *link = &proxy.settings->links[i];
        if (strncmp(link->target, address, length) == 0 && link->target[length] == ':') {
            return link;
        }
    }
    return NULL;
}

static bool crosses_zones(const link_t *source, const link_t *link)
{
    return source != NULL && strcmp(source->zone, link->zone) != 0;
}

static lab_link_mode_t mode_between(void *ctx, const char *address)
{
    const link_t *link = ctx;
    const link_t *source = find_source(address);
    if (!crosses_zones(source, link)) {
        return LAB_LINK_PASS;
    }
    lab_link_mode_t mode = mode_of(source->zone);
    return mode != LAB_LINK_PASS ? mode : mode_of(link->zone);
}

static double delay_between(void *ctx, const char *address)
{
    const link_t *link = ctx;
    const link_t *source = find_source(address);
    if (!crosses_zones(source, link)) {
        return 0;
    }
    bool crosses_regions = strcmp(source->region, link->region) != 0;
    double delay =
        crosses_regions ? proxy.settings->region_delay_ms : proxy.settings->zone_delay_ms;
    return delay + proxy.settings->jitter_ms * g_random_double();
}

static const lab_link_ops_t link_ops = {mode_between, delay_between};

static bool open_link(link_t *link)
{
    link->link = lab_link_open(proxy.loop, link->listen, link->target, &link_ops, link);
    return link->link != NULL;
}

/* ---- control ---- */

static void apply_modes(void)
{
    for (unsigned i = 0; i < proxy.settings->links_count; i++) {
        lab_link_mode_changed(proxy.settings->links[i].link);
    }
}

static void handle_control(void *context, ts_http_exchange_t *exchange,
                           const ts_http_request_t *request)
{
    static const char *const names[] = {"pass", "blackhole", "reset", "half_open"};
    json_t *root = json_loadb(request->body, request->body_length, 0, NULL);
    const char *zone = json_string_value(json_object_get(root, "zone"));
    const char *mode = json_string_value(json_object_get(root, "mode"));
    for (size_t i = 0; zone != NULL && mode != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], mode) == 0) {
            g_hash_table_insert(proxy.modes, g_strdup(zone), GINT_TO_POINTER(i));
        }
    }
    json_decref(root);
    apply_modes();
    ts_http_reply(exchange, 200, "application/json", "{}\n", strlen("{}\n"), 0);
}

static void stop_loop(uv_signal_t *handle, int number)
{
    uv_stop(handle->loop);
}

static int serve(void)
{
    uv_signal_t terminate;
    ts_http_limits_t limits = {BODY_BYTES_MAX, REQUEST_TIMEOUT_MS, CONNECTIONS_MAX};
    proxy.loop = uv_default_loop();
    proxy.modes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    signal(SIGPIPE, SIG_IGN);
    for (unsigned i = 0; i < proxy.settings->links_count; i++) {
        if (!open_link(&proxy.settings->links[i])) {
            fprintf(stderr, "fault-proxy: cannot listen on %s\n", proxy.settings->links[i].listen);
            return TS_EXIT_FAILURE;
        }
    }
    if (ts_http_server_open(&proxy.control, proxy.loop, proxy.settings->control, &limits,
                            handle_control, NULL) != TS_OK) {
        fprintf(stderr, "fault-proxy: cannot listen on %s\n", proxy.settings->control);
        return TS_EXIT_FAILURE;
    }
    uv_signal_init(proxy.loop, &terminate);
    uv_signal_start(&terminate, stop_loop, SIGTERM);
    printf("ready\n");
    fflush(stdout);
    uv_run(proxy.loop, UV_RUN_DEFAULT);
    return TS_EXIT_OK;
}

static int run_proxy(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("s", "settings", "FILE", "links and delays (YAML)");
    struct arg_end *end = arg_end(4);
    void *table[TABLE_SIZE] = {help, file, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "a TCP proxy that delays, holds, resets or half-opens links",
                         &exit_code)) {
        size_t length = 0;
        void *data = NULL;
        ts_problems_t problems;
        ts_problems_init(&problems);
        char *text = ts_command_read_file(file->filename[0], &length);
        exit_code = TS_EXIT_USAGE;
        if (text != NULL &&
            ts_yaml_load(text, length, &settings_schema, &data, &problems) == TS_OK) {
            proxy.settings = data;
            exit_code = serve();
        } else {
            ts_problems_print(&problems, file->filename[0]);
        }
        g_free(text);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_proxy};
TS_REGISTER_PLUGIN(lab_command_proxy, TS_PLUGIN_COMMAND, "fault-proxy", 2, &command,
                   "a fault-injecting TCP proxy")
