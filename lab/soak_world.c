/** The soak's environment: links, searchers, configuration and gateway processes. */
#include "soak.h"

#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "../platform/names.h"
#include "ports.h"

// The platform's time limits and the gateways' settings that the soak uses.
#define CONTACT_US (5 * TS_US_PER_S)
#define RETRY_RATIO 0.2
#define RETRY_SLACK 60
#define DRAIN_MS 3000
#define GRACE_MS 6000
// Capacity of a stalled log pipe: a few lines.
#define STALLED_PIPE_BYTES 4096
#define ZONES 2
#define ROUTE_TIMEOUT_MS 1500
// Longer than a gateway's grace period.
#define KEPT_TIMEOUT_MS 9000
// Delay until a crashed searcher is replaced or restarted.
#define RESTART_MIN_MS 300
#define RESTART_MAX_MS 2500
// Difference between the start times of consecutive incarnations in their entries.
#define INCARNATION_GAP_MS 1000
// Number of keys used for invalid entries; small, so that these entries are overwritten too.
#define FOREIGN_KEYS 8
#define EVACUATION_US (3 * TS_US_PER_S)
// A cold searcher receives at most rate x overrun + slack requests per second from all gateways.
#define WARMUP_MS 3000
#define WARMUP_RATE 2
#define WARMUP_OVERRUN 1.0
#define WARMUP_SLACK 4
#define COLD_REQUESTS_MAX (WARMUP_RATE * WARMUP_OVERRUN + WARMUP_SLACK)

const char *soak_service_name(unsigned service)
{
    static const char *const names[SOAK_SERVICES] = {"a", "b", "c", "d", "e", "f", "g", "h"};
    return names[service];
}

unsigned soak_first_shard(uint64_t version)
{
    return version / 3 % 2 == 0 ? 0 : SOAK_SHARDS;
}

unsigned soak_forward_service(uint64_t version)
{
    return 2 * SOAK_SHARDS + (unsigned)(version % 2);
}

// -- Links

static lab_link_mode_t get_mode(void *ctx, const char *source)
{
    return ((const soak_link_t *)ctx)->mode;
}

static double get_delay_ms(void *ctx, const char *source)
{
    return ((const soak_link_t *)ctx)->delay_ms;
}

static const lab_link_ops_t link_ops = {get_mode, get_delay_ms};

void soak_set_link_mode(soak_link_t *link, lab_link_mode_t mode, double delay_ms)
{
    link->mode = mode;
    link->delay_ms = delay_ms;
    link->changed_us = ts_clock_now_us();
    lab_link_mode_changed(link->link);
}

static bool open_link(soak_t *s, soak_link_t *link, const char *ip, unsigned target_port)
{
    char *target = g_strdup_printf("%s:%u", ip, target_port);
    for (int i = 0; i < 20 && link->link == NULL; i++) {
        g_free(link->address);
        link->address = g_strdup_printf("%s:%u", ip, lab_next_port(ip));
        link->link = lab_link_open(&s->loop, link->address, target, &link_ops, link);
    }
    g_free(target);
    return link->link != NULL;
}

// -- Searchers

// Requests restricted to the first region may reach the searchers of zone 1 only, and after
// EVACUATION_US no request may reach an evacuated zone.
static void check_zone(const soak_searcher_t *searcher, const soak_request_record_t *record,
                       const char *id)
{
    ts_time_us_t now_us = ts_clock_now_us();
    soak_t *s = searcher->soak;
    unsigned zone = searcher->replica % ZONES + 1;
    if (record->is_region_restricted && zone != 1)
        soak_report_violation(s, "HOME", "request %s of %s reached %s in zone %u", id,
                              record->node->name, searcher->fake->id, zone);
    if (s->evacuated_zone == zone && now_us - s->evacuated_us > EVACUATION_US &&
        soak_node_is_fault_free(record->node, now_us))
        soak_report_violation(s, "EVAC",
                              "request %s of %s reached %s %lu ms after its zone's evacuation", id,
                              record->node->name, searcher->fake->id,
                              (unsigned long)((now_us - s->evacuated_us) / TS_US_PER_MS));
}

