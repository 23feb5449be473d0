/**
 * One HTTP/1.1 message, parsed strictly with http_parser: a request from a caller, or a response
 * from a searcher or from the configuration service. The complete message is kept in memory; the
 * sizes of head and body are limited. Trailer fields are dropped. Used instead of h2o where h2o
 * cannot be strict enough (see docs/PLATFORM.md).
 */
#ifndef TEALSPAR_HTTP_MESSAGE_H
#define TEALSPAR_HTTP_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/error.h"

/** A header field. Name and value are offsets of NUL-terminated strings in the message's `text`. */
typedef struct ts_http_field {
    uint32_t name;
    uint32_t value;
    uint32_t value_length; /**< in bytes, without the NUL; 0: empty */
} ts_http_field_t;

typedef struct ts_http_message {
    http_parser parser;
    bool is_request;
    bool is_response_to_head; /**< no body; set by the owner, kept by ts_http_message_reset() */
    GString *target;          /**< request target as received */
    GString *text;            /**< names and values of the fields */
    GArray *fields;           /**< of ts_http_field_t */
    GString *body;            /**< the body, without its framing */
    size_t head_bytes;        /**< bytes of the head read so far */
    size_t head_max;          /**< larger heads fail with TS_E_HEAD_TOO_LARGE */
    size_t body_max;          /**< larger bodies fail with TS_E_TOO_LARGE */
    size_t line_bytes;        /**< bytes of the head's current line */
    char last_head_byte;      /**< last byte of the head read so far */
    bool has_start_line;      /**< a non-empty line was read; empty lines before it are skipped */
    bool has_bare_line_end;   /**< a line of the head ended with LF; invalid in a request only */
    bool is_head_scanned;     /**< the scan for bare line ends has reached the empty line */
    bool has_begun;           /**< at least one byte was read */
    bool is_head_complete;    /**< http_parser has reported the end of the head */
    bool is_body_dropped;     /**< the body is read but not kept, see ts_http_message_drop_body() */
    size_t body_bytes;        /**< length of the body read so far */
    uint64_t body_length;     /**< as given by Content-Length; UINT64_MAX: not given */
    bool is_complete;
    bool keeps_alive; /**< valid once complete: the connection may be reused */
    bool is_in_value; /**< the parser's last callback was for a field value */
    ts_error_t error; /**< why the message is invalid; TS_OK: no error so far */
} ts_http_message_t;

void ts_http_message_init(ts_http_message_t *message, bool is_request, size_t head_max,
                          size_t body_max);
/** Prepares for the next message; keeps the buffers unless they have grown large. */
void ts_http_message_reset(ts_http_message_t *message);
/** Frees the body and does not keep the rest of it; until the next reset. */
void ts_http_message_drop_body(ts_http_message_t *message);
/** Returns the body, which the caller of the function then owns; the message's becomes empty. */
GString *ts_http_message_take_body(ts_http_message_t *message);
/** Frees the buffers. */
void ts_http_message_clear(ts_http_message_t *message);
/**
 * Parses bytes until the message is complete or invalid. Returns the number of bytes consumed;
 * bytes after a complete message are not consumed. Interim responses (1xx) are skipped; a status
 * outside 100 to 599, and 101, make a response invalid.
 */
size_t ts_http_message_feed(ts_http_message_t *message, const char *bytes, size_t length);
/**
 * Handles the end of the stream: completes a response whose body ends with the stream. Any other
 * incomplete message becomes invalid, usually with TS_E_IO.
 */
void ts_http_message_finish(ts_http_message_t *message);
/** Bytes that its buffers have allocated. */
size_t ts_http_message_memory(const ts_http_message_t *message);
/** Value of the first field with this name (case-insensitive), or NULL. */
const char *ts_http_message_find(const ts_http_message_t *message, const char *name);
/** Number of fields with this name (case-insensitive). */
unsigned ts_http_message_count(const ts_http_message_t *message, const char *name);
/** The string at an offset from ts_http_field_t. */
static inline const char *ts_http_message_text(const ts_http_message_t *message, uint32_t offset)
{
    return message->text->str + offset;
}
/**
 * Whether a field is not forwarded: a hop-by-hop field (RFC 9110, 7.6.1), or Content-Length or
 * Expect, which are handled by this node.
 */
bool ts_http_message_is_unforwarded_field(const ts_http_message_t *message, const char *name);

#endif
