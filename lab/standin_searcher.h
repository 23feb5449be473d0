/**
 * Fake searcher that speaks the platform's published protocol: it signs its responses and rejects
 * requests addressed to another instance. Tests can select the misbehaviours that the platform's
 * documentation lists.
 */
#ifndef LAB_STANDIN_SEARCHER_H
#define LAB_STANDIN_SEARCHER_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "tealspar/http_message.h"

typedef enum lab_searcher_behaviour {
    LAB_ANSWERS,               /**< one complete response */
    LAB_SHEDS,                 /**< 503, the request is not run */
    LAB_FAILS,                 /**< 500, the request is run */
    LAB_HANGS,                 /**< runs the request and does not respond */
    LAB_TRUNCATES,             /**< response cut off within the body, then a reset */
    LAB_CLOSE_DELIMITED,       /**< complete body without Content-Length, then end of stream */
    LAB_CLOSE_DELIMITED_RESET, /**< half of a body without Content-Length, then a reset */
    LAB_ANSWERS_TWICE,         /**< the response is sent twice */
    LAB_WRONG_ID,              /**< the response carries another request's id */
    LAB_UNSIGNED,              /**< success without a signature */
    LAB_ENCODED,               /**< success with a content encoding */
    LAB_MALFORMED,             /**< bytes that are not HTTP */
    LAB_ODD_STATUS,            /**< complete response with `status_text` as its status */
    LAB_CLOSES_AFTER /**< complete response, then an end of stream without `Connection: close` */
} lab_searcher_behaviour_t;

struct lab_searcher;

/** Callbacks of a test; each may be NULL. */
typedef struct lab_searcher_ops {
    /** A request addressed to this searcher was received; `runs`: false if it is rejected. */
    void (*on_request)(void *ctx, struct lab_searcher *searcher, const char *request_id, bool runs);
    /** Called just before `on_request` with the complete message. */
    void (*on_message)(void *ctx, struct lab_searcher *searcher, const ts_http_message_t *request);
    /** Further delay of the response to a request, besides that of the searcher. */
    unsigned (*delay_ms)(void *ctx, struct lab_searcher *searcher,
                         const ts_http_message_t *request);
    /** The searcher crashed while it ran a request, or (NULL) by itself. */
    void (*on_crash)(void *ctx, struct lab_searcher *searcher, const char *request_id);
    /** Appends the body of the response to a request; replaces `body` of the searcher. */
    void (*compose_body)(void *ctx, struct lab_searcher *searcher, const char *request_id,
                         GString *body);
} lab_searcher_ops_t;

typedef struct lab_searcher {
    uv_tcp_t socket;
    char *id;
    char *service;
    char *zone;
    unsigned port;
    uint64_t born_ms; /**< start time in its entry; increases with each incarnation */
    lab_searcher_behaviour_t behaviour;
    const char *status_text;  /**< of LAB_ODD_STATUS */
    unsigned delay_ms;        /**< delay of each response */
    unsigned idle_reset_ms;   /**< idle time after which the next bytes cause a reset; 0: never */
    unsigned connections_max; /**< further connections are reset; 0: no limit */
    const char *crash_target; /**< crashes on request targets that contain this; NULL: never */
    uv_loop_t *loop;
    bool is_socket_closed;         /**< the listening socket is closed after a crash */
    bool is_restart_pending;       /**< restart as soon as the socket is closed */
    bool has_crashed;              /**< not listening; connections are reset */
    GPtrArray *open_connections;   /**< connection_t[] */
    GString *body;                 /**< of its responses */
    unsigned runs;                 /**< requests run so far */
    unsigned misdirected;          /**< requests addressed to another instance */
    unsigned connections;          /**< accepted so far */
    unsigned open;                 /**< connections open now */
    unsigned connections_reset;    /**< by idle_reset_ms or connections_max */
    unsigned closed_while_busy;    /**< connections closed before the response was sent */
    GPtrArray *requests;           /**< text of each received request; only if `ops` is NULL */
    const lab_searcher_ops_t *ops; /**< NULL: `body` for every request */
    void *ctx;
} lab_searcher_t;

/** Opens a searcher on a free port of 127.0.0.1. It is never freed. */
lab_searcher_t *lab_searcher_open(uv_loop_t *loop, const char *id, const char *service,
                                  const char *zone);
/**
 * Simulates a crash while a request runs, or (NULL) by itself: stops listening and resets all
 * connections.
 */
void lab_searcher_crash(lab_searcher_t *searcher, const char *request_id);
/**
 * Restarts a crashed searcher as its next incarnation at the same address. When called from
 * `on_crash`, it listens again before its connections are reset.
 */
void lab_searcher_restart(lab_searcher_t *searcher);
/** Composes its registry entry as JSON; caller frees with g_free. */
char *lab_searcher_entry(const lab_searcher_t *searcher, bool is_draining);
/** Value of a header field in the last received request, or NULL; caller frees with g_free. */
char *lab_searcher_last_header(const lab_searcher_t *searcher, const char *name);

#endif
