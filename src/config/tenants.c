/** The table of tenants: building, checking, and who holds a key. */
#include "tealspar/tenants.h"

#include <math.h>
#include <string.h>

#define PATH_MAX_CHARS 48

/* A key as it was read; the array is sorted out into `holders` at the end. */
typedef struct held_key {
    ts_key_digest_t digest;
    guint tenant; /* index of its holder */
    bool is_readable;
} held_key_t;

struct ts_tenants {
    GPtrArray *list;     /* of ts_tenant_t, owned */
    GArray *keys;        /* of held_key_t */
    GHashTable *holders; /* ts_key_digest_t within `keys` -> ts_tenant_t */
    GHashTable *by_name; /* name -> ts_tenant_t */
};

static void free_tenant(gpointer data)
{
    ts_tenant_t *tenant = data;
    g_free(tenant->name);
    g_free(tenant);
}

/* A digest is as good as random, so that its first bytes are a hash. */
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
    tenants->keys = g_array_new(FALSE, FALSE, sizeof(held_key_t));
    tenants->holders = g_hash_table_new(hash_digest, is_same_digest);
    tenants->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return tenants;
}

void ts_tenants_free(ts_tenants_t *tenants)
{
    if (tenants == NULL)
        return;
    g_hash_table_destroy(tenants->by_name);
    g_hash_table_destroy(tenants->holders);
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
    held_key_t held = {.tenant = tenants->list->len - 1};
    ts_tenant_t *tenant = g_ptr_array_index(tenants->list, held.tenant);
    tenant->keys++;
    held.is_readable = key != NULL && *key != '\0';
    if (held.is_readable)
        held.digest = ts_key_digest(key, strlen(key));
    g_array_append_val(tenants->keys, held);
}

// -- Checks

/* A name goes into a header field as it is: visible characters only. */
static bool is_name_sound(const char *name)
{
    if (name == NULL || *name == '\0')
        return false;
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isgraph(*c))
            return false;
    }
    return true;
}

static bool is_limit_sound(double limit)
{
    return isfinite(limit) && limit >= 0;
}

static const char *find_fault(const ts_tenants_t *tenants, const ts_tenant_t *tenant)
{
    if (!is_name_sound(tenant->name))
        return "a tenant needs a name of visible characters";
    if (g_hash_table_contains(tenants->by_name, tenant->name))
        return "the name is another tenant's";
    if (!is_limit_sound(tenant->rate) || !is_limit_sound(tenant->burst))
        return "rate and burst must be numbers that are not below zero";
    return NULL;
}

static ts_error_t list_fault(ts_problems_t *problems, guint tenant, const char *field,
                             const char *fault)
{
    char path[PATH_MAX_CHARS];
    g_snprintf(path, sizeof(path), "tenants[%u]%s", tenant, field);
    ts_problems_add(problems, TS_E_INVALID, 0, path, "%s", fault);
    return TS_E_INVALID;
}

static ts_error_t index_keys(ts_tenants_t *tenants, ts_problems_t *problems)
{
    ts_error_t result = TS_OK;
    for (guint i = 0; i < tenants->keys->len; i++) {
        held_key_t *held = &g_array_index(tenants->keys, held_key_t, i);
        ts_tenant_t *tenant = g_ptr_array_index(tenants->list, held->tenant);
        const ts_tenant_t *other = g_hash_table_lookup(tenants->holders, &held->digest);
        if (!held->is_readable)
            result = list_fault(problems, held->tenant, ".keys", "a key must not be empty");
        else if (other != NULL && other != tenant)
            result = list_fault(problems, held->tenant, ".keys", "a key is another tenant's too");
        else
            g_hash_table_insert(tenants->holders, &held->digest, tenant);
    }
    return result;
}

ts_error_t ts_tenants_finish(ts_tenants_t *tenants, ts_problems_t *problems)
{
    ts_error_t result = TS_OK;
    for (guint i = 0; i < tenants->list->len; i++) {
        ts_tenant_t *tenant = g_ptr_array_index(tenants->list, i);
        const char *fault = find_fault(tenants, tenant);
        if (fault == NULL)
            g_hash_table_insert(tenants->by_name, tenant->name, tenant);
        else
            result = list_fault(problems, i, "", fault);
    }
    ts_error_t keys = index_keys(tenants, problems);
    return result == TS_OK ? keys : result;
}

// -- Asking

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
    return g_hash_table_lookup(tenants->holders, digest);
}

const ts_tenant_t *ts_tenants_find(const ts_tenants_t *tenants, const char *name)
{
    return g_hash_table_lookup(tenants->by_name, name);
}
