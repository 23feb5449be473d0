/** `tealspar trace`: prints the log lines of a request from several nodes, sorted by time. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 4
#define FILES_MAX 1000
#define ERRORS_MAX 8

typedef struct trace_line {
    json_int_t time_ms;
    json_t *fields;
} trace_line_t;

typedef struct trace {
    const char *request;
    GArray *lines; /* of trace_line_t */
    unsigned long lines_read;
    unsigned long lines_malformed;
    GHashTable *instances; /* ids of the backend instances in these lines */
} trace_t;

static void clear_line(gpointer data)
{
    json_decref(((trace_line_t *)data)->fields);
}

static const char *get_text(const json_t *fields, const char *name)
{
    const char *text = json_string_value(json_object_get(fields, name));
    return text == NULL ? "" : text;
}

/* A log collector may prepend text to a line. */
static const char *find_object(const char *line)
{
    return strchr(line, '{');
}

/*
 * Whether a line belongs to the request, by its id or by its digest, which is the same for all
 * attempts. Ids that consist of digits are logged as numbers.
 */
static bool matches_request(const json_t *fields, const char *request)
{
    if (strcmp(get_text(fields, "digest"), request) == 0)
        return true;
    const json_t *id = json_object_get(fields, "request");
    if (json_is_integer(id)) {
        char text[32];
        g_snprintf(text, sizeof(text), "%" JSON_INTEGER_FORMAT, json_integer_value(id));
        return strcmp(text, request) == 0;
    }
    return json_is_string(id) && strcmp(json_string_value(id), request) == 0;
}

static void parse_line(trace_t *trace, const char *text)
{
    const char *object = find_object(text);
    json_t *fields = object == NULL ? NULL : json_loads(object, JSON_DISABLE_EOF_CHECK, NULL);
    trace->lines_read++;
    if (fields == NULL) {
        trace->lines_malformed++;
        return;
    }
    if (!matches_request(fields, trace->request)) {
        json_decref(fields);
        return;
    }
    if (*get_text(fields, "instance") != '\0') {
        g_hash_table_add(trace->instances, g_strdup(get_text(fields, "instance")));
    }
    trace_line_t line = {json_integer_value(json_object_get(fields, "time_ms")), fields};
    g_array_append_val(trace->lines, line);
}

static bool read_file(trace_t *trace, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    if (file == NULL) {
        fprintf(stderr, "%s: cannot read the file (%s)\n", path, ts_error_name(TS_E_FILE));
        return false;
    }
    char *line = NULL;
    size_t size = 0;
    while (getline(&line, &size, file) >= 0) {
        parse_line(trace, line);
    }
    free(line);
    if (file != stdin) {
        (void)fclose(file);
    }
    return true;
}

static gint compare_times(gconstpointer left, gconstpointer right)
{
    const trace_line_t *a = left;
    const trace_line_t *b = right;
    return (a->time_ms > b->time_ms) - (a->time_ms < b->time_ms);
}

static bool is_header_field(const char *name)
{
    static const char *const fields[] = {"v", "time_ms", "level", "node", "event", "request"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(name, fields[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void print_line(const trace_line_t *line, json_int_t begin_ms)
{
    const char *name = NULL;
    json_t *value = NULL;
    printf("%+6" JSON_INTEGER_FORMAT " ms  %-24s %-16s", line->time_ms - begin_ms,
           get_text(line->fields, "node"), get_text(line->fields, "event"));
    json_object_foreach(line->fields, name, value)
    {
        if (!is_header_field(name)) {
            char *text = json_dumps(value, JSON_ENCODE_ANY);
            printf(" %s=%s", name, text);
            free(text);
        }
    }
    printf("\n");
}

static void print_trace(const trace_t *trace)
{
    g_array_sort(trace->lines, compare_times);
    for (guint i = 0; i < trace->lines->len; i++) {
        const trace_line_t *first = &g_array_index(trace->lines, trace_line_t, 0);
        print_line(&g_array_index(trace->lines, trace_line_t, i), first->time_ms);
    }
    printf("%u lines of the request, %u backends; %lu lines read, %lu malformed\n",
           trace->lines->len, g_hash_table_size(trace->instances), trace->lines_read,
           trace->lines_malformed);
}

static int trace_files(const char *request, const struct arg_file *files)
{
    trace_t trace = {.request = request,
                     .lines = g_array_new(FALSE, FALSE, sizeof(trace_line_t)),
                     .instances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
    bool is_read = true;
    g_array_set_clear_func(trace.lines, clear_line);
    for (int i = 0; i < files->count; i++) {
        is_read = read_file(&trace, files->filename[i]) && is_read;
    }
    print_trace(&trace);
    bool is_found = trace.lines->len > 0;
    g_array_free(trace.lines, TRUE);
    g_hash_table_unref(trace.instances);
    return is_found && is_read ? TS_EXIT_OK : TS_EXIT_FAILURE;
}

static int run_trace(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_str *request = arg_str1(NULL, NULL, "ID", "id or digest of the request");
    struct arg_file *files =
        arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "log files of nodes; - for standard input");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void *table[TABLE_SIZE] = {help, request, files, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "print the log lines of a request, sorted by time", &exit_code)) {
        exit_code = trace_files(request->sval[0], files);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_trace};
TS_REGISTER_PLUGIN(command_trace, TS_PLUGIN_COMMAND, "trace", 0, &command,
                   "print the log lines of a request from several nodes")
