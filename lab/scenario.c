/** YAML schema of scenarios. */
#include "scenario.h"

#include "tealspar/yaml_load.h"

#define TEXT_MAX 200
#define LIST_MAX 1000
#define DEFAULT_SETTLE_S 1.0
#define DEFAULT_STRAGGLER_FACTOR 50.0

static const cyaml_strval_t fault_names[] = {
    {"straggle", LAB_FAULT_STRAGGLE},
    {"kill", LAB_FAULT_KILL},
    {"start", LAB_FAULT_START},
    {"pause", LAB_FAULT_PAUSE},
    {"partition", LAB_FAULT_PARTITION},
    {"drain", LAB_FAULT_DRAIN},
    {"cold_start", LAB_FAULT_COLD_START},
    {"shed", LAB_FAULT_SHED},
    {"snapshot_roll", LAB_FAULT_SNAPSHOT_ROLL},
    {"repartition", LAB_FAULT_REPARTITION},
    {"config_down", LAB_FAULT_CONFIG_DOWN},
    {"config_stale", LAB_FAULT_CONFIG_STALE},
    {"config_change", LAB_FAULT_CONFIG_CHANGE},
    {"config_bad", LAB_FAULT_CONFIG_BAD},
    {"stop", LAB_FAULT_STOP},
};

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define OPTIONAL_TEXT (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)

static const cyaml_schema_field_t fault_fields[] = {
    CYAML_FIELD_FLOAT("at_s", CYAML_FLAG_DEFAULT, lab_fault_t, at_s),
    CYAML_FIELD_ENUM("type", CYAML_FLAG_STRICT, lab_fault_t, type, fault_names,
                     CYAML_ARRAY_LEN(fault_names)),
    CYAML_FIELD_STRING_PTR("target", OPTIONAL_TEXT, lab_fault_t, target, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("to", OPTIONAL_TEXT, lab_fault_t, to, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("mode", OPTIONAL_TEXT, lab_fault_t, mode, 1, TEXT_MAX),
    CYAML_FIELD_FLOAT("for_s", OPTIONAL, lab_fault_t, for_s),
    CYAML_FIELD_FLOAT("factor", OPTIONAL, lab_fault_t, factor),
    CYAML_FIELD_UINT("snapshot", OPTIONAL, lab_fault_t, snapshot),
    CYAML_FIELD_BOOL("keep_previous", OPTIONAL, lab_fault_t, keep_previous),
    CYAML_FIELD_END};
static const cyaml_schema_value_t fault_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, lab_fault_t, fault_fields)};

static const cyaml_schema_field_t kind_fields[] = {
    CYAML_FIELD_STRING_PTR("kind", CYAML_FLAG_POINTER, lab_scenario_kind_t, kind, 1, TEXT_MAX),
    CYAML_FIELD_FLOAT("rate", CYAML_FLAG_DEFAULT, lab_scenario_kind_t, rate),
    CYAML_FIELD_INT_PTR("unknown_at_most", OPTIONAL_TEXT, lab_scenario_kind_t, unknown_at_most),
    CYAML_FIELD_END};
static const cyaml_schema_value_t kind_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, lab_scenario_kind_t, kind_fields)};

static const cyaml_schema_field_t scenario_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, lab_scenario_t, name, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("declarations", CYAML_FLAG_POINTER, lab_scenario_t, declarations, 1,
                           TEXT_MAX),
    CYAML_FIELD_UINT("nodes_per_zone", CYAML_FLAG_DEFAULT, lab_scenario_t, nodes_per_zone),
    CYAML_FIELD_FLOAT("zone_delay_ms", OPTIONAL, lab_scenario_t, zone_delay_ms),
    CYAML_FIELD_FLOAT("region_delay_ms", OPTIONAL, lab_scenario_t, region_delay_ms),
    CYAML_FIELD_FLOAT("jitter_ms", OPTIONAL, lab_scenario_t, jitter_ms),
    CYAML_FIELD_FLOAT("service_ms", CYAML_FLAG_DEFAULT, lab_scenario_t, service_ms),
    CYAML_FIELD_FLOAT("sigma", CYAML_FLAG_DEFAULT, lab_scenario_t, sigma),
    CYAML_FIELD_FLOAT("straggler_percent", OPTIONAL, lab_scenario_t, straggler_percent),
    CYAML_FIELD_FLOAT("straggler_factor", OPTIONAL, lab_scenario_t, straggler_factor),
    CYAML_FIELD_UINT("deadline_ms", OPTIONAL, lab_scenario_t, deadline_ms),
    CYAML_FIELD_FLOAT("settle_s", OPTIONAL, lab_scenario_t, settle_s),
    CYAML_FIELD_FLOAT("seconds", CYAML_FLAG_DEFAULT, lab_scenario_t, seconds),
    CYAML_FIELD_INT_PTR("lost_at_most", OPTIONAL_TEXT, lab_scenario_t, lost_at_most),
    CYAML_FIELD_FLOAT("answered_at_least_percent", OPTIONAL, lab_scenario_t,
                      answered_at_least_percent),
    CYAML_FIELD_STRING_PTR("policy", OPTIONAL_TEXT, lab_scenario_t, policy, 1, TEXT_MAX),
    CYAML_FIELD_SEQUENCE("load", CYAML_FLAG_POINTER, lab_scenario_t, load, &kind_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("faults", OPTIONAL_TEXT, lab_scenario_t, faults, &fault_schema, 0,
                         LIST_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t scenario_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, lab_scenario_t, scenario_fields)};

lab_scenario_t *lab_scenario_load(const char *text, size_t length, ts_problems_t *problems)
{
    void *data = NULL;
    if (ts_yaml_load(text, length, &scenario_schema, &data, problems) != TS_OK) {
        return NULL;
    }
    lab_scenario_t *scenario = data;
    if (scenario->straggler_factor <= 0) {
        scenario->straggler_factor = DEFAULT_STRAGGLER_FACTOR;
    }
    if (scenario->settle_s <= 0) {
        scenario->settle_s = DEFAULT_SETTLE_S;
    }
    return scenario;
}
