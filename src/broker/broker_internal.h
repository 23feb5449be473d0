/** What the modules of the broker share among themselves. */
#ifndef TEALSPAR_BROKER_INTERNAL_H
#define TEALSPAR_BROKER_INTERNAL_H

#include "tealspar/idempotency.h"
#include "tealspar/messages.h"
#include "tealspar/searcher_client.h"

typedef struct ts_broker ts_broker_t;
typedef struct ts_owned ts_owned_t;

/** One subrequest at the broker. */
typedef struct ts_job {
    ts_broker_t *broker;
    ts_owned_t *owned;
    uint64_t peer; /**< whom to answer */
    ts_subrequest_t part;
    ts_query_params_t *work;
    ts_searcher_call_t *call; /**< set while running */
    ts_time_us_t taken_us;
    ts_time_us_t started_us;
} ts_job_t;

/** What the owner knows of a back end. */
typedef enum ts_owned_state {
    TS_OWNED_CHECKING, /**< just taken over: work waits until its health is known */
    TS_OWNED_SERVING,
    TS_OWNED_STARTING,    /**< not ready yet */
    TS_OWNED_DRAINING,    /**< leaving: no new work */
    TS_OWNED_UNREACHABLE, /**< no connection; probed until it answers */
    TS_OWNED_RETIRED      /**< not owned any more; finishing what is in flight */
} ts_owned_state_t;

/** One back end that this node owns: its connections, its slots and its queue. */
struct ts_owned {
    ts_broker_t *broker;
    uint64_t id;
    char *name;
    char *address;
    uint32_t slots;
    uint32_t connections;
    char **shards; /**< names; NULL-terminated */
    ts_searcher_t *searcher;
    ts_owned_state_t state;
    uint32_t allowed;   /**< slots that may be used now; grows to `slots` with each success */
    GPtrArray *running; /**< of ts_job_t */
    GPtrArray *waiting; /**< of ts_job_t */
    double service_us;
    int64_t owned_since_ms;     /**< wall clock */
    bool is_foreign;            /**< its zone has no nodes: others may own it as well, unseen */
    ts_time_us_t drain_told_us; /**< when a reply said that it drains; 0: never */
    bool is_health_stale;       /**< the pending check was asked before a stall */
    ts_time_us_t health_due_us;
    bool health_pending;
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
    GHashTable *owned;  /**< &id -> ts_owned_t, owned */
    GPtrArray *retired; /**< of ts_owned_t, finishing */
    GHashTable *jobs;   /**< &counter -> ts_job_t, owned */
    ts_idempotency_t *idempotency;
    ts_timer_t tick;
    ts_timer_t handover;         /**< gives everything up some time after a stop began */
    ts_time_us_t awake_us;       /**< when the broker last ran */
    ts_time_us_t doubt_until_us; /**< after a stall nothing unrepeatable is sent until then */
    int64_t standing_since_ms;   /**< wall clock; others may have owned the same before */
    uint64_t standing;           /**< of the view */
    bool stopping;
    bool gave_up;
    bool has_told_idle;
};

/** Begins to own a back end. */
ts_owned_t *ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend);
/** Frees a back end that has nothing in flight. */
void ts_owned_free(ts_owned_t *owned);
/** Changes the state; the one place where it changes. */
void ts_owned_set_state(ts_owned_t *owned, ts_owned_state_t state);
/** Asks for the health anew before any more work is sent; after a stall of the process. */
void ts_owned_recheck(ts_owned_t *owned);
/** Takes a job: runs it, queues it, or refuses it. */
void ts_owned_submit(ts_owned_t *owned, ts_job_t *job);
/** Cancels a job, running or waiting, without a reply; its slot is free at once. */
void ts_owned_cancel(ts_job_t *job);
/** Refuses every waiting job with an error; they were not run. */
void ts_owned_refuse_waiting(ts_owned_t *owned, ts_error_t error);
/** Ends jobs whose deadline has passed and asks for the health when due. */
void ts_owned_tick(ts_owned_t *owned, ts_time_us_t now_us);
/** Whether it has the shard by the declarations. */
const char *ts_owned_find_shard(const ts_owned_t *owned, uint64_t shard);
const char *ts_owned_state_name(ts_owned_state_t state);

/** Answers a job and frees it. */
void ts_job_reply(ts_job_t *job, ts_subreply_t *subreply);
/** Answers a job that was not run and frees it. */
void ts_job_refuse(ts_job_t *job, ts_error_t error);

#endif
