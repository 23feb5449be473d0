/** Unrepeatable requests that a suspended member sends after an owner has ended by plan. */
#include "../test_support.h"
#include "suspension.h"

// Requests that leave the member after the owner has ended must not be "unknown": they were sent to
// nobody. The loss of the connection failed them as if the owner might have executed them.
static void test_requests_queued_until_owner_has_ended_are_not_unknown(void **state)
{
    suspension_check_within_deadline(SUBMITTED_ONLY, 5000);
}

// As test_requests_queued_until_owner_has_ended_are_not_unknown, with requests that the member
// accepts when it goes on, before it reads that the owner was leaving.
static void test_requests_sent_after_owner_has_ended_are_not_unknown(void **state)
{
    suspension_check_within_deadline(SUBMITTED_AFTER, 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_requests_queued_until_owner_has_ended_are_not_unknown),
        cmocka_unit_test(test_requests_sent_after_owner_has_ended_are_not_unknown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
