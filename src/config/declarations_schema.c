/** The libcyaml schema of declarations: keys, types and optional keys. */
#include "declarations_schema.h"

#include "tealspar/declarations-t.h"

#define TEXT_MAX 200
#define LIST_MAX 100000

static const cyaml_schema_value_t text_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, TEXT_MAX)};

static const cyaml_schema_field_t zone_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, ts_zone_t, name, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, ts_zone_t, region, 1, TEXT_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t zone_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ts_zone_t, zone_fields)};

static const cyaml_schema_field_t group_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, ts_group_t, name, 1, TEXT_MAX),
    CYAML_FIELD_SEQUENCE("labels", CYAML_FLAG_POINTER, ts_group_t, labels, &text_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_UINT("shards", CYAML_FLAG_DEFAULT, ts_group_t, shards), CYAML_FIELD_END};
static const cyaml_schema_value_t group_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ts_group_t, group_fields)};

static const cyaml_schema_field_t backend_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, ts_backend_t, name, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER, ts_backend_t, address, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("zone", CYAML_FLAG_POINTER, ts_backend_t, zone, 1, TEXT_MAX),
    CYAML_FIELD_SEQUENCE("labels", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, ts_backend_t, labels,
                         &text_schema, 0, LIST_MAX),
    CYAML_FIELD_SEQUENCE("shards", CYAML_FLAG_POINTER, ts_backend_t, shards, &text_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_UINT("slots", CYAML_FLAG_DEFAULT, ts_backend_t, slots),
    CYAML_FIELD_UINT("connections", CYAML_FLAG_DEFAULT, ts_backend_t, connections),
    CYAML_FIELD_END};
static const cyaml_schema_value_t backend_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ts_backend_t, backend_fields)};

static const cyaml_strval_t wait_names[] = {
    {"deadline", TS_WAIT_DEADLINE}, {"coverage", TS_WAIT_COVERAGE}, {"gain", TS_WAIT_GAIN}};
static const cyaml_strval_t route_names[] = {{"all", TS_ROUTE_ALL}, {"key", TS_ROUTE_KEY}};

static const cyaml_schema_field_t selector_fields[] = {
    CYAML_FIELD_STRING_PTR("kind", CYAML_FLAG_POINTER, ts_selector_t, kind, 1, TEXT_MAX),
    CYAML_FIELD_SEQUENCE("groups", CYAML_FLAG_POINTER, ts_selector_t, groups, &text_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("backends", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, ts_selector_t,
                         backends, &text_schema, 0, LIST_MAX),
    CYAML_FIELD_ENUM("route", CYAML_FLAG_STRICT | CYAML_FLAG_OPTIONAL, ts_selector_t, route,
                     route_names, CYAML_ARRAY_LEN(route_names)),
    CYAML_FIELD_ENUM("wait", CYAML_FLAG_STRICT, ts_selector_t, wait, wait_names,
                     CYAML_ARRAY_LEN(wait_names)),
    CYAML_FIELD_UINT("deadline_ms", CYAML_FLAG_DEFAULT, ts_selector_t, deadline_ms),
    CYAML_FIELD_FLOAT("least_coverage_percent", CYAML_FLAG_DEFAULT, ts_selector_t,
                      least_coverage_percent),
    CYAML_FIELD_FLOAT("hedge_percent", CYAML_FLAG_OPTIONAL, ts_selector_t, hedge_percent),
    CYAML_FIELD_FLOAT("retry_percent", CYAML_FLAG_OPTIONAL, ts_selector_t, retry_percent),
    CYAML_FIELD_UINT("priority", CYAML_FLAG_OPTIONAL, ts_selector_t, priority),
    CYAML_FIELD_UINT("slot_share_percent", CYAML_FLAG_OPTIONAL, ts_selector_t, slot_share_percent),
    CYAML_FIELD_UINT("result_limit", CYAML_FLAG_OPTIONAL, ts_selector_t, result_limit),
    CYAML_FIELD_BOOL("unrepeatable", CYAML_FLAG_OPTIONAL, ts_selector_t, unrepeatable),
    CYAML_FIELD_END};
static const cyaml_schema_value_t selector_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ts_selector_t, selector_fields)};

static const cyaml_schema_field_t document_fields[] = {
    CYAML_FIELD_UINT("version", CYAML_FLAG_DEFAULT, ts_declarations_t, version),
    CYAML_FIELD_SEQUENCE("zones", CYAML_FLAG_POINTER, ts_declarations_t, zones, &zone_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("groups", CYAML_FLAG_POINTER, ts_declarations_t, groups, &group_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("backends", CYAML_FLAG_POINTER, ts_declarations_t, backends,
                         &backend_schema, 1, LIST_MAX),
    CYAML_FIELD_SEQUENCE("selectors", CYAML_FLAG_POINTER, ts_declarations_t, selectors,
                         &selector_schema, 1, LIST_MAX),
    CYAML_FIELD_END};

const cyaml_schema_value_t ts_declarations_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, ts_declarations_t, document_fields)};
