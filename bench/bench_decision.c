/**
 * Time of the operations that do no I/O, in one process: routing decisions, admission, ownership,
 * the wire codec, and loading of declarations.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tealspar/admission.h"
#include "tealspar/clock.h"
#include "tealspar/declarations_file.h"
#include "tealspar/route.h"
#include "tealspar/view.h"
#include "tealspar/wire.h"

#define ITERATIONS 20000
#define SHARDS 83
#define NODES 119

static void print_row(const char *label, ts_time_us_t begin_us, unsigned iterations)
{
    printf("| %s | %.3f |\n", label, (double)(ts_clock_now_us() - begin_us) / iterations);
}

static void bench_snapshot_choice(void)
{
    ts_shard_versions_t shards[SHARDS] = {0};
    uint64_t sum = 0;
    for (int i = 0; i < SHARDS; i++) {
        shards[i].answered[0] = 1 + (i % 7 == 0);
    }
    ts_time_us_t begin_us = ts_clock_now_us();
    for (int i = 0; i < ITERATIONS; i++) {
        shards[i % SHARDS].open = i & 1;
        sum += ts_route_choose_snapshot(shards, SHARDS).covered;
    }
    print_row("snapshot choice over 83 shards", begin_us, ITERATIONS);
    (void)sum;
}

static void bench_replica_choice(void)
{
    const ts_policy_t *policy = ts_plugin_find(TS_PLUGIN_POLICY, "adaptive");
    ts_candidate_t candidates[3] = {{.slots = 5, .service_us = 2000},
                                    {.slots = 5, .service_us = 2100},
                                    {.slots = 5, .service_us = 1900}};
    int sum = 0;
    ts_time_us_t begin_us = ts_clock_now_us();
    for (int i = 0; i < ITERATIONS; i++) {
        ts_choice_input_t input = {candidates, 3, 0, (uint64_t)i * 0x9E3779B97F4A7C15ULL};
        sum += policy->choose(&input);
    }
    print_row("replica choice among three", begin_us, ITERATIONS);
    (void)sum;
}

static void bench_admission(void)
{
    ts_admission_input_t input = {.slots = 5,
                                  .kind_share_percent = 80,
                                  .queue_max = 40,
                                  .service_us = 2000,
                                  .left_us = 50000};
    ts_error_t error = TS_OK;
    unsigned sum = 0;
    ts_time_us_t begin_us = ts_clock_now_us();
    for (unsigned i = 0; i < ITERATIONS; i++) {
        input.slots_in_use = i % 6;
        sum += ts_admission_decide(&input, &error);
    }
    print_row("admission decision of the owner", begin_us, ITERATIONS);
    (void)sum;
}

static void bench_owner_lookup(void)
{
    ts_view_t *view = ts_view_create(NODES);
    for (int i = 0; i < NODES; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "node-%03d", i);
        ts_view_add(view, name, "10.0.0.1:1", "zone", 1, TS_MEMBER_LIVE, false);
    }
    uint64_t sum = 0;
    ts_time_us_t begin_us = ts_clock_now_us();
    for (uint64_t i = 0; i < ITERATIONS; i++) {
        ts_backend_t backend = {.id = i, .zone = "zone"};
        sum += ts_view_owner(view, &backend)->id;
    }
    print_row("owner look-up of a backend among 119 nodes of its zone", begin_us, ITERATIONS);
    (void)sum;
    ts_view_unref(view);
}

static ts_message_t *make_subreply(uint64_t counter)
{
    ts_subreply_message_t *message = ts_subreply_message(1);
    message->subreply.counter = counter;
    message->subreply.hits = g_new0(ts_hit_t, 2);
    message->subreply.hits_count = 2;
    for (int i = 0; i < 2; i++) {
        message->subreply.hits[i].id = g_strdup("roll-desk-1/0@1#0");
        message->subreply.hits[i].text = g_strdup("record 0 of e77656e847321c03");
    }
    return &message->head;
}

static void destroy_message(void *context, ts_message_t *message)
{
    message->destroy(message);
}

static void bench_codec(void)
{
    static const ts_wire_identity_t alpha = {"cluster", "alpha", "10.0.0.1:20201", 1};
    static const ts_wire_identity_t beta = {"cluster", "beta", "10.0.0.2:20201", 1};
    ts_message_t *messages[4];
    for (uint64_t i = 0; i < 4; i++) {
        messages[i] = make_subreply(i);
    }
    size_t length = 0;
    ts_time_us_t begin_us = ts_clock_now_us();
    for (int i = 0; i < ITERATIONS; i++) {
        ts_wire_frame_t *frame = ts_wire_frame_build(&alpha, messages, 4);
        length = ts_wire_frame_size(frame);
        uint8_t *bytes = g_malloc(length);
        ts_wire_frame_pack(frame, bytes);
        ts_wire_frame_free(frame);
        ts_wire_frame_unpack(&beta, bytes, length, destroy_message, NULL);
        g_free(bytes);
    }
    print_row("frame of four subreplies with two hits each, packed and unpacked", begin_us,
              ITERATIONS);
    printf("| size of this frame, bytes | %zu |\n", length);
    for (int i = 0; i < 4; i++) {
        messages[i]->destroy(messages[i]);
    }
}

static void bench_declarations(const char *path)
{
    ts_time_us_t begin_us = ts_clock_now_us();
    ts_declarations_t *declarations = ts_declarations_load_file(path);
    if (declarations == NULL) {
        return;
    }
    printf("| %s: %u backends, %zu bytes, loaded and validated | %.0f |\n", path,
           declarations->backends_count, declarations->text_length,
           (double)(ts_clock_now_us() - begin_us));
    ts_declarations_unref(declarations);
}

int main(int argc, char **argv)
{
    printf("| step | us |\n| --- | --- |\n");
    bench_snapshot_choice();
    bench_replica_choice();
    bench_admission();
    bench_owner_lookup();
    bench_codec();
    for (int i = 1; i < argc; i++) {
        bench_declarations(argv[i]);
    }
    return 0;
}
