/** Loading, validation and indexing of declarations. */
#include "tealspar/declarations.h"

#include <math.h>
#include <string.h>

#include "declarations_schema.h"
#include "tealspar/address.h"
#include "tealspar/hash.h"
#include "tealspar/yaml_load.h"

#define MAX_SHARDS_PER_GROUP 10000U
#define MAX_SLOTS 1024U
#define MAX_CONNECTIONS 65535U
/* Further problems of a document are not reported. */
#define MAX_PROBLEMS 20U
#define FULL_PERCENT 100.0
#define DEFAULT_RESULT_LIMIT 100U
#define DEFAULT_SLOT_SHARE 100U

/* Context of the validation. */
typedef struct check {
    ts_declarations_t *declarations;
    ts_problems_t *problems;
    GHashTable *names; /* names seen so far in the list being validated */
} check_t;

static void add_problem(check_t *check, const char *path, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static void add_problem(check_t *check, const char *path, const char *format, ...)
{
    if (ts_problems_count(check->problems) >= MAX_PROBLEMS) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    char *reason = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    unsigned line =
        ts_yaml_find_line(check->declarations->text, check->declarations->text_length, path);
    ts_problems_add(check->problems, TS_E_INVALID, line, path, "%s", reason);
    g_free(reason);
}

/* Formats the path of an item's field into a buffer that the next call overwrites. */
static const char *item_path(const char *list, unsigned item, const char *field)
{
    static _Thread_local char path[256];
    g_snprintf(path, sizeof(path), "%s[%u].%s", list, item, field);
    return path;
}

static const char *entry_path(const char *list, unsigned item, const char *field, unsigned entry)
{
    static _Thread_local char path[256];
    g_snprintf(path, sizeof(path), "%s[%u].%s[%u]", list, item, field, entry);
    return path;
}

static void check_range(check_t *check, const char *path, double value, double min, double max)
{
    if (!(value >= min && value <= max)) {
        add_problem(check, path, "%g is not between %g and %g", value, min, max);
    }
}

static void check_name(check_t *check, const char *path, char *name)
{
    if (strchr(name, '/') != NULL) {
        add_problem(check, path, "the name '%s' must not contain '/'", name);
    }
    if (!g_hash_table_add(check->names, name)) {
        add_problem(check, path, "duplicate name '%s'", name);
    }
}

static void check_labels(check_t *check, const char *list, unsigned item, const char *field,
                         char **labels, unsigned count, bool is_term)
{
    for (unsigned i = 0; i < count; i++) {
        if (!ts_label_is_valid(labels[i], is_term)) {
            add_problem(check, entry_path(list, item, field, i), "'%s' is not of the form %s",
                        labels[i], is_term ? "key=value or key=value|value" : "key=value");
            continue;
        }
        for (unsigned j = 0; is_term && j < i; j++) {
            if (ts_label_has_same_key(labels[i], labels[j])) {
                add_problem(check, entry_path(list, item, field, i),
                            "'%s' and '%s' contradict each other: two terms for one key", labels[j],
                            labels[i]);
            }
        }
    }
}

static void check_zones(check_t *check)
{
    g_hash_table_remove_all(check->names);
    for (unsigned i = 0; i < check->declarations->zones_count; i++) {
        check_name(check, item_path("zones", i, "name"), check->declarations->zones[i].name);
    }
}

static void check_groups(check_t *check)
{
    g_hash_table_remove_all(check->names);
    for (unsigned i = 0; i < check->declarations->groups_count; i++) {
        const ts_group_t *group = &check->declarations->groups[i];
        check_name(check, item_path("groups", i, "name"), group->name);
        check_labels(check, "groups", i, "labels", group->labels, group->labels_count, false);
        check_range(check, item_path("groups", i, "shards"), group->shards, 1,
                    MAX_SHARDS_PER_GROUP);
    }
}

static void index_shards(ts_declarations_t *declarations)
{
    size_t count = 0;
    for (unsigned i = 0; i < declarations->groups_count; i++) {
        count += declarations->groups[i].shards;
    }
    declarations->shards = g_new0(ts_shard_t, count);
    declarations->shard_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    for (unsigned i = 0; i < declarations->groups_count; i++) {
        for (uint32_t number = 0; number < declarations->groups[i].shards; number++) {
            ts_shard_t *shard = &declarations->shards[declarations->shards_count++];
            shard->name = g_strdup_printf("%s/%u", declarations->groups[i].name, number);
            shard->id = ts_hash_text(shard->name);
            shard->group = i;
            g_hash_table_insert(declarations->shard_by_name, shard->name,
                                GUINT_TO_POINTER(declarations->shards_count));
        }
    }
}

static void check_backend_shards(check_t *check, unsigned item)
{
    const ts_backend_t *backend = &check->declarations->backends[item];
    for (unsigned i = 0; i < backend->shards_count; i++) {
        if (!g_hash_table_contains(check->declarations->shard_by_name, backend->shards[i])) {
            add_problem(check, entry_path("backends", item, "shards", i),
                        "no group declares the shard '%s'", backend->shards[i]);
        }
        for (unsigned j = 0; j < i; j++) {
            if (strcmp(backend->shards[i], backend->shards[j]) == 0) {
                add_problem(check, entry_path("backends", item, "shards", i),
                            "duplicate shard '%s'", backend->shards[i]);
            }
        }
    }
}

static void check_backend(check_t *check, unsigned i, GHashTable *addresses)
{
    ts_backend_t *backend = &check->declarations->backends[i];
    struct sockaddr_storage parsed;
    check_name(check, item_path("backends", i, "name"), backend->name);
    if (ts_address_parse(backend->address, &parsed) != TS_OK) {
        add_problem(check, item_path("backends", i, "address"),
                    "'%s' is not an IP address with a port", backend->address);
    }
    if (!g_hash_table_add(addresses, backend->address)) {
        add_problem(check, item_path("backends", i, "address"), "duplicate address '%s'",
                    backend->address);
    }
    int zone = ts_declarations_zone_index(check->declarations, backend->zone);
    if (zone < 0) {
        add_problem(check, item_path("backends", i, "zone"), "no zone '%s' is declared",
                    backend->zone);
    }
    backend->zone_index = (uint32_t)zone;
    backend->id = ts_hash_text(backend->name);
    check_labels(check, "backends", i, "labels", backend->labels, backend->labels_count, false);
    check_range(check, item_path("backends", i, "slots"), backend->slots, 1, MAX_SLOTS);
    check_range(check, item_path("backends", i, "connections"), backend->connections,
                2.0 * backend->slots, MAX_CONNECTIONS);
    check_backend_shards(check, i);
}

static void check_backends(check_t *check)
{
    ts_declarations_t *declarations = check->declarations;
    GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_remove_all(check->names);
    declarations->backend_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (unsigned i = 0; i < declarations->backends_count; i++) {
        check_backend(check, i, addresses);
        g_hash_table_insert(declarations->backend_by_id, &declarations->backends[i].id,
                            GUINT_TO_POINTER(i + 1));
    }
    g_hash_table_destroy(addresses);
}

static void check_unrepeatable(check_t *check, unsigned i, const ts_selector_t *selector)
{
    if (!selector->unrepeatable) {
        return;
    }
    if (selector->route != TS_ROUTE_KEY) {
        add_problem(check, item_path("selectors", i, "route"),
                    "an unrepeatable kind must be routed by key to a single shard");
    }
    if (selector->hedge_percent > 0) {
        add_problem(check, item_path("selectors", i, "hedge_percent"),
                    "an unrepeatable kind must not be hedged");
    }
    if (selector->retry_percent > 0) {
        add_problem(check, item_path("selectors", i, "retry_percent"),
                    "an unrepeatable kind must not be retried");
    }
}

static void check_selector(check_t *check, unsigned i)
{
    ts_selector_t *selector = &check->declarations->selectors[i];
    check_name(check, item_path("selectors", i, "kind"), selector->kind);
    check_labels(check, "selectors", i, "groups", selector->groups, selector->groups_count, true);
    check_labels(check, "selectors", i, "backends", selector->backends, selector->backends_count,
                 true);
    check_range(check, item_path("selectors", i, "deadline_ms"), selector->deadline_ms, 1,
                TS_DEADLINE_MS_MAX);
    check_range(check, item_path("selectors", i, "least_coverage_percent"),
                selector->least_coverage_percent, 0, FULL_PERCENT);
    check_range(check, item_path("selectors", i, "hedge_percent"), selector->hedge_percent, 0,
                FULL_PERCENT);
    check_range(check, item_path("selectors", i, "retry_percent"), selector->retry_percent, 0,
                FULL_PERCENT);
    check_range(check, item_path("selectors", i, "priority"), selector->priority, 0,
                TS_PRIORITY_MAX);
    check_range(check, item_path("selectors", i, "slot_share_percent"),
                selector->slot_share_percent, 0, FULL_PERCENT);
    check_range(check, item_path("selectors", i, "result_limit"), selector->result_limit, 0,
                TS_RESULT_LIMIT_MAX);
    if (selector->wait == TS_WAIT_COVERAGE && selector->least_coverage_percent <= 0) {
        add_problem(check, item_path("selectors", i, "wait"),
                    "wait 'coverage' contradicts a minimum coverage of 0: the query would not wait "
                    "for any shard");
    }
    check_unrepeatable(check, i, selector);
}

static void apply_defaults(ts_selector_t *selector)
{
    if (selector->slot_share_percent == 0) {
        selector->slot_share_percent = DEFAULT_SLOT_SHARE;
    }
    if (selector->result_limit == 0) {
        selector->result_limit = DEFAULT_RESULT_LIMIT;
    }
}

/* For each shard, returns the indexes of the backends that have it. */
static GArray **index_replicas(const ts_declarations_t *declarations)
{
    GArray **replicas_by_shard = g_new0(GArray *, declarations->shards_count);
    for (unsigned i = 0; i < declarations->shards_count; i++) {
        replicas_by_shard[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    }
    for (uint32_t b = 0; b < declarations->backends_count; b++) {
        const ts_backend_t *backend = &declarations->backends[b];
        for (unsigned i = 0; i < backend->shards_count; i++) {
            unsigned shard = GPOINTER_TO_UINT(
                g_hash_table_lookup(declarations->shard_by_name, backend->shards[i]));
            g_array_append_val(replicas_by_shard[shard - 1], b);
        }
    }
    return replicas_by_shard;
}

static void collect_replicas(const ts_declarations_t *declarations, const ts_selector_t *selector,
                             const GArray *replicas_by_shard, GArray *replicas)
{
    g_assert(replicas_by_shard != NULL);
    for (guint i = 0; i < replicas_by_shard->len; i++) {
        uint32_t index = g_array_index(replicas_by_shard, uint32_t, i);
        const ts_backend_t *backend = &declarations->backends[index];
        if (ts_labels_match(selector->backends, selector->backends_count, backend->labels,
                            backend->labels_count)) {
            g_array_append_val(replicas, index);
        }
    }
}

/* Computes the shards that a selector reaches and the backends that serve each of them. */
static void resolve_selector(check_t *check, unsigned item, GArray **replicas_by_shard)
{
    const ts_declarations_t *declarations = check->declarations;
    ts_selector_t *selector = &check->declarations->selectors[item];
    GArray *reach = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GArray *begin = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GArray *replicas = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t s = 0; s < declarations->shards_count; s++) {
        const ts_group_t *group = &declarations->groups[declarations->shards[s].group];
        if (!ts_labels_match(selector->groups, selector->groups_count, group->labels,
                             group->labels_count)) {
            continue;
        }
        g_array_append_val(reach, s);
        g_array_append_val(begin, replicas->len);
        collect_replicas(declarations, selector, replicas_by_shard[s], replicas);
        if (replicas->len == g_array_index(begin, uint32_t, begin->len - 1)) {
            add_problem(check, item_path("selectors", item, "backends"),
                        "no backend that kind '%s' may reach has the shard '%s'", selector->kind,
                        declarations->shards[s].name);
        }
    }
    if (reach->len == 0) {
        add_problem(check, item_path("selectors", item, "groups"), "no group matches");
    }
    g_array_append_val(begin, replicas->len);
    selector->reach_count = reach->len;
    selector->reach = (uint32_t *)(void *)g_array_free(reach, FALSE);
    selector->replicas_begin = (uint32_t *)(void *)g_array_free(begin, FALSE);
    selector->replicas = (uint32_t *)(void *)g_array_free(replicas, FALSE);
}

static void resolve_selectors(check_t *check)
{
    if (check->declarations->shards_count == 0) {
        return; /* cannot happen: there is a group, and each group has a shard */
    }
    GArray **replicas_by_shard = index_replicas(check->declarations);
    for (unsigned i = 0; i < check->declarations->selectors_count; i++) {
        apply_defaults(&check->declarations->selectors[i]);
        resolve_selector(check, i, replicas_by_shard);
    }
    for (unsigned i = 0; i < check->declarations->shards_count; i++) {
        g_array_free(replicas_by_shard[i], TRUE);
    }
    g_free(replicas_by_shard);
}

static void check_document(ts_declarations_t *declarations, ts_problems_t *problems)
{
    check_t check = {declarations, problems, g_hash_table_new(g_str_hash, g_str_equal)};
    if (declarations->version == 0) {
        add_problem(&check, "version", "versions begin at 1");
    }
    check_zones(&check);
    check_groups(&check);
    if (ts_problems_count(problems) == 0) {
        index_shards(declarations);
        check_backends(&check);
        g_hash_table_remove_all(check.names);
        for (unsigned i = 0; i < declarations->selectors_count; i++) {
            check_selector(&check, i);
        }
    }
    if (ts_problems_count(problems) == 0) {
        resolve_selectors(&check);
    }
    g_hash_table_destroy(check.names);
}

ts_declarations_t *ts_declarations_load(const char *text, size_t length, ts_problems_t *problems)
{
    void *data = NULL;
    if (length > TS_DECLARATIONS_BYTES_MAX) {
        ts_problems_add(problems, TS_E_TOO_LARGE, 0, "(document)",
                        "document size of %zu bytes exceeds the limit", length);
        return NULL;
    }
    if (ts_yaml_load(text, length, &ts_declarations_schema, &data, problems) != TS_OK) {
        return NULL;
    }
    ts_declarations_t *declarations = data;
    declarations->references = 1;
    declarations->text = g_strndup(text, length);
    declarations->text_length = length;
    declarations->digest = ts_hash_bytes(text, length);
    check_document(declarations, problems);
    if (ts_problems_count(problems) > 0) {
        ts_declarations_unref(declarations);
        return NULL;
    }
    return declarations;
}

ts_declarations_t *ts_declarations_ref(ts_declarations_t *declarations)
{
    declarations->references++;
    return declarations;
}

static void free_computed(ts_declarations_t *declarations)
{
    for (unsigned i = 0; i < declarations->shards_count; i++) {
        g_free(declarations->shards[i].name);
    }
    g_free(declarations->shards);
    for (unsigned i = 0; i < declarations->selectors_count; i++) {
        g_free(declarations->selectors[i].reach);
        g_free(declarations->selectors[i].replicas);
        g_free(declarations->selectors[i].replicas_begin);
    }
    g_clear_pointer(&declarations->shard_by_name, g_hash_table_destroy);
    g_clear_pointer(&declarations->backend_by_id, g_hash_table_destroy);
    g_free(declarations->text);
}

void ts_declarations_unref(ts_declarations_t *declarations)
{
    if (declarations == NULL || --declarations->references > 0) {
        return;
    }
    free_computed(declarations);
    ts_yaml_free(&ts_declarations_schema, declarations);
}

const ts_selector_t *ts_declarations_selector(const ts_declarations_t *declarations,
                                              const char *kind)
{
    for (unsigned i = 0; i < declarations->selectors_count; i++) {
        if (strcmp(declarations->selectors[i].kind, kind) == 0) {
            return &declarations->selectors[i];
        }
    }
    return NULL;
}

int ts_declarations_backend_index(const ts_declarations_t *declarations, uint64_t id)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(declarations->backend_by_id, &id)) - 1;
}

int ts_declarations_zone_index(const ts_declarations_t *declarations, const char *name)
{
    for (unsigned i = 0; i < declarations->zones_count; i++) {
        if (strcmp(declarations->zones[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}
