/** Evaluation of the journals of a run. */
#include "verdict.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define FIELD_SIZE 160
#define LEAVE_BOUND_MS 3000
/* A query lost within this time before or after a stop, kill or pause is attributed to it. */
#define ATTRIBUTION_BEFORE_MS 2500
#define ATTRIBUTION_AFTER_MS 3000

typedef struct evaluation {
    GHashTable *refused; /* ids of refused queries */
    GHashTable *runs;    /* id -> number of executions, unrepeatable queries only */
    GHashTable *ran;     /* ids of all queries that a searcher ran */
    lab_verdict_t *verdict;
    const lab_fault_log_t *log;
} evaluation_t;

static bool is_near_any(const GArray *times, int64_t at_ms)
{
    for (guint i = 0; i < times->len; i++) {
        int64_t after_ms = at_ms - g_array_index(times, int64_t, i);
        if (after_ms > -ATTRIBUTION_BEFORE_MS && after_ms < ATTRIBUTION_AFTER_MS) {
            return true;
        }
    }
    return false;
}

static bool is_near_disturbance(const GArray *disturbances, int64_t at_ms)
{
    for (guint i = 0; i < disturbances->len; i++) {
        const lab_disturbance_t *span = &g_array_index(disturbances, lab_disturbance_t, i);
        if (at_ms > span->begin_ms - ATTRIBUTION_BEFORE_MS &&
            at_ms < span->end_ms + ATTRIBUTION_AFTER_MS) {
            return true;
        }
    }
    return false;
}

static void read_searcher_line(evaluation_t *evaluation, const char *line)
{
    char backend[FIELD_SIZE];
    char event[FIELD_SIZE];
    char id[FIELD_SIZE];
    char shard[FIELD_SIZE];
    int64_t at_ms = 0;
    int64_t number = 0;
    uint64_t snapshot = 0;
    if (sscanf(line, "%" SCNd64 " %159s %159s %159s %159s %" SCNu64 " %" SCNd64, &at_ms, backend,
               event, id, shard, &snapshot, &number) != 7) {
        return;
    }
    if (strcmp(event, "run") == 0) {
        evaluation->verdict->searcher_requests++;
        g_hash_table_add(evaluation->ran, g_strdup(id));
        if (number != 0) {
            gpointer runs = g_hash_table_lookup(evaluation->runs, id);
            g_hash_table_insert(evaluation->runs, g_strdup(id),
                                GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
        }
    } else if (strcmp(event, "after_leave") == 0) {
        evaluation->verdict->work_after_leave += number > LEAVE_BOUND_MS;
    } else if (strcmp(event, "over_slots") == 0) {
        evaluation->verdict->over_slots++;
    }
}

static void read_caller_line(evaluation_t *evaluation, const char *line)
{
    char kind[FIELD_SIZE];
    char id[FIELD_SIZE];
    char outcome[FIELD_SIZE];
    int64_t at_ms = 0;
    uint64_t latency_us = 0;
    if (sscanf(line, "%" SCNd64 " %" SCNu64 " %159s %159s %159s", &at_ms, &latency_us, kind, id,
               outcome) != 5) {
        return;
    }
    if (strcmp(outcome, "refused") == 0) {
        g_hash_table_add(evaluation->refused, g_strdup(id));
    } else if (strcmp(outcome, "lost") == 0 && is_near_any(evaluation->log->stops, at_ms) &&
               !is_near_disturbance(evaluation->log->disturbances, at_ms)) {
        evaluation->verdict->cut_by_stop++;
    }
}

static void read_file(evaluation_t *evaluation, const char *path,
                      void (*read_line)(evaluation_t *evaluation, const char *line))
{
    char line[1024];
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        read_line(evaluation, line);
    }
    if (file != NULL) {
        fclose(file);
    }
}

static void read_directory(evaluation_t *evaluation, const char *directory)
{
    GDir *folder = g_dir_open(directory, 0, NULL);
    const char *name = NULL;
    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        char *path = g_strdup_printf("%s/%s", directory, name);
        if (g_str_has_prefix(name, "searchers-") && g_str_has_suffix(name, ".journal")) {
            read_file(evaluation, path, read_searcher_line);
        } else if (strcmp(name, "load.journal") == 0) {
            read_file(evaluation, path, read_caller_line);
        }
        g_free(path);
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
}

void lab_verdict_read(lab_verdict_t *verdict, const char *directory, const lab_fault_log_t *log)
{
    evaluation_t evaluation = {
        .refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .verdict = verdict,
        .log = log,
    };
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    memset(verdict, 0, sizeof(*verdict));
    read_directory(&evaluation, directory);
    g_hash_table_iter_init(&iterator, evaluation.runs);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        verdict->ran_twice += GPOINTER_TO_UINT(value) > 1;
    }
    g_hash_table_iter_init(&iterator, evaluation.refused);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        verdict->ran_though_refused += g_hash_table_contains(evaluation.ran, key);
    }
    g_hash_table_destroy(evaluation.refused);
    g_hash_table_destroy(evaluation.runs);
    g_hash_table_destroy(evaluation.ran);
}
