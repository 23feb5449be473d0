/**
 * Soak test: runs real gateway processes between fake searchers and a fake store under random
 * faults, and checks the platform's guarantees from what callers and backends observe. Types shared
 * by its modules:
 *
 *   soak.c          the command: set-up, run, final checks, report
 *   soak_world.c    links, searchers, configuration, gateway processes
 *   soak_faults.c   kinds of faults and their schedule
 *   soak_caller.c   callers' requests and the checks of their responses
 *   soak_kept.c      clients that keep their connections, also while a gateway stops
 *   soak_tenants.c  tenants: keys, quotas, and the checks of authentication and quota
 *   soak_crashes.c  requests that crash searchers, and searchers that crash by themselves
 *   soak_restore.c  restore of the store from an older copy, rewrite of lost entries
 *   soak_check.c    pure checks of responses and budgets
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
#define SOAK_REPLICAS 2 // per service
// Services that a gather route sends to; versions alternate between two such sets of services.
#define SOAK_SHARDS 3

typedef struct soak soak_t;

// A proxied link and its current mode.
typedef struct soak_link {
    lab_link_t *link;
    lab_link_mode_t mode;
    double delay_ms;
    char *address;           // where the link listens, "IP:port"
    ts_time_us_t changed_us; // last change of mode or delay
} soak_link_t;

// A fake searcher and the link through which gateways reach it.
typedef struct soak_searcher {
    soak_t *soak;
    lab_searcher_t *fake;
    soak_link_t link;
    unsigned service;
    unsigned replica;
    ts_time_us_t draining_since_us; // when its entry was set to draining; 0: not draining
    ts_time_us_t cold_since_us;     // start of its latest warm-up; 0: no warm-up so far
    GArray *arrivals;         // ts_time_us_t[]: requests during warm-up with an undisturbed link
    uv_timer_t restart_timer; // runs after a crash
    bool has_fault;           // a fault of its behaviour or its delay is in effect
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
    soak_link_t store_link;
    soak_link_t peers_link;
    lab_child_t *process; // NULL: not running
    bool is_running;
    bool is_paused;
    bool restarts_on_exit;         // restart as soon as the exit is noticed
    bool is_stopping;              // SIGTERM was sent
    bool is_exit_expected;         // SIGTERM or SIGKILL was sent
    int clock_skew_ms;             // applied at the next start
    unsigned incarnation;          // number of starts
    unsigned active_faults;        // faults in effect on the node or its links
    ts_time_us_t fault_changed_us; // last start or end of a fault or of the process
    ts_time_us_t sigterm_us;
    ts_time_us_t exited_us;  // last end of the process
    uv_timer_t resume_timer; // runs while the node is suspended during its stop
    uint64_t version_seen;   // newest configuration that responses of this incarnation have shown
} soak_node_t;

// A request that crashes each searcher that runs it, and that callers send repeatedly.
typedef struct soak_fatal_request {
    unsigned number;
    char target[32];
    unsigned attempts;
    unsigned crashes;            // searchers crashed by it
    ts_time_us_t third_crash_us; // start of the count of late_arrivals; 0: not yet
    unsigned late_arrivals; // from fault-free gateways, more than contactMs after the third crash
    bool is_finished;       // callers no longer send it
} soak_fatal_request_t;

// What the checks know about a request id.
typedef struct soak_request_record {
    soak_node_t *node;
    unsigned runs; // number of times that searchers ran it
    bool is_repeatable;
    bool was_refused;          // the response stated that it has not run and never will
    int tenant;                // the tenant whose key it carried; -1: none was needed
    uint64_t version;          // newest configuration when it was sent; 0: sent without a key
    bool has_old_key;          // its key was revoked by a newer configuration version
    bool must_accept_key;      // its key had been in the configuration long enough when it was sent
    bool is_revoked;           // its key had been revoked long enough when it was sent
    bool is_region_restricted; // it may run in the first region only
    uint64_t services;         // bit set of the services that have received it
    soak_fatal_request_t *fatal_request; // NULL: it crashes nothing
} soak_request_record_t;

typedef struct soak_options {
    unsigned seconds;
    uint64_t seed;
    unsigned nodes;
    const char *program;
    const char *skewed_program; // build of `program` with a skewed wall clock; NULL: none
    const char *directory;
    bool without_faults;
    bool is_log_stalled; // gateways log into pipes that are never read
    // Simulates bugs that the checks must detect. Drains, configuration versions after the first,
    // evacuations, region restrictions, quotas and warm-ups are left out of the store, one tenant
    // gets a wrong name, and the gateways' quarantine is disabled. In addition, the checks treat
    // all requests as unrepeatable.
    bool simulates_bugs;
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
    unsigned last_store_calls; // lab_store_call_count at the last check
    soak_node_t nodes[SOAK_NODES_MAX];
    soak_searcher_t *searchers[SOAK_SERVICES][SOAK_REPLICAS];
    unsigned searchers_created;
    unsigned evacuated_zone;         // zone number from 1; 0: none
    ts_time_us_t evacuated_us;       // when it was written to the store
    uint64_t version;                // newest configuration
    ts_time_us_t version_written_us; // when `version` was written to the store
    GHashTable *instances;           // instance id -> service name
    GHashTable *request_records;     // request id -> soak_request_record_t
    soak_budget_log_t budgets[SOAK_SERVICES];
    unsigned requests_sent;
    unsigned responses[6];               // by status / 100; 0: no response
    GArray *latencies;                   // ts_time_us_t[]: requests with status 200
    soak_fatal_request_t *fatal_request; // being sent at present; NULL: none
    unsigned fatal_requests;             // number of fatal requests started
    unsigned max_crashes_per_fatal;      // most searchers crashed by one fatal request
    GArray *limited_runs; // ts_time_us_t[]: first runs of requests of the limited tenant
    unsigned violations;
    GHashTable *violations_by_guarantee; // guarantee -> number of violations
    unsigned kept_requests;              // of clients that keep their connections
    unsigned kept_responses[6];          // by status / 100; 0: no response
    unsigned requests_in_flight;
    unsigned faults_begun;
    bool is_load_ended; // no new faults or random requests; only those of the recovery check
};

// -- soak.c
/** Logs and counts a violation of a guarantee, given by its code such as "DRAIN". */
void soak_report_violation(soak_t *s, const char *guarantee, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** Writes a line to the timeline. */
void soak_log(soak_t *s, const char *format, ...) __attribute__((format(printf, 2, 3)));

// -- soak_world.c
bool soak_world_open(soak_t *s);
bool soak_node_start(soak_node_t *node);
void soak_node_signal(soak_node_t *node, int number);
/** Sends a signal to a node that is stopping; the end of its stop is still measured from SIGTERM.
 */
void soak_node_repeat_signal(soak_node_t *node, int number);
/**
 * Publishes the next configuration version. The shards of the gather route and the service of the
 * forwarding routes depend on the version. Each version also has a marker route of its own, "/vN/",
 * which shows callers that it is in effect.
 */
void soak_publish_configuration(soak_t *s);
/** Writes an invalid entry among the searchers' entries, as another writer would. */
void soak_write_foreign_entry(soak_t *s);
/**
 * Called when a searcher has crashed. After a delay its entry is deleted and a new searcher
 * replaces it, or it returns under its id as its next incarnation, possibly while its old entry
 * still exists; in both cases at a new address. A searcher that was already replaced only loses its
 * entry.
 */
void soak_restart_searcher(soak_searcher_t *searcher);
/** Drains a searcher and adds another in its place, at a new address. */
void soak_replace_searcher(soak_t *s, unsigned service, unsigned replica);
/** Evacuates a zone, numbered from 1. */
void soak_evacuate(soak_t *s, unsigned zone);
/** Ends the evacuation; the zone's searchers start a warm-up. */
void soak_end_evacuation(soak_t *s);
void soak_set_link_mode(soak_link_t *link, lab_link_mode_t mode, double delay_ms);
/**
 * Whether the node runs, is not stopping, and the node and the store have been free of faults for
 * the platform's `contactMs` (5 s). Only then guarantees with a time limit apply to the node.
 */
bool soak_node_is_fault_free(const soak_node_t *node, ts_time_us_t now_us);
/** The same for a node that may be stopping, as a planned stop is not a fault. */
bool soak_node_is_undisturbed(const soak_node_t *node, ts_time_us_t now_us);
/** Whether no fault of the node or the store has begun or ended since; a planned exit is none. */
bool soak_node_is_undisturbed_since(const soak_node_t *node, ts_time_us_t since_us);
/**
 * Adds `faults` to the node's active faults and records the time of the change; 0: a momentary
 * fault.
 */
void soak_node_count_fault(soak_node_t *node, int faults);
/** Service names: "a", "b", ... */
const char *soak_service_name(unsigned service);
/** First of the SOAK_SHARDS consecutive services that a configuration version gathers from. */
unsigned soak_first_shard(uint64_t version);
/** The service that forwarding routes of a configuration version use. */
unsigned soak_forward_service(uint64_t version);

// -- soak_crashes.c
/** Text in the target of requests that crash searchers. */
#define SOAK_FATAL_TEXT "fatal"
/** Starts sending a new fatal request repeatedly; false: one is being sent already. */
bool soak_begin_fatal_request(soak_t *s);
void soak_end_fatal_request(soak_t *s);
/** Called when a searcher has crashed while it ran a request, or (NULL) by itself. */
void soak_handle_crash(soak_searcher_t *searcher, const char *request_id);
/**
 * Checks that a request which a searcher has received was not a fatal one that the gateways should
 * have quarantined.
 */
void soak_check_fatal_arrival(soak_t *s, const soak_request_record_t *record,
                              const char *request_id);

// -- soak_kept.c
/** Text before the response time in milliseconds in a target: a searcher takes so long for it. */
#define SOAK_TIMED_TEXT "takes-"
/** The response time that a target demands; 0: none. */
unsigned soak_response_delay_ms(const char *target);
/** Starts the clients, which go on until the end of the soak. */
void soak_kept_clients_start(soak_t *s);

// -- soak_tenants.c
/**
 * All gateways together may exceed rate x window + burst of a quota by a quarter plus five requests
 * in any window of 5 s.
 */
#define SOAK_QUOTA_SETTINGS "quota_window_ms: 5000\nquota_overrun: 0.25\nquota_slack: 5\n"
/** Composes the tenants of a configuration version as JSON; caller frees with g_free. */
char *soak_compose_tenants(uint64_t version, bool simulates_bugs);
/**
 * Chooses a tenant and a key at random, stores them in `record` and returns the header fields,
 * which include a forged tenant; caller frees with g_free. `without_key`: no tenant and no key;
 * `must_be_accepted`: the tenant with no quota and a constant key.
 */
char *soak_choose_credentials(soak_t *s, soak_request_record_t *record, bool without_key,
                              bool must_be_accepted);
/**
 * Checks that a received request names the right tenant, no longer carries the key, and that the
 * key was not revoked.
 */
void soak_check_tenant(soak_t *s, const lab_searcher_t *fake, const ts_http_message_t *request);
/**
 * Records a request of the limited tenant that runs for the first time (`is_first`); ignores
 * others.
 */
void soak_record_limited_run(soak_t *s, const soak_request_record_t *record, bool is_first);
/**
 * Checks that a response with status 401 or 429 was justified and that a 429 has a Retry-After
 * field. `was_fault_free`: the gateway was, from the sending of the request until now.
 */
void soak_check_rejection(soak_t *s, const soak_request_record_t *record, const char *id,
                          const ts_http_message_t *response, bool was_fault_free);
/**
 * Checks that in every window the gateways together ran no more requests of the limited tenant than
 * its quota and the tolerance allow.
 */
void soak_check_quota(soak_t *s);

// -- soak_restore.c
/** Copies the store's state for a later restore; false: another store fault is in effect. */
bool soak_prepare_restore(soak_t *s);
/** Makes the store fail or stay silent; restores it from the copy after a random time. */
void soak_restore_after_outage(soak_t *s);
/** Checks each second that the gateways do not call the store in a busy loop. */
void soak_watch_store_calls(soak_t *s);

// -- soak_faults.c
/** Adds `faults` to the active faults of the store and records the time of the change. */
void soak_count_store_fault(soak_t *s, int faults);
/** Begins faults at random times until is_load_ended; each ends after its own duration. */
void soak_faults_start(soak_t *s);

// -- soak_caller.c
/** Sends requests to random gateways until is_load_ended. */
void soak_callers_start(soak_t *s);
/** Called with the status of a response, 0 if there was none. */
typedef void (*soak_done_t)(soak_t *s, unsigned status);
/**
 * Sends a request. `on_done` NULL: on a random route; else on the gather route, as the tenant
 * without a quota.
 */
void soak_send_request(soak_t *s, soak_node_t *node, soak_done_t on_done);
/** Sends a fatal request once. */
void soak_send_fatal_request(soak_t *s, soak_node_t *node, soak_fatal_request_t *fatal);
/**
 * Whether callers still send to the gateway: it runs, and SIGTERM was sent less than
 * REQUESTS_AFTER_SIGTERM_US ago if at all.
 */
bool soak_node_accepts_requests(const soak_node_t *node);

#endif
