/**
 * The soak: real gateway processes between stand-ins, under random faults, with the promises of the
 * platform's pages checked from what callers and back ends see. Types shared by its modules:
 *
 *   soak.c          the command: sets up, runs, judges, reports
 *   soak_world.c    links, searchers, configuration, gateway processes
 *   soak_faults.c   which faults there are, when they begin and end
 *   soak_caller.c   callers' requests and what is found in their answers
 *   soak_tenants.c  tenants: their keys and limits, and what becomes of them
 *   soak_crashes.c  requests that end the searchers that run them, and searchers that end so
 *   soak_restore.c  a store that comes back from an older copy, and what is written again
 *   soak_check.c    pure checks of answers and budgets
 */
#ifndef LAB_SOAK_H
#define LAB_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <uv.h>

#include "child.h"
#include "link.h"
#include "soak_check.h"
#include "standin_searcher.h"
#include "standin_store.h"
#include "tealspar/clock.h"

#define SOAK_NODES_MAX 8
#define SOAK_SERVICES 8
// Replicas of each service, and shards in each of the two sets that a configuration may name.
#define SOAK_REPLICAS 2
#define SOAK_SHARDS 3

typedef struct soak soak_t;

// A link with the behaviour that is in force.
typedef struct soak_link {
    lab_link_t *link;
    lab_link_mode_t mode;
    double delay_ms;
    char *address;           // where the link listens, "IP:port"
    ts_time_us_t changed_us; // when its behaviour last changed
} soak_link_t;

// A searcher behind its link.
typedef struct soak_searcher {
    soak_t *soak;
    lab_searcher_t *standin;
    soak_link_t link;
    unsigned service;
    unsigned replica;
    ts_time_us_t draining_since_us; // when the store took that it drains; 0: it does not
    ts_time_us_t cold_since_us;     // since when it is cold; 0: it never was
    GArray *arrivals;               // of ts_time_us_t, while it is cold
    uv_timer_t restart_timer;       // once it has ended
    bool is_faulty;
} soak_searcher_t;

typedef struct soak_node {
    soak_t *soak;
    char *name;
    char *zone;
    char *ip;
    char *settings_path;
    char *log_path;
    unsigned callers_port;
    unsigned ready_port;
    unsigned peers_port;
    soak_link_t store;
    soak_link_t peers;
    lab_child_t *process; // while it runs
    bool is_running;
    bool is_paused;
    bool restarts_on_exit;         // as soon as its end is noticed
    bool is_stopping;              // SIGTERM was sent
    bool is_exit_expected;         // it was told to end, or killed
    int clock_skew_ms;             // of the next start
    unsigned incarnation;          // starts so far
    unsigned active_faults;        // in force at present
    ts_time_us_t fault_changed_us; // when a fault last began or ended
    ts_time_us_t sigterm_us;
    uint64_t version_seen; // newest configuration seen at work in this life
} soak_node_t;

// A request that ends each searcher that runs it, and comes again.
typedef struct soak_fatal_request {
    unsigned number;
    char target[32];
    unsigned attempts;
    unsigned crashes;            // searchers, so far
    ts_time_us_t third_crash_us; // when the third ended; 0: not yet
    unsigned late_arrivals;      // arrivals from gateways in touch, later than contactMs after that
    bool is_finished;            // it comes no more
} soak_fatal_request_t;

// What is known of a request id.
typedef struct soak_request_record {
    soak_node_t *node;
    unsigned runs; // at searchers
    bool is_repeatable;
    bool was_refused;  // its caller was told that it has not run and never will
    int tenant;        // whose key it showed; -1: none was needed
    uint64_t version;  // newest when it was sent
    bool has_old_key;  // a newer version has taken it away
    bool is_key_due;   // a gateway in touch must know it
    bool is_revoked;   // that key had been taken away for long enough when it was sent
    bool is_placed;    // it may be served in the first region only
    uint64_t services; // bit set of the services that it has reached
    soak_fatal_request_t *fatal_request; // NULL: it ends nothing
} soak_request_record_t;

typedef struct soak_options {
    unsigned seconds;
    uint64_t seed;
    unsigned nodes;
    const char *program;
    const char *skewed_program; // the same with a time of day that is off; NULL: none
    const char *directory;
    bool is_calm;        // no faults
    bool is_log_stalled; // gateways write their lines into pipes that nobody reads
    // Drains, versions, evacuations, placements and cold starts are not told, retries count as
    // doubled runs, requests that end searchers are not held: the checks must see.
    bool is_planted;
} soak_options_t;

struct soak {
    uv_loop_t loop;
    soak_options_t options;
    GRand *random;
    FILE *timeline;
    ts_time_us_t started_us;
    lab_store_t *store;
    unsigned store_port;
    unsigned store_faults;
    ts_time_us_t store_fault_changed_us;
    unsigned last_store_calls; // up to the last look at their number
    soak_node_t nodes[SOAK_NODES_MAX];
    soak_searcher_t *searchers[SOAK_SERVICES][SOAK_REPLICAS];
    unsigned searchers_made;
    unsigned evacuated_zone;         // from 1 on; 0: none
    ts_time_us_t evacuated_us;       // when the store took that
    uint64_t version;                // newest configuration
    ts_time_us_t version_written_us; // when the store took it
    GHashTable *instances;           // instance id -> name of its service
    GHashTable *request_records;     // request id -> soak_record_t
    soak_budget_log_t budgets[SOAK_SERVICES];
    unsigned requests_sent;
    unsigned responses[6];               // by hundreds of the status; 0: no answer
    GArray *latencies;                   // of ts_time_us_t, of requests answered with success
    soak_fatal_request_t *fatal_request; // that comes now; NULL: none
    unsigned fatal_requests;             // so far
    unsigned max_crashes_per_fatal;      // searchers, at the most under one of them
    GArray *limited_runs;                // of ts_time_us_t: requests of the limited tenant that ran
    unsigned violations;
    GHashTable *violations_by_guarantee; // name of a promise -> count
    unsigned requests_in_flight;
    unsigned faults_begun;
    bool is_draining; // no new faults or requests
};

