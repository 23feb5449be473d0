/** A request on its way: its parts, their sends, and the answer. Internal to the edge. */
#ifndef TEALSPAR_EDGE_REQUEST_H
#define TEALSPAR_EDGE_REQUEST_H

#include "tealspar/authentication.h"
#include "tealspar/gateway.h"
#include "tealspar/log.h"

/* Most sends of one part that are remembered; a route may allow fewer. */
#define TS_SENDS_MAX 6U

typedef struct ts_request ts_request_t;

typedef enum ts_part_state {
    TS_PART_OPEN, /**< an answer may still come */
    TS_PART_IN,   /**< answered */
    TS_PART_LOST  /**< no answer will come any more */
} ts_part_state_t;

/** One service that is asked; a forwarded request has one part, a gathered one a part a shard. */
typedef struct ts_request_part {
    ts_request_t *request;
    ts_service_t *service;
    ts_part_state_t state;
    ts_exchange_t *exchanges[TS_SENDS_MAX]; /**< under way; NULL once ended */
    ts_instance_t *tried[TS_SENDS_MAX];     /**< whom they went to */
    unsigned sends;                         /**< number of the two above */
    unsigned attempts;                      /**< sends that run, ran or may have run */
    unsigned arrivals;                      /**< sends that left, or may still leave */
    unsigned paid;                          /**< of these, the ones the budget was charged for */
    bool was_lone;                          /**< the latest send was the only one out */
    bool was_overdue;                       /**< the latest send was counted as overdue */
    bool may_have_run;
    bool was_denied;          /**< the budget had no further send for it */
    bool was_refused;         /**< some searcher said that it was full */
    bool was_excluded;        /**< no instance stands where the request may be served */
    ts_time_us_t overdue_us;  /**< when the latest send is overdue; 0: none is out */
    ts_time_us_t second_us;   /**< when a second send is worth its cost */
    ts_time_us_t tell_us;     /**< when others are told that its instance is silent; 0: not */
    ts_time_us_t next_try_us; /**< when to look for an instance again; 0: not waiting */
    /* The answer. */
    unsigned status;
    GString *fields; /**< forwarded answer: its fields, each ended by CR LF */
    GString *body;
    char *signature;
} ts_request_part_t;

struct ts_request {
    ts_gateway_t *gateway;
    ts_caller_t *caller; /**< NULL once answered or gone */
    ts_traffic_t *traffic;
    const ts_traffic_route_t *route;
    ts_identity_t identity; /**< whose it is, by the configuration it began with */
    unsigned rank;          /**< of its tenant and its route; 0 is the most urgent */
    ts_route_state_t *state;
    ts_outgoing_t *outgoing;
    uv_timer_t timer;
    ts_time_us_t arrived_us;
    ts_time_us_t deadline_us; /**< the final answer leaves by then */
    ts_time_us_t admit_by_us; /**< refused if it could not be begun by then */
    ts_time_us_t token_by_us; /**< the same, if its tenant's limit could not be checked by then */
    bool has_token;           /**< of its tenant's limit */
    bool waits_for_token;     /**< it stands in the gateway's list of those */
    bool is_admitted;         /**< its parts are sent */
    bool has_returned;        /**< its caller has less time than usual, as after a refusal */
    ts_time_us_t stop_us;     /**< gathered: what is in by then is enough, if coverage allows */
    unsigned parts_count;
    unsigned parts_in;
    unsigned parts_lost;
    unsigned sends;  /**< of all parts */
    unsigned broken; /**< of these, broken off by the end of their connection */
    /* See request_caution.c. */
    bool is_suspect;             /**< it began as one, by one send */
    bool is_trial;               /**< other nodes wait for its outcome */
    ts_instance_t *lone_broken;  /**< where its last lone send was broken off; NULL: none was */
    ts_time_us_t lone_broken_us; /**< when */
    ts_request_part_t parts[];
};