// The limit holds for all gateways together, whether or not they are fault-free. Not checked while
// the link is disturbed or just after, as it then delivers held requests in bursts.
static void check_cold(soak_searcher_t *searcher)
{
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_cold =
        searcher->cold_since_us != 0 && now_us - searcher->cold_since_us < WARMUP_MS * TS_US_PER_MS;
    bool is_link_undisturbed = searcher->link.mode == LAB_LINK_PASS &&
                               searcher->link.delay_ms == 0 &&
                               now_us - searcher->link.changed_us > TS_US_PER_S;
    if (!is_cold || !is_link_undisturbed)
        return;
    g_array_append_val(searcher->arrivals, now_us);
    unsigned arrivals = soak_count_last_window(searcher->arrivals, TS_US_PER_S);
    if (arrivals > COLD_REQUESTS_MAX)
        soak_report_violation(searcher->soak, "FAILBACK",
                              "%s got %u requests in a second while it was cold",
                              searcher->fake->id, arrivals);
}

// Records a request that a searcher has received and runs all checks of arrivals.
static void handle_request(void *ctx, lab_searcher_t *fake, const char *request_id, bool runs)
{
    soak_searcher_t *searcher = ctx;
    soak_t *s = searcher->soak;
    ts_time_us_t now_us = ts_clock_now_us();
    soak_request_record_t *record =
        request_id == NULL ? NULL : g_hash_table_lookup(s->request_records, request_id);
    if (record == NULL) {
        soak_report_violation(s, "UNASKED", "%s got request %s that nobody sent", fake->id,
                              request_id == NULL ? "without an id" : request_id);
        return;
    }
    soak_check_fatal_arrival(s, record, request_id);
    soak_record_limited_run(s, record, runs && record->runs == 0);
    record->runs += runs;
    if (runs && record->runs > 1 && !record->is_repeatable)
        soak_report_violation(s, "TWICE", "request %s of %s ran again at %s", request_id,
                              record->node->name, fake->id);
    if (runs && record->was_refused && !record->is_repeatable)
        soak_report_violation(s, "REFUSED", "request %s ran at %s after its refusal", request_id,
                              fake->id);
    uint64_t bit = 1ULL << searcher->service;
    if ((record->services & bit) != 0)
        g_array_append_val(s->budgets[searcher->service].extra_arrivals, now_us);
    record->services |= bit;
    ts_time_us_t drain_us = DRAIN_MS * TS_US_PER_MS;
    if (searcher->draining_since_us != 0 && now_us - searcher->draining_since_us > drain_us &&
        soak_node_is_fault_free(record->node, now_us))
        soak_report_violation(
            s, "DRAIN", "request %s reached %s %lu ms after it began to drain", request_id,
            fake->id, (unsigned long)((now_us - searcher->draining_since_us) / TS_US_PER_MS));
    check_zone(searcher, record, request_id);
    check_cold(searcher);
}

static void compose(void *ctx, lab_searcher_t *fake, const char *request_id, GString *body)
{
    soak_compose_body(fake->service, request_id, body);
}

static void handle_message(void *ctx, lab_searcher_t *fake, const ts_http_message_t *request)
{
    const soak_searcher_t *searcher = ctx;
    soak_check_tenant(searcher->soak, fake, request);
}

static unsigned get_response_delay_ms(void *ctx, lab_searcher_t *fake,
                                      const ts_http_message_t *request)
{
    return soak_response_delay_ms(request->target->str);
}

static void handle_searcher_crash(void *ctx, lab_searcher_t *fake, const char *request_id)
{
    soak_handle_crash(ctx, request_id);
}

static const lab_searcher_ops_t searcher_ops = {.on_request = handle_request,
                                                .delay_ms = get_response_delay_ms,
                                                .on_message = handle_message,
                                                .on_crash = handle_searcher_crash,
                                                .compose_body = compose};

