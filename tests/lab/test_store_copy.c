/** The fake configuration service: what is reported as lost when it is restored from a copy. */
#include "../test_support.h"

#include <glib.h>
#include <string.h>

#include "ports.h"
#include "standin_store.h"

static void collect_key(void *ctx, const char *key, const char *value)
{
    GString *keys = ctx;
    g_string_append_printf(keys, "%s=%s ", key, value == NULL ? "deleted" : value);
}

/* A write must be reported as lost also if the history was dropped after it: its writer would not
 * repeat it, and gateways would never learn of it. */
static void test_lost_writes_without_history(void **state)
{
    uv_loop_t loop;
    uv_loop_init(&loop);
    lab_store_t *store = lab_store_open(&loop, lab_next_port("127.0.0.1"));
    assert_non_null(store);
    lab_store_put(store, "before", "1");
    lab_store_take_copy(store);
    lab_store_put(store, "drained", "2");
    lab_store_delete(store, "before");
    lab_store_drop_history(store);
    GString *keys = g_string_new(NULL);
    lab_store_restore(store, collect_key, keys);
    assert_non_null(strstr(keys->str, "drained=2 "));
    assert_non_null(strstr(keys->str, "before=deleted "));
    g_string_truncate(keys, 0);
    lab_store_take_copy(store);
    lab_store_put(store, "later", "3");
    lab_store_restore(store, collect_key, keys);
    assert_string_equal(keys->str, "later=3 ");
    g_string_free(keys, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_writes_without_history),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
