/**
 * Runs a script against a gateway, a fake configuration store and fake searchers, and compares the
 * output with the expected one: `run_script FILE.script` with the expected output in FILE.expected.
 * TS_SCRIPT_WRITE=1 overwrites that file with the output. Commands are echoed after "> ", comments
 * (lines that start with "#") as they are. The output contains no times, so that it is
 * reproducible.
 *
 *   settings TEXT                 further settings, before `open`; "\n" ends a line
 *   open                          starts the store and the gateway
 *   searcher ID SERVICE ZONE      starts a searcher and registers it in the store
 *   absent ID SERVICE ZONE        registers a searcher on whose port nothing listens
 *   drain ID                      marks the searcher's entry in the store as draining
 *   behave ID WORD                how the searcher responds, see `behaviours` below
 *   delay ID MS                   time until the searcher responds
 *   forget ID MS                  connections idle for longer are reset at the next request
 *   limit ID N                    connections beyond N open ones are reset
 *   resets ID                     prints the connections reset because of `forget` or `limit`
 *   configure VERSION ROUTE...    publishes routes: NAME:SERVICE, NAME:SERVICE! (non-idempotent) or
 *                                 NAME:a,b,c@COVERAGE (scatter-gather), served at /NAME/;
 *                                 "%REGION,..." at the end restricts the route to these regions
 *   evacuate ZONE / return ZONE   starts or ends the evacuation of a zone
 *   get NAME ID                   sends a request and prints the response
 *   begin TAG NAME ID / end TAG   the same in two steps
 *   runs ID                       prints the requests that the searcher ran
 *   connections ID                prints the connections that the searcher accepted
 *   runs_of SERVICE               prints the requests that all searchers of the service ran
 *   borrow SERVICE N              adds N retries borrowed from another gateway's retry budget
 *   deadline MS                   deadline of the following requests
 *   wait MS                       runs the event loop for MS
 */
#include "../gateway/fixture.h"

#include "../../platform/names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORDS_MAX 24
#define DEADLINE_MS 2000U
/* By then a change in the store has reached the gateway. */
#define PROPAGATION_MS 1200

typedef struct script {
    fixture_t *fixture;
    char *settings;
    GHashTable *searchers; // id -> lab_searcher_t
    GHashTable *requests;  // in flight, tag -> client_t
    unsigned deadline_ms;  // sent with each request
    GString *out;
} script_t;

typedef void (*command_fn)(script_t *s, char **words, guint n);

static const char *script_path;

static const struct {
    const char *word;
    lab_searcher_behaviour_t behaviour;
} behaviours[] = {
    {"answers", LAB_ANSWERS},     {"sheds", LAB_SHEDS},          {"fails", LAB_FAILS},
    {"hangs", LAB_HANGS},         {"breaks_off", LAB_TRUNCATES}, {"garbage", LAB_MALFORMED},
    {"twice", LAB_ANSWERS_TWICE},
};

static lab_searcher_t *find_searcher(script_t *s, const char *id)
{
    lab_searcher_t *searcher = g_hash_table_lookup(s->searchers, id);
    assert_non_null(searcher);
    return searcher;
}

static void set_settings(script_t *s, char **words, guint n)
{
    char *text = g_strjoinv(" ", words + 1);
    g_free(s->settings);
    s->settings = g_strcompress(text);
    g_free(text);
}

static void open_fixture(script_t *s, char **words, guint n)
{
    s->fixture = fixture_open(s->settings);
}

static void add_searcher(script_t *s, char **words, guint n)
{
    lab_searcher_t *searcher = fixture_add_searcher(s->fixture, words[1], words[2], words[3]);
    g_hash_table_insert(s->searchers, g_strdup(words[1]), searcher);
}

static void add_unreachable(script_t *s, char **words, guint n)
{
    lab_searcher_t *searcher = lab_searcher_open(&s->fixture->loop, words[1], words[2], words[3]);
    g_hash_table_insert(s->searchers, g_strdup(words[1]), searcher);
    uv_close((uv_handle_t *)&searcher->socket, NULL);
    fixture_add_existing_searcher(s->fixture, searcher);
}

static void set_draining(script_t *s, char **words, guint n)
{
    fixture_set_draining(s->fixture, find_searcher(s, words[1]));
    fixture_run_ms(s->fixture, PROPAGATION_MS);
}

static void set_behaviour(script_t *s, char **words, guint n)
{
    for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++) {
        if (strcmp(behaviours[i].word, words[2]) == 0) {
            find_searcher(s, words[1])->behaviour = behaviours[i].behaviour;
            return;
        }
    }
    fail_msg("unknown behaviour: %s", words[2]);
}

static void set_delay(script_t *s, char **words, guint n)
{
    find_searcher(s, words[1])->delay_ms = (unsigned)atoi(words[2]);
}