static unsigned warmup_left_ms(const soak_searcher_t *searcher)
{
    ts_time_us_t age_us = ts_clock_now_us() - searcher->cold_since_us;
    bool is_cold = searcher->cold_since_us != 0 && age_us < WARMUP_MS * TS_US_PER_MS;
    return is_cold ? WARMUP_MS - (unsigned)(age_us / TS_US_PER_MS) : 0;
}

static void register_searcher(soak_t *s, const soak_searcher_t *searcher, bool is_draining)
{
    char *key = g_strdup_printf(KEY_INSTANCES "%s", searcher->fake->id);
    char *entry = g_strdup_printf(
        "{\"%s\":\"%s\",\"%s\":\"%s\",\"%s\":\"%s\",\"%s\":4,"
        "\"%s\":\"%s\",\"%s\":%u,\"%s\":%" PRIu64 "}",
        FIELD_SERVICE, searcher->fake->service, FIELD_ADDRESS, searcher->link.address, FIELD_ZONE,
        searcher->fake->zone, FIELD_SLOTS, FIELD_STATE, is_draining ? VALUE_DRAINING : VALUE_READY,
        FIELD_WARMUP_MS, s->options.simulates_bugs ? 0 : warmup_left_ms(searcher),
        FIELD_START_TIME_MS, searcher->fake->born_ms);
    lab_store_put(s->store, key, entry);
    g_free(entry);
    g_free(key);
}

// Adds the next incarnation of `previous` or, if NULL, a new searcher.
static bool add_searcher(soak_t *s, unsigned service, unsigned replica,
                         const lab_searcher_t *previous)
{
    soak_searcher_t *searcher = g_new0(soak_searcher_t, 1);
    char id[32];
    char zone[8];
    if (previous == NULL)
        g_snprintf(id, sizeof(id), "i-%u", ++s->searchers_created);
    else
        g_strlcpy(id, previous->id, sizeof(id));
    g_snprintf(zone, sizeof(zone), "z%u", replica % ZONES + 1);
    searcher->soak = s;
    searcher->service = service;
    searcher->replica = replica;
    searcher->fake = lab_searcher_open(&s->loop, id, soak_service_name(service), zone);
    if (previous != NULL)
        searcher->fake->born_ms = previous->born_ms + INCARNATION_GAP_MS;
    searcher->arrivals = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
    // started_us is set before the initial searchers are added, so these are cold as well.
    searcher->cold_since_us = s->started_us != 0 ? ts_clock_now_us() : 0;
    searcher->fake->ops = &searcher_ops;
    searcher->fake->ctx = searcher;
    searcher->fake->delay_ms = 5;
    searcher->fake->crash_target = SOAK_FATAL_TEXT;
    s->searchers[service][replica] = searcher;
    g_hash_table_insert(s->instances, g_strdup(id), (gpointer)soak_service_name(service));
    if (!open_link(s, &searcher->link, "127.0.0.1", searcher->fake->port))
        return false;
    register_searcher(s, searcher, false);
    return true;
}

static void deregister_searcher(soak_t *s, const soak_searcher_t *searcher)
{
    char *key = g_strdup_printf(KEY_INSTANCES "%s", searcher->fake->id);
    lab_store_delete(s->store, key);
    g_free(key);
}

// A crashed searcher does not deregister: its entry disappears after three missed heartbeats, and
// it registers again when it restarts. It may be back under its id before the old entry has
// disappeared.
static void restart_searcher(uv_timer_t *restart_timer)
{
    soak_searcher_t *searcher = restart_timer->data;
    soak_t *s = searcher->soak;
    bool is_latest = s->searchers[searcher->service][searcher->replica] == searcher;
    bool keeps_id = is_latest && g_rand_boolean(s->random);
    if (!keeps_id || g_rand_boolean(s->random))
        deregister_searcher(s, searcher);
    if (is_latest &&
        add_searcher(s, searcher->service, searcher->replica, keeps_id ? searcher->fake : NULL))
        soak_log(s, "%s has ended, %s comes%s", searcher->fake->id,
                 s->searchers[searcher->service][searcher->replica]->fake->id,
                 keeps_id ? ", its next life" : "");
    uv_close((uv_handle_t *)restart_timer, NULL);
}

