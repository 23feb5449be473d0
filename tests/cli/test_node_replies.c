/** A node that has just started replies to a subrequest of a peer. */
#include "../test_support.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uv.h>

#include "ports.h"
#include "tealspar/peer_link.h"
#include "tealspar/wire.h"

#define LOCAL_IP "127.0.0.1"
#define REPLY_TIMEOUT_MS 3000
#define POLL_INTERVAL_MS 10
#define SUBREQUEST_ID 77U

typedef struct fixture {
    uv_loop_t loop;
    ts_peer_link_t *link;
    ts_wire_identity_t identity;
    char *address;
    char *node_address;
    char *directory;
    char *settings;
    GPid node;
    ts_error_t error; /* from the reply */
    ts_execution_t run;
    bool is_answered;
} fixture_t;

static char *new_address(void)
{
    return g_strdup_printf(LOCAL_IP ":%u", lab_next_port(LOCAL_IP));
}

static char *find_program(void)
{
    char path[4096];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    assert_true(length > 0);
    path[length] = '\0';
    char *tests = g_path_get_dirname(path);
    char *build = g_path_get_dirname(tests);
    char *program = g_build_filename(build, "tealspar", NULL);
    g_free(build);
    g_free(tests);
    return program;
}

/* Starts a node without peers: its platform does not respond, and it has no seeds. */
static void start_node(fixture_t *fixture)
{
    char *program = find_program();
    char *callers = new_address();
    char *operators = new_address();
    char *platform = new_address();
    fixture->node_address = new_address();
    fixture->directory = g_dir_make_tmp("replies-XXXXXX", NULL);
    fixture->settings = g_build_filename(fixture->directory, "node.yaml", NULL);
    char *text =
        g_strdup_printf("name: started\ncluster: test\nzone: north\ncallers: %s\n"
                        "operators: %s\npeers: %s\nadvertise: %s\nplatform: %s\n",
                        callers, operators, fixture->node_address, fixture->node_address, platform);
    assert_true(g_file_set_contents(fixture->settings, text, -1, NULL));
    char *arguments[] = {program, "node", "-s", fixture->settings, NULL};
    assert_true(g_spawn_async(NULL, arguments, NULL,
                              G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL |
                                  G_SPAWN_STDERR_TO_DEV_NULL,
                              NULL, NULL, &fixture->node, NULL));
    g_free(text);
    g_free(platform);
    g_free(operators);
    g_free(callers);
    g_free(program);
}

static void stop_node(fixture_t *fixture)
{
    kill(fixture->node, SIGKILL);
    waitpid(fixture->node, NULL, 0);
    unlink(fixture->settings);
    rmdir(fixture->directory);
    g_free(fixture->settings);
    g_free(fixture->directory);
    g_free(fixture->node_address);
}

static void on_message(void *context, ts_message_t *message)
{
    fixture_t *fixture = context;
    if (message->type == TS_MESSAGE_SUBREPLIES) {
        const ts_subreply_t *subreply = &((ts_subreply_message_t *)message)->subreply;
        assert_int_equal(subreply->counter, SUBREQUEST_ID);
        fixture->is_answered = true;
        fixture->error = subreply->error;
        fixture->run = subreply->run;
    }
    message->destroy(message);
}

static void on_frame(void *context, const uint8_t *bytes, size_t length)
{
    const fixture_t *fixture = context;
    assert_int_equal(ts_wire_frame_unpack(&fixture->identity, bytes, length, on_message, context),
                     TS_OK);
}

static void open_fixture(fixture_t *fixture)
{
    fixture->address = new_address();
    uv_loop_init(&fixture->loop);
    fixture->identity = (ts_wire_identity_t){"test", "asking", fixture->address, 1};
    fixture->link = ts_peer_link_open(&fixture->loop, fixture->address, on_frame, fixture);
    assert_non_null(fixture->link);
}

static void close_fixture(fixture_t *fixture)
{
    ts_peer_link_close(fixture->link, NULL);
    uv_run(&fixture->loop, UV_RUN_DEFAULT); // until the link is closed
    assert_int_equal(uv_loop_close(&fixture->loop), 0);
    g_free(fixture->address);
}

static ts_query_params_t *make_work(void)
{
    ts_query_params_t *work = g_new0(ts_query_params_t, 1);
    work->references = 1;
    work->request_id = g_strdup("q-1");
    work->kind = g_strdup("dispatch");
    work->key = g_strdup("k");
    work->unrepeatable = true;
    work->issued_at_ms = ts_clock_wall_ms();
    work->deadline_us = ts_clock_now_us() + REPLY_TIMEOUT_MS * TS_US_PER_MS;
    return work;
}

