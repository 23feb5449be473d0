/**
 * Decisions of the gateway that need no sockets: quantiles, weighted split, caller timeouts, top
 * records, replica selection, warm-up limits and connection shares.
 */
#include "../test_support.h"

#include <math.h>
#include <string.h>

#include "tealspar/connection_share.h"
#include "tealspar/log.h"
#include "tealspar/quantile.h"
#include "tealspar/records.h"
#include "tealspar/replica.h"
#include "tealspar/route_state.h"

#define MS TS_US_PER_MS

static void test_quantile_converges(void **state)
{
    ts_quantile_t quantile;
    GRand *random = g_rand_new_with_seed(3);
    ts_quantile_init(&quantile, 0.9, 50000);
    for (int i = 0; i < 4000; i++) {
        ts_quantile_add(&quantile, g_rand_double_range(random, 10000, 20000));
    }
    assert_true(quantile.value_us > 18000 && quantile.value_us < 20500);
    g_rand_free(random);
}

/*
 * With three of ten instances eight times slower, the slowest tenth of the response times is
 * theirs. The overdue time must not follow them, or hardly any request to a slow instance would
 * become overdue.
 */
static void test_overdue_time_with_slow_instances(void **state)
{
    ts_route_state_t *route_state = ts_route_state_create(250);
    GRand *random = g_rand_new_with_seed(8);
    for (int i = 0; i < 2000; i++) {
        double factor = g_rand_int_range(random, 0, 10) < 3 ? 8 : 1;
        ts_route_state_add_response_time(route_state,
                                         factor * g_rand_double_range(random, 20000, 30000));
    }
    assert_true(ts_route_state_overdue_us(route_state) < 80000);
    assert_true(ts_route_state_overdue_us(route_state) > 30000);
    ts_route_state_free(route_state);
    g_rand_free(random);
}

static void test_split_follows_weights(void **state)
{
    ts_traffic_t *traffic = ts_traffic_create(1);
    ts_traffic_route_t *route = ts_traffic_add_route(traffic);
    route->kind = TS_TARGET_SPLIT;
    ts_traffic_route_add_target(route, "a", 70);
    ts_traffic_route_add_target(route, "b", 25);
    ts_traffic_route_add_target(route, "c", 5);
    ts_traffic_route_add_target(route, "d", 0);
    ts_route_state_t *route_state = ts_route_state_create(100);
    unsigned counts[4] = {0};
    for (int i = 1; i <= 200; i++) {
        counts[ts_route_state_next_target(route_state, route)[0] - 'a']++;
        assert_true(fabs(counts[0] - 0.70 * i) <=
                    1.0); /* after each request, not only at the end */
    }
    assert_int_equal(counts[0], 140);
    assert_int_equal(counts[1], 50);
    assert_int_equal(counts[2], 10);
    assert_int_equal(counts[3], 0);
    ts_route_state_free(route_state);
    ts_traffic_unref(traffic);
}

/* Many nodes with one request each follow the weights in total. */
static void test_split_of_many_nodes_follows_weights(void **state)
{
    enum { NODES = 95, REQUESTS = 1 };
    ts_traffic_t *traffic = ts_traffic_create(1);
    ts_traffic_route_t *route = ts_traffic_add_route(traffic);
    GRand *random = g_rand_new_with_seed(5);
    unsigned a_count = 0;
    route->kind = TS_TARGET_SPLIT;
    ts_traffic_route_add_target(route, "a", 0.7);
    ts_traffic_route_add_target(route, "b", 0.3);
    for (int node = 0; node < NODES; node++) {
        ts_route_state_t *route_state = ts_route_state_create(100);
        ts_route_state_set_start(route_state, g_rand_int(random));
        for (int i = 0; i < REQUESTS; i++)
            a_count += ts_route_state_next_target(route_state, route)[0] == 'a';
        ts_route_state_free(route_state);
    }
    assert_true(fabs((double)a_count / (NODES * REQUESTS) - 0.7) < 0.1);
    g_rand_free(random);
    ts_traffic_unref(traffic);
}

static gint compare_descending(gconstpointer left, gconstpointer right)
{
    return memcmp(*(char *const *)right, *(char *const *)left, TS_RECORD_BYTES);
}

