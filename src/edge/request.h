/**
 * Internal to src/edge: a request in progress. A request consists of parts, one for each service
 * that is asked. A send is one transmission of a part to one backend instance; a part may be sent
 * again as a retry (after a failure) or as a hedge (while the previous send is overdue). See
 * request_quarantine.c for isolated sends.
 */
#ifndef TEALSPAR_EDGE_REQUEST_H
#define TEALSPAR_EDGE_REQUEST_H

#include "tealspar/authentication.h"
#include "tealspar/forecast.h"
#include "tealspar/gateway.h"
#include "tealspar/log.h"
#include "tealspar/records.h"
#include "tealspar/replica.h"

/* Maximum number of sends of one part; a route may allow fewer. */
#define TS_SENDS_MAX 6U

typedef struct ts_request ts_request_t;

typedef enum ts_part_state {
    TS_PART_OPEN, /**< an answer may still arrive */
    TS_PART_ANSWERED,
    TS_PART_LOST /**< given up without an answer */
} ts_part_state_t;

/** Part of a request for one service: a forwarded request has one, a gather one per shard. */
typedef struct ts_request_part {
    ts_request_t *request;
    ts_service_t *service;
    ts_part_state_t state;
    ts_exchange_t *exchanges[TS_SENDS_MAX]; /**< of each send; NULL once ended */
    ts_instance_t *tried[TS_SENDS_MAX];     /**< instance of each send */
    float turns[TS_SENDS_MAX];              /**< ts_forecast_turns() of each send */
    unsigned sends;                         /**< used entries of the three arrays above */
    unsigned attempts;                      /**< sends, except those known not to have run */
    unsigned deliveries;      /**< sends written to a connection, or that may still be */
    unsigned charged;         /**< deliveries charged to the retry budget */
    bool was_isolated;        /**< the latest send was isolated, see request_quarantine.c */
    bool was_overdue;         /**< the latest send was counted as overdue */
    bool may_have_run;        /**< a backend may have run a failed send */
    bool was_denied;          /**< the retry budget was exhausted when another send was due */
    bool was_refused;         /**< a backend refused a send without running it */
    bool was_excluded;        /**< placement or evacuations rule out all instances */
    bool is_blocked;          /**< at the last attempt of admission, its service had no room */
    bool is_waiting;          /**< counted in `waiting` of its service by the admission queue */
    ts_time_us_t overdue_us;  /**< next check whether the latest send is overdue; 0: none */
    ts_time_us_t hedge_us;    /**< earliest time of a hedge */
    ts_time_us_t announce_us; /**< when to tell peers of silent instances; 0: never */
    ts_time_us_t next_try_us; /**< when to try again to send; 0: not waiting */
    /* The answer. */
    unsigned status;
    GString *fields; /**< header fields of a forwarded answer, each terminated by CR LF */
    GString *body;   /**< of a forwarded answer; NULL: none, or passed on to the caller */
    char *signature;
} ts_request_part_t;

struct ts_request {
    ts_gateway_t *gateway;
    ts_caller_t *caller; /**< NULL once answered or disconnected */
    ts_traffic_t *traffic;
    const ts_traffic_route_t *route;
    ts_identity_t identity; /**< as authenticated when the request arrived */
    unsigned rank;          /**< priority of tenant and route combined; 0 is the most urgent */
    ts_route_state_t *route_state;
    ts_outgoing_t *outgoing;
    uv_timer_t timer;
    ts_time_us_t arrived_us;
    ts_time_us_t caller_deadline_us; /**< when the caller gives up, also across its retries */
    ts_time_us_t deadline_us;        /**< latest time of the final answer */
    ts_time_us_t quota_deadline_us;  /**< refused if the quota could not be checked by then */
    bool has_token;                  /**< holds a token of the tenant's quota */
    bool is_waiting_for_token;       /**< listed in the gateway's `token_waiters` */
    bool is_admitted;
    bool is_shortened;   /**< `deadline_us` is set by the gateway's shutdown */
    GList *queue_link;   /**< in the admission queue; NULL: not waiting there */
    unsigned queue_rank; /**< `rank`, or 0 if that mechanism is disabled */
    size_t queued_bytes; /**< bytes of the body, as counted by the admission queue */
    /**
     * Target latency after the arrival, less a margin; at the latest `deadline_us`. From then on, a
     * gather needs only the minimum coverage. Hedges are timed by it, too.
     */
    ts_time_us_t soft_deadline_us;
    ts_memory_charge_t request_charge; /**< for this structure, the head and the body */
    ts_memory_charge_t answer_charge;  /**< for merged records and a saved answer */
    ts_top_records_t records;          /**< gather: merged from the parts answered so far */
    unsigned parts_count;
    unsigned parts_answered;
    unsigned parts_lost;
    unsigned sends;        /**< number of sends of all parts */
    unsigned broken_sends; /**< sends ended by the loss of their connection */
    /* See request_quarantine.c. */
    bool is_suspect; /**< the quarantine suspected it on admission */
    bool is_trial;   /**< this node has begun a trial of it in the quarantine */
    ts_instance_t *isolated_send_instance; /**< of the last isolated send that broke; or NULL */
    ts_time_us_t isolated_send_broken_us;  /**< when that send broke */
    ts_request_part_t parts[];
};