void soak_write_foreign_entry(soak_t *s)
{
    static const char *const entries[] = {
        "not to be read",
        "{\"service\":\"a\",\"state\":\"ready\"}",
        "{\"service\":\"a\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"slots\":4,"
        "\"state\":\"resting\",\"warmupLeftMs\":0}",
        "{\"service\":\"a\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"slots\":\"4\","
        "\"state\":\"ready\",\"warmupLeftMs\":0}",
        "{\"service\":\"a\",\"address\":\"nowhere\",\"zone\":\"z1\",\"slots\":4,"
        "\"state\":\"ready\",\"warmupLeftMs\":0}",
    };
    int drawn = g_rand_int_range(s->random, 0, G_N_ELEMENTS(entries));
    char *key = g_strdup_printf(KEY_INSTANCES "0-%u", g_rand_int(s->random) % FOREIGN_KEYS);
    lab_store_put(s->store, key, entries[drawn]);
    soak_log(s, "another writer: entry %d at %s", drawn, key);
    g_free(key);
}

void soak_restart_searcher(soak_searcher_t *searcher)
{
    soak_t *s = searcher->soak;
    lab_link_close(searcher->link.link);
    uv_timer_init(&s->loop, &searcher->restart_timer);
    searcher->restart_timer.data = searcher;
    uv_timer_start(&searcher->restart_timer, restart_searcher,
                   (uint64_t)g_rand_int_range(s->random, RESTART_MIN_MS, RESTART_MAX_MS), 0);
}

void soak_replace_searcher(soak_t *s, unsigned service, unsigned replica)
{
    soak_searcher_t *old = s->searchers[service][replica];
    if (!add_searcher(s, service, replica, NULL))
        return;
    old->draining_since_us = ts_clock_now_us();
    if (!s->options.simulates_bugs)
        register_searcher(s, old, true);
    soak_log(s, "%s drains, %s takes its place in service %s", old->fake->id,
             s->searchers[service][replica]->fake->id, soak_service_name(service));
}

// -- Evacuations

static char *evacuation_key(unsigned zone)
{
    return g_strdup_printf(KEY_EVACUATIONS "z%u", zone);
}

void soak_evacuate(soak_t *s, unsigned zone)
{
    char *key = evacuation_key(zone);
    s->evacuated_zone = zone;
    s->evacuated_us = ts_clock_now_us();
    if (!s->options.simulates_bugs)
        lab_store_put(s->store, key, "{}");
    soak_log(s, "zone z%u is evacuated", zone);
    g_free(key);
}

void soak_end_evacuation(soak_t *s)
{
    char *key = evacuation_key(s->evacuated_zone);
    for (unsigned i = 0; i < SOAK_SERVICES; i++) {
        for (unsigned j = 0; j < SOAK_REPLICAS; j++) {
            if (j % ZONES + 1 == s->evacuated_zone)
                s->searchers[i][j]->cold_since_us = ts_clock_now_us();
        }
    }
    lab_store_delete(s->store, key);
    for (unsigned i = 0; i < SOAK_SERVICES; i++) {
        for (unsigned j = 0; j < SOAK_REPLICAS; j++) {
            if (j % ZONES + 1 == s->evacuated_zone)
                register_searcher(s, s->searchers[i][j], false);
        }
    }
    soak_log(s, "zone z%u is in use again", s->evacuated_zone);
    s->evacuated_zone = 0;
    g_free(key);
}

// -- Configuration

static void append_timed_route(GString *out, const char *name, const char *prefix,
                               bool is_repeatable, unsigned timeout_ms, const char *target)
{
    g_string_append_printf(
        out,
        "%s{\"%s\":\"%s\",\"%s\":\"h.example\",\"%s\":\"%s\",\"%s\":\"%s\","
        "\"%s\":%u,\"%s\":200,\"%s\":1,\"%s\":2,\"%s\":%s,%s}",
        out->len > 0 ? "," : "", FIELD_NAME, name, FIELD_HOST, FIELD_PREFIX, prefix,
        FIELD_ROUTE_TYPE, is_repeatable ? VALUE_IDEMPOTENT : "non_idempotent", FIELD_TIMEOUT_MS,
        timeout_ms, FIELD_TARGET_LATENCY_MS, FIELD_PRIORITY, FIELD_ATTEMPTS, FIELD_AUTH_EXEMPT,
        g_str_has_prefix(prefix, "/v") ? "true" : "false", target);
}