/* Compares with a sort of all records. */
static void test_records_agree_with_a_full_sort(void **state)
{
    GRand *random = g_rand_new_with_seed(5);
    for (int round = 0; round < 300; round++) {
        GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
        size_t top = (size_t)g_rand_int_range(random, 0, 12);
        ts_top_records_t records;
        ts_top_records_init(&records, top);
        for (int part = 0; part < 4; part++) {
            GString *bytes = g_string_new(NULL);
            int count = g_rand_int_range(random, 0, 9);
            for (int i = 0; i < count; i++) {
                char *record = g_malloc(TS_RECORD_BYTES);
                for (unsigned b = 0; b < TS_RECORD_BYTES; b++) {
                    record[b] = (char)(b < 14 ? 200 : g_rand_int_range(random, 0, 3));
                }
                /* on both sides of 128, as bytes compare unsigned */
                record[0] = (char)g_rand_int_range(random, 126, 130);
                g_ptr_array_add(all, record);
                g_string_append_len(bytes, record, TS_RECORD_BYTES);
            }
            /* An incomplete record at the end is ignored. */
            g_string_append_len(bytes, "rest", g_rand_int_range(random, 0, 5));
            ts_top_records_add(&records, bytes->str, bytes->len);
            g_string_free(bytes, TRUE);
        }
        g_ptr_array_sort(all, compare_descending);
        GString *out = g_string_new(NULL);
        ts_top_records_finish(&records, out);
        size_t expected = all->len < top ? all->len : top;
        assert_int_equal(out->len, expected * TS_RECORD_BYTES);
        for (size_t i = 0; i < expected; i++) {
            assert_memory_equal(out->str + i * TS_RECORD_BYTES, g_ptr_array_index(all, i),
                                TS_RECORD_BYTES);
        }
        g_string_free(out, TRUE);
        g_ptr_array_unref(all);
    }
    g_rand_free(random);
}

/* -- Replica ----------------------------------------------------------------------------------- */

static ts_instance_t *add_instance(ts_registry_t *registry, const char *id, const char *zone)
{
    ts_instance_record_t record = {
        g_strdup(id), 0, g_strdup("s"), g_strdup("127.0.0.1:80"), g_strdup(zone), 4, false, 0, 0};
    ts_registry_update(registry, &record, 1);
    ts_instance_record_clear(&record);
    ts_service_t *service = ts_registry_ensure_service(registry, "s");
    return g_ptr_array_index(service->instances, service->instances->len - 1);
}

static GHashTable *make_two_regions(void)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(zones, "z1", "r1");
    g_hash_table_insert(zones, "z2", "r1");
    g_hash_table_insert(zones, "z3", "r2");
    return zones;
}

static ts_instance_t *choose_instance(ts_registry_t *registry, ts_time_us_t now_us)
{
    ts_replica_input_t input = {.work_us = 20000,
                                .now_us = now_us,
                                .drain_us = 2000 * MS,
                                .connections_max = 20,
                                .nodes = 4,
                                .random = 17,
                                .regions = NULL};
    return ts_replica_choose(ts_registry_ensure_service(registry, "s"), &input, NULL, 0);
}

static void test_replica_prefers_near_and_free(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *same_region = add_instance(registry, "next", "z2");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    assert_ptr_equal(choose_instance(registry, now_us), near);
    near->in_flight = 6;
    assert_ptr_equal(choose_instance(registry, now_us), same_region);
    ts_instance_note_failure(same_region, now_us);
    near->in_flight = 12;
    assert_ptr_equal(choose_instance(registry, now_us), far);
}

/*
 * The round-trip time of a zone, even a long one within the region, is learned from connection
 * set-up times, although some connections wait for a busy backend.
 */
static void test_round_trip_time_is_learned(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *same_region = add_instance(registry, "next", "z2");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    assert_true(ts_registry_rtt_max_us(registry) < 30 * MS);
    for (int i = 0; i < 200; i++) {
        ts_registry_add_rtt_sample(registry, near, i % 5 == 0 ? 40 * MS : MS / 2);
        ts_registry_add_rtt_sample(registry, same_region, i % 5 == 0 ? 90 * MS : 60 * MS);
        ts_registry_add_rtt_sample(registry, far, 10 * MS);
    }
    assert_true(ts_registry_rtt_min_us(registry) < MS);
    assert_true(ts_rtt_estimate_us(same_region->rtt) > 50 * MS &&
                ts_rtt_estimate_us(same_region->rtt) < 70 * MS);
    assert_true(ts_registry_rtt_max_us(registry) > 50 * MS);
    near->in_flight = 12;
    // The other zone of the region is farther away than the other region.
    assert_ptr_equal(choose_instance(registry, now_us), far);
}