/** Parameters for the choice of the part's instance. */
ts_replica_input_t ts_part_make_replica_input(const ts_request_part_t *part, ts_time_us_t now_us);
/** Whether placement or evacuations rule out every listed instance of the part's service. */
bool ts_part_is_excluded(const ts_request_part_t *part, ts_time_us_t now_us);
/** Gives up an excluded part. */
void ts_part_exclude(ts_request_part_t *part, ts_time_us_t now_us);
/** Whether no instance of the part's service can take it immediately. */
bool ts_part_is_blocked(const ts_request_part_t *part, ts_time_us_t now_us);
/** Sets `is_blocked`; if it is, records that its service has no free instance for a request. */
void ts_part_record_blocked(ts_request_part_t *part, ts_time_us_t now_us);
/** If the part is blocked, logs why its service cannot take it. */
void ts_part_log_blocked(const ts_request_part_t *part, ts_time_us_t now_us);
/**
 * Sends the part to the best instance, or schedules another try if there is none or the send is
 * deferred. Gives the part up if the request's key was revoked.
 */
void ts_part_send_first(ts_request_part_t *part);
/** Changes the state of the part; all state changes go through this function. */
void ts_part_set_state(ts_request_part_t *part, ts_part_state_t state);
/** Whether the route, TS_SENDS_MAX, the deadline and the caller's key allow one more send. */
bool ts_part_may_send_again(const ts_request_part_t *part);
/**
 * After a failed send, if no other send is in flight: sends the part again now or later, accepts an
 * error answer, or gives the part up.
 */
void ts_part_retry(ts_request_part_t *part);
/** Handles the result of a send. A ts_exchange_done_t; `owner` is the part. */
void ts_part_handle_result(ts_exchange_t *exchange, const ts_exchange_result_t *result,
                           void *owner);
/** Schedules another check whether the part may be sent, after its send was deferred. */
void ts_part_recheck_soon(ts_request_part_t *part, ts_time_us_t now_us);
/** Logs a decision about the part: the instance, the reason and what was known of the instance. */
void ts_part_log_decision(const ts_request_part_t *part, ts_event_t event, const char *reason,
                          const ts_instance_t *instance, ts_time_us_t now_us);
/** Runs the due actions of the part: a hedge, an announcement to peers, another try to send. */
void ts_part_check(ts_request_part_t *part, ts_time_us_t now_us);
/** Time of the next ts_part_check; 0: never. */
ts_time_us_t ts_part_due_us(const ts_request_part_t *part);
/**
 * Accepts the error answer that a backend gave to a forwarded request, if there is one, when no
 * better answer can be expected. Returns whether there was one.
 */
bool ts_part_accept_error_answer(ts_request_part_t *part);
/** Logs why the final answer lacks a part that is still open. */
void ts_part_log_missing(const ts_request_part_t *part);
/** Releases the part's sends: unsent ones are cancelled, others may finish until `until_us`. */
void ts_part_release(ts_request_part_t *part, ts_time_us_t until_us);
void ts_part_clear(ts_request_part_t *part);
/**
 * The caller's timeout in milliseconds, reduced to a maximum; 0 if its header field is missing or
 * not a number.
 */
uint32_t ts_request_caller_timeout_ms(const ts_gateway_t *gateway,
                                      const ts_http_message_t *message);
