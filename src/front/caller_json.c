/** Reads and writes the JSON of the query API. */
#include "caller_json.h"

#include <jansson.h>
#include <string.h>

#include "tealspar/declarations.h"

#define ID_MAX 128U
#define TEXT_MAX 4096U
#define DEFAULT_LIMIT 10
/* Digits of scores and other real numbers: enough to order hits, short enough to read. */
#define REAL_DIGITS 10
#define US_PER_MS_DOUBLE 1000.0

const char *ts_outcome_name(ts_outcome_t outcome)
{
    static const char *const names[] = {"answered", "refused", "unknown"};
    return names[outcome];
}

/* One key of a request: its type, its offset in ts_query_request_t, and its limit. */
typedef enum field_type { FIELD_TEXT, FIELD_COUNT, FIELD_TIME, FIELD_FLAG } field_type_t;
typedef struct field {
    const char *name;
    field_type_t type;
    size_t offset;
    json_int_t max; /* length of a text, or value of a number */
} field_t;

#define FIELD(type, member, max)                                                                   \
    {                                                                                              \
#member, type, offsetof(ts_query_request_t, member), max                                   \
    }
static const field_t fields[] = {
    FIELD(FIELD_TEXT, id, ID_MAX),
    FIELD(FIELD_TEXT, kind, ID_MAX),
    FIELD(FIELD_TEXT, text, TEXT_MAX),
    FIELD(FIELD_TEXT, key, TEXT_MAX),
    FIELD(FIELD_COUNT, offset, TS_RESULT_LIMIT_MAX),
    FIELD(FIELD_COUNT, limit, TS_RESULT_LIMIT_MAX),
    FIELD(FIELD_COUNT, deadline_ms, TS_DEADLINE_MS_MAX),
    FIELD(FIELD_FLAG, unrepeatable, 1),
    FIELD(FIELD_FLAG, repeat, 1),
    FIELD(FIELD_TIME, issued_at_ms, INT64_MAX),
};

static const field_t *find_field(const char *name)
{
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

static const char *read_number(const field_t *field, const json_t *value, void *target)
{
    if (!json_is_integer(value)) {
        return "a number has the wrong type";
    }
    json_int_t number = json_integer_value(value);
    if (number < 0 || number > field->max) {
        return "a number is out of range";
    }
    if (field->type == FIELD_TIME) {
        *(int64_t *)target = number;
    } else {
        *(uint32_t *)target = (uint32_t)number;
    }
    return NULL;
}

static const char *read_text(const field_t *field, const json_t *value, void *target)
{
    if (!json_is_string(value)) {
        return "a text has the wrong type";
    }
    size_t length = json_string_length(value);
    if (length == 0 || length > (size_t)field->max || strlen(json_string_value(value)) != length) {
        return "a text is empty, too long or has a zero byte";
    }
    *(char **)target = g_strdup(json_string_value(value));
    return NULL;
}

/* Returns NULL, or what is wrong with the field as a static string. */
static const char *read_field(const field_t *field, const json_t *value,
                              ts_query_request_t *request)
{
    void *target = (char *)request + field->offset;
    switch (field->type) {
    case FIELD_TEXT:
        return read_text(field, value, target);
    case FIELD_FLAG:
        if (!json_is_boolean(value)) {
            return "a flag has the wrong type";
        }
        *(bool *)target = json_is_true(value);
        return NULL;
    case FIELD_COUNT:
    case FIELD_TIME:
        return read_number(field, value, target);
    }
    return NULL;
}

static const char *read_object(json_t *root, ts_query_request_t *request)
{
    const char *key = NULL;
    json_t *value = NULL;
    if (!json_is_object(root)) {
        return "the body is not a JSON object";
    }
    json_object_foreach(root, key, value)
    {
        const field_t *field = find_field(key);
        const char *problem = field == NULL ? "an unknown key" : read_field(field, value, request);
        if (problem != NULL) {
            return problem;
        }
    }
    if (request->kind == NULL) {
        return "the key 'kind' is missing";
    }
    if (request->text == NULL && request->key == NULL) {
        return "one of the keys 'text' and 'key' is needed";
    }
    if ((request->unrepeatable || request->repeat) && request->id == NULL) {
        return "an unrepeatable request or a repeat needs the key 'id'";
    }
    return NULL;
}

ts_error_t ts_caller_json_read(const char *body, size_t length, ts_query_request_t *request,
                               const char **detail)
{
    memset(request, 0, sizeof(*request));
    request->limit = DEFAULT_LIMIT;
    json_t *root = json_loadb(body, length, JSON_REJECT_DUPLICATES, NULL);
    *detail = root == NULL ? "the body is not JSON" : read_object(root, request);
    json_decref(root);
    if (*detail != NULL) {
        g_free(request->id);
        g_free(request->kind);
        g_free(request->text);
        g_free(request->key);
        memset(request, 0, sizeof(*request));
        return TS_E_BAD_REQUEST;
    }
    return TS_OK;
}

static json_t *write_coverage(const ts_answer_t *answer)
{
    json_t *groups = json_array();
    for (size_t i = 0; i < answer->groups_count; i++) {
        const ts_group_coverage_t *group = &answer->groups[i];
        json_array_append_new(groups,
                              json_pack("{s:s, s:i, s:i}", "group", group->group, "shards",
                                        (int)group->shards, "covered", (int)group->covered));
    }
    double ratio = answer->shards == 0 ? 0 : (double)answer->covered / answer->shards;
    return json_pack("{s:i, s:i, s:f, s:o}", "shards", (int)answer->shards, "covered",
                     (int)answer->covered, "ratio", ratio, "groups", groups);
}

static json_t *write_hits(const ts_answer_t *answer)
{
    json_t *hits = json_array();
    for (size_t i = 0; i < answer->hits_count; i++) {
        const ts_hit_t *hit = &answer->hits[i];
        json_array_append_new(hits, json_pack("{s:s, s:f, s:s}", "id", hit->id, "score", hit->score,
                                              "text", hit->text));
    }
    return hits;
}

static void write_failure(const ts_answer_t *answer, const char *detail, json_t *root)
{
    json_object_set_new(root, "error", json_string(ts_error_name(answer->error)));
    const char *text = detail != NULL ? detail : ts_error_text(answer->error);
    json_object_set_new(root, "detail", json_string(text));
    json_object_set_new(root, "retry_after_ms", json_integer(answer->retry_after_ms));
    if (answer->outcome == TS_OUTCOME_REFUSED) {
        json_object_set_new(root, "ran", json_false());
    }
}

char *ts_caller_json_write(const ts_answer_t *answer, const char *detail)
{
    json_t *root = json_object();
    if (answer->id != NULL) {
        json_object_set_new(root, "id", json_string(answer->id));
    }
    json_object_set_new(root, "outcome", json_string(ts_outcome_name(answer->outcome)));
    if (answer->outcome == TS_OUTCOME_ANSWERED) {
        json_object_set_new(root, "snapshot", json_integer((json_int_t)answer->snapshot));
        json_object_set_new(root, "coverage", write_coverage(answer));
        json_object_set_new(root, "total", json_integer((json_int_t)answer->total));
        json_object_set_new(root, "hits", write_hits(answer));
    } else {
        write_failure(answer, detail, root);
    }
    if (answer->shards > 0 && answer->outcome != TS_OUTCOME_ANSWERED) {
        json_object_set_new(root, "coverage", write_coverage(answer));
    }
    json_object_set_new(root, "took_ms", json_real((double)answer->took_us / US_PER_MS_DOUBLE));
    char *text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(REAL_DIGITS));
    json_decref(root);
    return text;
}