/*
 * An instance that fails some requests is avoided, even if it answers fast, until the evidence has
 * decayed.
 */
static void test_failing_instance_is_avoided(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    for (int i = 0; i < 6; i++) {
        ts_instance_note_result(near, i % 2 == 0, now_us);
        ts_instance_note_result(far, false, now_us);
    }
    assert_ptr_equal(choose_instance(registry, now_us), far);
    assert_ptr_equal(choose_instance(registry, now_us + 20 * TS_US_PER_S), near);
}

/* Only instances in allowed regions are chosen, even if they are busy or distant. */
static void test_placement_restricts_the_choice(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_instance_t *unlocated = add_instance(registry, "stray", "z9"); /* zone without region */
    ts_service_t *service = ts_registry_ensure_service(registry, "s");
    GPtrArray *regions = g_ptr_array_new();
    g_ptr_array_add(regions, (gpointer)g_intern_string("r2"));
    ts_replica_input_t input = {.work_us = 20000,
                                .now_us = 100 * TS_US_PER_S,
                                .drain_us = 2000 * MS,
                                .connections_max = 20,
                                .nodes = 4,
                                .random = 17,
                                .regions = regions};
    assert_ptr_equal(ts_replica_choose(service, &input, NULL, 0), far);
    assert_int_equal(ts_replica_find_exclusion(near, &input), TS_EXCLUSION_PLACEMENT);
    assert_int_equal(ts_replica_find_exclusion(unlocated, &input), TS_EXCLUSION_PLACEMENT);
    assert_null(ts_replica_choose(service, &input, &far, 1)); /* not even for a retry */
    far->in_flight = 20;
    assert_null(ts_replica_choose(service, &input, NULL, 0));
    assert_false(ts_replica_is_any_free(service, &input));
    assert_false(ts_replica_is_excluded(service, &input)); /* full, but not excluded */
    g_ptr_array_index(regions, 0) = (gpointer)g_intern_string("elsewhere");
    assert_true(ts_replica_is_excluded(service, &input));
    g_ptr_array_unref(regions);
}

/* A zone gets no requests until its evacuation ends, even if instances are added meanwhile. */
static void test_evacuated_zone_gets_nothing(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    ts_registry_ensure_service(registry, "s")->warmup_us = 3 * TS_US_PER_S;
    ts_registry_ensure_service(registry, "s")->warmup_rate = 10;
    ts_registry_set_evacuated(registry, "z1", true, now_us);
    assert_ptr_equal(choose_instance(registry, now_us), far);
    const ts_instance_t *added = add_instance(registry, "late", "z1");
    assert_true(added->is_evacuated);
    assert_ptr_equal(choose_instance(registry, now_us), far);
    ts_registry_set_evacuated(registry, "z1", false, now_us + 5 * TS_US_PER_S);
    assert_false(near->is_evacuated);
    /* Warms up again, as it may have turned cold. */
    assert_int_equal(near->warm_at_us, now_us + 8 * TS_US_PER_S);
    assert_false(ts_registry_is_evacuated(registry, "z1"));
}

/* Whatever their views of the fleet, all nodes together stay within a cold instance's limit. */
static void test_cold_shares_stay_within_the_limit(void **state)
{
    const ts_cold_rule_t rule = {.overrun = 1.5, .slack = 5};
    static const unsigned sizes[] = {1, 3, 9, 95, 300, 1000};
    static const double rates[] = {1, 8, 40, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(rates); j++) {
            double bound = rates[j] * rule.overrun + rule.slack;
            uint32_t sum = 0;
            uint32_t sum_unstable = 0;
            for (unsigned index = 0; index < sizes[i]; index++) {
                ts_fleet_index_t fleet = {.nodes = sizes[i], .index = index, .is_stable = true};
                sum += ts_cold_share(&rule, rates[j], &fleet);
                /* While their views are unstable, all nodes may assume index 0. */
                ts_fleet_index_t unstable = {.nodes = sizes[i], .index = 0, .is_stable = false};
                sum_unstable += ts_cold_share(&rule, rates[j], &unstable);
            }
            assert_true(sum <= bound && sum >= floor(bound) * 2 / 3 - 1);
            assert_true(sum_unstable <= bound);
        }
    }
}

