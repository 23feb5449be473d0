/** Loading and validation of node settings. */
#include "tealspar/settings.h"

#include <string.h>
#include <unistd.h>

#include "tealspar/address.h"
#include "tealspar/plugin.h"
#include "tealspar/yaml_load.h"

#define TEXT_MAX 200
#define SEEDS_MAX 64
#define DEFAULT_QUERIES_MAX 2000
#define DEFAULT_BODY_BYTES_MAX 65536
#define DEFAULT_CONNECTIONS_MAX 4096
#define DEFAULT_DRAIN_MS 10000
#define BODY_BYTES_MAX_LIMIT (1024U * 1024U)

static const cyaml_schema_value_t text_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, TEXT_MAX)};
static const cyaml_strval_t format_names[] = {{"text", TS_LOG_TEXT}, {"json", TS_LOG_JSON}};
static const cyaml_strval_t level_names[] = {
    {"notice", TS_LEVEL_NOTICE}, {"warning", TS_LEVEL_WARNING}, {"info", TS_LEVEL_INFO}};

#define REQUIRED CYAML_FLAG_POINTER
#define OPTIONAL (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define TEXT_FIELD(field, flags)                                                                   \
    CYAML_FIELD_STRING_PTR(#field, flags, ts_settings_t, field, 1, TEXT_MAX)

static const cyaml_schema_field_t settings_fields[] = {
    TEXT_FIELD(name, REQUIRED),
    TEXT_FIELD(cluster, REQUIRED),
    TEXT_FIELD(zone, REQUIRED),
    TEXT_FIELD(callers, REQUIRED),
    TEXT_FIELD(operators, REQUIRED),
    TEXT_FIELD(peers, REQUIRED),
    TEXT_FIELD(advertise, OPTIONAL),
    TEXT_FIELD(platform, REQUIRED),
    CYAML_FIELD_SEQUENCE("seeds", OPTIONAL, ts_settings_t, seeds, &text_schema, 0, SEEDS_MAX),
    TEXT_FIELD(policy, OPTIONAL),
    CYAML_FIELD_INT_PTR("cpu", OPTIONAL, ts_settings_t, cpu),
    CYAML_FIELD_UINT("queries_max", CYAML_FLAG_OPTIONAL, ts_settings_t, queries_max),
    CYAML_FIELD_UINT("body_bytes_max", CYAML_FLAG_OPTIONAL, ts_settings_t, body_bytes_max),
    CYAML_FIELD_UINT("connections_max", CYAML_FLAG_OPTIONAL, ts_settings_t, connections_max),
    CYAML_FIELD_UINT("drain_ms", CYAML_FLAG_OPTIONAL, ts_settings_t, drain_ms),
    CYAML_FIELD_ENUM("log_format", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_settings_t,
                     log_format, format_names, CYAML_ARRAY_LEN(format_names)),
    CYAML_FIELD_ENUM("log_level", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_settings_t, log_level,
                     level_names, CYAML_ARRAY_LEN(level_names)),
    CYAML_FIELD_END};
static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, ts_settings_t, settings_fields)};

/* The document being validated, needed for the line numbers of problems. */
typedef struct source {
    const char *text;
    size_t length;
    ts_problems_t *problems;
} source_t;

static void check_address(const source_t *source, const char *path, const char *value)
{
    struct sockaddr_storage parsed;
    if (ts_address_parse(value, &parsed) != TS_OK) {
        ts_problems_add(source->problems, TS_E_INVALID,
                        ts_yaml_find_line(source->text, source->length, path), path,
                        "'%s' is not an IP address with a port", value);
    }
}

static void check_settings(const source_t *source, const ts_settings_t *settings)
{
    check_address(source, "callers", settings->callers);
    check_address(source, "operators", settings->operators);
    check_address(source, "peers", settings->peers);
    check_address(source, "advertise", settings->advertise);
    check_address(source, "platform", settings->platform);
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        char path[32];
        g_snprintf(path, sizeof(path), "seeds[%u]", i);
        check_address(source, path, settings->seeds[i]);
    }
    if (ts_plugin_find(TS_PLUGIN_POLICY, settings->policy) == NULL) {
        ts_problems_add(source->problems, TS_E_INVALID,
                        ts_yaml_find_line(source->text, source->length, "policy"), "policy",
                        "unknown policy '%s'", settings->policy);
    }
    if (settings->body_bytes_max > BODY_BYTES_MAX_LIMIT) {
        ts_problems_add(source->problems, TS_E_INVALID,
                        ts_yaml_find_line(source->text, source->length, "body_bytes_max"),
                        "body_bytes_max", "%u exceeds the maximum of %u", settings->body_bytes_max,
                        BODY_BYTES_MAX_LIMIT);
    }
    if (settings->cpu != NULL && *settings->cpu >= sysconf(_SC_NPROCESSORS_CONF)) {
        ts_problems_add(source->problems, TS_E_INVALID,
                        ts_yaml_find_line(source->text, source->length, "cpu"), "cpu",
                        "this machine has no CPU core %d", *settings->cpu);
    }
}

GLogLevelFlags ts_log_level_flags(ts_log_level_t level)
{
    switch (level) {
    case TS_LEVEL_WARNING:
        return G_LOG_LEVEL_WARNING;
    case TS_LEVEL_INFO:
        return G_LOG_LEVEL_INFO;
    case TS_LEVEL_NOTICE:
        break;
    }
    return G_LOG_LEVEL_MESSAGE;
}

static void set_default(uint32_t *value, uint32_t fallback)
{
    if (*value == 0) {
        *value = fallback;
    }
}

static void apply_defaults(ts_settings_t *settings)
{
    if (settings->policy == NULL) {
        settings->policy = strdup("adaptive"); /* libcyaml frees it with free() */
    }
    if (settings->advertise == NULL) {
        settings->advertise = strdup(settings->peers);
    }
    set_default(&settings->queries_max, DEFAULT_QUERIES_MAX);
    set_default(&settings->body_bytes_max, DEFAULT_BODY_BYTES_MAX);
    set_default(&settings->connections_max, DEFAULT_CONNECTIONS_MAX);
    set_default(&settings->drain_ms, DEFAULT_DRAIN_MS);
}

ts_settings_t *ts_settings_load(const char *text, size_t length, ts_problems_t *problems)
{
    void *data = NULL;
    if (ts_yaml_load(text, length, &settings_schema, &data, problems) != TS_OK) {
        return NULL;
    }
    ts_settings_t *settings = data;
    apply_defaults(settings);
    source_t source = {text, length, problems};
    check_settings(&source, settings);
    if (ts_problems_count(problems) > 0) {
        ts_settings_free(settings);
        return NULL;
    }
    return settings;
}

void ts_settings_free(ts_settings_t *settings)
{
    ts_yaml_free(&settings_schema, settings);
}