static void set_idle_reset(script_t *s, char **words, guint n)
{
    find_searcher(s, words[1])->idle_reset_ms = (unsigned)atoi(words[2]);
}

static void set_connection_limit(script_t *s, char **words, guint n)
{
    find_searcher(s, words[1])->connections_max = (unsigned)atoi(words[2]);
}

// JSON field of a route that restricts it to REGION,...; empty if `list` is NULL.
static char *compose_regions(const char *list)
{
    if (list == NULL)
        return g_strdup("");
    char **regions = g_strsplit(list, ",", 0);
    char *names = g_strjoinv("\",\"", regions);
    char *field = g_strdup_printf(",\"" FIELD_REGIONS "\":[\"%s\"]", names);
    g_strfreev(regions);
    g_free(names);
    return field;
}

// JSON of a route from NAME:SERVICE, NAME:SERVICE! or NAME:a,b@COVERAGE, each optionally followed
// by %REGION,...
static char *compose_route(const char *word)
{
    char **region_split = g_strsplit(word, "%", 2);
    char *regions = compose_regions(region_split[1]);
    char **name_split = g_strsplit(region_split[0], ":", 2);
    char **target_split = g_strsplit(name_split[1], "@", 2);
    bool is_non_idempotent = g_str_has_suffix(target_split[0], "!");
    if (is_non_idempotent)
        target_split[0][strlen(target_split[0]) - 1] = '\0';
    GString *target = g_string_new(NULL);
    if (target_split[1] == NULL) {
        g_string_printf(target, "\"service\":\"%s\"", target_split[0]);
    } else {
        char **shards = g_strsplit(target_split[0], ",", 0);
        char *list = g_strjoinv("\",\"", shards);
        g_string_printf(target, "\"gather\":[\"%s\"],\"topK\":3,\"minCoverage\":%s", list,
                        target_split[1]);
        g_free(list);
        g_strfreev(shards);
    }
    char *text =
        g_strdup_printf("{\"name\":\"%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\","
                        "\"routeType\":\"%s\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
                        "\"priority\":1,%s,\"maxAttempts\":2%s}",
                        name_split[0], name_split[0],
                        is_non_idempotent ? "non_idempotent" : "idempotent", target->str, regions);
    g_free(regions);
    g_strfreev(region_split);
    g_string_free(target, TRUE);
    g_strfreev(target_split);
    g_strfreev(name_split);
    return text;
}

static void configure(script_t *s, char **words, guint n)
{
    GString *routes = g_string_new(NULL);
    for (guint i = 2; i < n; i++) {
        char *route = compose_route(words[i]);
        g_string_append_printf(routes, "%s%s", i > 2 ? "," : "", route);
        g_free(route);
    }
    fixture_put_config(s->fixture, (unsigned)atoi(words[1]), routes->str);
    g_string_free(routes, TRUE);
}

static void begin_evacuation(script_t *s, char **words, guint n)
{
    char *key = g_strdup_printf("%s%s", KEY_EVACUATIONS, words[1]);
    lab_store_put(s->fixture->store, key, "{}");
    g_free(key);
    fixture_run_ms(s->fixture, PROPAGATION_MS);
}

static void end_evacuation(script_t *s, char **words, guint n)
{
    char *key = g_strdup_printf("%s%s", KEY_EVACUATIONS, words[1]);
    lab_store_delete(s->fixture->store, key);
    g_free(key);
    fixture_run_ms(s->fixture, PROPAGATION_MS);
}

static client_t *send_request(script_t *s, const char *name, const char *id)
{
    client_t *client = client_connect(s->fixture, s->fixture->callers_port);
    char *text = g_strdup_printf("GET /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                 "X-Deadline-Ms: %u\r\n\r\n",
                                 name, id, s->deadline_ms);
    client_send(client, text);
    g_free(text);
    return client;
}

static void print_missing(script_t *s, const client_t *client)
{
    const char *value = ts_http_message_find(&client->response, NAME_MISSING_PARTS);
    if (value != NULL)
        g_string_append_printf(s->out, " missing %s", value);
}

// Whole seconds only: the value has jitter, so that refused callers do not all retry at once.
static void print_retry_after(script_t *s, const client_t *client)
{
    const char *value = ts_http_message_find(&client->response, NAME_RETRY_AFTER);
    if (value != NULL)
        g_string_append_printf(s->out, " retry after %d s and more", atoi(value));
}

static void print_response(script_t *s, client_t *client)
{
    unsigned status = client_await_response(s->fixture, client);
    g_string_append_printf(s->out, "status %u", status);
    print_missing(s, client);
    print_retry_after(s, client);
    g_string_append_c(s->out, '\n');
    client_close(client);
}

static void run_request(script_t *s, char **words, guint n)
{
    print_response(s, send_request(s, words[1], words[2]));
}

