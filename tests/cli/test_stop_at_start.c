/**
 * A process that is told to stop while it starts ends in order. Beside load a node of a scenario
 * was started anew three seconds before the end and ended by signal 15, its log empty: the signal
 * met a process that did not handle it yet, which looks to whoever watches it as a crash. Here the
 * settings come through a FIFO, so that the process has begun and waits for them.
 */
#include "../test_support.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define WAIT_MS 5000
#define LOOK_MS 10

typedef struct started {
    GPid pid;
    int settings; /* the writing end */
    char *directory;
    char *fifo;
} started_t;

static char *find_program(void)
{
    char path[4096];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    assert_true(length > 0);
    path[length] = '\0';
    char *tests = g_path_get_dirname(path);
    char *build = g_path_get_dirname(tests);
    char *program = g_strdup_printf("%s/tealspar", build);
    g_free(build);
    g_free(tests);
    return program;
}

/* Starts a process of a kind, which reads its settings when this returns. */
static started_t start(const char *kind)
{
    started_t started = {0};
    char *program = find_program();
    started.directory = g_dir_make_tmp("stop-XXXXXX", NULL);
    started.fifo = g_strdup_printf("%s/settings", started.directory);
    assert_int_equal(mkfifo(started.fifo, 0600), 0);
    char *arguments[] = {program, (char *)kind, "-s", started.fifo, NULL};
    assert_true(g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
                              &started.pid, NULL));
    started.settings = open(started.fifo, O_WRONLY); // waits for the reader
    assert_true(started.settings >= 0);
    g_free(program);
    return started;
}

/* The process's wait status; it is ended if it does not end. */
static int await_end(started_t *started)
{
    int status = 0;
    pid_t ended = 0;
    for (unsigned waited = 0; waited < WAIT_MS && ended == 0; waited += LOOK_MS) {
        ended = waitpid(started->pid, &status, WNOHANG);
        g_usleep(LOOK_MS * 1000);
    }
    if (ended == 0) {
        kill(started->pid, SIGKILL);
        waitpid(started->pid, &status, 0);
    }
    close(started->settings);
    g_unlink(started->fifo);
    g_rmdir(started->directory);
    g_free(started->fifo);
    g_free(started->directory);
    return status;
}

static void check_stop(const char *kind, int number)
{
    started_t started = start(kind);
    kill(started.pid, number);
    int status = await_end(&started);
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
        fail_msg("%s told by signal %d while it starts: exit code %d, signal %d", kind, number,
                 WIFEXITED(status) ? WEXITSTATUS(status) : -1,
                 WIFSIGNALED(status) ? WTERMSIG(status) : 0);
}

static void test_gateway_is_stopped_while_it_starts(void **state)
{
    check_stop("gateway", SIGTERM);
    check_stop("gateway", SIGINT);
}

static void test_node_is_stopped_while_it_starts(void **state)
{
    check_stop("node", SIGTERM);
    check_stop("node", SIGINT);
}

/* Settings that are to be read again are being read for the first time: nothing ends. */
static void test_settings_change_while_a_gateway_starts(void **state)
{
    started_t started = start("gateway");
    kill(started.pid, SIGHUP);
    g_usleep(LOOK_MS * 1000);
    assert_int_equal(waitpid(started.pid, NULL, WNOHANG), 0);
    kill(started.pid, SIGTERM);
    int status = await_end(&started);
    assert_true(WIFEXITED(status));
    assert_int_equal(WEXITSTATUS(status), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_gateway_is_stopped_while_it_starts),
        cmocka_unit_test(test_node_is_stopped_while_it_starts),
        cmocka_unit_test(test_settings_change_while_a_gateway_starts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
