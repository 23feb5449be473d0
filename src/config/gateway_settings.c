/** Loading and validation of gateway settings. */
#include "tealspar/gateway_settings.h"

#include <math.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/mechanism.h"
#include "tealspar/plugin.h"
#include "tealspar/yaml_load.h"

#define TEXT_MAX 200
#define ZONES_MAX 1000
#define SEEDS_MAX 64
#define WINDOW_MIN_MS 100
/* In less time a shutdown can't answer the requests in progress. */
#define GRACE_MIN_MS 1000
/* The process itself, and a few of the largest answers. */
#define MEMORY_MIN_MB 32
/* Those that are kept for files, and some for each kind of connection. */
#define DESCRIPTORS_MIN 400
#define DEFAULT_WARMUP_OVERRUN 1.0
#define MS_PER_S 1000.0

#define REQUIRED CYAML_FLAG_POINTER
#define OPTIONAL (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define TEXT_FIELD(field, flags)                                                                   \
    CYAML_FIELD_STRING_PTR(#field, flags, ts_gateway_settings_t, field, 1, TEXT_MAX)
#define NUMBER_FIELD(field)                                                                        \
    CYAML_FIELD_UINT(#field, CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, field)
#define DURATION_FIELDS(name, default_ms) TEXT_FIELD(name, OPTIONAL), NUMBER_FIELD(name##_ms),

static const cyaml_schema_value_t text_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, TEXT_MAX)};

static const cyaml_schema_field_t zone_fields[] = {
    CYAML_FIELD_STRING_PTR("zone", REQUIRED, ts_zone_setting_t, zone, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("region", REQUIRED, ts_zone_setting_t, region, 1, TEXT_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t zone_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ts_zone_setting_t, zone_fields)};

static const cyaml_strval_t policy_names[] = {{"adaptive", TS_STRAGGLER_ADAPTIVE},
                                              {"fixed-hedge", TS_STRAGGLER_FIXED_HEDGE},
                                              {"naive", TS_STRAGGLER_NAIVE}};
#define MECHANISM_BIT(symbol, name, text) {name, 1U << TS_MECHANISM_##symbol},
static const cyaml_strval_t mechanism_names[] = {TS_MECHANISM_TABLE(MECHANISM_BIT)};
#undef MECHANISM_BIT
static const cyaml_strval_t format_names[] = {{"text", TS_LOG_TEXT}, {"json", TS_LOG_JSON}};
static const cyaml_strval_t level_names[] = {
    {"notice", TS_LEVEL_NOTICE}, {"warning", TS_LEVEL_WARNING}, {"info", TS_LEVEL_INFO}};

static const cyaml_schema_field_t settings_fields[] = {
    TEXT_FIELD(name, REQUIRED),
    TEXT_FIELD(zone, REQUIRED),
    TEXT_FIELD(dialect, REQUIRED),
    TEXT_FIELD(callers, REQUIRED),
    TEXT_FIELD(ready, REQUIRED),
    TEXT_FIELD(metrics, OPTIONAL),
    TEXT_FIELD(peers, OPTIONAL),
    TEXT_FIELD(advertised, OPTIONAL),
    CYAML_FIELD_SEQUENCE("seeds", OPTIONAL, ts_gateway_settings_t, seeds, &text_schema, 0,
                         SEEDS_MAX),
    TEXT_FIELD(store, REQUIRED),
    CYAML_FIELD_SEQUENCE("zones", OPTIONAL, ts_gateway_settings_t, zones, &zone_schema, 0,
                         ZONES_MAX),
    CYAML_FIELD_FLOAT("retry_ratio", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, retry_ratio),
    CYAML_FIELD_FLOAT("retry_slack", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, retry_slack),
    CYAML_FIELD_FLOAT("warmup_overrun", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, warmup_overrun),
    CYAML_FIELD_FLOAT("warmup_slack", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, warmup_slack),
    CYAML_FIELD_FLOAT("quota_overrun", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, quota_overrun),
    CYAML_FIELD_FLOAT("quota_slack", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t, quota_slack),
    CYAML_FIELD_BOOL("revoke_fail_closed", CYAML_FLAG_OPTIONAL, ts_gateway_settings_t,
                     revoke_fail_closed),
    NUMBER_FIELD(memory_mb),
    NUMBER_FIELD(descriptors_max),
    CYAML_FIELD_ENUM("policy", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_gateway_settings_t,
                     policy, policy_names, CYAML_ARRAY_LEN(policy_names)),
    CYAML_FIELD_FLAGS("without", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_gateway_settings_t,
                      without, mechanism_names, CYAML_ARRAY_LEN(mechanism_names)),
    CYAML_FIELD_ENUM("log_format", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_gateway_settings_t,
                     log_format, format_names, CYAML_ARRAY_LEN(format_names)),
    CYAML_FIELD_ENUM("log_level", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_gateway_settings_t,
                     log_level, level_names, CYAML_ARRAY_LEN(level_names)),
    TS_DURATION_SETTINGS(DURATION_FIELDS) CYAML_FIELD_END};
static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, ts_gateway_settings_t, settings_fields)};

