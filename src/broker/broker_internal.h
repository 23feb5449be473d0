/** Shared by the modules of the broker. */
#ifndef TEALSPAR_BROKER_INTERNAL_H
#define TEALSPAR_BROKER_INTERNAL_H

#include "tealspar/idempotency.h"
#include "tealspar/messages.h"
#include "tealspar/searcher_client.h"

typedef struct ts_broker ts_broker_t;
typedef struct ts_owned_backend ts_owned_backend_t;

/** One subrequest at the broker. */
typedef struct ts_job {
    ts_broker_t *broker;
    ts_owned_backend_t *owned; /**< NULL: the backend is not owned here */
    uint64_t peer;             /**< node that sent it and gets the reply; TS_PEER_SELF: this one */
    ts_subrequest_t part;
    ts_query_params_t *work;  /**< of the query; referenced until the job is freed */
    ts_searcher_call_t *call; /**< NULL while waiting */
    ts_time_us_t received_us;
    ts_time_us_t started_us; /**< when it was sent to the searcher; 0: not sent */
} ts_job_t;

/** State of a backend as known to its owner. */
typedef enum ts_owned_state {
    TS_OWNED_CHECKING, /**< just taken over, or after a stall: jobs wait for the health check */
    TS_OWNED_SERVING,
    TS_OWNED_STARTING,    /**< not ready yet */
    TS_OWNED_DRAINING,    /**< shutting down: gets no new requests */
    TS_OWNED_UNREACHABLE, /**< connection or health check failed; rechecked */
    TS_OWNED_RETIRED      /**< no longer owned; its running jobs finish */
} ts_owned_state_t;

/** A backend that this node owns: its connections, slots and queue. */
struct ts_owned_backend {
    ts_broker_t *broker;
    uint64_t id;
    char *name;
    char *address;
    uint32_t slots;       /**< as declared */
    uint32_t connections; /**< as declared; only a part is opened (CONNECTION_DIVISOR) */
    char **shards;        /**< names; NULL-terminated */
    ts_searcher_t *searcher;
    ts_owned_state_t state;
    uint32_t slots_allowed; /**< usable now; one more with each success, up to `slots` */
    GPtrArray *running;     /**< of ts_job_t */
    GPtrArray *waiting;     /**< of ts_job_t */
    double service_us;      /**< moving average; 0: unknown */
    int64_t owned_since_ms; /**< start of the ownership; wall clock */
    /** Of another zone, whose nodes are missing in the view. They may only be partitioned, and own
     * the backend as well. */
    bool is_foreign;
    ts_time_us_t drain_reported_us; /**< when a reply reported that it is draining; 0: never */
    bool is_health_stale;           /**< the pending check was sent before a stall */
    ts_time_us_t health_due_us;     /**< time of the next health check */
    bool is_health_pending;         /**< a health check is in progress */
};

struct ts_broker {
    const ts_node_t *node;
    const ts_searcher_client_t *client;
    ts_task_t *task;
    ts_task_t *front;
    ts_task_t *mesh;
    ts_task_t *membership;
    ts_declarations_t *declarations;
    ts_view_t *view;
    GHashTable *owned;  /**< &id -> ts_owned_backend_t, freed by close_broker() */
    GPtrArray *retired; /**< of ts_owned_backend_t, waiting for their running jobs */
    GHashTable *jobs;   /**< &counter -> ts_job_t, owned */
    ts_idempotency_t *idempotency;
    ts_timer_t tick_timer;
    ts_timer_t handover_timer;   /**< releases all backends HANDOVER_MS after the stop */
    ts_time_us_t last_run_us;    /**< when the broker last ran, to detect stalls */
    bool is_run_late;            /**< results may have arrived that have not been read yet */
    ts_time_us_t stalled_us;     /**< by how much its last late run was late */
    ts_time_us_t stall_end_us;   /**< when that run began; 0: none */
    ts_time_us_t fence_until_us; /**< after a stall: no unrepeatable dispatch until then */
    /** Wall clock; before this time other nodes may have owned the same backends. 0: not set yet.
     */
    int64_t exclusive_since_ms;
    uint64_t ownership_epoch; /**< of the latest view */
    bool is_stopping;
    bool has_released_all;  /**< after a stop: no backend is owned any more */
    bool has_reported_idle; /**< membership knows that all jobs have ended */
};

/** Creates an owned backend and checks its health. */
ts_owned_backend_t *ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend);
/** Closes and frees a backend without running jobs. */
void ts_owned_free(ts_owned_backend_t *owned);
/** Changes the state; all changes go through this function. Does nothing once retired. */
void ts_owned_set_state(ts_owned_backend_t *owned, ts_owned_state_t state);
/** After a process stall: starts no job until the health has been checked. Does nothing if retired.
 */
void ts_owned_recheck(ts_owned_backend_t *owned);
/** Runs, queues or refuses a job; may refuse a waiting one of lower priority in its place. */
void ts_owned_submit(ts_owned_backend_t *owned, ts_job_t *job);
/**
 * Cancels and frees a running or waiting job without a reply; its slot is free at once. A running
 * unrepeatable job is not cancelled: its outcome is stored for a repeat of the id.
 */
void ts_owned_cancel(ts_job_t *job);
/** Refuses and frees every waiting job. */
void ts_owned_refuse_waiting(ts_owned_backend_t *owned, ts_error_t error);
/** Ends jobs whose deadline has passed, starts waiting jobs, and checks the health when due. */
void ts_owned_tick(ts_owned_backend_t *owned, ts_time_us_t now_us);
/** Detects that the process did not run for a time; called when a timer, message or result is
 * handled. */
void ts_broker_detect_stall(ts_broker_t *broker);
/** Name of the shard if the backend serves it by its declaration, else NULL. */
const char *ts_owned_find_shard(const ts_owned_backend_t *owned, uint64_t shard);
const char *ts_owned_state_name(ts_owned_state_t state);

/**
 * Replies to a job and frees it. Takes ownership of the hits of `subreply`. Updates the idempotency
 * entry of an unrepeatable request by `subreply->run`.
 */
void ts_job_reply(ts_job_t *job, ts_subreply_t *subreply);
/** Replies that a job was not executed, as ts_job_reply(). */
void ts_job_refuse(ts_job_t *job, ts_error_t error);

#endif
