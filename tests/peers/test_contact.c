/** Detection, within seconds, that a node has lost contact with the majority of the fleet. */
#include "../test_support.h"

#include "tealspar/contact.h"

#define START_US (100 * TS_US_PER_S)
#define ZONES 4
#define NODES 12

static char *make_address(unsigned i)
{
    return g_strdup_printf("10.0.0.%u:1", i);
}

/* NODES nodes, assigned to ZONES zones in turn; the first one is this node. */
static ts_contact_t *open_contact(void)
{
    ts_contact_t *contact = ts_contact_create(7);
    ts_view_t *view = ts_view_create(NODES);
    for (unsigned i = 0; i < NODES; i++) {
        char name[8];
        char zone[8];
        g_snprintf(name, sizeof(name), "n%02u", i);
        g_snprintf(zone, sizeof(zone), "z%u", i % ZONES);
        char *address = make_address(i);
        ts_view_add(view, name, address, zone, 1, TS_MEMBER_LIVE, i == 0);
        g_free(address);
    }
    ts_contact_set_view(contact, view);
    ts_view_unref(view);
    return contact;
}

static void note_acks_from_zones(ts_contact_t *contact, unsigned zones, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < zones; i++) {
        char *address = make_address(ZONES + i);
        ts_contact_note_ack(contact, address, now_us);
        g_free(address);
    }
}

static void test_majority_counts_members_of_reachable_zones(void **state)
{
    ts_contact_t *contact = open_contact();
    assert_false(ts_contact_has_majority(contact, START_US));
    note_acks_from_zones(contact, 2, START_US); // two others of its own zone and three of
                                                // another one: six including itself, no majority
    assert_false(ts_contact_has_majority(contact, START_US));
    note_acks_from_zones(contact, 3, START_US);
    assert_true(ts_contact_has_majority(contact, START_US));
    assert_true(ts_contact_has_majority(contact, START_US + 1900 * TS_US_PER_MS));
    assert_false(ts_contact_has_majority(contact, START_US + 2 * TS_US_PER_S));
    ts_contact_free(contact);
}

static void test_single_node_has_majority(void **state)
{
    ts_contact_t *contact = ts_contact_create(7);
    assert_true(ts_contact_has_majority(contact, START_US));
    assert_null(ts_contact_next_probe(contact, START_US));
    ts_contact_free(contact);
}

static unsigned count_probes(ts_contact_t *contact, ts_time_us_t now_us)
{
    unsigned probes = 0;
    while (ts_contact_next_probe(contact, now_us) != NULL)
        probes++;
    return probes;
}

/* Only silent zones are probed, one node in each, and a different node if the probe is not
 * acknowledged. */
static void test_silent_zones_are_probed(void **state)
{
    ts_contact_t *contact = open_contact();
    note_acks_from_zones(contact, 3, START_US);
    char *first = g_strdup(ts_contact_next_probe(contact, START_US));
    assert_non_null(first); // in the zone that never acknowledged
    assert_int_equal(count_probes(contact, START_US), 0);
    assert_int_equal(count_probes(contact, START_US + 300 * TS_US_PER_MS), 0);
    const char *second = ts_contact_next_probe(contact, START_US + 500 * TS_US_PER_MS);
    assert_string_not_equal(first, second);
    assert_int_equal(count_probes(contact, START_US + 1000 * TS_US_PER_MS), ZONES);
    g_free(first);
    ts_contact_free(contact);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_majority_counts_members_of_reachable_zones),
        cmocka_unit_test(test_single_node_has_majority),
        cmocka_unit_test(test_silent_zones_are_probed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
