/** Connections that were established while this process did not run. Timers fire before sockets are
 * read, and must not judge a connection whose result has not been read. */
#include "../test_support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tealspar/broken_sends.h"
#include "tealspar/plugin.h"
#include "tealspar/registry.h"
#include "tealspar/upstream.h"

/* Longer than the timeouts of connects and of the check whether a backend has ended. */
#define STALL_US (1500 * TS_US_PER_MS)
/* Real time after which the timers of both modules are due. */
#define TIMERS_DUE_US 60000
#define ROUNDS 20

static ts_time_us_t fake_now_us = 1000 * TS_US_PER_S;

static ts_time_us_t read_fake_now_us(void)
{
    return fake_now_us;
}

static int64_t read_fake_wall_ms(void)
{
    return 1790000000000LL;
}

typedef struct setting {
    uv_loop_t loop;
    int listener; /* the kernel accepts its connections */
    ts_registry_t *registry;
    ts_instance_t *instance;
    ts_outgoing_t *outgoing;
} setting_t;

static void set_up(setting_t *setting)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    ts_clock_set_source(read_fake_now_us, read_fake_wall_ms);
    uv_loop_init(&setting->loop);
    setting->listener = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(setting->listener, (struct sockaddr *)&address, length), 0);
    assert_int_equal(listen(setting->listener, 8), 0);
    assert_int_equal(getsockname(setting->listener, (struct sockaddr *)&address, &length), 0);
    setting->registry = ts_registry_create("z1", NULL);
    ts_instance_record_t record = {.id = g_strdup("i-1"),
                                   .born_ms = 1000,
                                   .service = g_strdup("s"),
                                   .address =
                                       g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port)),
                                   .zone = g_strdup("z1"),
                                   .slots = 4};
    (void)ts_registry_update(setting->registry, &record, fake_now_us);
    ts_instance_record_clear(&record);
    setting->instance = ts_registry_find_current(setting->registry, "i-1");
    setting->outgoing = g_new0(ts_outgoing_t, 1);
    setting->outgoing->references = 1;
    setting->outgoing->head = g_string_new("GET / HTTP/1.1\r\n");
    setting->outgoing->has_digest = true;
    setting->outgoing->deadline_us = fake_now_us + 10 * TS_US_PER_S;
}

/* Runs the loop as after a stall of `stall_us`: timers are due and sockets are ready. */
static void resume(setting_t *setting, ts_time_us_t stall_us)
{
    usleep(TIMERS_DUE_US);
    fake_now_us += stall_us;
    for (int i = 0; i < ROUNDS; i++)
        uv_run(&setting->loop, UV_RUN_NOWAIT);
}

static bool is_request_accused(ts_time_us_t stall_us)
{
    setting_t setting;
    set_up(&setting);
    ts_quarantine_t *quarantine = ts_quarantine_create();
    ts_broken_sends_t *broken = ts_broken_sends_create(&setting.loop, quarantine);
    ts_broken_send_t send = {.instance = setting.instance,
                             .outgoing = setting.outgoing,
                             .span_us = 1000,
                             .is_awaited = true,
                             .is_isolated = true};
    ts_broken_sends_add(broken, &send);
    resume(&setting, stall_us);
    close(setting.listener);
    return !ts_quarantine_is_empty(quarantine);
}

// A broken connection to a backend that lives does not accuse the request.
static void test_request_is_not_accused(void **state)
{
    assert_false(is_request_accused(0));
}

// A stall of this process must not accuse a request of having crashed a backend that lives. The
// timer of the check takes the backend for ended before the connection that proves the opposite is
// read.
static void test_stall_accuses_no_request(void **state)
{
    assert_false(is_request_accused(STALL_US));
}

static void record_error(ts_exchange_t *exchange, const ts_exchange_result_t *result, void *owner)
{
    *(ts_error_t *)owner = result->error;
}

static ts_error_t send_across_stall(ts_time_us_t stall_us, bool *is_avoided)
{
    setting_t setting;
    set_up(&setting);
    ts_error_t error = TS_OK;
    ts_send_terms_t terms = {0};
    ts_upstream_t *upstream =
        ts_upstream_create(&setting.loop, ts_plugin_find(TS_PLUGIN_DIALECT, "platform"));
    (void)ts_upstream_send(upstream, setting.instance, setting.outgoing, &terms, record_error,
                           &error);
    resume(&setting, stall_us);
    *is_avoided = setting.instance->avoid_until_us > fake_now_us;
    close(setting.listener);
    return error;
}

// A connection that is established in time is used.
static void test_connection_is_used(void **state)
{
    bool is_avoided = false;
    assert_int_equal(send_across_stall(0, &is_avoided), TS_OK);
    assert_false(is_avoided);
}

// A connection that was established while this process did not run must be used. The check of the
// connect timeout runs before the connection's event is read, fails the send, and the instance is
// avoided.
static void test_connection_established_during_stall_is_used(void **state)
{
    bool is_avoided = false;
    assert_int_equal(send_across_stall(STALL_US, &is_avoided), TS_OK);
    assert_false(is_avoided);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_request_is_not_accused),
        cmocka_unit_test(test_stall_accuses_no_request),
        cmocka_unit_test(test_connection_is_used),
        cmocka_unit_test(test_connection_established_during_stall_is_used),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
