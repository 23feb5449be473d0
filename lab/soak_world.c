/** The soak's world: links, searchers, configuration, and gateways as processes of their own. */
#include "soak.h"

#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "../platform/names.h"
#include "ports.h"

// The platform's bounds that the soak plays with.
#define CONTACT_US (5 * TS_US_PER_S)
#define RETRY_RATIO 0.2
#define RETRY_SLACK 60
#define DRAIN_MS 3000
#define GRACE_MS 6000
// What a pipe that nobody reads holds: a few lines.
#define STALLED_BYTES 4096
#define ZONES 2
#define ROUTE_TIMEOUT_MS 1500
// Until a searcher that ended is back.
#define RESTART_MIN_MS 300
#define RESTART_MAX_MS 2500
// A life of a searcher is born so much later than the one before it at least.
#define LIFE_MS 1000
// Keys that other writers use, so that they change entries too.
#define FOREIGN_KEYS 8
#define EVACUATION_US (3 * TS_US_PER_S)
// What a cold searcher bears from all gateways: rate x overrun + slack requests in any second.
#define WARMUP_MS 3000
#define WARMUP_RATE 2
#define WARMUP_OVERRUN 1.0
#define WARMUP_SLACK 4
#define COLD_MOST (WARMUP_RATE * WARMUP_OVERRUN + WARMUP_SLACK)

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

static lab_link_mode_t mode_of(void *ctx, const char *source)
{
    return ((const soak_link_t *)ctx)->mode;
}

static double delay_of(void *ctx, const char *source)
{
    return ((const soak_link_t *)ctx)->delay_ms;
}

static const lab_link_ops_t link_ops = {mode_of, delay_of};

void soak_set_link(soak_link_t *link, lab_link_mode_t mode, double delay_ms)
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

// Searchers of placed requests stand in the first zone, which is the first region.
static void check_place(const soak_searcher_t *own, const soak_record_t *record, const char *id)
{
    ts_time_us_t now_us = ts_clock_now_us();
    soak_t *s = own->soak;
    unsigned zone = own->replica % ZONES + 1;
    if (record->is_placed && zone != 1)
        soak_broken(s, "HOME", "request %s of %s reached %s in zone %u", id, record->node->name,
                    own->searcher->id, zone);
    if (s->evacuated_zone == zone && now_us - s->evacuated_us > EVACUATION_US &&
        soak_in_touch(record->node, now_us))
        soak_broken(s, "EVAC", "request %s of %s reached %s %lu ms after its zone's evacuation", id,
                    record->node->name, own->searcher->id,
                    (unsigned long)((now_us - s->evacuated_us) / TS_US_PER_MS));
}

// Over all gateways, whatever they know. A link that was spoilt lets requests through in bunches.
static void check_cold(soak_searcher_t *own)
{
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_cold = own->cold_us != 0 && now_us - own->cold_us < WARMUP_MS * TS_US_PER_MS;
    bool is_link_well = own->link.mode == LAB_LINK_PASS && own->link.delay_ms == 0 &&
                        now_us - own->link.changed_us > TS_US_PER_S;
    if (!is_cold || !is_link_well)
        return;
    g_array_append_val(own->arrivals, now_us);
    unsigned most = soak_arrivals_within(own->arrivals, TS_US_PER_S);
    if (most > COLD_MOST)
        soak_broken(own->soak, "FAILBACK", "%s got %u requests in a second while it was cold",
                    own->searcher->id, most);
}

