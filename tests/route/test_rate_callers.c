/**
 * What callers of an account get that stay below its limit while the fleet is in trouble: requests
 * come as from many callers, 0.6 or 0.8 of the rate in all, and next to none is to be refused by
 * nodes that hear each other. Each test brings one cause of refusals about.
 */
#include "rate_fleet.h"

#define NODES 60
#define RATE 10
#define USE 0.6      /* of the rate */
#define NEAR_USE 0.8 /* of it too */
#define SEEDS 8

/* A part of the rate comes at so many nodes, evenly; nodes of one zone (or ZONES: of all). */
static void enter_at(fleet_t *fleet, double use, unsigned loaded, unsigned zone, unsigned first)
{
    for (unsigned i = 0; i < NODES; i++)
        fleet->nodes[i].load = 0;
    for (unsigned i = first, left = loaded; left > 0; i = (i + 7) % NODES) {
        if (zone != ZONES && i % ZONES != zone)
            continue;
        fleet->nodes[i].load += use * RATE / loaded;
        left--;
    }
}

static fleet_t *open_used_fleet(unsigned seed, unsigned loaded, unsigned zone)
{
    fleet_t *fleet = open_fleet(NODES, RATE, RATE);
    g_rand_set_seed(fleet->random, seed);
    fleet->is_random = true;
    enter_at(fleet, USE, loaded, zone, 0);
    return fleet;
}

static ts_time_us_t in_s(const fleet_t *fleet, double span_s)
{
    return fleet->now_us + (ts_time_us_t)(span_s * TS_US_PER_S);
}

/* Adds what became of requests since the last call. */
static void add_totals(fleet_t *fleet, totals_t *totals)
{
    totals_t more = take_totals(fleet);
    totals->taken += more.taken;
    totals->refused += more.refused;
    totals->unknown += more.unknown;
}

static void assert_served(const char *what, const totals_t *totals, double least)
{
    double all = totals->taken + totals->refused + totals->unknown;
    if (totals->taken < least * all)
        fail_msg("%s: %u served, %u refused, %u not known", what, totals->taken, totals->refused,
                 totals->unknown);
}

/*
 * A home finds itself out of contact with most of the fleet, while nodes still hear and ask it. It
 * answered out of its own lease then, which has no right, and so took back the rights that it had
 * given as home: nodes that had spent 5 a second by themselves could spend nothing.
 */
static void test_home_that_stops_leaves_rights(void **state)
{
    totals_t totals = {0};
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        fleet_t *fleet = open_used_fleet(seed, 6, ZONES);
        begin_beliefs(fleet);
        believe_out(fleet, fleet->homes[0], in_s(fleet, 10), in_s(fleet, 16));
        sort_changes(fleet);
        run(fleet, 10);
        (void)take_totals(fleet);
        run(fleet, 6);
        add_totals(fleet, &totals);
        close_fleet(fleet);
    }
    assert_served("by rights", &totals, 0.8); // each by itself, from requests that come unevenly
}

/*
 * A home is back from a cut. It dealt what had come in while it was out of contact, all of which
 * the home in its place had dealt: 104 tokens in two seconds of a rate of 20.
 */
static void test_home_that_is_back_begins_anew(void **state)
{
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        fleet_t *fleet = open_used_fleet(seed, 12, ZONES);
        unsigned home = fleet->homes[0];
        begin_beliefs(fleet);
        for (unsigned i = 0; i < NODES; i++) {
            if (i == home)
                continue;
            believe_gone(fleet, i, home, in_s(fleet, 11.5), in_s(fleet, 20.5));
            believe_gone(fleet, home, i, in_s(fleet, 12 + i % 7), in_s(fleet, 20.5));
        }
        believe_out(fleet, home, in_s(fleet, 12), in_s(fleet, 20.2));
        sort_changes(fleet);
        run(fleet, 10);
        fleet->nodes[home].side = 1;
        run(fleet, 7);
        for (unsigned i = 0; i < NODES; i++)
            fleet->nodes[i].load *= 12;
        run(fleet, 3);
        fleet->nodes[home].side = 0;
        run(fleet, 8);
        assert_within_bound(fleet);
        close_fleet(fleet);
    }
}

