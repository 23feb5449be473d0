/** The tenant table: lookup by key and validation. */
#include "../test_support.h"

#include <math.h>
#include <string.h>

#include "tealspar/tenants.h"

#define SECRET "k3y-that-must-not-be-shown"

/* Finishes the table and returns the formatted problems (g_free). */
static char *finish(ts_tenants_t *tenants, ts_error_t expected)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    assert_int_equal(ts_tenants_finish(tenants, &problems), expected);
    char *text = ts_problems_format(&problems, "config");
    ts_problems_clear(&problems);
    return text;
}

static const ts_tenant_t *find_by_key(const ts_tenants_t *tenants, const char *key)
{
    ts_key_digest_t digest = ts_key_digest(key, strlen(key));
    return ts_tenants_find_by_key(tenants, &digest);
}

static void test_finds_tenant_by_key(void **state)
{
    ts_tenants_t *tenants = ts_tenants_create();
    ts_tenants_add(tenants, "one");
    ts_tenants_add_key(tenants, "a");
    ts_tenants_add_key(tenants, "b");
    ts_tenants_add_key(tenants, "b"); // a duplicate key of the same tenant is allowed
    ts_tenants_add(tenants, "two")->priority = 2;
    ts_tenants_add_key(tenants, "c");
    ts_tenants_add(tenants, "keyless");
    g_free(finish(tenants, TS_OK));
    assert_int_equal(ts_tenants_count(tenants), 3);
    assert_string_equal(find_by_key(tenants, "a")->name, "one");
    assert_string_equal(find_by_key(tenants, "b")->name, "one");
    assert_int_equal(find_by_key(tenants, "c")->priority, 2);
    assert_null(find_by_key(tenants, "d"));
    assert_null(find_by_key(tenants, ""));
    assert_null(find_by_key(tenants, "A"));
    assert_non_null(ts_tenants_find(tenants, "keyless"));
    assert_null(ts_tenants_find(tenants, "three"));
    ts_tenants_free(tenants);
}

static void test_digest_is_sha256(void **state)
{
    // The test vector for "abc" of FIPS 180-4.
    static const uint8_t expected[] = {0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea};
    ts_key_digest_t digest = ts_key_digest("abc", 3);
    assert_memory_equal(digest.bytes, expected, sizeof(expected));
}

/* Adds an invalid second tenant and checks the reported path, and that no key is disclosed. */
static void check_refused(const char *name, const char *key, double rate, double burst,
                          const char *path)
{
    ts_tenants_t *tenants = ts_tenants_create();
    ts_tenants_add(tenants, "one");
    ts_tenants_add_key(tenants, SECRET);
    ts_tenant_t *second = ts_tenants_add(tenants, name);
    second->rate = rate;
    second->burst = burst;
    ts_tenants_add_key(tenants, key);
    char *text = finish(tenants, TS_E_INVALID);
    assert_non_null(strstr(text, path));
    assert_null(strstr(text, SECRET));
    g_free(text);
    ts_tenants_free(tenants);
}

static void test_rejects_invalid_tenants(void **state)
{
    check_refused("one", "x", 0, 0, "tenants[1]");
    check_refused(NULL, "x", 0, 0, "tenants[1]");
    check_refused("", "x", 0, 0, "tenants[1]");
    check_refused("a b", "x", 0, 0, "tenants[1]");
    check_refused("a\r\nX: y", "x", 0, 0, "tenants[1]");
    check_refused("two", SECRET, 0, 0, "tenants[1].keys");
    check_refused("two", "", 0, 0, "tenants[1].keys");
    check_refused("two", NULL, 0, 0, "tenants[1].keys");
    check_refused("two", "x", -1, 0, "tenants[1]");
    check_refused("two", "x", 1, -1, "tenants[1]");
    check_refused("two", "x", NAN, 0, "tenants[1]");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_finds_tenant_by_key),
        cmocka_unit_test(test_digest_is_sha256),
        cmocka_unit_test(test_rejects_invalid_tenants),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