// A request has come: it is noted whose it is, and what it says of the sender.
static void note_arrival(void *ctx, lab_searcher_t *searcher, const char *request_id, bool runs)
{
    soak_searcher_t *own = ctx;
    soak_t *s = own->soak;
    ts_time_us_t now_us = ts_clock_now_us();
    soak_record_t *record = request_id == NULL ? NULL : g_hash_table_lookup(s->records, request_id);
    if (record == NULL) {
        soak_broken(s, "UNASKED", "%s got request %s that nobody sent", searcher->id,
                    request_id == NULL ? "without an id" : request_id);
        return;
    }
    soak_check_fatal_arrival(s, record, request_id);
    soak_note_run(s, record, runs && record->runs == 0);
    record->runs += runs;
    if (runs && record->runs > 1 && !record->is_repeatable)
        soak_broken(s, "TWICE", "request %s of %s ran again at %s", request_id, record->node->name,
                    searcher->id);
    if (runs && record->was_refused && !record->is_repeatable)
        soak_broken(s, "REFUSED", "request %s ran at %s after its refusal", request_id,
                    searcher->id);
    uint64_t bit = 1ULL << own->service;
    if ((record->services & bit) != 0)
        g_array_append_val(s->budgets[own->service].extras, now_us);
    record->services |= bit;
    ts_time_us_t drain_us = DRAIN_MS * TS_US_PER_MS;
    if (own->drained_us != 0 && now_us - own->drained_us > drain_us &&
        soak_in_touch(record->node, now_us))
        soak_broken(s, "DRAIN", "request %s reached %s %lu ms after it began to drain", request_id,
                    searcher->id, (unsigned long)((now_us - own->drained_us) / TS_US_PER_MS));
    check_place(own, record, request_id);
    check_cold(own);
}

static void compose(void *ctx, lab_searcher_t *searcher, const char *request_id, GString *body)
{
    soak_compose_body(searcher->service, request_id, body);
}

static void note_fields(void *ctx, lab_searcher_t *searcher, const ts_http_message_t *request)
{
    const soak_searcher_t *own = ctx;
    soak_check_tenant(own->soak, searcher, request);
}

static void note_end(void *ctx, lab_searcher_t *searcher, const char *request_id)
{
    soak_note_end(ctx, request_id);
}

static const lab_searcher_ops_t searcher_ops = {
    .arrived = note_arrival, .heard = note_fields, .ended = note_end, .compose = compose};

static unsigned warmup_left_ms(const soak_searcher_t *own)
{
    ts_time_us_t age_us = ts_clock_now_us() - own->cold_us;
    bool is_cold = own->cold_us != 0 && age_us < WARMUP_MS * TS_US_PER_MS;
    return is_cold ? WARMUP_MS - (unsigned)(age_us / TS_US_PER_MS) : 0;
}

static void enter_searcher(soak_t *s, const soak_searcher_t *own, bool is_draining)
{
    char *key = g_strdup_printf(KEY_INSTANCES "%s", own->searcher->id);
    char *entry = g_strdup_printf("{\"%s\":\"%s\",\"%s\":\"%s\",\"%s\":\"%s\",\"%s\":4,"
                                  "\"%s\":\"%s\",\"%s\":%u,\"%s\":%" PRIu64 "}",
                                  FIELD_SERVICE, own->searcher->service, FIELD_ADDRESS,
                                  own->link.address, FIELD_ZONE, own->searcher->zone, FIELD_SLOTS,
                                  FIELD_STATE, is_draining ? WORD_DRAINING : WORD_READY,
                                  FIELD_WARMUP_MS, s->options.is_planted ? 0 : warmup_left_ms(own),
                                  FIELD_BORN, own->searcher->born_ms);
    lab_store_put(s->store, key, entry);
    g_free(entry);
    g_free(key);
}

// A searcher in its next life (`former`: the one before), or (NULL) a new one.
static bool add_searcher(soak_t *s, unsigned service, unsigned replica,
                         const lab_searcher_t *former)
{
    soak_searcher_t *own = g_new0(soak_searcher_t, 1);
    char id[32];
    char zone[8];
    if (former == NULL)
        g_snprintf(id, sizeof(id), "i-%u", ++s->searchers_made);
    else
        g_strlcpy(id, former->id, sizeof(id));
    g_snprintf(zone, sizeof(zone), "z%u", replica % ZONES + 1);
    own->soak = s;
    own->service = service;
    own->replica = replica;
    own->searcher = lab_searcher_open(&s->loop, id, soak_service_name(service), zone);
    if (former != NULL)
        own->searcher->born_ms = former->born_ms + LIFE_MS;
    own->arrivals = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
    own->cold_us = s->begun_us != 0 ? ts_clock_now_us() : 0; // those of the beginning are warm
    own->searcher->ops = &searcher_ops;
    own->searcher->ctx = own;
    own->searcher->delay_ms = 5;
    own->searcher->crashes_on = SOAK_FATAL;
    s->searchers[service][replica] = own;
    g_hash_table_insert(s->instances, g_strdup(id), (gpointer)soak_service_name(service));
    if (!open_link(s, &own->link, "127.0.0.1", own->searcher->port))
        return false;
    enter_searcher(s, own, false);
    return true;
}

