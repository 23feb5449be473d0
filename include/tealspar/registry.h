/**
 * The registry of backends, grouped by service, with this node's estimates of their load and
 * health. An instance is one incarnation of a searcher, identified by the searcher's id and its
 * start time. A searcher that restarts under the same id has lost its state, and addresses are
 * reused as well; therefore each incarnation has an instance of its own, so that statistics,
 * connections and requests in progress are never attributed to another one. The registry owns the
 * instances. One that discovery no longer lists, or that was replaced by a newer incarnation, is
 * kept until nothing refers to it.
 */
#ifndef TEALSPAR_REGISTRY_H
#define TEALSPAR_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "tealspar/clock.h"
#include "tealspar/cold_share.h"
#include "tealspar/error.h"
#include "tealspar/evidence.h"
#include "tealspar/reported_load.h"
#include "tealspar/retry_budget.h"
#include "tealspar/rtt.h"

/** Identifies an instance, that is one incarnation of a searcher; also used between nodes. */
typedef struct ts_instance_key {
    const char *id;   /**< of the searcher, the same for all its incarnations */
    uint64_t born_ms; /**< Unix start time by the searcher's own clock; 0: not reported */
} ts_instance_key_t;

/** An instance as reported by discovery. */
typedef struct ts_instance_record {
    char *id;
    uint64_t born_ms; /**< as in ts_instance_key_t */
    char *service;
    char *address; /**< "IP:port" */
    char *zone;
    uint32_t slots; /**< requests it processes concurrently; 0: not reported */
    bool is_draining;
    uint32_t warmup_left_ms; /**< remaining warm-up time after its start */
    ts_time_us_t left_us;    /**< if draining: earliest time at which it may have begun to */
} ts_instance_record_t;

void ts_instance_record_clear(ts_instance_record_t *record);

typedef struct ts_service ts_service_t;
typedef struct ts_registry ts_registry_t;

typedef struct ts_instance {
    char *id; /**< of the searcher; not unique to this incarnation */
    uint64_t born_ms;
    ts_service_t *service; /**< owned by the registry, lives as long */
    struct sockaddr_storage address;
    char *zone;
    const char *region; /**< of its zone, interned; NULL: not in the settings */
    ts_distance_t distance;
    ts_rtt_t *rtt; /**< round-trip time to its zone; owned by the registry */
    uint32_t slots;
    bool is_evacuated; /**< its zone is being evacuated: no requests are sent to it */
    bool is_draining;
    bool is_listed;       /**< currently listed by discovery */
    ts_time_us_t left_us; /**< earliest time at which it may have left (drained or been delisted) */
    ts_time_us_t warm_at_us; /**< end of its warm-up; it is slow until then */
    ts_cold_window_t cold;   /**< this node's recent sends, if its service limits cold instances */
    ts_time_us_t cold_at_us; /**< when this node's share in `cold` was last computed */
    /* Measured by this node. */
    uint32_t references;           /**< holders of a pointer to it, such as requests */
    uint32_t in_flight;            /**< requests of this node that it is processing */
    ts_time_us_t progress_us;      /**< its last answer, or when it was last sent one while idle */
    double limit;                  /**< learned limit of `in_flight`; 0: none learned yet */
    ts_time_us_t limit_lowered_us; /**< when `limit` was last lowered */
    ts_time_us_t normal_answer_us; /**< when it last answered in normal time; 0: never */
    ts_reported_load_t reported_load; /**< load that it reported with its last answer */
    double sent_rate;                 /**< requests/s from this node, exponentially decayed */
    ts_time_us_t sent_rate_at_us;     /**< when `sent_rate` was last updated */
    ts_time_us_t answered_us;         /**< when its last answer arrived; 0: never */
    ts_time_us_t suspected_us;     /**< since when it is suspected to have failed; 0: it is not */
    bool is_suspicion_reported;    /**< the suspicion was reported to other nodes */
    bool is_suspected_by_peer;     /**< the suspicion came from a peer, not from this node */
    ts_time_us_t suspect_sent_us;  /**< last request sent to it while suspected */
    ts_time_us_t avoid_until_us;   /**< end of avoidance after a failure or refusal; 0: none */
    uint32_t failures;             /**< consecutive failed connections and requests */
    ts_time_us_t connect_begun_us; /**< begin of the last successful connection; 0: none yet */
    bool has_ended; /**< its process is gone: connections refused, or it was replaced */
    /* Failures and latencies of its answers, see tealspar/evidence.h. */
    ts_evidence_t own_evidence;   /**< answers to this node's requests */
    ts_evidence_t fleet_evidence; /**< answers to the whole fleet's, received from the collector */
    ts_evidence_t *collected_evidence; /**< owned; set only on the collector, else NULL */
    ts_evidence_count_t outbox;        /**< not forwarded yet, including counts from other nodes */
    ts_time_us_t outbox_since_us;      /**< when the oldest count in the outbox was added */
    ts_time_us_t own_evidence_us;      /**< when `own_evidence` was last added to */
    ts_time_us_t own_anomaly_us;       /**< when an anomalous answer was last added to it */
    /* Its connections; see tealspar/upstream.h. */
    GQueue idle;                             /**< of ts_connection_t, most recently used first */
    uint32_t connections;                    /**< open ones, idle and busy */
    uint32_t idle_connections_max;           /**< idle connections that this node may keep */
    ts_time_us_t idle_connections_max_at_us; /**< when `idle_connections_max` was computed */
    uint64_t idle_connections_basis; /**< fingerprint of the view and node count used for it */
    ts_time_us_t idle_max_us;        /**< longest idle time before reuse; 0: not known */
    ts_time_us_t idle_max_until_us;  /**< when `idle_max_us` expires */
} ts_instance_t;