static void append_route(GString *out, const char *name, const char *prefix, bool is_repeatable,
                         const char *target)
{
    append_timed_route(out, name, prefix, is_repeatable, ROUTE_TIMEOUT_MS, target);
}

static char *compose_services(void)
{
    GString *out = g_string_new(NULL);
    for (unsigned i = 0; i < SOAK_SERVICES; i++)
        g_string_append_printf(out, "%s{\"%s\":\"%s\",\"%s\":%d,\"%s\":%d}", i > 0 ? "," : "",
                               FIELD_NAME, soak_service_name(i), FIELD_WARMUP_S, WARMUP_MS / 1000,
                               FIELD_WARMUP_RATE, WARMUP_RATE);
    return g_string_free(out, FALSE);
}

static char *compose_routes(uint64_t version, bool simulates_bugs)
{
    GString *out = g_string_new(NULL);
    unsigned first = soak_first_shard(version);
    char *service = g_strdup_printf("\"%s\":\"%s\"", FIELD_SERVICE,
                                    soak_service_name(soak_forward_service(version)));
    char *shards =
        g_strdup_printf("\"%s\":[\"%s\",\"%s\",\"%s\"],\"%s\":%d,\"%s\":0.6", FIELD_GATHER,
                        soak_service_name(first), soak_service_name(first + 1),
                        soak_service_name(first + 2), FIELD_TOP, SOAK_TOP_RECORDS, FIELD_COVERAGE);
    char *placed =
        g_strdup_printf("%s%s", service, simulates_bugs ? "" : ",\"" FIELD_REGIONS "\":[\"r1\"]");
    char *marker = g_strdup_printf("/v%lu/", (unsigned long)version);
    append_route(out, "forward", "/forward/", true, service);
    append_route(out, "once", "/once/", false, service);
    append_route(out, "all", "/all/", true, shards);
    append_route(out, "placed", "/placed/", true, placed);
    append_route(out, marker, marker, true, service);
    append_timed_route(out, "kept", "/kept/", true, KEPT_TIMEOUT_MS, service);
    append_timed_route(out, "kept-once", "/kept-once/", false, KEPT_TIMEOUT_MS, service);
    g_free(marker);
    g_free(placed);
    g_free(shards);
    g_free(service);
    return g_string_free(out, FALSE);
}

void soak_publish_configuration(soak_t *s)
{
    s->version++;
    s->version_written_us = ts_clock_now_us();
    char *routes = compose_routes(s->version, s->options.simulates_bugs);
    char *services = compose_services();
    char *tenants = soak_compose_tenants(s->version, s->options.simulates_bugs);
    char *text =
        g_strdup_printf("{\"%s\":%lu,\"%s\":[%s],\"%s\":[%s],\"%s\":[%s],\"%s\":{\"%s\":8192,"
                        "\"%s\":65536,\"%s\":3000,\"%s\":15000}}",
                        FIELD_VERSION, (unsigned long)s->version, FIELD_ROUTES, routes,
                        FIELD_SERVICES, services, FIELD_TENANTS, tenants, FIELD_LIMITS,
                        FIELD_HEAD_BYTES, FIELD_BODY_BYTES, FIELD_HEAD_MS, FIELD_IDLE_MS);
    if (!s->options.simulates_bugs || s->version == 1)
        lab_store_put(s->store, KEY_CONFIG, text);
    soak_log(s, "version %lu", (unsigned long)s->version);
    g_free(text);
    g_free(tenants);
    g_free(services);
    g_free(routes);
}

// -- Gateways

