/**
 * Cost of the quarantine: the digest of a request, its look-up in a full table, and a flood of
 * distinct requests suspected of crashing backends. Not measured: with an empty table callers skip
 * the digest and the look-up after one comparison, so the added cost counts as 0.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "tealspar/clock.h"
#include "tealspar/log.h"
#include "tealspar/quarantine.h"

#define ITERATIONS 200000U
#define FLOOD_REQUESTS 100000U
/* As QUARANTINED_MAX in src/route/quarantine.c, so that the table is full. */
#define QUARANTINED_COUNT 1024U
#define BODY_SIZE (64U * 1024U)
#define BODY_ITERATIONS 2000U

static double us_since(ts_time_us_t begun_us)
{
    return (double)(ts_clock_now_us() - begun_us);
}

static ts_request_digest_t compute_digest(uint32_t number, const char *body, size_t size)
{
    static const char line[] = "GET /search/guests?roll=17&name=mehta&page=2 HTTP/1.1\r\n";
    ts_digest_piece_t pieces[] = {{line, strlen(line)},
                                  {"lookup.example", strlen("lookup.example")},
                                  {(const char *)&number, sizeof(number)},
                                  {body, size}};
    return ts_request_digest(pieces, G_N_ELEMENTS(pieces));
}

static void measure_digest(void)
{
    char *body = g_malloc0(BODY_SIZE);
    unsigned sum = 0; /* of the first bytes; printed so that the results are used */
    ts_time_us_t begun_us = ts_clock_now_us();
    for (uint32_t i = 0; i < ITERATIONS; i++)
        sum += compute_digest(i, NULL, 0).bytes[0];
    printf("digest without a body: %.2f us (%u)\n", us_since(begun_us) / ITERATIONS, sum);
    begun_us = ts_clock_now_us();
    for (uint32_t i = 0; i < BODY_ITERATIONS; i++)
        sum += compute_digest(i, body, BODY_SIZE).bytes[0];
    printf("digest with %u kB of body: %.0f us (%u)\n", BODY_SIZE / 1024U,
           us_since(begun_us) / BODY_ITERATIONS, sum);
    g_free(body);
}

static double allocated_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)(info.uordblks + info.hblkhd);
}

static void quarantine_requests(ts_quarantine_t *quarantine, uint32_t first, uint32_t count)
{
    for (uint32_t i = first; i < first + count; i++) {
        ts_request_digest_t digest = compute_digest(i, NULL, 0);
        /* Two strikes (QUARANTINE_MIN_STRIKES) quarantine a request. */
        ts_quarantine_strike(quarantine, &digest, "shard", TS_US_PER_S, TS_US_PER_S);
        ts_quarantine_strike(quarantine, &digest, "shard", TS_US_PER_S, TS_US_PER_S);
    }
}

static void measure_flood(ts_quarantine_t *quarantine)
{
    ts_time_us_t begun_us = ts_clock_now_us();
    for (uint32_t i = 0; i < FLOOD_REQUESTS; i++) {
        ts_request_digest_t digest = compute_digest(QUARANTINED_COUNT + i, NULL, 0);
        ts_quarantine_suspect(quarantine, &digest, "shard", TS_US_PER_S + i);
    }
    printf("flood of %u distinct suspects: %.2f us each, including digest and eviction of the "
           "oldest suspect\n",
           FLOOD_REQUESTS, us_since(begun_us) / FLOOD_REQUESTS);
}

static void measure_lookups(const ts_quarantine_t *quarantine)
{
    unsigned hits = 0;
    ts_request_digest_t digests[16];
    /* The step of 97 mixes quarantined requests with others. */
    for (uint32_t i = 0; i < G_N_ELEMENTS(digests); i++)
        digests[i] = compute_digest(i * 97U, NULL, 0);
    ts_time_us_t begun_us = ts_clock_now_us();
    for (uint32_t i = 0; i < ITERATIONS; i++)
        hits += ts_quarantine_find(quarantine, &digests[i % G_N_ELEMENTS(digests)],
                                   2 * TS_US_PER_S) == TS_QUARANTINE_QUARANTINED;
    printf("look-up in a full table: %.3f us, %u of %u look-ups found a quarantined request\n",
           us_since(begun_us) / ITERATIONS, hits, ITERATIONS);
    begun_us = ts_clock_now_us();
    uint64_t sum = ts_quarantine_checksum(quarantine, 2 * TS_US_PER_S);
    printf("checksum over the quarantined requests: %.0f us (%lx)\n", us_since(begun_us),
           (unsigned long)sum);
}

int main(void)
{
    ts_log_open("bench", TS_LOG_TEXT, G_LOG_LEVEL_CRITICAL);
    measure_digest();
    double before = allocated_bytes();
    ts_quarantine_t *quarantine = ts_quarantine_create();
    quarantine_requests(quarantine, 0, QUARANTINED_COUNT);
    measure_flood(quarantine);
    printf("memory of a full table: %.0f kB\n", (allocated_bytes() - before) / 1024);
    measure_lookups(quarantine);
    ts_quarantine_destroy(quarantine);
    return 0;
}