/* A node stays within its share in every second, whatever the arrival times. */
static void test_cold_share_holds_in_every_second(void **state)
{
    GRand *random = g_rand_new_with_seed(23);
    enum { SPAN_MS = 30000 };
    static uint32_t sent[SPAN_MS];
    ts_cold_window_t window = {.share = 3};
    for (unsigned ms = 0; ms < SPAN_MS; ms++) {
        ts_time_us_t now_us = 5 * TS_US_PER_S + (ts_time_us_t)ms * MS;
        bool wants = g_rand_int_range(random, 0, 100) < ((ms / 4000) % 2 == 0 ? 50 : 1);
        sent[ms] = wants && ts_cold_window_has_room(&window, now_us);
        if (sent[ms])
            ts_cold_window_count(&window, now_us);
    }
    uint32_t total = 0;
    for (unsigned begin = 0; begin + 1000 <= SPAN_MS; begin++) {
        uint32_t sum = 0;
        for (unsigned ms = begin; ms < begin + 1000; ms++)
            sum += sent[ms];
        assert_true(sum <= window.share);
        total += sent[begin];
    }
    assert_true(total > 30); /* the node does use its share */
    g_rand_free(random);
}

static void test_cold_instance_is_limited_to_share(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    near->service->warmup_rate = 10;
    near->warm_at_us = now_us + 3 * TS_US_PER_S;
    near->cold.share = 1;
    assert_ptr_equal(choose_instance(registry, now_us), near);
    ts_instance_note_sent(near, now_us);
    assert_ptr_equal(choose_instance(registry, now_us + 900 * MS), far);
    assert_ptr_equal(choose_instance(registry, now_us + 1600 * MS), near);
    ts_instance_note_sent(near, now_us + 1600 * MS);
    assert_ptr_equal(choose_instance(registry, now_us + 3100 * MS), near); /* the warm-up is over */
}

/* An idle instance that refuses some requests is avoided until the evidence has decayed. */
static void test_refusing_instance_is_avoided(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    for (int i = 0; i < 6; i++) {
        now_us += 500 * MS;
        if (i % 2 == 0)
            ts_instance_note_answer(near, now_us, 20000, 20000);
        else
            ts_instance_note_refusal(near, now_us);
    }
    assert_ptr_equal(choose_instance(registry, now_us + 100 * MS), far);
    assert_ptr_equal(choose_instance(registry, now_us + 20 * TS_US_PER_S), near);
}

/*
 * Refusals of a full instance do not count as failures. Whether it is full is known from the load
 * that it reports or, if it reports none, from how long its latest answers took.
 */
static void test_refusals_of_full_instance_are_not_failures(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    near->reported_load =
        (ts_reported_load_t){.running = 4, .waiting = 12, .slots = 4, .reported_us = now_us};
    ts_instance_note_refusal(near, now_us);
    assert_true(ts_instance_failure_rate(near, now_us) == 0);
    double limit = near->limit;
    near->reported_load =
        (ts_reported_load_t){.running = 1, .waiting = 0, .slots = 4, .reported_us = now_us};
    ts_instance_note_refusal(near, now_us);
    assert_true(ts_instance_failure_rate(near, now_us) > 0.2);
    assert_true(near->limit == limit); /* not lowered, as it is not full */
    ts_instance_t *same_region = add_instance(registry, "next", "z2"); /* reports no load */
    ts_instance_note_answer(same_region, now_us, 20000, 20000);
    ts_instance_note_answer(same_region, now_us + 900 * MS, 150000, 20000);
    ts_instance_note_refusal(same_region, now_us + 1200 * MS);
    assert_true(ts_instance_failure_rate(same_region, now_us + 1200 * MS) == 0);
    ts_instance_note_answer(same_region, now_us + 2000 * MS, 20000, 20000);
    ts_instance_note_refusal(same_region, now_us + 2100 * MS);
    assert_true(ts_instance_failure_rate(same_region, now_us + 2100 * MS) > 0.2);
}