static void send_subrequest(fixture_t *fixture)
{
    ts_query_params_t *work = make_work();
    ts_subrequests_message_t *message = ts_subrequests_message(1, work, 1);
    message->parts[0].counter = SUBREQUEST_ID;
    message->parts[0].backend = 5;
    ts_message_t *messages[] = {&message->head};
    ts_wire_frame_t *frame = ts_wire_frame_build(&fixture->identity, messages, 1);
    size_t length = ts_wire_frame_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_wire_frame_pack(frame, bytes);
    ts_wire_frame_free(frame);
    ts_peer_link_send(fixture->link, fixture->node_address, bytes, length);
    message->head.destroy(&message->head);
    ts_query_params_unref(work);
    g_free(bytes);
}

static void stop_loop(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void await_reply(fixture_t *fixture)
{
    uv_timer_t timer;
    uv_timer_init(&fixture->loop, &timer);
    for (unsigned waited = 0; waited < REPLY_TIMEOUT_MS && !fixture->is_answered;
         waited += POLL_INTERVAL_MS) {
        uv_timer_start(&timer, stop_loop, POLL_INTERVAL_MS, 0);
        uv_run(&fixture->loop, UV_RUN_DEFAULT);
    }
    uv_close((uv_handle_t *)&timer, NULL);
    uv_run(&fixture->loop, UV_RUN_NOWAIT);
}

// A node that does not own the backend yet must refuse the subrequest, also if the sender is not in
// its view. The reply to an unknown node used to be dropped, so that 1 of 175 dispatches during a
// rolling stop reached its deadline, and its outcome was reported as unknown.
static void test_node_replies_to_unknown_peer(void **state)
{
    fixture_t fixture = {0};
    open_fixture(&fixture);
    start_node(&fixture);
    send_subrequest(&fixture);
    await_reply(&fixture);
    stop_node(&fixture);
    close_fixture(&fixture);
    assert_true(fixture.is_answered);
    assert_int_equal(fixture.error, TS_E_NOT_OWNER);
    assert_int_equal(fixture.run, TS_EXECUTION_NONE);
}

/* Returns the list of cores on which a thread may run; NULL if the thread has ended. */
static char *read_allowed_cores(GPid pid, const char *thread)
{
    char *path = g_strdup_printf("/proc/%d/task/%s/status", (int)pid, thread);
    char *text = NULL;
    char *allowed = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *line = strstr(text, "Cpus_allowed_list:");
        assert_non_null(line);
        allowed = g_strndup(line, strcspn(line, "\n"));
    }
    g_free(text);
    g_free(path);
    return allowed;
}

typedef struct threads {
    unsigned all;
    unsigned confined; /* with another core list than this process */
} threads_t;

static threads_t count_threads(GPid pid)
{
    char *own_thread = g_strdup_printf("%d", (int)getpid());
    char *own = read_allowed_cores(getpid(), own_thread);
    char *path = g_strdup_printf("/proc/%d/task", (int)pid);
    GDir *directory = g_dir_open(path, 0, NULL);
    const char *name = NULL;
    threads_t threads = {0};
    while ((name = g_dir_read_name(directory)) != NULL) {
        char *allowed = read_allowed_cores(pid, name);
        threads.all += allowed != NULL;
        threads.confined += allowed != NULL && strcmp(allowed, own) != 0;
        g_free(allowed);
    }
    g_dir_close(directory);
    g_free(path);
    g_free(own);
    g_free(own_thread);
    return threads;
}

// The threads of a node must not be pinned to one core. With that core busy, requests of a node on
// an otherwise idle machine took seconds, or their outcome was reported as unknown.
static void test_threads_may_run_on_all_cores(void **state)
{
    fixture_t fixture = {0};
    open_fixture(&fixture);
    start_node(&fixture);
    send_subrequest(&fixture);
    await_reply(&fixture); // by then the threads of its connections have started
    threads_t threads = count_threads(fixture.node);
    stop_node(&fixture);
    close_fixture(&fixture);
    assert_true(threads.all > 1);
    assert_int_equal(threads.confined, 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_node_replies_to_unknown_peer),
        cmocka_unit_test(test_threads_may_run_on_all_cores),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
