/**
 * A small world around real gateways, for the scripts of review/: a read-only store, searchers,
 * clients, and the gateway processes. One thread, one libuv loop, real clock, loopback only.
 * It follows the users' pages (PROTOCOL.md, DEPLOY.md).
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#define WORLD_GATEWAYS_MAX 12

typedef struct searcher {
    char *id;
    const char *service;
    const char *zone;
    int port;
    int slots;
    int work_ms;
    bool is_draining; /* as written to the store */
    bool is_down;     /* refuses connections; open ones are closed */
    double left_ms;   /* when the store acknowledged that it drains or is gone; 0: it has not */
    unsigned runs;
    int running;  /* of its slots */
    GQueue queue; /* requests that wait for a slot */
    uv_tcp_t listener;
    GPtrArray *connections;
} searcher_t;

typedef struct gateway {
    int index;
    const char *zone;
    char *name;
    int callers, ready, peers, metrics, store; /* ports */
    uv_process_t process;
    bool is_running;
    bool is_ready;
    unsigned watches; /* watch calls begun */
    double watch_ms;  /* when the last one began */
    int watch_wait_ms;
    double stopped_ms, continued_ms; /* of the last freeze; 0: never */
    double killed_ms, started_ms;
    bool is_cut;         /* from the store */
    double cut_ended_ms; /* of the last cut; 0: none */
    uv_tcp_t store_listener;
    GPtrArray *store_connections;
} gateway_t;

typedef struct request_log {
    char *id;
    int gateway;
    double sent_ms, ended_ms;
    int status; /* 0: none yet, -1: the connection ended without an answer */
} request_log_t;

extern gateway_t world_gateways[WORLD_GATEWAYS_MAX];
extern int world_gateway_count;

/* Called for each request that a searcher runs. */
typedef void (*world_run_cb)(searcher_t *searcher, const char *request_id, int gateway,
                             double now_ms);

void world_open(const char *record_path, const char *work_folder);
double world_now_ms(void);
void world_log(const char *format, ...) G_GNUC_PRINTF(1, 2);
void world_after(double ms, void (*run)(void *), void *arg);
void world_on_run(world_run_cb callback);

/* Store. */
uint64_t world_put(const char *key, const char *value);
void world_delete(const char *key);
/* Open connections to the store that have carried no call for this long go silent for good; 0: all
 * open ones, also those with a pending call. New ones work. */
unsigned world_silence_store_connections(double rest_ms);
/* The next time that this gateway gets the first page of a list, it is then cut off from the store
 * for this long: calls and answers are held up meanwhile. `on_cut` is called when the cut begins.
 */
void world_cut_after_first_page(gateway_t *gateway, double ms, void (*on_cut)(void *));

/* Searchers. */
searcher_t *world_add_searcher(const char *service, const char *zone, int slots, int work_ms);
void world_write_searcher(searcher_t *searcher); /* its entry */
/* It says that it drains, serves on for this long and ends. */
void world_drain(searcher_t *searcher, double serve_ms);
/* Its entry goes, it serves on for this long and ends. */
void world_leave(searcher_t *searcher, double serve_ms);
void world_crash(searcher_t *searcher); /* its entry goes after three heartbeats */

/* Gateways. */
gateway_t *world_add_gateway(const char *zone);
void world_start_gateway(gateway_t *gateway);
void world_signal(gateway_t *gateway, int number);
gateway_t *world_watcher(const char *zone); /* the one whose pending watch call waits longest */
bool world_all_ready(void);

/* Clients. */
void world_start_traffic(gateway_t *gateway, const char *host, const char *path, double per_s,
                         int deadline_ms);
GPtrArray *world_requests(void); /* of request_log_t */

int world_run(void); /* until world_finish; returns its code */
void world_finish(int code);

#endif
