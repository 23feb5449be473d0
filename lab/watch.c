/** Monitoring of the nodes of a fleet. */
#include "watch.h"

#include <jansson.h>
#include <string.h>

#include "tealspar/http_client.h"

#define POLL_PERIOD_MS 100
#define US_PER_MS_DOUBLE 1000.0

/* First status reply of a node with a certain configuration version. */
typedef struct sighting {
    uint64_t version;
    ts_time_us_t at_us;
} sighting_t;

typedef struct watched_node {
    lab_watch_t *watch;
    lab_node_t *node;
    ts_http_pool_t *pool;
    bool is_in_flight; /* a status request is in flight */
    bool has_replied;  /* to the last status request; reset by lab_watch_discard_replies */
    bool is_ready;
    size_t live_members;
    uint64_t highest_version; /* of the configurations reported */
    GArray *sightings;        /* of sighting_t, ascending by version */
    ts_time_us_t up_since_us; /* first reply since the last failed request; 0: the last failed */
    ts_time_us_t replied_us;  /* time of the last reply */
} watched_node_t;

struct lab_watch {
    lab_fleet_t *fleet;
    GPtrArray *nodes;
    uv_timer_t timer;
    unsigned reverted_count; /* status replies with a lower version than reported before */
};

static void record_version(watched_node_t *watched, uint64_t version)
{
    if (version == 0) {
        return; /* restarted, no configuration in effect yet */
    }
    if (version < watched->highest_version) {
        watched->watch->reverted_count++;
    } else if (version > watched->highest_version) {
        sighting_t sighting = {version, ts_clock_now_us()};
        watched->highest_version = version;
        g_array_append_val(watched->sightings, sighting);
    }
}

static size_t count_live(const json_t *status)
{
    size_t index = 0;
    size_t live = 0;
    const json_t *row = NULL;
    json_array_foreach(json_object_get(status, "members"), index, row)
    {
        const char *state = json_string_value(json_object_get(row, "state"));
        live += state != NULL && strcmp(state, "live") == 0;
    }
    return live;
}

static void handle_status(void *context, const ts_http_result_t *result)
{
    watched_node_t *watched = context;
    ts_time_us_t now_us = ts_clock_now_us();
    watched->is_in_flight = false;
    if (result->error != TS_OK || result->status != 200) {
        watched->is_ready = false;
        watched->has_replied = false;
        watched->up_since_us = 0;
        return;
    }
    json_t *status = json_loadb(result->body, result->body_length, 0, NULL);
    const json_t *configuration = json_object_get(status, "configuration");
    record_version(watched,
                   (uint64_t)json_integer_value(json_object_get(configuration, "version")));
    watched->is_ready = json_is_true(json_object_get(status, "ready"));
    watched->live_members = count_live(status);
    watched->up_since_us = watched->up_since_us == 0 ? now_us : watched->up_since_us;
    watched->replied_us = now_us;
    watched->has_replied = true;
    json_decref(status);
}

static void poll_statuses(uv_timer_t *timer)
{
    lab_watch_t *watch = timer->data;
    for (guint i = 0; i < watch->nodes->len; i++) {
        watched_node_t *watched = g_ptr_array_index(watch->nodes, i);
        if (!watched->is_in_flight) {
            ts_http_client_request_t send = {"GET", "/status", NULL, NULL, 0};
            watched->is_in_flight = true;
            ts_http_call(watched->pool, &send, handle_status, watched);
        }
    }
}

lab_watch_t *lab_watch_start(lab_fleet_t *fleet)
{
    lab_watch_t *watch = g_new0(lab_watch_t, 1);
    watch->fleet = fleet;
    watch->nodes = g_ptr_array_new();
    for (guint i = 0; i < fleet->nodes->len; i++) {
        watched_node_t *watched = g_new0(watched_node_t, 1);
        watched->watch = watch;
        watched->node = g_ptr_array_index(fleet->nodes, i);
        watched->sightings = g_array_new(FALSE, FALSE, sizeof(sighting_t));
        ts_http_pool_open(&watched->pool, fleet->loop, watched->node->operators, 2);
        g_ptr_array_add(watch->nodes, watched);
    }
    uv_timer_init(fleet->loop, &watch->timer);
    watch->timer.data = watch;
    uv_timer_start(&watch->timer, poll_statuses, 0, POLL_PERIOD_MS);
    return watch;
}

void lab_watch_stop(lab_watch_t *watch)
{
    uv_close((uv_handle_t *)&watch->timer, NULL);
}

bool lab_watch_all_ready(void *context)
{
    const lab_watch_t *watch = context;
    for (guint i = 0; i < watch->nodes->len; i++) {
        const watched_node_t *watched = g_ptr_array_index(watch->nodes, i);
        if (!watched->is_ready || watched->live_members < watch->nodes->len) {
            return false;
        }
    }
    return true;
}

void lab_watch_discard_replies(lab_watch_t *watch)
{
    for (guint i = 0; i < watch->nodes->len; i++)
        ((watched_node_t *)g_ptr_array_index(watch->nodes, i))->has_replied = false;
}

bool lab_watch_all_responsive(void *context)
{
    const lab_watch_t *watch = context;
    for (guint i = 0; i < watch->nodes->len; i++) {
        const watched_node_t *watched = g_ptr_array_index(watch->nodes, i);
        if (watched->node->process.is_running && !watched->has_replied) {
            return false;
        }
    }
    return true;
}

unsigned lab_watch_count_reverted(const lab_watch_t *watch)
{
    return watch->reverted_count;
}

/* Time at which a node first reported this version or a higher one; 0: never. */
static ts_time_us_t first_sighting(const watched_node_t *watched, uint64_t version)
{
    for (guint i = 0; i < watched->sightings->len; i++) {
        const sighting_t *sighting = &g_array_index(watched->sightings, sighting_t, i);
        if (sighting->version >= version) {
            return sighting->at_us;
        }
    }
    return 0;
}

double lab_watch_propagation_ms(const lab_watch_t *watch, const lab_fault_log_t *log,
                                double bound_ms, unsigned *late)
{
    double longest_ms = 0;
    *late = 0;
    for (guint p = 0; p < log->published->len; p++) {
        const lab_published_t *published = &g_array_index(log->published, lab_published_t, p);
        for (guint i = 0; i < watch->nodes->len; i++) {
            const watched_node_t *watched = g_ptr_array_index(watch->nodes, i);
            if (watched->up_since_us == 0 || watched->up_since_us > published->at_us) {
                continue; /* down at some time since the publication */
            }
            ts_time_us_t seen_us = first_sighting(watched, published->version);
            ts_time_us_t until_us = seen_us == 0 ? watched->replied_us : seen_us;
            double span_ms = until_us <= published->at_us
                                 ? 0
                                 : (double)(until_us - published->at_us) / US_PER_MS_DOUBLE;
            longest_ms = MAX(longest_ms, span_ms);
            *late += span_ms > bound_ms;
        }
    }
    return longest_ms;
}
