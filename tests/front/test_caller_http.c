/** Robustness of a real node's query API: malformed, oversized, slow and pipelined requests. */
#include "../test_support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CALLERS_PORT 20001
#define TIMEOUT_MS 20000
#define REPLY_SIZE 8192
#define SLOW_CALLERS 200

static char host[32];
static pid_t node;
static char *folder;

/* ---- a node on its own loopback address ---- */

static char *program_path(void)
{
    char *self = g_file_read_link("/proc/self/exe", NULL);
    char *tests = g_path_get_dirname(self);
    char *path = g_build_filename(tests, "..", "tealspar", NULL);
    g_free(tests);
    g_free(self);
    return path;
}

static int connect_caller(void)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(CALLERS_PORT)};
    inet_pton(AF_INET, host, &address.sin_addr);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static int start_node(void **state)
{
    char *program = program_path();
    folder = g_dir_make_tmp("tealspar-XXXXXX", NULL);
    char *settings = g_build_filename(folder, "node.yaml", NULL);
    g_snprintf(host, sizeof(host), "127.%d.%d.9", 1 + getpid() / 250 % 250, 1 + getpid() % 250);
    char *text = g_strdup_printf("name: n\ncluster: c\nzone: z\ncallers: %s:%d\noperators: "
                                 "%s:20101\npeers: %s:20201\nplatform: %s:20000\n",
                                 host, CALLERS_PORT, host, host, host);
    g_file_set_contents(settings, text, -1, NULL);
    signal(SIGPIPE, SIG_IGN);
    node = fork();
    if (node == 0) {
        (void)!freopen("/dev/null", "w", stderr);
        execl(program, program, "node", "--settings", settings, (char *)NULL);
        _exit(127);
    }
    for (int elapsed_ms = 0; elapsed_ms < TIMEOUT_MS; elapsed_ms += 20) {
        int fd = connect_caller();
        if (fd >= 0) {
            close(fd);
            break;
        }
        usleep(20000);
    }
    g_free(text);
    g_free(settings);
    g_free(program);
    return 0;
}

