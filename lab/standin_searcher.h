/**
 * A stand-in searcher, by the platform's published protocol: it signs its answers, refuses work
 * meant for another, and misbehaves on demand in the ways the pages list.
 */
#ifndef LAB_STANDIN_SEARCHER_H
#define LAB_STANDIN_SEARCHER_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "tealspar/http_message.h"

typedef enum lab_behaviour {
    LAB_ANSWERS,               /**< one whole answer */
    LAB_SHEDS,                 /**< 503, not run */
    LAB_FAILS,                 /**< 500, run */
    LAB_HANGS,                 /**< runs it and says nothing */
    LAB_TRUNCATES,             /**< half of the body, then a reset */
    LAB_CLOSE_DELIMITED,       /**< a whole body without a length, then an orderly end */
    LAB_CLOSE_DELIMITED_RESET, /**< half of a body without a length, then a reset */
    LAB_ANSWERS_TWICE,         /**< a second answer right after the first */
    LAB_WRONG_ID,              /**< the answer carries another request's id */
    LAB_UNSIGNED,              /**< success without a signature */
    LAB_ENCODED,               /**< success with a content encoding */
    LAB_MALFORMED,             /**< bytes that are no answer */
    LAB_CLOSES_AFTER           /**< a whole answer, then closes although it did not say so */
} lab_searcher_behaviour_t;

struct lab_searcher;

/** What a test may want to decide itself; each may be NULL. */
typedef struct lab_searcher_ops {
    /** A request meant for it has come; it runs now, or is refused and never will. */
    void (*on_request)(void *ctx, struct lab_searcher *searcher, const char *request_id, bool runs);
    /** The same request, whole, just before. */
    void (*on_message)(void *ctx, struct lab_searcher *searcher, const ts_http_message_t *request);
    /** It has ended under a request, or (NULL) by itself. */
    void (*on_crash)(void *ctx, struct lab_searcher *searcher, const char *request_id);
    /** Composes the body of the answer to a request. */
    void (*compose_body)(void *ctx, struct lab_searcher *searcher, const char *request_id,
                         GString *body);
} lab_searcher_ops_t;

typedef struct lab_searcher {
    uv_tcp_t socket;
    char *id;
    char *service;
    char *zone;
    unsigned port;
    uint64_t born_ms; /**< as its entry tells it; rises with each life */
    lab_searcher_behaviour_t behaviour;
    unsigned delay_ms; /**< before it answers */
    unsigned
        idle_reset_ms; /**< connections that rest longer are reset at the next bytes; 0: none */
    unsigned connections_max; /**< more at once are reset; 0: any number */
    const char
        *crash_target; /**< it ends in place of answering targets with this text; NULL: none */
    uv_loop_t *loop;
    bool is_socket_closed;       /**< the socket of the life that ended is closed */
    bool is_restart_pending;     /**< it begins its next life when that is so */
    bool has_crashed;            /**< it listens no more and its connections are reset */
    GPtrArray *open_connections; /**< connections that are open */
    GString *body;               /**< of its answers */
    unsigned runs;               /**< requests it ran */
    unsigned misdirected;        /**< requests meant for another */
    unsigned connections;        /**< accepted so far */
    unsigned open;               /**< connections open now */
    unsigned connections_reset;  /**< connections reset for the two reasons above */
    unsigned closed_while_busy;  /**< connections that ended while it worked */
    GPtrArray *requests; /**< texts of the requests it got: target, fields, body; not with ops */
    const lab_searcher_ops_t *ops; /**< NULL: `body` for every request */
    void *ctx;
} lab_searcher_t;

/** Listens on a free port of 127.0.0.1. Lives as long as the loop. */
lab_searcher_t *lab_searcher_open(uv_loop_t *loop, const char *id, const char *service,
                                  const char *zone);
/**
 * Ends it as a crash would, under a request or (NULL) by itself: it listens no more, and its
 * connections are reset.
 */
void lab_searcher_crash(lab_searcher_t *searcher, const char *request_id);
/**
 * One that has ended begins its next life: it listens again at its address and knows nothing. When
 * called from `ended`, it does so before its connections are reset.
 */
void lab_searcher_restart(lab_searcher_t *searcher);
/** Its entry of the registry, as JSON; g_free. */
char *lab_searcher_entry(const lab_searcher_t *searcher, bool is_draining);
/** Value of a field in the latest request it got, or NULL; g_free. */
char *lab_searcher_last_header(const lab_searcher_t *searcher, const char *name);

#endif
