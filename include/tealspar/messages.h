/**
 * The typed messages that tasks exchange, and the small structs they carry. Each message has one
 * creator function; the kernel destroys a message after its receiver has handled it.
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

/** Whether work was done for a subrequest; what a refusal may promise depends on it. */
typedef enum ts_run {
    TS_RUN_NOT,     /**< certainly not run */
    TS_RUN_DONE,    /**< run to its end */
    TS_RUN_MAYBE,   /**< it may have run, or may still */
    TS_RUN_NOT_HERE /**< not by this owner, who can't tell what one before it has run */
} ts_run_t;

/** What a query asks, the same for all its shards. Counted by references; immutable. */
typedef struct ts_work {
    int references;
    char *request_id;
    char *kind;
    char *text;
    char *key;
    uint32_t limit; /**< hits wanted from each shard */
    bool unrepeatable;
    int64_t issued_at_ms; /**< caller's wall clock; unrepeatable requests only */
    uint32_t priority;
    uint32_t slot_share_percent;
    ts_time_us_t deadline_us; /**< on this process's clock */
} ts_work_t;

ts_work_t *ts_work_ref(ts_work_t *work);
void ts_work_unref(ts_work_t *work);

/** One shard to be asked of one back end. */
typedef struct ts_part {
    uint64_t counter; /**< id of the subrequest: incarnation hash in the high half, then a count */
    uint64_t backend; /**< ts_backend_t.id */
    uint64_t shard;   /**< ts_shard_t.id */
    uint64_t wanted_snapshot; /**< preferred index version; 0: any */
} ts_part_t;

typedef struct ts_hit {
    char *id;
    double score;
    char *text;
} ts_hit_t;

/** What came of one part. */
typedef struct ts_subreply {
    uint64_t counter;
    ts_error_t error;
    ts_run_t run;
    uint64_t snapshot; /**< index version of the answer */
    uint64_t total;    /**< hits in the shard, also those beyond the limit */
    ts_hit_t *hits;
    size_t hits_count;
    uint32_t service_us;   /**< time at the searcher */
    uint32_t queue_us;     /**< time waiting for a slot */
    uint32_t slots_in_use; /**< at the owner, when replying */
    uint32_t queue_length; /**< at the owner, when replying */
    uint32_t retry_after_ms;
} ts_subreply_t;

/** Frees the hits of a subreply, not the subreply. */
void ts_subreply_clear(ts_subreply_t *subreply);

/** Id of the node itself in `origin` and `peer` fields. */
#define TS_PEER_SELF 0ULL

/** To a broker: parts of one query. To the mesh: the same, to be carried to `peer`. */
typedef struct ts_subrequests_message {
    ts_message_t head;
    uint64_t peer; /**< where it goes (mesh) or comes from (broker) */
    ts_work_t *work;
    size_t parts_count;
    ts_part_t parts[];
} ts_subrequests_message_t;

/** Creates it with room for `parts_count` parts; takes a reference on `work`. */
ts_subrequests_message_t *ts_subrequests_message(uint64_t peer, ts_work_t *work,
                                                 size_t parts_count);

/** To a front: one subreply. To the mesh: the same, to be carried to `peer`. */
typedef struct ts_subreply_message {
    ts_message_t head;
    uint64_t peer;
    ts_subreply_t subreply;
} ts_subreply_message_t;

ts_subreply_message_t *ts_subreply_message(uint64_t peer);

/** A part is no longer wanted. */
typedef struct ts_cancel_message {
    ts_message_t head;
    uint64_t peer;
    uint64_t counter;
} ts_cancel_message_t;

ts_cancel_message_t *ts_cancel_message(uint64_t peer, uint64_t counter);

/** A packed ts_wire.Gossip, in or out. */
typedef struct ts_gossip_message {
    ts_message_t head;
    char *peer_name;    /**< the other node */
    char *peer_address; /**< its address for nodes */
    uint8_t *bytes;
    size_t length;
} ts_gossip_message_t;

ts_gossip_message_t *ts_gossip_message(const char *peer_name, const char *peer_address,
                                       const uint8_t *bytes, size_t length);

/** A connection to another node ended. */
typedef struct ts_peer_message {
    ts_message_t head;
    uint64_t peer;
    char *name;
} ts_peer_message_t;

ts_peer_message_t *ts_peer_message(uint64_t peer, const char *name);

/** One machine of the platform's list. */
typedef struct ts_machine {
    char *name;
    char *address; /**< for nodes */
    char *zone;
    bool leaving;
} ts_machine_t;

/** The platform's list of machines that run nodes. */
typedef struct ts_machines_message {
    ts_message_t head;
    GPtrArray *machines; /**< of ts_machine_t, owned */
} ts_machines_message_t;

ts_machines_message_t *ts_machines_message(void);
/** Adds a machine; texts are copied. */
void ts_machines_message_add(ts_machines_message_t *message, const char *name, const char *address,
                             const char *zone, bool leaving);

/** A configuration from the platform (no peer) or from a node; or a node's wish to have it. */
typedef struct ts_document_message {
    ts_message_t head;
    char *peer_name; /**< NULL: the platform */
    char *peer_address;
    bool wanted;
    uint64_t version;
    uint64_t digest; /**< with `version` and no text: an announcement */
    char *text;      /**< NULL unless the document is given */
    size_t length;
} ts_document_message_t;

ts_document_message_t *ts_document_message(const char *peer_name, const char *peer_address);

/** A configuration is in force. */
typedef struct ts_declarations_message {
    ts_message_t head;
    ts_declarations_t *declarations;
} ts_declarations_message_t;

ts_declarations_message_t *ts_declarations_message(ts_declarations_t *declarations);

/** A new view of the members. */
typedef struct ts_view_message {
    ts_message_t head;
    ts_view_t *view;
} ts_view_message_t;

ts_view_message_t *ts_view_message(ts_view_t *view);

/** A stopping broker has given up all it owned and answered all it was asked. */
ts_message_t *ts_broker_idle_message(void);

#endif