bool soak_node_is_undisturbed(const soak_node_t *node, ts_time_us_t now_us)
{
    const soak_t *s = node->soak;
    return node->is_running && node->active_faults == 0 && s->store_faults == 0 &&
           now_us - node->fault_changed_us > CONTACT_US &&
           now_us - s->store_fault_changed_us > CONTACT_US;
}

bool soak_node_is_undisturbed_since(const soak_node_t *node, ts_time_us_t since_us)
{
    const soak_t *s = node->soak;
    bool has_exited_by_plan = node->is_stopping && node->fault_changed_us == node->exited_us;
    return node->active_faults == 0 && s->store_faults == 0 &&
           (node->fault_changed_us < since_us || has_exited_by_plan) &&
           s->store_fault_changed_us < since_us;
}

bool soak_node_is_fault_free(const soak_node_t *node, ts_time_us_t now_us)
{
    return !node->is_stopping && soak_node_is_undisturbed(node, now_us);
}

void soak_node_count_fault(soak_node_t *node, int faults)
{
    node->active_faults = (unsigned)((int)node->active_faults + faults);
    node->fault_changed_us = ts_clock_now_us();
}

static void handle_node_exit(void *ctx, const lab_child_exit_t *end)
{
    soak_node_t *node = ctx;
    soak_t *s = node->soak;
    ts_time_us_t now_us = ts_clock_now_us();
    unsigned long late_ms = (unsigned long)((now_us - end->ended_us) / TS_US_PER_MS);
    node->process = NULL;
    node->is_running = false;
    node->fault_changed_us = now_us;
    node->exited_us = now_us;
    soak_log(s, "%s ended: status %d, signal %d, noticed after %lu ms", node->name, end->status,
             end->signal, late_ms);
    if (!node->is_exit_expected)
        soak_report_violation(s, "ENDED", "%s ended by itself: status %d, signal %d", node->name,
                              end->status, end->signal);
    ts_time_us_t stop_us = end->ended_us - node->sigterm_us;
    bool is_clean = end->status == 0 && end->signal == 0 && stop_us <= GRACE_MS * TS_US_PER_MS;
    if (node->is_stopping && !is_clean)
        soak_report_violation(s, "STOP", "%s stopped with status %d, signal %d after %lu ms",
                              node->name, end->status, end->signal,
                              (unsigned long)(stop_us / TS_US_PER_MS));
    if (node->restarts_on_exit)
        (void)soak_node_start(node);
}

static void write_settings(const soak_node_t *node)
{
    const soak_t *s = node->soak;
    GString *seeds = g_string_new(NULL);
    for (unsigned i = 0; i < MIN(s->options.nodes, 3); i++)
        g_string_append_printf(seeds, "%s'%s'", i > 0 ? ", " : "", s->nodes[i].peers_link.address);
    char *text = g_strdup_printf(
        "name: %s\nzone: %s\ndialect: platform\ncallers: %s:%u\nready: %s:%u\npeers: %s:%u\n"
        "advertised: %s\nseeds: [%s]\nstore: %s\n"
        "zones: [{zone: z1, region: r1}, {zone: z2, region: r2}]\n"
        "drain_ms: %d\ngrace_ms: %d\nretry_ratio: %.1f\nretry_slack: %d\n"
        "warmup_overrun: %.1f\nwarmup_slack: %d\n" SOAK_QUOTA_SETTINGS
        "log_format: json\nlog_level: info\n%s",
        node->name, node->zone, node->ip, node->callers_port, node->ip, node->ready_port, node->ip,
        node->peers_port, node->peers_link.address, seeds->str, node->store_link.address, DRAIN_MS,
        GRACE_MS, RETRY_RATIO, RETRY_SLACK, WARMUP_OVERRUN, WARMUP_SLACK,
        s->options.simulates_bugs ? "without: [quarantine]\n" : "");
    g_file_set_contents(node->settings_path, text, -1, NULL);
    g_free(text);
    g_string_free(seeds, TRUE);
}

// Returns the write end of a pipe whose read end stays open but is never read.
static int open_stalled_pipe(void)
{
    int fds[2] = {-1, -1};
    if (pipe2(fds, O_CLOEXEC) != 0)
        return -1;
    (void)fcntl(fds[1], F_SETPIPE_SZ, STALLED_PIPE_BYTES);
    return fds[1];
}