/** Number of priorities that are told apart; lower ones count as the last. */
#define TS_PRIORITIES 4U
/* Number of request ranks, which are ordered by the tenant's priority, then by the route's. */
#define TS_RANKS (TS_PRIORITIES * TS_PRIORITIES)

struct ts_service {
    char *name;
    GPtrArray *instances; /**< of ts_instance_t */
    ts_retry_budget_t budget;
    uint32_t connections_max;   /**< per instance, from all callers; 0: not specified */
    ts_time_us_t warmup_us;     /**< warm-up time of an instance after its start */
    double warmup_rate;         /**< requests/s that an instance handles meanwhile; 0: no limit */
    ts_time_us_t blocked_us;    /**< when a request last had to wait for a free instance */
    ts_time_us_t return_us;     /**< when the caller that was last refused returns, by its answer */
    unsigned waiting[TS_RANKS]; /**< requests in the admission queue that it has no room for */
    unsigned waiting_ahead; /**< of these, ahead of the request being checked; see `queue_pass` */
    uint64_t queue_pass;    /**< pass over the admission queue that set `waiting_ahead` */
    ts_registry_t *registry;
};

/** `zones`: zone -> region, may be NULL; not owned. */
ts_registry_t *ts_registry_create(const char *zone, GHashTable *zones);
void ts_registry_destroy(ts_registry_t *registry);
/** Returns the service with this name; creates it if necessary. */
ts_service_t *ts_registry_ensure_service(ts_registry_t *registry, const char *name);
/** Returns the service with this name, or NULL. */
ts_service_t *ts_registry_find_service(const ts_registry_t *registry, const char *name);
/**
 * Validates a record: TS_OK, TS_E_ADDRESS, or TS_E_INVALID for an id that is not allowed in a
 * header field or an empty service or zone.
 */
ts_error_t ts_registry_validate(const ts_instance_record_t *record);
/**
 * Adds or updates an instance. Records must be passed in the order in which they were written
 * (revisions of the configuration service): a record whose start time differs from that of the
 * current instance begins a new incarnation, even if its start time is earlier because the
 * searcher's clock was set back. Returns whether the instance is new.
 */