/** Time after the arrival within which a caller with this timeout must be answered. */
ts_time_us_t ts_request_answer_within_us(ts_time_us_t timeout_us);
/** Starts a request that arrived at `arrived_us`. */
void ts_request_begin_at(ts_gateway_t *gateway, ts_caller_t *caller, ts_time_us_t arrived_us);
/**
 * Tries to admit a request that waits; answers it if it must not wait any longer. See
 * ts_request_admit().
 */
void ts_request_try_admit(ts_request_t *request, ts_time_us_t now_us);
/** If a shutdown has begun, applies its deadline to the request and its later sends. */
void ts_request_apply_shutdown(ts_request_t *request);
/**
 * Whether the part, if it is sent now, is likely answered before the deadline of a shutdown. True
 * if none has shortened the request's deadline.
 */
bool ts_part_can_finish_before_exit(const ts_request_part_t *part, ts_time_us_t now_us);
/** The same for as many parts as the request needs, before it is admitted. */
bool ts_request_can_finish_before_exit(const ts_request_t *request, ts_time_us_t now_us);
/** Whether the part, if it is sent as soon as there is room, is likely answered in time. */
bool ts_part_can_finish(const ts_request_part_t *part, ts_time_us_t now_us);
/** The same for as many parts as the request needs, behind those that wait ahead of it. */
bool ts_request_can_finish(const ts_request_t *request, ts_time_us_t now_us);
/** Whether a part was given up, before it ran, when a shutdown left no time to send it again. */
bool ts_request_was_stopped(const ts_request_t *request, ts_time_us_t now_us);
/** Moves the deadlines of a request in progress ahead to those of the shutdown that has begun. */
void ts_request_shorten(ts_request_t *request);
/** Checks the request in the next loop iteration, as what it waits for may be available. */
void ts_request_recheck(ts_request_t *request);
/** After a change of a part: answers the request if its outcome is known, else sets its timer. */
void ts_request_progress(ts_request_t *request);

/** Send the final answer of a request to its caller. */
void ts_answer_success(ts_request_t *request);
void ts_answer_failure(ts_request_t *request, ts_error_t error);
/** Counts and logs a request whose caller disconnected. */
void ts_answer_abandoned(const ts_request_t *request);
/** Answers a caller for which no ts_request_t exists; `retry_after_ms` 0: no retry-after field. */
void ts_answer_error(ts_gateway_t *gateway, ts_caller_t *caller, unsigned status, ts_error_t error,
                     uint32_t retry_after_ms);
/** Longest retry-after time that a caller waits for if it has `left_us`. */
uint32_t ts_answer_retry_wait_max_ms(const ts_gateway_t *gateway, ts_time_us_t left_us);
/** Rejects a request that was received in part, as there is no memory for it. */
void ts_answer_no_room(ts_gateway_t *gateway, ts_caller_t *caller);
/** Rejects a request of which nothing was sent, because the gateway is stopping. */
void ts_answer_stopping(ts_gateway_t *gateway, ts_caller_t *caller);
/**
 * Authenticates a caller's request on a route. TS_OK, TS_E_UNAUTHENTICATED, or TS_E_UNCONFIRMED
 * while the node's copy of the configuration is too old to trust its keys.
 */
ts_error_t ts_request_authenticate(const ts_gateway_t *gateway, const ts_caller_t *caller,
                                   const ts_traffic_route_t *route, ts_identity_t *identity);
/** Whether the key that authenticated the request has been revoked since. */
bool ts_request_is_revoked(const ts_request_t *request);
/** Answers a caller whose request failed ts_request_authenticate. */
void ts_request_reject(ts_gateway_t *gateway, ts_caller_t *caller, ts_error_t error);
/** Creates the rate limiter of a gateway that is being opened. */
void ts_gateway_open_quotas(ts_gateway_t *gateway);
/** Counts the request as demand for its tenant's quota; call it once for a request. */
void ts_request_count_quota_demand(const ts_request_t *request);
/**
 * Takes a token of the tenant's quota, unless the request has one or needs none. If no token can be
 * had yet, lists the request in `token_waiters`, so that it is checked when one arrives.
 */
