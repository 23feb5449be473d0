/** Forecast of room and answers, compared with a model that runs the backlog to its end. */
#include "../test_support.h"

#include <math.h>

#include "tealspar/forecast.h"
#include "tealspar/work_estimate.h"

#define MS 1000.0
#define NOW_US (100 * TS_US_PER_S)
#define INSTANCES_MAX 4U
#define ROUNDS 2000

static ts_service_t *add_instances(ts_registry_t *registry, unsigned count, uint32_t slots)
{
    for (unsigned i = 0; i < count; i++) {
        ts_instance_record_t record = {g_strdup_printf("i-%u", i),
                                       0,
                                       g_strdup("s"),
                                       g_strdup("127.0.0.1:80"),
                                       g_strdup("z1"),
                                       slots,
                                       false,
                                       0,
                                       0};
        ts_registry_update(registry, &record, 1);
        ts_instance_record_clear(&record);
    }
    return ts_registry_ensure_service(registry, "s");
}

static ts_replica_input_t make_input(double work_us, uint32_t connections_max)
{
    return (ts_replica_input_t){.work_us = work_us,
                                .now_us = NOW_US,
                                .drain_us = TS_US_PER_S,
                                .connections_max = connections_max,
                                .nodes = 1000,
                                .random = 1};
}

/* A backlog: at each instance `limit` requests run or are queued, others wait at the gateway. */
typedef struct backlog {
    unsigned instances;
    unsigned slots;
    unsigned limit;
    unsigned ahead;
    double work_us;
    double left_us[INSTANCES_MAX]; /* of the request that ends next, at each instance */
} backlog_t;

static backlog_t draw_backlog(GRand *random)
{
    backlog_t backlog = {.instances = (unsigned)g_rand_int_range(random, 1, INSTANCES_MAX + 1),
                         .slots = (unsigned)g_rand_int_range(random, 1, 6),
                         .ahead = (unsigned)g_rand_int_range(random, 0, 30),
                         .work_us = g_rand_double_range(random, 5, 400) * MS};
    backlog.limit = backlog.slots + (unsigned)g_rand_int_range(random, 0, 6);
    for (unsigned i = 0; i < backlog.instances; i++)
        backlog.left_us[i] = g_rand_double_range(random, 0, 1) * backlog.work_us / backlog.slots;
    return backlog;
}

static void apply_backlog(ts_service_t *service, const backlog_t *backlog)
{
    for (unsigned i = 0; i < backlog->instances; i++) {
        ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        double interval_us = backlog->work_us / backlog->slots;
        instance->in_flight = backlog->limit;
        instance->progress_us = NOW_US - (ts_time_us_t)(interval_us - backlog->left_us[i]);
    }
}

/* Runs the backlog: the request begins when a place is free after all that are ahead of it. Returns
 * the time until then; requests of an instance end at even intervals. */
static double run_backlog(const backlog_t *backlog)
{
    double next_us[INSTANCES_MAX];
    double interval_us = backlog->work_us / backlog->slots;
    for (unsigned i = 0; i < backlog->instances; i++)
        next_us[i] = backlog->left_us[i];
    double begin_us = 0;
    for (unsigned taken = 0; taken <= backlog->ahead; taken++) {
        unsigned first = 0;
        for (unsigned i = 1; i < backlog->instances; i++) {
            if (next_us[i] < next_us[first])
                first = i;
        }
        begin_us = next_us[first];
        next_us[first] += interval_us;
    }
    return begin_us;
}

/* Difference in microseconds between the forecast for a backlog and the model. */
static double forecast_error_us(const backlog_t *backlog)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_service_t *service = add_instances(registry, backlog->instances, backlog->slots);
    apply_backlog(service, backlog);
    ts_replica_input_t input = make_input(backlog->work_us, backlog->limit);
    ts_forecast_t forecast = ts_forecast_request(service, &input, backlog->ahead);
    ts_registry_destroy(registry);
    return fabs(forecast.begin_in_us - run_backlog(backlog));
}

/* The forecast is off by less than the time in which each instance ends one request. */
static void test_forecast_agrees_with_model(void **state)
{
    GRand *random = g_rand_new_with_seed(69);
    for (unsigned round = 0; round < ROUNDS; round++) {
        backlog_t backlog = draw_backlog(random);
        assert_true(forecast_error_us(&backlog) <= backlog.work_us / backlog.slots + 1);
    }
    g_rand_free(random);
}

/* With one instance the forecast is exact: nothing is refused that can be served in time, and
 * nothing is taken that cannot. */
static void test_forecast_for_one_instance_is_exact(void **state)
{
    GRand *random = g_rand_new_with_seed(70);
    for (unsigned round = 0; round < ROUNDS; round++) {
        backlog_t backlog = draw_backlog(random);
        backlog.instances = 1;
        assert_true(forecast_error_us(&backlog) < 2);
    }
    g_rand_free(random);
}

