/**
 * The dialect a deployment speaks: names of header fields, paths and the form of the configuration
 * service's documents. The product's code uses these names through this table only. A dialect
 * translates; it decides nothing.
 */
#ifndef TEALSPAR_DIALECT_H
#define TEALSPAR_DIALECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/registry.h"
#include "tealspar/store_position.h"
#include "tealspar/traffic.h"

/** Names of the header fields. */
typedef struct ts_header_names {
    const char *request_id;
    const char *deadline_ms;       /**< time that is left, in milliseconds */
    const char *expected_instance; /**< the only instance that may run the request */
    const char *not_executed;      /**< in an answer: the request was not run */
    const char *signature;         /**< in an answer: the searcher's proof of its work */
    const char *part_signatures;   /**< gathered answer: the signatures of the parts in it */
    const char *missing_parts;     /**< gathered answer: number of parts left out */
    const char *retry_after;       /**< refusal: seconds until the caller may come back */
    const char *authorization;     /**< the caller's credentials */
    const char *tenant;            /**< to a back end: name of the tenant, set by this node only */
    const char *load;              /**< in an answer: what the searcher tells of its load */
    const char *store_epoch;       /**< in an answer of the configuration service: its epoch */
} ts_header_names_t;

/** What an entry of the configuration service is about. */
typedef enum ts_store_kind {
    TS_STORE_OTHER,     /**< nothing of ours */
    TS_STORE_TRAFFIC,   /**< the configuration */
    TS_STORE_INSTANCE,  /**< a back end */
    TS_STORE_EVACUATION /**< while it is there, back ends of a zone get nothing */
} ts_store_kind_t;

/** One entry as it was written, or the news that it is gone. */
typedef struct ts_store_entry {
    ts_store_kind_t kind;
    char *key;
    char *id;                    /**< of the back end, or the zone's name; otherwise NULL */
    ts_store_position_t changed; /**< last */
    bool is_deleted;
    char *value;   /**< the document; NULL when gone */
    size_t length; /**< bytes of the value */
} ts_store_entry_t;

/** A page of entries, or the changes since a revision. */
typedef struct ts_store_page {
    GPtrArray *entries;           /**< of ts_store_entry_t, owned */
    ts_store_position_t position; /**< of the service when it answered */
    bool has_more;                /**< further pages follow */
} ts_store_page_t;

/** Frees an entry; a GDestroyNotify. */
void ts_store_entry_free(void *data);
ts_store_page_t *ts_store_page_create(void);
void ts_store_page_free(ts_store_page_t *page);
/** Sets the epoch of the page and of its entries, which stands in no body. */
void ts_store_page_set_epoch(ts_store_page_t *page, uint64_t epoch);
/** Adds an empty entry and returns it. */
ts_store_entry_t *ts_store_page_add(ts_store_page_t *page);

typedef struct ts_dialect {
    ts_header_names_t headers;
    const char *ready_path; /**< where this node is asked whether it is ready */
    /** Target of the call that lists all entries after `key` (NULL: from the first). */
    char *(*list_target)(const char *after_key);
    /** Target of the call that waits for changes after a revision. */
    char *(*watch_target)(uint64_t after_revision, uint32_t wait_ms);
    /** Target of a cheap call that only tells the service's revision, which may be seconds old. */
    char *(*probe_target)(void);
    /**
     * Reads the epoch of the configuration service from its header field (NULL: absent). It rises
     * each time the service has lost its latest changes, after which it gives revisions out anew.
     * 0: not told.
     */
    uint64_t (*read_epoch)(const char *text);
    /** Sets an entry's kind and id by its key. */
    void (*name_entry)(ts_store_entry_t *entry);
    /** Reads the answer of any call, but for its epoch. Returns TS_OK, TS_E_SYNTAX or TS_E_INVALID.
     */
    ts_error_t (*read_page)(const char *text, size_t length, ts_store_page_t *page);
    /** Reads an instance's entry; the caller clears the record. */
    ts_error_t (*read_instance)(const ts_store_entry_t *entry, ts_instance_record_t *record);
    /** Reads the load that an answer tells, without `reported_us`. Returns TS_OK or TS_E_SYNTAX. */
    ts_error_t (*read_load)(const char *text, ts_reported_load_t *load);
    /** Reads a configuration; NULL with problems listed. The caller owns the reference. */
    ts_traffic_t *(*read_traffic)(const char *text, size_t length, ts_problems_t *problems);
} ts_dialect_t;

#endif