/*
 * Callers change the nodes at which they enter. What a node had of the rate to spend by itself
 * counted as held, and was debited as spent, for twelve seconds after it had been taken back: it
 * asked no more, and so told nobody. Seen as a debt of up to two seconds of the rate, and 429 for
 * tenants at half of their limit, eight seconds after the last trouble.
 */
static void test_callers_change_nodes(void **state)
{
    totals_t totals = {0};
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        fleet_t *fleet = open_used_fleet(seed, 3, ZONES);
        run(fleet, 5);
        (void)take_totals(fleet);
        for (unsigned times = 1; times < 20; times++) {
            enter_at(fleet, NEAR_USE, 3, ZONES, times * 11 % NODES);
            run(fleet, 1.5);
        }
        add_totals(fleet, &totals);
        assert_within_bound(fleet);
        close_fleet(fleet);
    }
    assert_served("moving callers", &totals, 0.99);
}

/*
 * The deputy of a zone becomes home, as the one before is lost. It went on counting the nodes of
 * its zone as debtors that it hears no more, beside what they ask it for as home, and debited their
 * rights as spent alone: 0 of 6 requests served after four seconds (test_quotas).
 */
static void test_deputy_becomes_home(void **state)
{
    totals_t totals = {0};
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        fleet_t *fleet = open_fleet(NODES, RATE, RATE);
        fleet->nodes[fleet->homes[0]].is_down = true;
        notice(fleet);
        unsigned next = fleet->homes[0];
        close_fleet(fleet);
        fleet = open_used_fleet(seed, 3, next % ZONES);
        run(fleet, 10);
        fleet->nodes[fleet->homes[0]].is_down = true;
        run_until_noticed(fleet);
        run(fleet, 2);
        (void)take_totals(fleet);
        run(fleet, 8);
        add_totals(fleet, &totals);
        assert_within_bound(fleet);
        close_fleet(fleet);
    }
    assert_served("a deputy's zone", &totals, 0.99);
}

/*
 * Nodes suspect the home for a moment, some of them now and some then, and ask the next one
 * meanwhile. Who they had asked before took them for cut off, and withheld or debited their rights
 * for up to twelve seconds.
 */
static void test_suspicions_come_and_go(void **state)
{
    totals_t totals = {0};
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        fleet_t *fleet = open_used_fleet(seed, 12, ZONES);
        begin_beliefs(fleet);
        for (unsigned i = 0; i < NODES; i++) {
            double at_s = g_rand_double_range(fleet->random, 10, 20);
            double span_s = g_rand_double_range(fleet->random, 0.3, 2);
            if (i != fleet->homes[0])
                believe_gone(fleet, i, fleet->homes[0], in_s(fleet, at_s),
                             in_s(fleet, at_s + span_s));
        }
        sort_changes(fleet);
        run(fleet, 10);
        (void)take_totals(fleet);
        run(fleet, 22);
        add_totals(fleet, &totals);
        assert_within_bound(fleet);
        close_fleet(fleet);
    }
    assert_served("suspicions", &totals, 0.97);
}

/* Plays a cut of the home from all others, who go on asking it; how late what they sent arrives. */
static void play_late_asks(unsigned seed, double late_s, totals_t *totals)
{
    fleet_t *fleet = open_used_fleet(seed, 12, ZONES);
    unsigned home = fleet->homes[0];
    begin_beliefs(fleet);
    believe_out(fleet, home, in_s(fleet, 12), in_s(fleet, 18));
    sort_changes(fleet);
    run(fleet, 10);
    fleet->holds_messages = true;
    fleet->nodes[home].side = 1;
    run(fleet, 8.004);
    fleet->nodes[home].side = 0;
    run(fleet, late_s);
    release_messages(fleet);
    run(fleet, 1);
    (void)take_totals(fleet);
    run(fleet, 8);
    add_totals(fleet, totals);
    assert_within_bound(fleet);
    close_fleet(fleet);
}

/*
 * Asks that were sent during a cut lie on the way and come all at once at its end, before those
 * that are sent then or after them. The totals that they tell, one after the other, were debited as
 * if just spent, to an account that had begun with what has come in since (13 tokens within a
 * millisecond); and after newer ones, as those of a node that had begun anew.
 */
