/** Lists of problems, and the lookup of a path's line in a YAML text. */
#include "tealspar/problem.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

static void free_problem(gpointer pointer)
{
    ts_problem_t *problem = pointer;
    g_free(problem->path);
    g_free(problem->reason);
    g_free(problem);
}

void ts_problems_init(ts_problems_t *problems)
{
    problems->list = g_ptr_array_new_with_free_func(free_problem);
}

void ts_problems_clear(ts_problems_t *problems)
{
    g_ptr_array_free(problems->list, TRUE);
    problems->list = NULL;
}

void ts_problems_add(ts_problems_t *problems, ts_error_t error, unsigned line, const char *path,
                     const char *format, ...)
{
    ts_problem_t *problem = g_new0(ts_problem_t, 1);
    va_list arguments;
    va_start(arguments, format);
    problem->reason = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    problem->error = error;
    problem->line = line;
    problem->path = g_strdup(path);
    g_ptr_array_add(problems->list, problem);
}

unsigned ts_problems_count(const ts_problems_t *problems)
{
    return problems->list->len;
}

char *ts_problems_format(const ts_problems_t *problems, const char *file)
{
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < problems->list->len; i++) {
        const ts_problem_t *problem = g_ptr_array_index(problems->list, i);
        g_string_append_printf(out, "%s%s:%u: %s: %s (%s)", i == 0 ? "" : "\n", file, problem->line,
                               problem->path, problem->reason, ts_error_name(problem->error));
    }
    return g_string_free(out, FALSE);
}

void ts_problems_print(const ts_problems_t *problems, const char *file)
{
    char *lines = ts_problems_format(problems, file);
    fprintf(stderr, "%s\n", lines);
    g_free(lines);
}

static yaml_node_t *find_field(yaml_document_t *document, const yaml_node_t *node, const char *name,
                               size_t length)
{
    if (node->type != YAML_MAPPING_NODE) {
        return NULL;
    }
    yaml_node_pair_t *pair = node->data.mapping.pairs.start;
    for (; pair < node->data.mapping.pairs.top; pair++) {
        yaml_node_t *key = yaml_document_get_node(document, pair->key);
        if (key->type == YAML_SCALAR_NODE && key->data.scalar.length == length &&
            memcmp(key->data.scalar.value, name, length) == 0) {
            return yaml_document_get_node(document, pair->value);
        }
    }
    return NULL;
}

static yaml_node_t *find_item(yaml_document_t *document, const yaml_node_t *node, long index)
{
    if (node->type != YAML_SEQUENCE_NODE) {
        return NULL;
    }
    long count = node->data.sequence.items.top - node->data.sequence.items.start;
    if (index < 0 || index >= count) {
        return NULL;
    }
    return yaml_document_get_node(document, node->data.sequence.items.start[index]);
}

/* Resolves the next component of the path and advances `*path` past it. */
static yaml_node_t *resolve_component(yaml_document_t *document, const yaml_node_t *node,
                                      const char **path)
{
    const char *component = *path;
    if (*component == '[') {
        char *end = NULL;
        long index = strtol(component + 1, &end, 10);
        *path = *end == ']' ? end + 1 : end;
        return find_item(document, node, index);
    }
    if (*component == '.') {
        component++;
    }
    size_t length = strcspn(component, ".[");
    *path = component + length;
    return find_field(document, node, component, length);
}

static unsigned find_path_line(yaml_document_t *document, const char *path)
{
    const yaml_node_t *node = yaml_document_get_root_node(document);
    if (node == NULL) {
        return 0;
    }
    size_t line = node->start_mark.line;
    while (*path != '\0') {
        node = resolve_component(document, node, &path);
        if (node == NULL) {
            break;
        }
        line = node->start_mark.line;
    }
    return (unsigned)line + 1;
}

unsigned ts_yaml_find_line(const char *text, size_t length, const char *path)
{
    yaml_parser_t parser;
    yaml_document_t document;
    unsigned line = 0;
    if (!yaml_parser_initialize(&parser)) {
        return 0;
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, length);
    if (yaml_parser_load(&parser, &document)) {
        line = find_path_line(&document, path);
        yaml_document_delete(&document);
    }
    yaml_parser_delete(&parser);
    return line;
}
