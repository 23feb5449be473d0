/**
 * Types of the declarations, the configuration document of a cluster, which operators keep in
 * version control. Immutable once loaded and reference-counted; a query keeps a reference to the
 * version with which it started.
 */
#ifndef TEALSPAR_DECLARATIONS_T_H
#define TEALSPAR_DECLARATIONS_T_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/** When to stop waiting for shards that have not answered. */
typedef enum ts_wait_rule {
    TS_WAIT_DEADLINE, /**< wait for every shard until the deadline */
    TS_WAIT_COVERAGE, /**< stop as soon as the minimum coverage is reached */
    TS_WAIT_GAIN      /**< as above, but go on while the expected gain is high enough */
} ts_wait_rule_t;

/** Which of the reachable shards a query is sent to. */
typedef enum ts_route_rule {
    TS_ROUTE_ALL, /**< every shard */
    TS_ROUTE_KEY  /**< the shard selected by the hash of the query's key */
} ts_route_rule_t;

typedef struct ts_zone {
    char *name;
    char *region;
} ts_zone_t;

/** A shard of a group; it has the labels of the group. */
typedef struct ts_shard {
    char *name;     /**< "GROUP/NUMBER" */
    uint64_t id;    /**< hash of the name */
    uint32_t group; /**< index into groups */
} ts_shard_t;

typedef struct ts_group {
    char *name;
    char **labels; /**< "key=value" */
    unsigned labels_count;
    uint32_t shards; /**< number of shards */
} ts_group_t;

/** A searcher. */
typedef struct ts_backend {
    char *name;
    char *address;
    char *zone;
    char **labels;
    unsigned labels_count;
    char **shards; /**< names of its shards */
    unsigned shards_count;
    uint32_t slots;       /**< maximum concurrent requests */
    uint32_t connections; /**< maximum connections from all nodes */
    uint64_t id;          /**< hash of the name */
    uint32_t zone_index;
} ts_backend_t;

/** Reachable shards and limits of one kind of query. */
typedef struct ts_selector {
    char *kind;
    char **groups; /**< label terms, "key=value|value"; a group must match all of them */
    unsigned groups_count;
    char **backends; /**< label terms that a backend must match; none: all backends */
    unsigned backends_count;
    ts_route_rule_t route;
    ts_wait_rule_t wait;
    uint32_t deadline_ms;
    double least_coverage_percent;
    double hedge_percent;        /**< hedge budget, in percent of subrequests */
    double retry_percent;        /**< retry budget, in percent of subrequests */
    uint32_t priority;           /**< 0 to 9, 9 is the highest */
    uint32_t slot_share_percent; /**< maximum share of a backend's slots; absent or 0: 100 */
    uint32_t result_limit; /**< maximum hits that a caller may page through; 0 or absent: 100 */
    bool unrepeatable;     /**< queries must be executed at most once */
    /* Computed at load: */
    uint32_t *reach; /**< indexes of the reachable shards */
    uint32_t reach_count;
    uint32_t *replicas;       /**< indexes of backends, grouped by shard */
    uint32_t *replicas_begin; /**< reach_count + 1 offsets into replicas */
} ts_selector_t;

typedef struct ts_declarations {
    uint64_t version;
    ts_zone_t *zones;
    unsigned zones_count;
    ts_group_t *groups;
    unsigned groups_count;
    ts_backend_t *backends;
    unsigned backends_count;
    ts_selector_t *selectors;
    unsigned selectors_count;
    /* Computed at load: */
    ts_shard_t *shards;
    unsigned shards_count;
    GHashTable *backend_by_id; /**< &id -> index + 1 */
    GHashTable *shard_by_name; /**< name -> index + 1 */
    uint64_t digest;           /**< hash of `text` */
    char *text;                /**< the source document */
    size_t text_length;
    int references;
} ts_declarations_t;

#endif
