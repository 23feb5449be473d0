/**
 * Cost of a large tenant table: time to build it, its memory, and time to look up the
 * tenant that holds a key.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "tealspar/clock.h"
#include "tealspar/tenants.h"

#define TENANTS 10000
#define KEYS_PER_TENANT 5
#define LOOKUPS 200000
#define KEY_CHARS 24

static void compose_key(char *key, unsigned tenant, unsigned i)
{
    g_snprintf(key, KEY_CHARS, "key-%08u-%02u", tenant, i);
}

static ts_tenants_t *build_tenants(void)
{
    ts_tenants_t *tenants = ts_tenants_create();
    ts_problems_t problems;
    ts_problems_init(&problems);
    for (unsigned i = 0; i < TENANTS; i++) {
        char text[KEY_CHARS];
        g_snprintf(text, sizeof(text), "tenant-%u", i);
        ts_tenants_add(tenants, text)->rate = 10;
        for (unsigned j = 0; j < KEYS_PER_TENANT; j++) {
            compose_key(text, i, j);
            ts_tenants_add_key(tenants, text);
        }
    }
    (void)ts_tenants_finish(tenants, &problems);
    ts_problems_clear(&problems);
    return tenants;
}

static double us_since(ts_time_us_t begun_us)
{
    return (double)(ts_clock_now_us() - begun_us);
}

/* Includes large blocks, which malloc allocates by mmap. */
static double allocated_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)(info.uordblks + info.hblkhd);
}

int main(void)
{
    double before = allocated_bytes();
    ts_time_us_t begun_us = ts_clock_now_us();
    ts_tenants_t *tenants = build_tenants();
    printf("build: %.1f ms for %d tenants and %d keys\n", us_since(begun_us) / TS_US_PER_MS,
           TENANTS, TENANTS * KEYS_PER_TENANT);
    printf("memory: %.1f MB\n", (allocated_bytes() - before) / 1e6);
    unsigned found = 0;
    begun_us = ts_clock_now_us();
    for (unsigned i = 0; i < LOOKUPS; i++) {
        char key[KEY_CHARS];
        compose_key(key, i * 7919U % TENANTS, i % KEYS_PER_TENANT);
        ts_key_digest_t digest = ts_key_digest(key, strlen(key));
        found += ts_tenants_find_by_key(tenants, &digest) != NULL;
    }
    printf("look-up, including formatting and digest of the key: %.2f us, %u of %d found\n",
           us_since(begun_us) / LOOKUPS, found, LOOKUPS);
    ts_tenants_free(tenants);
    return 0;
}