static void leave_list(soak_t *s, const soak_searcher_t *own)
{
    char *key = g_strdup_printf(KEY_INSTANCES "%s", own->searcher->id);
    lab_store_delete(s->store, key);
    g_free(key);
}

// A crash says nothing: the entry goes after three heartbeats, another start enters itself. It may
// be back before that, under its id.
static void come_back(uv_timer_t *restart)
{
    soak_searcher_t *own = restart->data;
    soak_t *s = own->soak;
    bool is_latest = s->searchers[own->service][own->replica] == own;
    bool is_reborn = is_latest && g_rand_boolean(s->random);
    if (!is_reborn || g_rand_boolean(s->random))
        leave_list(s, own);
    if (is_latest && add_searcher(s, own->service, own->replica, is_reborn ? own->searcher : NULL))
        soak_say(s, "%s has ended, %s comes%s", own->searcher->id,
                 s->searchers[own->service][own->replica]->searcher->id,
                 is_reborn ? ", its next life" : "");
    uv_close((uv_handle_t *)restart, NULL);
}

void soak_write_foreign(soak_t *s)
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
    soak_say(s, "another writer: entry %d at %s", drawn, key);
    g_free(key);
}

void soak_restart_searcher(soak_searcher_t *own)
{
    soak_t *s = own->soak;
    lab_link_end(own->link.link);
    uv_timer_init(&s->loop, &own->restart);
    own->restart.data = own;
    uv_timer_start(&own->restart, come_back,
                   (uint64_t)g_rand_int_range(s->random, RESTART_MIN_MS, RESTART_MAX_MS), 0);
}

void soak_replace_searcher(soak_t *s, unsigned service, unsigned replica)
{
    soak_searcher_t *old = s->searchers[service][replica];
    if (!add_searcher(s, service, replica, NULL))
        return;
    old->drained_us = ts_clock_now_us();
    if (!s->options.is_planted)
        enter_searcher(s, old, true);
    soak_say(s, "%s drains, %s takes its place in service %s", old->searcher->id,
             s->searchers[service][replica]->searcher->id, soak_service_name(service));
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
    if (!s->options.is_planted)
        lab_store_put(s->store, key, "{}");
    soak_say(s, "zone z%u is evacuated", zone);
    g_free(key);
}

void soak_end_evacuation(soak_t *s)
{
    char *key = evacuation_key(s->evacuated_zone);
    for (unsigned i = 0; i < SOAK_SERVICES; i++) {
        for (unsigned j = 0; j < SOAK_REPLICAS; j++) {
            if (j % ZONES + 1 == s->evacuated_zone)
                s->searchers[i][j]->cold_us = ts_clock_now_us();
        }
    }
    lab_store_delete(s->store, key);
    for (unsigned i = 0; i < SOAK_SERVICES; i++) {
        for (unsigned j = 0; j < SOAK_REPLICAS; j++) {
            if (j % ZONES + 1 == s->evacuated_zone)
                enter_searcher(s, s->searchers[i][j], false);
        }
    }
    soak_say(s, "zone z%u is in use again", s->evacuated_zone);
    s->evacuated_zone = 0;
    g_free(key);
}

// -- Configuration