/** Whether placement or evacuations rule out every instance of the part's service. */
bool ts_part_is_excluded(const ts_request_part_t *part, ts_time_us_t now_us);
/** The part goes without an answer, as it is excluded. */
void ts_part_leave_out(ts_request_part_t *part, ts_time_us_t now_us);
/** Whether no instance of the part's service could take it at once. */
bool ts_part_is_blocked(const ts_request_part_t *part, ts_time_us_t now_us);
/** Notes that a request cannot begin for want of the part's service, if that is so. */
void ts_part_note_wanted(const ts_request_part_t *part, ts_time_us_t now_us);
/** Says why the part's service could not take it, if so. */
void ts_part_log_blocked(const ts_request_part_t *part, ts_time_us_t now_us);
/** Sends the part to the best instance, or notes that none is there. */
void ts_part_send_first(ts_request_part_t *part);
/** Changes the state of the part; the one place where it changes. */
void ts_part_set_state(ts_request_part_t *part, ts_part_state_t state);
/** Whether the route and the table of sends allow one more. */
bool ts_part_may_send_again(const ts_request_part_t *part);
/** A send came to nothing: another is made at once, or later, or the part is lost. */
void ts_part_try_elsewhere(ts_request_part_t *part);
/** A send has ended; the callback of its exchange, `owner` is the part. */
void ts_part_take_result(ts_exchange_t *exchange, const ts_exchange_result_t *result, void *owner);
/** The part looks for an instance again in a moment. */
void ts_part_look_soon(ts_request_part_t *part, ts_time_us_t now_us);
/** One line for a decision about the part: whom, why, and what was believed of it. */
void ts_part_log_decision(const ts_request_part_t *part, ts_event_t event, const char *reason,
                          const ts_instance_t *instance, ts_time_us_t now_us);
/** Does what is due for the part: a second send, another look for an instance. */
void ts_part_check(ts_request_part_t *part, ts_time_us_t now_us);
/** When the part wants to be checked next; 0: never. */
ts_time_us_t ts_part_due_us(const ts_request_part_t *part);
/**
 * No better answer will come: a forwarded request goes on with the failure that a back end
 * answered, if one did. Returns whether it does.
 */
bool ts_part_settle(ts_request_part_t *part);
/** Says of a part that is still open why the final answer goes without it. */
void ts_part_log_missing(const ts_request_part_t *part);
/** Nobody waits for the part's sends any more. */
void ts_part_release(ts_request_part_t *part, ts_time_us_t until_us);
void ts_part_clear(ts_request_part_t *part);
/** Begins work on a request that came at `arrived_us`. */
void ts_request_begin_at(ts_gateway_t *gateway, ts_caller_t *caller, ts_time_us_t arrived_us);
/** What the request waited for may be there: it looks as soon as the loop turns. */
void ts_request_look_again(ts_request_t *request);
/** A part changed its state: answers the request if that is decided now. */
void ts_request_progress(ts_request_t *request);

/** Sends the final answer of a request to its caller. */
void ts_answer_success(ts_request_t *request);
void ts_answer_failure(ts_request_t *request, ts_error_t error);
/** Counts and logs a request whose caller left. */
void ts_answer_left(const ts_request_t *request);
/** Answers a caller whose request was not even begun; `retry_after_ms` 0: do not say. */
void ts_answer_error(ts_gateway_t *gateway, ts_caller_t *caller, unsigned status, ts_error_t error,
                     uint32_t retry_after_ms);
/**
 * Whose the request is that a caller has sent on a route, or why it is not let in:
 * TS_E_UNAUTHENTICATED, or TS_E_UNCONFIRMED while keys must not be trusted.
 */
ts_error_t ts_request_identify(const ts_gateway_t *gateway, const ts_caller_t *caller,
                               const ts_traffic_route_t *route, ts_identity_t *identity);
