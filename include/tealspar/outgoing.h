/** A request as it is sent to back ends: composed once, the same bytes for everyone asked. */
#ifndef TEALSPAR_OUTGOING_H
#define TEALSPAR_OUTGOING_H

#include <glib.h>
#include <stdbool.h>

#include "tealspar/clock.h"
#include "tealspar/dialect.h"
#include "tealspar/http_message.h"
#include "tealspar/request_digest.h"

/** Where a text stands in the head. */
typedef struct ts_head_span {
    uint32_t at;
    uint32_t length;
} ts_head_span_t;

/** What is sent, counted by references. */
typedef struct ts_outgoing {
    int references;
    char *request_id;         /**< NULL: the answer's id is not checked */
    GString *head;            /**< request line and fields, without deadline and instance */
    GString *body;            /**< NULL: none */
    bool is_head_method;      /**< the answer has no body */
    bool is_repeatable;       /**< may be sent on a connection that has rested */
    ts_time_us_t deadline_us; /**< nothing is waited for after this */
    /* What its sends met, see tealspar/broken_sends.h. */
    unsigned sends_out; /**< under way, awaited or not */
    bool has_run_whole; /**< some back end answered it with success */
    bool is_alone;      /**< some broke, and it goes on by one send at a time */
    /* For the digest, which is made only when it is asked for. */
    ts_head_span_t line;   /**< the request line */
    ts_head_span_t host;   /**< the host's name */
    ts_head_span_t tenant; /**< the tenant's name; empty: none */
    bool has_digest;
    ts_request_digest_t digest;
} ts_outgoing_t;

/** What of the caller's request is not passed on as it came. */
typedef struct ts_outgoing_rule {
    const ts_header_names_t *names;
    const char *tenant;    /**< name of the caller's tenant; NULL: none */
    bool hides_credential; /**< the credential is this node's matter, not the back ends' */
} ts_outgoing_rule_t;

/** Composes what goes on of a caller's request; times are the caller's of this to set. */
ts_outgoing_t *ts_outgoing_compose(const ts_http_message_t *message,
                                   const ts_outgoing_rule_t *rule);
ts_outgoing_t *ts_outgoing_ref(ts_outgoing_t *outgoing);
void ts_outgoing_unref(ts_outgoing_t *outgoing);
/** Its digest, made at the first call: 1.1 us, with 64 kB of body 0.4 ms (bench_quarantine). */
const ts_request_digest_t *ts_outgoing_digest(ts_outgoing_t *outgoing);

#endif