static void append_route(GString *out, const char *name, const char *prefix, bool is_repeatable,
                         const char *target)
{
    g_string_append_printf(out,
                           "%s{\"%s\":\"%s\",\"%s\":\"h.example\",\"%s\":\"%s\",\"%s\":\"%s\","
                           "\"%s\":%u,\"%s\":200,\"%s\":1,\"%s\":2,\"%s\":%s,%s}",
                           out->len > 0 ? "," : "", FIELD_NAME, name, FIELD_HOST, FIELD_PREFIX,
                           prefix, FIELD_KIND, is_repeatable ? WORD_REPEATABLE : "non_idempotent",
                           FIELD_TIMEOUT_MS, ROUTE_TIMEOUT_MS, FIELD_AIM_MS, FIELD_PRIORITY,
                           FIELD_ATTEMPTS, FIELD_OPEN,
                           g_str_has_prefix(prefix, "/v") ? "true" : "false", target);
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

static char *compose_routes(uint64_t version, bool is_planted)
{
    GString *out = g_string_new(NULL);
    unsigned first = soak_first_shard(version);
    char *service = g_strdup_printf("\"%s\":\"%s\"", FIELD_SERVICE,
                                    soak_service_name(soak_forward_service(version)));
    char *shards =
        g_strdup_printf("\"%s\":[\"%s\",\"%s\",\"%s\"],\"%s\":%d,\"%s\":0.6", FIELD_GATHER,
                        soak_service_name(first), soak_service_name(first + 1),
                        soak_service_name(first + 2), FIELD_TOP, SOAK_TOP, FIELD_COVERAGE);
    char *placed =
        g_strdup_printf("%s%s", service, is_planted ? "" : ",\"" FIELD_REGIONS "\":[\"r1\"]");
    char *marker = g_strdup_printf("/v%lu/", (unsigned long)version);
    append_route(out, "forward", "/forward/", true, service);
    append_route(out, "once", "/once/", false, service);
    append_route(out, "all", "/all/", true, shards);
    append_route(out, "placed", "/placed/", true, placed);
    append_route(out, marker, marker, true, service);
    g_free(marker);
    g_free(placed);
    g_free(shards);
    g_free(service);
    return g_string_free(out, FALSE);
}

void soak_configure(soak_t *s)
{
    s->version++;
    s->version_us = ts_clock_now_us();
    char *routes = compose_routes(s->version, s->options.is_planted);
    char *services = compose_services();
    char *tenants = soak_compose_tenants(s->version, s->options.is_planted);
    char *text =
        g_strdup_printf("{\"%s\":%lu,\"%s\":[%s],\"%s\":[%s],\"%s\":[%s],\"%s\":{\"%s\":8192,"
                        "\"%s\":65536,\"%s\":3000,\"%s\":15000}}",
                        FIELD_VERSION, (unsigned long)s->version, FIELD_ROUTES, routes,
                        FIELD_SERVICES, services, FIELD_TENANTS, tenants, FIELD_LIMITS,
                        FIELD_HEAD_BYTES, FIELD_BODY_BYTES, FIELD_HEAD_MS, FIELD_IDLE_MS);
    if (!s->options.is_planted || s->version == 1)
        lab_store_put(s->store, KEY_CONFIG, text);
    soak_say(s, "version %lu", (unsigned long)s->version);
    g_free(text);
    g_free(tenants);
    g_free(services);
    g_free(routes);
}

// -- Gateways

bool soak_in_touch(const soak_node_t *node, ts_time_us_t now_us)
{
    const soak_t *s = node->soak;
    return node->is_running && node->faults == 0 && s->store_faults == 0 && !node->is_stopping &&
           now_us - node->touched_us > CONTACT_US && now_us - s->store_touched_us > CONTACT_US;
}

void soak_touch(soak_node_t *node, int faults)
{
    node->faults = (unsigned)((int)node->faults + faults);
    node->touched_us = ts_clock_now_us();
}

static void node_ended(void *ctx, const lab_child_exit_t *end)
{
    soak_node_t *node = ctx;
    soak_t *s = node->soak;
    ts_time_us_t now_us = ts_clock_now_us();
    unsigned long late_ms = (unsigned long)((now_us - end->ended_us) / TS_US_PER_MS);
    node->process = NULL;
    node->is_running = false;
    node->touched_us = now_us;
    soak_say(s, "%s ended: status %d, signal %d, noticed after %lu ms", node->name, end->status,
             end->signal, late_ms);
    if (!node->ends_on_purpose)
        soak_broken(s, "ENDED", "%s ended by itself: status %d, signal %d", node->name, end->status,
                    end->signal);
    ts_time_us_t stop_us = end->ended_us - node->term_us;
    bool is_right = end->status == 0 && end->signal == 0 && stop_us <= GRACE_MS * TS_US_PER_MS;
    if (node->is_stopping && !is_right)
        soak_broken(s, "STOP", "%s stopped with status %d, signal %d after %lu ms", node->name,
                    end->status, end->signal, (unsigned long)(stop_us / TS_US_PER_MS));
    if (node->starts_again)
        (void)soak_node_start(node);
}

static void write_settings(const soak_node_t *node)
{
    const soak_t *s = node->soak;
    GString *seeds = g_string_new(NULL);
    for (unsigned i = 0; i < MIN(s->options.nodes, 3); i++)
        g_string_append_printf(seeds, "%s'%s'", i > 0 ? ", " : "", s->nodes[i].peers.address);
    char *text = g_strdup_printf(
        "name: %s\nzone: %s\ndialect: platform\ncallers: %s:%u\nready: %s:%u\npeers: %s:%u\n"
        "advertised: %s\nseeds: [%s]\nstore: %s\n"
        "zones: [{zone: z1, region: r1}, {zone: z2, region: r2}]\n"
        "drain_ms: %d\ngrace_ms: %d\nretry_ratio: %.1f\nretry_slack: %d\n"
        "warmup_overrun: %.1f\nwarmup_slack: %d\n" SOAK_QUOTA_SETTINGS
        "log_format: json\nlog_level: info\n%s",
        node->name, node->zone, node->ip, node->callers_port, node->ip, node->ready_port, node->ip,
        node->peers_port, node->peers.address, seeds->str, node->store.address, DRAIN_MS, GRACE_MS,
        RETRY_RATIO, RETRY_SLACK, WARMUP_OVERRUN, WARMUP_SLACK,
        s->options.is_planted ? "without: [quarantine]\n" : "");
    g_file_set_contents(node->settings_path, text, -1, NULL);
    g_free(text);
    g_string_free(seeds, TRUE);
}

// The writing end of a pipe that nobody reads; the other end stays open.
static int open_stalled(void)
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0)
        return -1;
    (void)fcntl(ends[1], F_SETPIPE_SZ, STALLED_BYTES);
    return ends[1];
}

