/**
 * A process that gets a stop signal during startup must exit normally. Under load, a node restarted
 * three seconds before the end of a scenario was terminated by signal 15 with an empty log, as it
 * had not installed its signal handlers yet; a supervisor takes that for a crash. These tests
 * provide the settings through a FIFO, so that the signal arrives while the process waits for them.
 */
#include "../test_support.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define EXIT_TIMEOUT_MS 5000
#define POLL_INTERVAL_MS 10

typedef struct process {
    GPid pid;
    int settings; /* write end of the FIFO */
    char *directory;
    char *fifo;
} process_t;

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

/* Starts `tealspar KIND` and returns once it has opened its settings. */
static process_t start_process(const char *kind)
{
    process_t process = {0};
    char *program = find_program();
    process.directory = g_dir_make_tmp("stop-XXXXXX", NULL);
    process.fifo = g_strdup_printf("%s/settings", process.directory);
    assert_int_equal(mkfifo(process.fifo, 0600), 0);
    char *arguments[] = {program, (char *)kind, "-s", process.fifo, NULL};
    assert_true(g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
                              &process.pid, NULL));
    process.settings = open(process.fifo, O_WRONLY); // blocks until the process opens the FIFO
    assert_true(process.settings >= 0);
    g_free(program);
    return process;
}

/* Returns the wait status of the process; kills it after a timeout. */
static int await_exit(process_t *process)
{
    int status = 0;
    pid_t exited = 0;
    for (unsigned waited = 0; waited < EXIT_TIMEOUT_MS && exited == 0; waited += POLL_INTERVAL_MS) {
        exited = waitpid(process->pid, &status, WNOHANG);
        g_usleep(POLL_INTERVAL_MS * 1000);
    }
    if (exited == 0) {
        kill(process->pid, SIGKILL);
        waitpid(process->pid, &status, 0);
    }
    close(process->settings);
    g_unlink(process->fifo);
    g_rmdir(process->directory);
    g_free(process->fifo);
    g_free(process->directory);
    return status;
}

static void check_stop(const char *kind, int number)
{
    process_t process = start_process(kind);
    kill(process.pid, number);
    int status = await_exit(&process);
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
        fail_msg("%s got signal %d during startup: exit code %d, terminated by signal %d", kind,
                 number, WIFEXITED(status) ? WEXITSTATUS(status) : -1,
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

/* SIGHUP (reload of the settings) must not terminate a process that is reading its settings. */
static void test_sighup_is_ignored_while_a_gateway_starts(void **state)
{
    process_t process = start_process("gateway");
    kill(process.pid, SIGHUP);
    g_usleep(POLL_INTERVAL_MS * 1000);
    assert_int_equal(waitpid(process.pid, NULL, WNOHANG), 0);
    kill(process.pid, SIGTERM);
    int status = await_exit(&process);
    assert_true(WIFEXITED(status));
    assert_int_equal(WEXITSTATUS(status), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_gateway_is_stopped_while_it_starts),
        cmocka_unit_test(test_node_is_stopped_while_it_starts),
        cmocka_unit_test(test_sighup_is_ignored_while_a_gateway_starts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
