/** The queue limit of a back end for requests that run before others in the queue. */
#include "../test_support.h"

#include "tealspar/admission.h"

/* A hundred jobs of lower priority are queued, and none at this priority or above. */
static ts_admission_input_t make_input(ts_time_us_t left_us)
{
    ts_admission_input_t input = {.slots = 5,
                                  .slots_in_use = 5,
                                  .kind_share_percent = 100,
                                  .queue_min = 40,
                                  .queue_max = 320,
                                  .queue_length = 100,
                                  .queue_ahead = 0,
                                  .service_us = 2000,
                                  .left_us = left_us};
    return input;
}

// A request that runs next must not meet a full queue because of jobs that run after it. The time
// left is compared with the whole queue, and a job of lower priority is displaced that would have
// been answered.
static void test_jobs_of_lower_priority_take_no_time(void **state)
{
    ts_error_t error = TS_OK;
    ts_admission_input_t input = make_input(30000);
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_QUEUE);
}

// A request that cannot finish must be refused for that reason. As queue_full it displaces a job of
// lower priority, and is queued without the check.
static void test_request_that_cannot_finish_displaces_nothing(void **state)
{
    ts_error_t error = TS_OK;
    ts_admission_input_t input = make_input(1000);
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_REFUSE);
    assert_int_equal(error, TS_E_CANNOT_FINISH);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_jobs_of_lower_priority_take_no_time),
        cmocka_unit_test(test_request_that_cannot_finish_displaces_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