bool soak_node_start(soak_node_t *node)
{
    const soak_options_t *options = &node->soak->options;
    node->starts_again = node->process != NULL;
    if (node->starts_again)
        return true; // it was killed a moment ago
    bool is_skewed = node->clock_skew_ms != 0 && options->skewed_program != NULL;
    char *program = (char *)(is_skewed ? options->skewed_program : options->program);
    char *arguments[] = {program, "gateway", "-s", node->settings_path, NULL};
    char skew[48];
    g_snprintf(skew, sizeof(skew), "LAB_CLOCK_SKEW_MS=%d", node->clock_skew_ms);
    char *environment[] = {skew, NULL};
    int log = options->is_log_stalled
                  ? open_stalled()
                  : open(node->log_path, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    node->process =
        lab_child_start(&node->soak->loop, arguments, environment, log, node_ended, node);
    close(log);
    node->is_running = node->process != NULL;
    node->is_paused = false;
    node->is_stopping = false;
    node->ends_on_purpose = false;
    node->version_seen = 0;
    node->life++;
    node->touched_us = ts_clock_now_us();
    soak_say(node->soak, "%s starts, life %u, skew %d ms", node->name, node->life,
             node->clock_skew_ms);
    return node->is_running;
}

void soak_node_signal(soak_node_t *node, int number)
{
    if (!node->is_running)
        return;
    soak_say(node->soak, "%s gets signal %d", node->name, number);
    node->ends_on_purpose |= number == SIGKILL || number == SIGTERM;
    if (number == SIGTERM) {
        node->is_stopping = true;
        node->term_us = ts_clock_now_us();
    }
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
    return open_link(s, &node->store, "127.0.0.1", s->store_port) &&
           open_link(s, &node->peers, node->ip, node->peers_port);
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
        s->budgets[i].extras = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
        for (unsigned j = 0; j < SOAK_REPLICAS && is_open; j++)
            is_open = add_searcher(s, i, j, NULL);
    }
    for (unsigned i = 0; i < s->options.nodes && is_open; i++)
        is_open = open_node(s, i);
    soak_configure(s);
    for (unsigned i = 0; i < s->options.nodes && is_open; i++) {
        write_settings(&s->nodes[i]);
        is_open = soak_node_start(&s->nodes[i]);
    }
    return is_open;
}
