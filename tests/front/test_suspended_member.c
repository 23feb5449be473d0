/** Unrepeatable requests of a member that is suspended around the planned stop of an owner. */
#include "../test_support.h"
#include "suspension.h"

// A member that is suspended for up to two seconds does not hear of the stop. Its requests reach an
// owner that still serves (1.5 s) or refuses them as not executed, while the second barrier waits
// for the member (another second).
static void test_member_suspended_until_owner_waits_has_no_unknown_outcome(void **state)
{
    static const unsigned spans_ms[] = {1200, 2000};
    for (unsigned i = 0; i < G_N_ELEMENTS(spans_ms); i++) {
        suspension_check_within_deadline(SUBMITTED_AND_SENT, spans_ms[i]);
        suspension_check_within_deadline(SUBMITTED_ONLY, spans_ms[i]);
        suspension_check_within_deadline(SUBMITTED_AFTER, spans_ms[i]);
    }
}

// The replies of an owner that has ended meanwhile must be used.
static void test_replies_of_ended_owner_are_used(void **state)
{
    suspension_check_within_deadline(SUBMITTED_AND_SENT, 5000);
}

// Replies that have arrived before the deadline must be used, although the member reads them after.
static void test_replies_unread_at_deadline_are_used(void **state)
{
    assert_int_equal(suspension_check(SUBMITTED_AND_SENT, 2100), SUSPENSION_REQUESTS);
}

// A request that has not left the member when its deadline passes must be refused. Its timer fires
// first and reports "unknown"; the mesh drops it then, and a local broker refuses it.
static void test_requests_not_sent_before_deadline_are_not_unknown(void **state)
{
    suspension_check(SUBMITTED_ONLY, 2100);
}

// As test_replies_of_ended_owner_are_used. The replies come on the owner's connection, and the loss
// is that of the member's own: either may be read first.
static void test_replies_read_after_loss_of_owner_are_used(void **state)
{
    suspension_check_within_deadline(SUBMITTED_AND_SENT_LOSS_FIRST, 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_member_suspended_until_owner_waits_has_no_unknown_outcome),
        cmocka_unit_test(test_replies_of_ended_owner_are_used),
        cmocka_unit_test(test_replies_unread_at_deadline_are_used),
        cmocka_unit_test(test_requests_not_sent_before_deadline_are_not_unknown),
        cmocka_unit_test(test_replies_read_after_loss_of_owner_are_used),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
