/**
 * Adapter to the platform of a deployment: the names of header fields, the paths, and the format of
 * the configuration service's documents. All other code uses these names through this table only. A
 * dialect translates and contains no policy.
 */
#ifndef TEALSPAR_DIALECT_H
#define TEALSPAR_DIALECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/registry.h"
#include "tealspar/store_position.h"
#include "tealspar/traffic.h"

typedef struct ts_header_names {
    const char *request_id;
    const char *deadline_ms;       /**< request: remaining time in milliseconds */
    const char *expected_instance; /**< request: the only instance that may run it */
    const char *not_executed;      /**< response: the request was not run */
    const char *signature;         /**< response: the backend's proof that it ran the request */
    const char *part_signatures;   /**< response merged from several shards: their signatures */
    const char *missing_parts;     /**< merged response: number of shards without a result in it */
    const char *retry_after;       /**< response that refuses a request: seconds until a retry */
    const char *authorization;     /**< request: the caller's credentials */
    const char *tenant;            /**< request to a backend: the tenant; a caller's is dropped */
    const char *load;              /**< response: load reported by the backend */
    const char *store_epoch;       /**< response of the configuration service: its epoch */
} ts_header_names_t;

/** Type of an entry of the configuration service (the store). */
typedef enum ts_store_kind {
    TS_STORE_OTHER,     /**< not used by this program */
    TS_STORE_TRAFFIC,   /**< the routing configuration (ts_traffic_t) */
    TS_STORE_INSTANCE,  /**< an instance of a backend, see tealspar/registry.h */
    TS_STORE_EVACUATION /**< while it exists, no requests are sent to the backends of a zone */
} ts_store_kind_t;

/** An entry of the configuration service, or its deletion. */
typedef struct ts_store_entry {
    ts_store_kind_t kind;
    char *key;
    char *id; /**< id of the instance, or name of the evacuated zone; otherwise NULL */
    ts_store_position_t changed; /**< position of its last change */
    bool is_deleted;
    char *value;   /**< the document; NULL if deleted */
    size_t length; /**< bytes of the value */
} ts_store_entry_t;

/** One page of a listing, or the changes since a revision. */
typedef struct ts_store_page {
    GPtrArray *entries;           /**< of ts_store_entry_t, owned */
    ts_store_position_t position; /**< of the service when it responded */
    bool has_more;                /**< more pages follow */
} ts_store_page_t;

/** Frees an entry; a GDestroyNotify. */
void ts_store_entry_free(void *data);
ts_store_page_t *ts_store_page_create(void);
void ts_store_page_free(ts_store_page_t *page);
/** Sets the epoch of the page and its entries; it comes from a header field, not from the body. */
void ts_store_page_set_epoch(ts_store_page_t *page, uint64_t epoch);
/** Adds an empty entry and returns it. */
ts_store_entry_t *ts_store_page_add(ts_store_page_t *page);

typedef struct ts_dialect {
    ts_header_names_t headers;
    const char *ready_path; /**< path of this node's readiness check */
    /** Callers wait for a retry-after time of at most this share of the time they have left. */
    double retry_wait_share;
    /** Request target that lists all entries after `after_key` (NULL: from the first). */
    char *(*list_target)(const char *after_key);
    /** Request target that waits up to `wait_ms` for changes after a revision. */
    char *(*watch_target)(uint64_t after_revision, uint32_t wait_ms);
    /**
     * Parses the header field with the epoch of the configuration service (NULL: absent). The epoch
     * rises each time the service was restored from an older copy, after which it reuses revision
     * numbers. 0: absent or malformed.
     */
    uint64_t (*read_epoch)(const char *text);
    /** Sets an entry's kind and id according to its key. */
    void (*classify_entry)(ts_store_entry_t *entry);
    /**
     * Parses the response to a list or watch request. Does not set the epoch, see
     * ts_store_page_set_epoch(). Returns TS_OK or TS_E_SYNTAX.
     */
    ts_error_t (*read_page)(const char *text, size_t length, ts_store_page_t *page);
    /**
     * Parses the entry of an instance. The caller clears the record, also after an error. Returns
     * TS_OK or TS_E_SYNTAX.
     */
    ts_error_t (*read_instance)(const ts_store_entry_t *entry, ts_instance_record_t *record);
    /** Parses a load; the caller sets `reported_us`. Returns TS_OK or TS_E_SYNTAX. */
    ts_error_t (*read_load)(const char *text, ts_reported_load_t *load);
    /** Parses a configuration; returns a new reference, or NULL after adding to `problems`. */
    ts_traffic_t *(*read_traffic)(const char *text, size_t length, ts_problems_t *problems);
} ts_dialect_t;

#endif