static void test_more_ahead_is_never_earlier(void **state)
{
    GRand *random = g_rand_new_with_seed(71);
    for (unsigned round = 0; round < ROUNDS; round++) {
        backlog_t backlog = draw_backlog(random);
        ts_registry_t *registry = ts_registry_create("z1", NULL);
        ts_service_t *service = add_instances(registry, backlog.instances, backlog.slots);
        apply_backlog(service, &backlog);
        ts_replica_input_t input = make_input(backlog.work_us, backlog.limit);
        double previous_us = 0;
        for (unsigned ahead = 0; ahead < 20; ahead++) {
            double begin_us = ts_forecast_request(service, &input, ahead).begin_in_us;
            assert_true(begin_us >= previous_us);
            previous_us = begin_us;
        }
        ts_registry_destroy(registry);
    }
    g_rand_free(random);
}

/* The longer a full instance has been silent, the later room is expected there. */
static void test_silent_instance_is_expected_later(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_service_t *service = add_instances(registry, 1, 1);
    ts_instance_t *instance = g_ptr_array_index(service->instances, 0);
    ts_replica_input_t input = make_input(20 * MS, 1);
    double previous_us = 0;
    instance->in_flight = 1;
    for (unsigned silent_ms = 20; silent_ms < 2000; silent_ms += 20) {
        instance->progress_us = NOW_US - silent_ms * TS_US_PER_MS;
        double begin_us = ts_forecast_request(service, &input, 0).begin_in_us;
        assert_true(begin_us >= previous_us);
        previous_us = begin_us;
    }
    assert_true(previous_us > 1900 * MS);
    ts_registry_destroy(registry);
}

static void test_unknown_work_is_not_refused(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_service_t *service = add_instances(registry, 1, 1);
    ts_instance_t *instance = g_ptr_array_index(service->instances, 0);
    ts_replica_input_t input = make_input(0, 1);
    instance->in_flight = 1;
    instance->progress_us = NOW_US - TS_US_PER_S;
    assert_true(ts_forecast_request(service, &input, 5).begin_in_us <= 0);
    ts_registry_destroy(registry);
}

static void test_no_room_without_instances(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_service_t *service = ts_registry_ensure_service(registry, "s");
    ts_replica_input_t input = make_input(20 * MS, 1);
    assert_true(isinf(ts_forecast_request(service, &input, 0).answer_in_us));
    ts_registry_destroy(registry);
}

/* An instance that is avoided after a refusal is used again when that ends. */
static void test_avoided_instance_has_room_later(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_service_t *service = add_instances(registry, 1, 4);
    ts_instance_t *instance = g_ptr_array_index(service->instances, 0);
    ts_replica_input_t input = make_input(20 * MS, 4);
    instance->avoid_until_us = NOW_US + 60 * TS_US_PER_MS;
    double begin_us = ts_forecast_request(service, &input, 0).begin_in_us;
    assert_true(fabs(begin_us - 60 * MS) < 1);
    ts_registry_destroy(registry);
}

static void test_old_times_are_forgotten(void **state)
{
    ts_work_estimate_t estimate = {0};
    assert_true(ts_work_estimate_quantile_us(&estimate, 0.5) <= 0);
    ts_work_estimate_add(&estimate, 400 * MS);
    assert_true(fabs(ts_work_estimate_quantile_us(&estimate, 0.5) - 400 * MS) < 1);
    for (unsigned i = 0; i < TS_WORK_SAMPLES / 2 + 1; i++)
        ts_work_estimate_add(&estimate, 20 * MS);
    assert_true(ts_work_estimate_quantile_us(&estimate, 0.5) < 21 * MS);
    assert_true(ts_work_estimate_quantile_us(&estimate, 1) > 399 * MS);
    for (unsigned i = 0; i < TS_WORK_SAMPLES; i++)
        ts_work_estimate_add(&estimate, 20 * MS);
    assert_true(ts_work_estimate_quantile_us(&estimate, 1) < 21 * MS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_forecast_agrees_with_model),
        cmocka_unit_test(test_forecast_for_one_instance_is_exact),
        cmocka_unit_test(test_more_ahead_is_never_earlier),
        cmocka_unit_test(test_silent_instance_is_expected_later),
        cmocka_unit_test(test_unknown_work_is_not_refused),
        cmocka_unit_test(test_no_room_without_instances),
        cmocka_unit_test(test_avoided_instance_has_room_later),
        cmocka_unit_test(test_old_times_are_forgotten),
    };
    return cmocka_run_group_tests_name("forecast", tests, NULL, NULL);
}
