/**
 * Tenants: who may send requests, by the keys that callers show. A table of them is a part of one
 * version of the configuration: a reader fills it, then it is checked and never changes. Keys are
 * held as SHA-256 digests only; the text of a key is never kept, logged or counted.
 */
#ifndef TEALSPAR_TENANTS_H
#define TEALSPAR_TENANTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"

#define TS_KEY_DIGEST_BYTES 32U

/** What stands for a key. */
typedef struct ts_key_digest {
    uint8_t bytes[TS_KEY_DIGEST_BYTES];
} ts_key_digest_t;

typedef struct ts_tenant {
    char *name;
    double rate;       /**< requests a second over the whole fleet; 0: no limit */
    double burst;      /**< requests beyond the rate */
    uint32_t keys;     /**< number of its keys */
    uint32_t priority; /**< goes before the route's; 0 is the most urgent */
} ts_tenant_t;

typedef struct ts_tenants ts_tenants_t;

/** An empty table. */
ts_tenants_t *ts_tenants_create(void);
void ts_tenants_free(ts_tenants_t *tenants);
/** Adds a tenant; the reader fills the rest. NULL as a name makes the table fail its check. */
ts_tenant_t *ts_tenants_add(ts_tenants_t *tenants, const char *name);
/** One more key of the tenant that was added last. NULL: one that can't be read. */
void ts_tenants_add_key(ts_tenants_t *tenants, const char *key);
/**
 * Checks the table and indexes it. Contradictions are listed by the place in the table; a key is
 * named by its tenants, never by its text. TS_OK or TS_E_INVALID.
 */
ts_error_t ts_tenants_finish(ts_tenants_t *tenants, ts_problems_t *problems);
/** Number of tenants; with none, requests need no key. */
unsigned ts_tenants_count(const ts_tenants_t *tenants);
/** The tenant at a place below the number of tenants. */
const ts_tenant_t *ts_tenants_at(const ts_tenants_t *tenants, unsigned i);
/** Digest of a key's text. */
ts_key_digest_t ts_key_digest(const char *key, size_t length);
/** Who holds a key, or NULL. */
const ts_tenant_t *ts_tenants_find_holder(const ts_tenants_t *tenants,
                                          const ts_key_digest_t *digest);
/** The tenant of a name, or NULL. */
const ts_tenant_t *ts_tenants_find(const ts_tenants_t *tenants, const char *name);

#endif
