/** Loads YAML with libcyaml and converts its log output into a single problem. */
#include "tealspar/yaml_load.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Log output of libcyaml: a reason, then a backtrace from the innermost location outwards. */
typedef struct load_report {
    GString *reason;
    GString *path;
    unsigned line;
} load_report_t;

static void prepend_location(load_report_t *report, const char *text)
{
    char field[128];
    unsigned index = 0;
    if (sscanf(text, " in mapping field '%127[^']'", field) == 1 ||
        sscanf(text, " in mapping field: %127s", field) == 1) {
        const char *separator = report->path->len > 0 && report->path->str[0] != '[' ? "." : "";
        g_string_prepend(report->path, separator);
        g_string_prepend(report->path, field);
    } else if (sscanf(text, " in sequence entry '%u'", &index) == 1 ||
               sscanf(text, " in sequence entry: %u", &index) == 1) {
        const char *separator = report->path->len > 0 && report->path->str[0] != '[' ? "." : "";
        /* libcyaml counts entries from one */
        char *location = g_strdup_printf("[%u]%s", index > 0 ? index - 1 : 0, separator);
        g_string_prepend(report->path, location);
        g_free(location);
    }
}

static void handle_log_line(cyaml_log_t level, void *context, const char *format, va_list arguments)
{
    load_report_t *report = context;
    char *text = g_strdup_vprintf(format, arguments);
    g_strchomp(text);
    const char *line = strstr(text, "line: ");
    if (line != NULL && report->line == 0) {
        sscanf(line, "line: %u", &report->line);
    }
    if (strstr(text, " in ") != NULL && strstr(text, "(line:") != NULL) {
        prepend_location(report, strstr(text, " in "));
    } else if (strstr(text, "Backtrace") == NULL) {
        const char *reason = g_str_has_prefix(text, "Load: ") ? text + strlen("Load: ") : text;
        g_string_append_printf(report->reason, "%s%s", report->reason->len > 0 ? "; " : "", reason);
    }
    g_free(text);
}

static cyaml_config_t make_config(load_report_t *report)
{
    cyaml_config_t config = {
        .log_fn = report == NULL ? NULL : handle_log_line,
        .log_ctx = report,
        .mem_fn = cyaml_mem,
        .log_level = CYAML_LOG_ERROR,
        .flags = CYAML_CFG_NO_ALIAS,
    };
    return config;
}

ts_error_t ts_yaml_load(const char *text, size_t length, const cyaml_schema_value_t *schema,
                        void **data, ts_problems_t *problems)
{
    load_report_t report = {g_string_new(NULL), g_string_new(NULL), 0};
    cyaml_config_t config = make_config(&report);
    *data = NULL;
    cyaml_err_t status =
        cyaml_load_data((const uint8_t *)text, length, &config, schema, data, NULL);
    ts_error_t error = TS_OK;
    if (status != CYAML_OK || *data == NULL) {
        error = TS_E_SYNTAX;
        const char *reason = status == CYAML_OK ? "the document is empty" : cyaml_strerror(status);
        ts_problems_add(problems, error, report.line,
                        report.path->len > 0 ? report.path->str : "(document)", "%s%s%s", reason,
                        report.reason->len > 0 ? ": " : "", report.reason->str);
    }
    g_string_free(report.reason, TRUE);
    g_string_free(report.path, TRUE);
    return error;
}

void ts_yaml_free(const cyaml_schema_value_t *schema, void *data)
{
    cyaml_config_t config = make_config(NULL);
    cyaml_free(&config, schema, data, 0);
}
