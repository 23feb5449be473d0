/**
 * One HTTP/1.1 message, parsed strictly by http_parser: a request of a caller, an answer of a
 * searcher or of the configuration service. The message is held whole; head and body are bounded.
 * Used in the place of h2o where h2o cannot be strict enough (see docs/PLATFORM.md).
 */
#ifndef TEALSPAR_HTTP_MESSAGE_H
#define TEALSPAR_HTTP_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/error.h"

/** One header field; offsets into the message's `text`. Both texts end with a NUL there. */
typedef struct ts_http_field {
    uint32_t name;
    uint32_t value;
    uint32_t value_length;
} ts_http_field_t;

typedef struct ts_http_message {
    http_parser parser;
    bool is_request;
    bool answers_head; /**< the answer to a HEAD request has no body */
    GString *target;   /**< a request's target as it was sent */
    GString *text;     /**< names and values of the fields */
    GArray *fields;    /**< of ts_http_field_t */
    GString *body;     /**< the body, without its framing */
    size_t head_bytes; /**< bytes of the head so far */
    size_t head_max;   /**< more are refused with TS_E_HEAD_TOO_LARGE */
    size_t body_max;   /**< more are refused with TS_E_TOO_LARGE */
    size_t line_bytes; /**< of the head's present line */
    char last_head_byte;
    bool has_start_line;
    bool has_bare_line_end; /**< some line of the head ends with LF alone */
    bool is_head_scanned;   /**< its empty line was seen */
    bool has_begun;         /**< some byte was read */
    bool is_head_complete;
    bool is_complete;
    bool keeps_alive; /**< valid once complete: the connection may serve another message */
    bool in_value;    /**< the parser last gave a part of a value */
    ts_error_t error; /**< why the message was refused; TS_OK while it is well formed */
} ts_http_message_t;

/** Prepares an empty message. */
void ts_http_message_init(ts_http_message_t *message, bool is_request, size_t head_max,
                          size_t body_max);
/** Makes it ready for the next message; keeps its buffers. */
void ts_http_message_reset(ts_http_message_t *message);
/** Frees its buffers. */
void ts_http_message_clear(ts_http_message_t *message);
/**
 * Reads bytes until the message is complete or refused. Returns how many bytes belong to it; what
 * follows a complete message is not touched. Interim answers (1xx) are skipped.
 */
size_t ts_http_message_feed(ts_http_message_t *message, const char *bytes, size_t length);
/** The sender ended its side: completes an answer that has no length, or refuses the message. */
void ts_http_message_finish(ts_http_message_t *message);
/** Value of the first field of that name, or NULL. */
const char *ts_http_message_find(const ts_http_message_t *message, const char *name);
/** Number of fields of that name. */
unsigned ts_http_message_count(const ts_http_message_t *message, const char *name);
/** Text of a field's name or value by its offset. */
static inline const char *ts_http_message_text(const ts_http_message_t *message, uint32_t offset)
{
    return message->text->str + offset;
}
/** Whether a field concerns one connection only and is not forwarded (RFC 9110, 7.6.1). */
bool ts_http_message_is_hop_field(const ts_http_message_t *message, const char *name);

#endif