bool ts_registry_update(ts_registry_t *registry, const ts_instance_record_t *record,
                        ts_time_us_t now_us);
/**
 * Marks the instance as no longer listed by discovery; ts_registry_sweep frees it later. `left_us`:
 * earliest time at which its entry may have disappeared.
 */
void ts_registry_delist(ts_registry_t *registry, const char *id, ts_time_us_t left_us);
/**
 * Begins or ends the evacuation of a zone: while it lasts, no requests are sent to its backends.
 * Afterwards they go through their service's warm-up again, as they may have turned cold.
 */
void ts_registry_set_evacuated(ts_registry_t *registry, const char *zone, bool is_evacuated,
                               ts_time_us_t now_us);
/** Whether a zone is being evacuated. */
bool ts_registry_is_evacuated(const ts_registry_t *registry, const char *zone);
/** Recomputes the region and distance of every instance after the zones in the settings changed. */
void ts_registry_update_locations(ts_registry_t *registry);
/** Applies a complete listing: delists every instance whose id is not in the set `ids`. */
void ts_registry_delist_all_except(ts_registry_t *registry, GHashTable *ids, ts_time_us_t now_us);
/** Frees instances delisted some time ago that nothing refers to; to be called periodically. */
void ts_registry_sweep(ts_registry_t *registry, ts_time_us_t now_us);
/** Records how long it took to connect to the instance. */
void ts_registry_add_rtt_sample(ts_registry_t *registry, const ts_instance_t *instance,
                                ts_time_us_t connect_us);
/** Shortest and longest estimated round-trip time to a zone that has had backends. */
double ts_registry_rtt_min_us(const ts_registry_t *registry);
double ts_registry_rtt_max_us(const ts_registry_t *registry);
/** The instance with this key if it is the searcher's current incarnation, else NULL. */
ts_instance_t *ts_registry_find(const ts_registry_t *registry, ts_instance_key_t key);
/** The current incarnation of the searcher with this id, or NULL. */
ts_instance_t *ts_registry_find_current(const ts_registry_t *registry, const char *id);
/** The key of an instance; its id is owned by the instance. */
ts_instance_key_t ts_instance_key_of(const ts_instance_t *instance);
/** Health observation of an instance that is shared between nodes. */
typedef enum ts_sighting {
    TS_SIGHTING_SUSPECTED, /**< an answer is overdue */
    TS_SIGHTING_RECOVERED  /**< it was suspected and has answered again */
} ts_sighting_t;

/** Called with observations to be shared with other nodes. */
typedef void (*ts_registry_sighting_cb_t)(void *ctx, const ts_instance_t *instance,
                                          ts_sighting_t sighting);
void ts_registry_set_sighting_callback(ts_registry_t *registry, ts_registry_sighting_cb_t callback,
                                       void *ctx);
/** Called when an instance's outbox holds something to be forwarded; may be called repeatedly. */
typedef void (*ts_registry_evidence_cb_t)(void *ctx);
void ts_registry_set_evidence_callback(ts_registry_t *registry, ts_registry_evidence_cb_t callback,
                                       void *ctx);
/** Calls `visit(instance, context)` for every instance, including earlier incarnations. */
typedef void (*ts_registry_visit_t)(ts_instance_t *instance, void *context);
void ts_registry_each_instance(ts_registry_t *registry, ts_registry_visit_t visit, void *context);
/** Calls `visit(name, service, context)` for every service. */
void ts_registry_each_service(ts_registry_t *registry, GHFunc visit, void *context);
/** Number of instances listed by discovery. */
unsigned ts_registry_count_listed(const ts_registry_t *registry);

/** Records an answer after `span_us`; `typical_us`: typical time for such a request, 0: unknown. */
void ts_instance_note_answer(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                             double typical_us);
/**
 * Records that a request has given up waiting for an answer after `span_us`; the answer may still
 * arrive. Returns whether it already counted as slow; if so, the caller must not record
 * the time of that answer again.
 */
