/**
 * Tenants, which are authenticated by the API keys of their requests. The table is part of a
 * configuration version: it is filled by a reader, validated once, and immutable afterwards. Keys
 * are stored as SHA-256 digests only; the key itself is never stored, logged or exported in
 * metrics.
 */
#ifndef TEALSPAR_TENANTS_H
#define TEALSPAR_TENANTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"

#define TS_KEY_DIGEST_BYTES 32U

/** SHA-256 digest of an API key. */
typedef struct ts_key_digest {
    uint8_t bytes[TS_KEY_DIGEST_BYTES];
} ts_key_digest_t;

typedef struct ts_tenant {
    char *name;
    double rate;       /**< requests per second over all gateways; 0: no limit */
    double burst;      /**< burst size, in requests beyond the rate */
    uint32_t keys;     /**< number of keys */
    uint32_t priority; /**< takes precedence over the route's; 0 is the highest */
} ts_tenant_t;

typedef struct ts_tenants ts_tenants_t;

ts_tenants_t *ts_tenants_create(void);
void ts_tenants_free(ts_tenants_t *tenants);
/** Adds a tenant; the caller fills in the other fields. A NULL name fails the validation. */
ts_tenant_t *ts_tenants_add(ts_tenants_t *tenants, const char *name);
/** Adds a key to the last added tenant. NULL (a malformed key) fails the validation. */
void ts_tenants_add_key(ts_tenants_t *tenants, const char *key);
/**
 * Validates and indexes the table. Errors are reported with the index of the tenant, never with the
 * text of a key. Returns TS_OK or TS_E_INVALID.
 */
ts_error_t ts_tenants_finish(ts_tenants_t *tenants, ts_problems_t *problems);
/** Number of tenants; if zero, requests need no key. */
unsigned ts_tenants_count(const ts_tenants_t *tenants);
/** Returns the tenant at index `i`, which must be below the number of tenants. */
const ts_tenant_t *ts_tenants_get(const ts_tenants_t *tenants, unsigned i);
ts_key_digest_t ts_key_digest(const char *key, size_t length);
/** Returns the tenant of a key, or NULL. */
const ts_tenant_t *ts_tenants_find_by_key(const ts_tenants_t *tenants,
                                          const ts_key_digest_t *digest);
/** Returns the tenant of that name, or NULL. */
const ts_tenant_t *ts_tenants_find(const ts_tenants_t *tenants, const char *name);

#endif