ts_rate_verdict_t ts_request_acquire_quota(ts_request_t *request, ts_time_us_t now_us);
/** Stops waiting for a token, and refunds the request's token if none of its sends can have run. */
void ts_request_release_quota(ts_request_t *request);
/** After TS_RATE_EXCEEDED: time until a token may be available. */
uint32_t ts_request_quota_wait_ms(const ts_request_t *request);
/** Result of an attempt to admit a request. */
typedef enum ts_admission_result {
    TS_ADMISSION_ADMITTED,      /**< nothing prevents it; ts_request_admit has sent its parts */
    TS_ADMISSION_DEFERRED,      /**< waits for a token or a trial */
    TS_ADMISSION_QUEUED,        /**< waits for room at backends */
    TS_ADMISSION_OVER_QUOTA,    /**< the tenant has used up its quota */
    TS_ADMISSION_UNCONFIRMED,   /**< the tenant's quota could not be checked in time */
    TS_ADMISSION_REVOKED,       /**< the request's key was revoked */
    TS_ADMISSION_PAST_DEADLINE, /**< the caller has timed out, e.g. during a process stall */
    TS_ADMISSION_STOPPING,      /**< this node exits before the request can be answered */
    TS_ADMISSION_QUARANTINED,   /**< identical requests have crashed backends */
    TS_ADMISSION_TRIAL_PENDING, /**< the trial of an identical request did not end in time */
    TS_ADMISSION_EXCLUDED,      /**< too many parts have no permitted backend */
    TS_ADMISSION_OVERLOAD       /**< by the forecast it cannot be answered in time */
} ts_admission_result_t;

/** Whether a request that may have crashed a backend may be sent (again). */
typedef enum ts_send_permission {
    TS_SEND_ALLOWED,
    TS_SEND_DEFERRED, /**< a send is in flight, or a broken send's backend is being checked */
    TS_SEND_FORBIDDEN /**< the backend of an isolated send crashed, or the request is quarantined */
} ts_send_permission_t;

/** Whether the quarantine admits the request: TS_ADMISSION_ADMITTED if so; sets `is_suspect`. */
ts_admission_result_t ts_request_check_quarantine(ts_request_t *request, ts_time_us_t now_us);
/** Starts a suspect request: sends one part in isolation; the others wait for its outcome. */
void ts_request_begin_isolated(ts_request_t *request, ts_time_us_t now_us);
ts_send_permission_t ts_request_check_send(const ts_request_t *request, ts_time_us_t now_us);
/** Returns whether the next send must be isolated, and marks the outgoing request accordingly. */
bool ts_request_mark_send_isolated(ts_request_t *request);
/** Records that a delivered send ended with the loss of its connection. */
void ts_request_record_broken_send(ts_request_t *request, ts_instance_t *instance,
                                   bool was_isolated);
/** Records that a backend of the service completed the request without a server error. */
void ts_request_record_success(ts_request_t *request, const ts_service_t *service);
/**
 * When the request ends: ends its trial in the quarantine, unless one of its isolated sends broke;
 * the trial then ends with the check of that send's backend, see broken_sends.c.
 */
void ts_request_end_trial(const ts_request_t *request);
/** Admits the request and sends its parts if that is possible now. */
ts_admission_result_t ts_request_admit(ts_request_t *request, ts_time_us_t now_us);
/** See admission_queue.c. */
ts_admission_queue_t *ts_admission_queue_create(ts_gateway_t *gateway);
/** Adds the request unless it is in the queue already; returns false if the queue is full. */
bool ts_admission_queue_add(ts_admission_queue_t *queue, ts_request_t *request);
/** Removes the request if it is in the queue. */
void ts_admission_queue_remove(ts_admission_queue_t *queue, ts_request_t *request);
/** Number of requests that wait for the service ahead of the request. */
unsigned ts_admission_queue_ahead(const ts_admission_queue_t *queue, const ts_request_t *request,
                                  const ts_service_t *service);
/** Forecast for the parts that the request needs, behind `ahead` others at each service. */
ts_forecast_t ts_request_forecast(const ts_request_t *request, unsigned ahead, ts_time_us_t now_us);
/** Number of answered parts needed for a success. */
unsigned ts_request_parts_needed(const ts_request_t *request);
/**
 * Regions to which the request may be sent (interned names; NULL: anywhere). Taken from its route
 * in the newest configuration, as a restriction also applies to requests already in progress.
 */
const GPtrArray *ts_request_regions(const ts_request_t *request);
/** Whether a backend may have run, or may be running, any part of the request. */
bool ts_request_may_have_run(const ts_request_t *request);

#endif