bool soak_node_start(soak_node_t *node)
{
    const soak_options_t *options = &node->soak->options;
    node->restarts_on_exit = node->process != NULL;
    if (node->restarts_on_exit)
        return true; // killed, but its exit has not been noticed yet
    bool is_skewed = node->clock_skew_ms != 0 && options->skewed_program != NULL;
    char *program = (char *)(is_skewed ? options->skewed_program : options->program);
    char *arguments[] = {program, "gateway", "-s", node->settings_path, NULL};
    char skew[48];
    g_snprintf(skew, sizeof(skew), "LAB_CLOCK_SKEW_MS=%d", node->clock_skew_ms);
    char *environment[] = {skew, NULL};
    int log = options->is_log_stalled
                  ? open_stalled_pipe()
                  : open(node->log_path, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    node->process =
        lab_child_start(&node->soak->loop, arguments, environment, log, handle_node_exit, node);
    close(log);
    node->is_running = node->process != NULL;
    node->is_paused = false;
    node->is_stopping = false;
    node->is_exit_expected = false;
    node->version_seen = 0;
    node->incarnation++;
    node->fault_changed_us = ts_clock_now_us();
    soak_log(node->soak, "%s starts, life %u, skew %d ms", node->name, node->incarnation,
             node->clock_skew_ms);
    return node->is_running;
}

void soak_node_signal(soak_node_t *node, int number)
{
    if (!node->is_running)
        return;
    soak_log(node->soak, "%s gets signal %d", node->name, number);
    node->is_exit_expected |= number == SIGKILL || number == SIGTERM;
    if (number == SIGTERM) {
        node->is_stopping = true;
        node->sigterm_us = ts_clock_now_us();
    }
    lab_child_kill(node->process, number);
}

void soak_node_repeat_signal(soak_node_t *node, int number)
{
    if (!node->is_running)
        return;
    soak_log(node->soak, "%s gets signal %d while it stops", node->name, number);
    lab_child_kill(node->process, number);
}

static bool open_node(soak_t *s, unsigned i)
{
    soak_node_t *node = &s->nodes[i];
    node->soak = s;
    node->name = g_strdup_printf("n%u", i);
    node->zone = g_strdup_printf("z%u", i % ZONES + 1);
    node->ip = g_strdup_printf("127.77.%d.%u", getpid() % 250 + 1, i + 1);
    node->settings_path = g_strdup_printf("%s/%s.yaml", s->options.directory, node->name);
    node->log_path = g_strdup_printf("%s/%s.log", s->options.directory, node->name);
    node->callers_port = lab_next_port(node->ip);
    node->ready_port = lab_next_port(node->ip);
    node->peers_port = lab_next_port(node->ip);
    return open_link(s, &node->store_link, "127.0.0.1", s->store_port) &&
           open_link(s, &node->peers_link, node->ip, node->peers_port);
}

static bool open_store(soak_t *s)
{
    for (int i = 0; i < 20 && s->store == NULL; i++) {
        s->store_port = lab_next_port("127.0.0.1");
        s->store = lab_store_open(&s->loop, s->store_port);
    }
    return s->store != NULL;
}

bool soak_world_open(soak_t *s)
{
    bool is_open = open_store(s);
    for (unsigned i = 0; i < SOAK_SERVICES && is_open; i++) {
        s->budgets[i].requests = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
        s->budgets[i].extra_arrivals = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
        for (unsigned j = 0; j < SOAK_REPLICAS && is_open; j++)
            is_open = add_searcher(s, i, j, NULL);
    }
    for (unsigned i = 0; i < s->options.nodes && is_open; i++)
        is_open = open_node(s, i);
    soak_publish_configuration(s);
    for (unsigned i = 0; i < s->options.nodes && is_open; i++) {
        write_settings(&s->nodes[i]);
        is_open = soak_node_start(&s->nodes[i]);
    }
    return is_open;
}
