/** Which parts of a request its digest covers. */
#include "../test_support.h"

#include <string.h>

#include "../platform/names.h"
#include "tealspar/outgoing.h"
#include "tealspar/plugin.h"

#define LINE "GET /p/x?page=2 HTTP/1.1\r\n"
#define HOST "Host: h.example\r\n"

/* Digest of a request as received from a caller. `tenant`: the caller's tenant; NULL: none. */
static ts_request_digest_t compute_digest(const char *text, const char *tenant)
{
    const ts_dialect_t *dialect = ts_plugin_find(TS_PLUGIN_DIALECT, "platform");
    ts_outgoing_options_t options = {&dialect->headers, tenant, tenant != NULL};
    ts_http_message_t message;
    ts_http_message_init(&message, true, 4096, 4096);
    (void)ts_http_message_feed(&message, text, strlen(text));
    assert_true(message.is_complete);
    ts_outgoing_t *outgoing = ts_outgoing_compose(&message, &options);
    ts_request_digest_t digest = *ts_outgoing_digest(outgoing);
    ts_outgoing_unref(outgoing);
    ts_http_message_clear(&message);
    return digest;
}

static bool has_same_digest(const char *a, const char *b)
{
    ts_request_digest_t first = compute_digest(a, NULL);
    ts_request_digest_t second = compute_digest(b, NULL);
    return ts_request_digest_is_equal(&first, &second);
}

static void test_repeats_of_a_request_have_the_same_digest(void **state)
{
    assert_true(has_same_digest(
        LINE HOST NAME_REQUEST_ID ": 1\r\n" NAME_DEADLINE_MS ": 900\r\n\r\n",
        LINE NAME_REQUEST_ID ": 2\r\nAccept: */*\r\n" HOST "Connection: close\r\n\r\n"));
}

static void test_different_requests_differ(void **state)
{
    const char *request = LINE HOST "\r\n";
    assert_false(has_same_digest(request, "HEAD /p/x?page=2 HTTP/1.1\r\n" HOST "\r\n"));
    assert_false(has_same_digest(request, "GET /p/x?page=3 HTTP/1.1\r\n" HOST "\r\n"));
    assert_false(has_same_digest(request, LINE "Host: g.example\r\n\r\n"));
    const char *post = "POST /p HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\n";
    char *first = g_strdup_printf("%sab", post);
    char *second = g_strdup_printf("%sac", post);
    assert_false(has_same_digest(first, second));
    g_free(first);
    g_free(second);
}

static void test_tenants_differ(void **state)
{
    ts_request_digest_t red = compute_digest(LINE HOST "\r\n", "red");
    ts_request_digest_t blue = compute_digest(LINE HOST "\r\n", "blue");
    ts_request_digest_t none = compute_digest(LINE HOST "\r\n", NULL);
    assert_false(ts_request_digest_is_equal(&red, &blue));
    assert_false(ts_request_digest_is_equal(&red, &none));
}

/* A caller must not be able to forge the tenant field, which is set by this node. */
static void test_tenant_field_from_caller_is_ignored(void **state)
{
    ts_request_digest_t plain = compute_digest(LINE HOST "\r\n", "red");
    ts_request_digest_t forged = compute_digest(LINE HOST NAME_TENANT ": blue\r\n\r\n", "red");
    assert_true(ts_request_digest_is_equal(&plain, &forged));
}

static void test_piece_boundaries_are_covered(void **state)
{
    ts_digest_piece_t left[] = {{"ab", 2}, {"c", 1}};
    ts_digest_piece_t right[] = {{"a", 1}, {"bc", 2}};
    ts_request_digest_t first = ts_request_digest(left, 2);
    ts_request_digest_t second = ts_request_digest(right, 2);
    assert_false(ts_request_digest_is_equal(&first, &second));
    char text[TS_REQUEST_DIGEST_TEXT];
    ts_request_digest_print(&first, text);
    assert_int_equal(strlen(text), 2 * TS_REQUEST_DIGEST_SIZE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_repeats_of_a_request_have_the_same_digest),
        cmocka_unit_test(test_different_requests_differ),
        cmocka_unit_test(test_tenants_differ),
        cmocka_unit_test(test_tenant_field_from_caller_is_ignored),
        cmocka_unit_test(test_piece_boundaries_are_covered),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
