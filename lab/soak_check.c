/** Expected bodies, and checks of merged responses and of budgets, without I/O. */
#include "soak_check.h"

#include <string.h>

#include "tealspar/hash.h"
#include "tealspar/records.h"

void soak_compose_body(const char *service, const char *request_id, GString *body)
{
    uint64_t seed = ts_hash_mix(ts_hash_text(service), ts_hash_text(request_id));
    for (uint64_t i = 0; i < SOAK_RECORDS_PER_RESPONSE; i++) {
        uint64_t halves[2] = {ts_hash_mix(seed, i), ts_hash_mix(i + 1, seed)};
        // The first record is the same in all services: equal records of different services count
        // separately in a merged response.
        if (i == 0)
            halves[0] = halves[1] = ts_hash_text(request_id);
        g_string_append_len(body, (const char *)halves, sizeof(halves));
    }
}

static gint compare_descending(gconstpointer left, gconstpointer right)
{
    return memcmp(right, left, TS_RECORD_BYTES);
}

static bool has_top_records(const GString *records, const char *body, size_t length)
{
    size_t record_count = records->len / TS_RECORD_BYTES;
    size_t expected_bytes = MIN(record_count, SOAK_TOP_RECORDS) * TS_RECORD_BYTES;
    qsort(records->str, record_count, TS_RECORD_BYTES, compare_descending);
    return length == expected_bytes && memcmp(records->str, body, expected_bytes) == 0;
}

// Returns the instance id of a signature "sig.ID.RUN.REQUEST" (RUN: the searcher's count of runs),
// or NULL if it is malformed or for another request.
static char *parse_signature(const char *text, const char *request_id)
{
    char **words = g_strsplit(text, ".", 4);
    bool is_valid = g_strv_length(words) == 4 && strcmp(words[0], "sig") == 0 &&
                    strcmp(words[3], request_id) == 0;
    char *id = is_valid ? g_strdup(words[1]) : NULL;
    g_strfreev(words);
    return id;
}

// Adds the service that a signature names to `services` and its expected records to `records`.
// Returns an error description or NULL; a service that signed twice is an error.
static const char *add_signed_service(const char *signature, const soak_gathered_t *response,
                                      soak_service_of_t service_of, void *ctx, uint64_t *services,
                                      GString *records)
{
    char *id = parse_signature(signature, response->request_id);
    if (id == NULL)
        return "a malformed signature or one for another request";
    const char *service = service_of(ctx, id);
    g_free(id);
    if (service == NULL)
        return "a signature of an unknown instance";
    uint64_t bit = 1ULL << (service[0] - 'a');
    if ((*services & bit) != 0)
        return "two signatures of one service";
    *services |= bit;
    soak_compose_body(service, response->request_id, records);
    return NULL;
}

const char *soak_check_gathered(const soak_gathered_t *response, soak_service_of_t service_of,
                                void *ctx, uint64_t *services)
{
    const char *error = NULL;
    GString *records = g_string_new(NULL);
    char **signatures = g_strsplit(response->signatures, ",", 0);
    *services = 0;
    for (guint i = 0; signatures[i] != NULL && error == NULL; i++)
        error = add_signed_service(g_strstrip(signatures[i]), response, service_of, ctx, services,
                                   records);
    if (error == NULL && !has_top_records(records, response->body, response->body_length))
        error = "a body that is not the highest records of the services that signed";
    g_strfreev(signatures);
    g_string_free(records, TRUE);
    return error;
}

static unsigned count_between(const GArray *times, ts_time_us_t begin_us, ts_time_us_t end_us)
{
    unsigned count = 0;
    for (guint i = 0; i < times->len; i++) {
        ts_time_us_t at_us = g_array_index(times, ts_time_us_t, i);
        count += at_us >= begin_us && at_us < end_us;
    }
    return count;
}

double soak_budget_excess(const soak_budget_log_t *log, ts_time_us_t window_us, double ratio,
                          double slack)
{
    double max_excess = -slack;
    for (guint i = 0; i < log->extra_arrivals->len; i++) {
        ts_time_us_t begin_us = g_array_index(log->extra_arrivals, ts_time_us_t, i);
        ts_time_us_t end_us = begin_us + window_us;
        unsigned max_requests = count_between(log->requests, begin_us, end_us);
        max_requests =
            MAX(max_requests, count_between(log->requests, begin_us - window_us, begin_us));
        max_requests = MAX(max_requests, count_between(log->requests, begin_us - window_us / 2,
                                                       end_us - window_us / 2));
        double excess =
            count_between(log->extra_arrivals, begin_us, end_us) - ratio * max_requests - slack;
        max_excess = MAX(max_excess, excess);
    }
    return max_excess;
}

unsigned soak_max_within(const GArray *times, ts_time_us_t window_us)
{
    unsigned max_count = 0;
    guint begin = 0;
    for (guint end = 0; end < times->len; end++) {
        ts_time_us_t last_us = g_array_index(times, ts_time_us_t, end);
        while (last_us - g_array_index(times, ts_time_us_t, begin) >= window_us)
            begin++;
        max_count = MAX(max_count, end - begin + 1);
    }
    return max_count;
}

unsigned soak_count_last_window(const GArray *arrivals, ts_time_us_t window_us)
{
    if (arrivals->len == 0)
        return 0;
    ts_time_us_t last_us = g_array_index(arrivals, ts_time_us_t, arrivals->len - 1);
    ts_time_us_t begin_us = last_us > window_us ? last_us - window_us + 1 : 0;
    return count_between(arrivals, begin_us, last_us + 1);
}