bool ts_instance_note_unanswered(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                                 double typical_us);
/** A request sent at `sent_us` is overdue: suspects the instance unless it answered since then. */
void ts_instance_note_overdue(ts_instance_t *instance, ts_time_us_t sent_us, ts_time_us_t now_us);
/** Reports the suspicion to other nodes if this node still suspects the instance. */
void ts_instance_report_suspicion(ts_instance_t *instance);
/** Applies an observation received from another node of the region. */
void ts_instance_apply_sighting(ts_instance_t *instance, ts_sighting_t sighting,
                                ts_time_us_t now_us);
/** Whether it is warming up and its service limits the fleet's requests/s to it meanwhile. */
bool ts_instance_is_warmup_limited(const ts_instance_t *instance, ts_time_us_t now_us);
/** Records that a request is sent to it. */
void ts_instance_note_sent(ts_instance_t *instance, ts_time_us_t now_us);
/** Estimated ratio of its answer times to the typical ones; 1: the same, more is slower. */
double ts_instance_latency_ratio(const ts_instance_t *instance, ts_time_us_t now_us);
/** Records a success, or a failure or refusal by the instance. */
void ts_instance_note_result(ts_instance_t *instance, bool is_failure, ts_time_us_t now_us);
/** This node's evidence combined with that received from the collector. */
ts_evidence_sums_t ts_instance_evidence(const ts_instance_t *instance, ts_time_us_t now_us);
/** Adds counts of this node or of another one to the outbox. */
void ts_instance_add_to_outbox(ts_instance_t *instance, const ts_evidence_count_t *count,
                               ts_time_us_t now_us);
/** Estimated share of its answers that are failures, 0 to 1. */
double ts_instance_failure_rate(const ts_instance_t *instance, ts_time_us_t now_us);
/** State of an instance after the connection of a send to it broke. */
typedef enum ts_instance_liveness {
    TS_LIVENESS_UNKNOWN, /**< not known yet */
    TS_LIVENESS_ALIVE,   /**< it accepts connections: only that one was lost */
    TS_LIVENESS_ENDED    /**< its process is gone, or does not respond */
} ts_instance_liveness_t;

/** Records that a connection begun at `begun_us` was established. */
void ts_instance_note_connected(ts_instance_t *instance, ts_time_us_t begun_us);
/** Records that its address refuses connections, or that a new incarnation replaced it. */
void ts_instance_note_ended(ts_instance_t *instance);
/** State of the instance, judged by what happened since `since_us`. */
ts_instance_liveness_t ts_instance_liveness(const ts_instance_t *instance, ts_time_us_t since_us,
                                            ts_time_us_t now_us);
/** Records a failed connection or request; the instance is avoided for a while. */
void ts_instance_note_failure(ts_instance_t *instance, ts_time_us_t now_us);
/**
 * Records that a connection idle for `idle_us` was reset at the next request: the instance drops
 * idle connections sooner than it announces.
 */
void ts_instance_note_idle_reset(ts_instance_t *instance, ts_time_us_t idle_us,
                                 ts_time_us_t now_us);
/** Longest time that a connection to it may be idle before reuse; UINT64_MAX: no limit learned. */
ts_time_us_t ts_instance_idle_max_us(const ts_instance_t *instance, ts_time_us_t now_us);
/** Records a connection reset before its first answer, as happens over its connection limit. */
void ts_instance_note_connection_rejected(ts_instance_t *instance, ts_time_us_t now_us);
/** Records a request that was refused without being run. */
void ts_instance_note_refusal(ts_instance_t *instance, ts_time_us_t now_us);

/** Invoke the registry's callbacks; for the modules of the registry only. */
void ts_registry_notify_evidence(const ts_instance_t *instance);
void ts_registry_report_sighting(const ts_instance_t *instance, ts_sighting_t sighting);

#endif
