/**
 * The typed messages exchanged by tasks, and their payload structs. Each message type has one
 * constructor. The kernel destroys a message after its handler, unless the handler set
 * `is_retained`. Subrequests, subreplies and cancellations go to the local broker or front, where
 * `peer` is the sender, or to the mesh, where `peer` is the destination. The platform is the
 * service that lists machines and provides the configuration.
 */
#ifndef TEALSPAR_MESSAGES_H
#define TEALSPAR_MESSAGES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/declarations-t.h"
#include "tealspar/task.h"
#include "tealspar/view.h"

/**
 * Whether a request or subrequest was executed; determines what a refusal may guarantee. The values
 * are sent on the wire.
 */
typedef enum ts_execution {
    TS_EXECUTION_NONE,      /**< not executed */
    TS_EXECUTION_COMPLETED, /**< completed */
    TS_EXECUTION_POSSIBLE,  /**< may have been executed, or may still be */
    TS_EXECUTION_NOT_HERE   /**< not by this owner; an earlier owner may have executed it */
} ts_execution_t;

/** Parameters of a query, shared by all its subrequests. Immutable, reference-counted. */
typedef struct ts_query_params {
    int references;
    char *request_id;
    char *kind;
    char *text;
    char *key;
    uint32_t limit; /**< maximum hits per shard */
    bool unrepeatable;
    int64_t issued_at_ms; /**< by the caller's wall clock; unrepeatable requests only */
    uint32_t priority;
    uint32_t slot_share_percent;
    ts_time_us_t deadline_us; /**< by the clock of this process */
} ts_query_params_t;

ts_query_params_t *ts_query_params_ref(ts_query_params_t *params);
void ts_query_params_unref(ts_query_params_t *params);

/** A subrequest: a query to one shard at one backend. */
typedef struct ts_subrequest {
    uint64_t counter; /**< subrequest id: incarnation hash (high half) and sequence number */
    uint64_t backend; /**< ts_backend_t.id */
    uint64_t shard;   /**< ts_shard_t.id */
    uint64_t wanted_snapshot; /**< preferred snapshot (index version); 0: any */
} ts_subrequest_t;

typedef struct ts_hit {
    char *id;
    double score;
    char *text;
} ts_hit_t;

/** Result of one subrequest. */
typedef struct ts_subreply {
    uint64_t counter;
    ts_error_t error;
    ts_execution_t run; /**< whether the searcher executed the subrequest */
    uint64_t snapshot;  /**< snapshot (index version) that was searched */
    uint64_t total;     /**< all hits in the shard, including those beyond the limit */
    ts_hit_t *hits;
    size_t hits_count;
    uint32_t service_us;   /**< time at the searcher including the network, measured by the owner */
    uint32_t queue_us;     /**< time spent waiting for a slot */
    uint32_t slots_in_use; /**< at the owner when it replies; 0 if unknown */
    uint32_t queue_length; /**< at the owner when it replies; 0 if unknown */
    uint32_t retry_after_ms; /**< suggested wait before a retry; 0: none */
} ts_subreply_t;

/** Frees the hits of a subreply, but not the subreply itself. */
void ts_subreply_clear(ts_subreply_t *subreply);

/** Id of the local node in `peer` fields. */
#define TS_PEER_SELF 0ULL

/** Subrequests of one query, from a front to a broker. */
typedef struct ts_subrequests_message {
    ts_message_t head;
    uint64_t peer; /**< at a broker: the sender; at the mesh: the destination */
    ts_query_params_t *work;
    size_t parts_count;
    ts_subrequest_t parts[];
} ts_subrequests_message_t;

/** Creates a message with space for `parts_count` subrequests; takes a reference to `params`. */
ts_subrequests_message_t *ts_subrequests_message(uint64_t peer, ts_query_params_t *params,
                                                 size_t parts_count);

/** A subreply, from a broker to a front. */
typedef struct ts_subreply_message {
    ts_message_t head;
    uint64_t peer; /**< at a front: the sender; at the mesh: the destination */
    ts_subreply_t subreply;
} ts_subreply_message_t;

ts_subreply_message_t *ts_subreply_message(uint64_t peer);

/**
 * Refuses the subrequests among `messages` whose deadline has passed. The mesh does not send them
 * (ts_wire_frame_build()), so they are known not to be executed.
 */
void ts_subrequests_refuse_expired(ts_message_t *const *messages, size_t count, ts_task_t *front);

/** Request to a broker to cancel a subrequest; ignored if that has ended. */
typedef struct ts_cancel_message {
    ts_message_t head;
    uint64_t peer;    /**< at a broker: the sender; at the mesh: the destination */
    uint64_t counter; /**< id of the subrequest */
} ts_cancel_message_t;

ts_cancel_message_t *ts_cancel_message(uint64_t peer, uint64_t counter);

/** A serialized ts_wire.Gossip, received or to be sent. */
typedef struct ts_gossip_message {
    ts_message_t head;
    char *peer_name;    /**< at membership: the sender; at the mesh: the destination */
    char *peer_address; /**< address of that peer for connections between nodes */
    uint8_t *bytes;
    size_t length;
} ts_gossip_message_t;

ts_gossip_message_t *ts_gossip_message(const char *peer_name, const char *peer_address,
                                       const uint8_t *bytes, size_t length);

/** The connection to a peer was closed. */
typedef struct ts_peer_lost_message {
    ts_message_t head;
    uint64_t peer;
    char *name;
} ts_peer_lost_message_t;

ts_peer_lost_message_t *ts_peer_lost_message(uint64_t peer, const char *name);

/** One machine of the platform's list. */
typedef struct ts_machine {
    char *name;
    char *address; /**< for connections between nodes */
    char *zone;
    bool leaving;
} ts_machine_t;

/** The platform's list of the machines that run nodes. */
typedef struct ts_machines_message {
    ts_message_t head;
    GPtrArray *machines; /**< of ts_machine_t, owned */
} ts_machines_message_t;

ts_machines_message_t *ts_machines_message(void);
/** Adds a machine; the strings are copied. */
void ts_machines_message_add(ts_machines_message_t *message, const char *name, const char *address,
                             const char *zone, bool leaving);

/**
 * One of three messages about the configuration document: an announcement has `version` and
 * `digest`, a request of a peer has only `wanted`, and a document, from the platform or a peer, has
 * `version`, `text` and `length`.
 */
typedef struct ts_document_message {
    ts_message_t head;
    char *peer_name; /**< as in ts_gossip_message_t; NULL: from the platform */
    char *peer_address;
    bool wanted; /**< the peer requests the document */
    uint64_t version;
    uint64_t digest; /**< of an announcement */
    char *text;      /**< NULL unless this is a document */
    size_t length;
} ts_document_message_t;

ts_document_message_t *ts_document_message(const char *peer_name, const char *peer_address);

/** The configuration that is now in effect, for the tasks to switch to. */
typedef struct ts_declarations_message {
    ts_message_t head;
    ts_declarations_t *declarations;
} ts_declarations_message_t;

ts_declarations_message_t *ts_declarations_message(ts_declarations_t *declarations);

/** A new membership view. */
typedef struct ts_view_message {
    ts_message_t head;
    ts_view_t *view;
} ts_view_message_t;

ts_view_message_t *ts_view_message(ts_view_t *view);

/** A broker that is shutting down has released its backends and answered all subrequests. */
ts_message_t *ts_broker_idle_message(void);

#endif