static void test_suspicion_ends_with_an_answer(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    ts_instance_note_overdue(near, now_us - 50 * MS, now_us);
    assert_ptr_equal(choose_instance(registry, now_us), far);
    assert_ptr_equal(choose_instance(registry, now_us + 900 * MS), far);
    assert_ptr_equal(choose_instance(registry, now_us + 1100 * MS), near); /* one probe request */
    assert_ptr_equal(choose_instance(registry, now_us + 1101 * MS), far);
    ts_instance_note_answer(near, now_us + 1200 * MS, 20000, 20000);
    assert_ptr_equal(choose_instance(registry, now_us + 1200 * MS), near);
    /* An overdue request that was sent before the last answer is no reason for suspicion. */
    ts_instance_note_overdue(near, now_us + 1100 * MS, now_us + 1300 * MS);
    assert_ptr_equal(choose_instance(registry, now_us + 1300 * MS), near);
}

/* A pause delays a few answers, a slow instance delays all of them. */
static void test_slow_is_distinguished_from_paused(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    ts_instance_note_answer(near, now_us, 300000, 20000);
    assert_ptr_equal(choose_instance(registry, now_us), near);
    for (int i = 0; i < 5; i++) { /* delayed by the same pause: counted as one */
        ts_instance_note_answer(near, now_us, 160000, 20000);
    }
    assert_ptr_equal(choose_instance(registry, now_us), near);
    for (int i = 0; i < 5; i++) { /* at intervals */
        now_us += 200 * MS;
        ts_instance_note_answer(near, now_us, 160000, 20000);
    }
    assert_ptr_equal(choose_instance(registry, now_us), far);
    /* The evidence has decayed. */
    assert_ptr_equal(choose_instance(registry, now_us + 20 * TS_US_PER_S), near);
}

/* A normal answer long after late ones must not restore decayed slowness, as it once did. */
static void test_decayed_slowness_does_not_return(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    for (int i = 0; i < 8; i++)
        ts_instance_note_answer(near, now_us += 300 * MS, 200000, 20000);
    assert_true(ts_instance_latency_ratio(near, now_us) > 4);
    now_us += 24 * TS_US_PER_S;
    ts_instance_note_answer(near, now_us, 20000, 20000);
    assert_true(ts_instance_latency_ratio(near, now_us) < 1.5);
}

/* Late answers to concurrent requests count as one; at intervals they make an instance slow. */
static void test_concurrent_late_answers_count_once(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_instance_t *far = add_instance(registry, "far", "z3");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    for (int i = 0; i < 10; i++)
        ts_instance_note_answer(near, now_us + (ts_time_us_t)i * MS, 150.0 * MS, 20.0 * MS);
    assert_ptr_equal(choose_instance(registry, now_us + 10 * MS), near);
    for (int i = 0; i < 5; i++)
        ts_instance_note_answer(near, now_us += 200 * MS, 150.0 * MS, 20.0 * MS);
    assert_ptr_equal(choose_instance(registry, now_us), far);
}

/*
 * Late answers and refusals lower the limit of requests in flight, normal answers raise it. It
 * always allows this node's share of two requests per slot.
 */
static void test_limit_is_learned(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_replica_input_t input = {.work_us = 20000,
                                .now_us = 100 * TS_US_PER_S,
                                .drain_us = 2000 * MS,
                                .connections_max = 20,
                                .nodes = 4,
                                .random = 17,
                                .regions = NULL};
    near->in_flight = 12;
    assert_false(ts_replica_is_full(near, &input));
    /* Late, and each long enough after the last decrease to lower the limit again. */
    for (int i = 0; i < 20; i++) {
        ts_instance_note_answer(near, input.now_us += 100 * MS, 200000, 20000);
    }
    assert_true(ts_replica_is_full(near, &input));
    near->in_flight = 2; /* within the share of each of two nodes */
    input.nodes = 2;
    assert_false(ts_replica_is_full(near, &input));
    near->in_flight = 3;
    input.nodes = 100;
    assert_true(ts_replica_is_full(near, &input));
    for (int i = 0; i < 40; i++) {
        ts_instance_note_answer(near, input.now_us += 100 * MS, 20000, 20000);
    }
    assert_false(ts_replica_is_full(near, &input));
    ts_instance_note_refusal(near, input.now_us);
    ts_instance_note_refusal(near, input.now_us);
    ts_instance_note_refusal(near, input.now_us);
    ts_instance_note_refusal(near, input.now_us);
    assert_true(ts_replica_is_full(near, &input));
}