/** Whether the key by which it was let in has been taken away since. */
bool ts_request_is_revoked(const ts_request_t *request);
/** Answers a caller whose request was not let in. */
void ts_request_turn_away(ts_gateway_t *gateway, ts_caller_t *caller, ts_error_t error);
/** The limiter of a gateway that is being opened. */
void ts_gateway_open_quotas(ts_gateway_t *gateway);
/** Counts the request for its tenant's limit, once. */
void ts_request_note_quota(const ts_request_t *request);
/** Takes a token of its tenant's limit, unless it has one or needs none. */
ts_rate_verdict_t ts_request_take_quota(ts_request_t *request, ts_time_us_t now_us);
/** It ends, or is begun: it waits no more, and gives its token back if nothing of it has run. */
void ts_request_end_quota(ts_request_t *request);
/** After TS_RATE_EXCEEDED: when a token may come. */
uint32_t ts_request_quota_wait_ms(const ts_request_t *request);
/** How a request stands that is not begun yet. */
typedef enum ts_admission {
    TS_ADMISSION_BEGUN,       /**< its parts are sent */
    TS_ADMISSION_WAITS,       /**< too many back ends are full; it may look again */
    TS_ADMISSION_OVER_QUOTA,  /**< its tenant has sent what it may */
    TS_ADMISSION_UNCONFIRMED, /**< whether it has could not be learned in time */
    TS_ADMISSION_REVOKED,     /**< its key has been taken away */
    TS_ADMISSION_LATE,        /**< its caller waits no more, as after this process stood still */
    TS_ADMISSION_QUARANTINED, /**< requests like it ended back ends */
    TS_ADMISSION_ON_TRIAL,    /**< one like it is being tried, and it waited long enough */
    TS_ADMISSION_EXCLUDED,    /**< too many parts have no back end where they may be served */
    TS_ADMISSION_OVERLOAD     /**< its time to begin is over */
} ts_admission_t;

/** Whether more of a request may be sent now, as back ends may have ended under it. */
typedef enum ts_caution {
    TS_CAUTION_NONE, /**< yes */
    TS_CAUTION_WAIT, /**< not before what is out is explained */
    TS_CAUTION_STOP  /**< never */
} ts_caution_t;

/** Whether the quarantine lets it begin: TS_ADMISSION_BEGUN if so; notes whether with care. */
ts_admission_t ts_request_check_quarantine(ts_request_t *request, ts_time_us_t now_us);
/** Begins a suspect: one part is sent, the others wait for what becomes of it. */
void ts_request_begin_lone(ts_request_t *request, ts_time_us_t now_us);
ts_caution_t ts_request_caution(const ts_request_t *request, ts_time_us_t now_us);
/** Whether the send that is made now is to be the only one out; notes it. */
bool ts_request_sends_alone(ts_request_t *request);
/** A send was broken off by the end of its connection. */
void ts_request_note_broken(ts_request_t *request, ts_instance_t *instance, bool was_lone);
/** A back end of the service answered it with success. */
void ts_request_note_whole(ts_request_t *request, const ts_service_t *service);
/** It ends; if it was a trial without an outcome, that is told. */
void ts_request_end_trial(const ts_request_t *request);
/** Begins the request if it can be begun. */
ts_admission_t ts_request_admit(ts_request_t *request, ts_time_us_t now_us);
/**
 * Shares of requests like this one that were refused lately, by rank. Gathers over the same
 * services share an account, which their first service keeps; requests that are forwarded to one of
 * these services have another, as a service that is down refuses them all and hinders no gather.
 */
double *ts_request_refused_shares(const ts_request_t *request);
/** How long the request may wait for its beginning. */
ts_time_us_t ts_request_admission_span_us(const ts_request_t *request);
/** Parts that must be in for a success. */
unsigned ts_request_parts_needed(const ts_request_t *request);
/**
 * Regions in which the request may be sent from now on (interned names; NULL: anywhere): those of
 * its route in the newest configuration, as a narrower one also binds requests under way.
 */
const GPtrArray *ts_request_regions(const ts_request_t *request);
/** Whether a searcher runs, ran or may have run some of the request. */
bool ts_request_may_have_run(const ts_request_t *request);

#endif
