/**
 * Requests that wait for room at backends, in the order in which they are admitted: by rank, then
 * by arrival. A request leaves the queue when it is admitted or, by the forecast, can no longer be
 * answered in time.
 */
#include "request.h"

/* Interval between passes over the queue. */
#define PASS_INTERVAL_MS 6
/* Maximum number of waiting requests, and of the bytes of their bodies; further ones are refused.
 */
#define WAITING_MAX 512U
#define WAITING_BYTES_MAX ((size_t)16 << 20)

struct ts_admission_queue {
    GQueue requests; /* of ts_request_t */
    size_t bytes;
    uint64_t pass; /* number of the last pass */
    uv_timer_t timer;
};

/* Inserts the request after those of the same and of more urgent ranks. */
static void insert(ts_admission_queue_t *queue, ts_request_t *request)
{
    GList *link = queue->requests.tail;
    while (link != NULL && ((const ts_request_t *)link->data)->queue_rank > request->queue_rank)
        link = link->prev;
    g_queue_insert_after(&queue->requests, link, request);
    request->queue_link = link == NULL ? queue->requests.head : link->next;
}

/* Counts the request as waiting for the services that had no room for it. */
static void count_waiting(const ts_admission_queue_t *queue, ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_request_part_t *part = &request->parts[i];
        ts_service_t *service = part->service;
        part->is_waiting = part->is_blocked;
        if (!part->is_waiting)
            continue;
        service->waiting[request->queue_rank]++;
        service->waiting_ahead =
            service->queue_pass == queue->pass ? service->waiting_ahead + 1 : 1;
        service->queue_pass = queue->pass;
    }
}

static void uncount_waiting(ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        request->parts[i].service->waiting[request->queue_rank] -= request->parts[i].is_waiting;
        request->parts[i].is_waiting = false;
    }
}

static void run_pass(uv_timer_t *timer)
{
    ts_admission_queue_t *queue = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    queue->pass++;
    for (GList *link = queue->requests.head, *next = NULL; link != NULL; link = next) {
        ts_request_t *request = link->data;
        next = link->next; // answering a request changes no other one in the queue
        uncount_waiting(request);
        ts_request_try_admit(request, now_us);
        if (request->queue_link != NULL)
            count_waiting(queue, request);
    }
}

ts_admission_queue_t *ts_admission_queue_create(ts_gateway_t *gateway)
{
    ts_admission_queue_t *queue = g_new0(ts_admission_queue_t, 1);
    g_queue_init(&queue->requests);
    uv_timer_init(gateway->loop, &queue->timer);
    queue->timer.data = queue;
    return queue;
}

bool ts_admission_queue_add(ts_admission_queue_t *queue, ts_request_t *request)
{
    if (request->queue_link != NULL)
        return true;
    size_t bytes = request->outgoing->body == NULL ? 0 : request->outgoing->body->len;
    if (queue->requests.length >= WAITING_MAX || queue->bytes + bytes > WAITING_BYTES_MAX)
        return false;
    insert(queue, request);
    request->queued_bytes = bytes;
    queue->bytes += bytes;
    count_waiting(queue, request);
    if (queue->requests.length == 1)
        uv_timer_start(&queue->timer, run_pass, PASS_INTERVAL_MS, PASS_INTERVAL_MS);
    return true;
}

void ts_admission_queue_remove(ts_admission_queue_t *queue, ts_request_t *request)
{
    if (request->queue_link == NULL)
        return;
    g_queue_delete_link(&queue->requests, request->queue_link);
    request->queue_link = NULL;
    queue->bytes -= request->queued_bytes;
    uncount_waiting(request);
    if (queue->requests.length == 0)
        uv_timer_stop(&queue->timer);
}

unsigned ts_admission_queue_ahead(const ts_admission_queue_t *queue, const ts_request_t *request,
                                  const ts_service_t *service)
{
    if (request->queue_link != NULL)
        return service->queue_pass == queue->pass ? service->waiting_ahead : 0;
    unsigned ahead = 0;
    for (unsigned rank = 0; rank <= request->queue_rank; rank++)
        ahead += service->waiting[rank];
    return ahead;
}