static void check_address(ts_problems_t *problems, const char *path, const char *value)
{
    struct sockaddr_storage parsed;
    if (value != NULL && ts_address_parse(value, &parsed) != TS_OK) {
        ts_problems_add(problems, TS_E_INVALID, 0, path, "'%s' is not an IP address with a port",
                        value);
    }
}

static void check_duration(ts_problems_t *problems, const char *path, uint32_t value_ms,
                           uint32_t minimum_ms)
{
    if (value_ms < minimum_ms)
        ts_problems_add(problems, TS_E_INVALID, 0, path, "must be at least %u ms, not %u",
                        minimum_ms, value_ms);
}

/* 0 stands for the default. */
static void check_minimum(ts_problems_t *problems, const char *path, uint32_t value,
                          uint32_t minimum)
{
    if (value != 0 && value < minimum)
        ts_problems_add(problems, TS_E_INVALID, 0, path, "must be at least %u, not %u", minimum,
                        value);
}

static void check_settings(const ts_gateway_settings_t *settings, ts_problems_t *problems)
{
    check_address(problems, "callers", settings->callers);
    check_address(problems, "ready", settings->ready);
    check_address(problems, "metrics", settings->metrics);
    check_address(problems, "peers", settings->peers);
    check_address(problems, "advertised", settings->advertised);
    check_address(problems, "store", settings->store);
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        check_address(problems, "seeds", settings->seeds[i]);
    }
    if (ts_plugin_find(TS_PLUGIN_DIALECT, settings->dialect) == NULL) {
        ts_problems_add(problems, TS_E_INVALID, 0, "dialect", "unknown dialect '%s'",
                        settings->dialect);
    }
    if (settings->retry_ratio < 0 || settings->retry_slack < 0) {
        ts_problems_add(problems, TS_E_INVALID, 0, "retry_ratio", "must not be negative");
    }
    if (settings->warmup_overrun < 0 || settings->warmup_slack < 0) {
        ts_problems_add(problems, TS_E_INVALID, 0, "warmup_overrun", "must not be negative");
    }
    if (settings->quota_overrun < 0 || settings->quota_slack < 0) {
        ts_problems_add(problems, TS_E_INVALID, 0, "quota_overrun", "must not be negative");
    }
    check_duration(problems, "quota_window", settings->quota_window_ms, WINDOW_MIN_MS);
    check_duration(problems, "retry_window", settings->retry_window_ms, WINDOW_MIN_MS);
    check_duration(problems, "grace", settings->grace_ms, GRACE_MIN_MS);
    check_minimum(problems, "memory_mb", settings->memory_mb, MEMORY_MIN_MB);
    check_minimum(problems, "descriptors_max", settings->descriptors_max, DESCRIPTORS_MIN);
}

/* Parses "6.5s" or "3000ms", rounded to a millisecond. Returns false if it is neither. */
static bool parse_duration(const char *text, uint32_t *result_ms)
{
    char *unit = NULL;
    double value = g_ascii_strtod(text, &unit);
    bool is_seconds = strcmp(unit, "s") == 0;
    if (unit == text || (!is_seconds && strcmp(unit, "ms") != 0))
        return false;
    double value_ms = round(is_seconds ? value * MS_PER_S : value);
    if (!(value_ms >= 0 && value_ms <= UINT32_MAX))
        return false;
    *result_ms = (uint32_t)value_ms;
    return true;
}

/* Sets `value_ms` from the key with a unit, if it is given, or to the default if neither key is. */
static void read_duration(ts_problems_t *problems, const char *name, const char *text,
                          uint32_t *value_ms, uint32_t default_ms)
{
    if (text != NULL && *value_ms != 0)
        ts_problems_add(problems, TS_E_INVALID, 0, name, "given twice, also as %s_ms", name);
    else if (text != NULL && !parse_duration(text, value_ms))
        ts_problems_add(problems, TS_E_INVALID, 0, name,
                        "'%s' is not a duration, such as 6.5s or 3000ms", text);
    if (*value_ms == 0)
        *value_ms = default_ms;
}

ts_gateway_settings_t *ts_gateway_settings_load(const char *text, size_t length,
                                                ts_problems_t *problems)
{
    void *data = NULL;
    if (ts_yaml_load(text, length, &settings_schema, &data, problems) != TS_OK) {
        return NULL;
    }
    ts_gateway_settings_t *settings = data;
#define READ_DURATION(name, default_ms)                                                            \
    read_duration(problems, #name, settings->name, &settings->name##_ms, default_ms);
    TS_DURATION_SETTINGS(READ_DURATION)
#undef READ_DURATION
    if (settings->warmup_overrun == 0)
        settings->warmup_overrun = DEFAULT_WARMUP_OVERRUN;
    check_settings(settings, problems);
    if (ts_problems_count(problems) > 0) {
        ts_gateway_settings_free(settings);
        return NULL;
    }
    return settings;
}

const char *ts_gateway_settings_peer_address(const ts_gateway_settings_t *settings)
{
    return settings->advertised != NULL ? settings->advertised : settings->peers;
}

void ts_gateway_settings_free(ts_gateway_settings_t *settings)
{
    ts_yaml_free(&settings_schema, settings);
}
