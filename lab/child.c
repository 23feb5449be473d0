/** Child processes that are waited for on a separate thread. */
#include "child.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdbool.h>
#include <sys/wait.h>
#include <unistd.h>

struct lab_child {
    uv_async_t exit_async;
    lab_child_exit_cb_t on_exit;
    void *ctx;
    GMutex lock;
    pid_t pid;
    bool has_exited; /* the pid may be reused from now on */
    lab_child_exit_t result;
};

static void free_child(uv_handle_t *handle)
{
    lab_child_t *child = handle->data;
    g_mutex_clear(&child->lock);
    g_free(child);
}

static void dispatch_exit(uv_async_t *async)
{
    lab_child_t *child = async->data;
    child->on_exit(child->ctx, &child->result);
    uv_close((uv_handle_t *)async, free_child);
}

static void reap(pid_t pid)
{
    while (waitpid(pid, NULL, 0) < 0 && errno == EINTR)
        ;
}

static lab_child_exit_t make_exit_result(const siginfo_t *info)
{
    bool has_exited = info->si_code == CLD_EXITED;
    return (lab_child_exit_t){.status = has_exited ? info->si_status : 0,
                              .signal = has_exited ? 0 : info->si_status,
                              .ended_us = ts_clock_now_us()};
}

static gpointer wait_for_exit(gpointer data)
{
    lab_child_t *child = data;
    pid_t pid = child->pid;
    siginfo_t info;
    while (waitid(P_PID, (id_t)pid, &info, WEXITED | WNOWAIT) < 0 && errno == EINTR)
        ;
    child->result = make_exit_result(&info);
    g_mutex_lock(&child->lock);
    child->has_exited = true;
    g_mutex_unlock(&child->lock);
    uv_async_send(&child->exit_async); // the loop may free the child from now on
    reap(pid);
    return NULL;
}

/* Starts the program with default signal dispositions. */
static bool spawn(lab_child_t *child, char *const *arguments, char *const *environment, int output)
{
    posix_spawn_file_actions_t files;
    posix_spawnattr_t attributes;
    sigset_t all;
    sigfillset(&all);
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", 0, 0);
    posix_spawn_file_actions_adddup2(&files, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&files, output, STDERR_FILENO);
    int error = posix_spawn(&child->pid, arguments[0], &files, &attributes, arguments, environment);
    posix_spawn_file_actions_destroy(&files);
    posix_spawnattr_destroy(&attributes);
    return error == 0;
}

lab_child_t *lab_child_start(uv_loop_t *loop, char *const *arguments, char *const *environment,
                             int output, lab_child_exit_cb_t on_exit, void *ctx)
{
    lab_child_t *child = g_new0(lab_child_t, 1);
    child->on_exit = on_exit;
    child->ctx = ctx;
    if (!spawn(child, arguments, environment, output)) {
        g_free(child);
        return NULL;
    }
    g_mutex_init(&child->lock);
    uv_async_init(loop, &child->exit_async, dispatch_exit);
    child->exit_async.data = child;
    g_thread_unref(g_thread_new("child", wait_for_exit, child));
    return child;
}

void lab_child_kill(lab_child_t *child, int number)
{
    g_mutex_lock(&child->lock);
    if (!child->has_exited)
        kill(child->pid, number);
    g_mutex_unlock(&child->lock);
}
