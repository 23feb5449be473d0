/**
 * Internal to caller*.c and listener*.c: the state of a client connection and of its listener.
 * caller.c accepts and writes, caller_read.c reads, caller_reclaim.c closes connections for others;
 * listener.c has the timeouts and limits, listener_buffers.c the sizes of the kernel's buffers.
 */
#ifndef TEALSPAR_EDGE_CALLER_INTERNAL_H
#define TEALSPAR_EDGE_CALLER_INTERNAL_H

#include "tealspar/caller.h"

typedef enum caller_state {
    CALLER_READING,    /**< idle, or reading a request */
    CALLER_PROCESSING, /**< the owner processes a request */
    CALLER_WRITING,    /**< writing an answer */
    CALLER_LINGERING   /**< our side is shut down; waiting for the client to close */
} caller_state_t;

struct ts_caller {
    uv_tcp_t socket;
    uv_write_t write_request;
    uv_shutdown_t shutdown_request;
    ts_listener_t *listener;
    caller_state_t state;
    ts_http_message_t message;
    GString *pipelined;   /**< bytes received after the current request; NULL: none */
    GString *output;      /**< head of the answer being written, with a short body; or NULL */
    GString *output_body; /**< body of that answer if it is longer; or NULL */
    ts_memory_charge_t request_charge; /**< for the connection and what the client has sent */
    ts_memory_charge_t answer_charge;  /**< for the answer being written */
    ts_time_us_t keep_until_us;        /**< until then the answer is not given up to free memory */
    void *request;                     /**< set by the owner */
    ts_time_us_t since_us; /**< start of the state, or arrival of a request's first byte */
    bool is_last;          /**< the connection is shut down after the answer */
    bool is_closing;
    bool has_sent_continue;
    bool is_feeding; /**< a loop over received bytes runs; it continues with the next request */
    bool is_paused;  /**< nothing is read, as enough pipelined bytes are buffered */
    ts_caller_t *previous;
    ts_caller_t *next;
};

struct ts_listener {
    uv_tcp_t socket;
    const ts_listener_ops_t *ops;
    void *context;
    ts_traffic_limits_t limits;
    bool is_keep_alive_disabled;
    bool is_closed;
    unsigned connections;
    unsigned connections_max; /**< 0: not limited */
    ts_time_us_t reported_us; /**< when a failure to accept was last logged; 0: never */
    bool is_accepting_paused; /**< a new connection waits to be accepted */
    ts_caller_t *callers;
    ts_memory_budget_t *request_budget; /**< NULL: not limited */
    ts_memory_budget_t *answer_budget;  /**< NULL: not limited */
    size_t socket_bytes;                /**< for the sockets' buffers; 0: not limited */
    unsigned socket_class;              /**< number of connections for which these are set */
    bool has_sized_buffers;             /**< they were set at least once */
};

/** Accepts the connection that waits at the listener's socket, and begins to read. */
void ts_caller_accept(ts_listener_t *listener);
/** Closes the connection at once; a request in progress is reported as disconnected. */
void ts_caller_close(ts_caller_t *caller);
/** Rejects a request that is malformed, too large or was not received in time, and ends the
 * connection. */
void ts_caller_refuse(ts_caller_t *caller, unsigned status);
/** Changes the state and notes the time. */
void ts_caller_set_state(ts_caller_t *caller, caller_state_t state);
/** Reads from the socket (again). */
void ts_caller_resume_reading(ts_caller_t *caller);
/** Processes buffered pipelined bytes up to a request that is not answered immediately. */
void ts_caller_read_pipelined(ts_caller_t *caller);
/** Frees the buffered pipelined bytes. */
void ts_caller_drop_pipelined(ts_caller_t *caller);
/** Charges what the connection holds of requests. */
void ts_caller_charge_request(ts_caller_t *caller);
/** Whether the client has closed a connection that is not read at the moment. */
bool ts_caller_has_left(const ts_caller_t *caller);
/**
 * Closes the connection that has been idle for longest, or else the slowest one. Returns false if
 * all have requests in progress or are new.
 */
bool ts_listener_close_one(ts_listener_t *listener);
/** Accepts the connection that waits, if there is room. */
void ts_listener_accept(ts_listener_t *listener);
/** Adapts the buffers of connections established from now on to the number of connections. */
void ts_listener_size_buffers(ts_listener_t *listener);
/** Adapts the buffers of a connection that was just accepted to the number of connections. */
void ts_caller_size_buffers(ts_caller_t *caller);
/** Whether no byte of a request has arrived since the last answer. */
bool ts_caller_is_idle(const ts_caller_t *caller);

#endif
