/** Pure functions of the soak's checks. */
#include "soak_check.h"

#include <string.h>

#include "tealspar/hash.h"
#include "tealspar/records.h"

void soak_compose_body(const char *service, const char *request_id, GString *body)
{
    uint64_t seed = ts_hash_mix(ts_hash_text(service), ts_hash_text(request_id));
    for (uint64_t i = 0; i < SOAK_RECORDS_PER_ANSWER; i++) {
        uint64_t halves[2] = {ts_hash_mix(seed, i), ts_hash_mix(i + 1, seed)};
        // The first record is the same in all services; a merged response must keep each copy of
        // it.
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
    size_t n = records->len / TS_RECORD_BYTES;
    size_t wanted = MIN(n, SOAK_TOP_RECORDS) * TS_RECORD_BYTES;
    qsort(records->str, n, TS_RECORD_BYTES, compare_descending);
    return length == wanted && memcmp(records->str, body, wanted) == 0;
}

// Returns the instance id of a signature "sig.ID.RUN.REQUEST", or NULL if it is for another
// request.
static char *parse_signature(const char *text, const char *request_id)
{
    char **words = g_strsplit(text, ".", 4);
    bool is_right = g_strv_length(words) == 4 && strcmp(words[0], "sig") == 0 &&
                    strcmp(words[3], request_id) == 0;
    char *id = is_right ? g_strdup(words[1]) : NULL;
    g_strfreev(words);
    return id;
}

// Adds the records of one part; returns an error description or NULL.
static const char *add_part(const char *signature, const soak_gathered_t *answer,
                            soak_service_of_t service_of, void *ctx, uint64_t *services,
                            GString *records)
{
    char *id = parse_signature(signature, answer->request_id);
    if (id == NULL)
        return "a signature for another request";
    const char *service = service_of(ctx, id);
    g_free(id);
    if (service == NULL)
        return "a signature of an unknown instance";
    uint64_t bit = 1ULL << (service[0] - 'a');
    if ((*services & bit) != 0)
        return "two signatures of one service";
    *services |= bit;
    soak_compose_body(service, answer->request_id, records);
    return NULL;
}

const char *soak_check_gathered(const soak_gathered_t *answer, soak_service_of_t service_of,
                                void *ctx, uint64_t *services)
{
    const char *error = NULL;
    GString *records = g_string_new(NULL);
    char **signatures = g_strsplit(answer->signatures, ",", 0);
    *services = 0;
    for (guint i = 0; signatures[i] != NULL && error == NULL; i++)
        error = add_part(g_strstrip(signatures[i]), answer, service_of, ctx, services, records);
    if (error == NULL && !has_top_records(records, answer->body, answer->body_length))
        error = "records that are not the greatest of its parts";
    g_strfreev(signatures);
    g_string_free(records, TRUE);
    return error;
}

static unsigned count_between(const GArray *times, ts_time_us_t begin_us, ts_time_us_t end_us)
{
    unsigned n = 0;
    for (guint i = 0; i < times->len; i++) {
        ts_time_us_t at_us = g_array_index(times, ts_time_us_t, i);
        n += at_us >= begin_us && at_us < end_us;
    }
    return n;
}

double soak_budget_excess(const soak_budget_log_t *log, ts_time_us_t window_us, double ratio,
                          double slack)
{
    double max_excess = -slack;
    for (guint i = 0; i < log->extra_arrivals->len; i++) {
        ts_time_us_t begin_us = g_array_index(log->extra_arrivals, ts_time_us_t, i);
        ts_time_us_t end_us = begin_us + window_us;
        unsigned asked = count_between(log->requests, begin_us, end_us);
        asked = MAX(asked, count_between(log->requests, begin_us - window_us, begin_us));
        asked = MAX(asked,
                    count_between(log->requests, begin_us - window_us / 2, end_us - window_us / 2));
        double excess =
            count_between(log->extra_arrivals, begin_us, end_us) - ratio * asked - slack;
        max_excess = MAX(max_excess, excess);
    }
    return max_excess;
}

unsigned soak_max_within(const GArray *times, ts_time_us_t window_us)
{
    unsigned most = 0;
    guint begin = 0;
    for (guint end = 0; end < times->len; end++) {
        ts_time_us_t last_us = g_array_index(times, ts_time_us_t, end);
        while (last_us - g_array_index(times, ts_time_us_t, begin) >= window_us)
            begin++;
        most = MAX(most, end - begin + 1);
    }
    return most;
}

unsigned soak_arrivals_within(const GArray *arrivals, ts_time_us_t window_us)
{
    if (arrivals->len == 0)
        return 0;
    ts_time_us_t last_us = g_array_index(arrivals, ts_time_us_t, arrivals->len - 1);
    ts_time_us_t begin_us = last_us > window_us ? last_us - window_us + 1 : 0;
    return count_between(arrivals, begin_us, last_us + 1);
}
