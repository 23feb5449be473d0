/** The tenant table: construction, validation and lookup by key. */
#include "tealspar/tenants.h"

#include <math.h>
#include <string.h>

#define PATH_MAX_CHARS 48

/* A key as read; ts_tenants_finish() indexes the keys in `by_key`. */
typedef struct key_entry {
    ts_key_digest_t digest;
    guint tenant;  /* index in `list` */
    bool is_valid; /* not missing or empty */
} key_entry_t;

struct ts_tenants {
    GPtrArray *list;     /* of ts_tenant_t, owned */
    GArray *keys;        /* of key_entry_t */
    GHashTable *by_key;  /* digest of an element of `keys` -> ts_tenant_t */
    GHashTable *by_name; /* name -> ts_tenant_t */
};

static void free_tenant(gpointer data)
{
    ts_tenant_t *tenant = data;
    g_free(tenant->name);
    g_free(tenant);
}

/* A SHA-256 digest is uniformly distributed, so its first bytes can be used as a hash. */
static guint hash_digest(gconstpointer data)
{
    guint hash = 0;
    memcpy(&hash, ((const ts_key_digest_t *)data)->bytes, sizeof(hash));
    return hash;
}

static gboolean is_same_digest(gconstpointer left, gconstpointer right)
{
    return memcmp(left, right, sizeof(ts_key_digest_t)) == 0;
}

ts_tenants_t *ts_tenants_create(void)
{
    ts_tenants_t *tenants = g_new0(ts_tenants_t, 1);
    tenants->list = g_ptr_array_new_with_free_func(free_tenant);
    tenants->keys = g_array_new(FALSE, FALSE, sizeof(key_entry_t));
    tenants->by_key = g_hash_table_new(hash_digest, is_same_digest);
    tenants->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return tenants;
}

void ts_tenants_free(ts_tenants_t *tenants)
{
    if (tenants == NULL)
        return;
    g_hash_table_destroy(tenants->by_name);
    g_hash_table_destroy(tenants->by_key);
    g_array_free(tenants->keys, TRUE);
    g_ptr_array_unref(tenants->list);
    g_free(tenants);
}

ts_tenant_t *ts_tenants_add(ts_tenants_t *tenants, const char *name)
{
    ts_tenant_t *tenant = g_new0(ts_tenant_t, 1);
    tenant->name = g_strdup(name);
    g_ptr_array_add(tenants->list, tenant);
    return tenant;
}

ts_key_digest_t ts_key_digest(const char *key, size_t length)
{
    ts_key_digest_t digest;
    gsize size = sizeof(digest.bytes);
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(checksum, (const guchar *)key, (gssize)length);
    g_checksum_get_digest(checksum, digest.bytes, &size);
    g_checksum_free(checksum);
    return digest;
}

void ts_tenants_add_key(ts_tenants_t *tenants, const char *key)
{
    key_entry_t entry = {.tenant = tenants->list->len - 1};
    ts_tenant_t *tenant = g_ptr_array_index(tenants->list, entry.tenant);
    tenant->keys++;
    entry.is_valid = key != NULL && *key != '\0';
    if (entry.is_valid)
        entry.digest = ts_key_digest(key, strlen(key));
    g_array_append_val(tenants->keys, entry);
}

// -- Validation

/* Names are copied into header fields unescaped, so only visible characters are allowed. */
static bool is_valid_name(const char *name)
{
    if (name == NULL || *name == '\0')
        return false;
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isgraph(*c))
            return false;
    }
    return true;
}

static bool is_valid_limit(double limit)
{
    return isfinite(limit) && limit >= 0;
}

static const char *find_error(const ts_tenants_t *tenants, const ts_tenant_t *tenant)
{
    if (!is_valid_name(tenant->name))
        return "the tenant name must not be empty and must consist of visible characters";
    if (g_hash_table_contains(tenants->by_name, tenant->name))
        return "the tenant name is already used";
    if (!is_valid_limit(tenant->rate) || !is_valid_limit(tenant->burst))
        return "rate and burst must be finite and not negative";
    return NULL;
}

static ts_error_t add_problem(ts_problems_t *problems, guint tenant, const char *field,
                              const char *reason)
{
    char path[PATH_MAX_CHARS];
    g_snprintf(path, sizeof(path), "tenants[%u]%s", tenant, field);
    ts_problems_add(problems, TS_E_INVALID, 0, path, "%s", reason);
    return TS_E_INVALID;
}

static ts_error_t index_keys(ts_tenants_t *tenants, ts_problems_t *problems)
{
    ts_error_t result = TS_OK;
    for (guint i = 0; i < tenants->keys->len; i++) {
        key_entry_t *entry = &g_array_index(tenants->keys, key_entry_t, i);
        ts_tenant_t *tenant = g_ptr_array_index(tenants->list, entry->tenant);
        const ts_tenant_t *other = g_hash_table_lookup(tenants->by_key, &entry->digest);
        if (!entry->is_valid)
            result = add_problem(problems, entry->tenant, ".keys",
                                 "a key must be a string that is not empty");
        else if (other != NULL && other != tenant)
            result = add_problem(problems, entry->tenant, ".keys",
                                 "the key is already used by another tenant");
        else
            g_hash_table_insert(tenants->by_key, &entry->digest, tenant);
    }
    return result;
}

ts_error_t ts_tenants_finish(ts_tenants_t *tenants, ts_problems_t *problems)
{
    ts_error_t result = TS_OK;
    for (guint i = 0; i < tenants->list->len; i++) {
        ts_tenant_t *tenant = g_ptr_array_index(tenants->list, i);
        const char *reason = find_error(tenants, tenant);
        if (reason == NULL)
            g_hash_table_insert(tenants->by_name, tenant->name, tenant);
        else
            result = add_problem(problems, i, "", reason);
    }
    ts_error_t keys = index_keys(tenants, problems);
    return result == TS_OK ? keys : result;
}

// -- Lookup

unsigned ts_tenants_count(const ts_tenants_t *tenants)
{
    return tenants->list->len;
}

const ts_tenant_t *ts_tenants_get(const ts_tenants_t *tenants, unsigned i)
{
    return g_ptr_array_index(tenants->list, i);
}

const ts_tenant_t *ts_tenants_find_by_key(const ts_tenants_t *tenants,
                                          const ts_key_digest_t *digest)
{
    return g_hash_table_lookup(tenants->by_key, digest);
}

const ts_tenant_t *ts_tenants_find(const ts_tenants_t *tenants, const char *name)
{
    return g_hash_table_lookup(tenants->by_name, name);
}
