/** Loads configuration documents on a worker thread. */
#include "tealspar/document_loader.h"

#include "tealspar/hash.h"

/*
 * Maximum number of queued documents. When full, the one submitted first is dropped, as later
 * submissions usually supersede it.
 */
#define QUEUE_MAX 4U

typedef struct load_job {
    ts_document_loader_t *loader;
    char *text;
    size_t length;
    uint64_t digest;
    uint64_t version;
    ts_declarations_t *declarations;
    ts_problems_t problems;
} load_job_t;

struct ts_document_loader {
    ts_runtime_t *runtime;
    ts_document_loaded_t on_loaded;
    void *context;
    load_job_t *current; /* being loaded on a worker thread; NULL: none */
    GQueue *queue;       /* of load_job_t */
};

static void free_job(void *context)
{
    load_job_t *job = context;
    ts_declarations_unref(job->declarations);
    ts_problems_clear(&job->problems);
    g_free(job->text);
    g_free(job);
}

ts_document_loader_t *ts_document_loader_create(ts_runtime_t *runtime,
                                                ts_document_loaded_t on_loaded, void *context)
{
    ts_document_loader_t *loader = g_new0(ts_document_loader_t, 1);
    loader->runtime = runtime;
    loader->on_loaded = on_loaded;
    loader->context = context;
    loader->queue = g_queue_new();
    return loader;
}

void ts_document_loader_destroy(ts_document_loader_t *loader)
{
    g_queue_free_full(loader->queue, free_job);
    g_free(loader);
}

/* Runs on a worker thread; must not access anything but the job. */
static void load(void *context)
{
    load_job_t *job = context;
    job->declarations = ts_declarations_load(job->text, job->length, &job->problems);
}

static void start_next(ts_document_loader_t *loader);

static void finish(void *context)
{
    load_job_t *job = context;
    ts_document_loader_t *loader = job->loader;
    ts_loaded_document_t document = {job->digest, job->version, job->declarations, &job->problems};
    job->declarations = NULL; /* the callback takes ownership */
    loader->current = NULL;
    loader->on_loaded(loader->context, &document);
    free_job(job);
    start_next(loader);
}

static void start_next(ts_document_loader_t *loader)
{
    if (loader->current != NULL || g_queue_is_empty(loader->queue)) {
        return;
    }
    loader->current = g_queue_pop_head(loader->queue);
    ts_runtime_queue_work(loader->runtime, load, finish, free_job, loader->current);
}

static bool is_pending(const ts_document_loader_t *loader, uint64_t digest)
{
    if (loader->current != NULL && loader->current->digest == digest) {
        return true;
    }
    for (const GList *item = loader->queue->head; item != NULL; item = item->next) {
        if (((const load_job_t *)item->data)->digest == digest) {
            return true;
        }
    }
    return false;
}

void ts_document_loader_submit(ts_document_loader_t *loader, const char *text, size_t length,
                               uint64_t version)
{
    uint64_t digest = ts_hash_bytes(text, length);
    if (is_pending(loader, digest)) {
        return;
    }
    if (loader->queue->length >= QUEUE_MAX) {
        free_job(g_queue_pop_head(loader->queue));
    }
    load_job_t *job = g_new0(load_job_t, 1);
    job->loader = loader;
    job->text = g_strndup(text, length);
    job->length = length;
    job->digest = digest;
    job->version = version;
    ts_problems_init(&job->problems);
    g_queue_push_tail(loader->queue, job);
    start_next(loader);
}