static void test_delisted_instance_gets_nothing_after_drain_time(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    ts_registry_delist(registry, "near", now_us);
    assert_ptr_equal(choose_instance(registry, now_us + 100 * MS), near); /* the only instance */
    assert_null(choose_instance(registry, now_us + 2100 * MS));
    ts_registry_sweep(registry, now_us + 11 * TS_US_PER_S);
    assert_int_equal(ts_registry_ensure_service(registry, "s")->instances->len, 0);
}

/*
 * A request that waits for a long time refers to the instances that it was sent to. Freeing one of
 * them after it was delisted crashed the gateway.
 */
static void test_referenced_instance_is_kept(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", make_two_regions());
    ts_instance_t *near = add_instance(registry, "near", "z1");
    near->references = 1;
    ts_registry_delist(registry, "near", TS_US_PER_S);
    ts_registry_sweep(registry, 20 * TS_US_PER_S);
    assert_ptr_equal(ts_registry_find_current(registry, "near"), near);
    near->references = 0;
    ts_registry_sweep(registry, 20 * TS_US_PER_S);
    assert_null(ts_registry_find_current(registry, "near"));
}

/* The shares of all nodes add up to two thirds of the limit, rounded down. */
static void test_connection_shares_add_up(void **state)
{
    static const unsigned limits[] = {1, 2, 41, 67, 76, 110, 480};
    for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
        for (unsigned nodes = 1; nodes <= 120; nodes++) {
            uint32_t sum = 0;
            for (unsigned index = 0; index < nodes; index++) {
                uint32_t share = ts_connection_share(limits[i], nodes, index);
                assert_true(index == 0 || share <= ts_connection_share(limits[i], nodes, 0));
                sum += share;
            }
            assert_int_equal(sum, limits[i] * 2 / 3);
        }
    }
}

static void test_connections_in_use(void **state)
{
    assert_int_equal(ts_connections_in_use_max(41, 9), 3);
    assert_int_equal(ts_connections_in_use_max(31, 24), 2);
    // Two at each node would be twice the limit.
    assert_int_equal(ts_connections_in_use_max(66, 67), 1);
    assert_int_equal(ts_connections_in_use_max(3, 1000), 1);
}

int main(void)
{
    ts_log_open("test", TS_LOG_TEXT, G_LOG_LEVEL_CRITICAL);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_quantile_converges),
        cmocka_unit_test(test_overdue_time_with_slow_instances),
        cmocka_unit_test(test_split_follows_weights),
        cmocka_unit_test(test_split_of_many_nodes_follows_weights),
        cmocka_unit_test(test_records_agree_with_a_full_sort),
        cmocka_unit_test(test_replica_prefers_near_and_free),
        cmocka_unit_test(test_round_trip_time_is_learned),
        cmocka_unit_test(test_failing_instance_is_avoided),
        cmocka_unit_test(test_placement_restricts_the_choice),
        cmocka_unit_test(test_evacuated_zone_gets_nothing),
        cmocka_unit_test(test_cold_shares_stay_within_the_limit),
        cmocka_unit_test(test_cold_share_holds_in_every_second),
        cmocka_unit_test(test_cold_instance_is_limited_to_share),
        cmocka_unit_test(test_refusing_instance_is_avoided),
        cmocka_unit_test(test_refusals_of_full_instance_are_not_failures),
        cmocka_unit_test(test_suspicion_ends_with_an_answer),
        cmocka_unit_test(test_slow_is_distinguished_from_paused),
        cmocka_unit_test(test_decayed_slowness_does_not_return),
        cmocka_unit_test(test_concurrent_late_answers_count_once),
        cmocka_unit_test(test_limit_is_learned),
        cmocka_unit_test(test_referenced_instance_is_kept),
        cmocka_unit_test(test_connection_shares_add_up),
        cmocka_unit_test(test_connections_in_use),
        cmocka_unit_test(test_delisted_instance_gets_nothing_after_drain_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
