/** A node that has just started, asked by another one over the peers' link. */
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
#define REPLY_MS 3000
#define LOOK_MS 10
#define COUNTER 77U

typedef struct asking {
    uv_loop_t loop;
    ts_peer_link_t *link;
    ts_wire_identity_t identity;
    char *node_address;
    char *directory;
    char *settings;
    GPid node;
    ts_error_t error; /* of the reply */
    ts_run_t run;
    bool is_answered;
} asking_t;

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

/* Starts a node that knows nobody: its platform does not answer, and it has no seeds. */
static void start_node(asking_t *asking)
{
    char *program = find_program();
    char *callers = new_address();
    char *operators = new_address();
    char *platform = new_address();
    asking->node_address = new_address();
    asking->directory = g_dir_make_tmp("replies-XXXXXX", NULL);
    asking->settings = g_build_filename(asking->directory, "node.yaml", NULL);
    char *text =
        g_strdup_printf("name: started\ncluster: test\nzone: north\ncallers: %s\n"
                        "operators: %s\npeers: %s\nadvertise: %s\nplatform: %s\n",
                        callers, operators, asking->node_address, asking->node_address, platform);
    assert_true(g_file_set_contents(asking->settings, text, -1, NULL));
    char *arguments[] = {program, "node", "-s", asking->settings, NULL};
    assert_true(g_spawn_async(NULL, arguments, NULL,
                              G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL |
                                  G_SPAWN_STDERR_TO_DEV_NULL,
                              NULL, NULL, &asking->node, NULL));
    g_free(text);
    g_free(platform);
    g_free(operators);
    g_free(callers);
    g_free(program);
}

static void stop_node(asking_t *asking)
{
    kill(asking->node, SIGKILL);
    waitpid(asking->node, NULL, 0);
    unlink(asking->settings);
    rmdir(asking->directory);
    g_free(asking->settings);
    g_free(asking->directory);
    g_free(asking->node_address);
}

static void take_message(void *context, ts_message_t *message)
{
    asking_t *asking = context;
    if (message->type == TS_MESSAGE_SUBREPLIES) {
        const ts_subreply_t *subreply = &((ts_subreply_message_t *)message)->subreply;
        assert_int_equal(subreply->counter, COUNTER);
        asking->is_answered = true;
        asking->error = subreply->error;
        asking->run = subreply->run;
    }
    message->destroy(message);
}

static void take_frame(void *context, const uint8_t *bytes, size_t length)
{
    const asking_t *asking = context;
    assert_int_equal(ts_wire_frame_unpack(&asking->identity, bytes, length, take_message, context),
                     TS_OK);
}

static void open_asking(asking_t *asking)
{
    char *here = new_address(); // kept, as nng's threads are
    uv_loop_init(&asking->loop);
    asking->identity = (ts_wire_identity_t){"test", "asking", here, 1};
    asking->link = ts_peer_link_open(&asking->loop, here, take_frame, asking);
    assert_non_null(asking->link);
}

static ts_work_t *make_work(void)
{
    ts_work_t *work = g_new0(ts_work_t, 1);
    work->references = 1;
    work->request_id = g_strdup("q-1");
    work->kind = g_strdup("dispatch");
    work->key = g_strdup("k");
    work->unrepeatable = true;
    work->issued_at_ms = ts_clock_wall_ms();
    work->deadline_us = ts_clock_now_us() + REPLY_MS * TS_US_PER_MS;
    return work;
}

static void ask(asking_t *asking)
{
    ts_work_t *work = make_work();
    ts_subrequests_message_t *message = ts_subrequests_message(1, work, 1);
    message->parts[0].counter = COUNTER;
    message->parts[0].backend = 5;
    ts_message_t *messages[] = {&message->head};
    ts_wire_frame_t *frame = ts_wire_frame_build(&asking->identity, messages, 1);
    size_t length = ts_wire_frame_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_wire_frame_pack(frame, bytes);
    ts_wire_frame_free(frame);
    ts_peer_link_send(asking->link, asking->node_address, bytes, length);
    message->head.destroy(&message->head);
    ts_work_unref(work);
    g_free(bytes);
}

static void stop_loop(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void await_reply(asking_t *asking)
{
    uv_timer_t timer;
    uv_timer_init(&asking->loop, &timer);
    for (unsigned waited = 0; waited < REPLY_MS && !asking->is_answered; waited += LOOK_MS) {
        uv_timer_start(&timer, stop_loop, LOOK_MS, 0);
        uv_run(&asking->loop, UV_RUN_DEFAULT);
    }
    uv_close((uv_handle_t *)&timer, NULL);
    uv_run(&asking->loop, UV_RUN_NOWAIT);
}

// A request that a node refuses because it owns nothing yet is answered, not left to its deadline
// (rolling-stop, 1 of 175 dispatches unknown: the reply to a node not heard of yet was dropped).
static void test_node_replies_to_one_it_has_not_heard_of(void **state)
{
    static asking_t asking; // nng's threads may wake its loop later
    open_asking(&asking);
    start_node(&asking);
    ask(&asking);
    await_reply(&asking);
    stop_node(&asking);
    assert_true(asking.is_answered);
    assert_int_equal(asking.error, TS_E_NOT_OWNER);
    assert_int_equal(asking.run, TS_RUN_NOT);
}

/* The cores that a thread may run on, as the kernel lists them; NULL: it has ended. */
static char *read_allowed(GPid pid, const char *thread)
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
    unsigned confined; /* to other cores than this process */
} threads_t;

static threads_t count_threads(GPid pid)
{
    char *own_thread = g_strdup_printf("%d", (int)getpid());
    char *own = read_allowed(getpid(), own_thread);
    char *path = g_strdup_printf("/proc/%d/task", (int)pid);
    GDir *directory = g_dir_open(path, 0, NULL);
    const char *name = NULL;
    threads_t threads = {0};
    while ((name = g_dir_read_name(directory)) != NULL) {
        char *allowed = read_allowed(pid, name);
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

// No thread of a node waits for one core while others are free (quiet, with one core busy: requests
// of one node end unknown, others take seconds).
static void test_threads_may_run_on_all_cores(void **state)
{
    static asking_t asking;
    open_asking(&asking);
    start_node(&asking);
    ask(&asking);
    await_reply(&asking); // the threads of its connections have begun
    threads_t threads = count_threads(asking.node);
    stop_node(&asking);
    assert_true(threads.all > 1);
    assert_int_equal(threads.confined, 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_node_replies_to_one_it_has_not_heard_of),
        cmocka_unit_test(test_threads_may_run_on_all_cores),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