static int stop_node(void **state)
{
    int status = 0;
    kill(node, SIGTERM);
    waitpid(node, &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0 ? 0 : -1;
}

/* ---- requests ---- */

/* Reads until the reply contains `expected`, the node closes the connection, or nothing arrives for
   TIMEOUT_MS. */
static void read_reply(int fd, char *reply, const char *expected)
{
    size_t length = 0;
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    reply[0] = '\0';
    while (length < REPLY_SIZE - 1 && strstr(reply, expected) == NULL &&
           poll(&poll_fd, 1, TIMEOUT_MS) > 0) {
        ssize_t got = read(fd, reply + length, REPLY_SIZE - 1 - length);
        if (got <= 0) {
            break;
        }
        length += (size_t)got;
        reply[length] = '\0';
    }
}

static void expect(const char *request, size_t length, const char *expected)
{
    char reply[REPLY_SIZE];
    int fd = connect_caller();
    assert_true(fd >= 0);
    (void)!write(fd, request, length);
    read_reply(fd, reply, expected);
    if (strstr(reply, expected) == NULL) {
        fail_msg("wanted '%s', got '%s'", expected, reply);
    }
    close(fd);
}

static char *make_post(const char *path, const char *body)
{
    return g_strdup_printf("POST %s HTTP/1.1\r\nhost: x\r\ncontent-length: %zu\r\n\r\n%s", path,
                           strlen(body), body);
}

static void expect_post(const char *path, const char *body, const char *expected)
{
    char *request = make_post(path, body);
    expect(request, strlen(request), expected);
    g_free(request);
}

static void expect_alive(void)
{
    expect_post("/v1/query", "{\"kind\":\"k\",\"text\":\"t\"}", "\"error\":\"not_ready\"");
}

/* ---- tests ---- */

static void test_refusals_are_typed(void **state)
{
    expect_post("/v1/query", "{\"kind\":\"k\",\"text\":\"t\"}", "\"ran\":false");
    expect_post("/v1/query", "{\"kind\":\"k\",\"text\":\"t\"}", "retry-after: 1");
    expect_post("/v1/query", "{\"kind\":", "HTTP/1.1 400");
    expect_post("/v1/query", "{\"kind\":\"k\",\"text\":\"t\",\"x\":1}", "bad_request");
    expect_post("/v2/query", "{}", "HTTP/1.1 404");
    const char *get = "GET /v1/query HTTP/1.1\r\nhost: x\r\n\r\n";
    expect(get, strlen(get), "HTTP/1.1 405");
}

static void test_large_bodies_are_refused(void **state)
{
    char *body = g_strnfill(70000, 'a');
    expect_post("/v1/query", body, "HTTP/1.1 413");
    const char *huge = "POST /v1/query HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n";
    expect(huge, strlen(huge), "HTTP/1.1 413");
    g_free(body);
    expect_alive();
}

static void test_garbage_does_not_affect_other_callers(void **state)
{
    GRand *random = g_rand_new_with_seed(5);
    for (int i = 0; i < 200; i++) {
        char bytes[512];
        for (size_t j = 0; j < sizeof(bytes); j++) {
            bytes[j] = (char)g_rand_int_range(random, 0, 256);
        }
        int fd = connect_caller();
        assert_true(fd >= 0);
        if (i % 3 == 0) {
            static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
            (void)!write(fd, preface, sizeof(preface) - 1);
        }
        (void)!write(fd, bytes, sizeof(bytes));
        close(fd);
    }
    g_rand_free(random);
    expect_alive();
}

static void test_long_headers_are_refused(void **state)
{
    char *value = g_strnfill(300000, 'h');
    char *request =
        g_strdup_printf("POST /v1/query HTTP/1.1\r\nhost: x\r\nlong: %s\r\n\r\n", value);
    int fd = connect_caller();
    char reply[REPLY_SIZE];
    (void)!write(fd, request, strlen(request));
    read_reply(fd, reply, "never");
    assert_null(strstr(reply, "200"));
    close(fd);
    g_free(request);
    g_free(value);
    expect_alive();
}

static void test_slow_callers_do_not_block_others(void **state)
{
    int slow[SLOW_CALLERS];
    const char *begin =
        "POST /v1/query HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"kind\"";
    for (int i = 0; i < SLOW_CALLERS; i++) {
        slow[i] = connect_caller();
        assert_true(slow[i] >= 0);
        (void)!write(slow[i], begin, strlen(begin));
    }
    expect_alive();
    char reply[REPLY_SIZE];
    read_reply(slow[0], reply, "never"); /* the node closes it after its request timeout */
    assert_null(strstr(reply, "200"));
    for (int i = 0; i < SLOW_CALLERS; i++) {
        close(slow[i]);
    }
    expect_alive();
}

static void test_pipelined_requests_are_answered_in_order(void **state)
{
    char *first = make_post("/v1/query", "{\"id\":\"one\",\"kind\":\"k\",\"text\":\"t\"}");
    char *second = make_post("/v1/query", "{\"id\":\"two\",\"kind\":\"k\",\"text\":\"t\"}");
    char *both = g_strconcat(first, second, NULL);
    char reply[REPLY_SIZE];
    int fd = connect_caller();
    (void)!write(fd, both, strlen(both));
    read_reply(fd, reply, "\"two\"");
    const char *one = strstr(reply, "\"one\"");
    const char *two = strstr(reply, "\"two\"");
    assert_non_null(one);
    assert_non_null(two);
    assert_true(one < two);
    close(fd);
    g_free(both);
    g_free(second);
    g_free(first);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_refusals_are_typed),
        cmocka_unit_test(test_large_bodies_are_refused),
        cmocka_unit_test(test_garbage_does_not_affect_other_callers),
        cmocka_unit_test(test_long_headers_are_refused),
        cmocka_unit_test(test_slow_callers_do_not_block_others),
        cmocka_unit_test(test_pipelined_requests_are_answered_in_order),
    };
    return cmocka_run_group_tests(tests, start_node, stop_node);
}