static void test_asks_that_come_late(void **state)
{
    totals_t totals = {0};
    for (unsigned seed = 0; seed < SEEDS; seed++)
        play_late_asks(seed, 0, &totals);
    assert_served("late asks first", &totals, 0.97);
    totals = (totals_t){0};
    for (unsigned seed = 0; seed < SEEDS; seed++)
        play_late_asks(seed, 0.1, &totals);
    assert_served("late asks last", &totals, 0.97);
}

/*
 * A home is silent for three seconds, and another one takes its place a moment before six requests
 * come that burst and rate allow. What the node had saved up alone was lost when it lent its right
 * to the new home, whose bucket was empty: 0 to 3 of 6 requests served (test_silent_home, beside
 * load: "tokens 0.00 age 0.00" at the first deal).
 */
static void test_new_home_gets_what_was_saved(void **state)
{
    fleet_t *fleet = open_fleet(4, 20, 10);
    fleet->terms.tolerance = 0;
    unsigned home = fleet->homes[0];
    node_t *other = &fleet->nodes[(home + 1) % 4];
    begin_beliefs(fleet);
    for (unsigned i = 0; i < 4; i++)
        if (i != home)
            believe_gone(fleet, i, home, in_s(fleet, 4), in_s(fleet, 60));
    sort_changes(fleet);
    other->load = 8;
    run(fleet, 1);
    other->load = 0;
    fleet->nodes[home].side = 1;
    run(fleet, 3.05);
    (void)take_totals(fleet);
    other->due = 6;
    run(fleet, 0.2);
    assert_int_equal(take_totals(fleet).taken, 6);
    close_fleet(fleet);
}

/* The node that is home for all that don't believe the first one to be live. */
static unsigned next_home(const fleet_t *fleet)
{
    unsigned best = fleet->n;
    for (unsigned i = 0; i < fleet->n; i++) {
        bool is_higher = best == fleet->n || fleet->nodes[i].id > fleet->nodes[best].id;
        if (i != fleet->homes[0] && is_higher)
            best = i;
    }
    return best;
}

/*
 * The same, while the node that is asked as the new home still takes the silent one for home, and
 * asks it in its turn. What the asking node had saved up was given away with its ask, and it had
 * nothing left when no answer came (test_silent_home beside load: 1 to 4 of 6 served, "saved 9.00"
 * in the ask, 503 after 75 ms).
 */
static void test_saved_tokens_last_until_a_dealer_answers(void **state)
{
    fleet_t *fleet = open_fleet(4, 20, 10);
    fleet->terms.tolerance = 0;
    unsigned home = fleet->homes[0];
    unsigned next = next_home(fleet);
    unsigned asking = 0;
    while (asking == home || asking == next)
        asking++;
    node_t *other = &fleet->nodes[asking];
    begin_beliefs(fleet);
    for (unsigned i = 0; i < 4; i++)
        if (i != home)
            believe_gone(fleet, i, home, in_s(fleet, i == next ? 5 : 4), in_s(fleet, 60));
    sort_changes(fleet);
    other->load = 8;
    run(fleet, 1);
    other->load = 0;
    fleet->nodes[home].side = 1;
    run(fleet, 3.05);
    (void)take_totals(fleet);
    other->due = 6;
    run(fleet, 0.04); // before a dealer counts as silent
    totals_t totals = take_totals(fleet);
    if (totals.taken < 6)
        print_error("%u taken, %u refused, %u unknown\n", totals.taken, totals.refused,
                    totals.unknown);
    assert_int_equal(totals.taken, 6);
    close_fleet(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_home_that_stops_leaves_rights),
        cmocka_unit_test(test_home_that_is_back_begins_anew),
        cmocka_unit_test(test_callers_change_nodes),
        cmocka_unit_test(test_deputy_becomes_home),
        cmocka_unit_test(test_suspicions_come_and_go),
        cmocka_unit_test(test_asks_that_come_late),
        cmocka_unit_test(test_new_home_gets_what_was_saved),
        cmocka_unit_test(test_saved_tokens_last_until_a_dealer_answers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
