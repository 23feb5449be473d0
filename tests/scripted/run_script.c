/**
 * Plays a script against a gateway with stand-ins and compares what it prints with what is
 * expected: `run_script FILE.script`, expected in FILE.expected. TS_SCRIPT_WRITE=1 writes that file
 * anew. Each command is echoed behind "> "; times never appear in the output.
 *
 *   settings TEXT                 further settings, before `open`; "\n" ends a line
 *   open                          the store and the gateway
 *   searcher ID SERVICE ZONE      a searcher, entered in the store
 *   absent ID SERVICE ZONE        an entry whose port nobody listens on
 *   drain ID                      its entry says that it drains
 *   behave ID WORD                see `behaviours` below
 *   delay ID MS                   how long it works on a request
 *   forget ID MS                  it resets connections that rested longer at the next request
 *   limit ID N                    it resets connections beyond so many
 *   resets ID                     how many connections it reset for these two reasons
 *   configure VERSION ROUTE...    one NAME:SERVICE, NAME:a,b,c@COVERAGE or NAME:SERVICE! each,
 *                                 served at /NAME/; "!" marks requests that may run once only;
 *                                 "%REGION,..." at the end: where it may be served
 *   evacuate ZONE / return ZONE   the operator empties a zone, or takes that back
 *   get NAME ID                   a request; prints what the caller gets
 *   begin TAG NAME ID / end TAG   the same in two steps
 *   runs ID                       how many requests the searcher ran
 *   connections ID                how many connections it accepted
 *   runs_of SERVICE               over all searchers of the service
 *   borrow SERVICE N              another gateway grants extra sends
 *   deadline MS                   how long callers wait from now on
 *   wait MS                       lets time pass
 */
#include "../gateway/fixture.h"

#include "../../platform/names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORDS_MAX 24
#define DEADLINE_MS 2000U
/* By then the gateway knows what the store was told. */
#define KNOWN_MS 1200

typedef struct script {
    fixture_t *world;
    char *settings;
    GHashTable *searchers; // id -> lab_searcher_t
    GHashTable *visits;    // tag -> client_t
    unsigned deadline_ms;  // of requests
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

static void add_settings(script_t *s, char **words, guint n)
{
    char *text = g_strjoinv(" ", words + 1);
    g_free(s->settings);
    s->settings = g_strcompress(text);
    g_free(text);
}

static void open_world(script_t *s, char **words, guint n)
{
    s->world = fixture_open(s->settings);
}

static void add_searcher(script_t *s, char **words, guint n)
{
    lab_searcher_t *searcher = fixture_add_searcher(s->world, words[1], words[2], words[3]);
    g_hash_table_insert(s->searchers, g_strdup(words[1]), searcher);
}

static void add_absent(script_t *s, char **words, guint n)
{
    lab_searcher_t *searcher = lab_searcher_open(&s->world->loop, words[1], words[2], words[3]);
    g_hash_table_insert(s->searchers, g_strdup(words[1]), searcher);
    uv_close((uv_handle_t *)&searcher->socket, NULL);
    fixture_add_existing_searcher(s->world, searcher);
}

static void drain(script_t *s, char **words, guint n)
{
    fixture_set_draining(s->world, find_searcher(s, words[1]));
    fixture_run_ms(s->world, KNOWN_MS);
}

static void set_behaviour(script_t *s, char **words, guint n)
{
    for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++) {
        if (strcmp(behaviours[i].word, words[2]) == 0) {
            find_searcher(s, words[1])->behaviour = behaviours[i].behaviour;
            return;
        }
    }
    fail_msg("no such behaviour: %s", words[2]);
}

static void set_delay(script_t *s, char **words, guint n)
{
    find_searcher(s, words[1])->delay_ms = (unsigned)atoi(words[2]);
}

static void set_forgets(script_t *s, char **words, guint n)
{
    find_searcher(s, words[1])->idle_reset_ms = (unsigned)atoi(words[2]);
}

static void set_limit(script_t *s, char **words, guint n)
{
    find_searcher(s, words[1])->connections_max = (unsigned)atoi(words[2]);
}

// REGION,... as the field of a route, or nothing.
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

// NAME:SERVICE, NAME:SERVICE! or NAME:a,b@COVERAGE, each with or without %REGION, as the JSON of a
// route.
static char *compose_route(const char *word)
{
    char **place = g_strsplit(word, "%", 2);
    char *regions = compose_regions(place[1]);
    char **halves = g_strsplit(place[0], ":", 2);
    char **reach = g_strsplit(halves[1], "@", 2);
    bool once = g_str_has_suffix(reach[0], "!");
    if (once)
        reach[0][strlen(reach[0]) - 1] = '\0';
    GString *target = g_string_new(NULL);
    if (reach[1] == NULL) {
        g_string_printf(target, "\"service\":\"%s\"", reach[0]);
    } else {
        char **shards = g_strsplit(reach[0], ",", 0);
        char *list = g_strjoinv("\",\"", shards);
        g_string_printf(target, "\"gather\":[\"%s\"],\"topK\":3,\"minCoverage\":%s", list,
                        reach[1]);
        g_free(list);
        g_strfreev(shards);
    }
    char *text = g_strdup_printf("{\"name\":\"%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\","
                                 "\"routeType\":\"%s\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
                                 "\"priority\":1,%s,\"maxAttempts\":2%s}",
                                 halves[0], halves[0], once ? "non_idempotent" : "idempotent",
                                 target->str, regions);
    g_free(regions);
    g_strfreev(place);
    g_string_free(target, TRUE);
    g_strfreev(reach);
    g_strfreev(halves);
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
    fixture_put_config(s->world, (unsigned)atoi(words[1]), routes->str);
    g_string_free(routes, TRUE);
}