// -- soak.c
/** Says and counts that a promise was broken. */
void soak_report_violation(soak_t *s, const char *promise, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** One line of the timeline. */
void soak_log(soak_t *s, const char *format, ...) __attribute__((format(printf, 2, 3)));

// -- soak_world.c
bool soak_world_open(soak_t *s);
bool soak_node_start(soak_node_t *node);
void soak_node_signal(soak_node_t *node, int number);
/** A new configuration: other shards, other services, other marker routes. */
void soak_configure(soak_t *s);
/** Another writer puts an entry among those of the searchers that names none. */
void soak_write_foreign_entry(soak_t *s);
/**
 * The searcher has ended. After a while its entry goes and another comes, or it is back under its
 * id as its next life; at a new address either way.
 */
void soak_restart_searcher(soak_searcher_t *searcher);
/** The searcher drains; another takes its place, at a new address. */
void soak_replace_searcher(soak_t *s, unsigned service, unsigned replica);
/** The operator empties a zone of searchers (from 1 on), or takes that back; they are cold then. */
void soak_evacuate(soak_t *s, unsigned zone);
void soak_end_evacuation(soak_t *s);
void soak_set_link_mode(soak_link_t *link, lab_link_mode_t mode, double delay_ms);
/**
 * Whether the node and the store were free of faults for the platform's `contactMs` before now,
 * so that promises with a bound in time hold there.
 */
bool soak_is_fault_free(const soak_node_t *node, ts_time_us_t now_us);
/** A fault of the node or of its links begins or ends. */
void soak_count_node_fault(soak_node_t *node, int faults);
/** Name of a service: "a" and so on. */
const char *soak_service_name(unsigned service);
/** Services that version `version` gathers over, SOAK_SHARDS from the first on. */
unsigned soak_first_shard(uint64_t version);
/** The service that forwarded requests go to. */
unsigned soak_forward_service(uint64_t version);

// -- soak_crashes.c
/** Text in the target of a request that ends searchers. */
#define SOAK_FATAL_TEXT "fatal"
/** A fatal request begins to come, until it is ended; false: one comes already. */
bool soak_begin_fatal_request(soak_t *s);
void soak_end_fatal_request(soak_t *s);
/** A searcher has ended under a request, or (NULL) by itself. */
void soak_handle_crash(soak_searcher_t *searcher, const char *request_id);
/** A request has come to a searcher: whether it ought not to have been sent any more. */
void soak_check_fatal_arrival(soak_t *s, const soak_request_record_t *record,
                              const char *request_id);

// -- soak_tenants.c
/** Limits over all gateways, in each window of 5 s: a quarter more, and five requests. */
#define SOAK_QUOTA_SETTINGS "quota_window_ms: 5000\nquota_overrun: 0.25\nquota_slack: 5\n"
/** The tenants of a version of the configuration, as JSON; g_free. */
char *soak_compose_tenants(uint64_t version, bool is_planted);
/** Draws whose key a request shows; notes it, and returns the header fields; g_free. */
char *soak_choose_credentials(soak_t *s, soak_request_record_t *record, bool is_open,
                              bool must_pass);
/** A searcher has got a request: what it is shown of tenant and key. */
void soak_check_tenant(soak_t *s, const lab_searcher_t *standin, const ts_http_message_t *request);
/** A request has come to a searcher; `is_first`: it runs for the first time. */
void soak_record_run(soak_t *s, const soak_request_record_t *record, bool is_first);
/** A request was answered with 401 or 429. */
void soak_check_rejection(soak_t *s, const soak_request_record_t *record, const char *id,
                          const ts_http_message_t *answer, bool was_fault_free);
/** Whether the limited tenant ran more than it may in some window, over all gateways. */
void soak_check_quota(soak_t *s);

// -- soak_restore.c
/** A copy of the store is taken, to which it will return; false: something else ails it. */
bool soak_begin_restore(soak_t *s);
/** The store goes away, and comes back from the copy a while later. */
void soak_end_restore(soak_t *s);
/** Checks each second that the gateways do not ask the store without pause. */
void soak_watch_store_calls(soak_t *s);

// -- soak_faults.c
/** A fault of the store begins or ends. */
void soak_count_store_fault(soak_t *s, int faults);
/** Begins faults at random times until the soak drains; ends them all then. */
void soak_faults_start(soak_t *s);

// -- soak_caller.c
/** Sends requests at random until the soak drains. */
void soak_callers_start(soak_t *s);
/** A request, now; `on_done` (may be NULL) is told its status, 0 without an answer. */
typedef void (*soak_done_t)(soak_t *s, unsigned status);
void soak_send_request(soak_t *s, soak_node_t *node, soak_done_t on_done);
/** One try of a fatal request. */
void soak_send_fatal_request(soak_t *s, soak_node_t *node, soak_fatal_request_t *fatal);
/** Whether callers still send to the gateway. */
bool soak_accepts_requests(const soak_node_t *node);

#endif
