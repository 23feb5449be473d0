/** `tealspar routes`: validates a configuration offline, or prints the route of a request. */
#include <stdio.h>

#include "tealspar/command.h"
#include "tealspar/dialect.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 7
#define ERRORS_MAX 8
#define DIALECT_DEFAULT "platform"

static const char *describe_kind(ts_target_kind_t kind)
{
    switch (kind) {
    case TS_TARGET_SINGLE:
        return "one service";
    case TS_TARGET_SPLIT:
        return "one of several services, by weight";
    case TS_TARGET_GATHER:
        break;
    }
    return "one part to each service";
}

static void print_regions(const GPtrArray *regions)
{
    printf("  regions     ");
    for (guint i = 0; regions != NULL && i < regions->len; i++)
        printf(" %s", (const char *)g_ptr_array_index(regions, i));
    printf("%s\n", regions == NULL ? " any region" : "");
}

static void print_limit(const ts_tenant_t *tenant)
{
    if (tenant->rate > 0)
        printf("%g requests per second, burst %g, over all gateways", tenant->rate, tenant->burst);
    else
        printf("no limit");
}

/* Prints the number of keys only, as keys are secret. */
static void print_tenants(const ts_tenants_t *tenants)
{
    for (unsigned i = 0; i < ts_tenants_count(tenants); i++) {
        const ts_tenant_t *tenant = ts_tenants_get(tenants, i);
        printf("tenant %s: %u keys, priority %u, ", tenant->name, tenant->keys, tenant->priority);
        print_limit(tenant);
        printf("\n");
    }
}

static void print_route(const ts_traffic_route_t *route, bool has_tenants)
{
    printf("route %s: %s%s\n", route->name, route->host, route->prefix);
    printf("  targets      %s\n", describe_kind(route->kind));
    for (guint i = 0; i < route->targets->len; i++) {
        const ts_target_t *target = &g_array_index(route->targets, ts_target_t, i);
        printf("               %s", target->service);
        if (route->kind == TS_TARGET_SPLIT) {
            printf(" (weight %g)", target->weight);
        }
        printf("\n");
    }
    printf("  repeatable   %s\n",
           route->is_repeatable ? "yes" : "no: sent again only if not executed");
    printf("  attempts     %u\n", route->attempts_max);
    printf("  timeout      %u ms, target latency %u ms, priority %u\n", route->timeout_ms,
           route->aim_ms, route->priority);
    printf("  key          %s\n", has_tenants && !route->is_auth_exempt ? "needed" : "not needed");
    print_regions(route->regions);
    if (route->kind == TS_TARGET_GATHER) {
        printf("  response     top %u records, from at least %g of the parts\n", route->top_count,
               route->coverage_min);
    }
}

/* Returns the exit code. A request without a route is a failure, but not an invalid document. */
static int print_match(const ts_traffic_t *traffic, const char *host, const char *path)
{
    const ts_traffic_route_t *route = ts_traffic_match(traffic, host, path);
    if (route == NULL) {
        printf("no route for %s%s in version %lu: status 404\n", host, path,
               (unsigned long)traffic->version);
        return TS_EXIT_FAILURE;
    }
    print_route(route, ts_tenants_count(traffic->tenants) > 0);
    return TS_EXIT_OK;
}

typedef struct routes_options {
    const char *host; /* NULL: only validate the configuration */
    const char *path;
    bool lists_tenants;
} routes_options_t;

static int read_file(const ts_dialect_t *dialect, const char *file, const routes_options_t *options)
{
    size_t length = 0;
    char *text = ts_command_read_file(file, &length);
    if (text == NULL) {
        return TS_EXIT_USAGE;
    }
    ts_problems_t problems;
    ts_problems_init(&problems);
    int exit_code = TS_EXIT_USAGE;
    ts_traffic_t *traffic = dialect->read_traffic(text, length, &problems);
    if (traffic == NULL) {
        ts_problems_print(&problems, file);
    } else if (options->host != NULL) {
        exit_code = print_match(traffic, options->host, options->path);
    } else {
        printf("%s: version %lu, %u routes, %u tenants, valid\n", file,
               (unsigned long)traffic->version, traffic->routes->len,
               ts_tenants_count(traffic->tenants));
        if (options->lists_tenants)
            print_tenants(traffic->tenants);
        exit_code = TS_EXIT_OK;
    }
    ts_traffic_unref(traffic);
    ts_problems_clear(&problems);
    g_free(text);
    return exit_code;
}

static int run_routes(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file =
        arg_file1(NULL, NULL, "FILE", "configuration document of the configuration service");
    struct arg_str *name =
        arg_str0(NULL, "dialect", "NAME", "dialect of the document; default: " DIALECT_DEFAULT);
    struct arg_str *host =
        arg_str0("H", "host", "HOST", "print the route of a request to this host");
    struct arg_str *path = arg_str0("p", "path", "PATH", "path of the request; default: /");
    struct arg_lit *tenants = arg_lit0("t", "tenants", "print the tenants and their limits");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void *table[TABLE_SIZE] = {help, file, name, host, path, tenants, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "validate a configuration, or print the route of a request", &exit_code)) {
        const char *dialect_name = name->count > 0 ? name->sval[0] : DIALECT_DEFAULT;
        const ts_dialect_t *dialect = ts_plugin_find(TS_PLUGIN_DIALECT, dialect_name);
        if (dialect == NULL) {
            fprintf(stderr, "unknown dialect '%s' (%s)\n", dialect_name,
                    ts_error_name(TS_E_ARGUMENT));
            exit_code = TS_EXIT_USAGE;
        } else {
            routes_options_t options = {host->count > 0 ? host->sval[0] : NULL,
                                        path->count > 0 ? path->sval[0] : "/", tenants->count > 0};
            exit_code = read_file(dialect, file->filename[0], &options);
        }
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_routes};
TS_REGISTER_PLUGIN(command_routes, TS_PLUGIN_COMMAND, "routes", 1, &command,
                   "validate a configuration, or print the route of a request")