static void evacuate(script_t *s, char **words, guint n)
{
    char *key = g_strdup_printf("%s%s", KEY_EVACUATIONS, words[1]);
    lab_store_put(s->world->store, key, "{}");
    g_free(key);
    fixture_run_ms(s->world, KNOWN_MS);
}

static void end_evacuation(script_t *s, char **words, guint n)
{
    char *key = g_strdup_printf("%s%s", KEY_EVACUATIONS, words[1]);
    lab_store_delete(s->world->store, key);
    g_free(key);
    fixture_run_ms(s->world, KNOWN_MS);
}

static client_t *begin_visit(script_t *s, const char *name, const char *id)
{
    client_t *visit = client_connect(s->world, s->world->callers_port);
    char *text = g_strdup_printf("GET /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                 "X-Deadline-Ms: %u\r\n\r\n",
                                 name, id, s->deadline_ms);
    client_send(visit, text);
    g_free(text);
    return visit;
}

static void print_missing(script_t *s, const client_t *visit)
{
    const char *value = ts_http_message_find(&visit->response, NAME_MISSING_PARTS);
    if (value != NULL)
        g_string_append_printf(s->out, " missing %s", value);
}

// In whole seconds, as the time to come back is spread.
static void print_retry_after(script_t *s, const client_t *visit)
{
    const char *value = ts_http_message_find(&visit->response, NAME_RETRY_AFTER);
    if (value != NULL)
        g_string_append_printf(s->out, " retry after %d s and more", atoi(value));
}

static void end_visit(script_t *s, client_t *visit)
{
    unsigned status = client_await_response(s->world, visit);
    g_string_append_printf(s->out, "status %u", status);
    print_missing(s, visit);
    print_retry_after(s, visit);
    g_string_append_c(s->out, '\n');
    client_close(visit);
}

static void get(script_t *s, char **words, guint n)
{
    end_visit(s, begin_visit(s, words[1], words[2]));
}

static void begin(script_t *s, char **words, guint n)
{
    g_hash_table_insert(s->visits, g_strdup(words[1]), begin_visit(s, words[2], words[3]));
}

static void end(script_t *s, char **words, guint n)
{
    end_visit(s, g_hash_table_lookup(s->visits, words[1]));
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

static void print_runs_of(script_t *s, char **words, guint n)
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

static void borrow(script_t *s, char **words, guint n)
{
    ts_service_t *service = ts_registry_ensure_service(s->world->gateway.registry, words[1]);
    ts_retry_budget_borrow(&service->budget, (uint32_t)atoi(words[2]), ts_clock_now_us());
}

static void set_deadline(script_t *s, char **words, guint n)
{
    s->deadline_ms = (unsigned)atoi(words[1]);
}

static void pass_time(script_t *s, char **words, guint n)
{
    fixture_run_ms(s->world, (unsigned)atoi(words[1]));
}

static const struct {
    const char *name;
    guint words; // with the command itself, at least
    command_fn run;
} commands[] = {
    {"settings", 2, add_settings},
    {"open", 1, open_world},
    {"searcher", 4, add_searcher},
    {"absent", 4, add_absent},
    {"drain", 2, drain},
    {"behave", 3, set_behaviour},
    {"delay", 3, set_delay},
    {"configure", 3, configure},
    {"evacuate", 2, evacuate},
    {"return", 2, end_evacuation},
    {"get", 3, get},
    {"begin", 4, begin},
    {"end", 2, end},
    {"forget", 3, set_forgets},
    {"limit", 3, set_limit},
    {"resets", 2, print_resets},
    {"runs", 2, print_runs},
    {"connections", 2, print_connections},
    {"runs_of", 2, print_runs_of},
    {"deadline", 2, set_deadline},
    {"wait", 2, pass_time},
    {"borrow", 3, borrow},
};

static void run_line(script_t *s, const char *line)
{
    char **words = g_strsplit(line, " ", WORDS_MAX);
    guint n = g_strv_length(words);
    g_string_append_printf(s->out, "> %s\n", line);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0) {
            assert_true(n >= commands[i].words);
            commands[i].run(s, words, n);
            g_strfreev(words);
            return;
        }
    }
    fail_msg("no such command: %s", line);
}

static char *play(const char *path)
{
    char *text = NULL;
    assert_true(g_file_get_contents(path, &text, NULL, NULL));
    char **lines = g_strsplit(text, "\n", 0);
    script_t s = {.searchers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                  .visits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
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
    char *printed = play(script_path);
    if (g_getenv("TS_SCRIPT_WRITE") != NULL)
        assert_true(g_file_set_contents(expected_path, printed, -1, NULL));
    char *expected = NULL;
    assert_true(g_file_get_contents(expected_path, &expected, NULL, NULL));
    assert_string_equal(printed, expected);
    g_free(expected);
    g_free(printed);
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
