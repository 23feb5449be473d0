/** Requests and answers as JSON. */
#include "../test_support.h"

#include <string.h>

#include "../../src/front/caller_json.h"
#include "tealspar/front.h"

static ts_error_t read_text(const char *text, ts_query_request_t *request)
{
    const char *detail = NULL;
    return ts_caller_json_read(text, strlen(text), request, &detail);
}

static void clear_request(ts_query_request_t *request)
{
    g_free(request->id);
    g_free(request->kind);
    g_free(request->text);
    g_free(request->key);
}

static void test_reads_all_keys(void **state)
{
    ts_query_request_t request;
    assert_int_equal(read_text("{\"id\":\"i\",\"kind\":\"k\",\"text\":\"t\",\"key\":\"y\","
                               "\"offset\":3,\"limit\":7,\"deadline_ms\":50,"
                               "\"unrepeatable\":true,\"repeat\":true,\"issued_at_ms\":99}",
                               &request),
                     TS_OK);
    assert_string_equal(request.id, "i");
    assert_int_equal(request.offset, 3);
    assert_int_equal(request.limit, 7);
    assert_int_equal(request.deadline_ms, 50);
    assert_true(request.unrepeatable);
    assert_true(request.repeat);
    assert_int_equal(request.issued_at_ms, 99);
    clear_request(&request);
}

static void test_refuses_bad_bodies(void **state)
{
    static const char *const bodies[] = {
        "",
        "{",
        "[]",
        "null",
        "{}",
        "{\"kind\":\"k\"}",
        "{\"text\":\"t\"}",
        "{\"kind\":1,\"text\":\"t\"}",
        "{\"kind\":\"\",\"text\":\"t\"}",
        "{\"kind\":\"k\",\"text\":\"t\",\"colour\":1}",
        "{\"kind\":\"k\",\"kind\":\"k\",\"text\":\"t\"}",
        "{\"kind\":\"k\",\"text\":\"t\",\"limit\":-1}",
        "{\"kind\":\"k\",\"text\":\"t\",\"limit\":100000}",
        "{\"kind\":\"k\",\"text\":\"t\",\"limit\":1.5}",
        "{\"kind\":\"k\",\"text\":\"t\",\"deadline_ms\":\"5\"}",
        "{\"kind\":\"k\",\"text\":\"a\\u0000b\"}",
        "{\"kind\":\"k\",\"text\":\"t\",\"unrepeatable\":true}",
        "{\"kind\":\"k\",\"text\":\"t\",\"repeat\":true}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        ts_query_request_t request;
        if (read_text(bodies[i], &request) != TS_E_BAD_REQUEST) {
            fail_msg("accepted: %s", bodies[i]);
        }
        assert_null(request.kind);
    }
}

static void test_refuses_deep_nesting(void **state)
{
    GString *text = g_string_new("{\"kind\":\"k\",\"text\":");
    for (int i = 0; i < 30000; i++) {
        g_string_append_c(text, '[');
    }
    ts_query_request_t request;
    assert_int_equal(read_text(text->str, &request), TS_E_BAD_REQUEST);
    g_string_free(text, TRUE);
}

static void test_writes_outcomes(void **state)
{
    ts_answer_t refused = {.id = "i", .outcome = TS_OUTCOME_REFUSED, .error = TS_E_OVERLOAD};
    char *text = ts_caller_json_write(&refused, NULL);
    assert_non_null(strstr(text, "\"outcome\":\"refused\""));
    assert_non_null(strstr(text, "\"ran\":false"));
    free(text);
    ts_answer_t unknown = {.id = "i", .outcome = TS_OUTCOME_UNKNOWN, .error = TS_E_DEADLINE};
    text = ts_caller_json_write(&unknown, NULL);
    assert_non_null(strstr(text, "\"outcome\":\"unknown\""));
    assert_null(strstr(text, "\"ran\""));
    free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_reads_all_keys),
        cmocka_unit_test(test_refuses_bad_bodies),
        cmocka_unit_test(test_refuses_deep_nesting),
        cmocka_unit_test(test_writes_outcomes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
