/**
 * Runs one scenario of this directory as a cmocka test: real processes connected through the fault
 * proxy. The lab checks the scenario against the journals of callers and searchers.
 * Arguments: the path of tealspar-lab and that of the scenario.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

static const char *scenario_path;
static const char *lab_path;

static json_t *parse_last_line(const char *text)
{
    char *copy = g_strchomp(g_strdup(text));
    const char *line = strrchr(copy, '\n');
    json_t *report = json_loads(line == NULL ? copy : line + 1, 0, NULL);
    g_free(copy);
    return report;
}

/* Called after a run that passed; the files of a failed run are kept for analysis. */
static void remove_directory(const char *path)
{
    GDir *directory = g_dir_open(path, 0, NULL);
    const char *name = NULL;
    while (directory != NULL && (name = g_dir_read_name(directory)) != NULL) {
        char *file = g_build_filename(path, name, NULL);
        unlink(file);
        g_free(file);
    }
    if (directory != NULL)
        g_dir_close(directory);
    rmdir(path);
}

static void test_scenario(void **state)
{
    char *name = g_path_get_basename(scenario_path);
    // one directory per process: runs in the same work tree must not overwrite each other's files
    char *out = g_strdup_printf("lab-out/test-%s-%d", name, (int)getpid());
    char *arguments[] = {(char *)lab_path, "run", (char *)scenario_path, "--out", out, NULL};
    char *output = NULL;
    char *errors = NULL;
    int status = 0;
    assert_true(g_spawn_sync(NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output, &errors,
                             &status, NULL));
    json_t *report = parse_last_line(output);
    if (status != 0 || report == NULL) {
        fail_msg("%s\n%s\n%s\nlogs: %s", scenario_path, errors, output, out);
    }
    assert_true(json_integer_value(json_object_get(report, "answered")) > 0);
    const char *key = NULL;
    const json_t *value = NULL;
    json_object_foreach(json_object_get(report, "violations"), key, value)
    {
        assert_int_equal(json_integer_value(value), 0);
    }
    remove_directory(out);
    json_decref(report);
    g_free(errors);
    g_free(output);
    g_free(out);
    g_free(name);
}

int main(int argc, char **argv)
{
    if (argc != 3) {
        fprintf(stderr, "usage: run_scenario TEALSPAR-LAB SCENARIO\n");
        return 2;
    }
    lab_path = argv[1];
    scenario_path = argv[2];
    char *name = g_path_get_basename(scenario_path);
    const struct CMUnitTest tests[] = {{name, test_scenario, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    g_free(name);
    return failed;
}