static void begin_request(script_t *s, char **words, guint n)
{
    g_hash_table_insert(s->requests, g_strdup(words[1]), send_request(s, words[2], words[3]));
}

static void end_request(script_t *s, char **words, guint n)
{
    print_response(s, g_hash_table_lookup(s->requests, words[1]));
}

static void print_runs(script_t *s, char **words, guint n)
{
    g_string_append_printf(s->out, "%u\n", find_searcher(s, words[1])->runs);
}

static void print_connections(script_t *s, char **words, guint n)
{
    g_string_append_printf(s->out, "%u\n", find_searcher(s, words[1])->connections);
}

static void print_resets(script_t *s, char **words, guint n)
{
    g_string_append_printf(s->out, "%u\n", find_searcher(s, words[1])->connections_reset);
}

static void print_service_runs(script_t *s, char **words, guint n)
{
    GHashTableIter it;
    gpointer value = NULL;
    unsigned runs = 0;
    g_hash_table_iter_init(&it, s->searchers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const lab_searcher_t *searcher = value;
        runs += strcmp(searcher->service, words[1]) == 0 ? searcher->runs : 0;
    }
    g_string_append_printf(s->out, "%u\n", runs);
}

static void borrow_retries(script_t *s, char **words, guint n)
{
    ts_service_t *service = ts_registry_ensure_service(s->fixture->gateway.registry, words[1]);
    ts_retry_budget_borrow(&service->budget, (uint32_t)atoi(words[2]), ts_clock_now_us());
}

static void set_deadline(script_t *s, char **words, guint n)
{
    s->deadline_ms = (unsigned)atoi(words[1]);
}

static void run_for(script_t *s, char **words, guint n)
{
    fixture_run_ms(s->fixture, (unsigned)atoi(words[1]));
}

static const struct {
    const char *name;
    guint words_min; // including the command
    command_fn run;
} commands[] = {
    {"settings", 2, set_settings},
    {"open", 1, open_fixture},
    {"searcher", 4, add_searcher},
    {"absent", 4, add_unreachable},
    {"drain", 2, set_draining},
    {"behave", 3, set_behaviour},
    {"delay", 3, set_delay},
    {"configure", 3, configure},
    {"evacuate", 2, begin_evacuation},
    {"return", 2, end_evacuation},
    {"get", 3, run_request},
    {"begin", 4, begin_request},
    {"end", 2, end_request},
    {"forget", 3, set_idle_reset},
    {"limit", 3, set_connection_limit},
    {"resets", 2, print_resets},
    {"runs", 2, print_runs},
    {"connections", 2, print_connections},
    {"runs_of", 2, print_service_runs},
    {"deadline", 2, set_deadline},
    {"wait", 2, run_for},
    {"borrow", 3, borrow_retries},
};

static void run_line(script_t *s, const char *line)
{
    char **words = g_strsplit(line, " ", WORDS_MAX);
    guint n = g_strv_length(words);
    g_string_append_printf(s->out, "> %s\n", line);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0) {
            assert_true(n >= commands[i].words_min);
            commands[i].run(s, words, n);
            g_strfreev(words);
            return;
        }
    }
    fail_msg("unknown command: %s", line);
}

static char *run_script(const char *path)
{
    char *text = NULL;
    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    char **lines = g_strsplit(text, "\n", 0);
    script_t s = {.searchers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                  .requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                  .deadline_ms = DEADLINE_MS,
                  .out = g_string_new(NULL)};
    for (guint i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] == '#')
            g_string_append_printf(s.out, "%s\n", lines[i]);
        else if (lines[i][0] != '\0')
            run_line(&s, lines[i]);
    }
    g_strfreev(lines);
    g_free(text);
    return g_string_free(s.out, FALSE);
}

static void test_script(void **state)
{
    char *stem = g_strndup(script_path, strlen(script_path) - strlen(".script"));
    char *expected_path = g_strdup_printf("%s.expected", stem);
    char *output = run_script(script_path);
    if (g_getenv("TS_SCRIPT_WRITE") != NULL)
        assert_true(g_file_set_contents(expected_path, output, -1, NULL));
    char *expected = NULL;
    assert_true(g_file_get_contents(expected_path, &expected, NULL, NULL));
    assert_string_equal(output, expected);
    g_free(expected);
    g_free(output);
    g_free(expected_path);
    g_free(stem);
}

int main(int argc, char **argv)
{
    if (argc != 2 || !g_str_has_suffix(argv[1], ".script")) {
        fprintf(stderr, "usage: run_script FILE.script\n");
        return 2;
    }
    script_path = argv[1];
    char *name = g_path_get_basename(argv[1]);
    const struct CMUnitTest tests[] = {{name, test_script, NULL, NULL, NULL}};
    return cmocka_run_group_tests_name("scripted", tests, NULL, NULL);
}
