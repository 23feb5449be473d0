/** Strict parser of HTTP/1.1 messages, based on http_parser. */
#include "tealspar/http_message.h"

#include <string.h>
#include <strings.h>

#include "tealspar/memory_budget.h"

#define STATUS_FIRST 100U
#define STATUS_SWITCHING_PROTOCOLS 101U
#define INTERIM_STATUS_MAX 199
#define STATUS_LAST 599U
/* Larger buffers are not kept for the next message, as a connection may be idle until then. */
#define BUFFER_KEEP_BYTES 2048

static ts_http_message_t *message_of(http_parser *parser)
{
    return parser->data;
}

static int set_error(ts_http_message_t *message, ts_error_t error)
{
    message->error = error;
    return 1;
}

static int read_target(http_parser *parser, const char *bytes, size_t length)
{
    g_string_append_len(message_of(parser)->target, bytes, (gssize)length);
    return 0;
}

/* Appends to the current field's name, or begins a new field; strings are stored NUL-terminated. */
static int read_field_name(http_parser *parser, const char *bytes, size_t length)
{
    ts_http_message_t *message = message_of(parser);
    if (message->is_head_complete)
        return 0; // a trailer field
    if (memchr(bytes, ' ', length) != NULL) {
        return set_error(message, TS_E_BAD_REQUEST);
    }
    if (message->fields->len == 0 || message->is_in_value) {
        ts_http_field_t field = {(uint32_t)message->text->len, 0, 0};
        g_array_append_val(message->fields, field);
        message->is_in_value = false;
    } else {
        g_string_truncate(message->text, message->text->len - 1);
    }
    g_string_append_len(message->text, bytes, (gssize)length);
    g_string_append_c(message->text, '\0');
    return 0;
}

static int read_field_value(http_parser *parser, const char *bytes, size_t length)
{
    ts_http_message_t *message = message_of(parser);
    if (message->is_head_complete)
        return 0;
    if (message->fields->len == 0) {
        return set_error(message, TS_E_BAD_REQUEST);
    }
    ts_http_field_t *field =
        &g_array_index(message->fields, ts_http_field_t, message->fields->len - 1);
    if (!message->is_in_value) {
        field->value = (uint32_t)message->text->len;
        message->is_in_value = true;
    } else {
        g_string_truncate(message->text, message->text->len - 1);
    }
    g_string_append_len(message->text, bytes, (gssize)length);
    g_string_append_c(message->text, '\0');
    field->value_length += (uint32_t)length;
    return 0;
}

/* Returns what makes http_parser stop after the head. */
static int reject_head(ts_http_message_t *message, ts_error_t error)
{
    (void)set_error(message, error);
    return -1;
}

/* This node asks for no other protocol, so that 101 answers nothing. */
static bool is_valid_status(unsigned status)
{
    return status >= STATUS_FIRST && status <= STATUS_LAST && status != STATUS_SWITCHING_PROTOCOLS;
}

static int end_head(http_parser *parser)
{
    ts_http_message_t *message = message_of(parser);
    if (!message->is_request && !is_valid_status(parser->status_code))
        return reject_head(message, TS_E_BAD_REQUEST);
    message->is_head_complete = true;
    for (guint i = 0; i < message->fields->len; i++) {
        ts_http_field_t *field = &g_array_index(message->fields, ts_http_field_t, i);
        if (field->value == 0) { /* empty value: points to the NUL after the name */
            field->value = field->name + (uint32_t)strlen(message->text->str + field->name);
        }
    }
    bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    message->body_length = has_length ? parser->content_length : UINT64_MAX;
    if (has_length && parser->content_length > message->body_max) {
        return reject_head(message, TS_E_TOO_LARGE);
    }
    return message->is_response_to_head ? 1 : 0; /* 1: http_parser expects no body */
}

static int read_body(http_parser *parser, const char *bytes, size_t length)
{
    ts_http_message_t *message = message_of(parser);
    if (message->body_bytes + length > message->body_max) {
        return set_error(message, TS_E_TOO_LARGE);
    }
    message->body_bytes += length;
    if (!message->is_body_dropped)
        g_string_append_len(message->body, bytes, (gssize)length);
    return 0;
}

static int end_message(http_parser *parser)
{
    ts_http_message_t *message = message_of(parser);
    message->is_complete = true;
    message->keeps_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = read_target,
    .on_header_field = read_field_name,
    .on_header_value = read_field_value,
    .on_headers_complete = end_head,
    .on_body = read_body,
    .on_message_complete = end_message,
};

static void reset_state(ts_http_message_t *message)
{
    http_parser_init(&message->parser, message->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
    message->parser.data = message;
    message->head_bytes = 0;
    message->line_bytes = 0;
    message->last_head_byte = '\0';
    message->has_start_line = false;
    message->has_bare_line_end = false;
    message->is_head_scanned = false;
    message->has_begun = false;
    message->is_head_complete = false;
    message->is_body_dropped = false;
    message->body_bytes = 0;
    message->body_length = UINT64_MAX;
    message->is_complete = false;
    message->keeps_alive = false;
    message->is_in_value = false;
    message->error = TS_OK;
}

void ts_http_message_init(ts_http_message_t *message, bool is_request, size_t head_max,
                          size_t body_max)
{
    message->is_request = is_request;
    message->is_response_to_head = false;
    message->head_max = head_max;
    message->body_max = body_max;
    message->target = g_string_new(NULL);
    message->text = g_string_new(NULL);
    message->fields = g_array_new(FALSE, FALSE, sizeof(ts_http_field_t));
    message->body = g_string_new(NULL);
    reset_state(message);
}

static GString *empty_buffer(GString *buffer)
{
    if (buffer->allocated_len > BUFFER_KEEP_BYTES) {
        g_string_free(buffer, TRUE);
        return g_string_new(NULL);
    }
    g_string_truncate(buffer, 0);
    return buffer;
}

static GArray *empty_fields(GArray *fields)
{
    if (fields->len * sizeof(ts_http_field_t) > BUFFER_KEEP_BYTES) {
        g_array_free(fields, TRUE);
        return g_array_new(FALSE, FALSE, sizeof(ts_http_field_t));
    }
    g_array_set_size(fields, 0);
    return fields;
}

void ts_http_message_reset(ts_http_message_t *message)
{
    message->target = empty_buffer(message->target);
    message->text = empty_buffer(message->text);
    message->body = empty_buffer(message->body);
    message->fields = empty_fields(message->fields);
    reset_state(message);
}

void ts_http_message_drop_body(ts_http_message_t *message)
{
    g_string_free(message->body, TRUE);
    message->body = g_string_new(NULL);
    message->is_body_dropped = true;
}

GString *ts_http_message_take_body(ts_http_message_t *message)
{
    GString *body = message->body;
    message->body = g_string_new(NULL);
    return body;
}

void ts_http_message_clear(ts_http_message_t *message)
{
    g_string_free(message->target, TRUE);
    g_string_free(message->text, TRUE);
    g_string_free(message->body, TRUE);
    g_array_free(message->fields, TRUE);
}

/*
 * Scans the lines of a head up to the empty line that ends it, and notes lines that end with a bare
 * LF instead of CRLF. Programs disagree about a bare LF, and http_parser accepts it.
 */
static void scan_head(ts_http_message_t *message, const char *bytes, size_t length)
{
    for (size_t i = 0; i < length && !message->is_head_scanned; i++) {
        message->head_bytes++;
        if (bytes[i] != '\n') {
            message->line_bytes++;
            message->last_head_byte = bytes[i];
            continue;
        }
        if (message->last_head_byte != '\r') {
            message->has_bare_line_end = true;
        }
        bool is_empty = message->line_bytes <= 1;
        message->is_head_scanned = is_empty && message->has_start_line;
        message->has_start_line = message->has_start_line || !is_empty;
        message->line_bytes = 0;
        message->last_head_byte = '\n';
    }
}

/* Checks the line ends and the size of the head. */
static void check_head(ts_http_message_t *message, const char *bytes, size_t length)
{
    scan_head(message, bytes, length);
    if (message->is_request && message->has_bare_line_end) {
        message->error = TS_E_BAD_REQUEST;
    }
    if (message->head_bytes > message->head_max) {
        message->error = TS_E_HEAD_TOO_LARGE;
    }
}

static bool is_interim(const ts_http_message_t *message)
{
    return message->is_complete && !message->is_request &&
           message->parser.status_code <= INTERIM_STATUS_MAX;
}

size_t ts_http_message_feed(ts_http_message_t *message, const char *bytes, size_t length)
{
    size_t used = 0;
    while (used < length && !message->is_complete && message->error == TS_OK) {
        bool was_in_head = !message->is_head_complete;
        message->has_begun = true;
        size_t parsed =
            http_parser_execute(&message->parser, &parser_settings, bytes + used, length - used);
        enum http_errno failure = HTTP_PARSER_ERRNO(&message->parser);
        if (failure != HPE_OK && failure != HPE_PAUSED && message->error == TS_OK) {
            message->error =
                failure == HPE_HEADER_OVERFLOW ? TS_E_HEAD_TOO_LARGE : TS_E_BAD_REQUEST;
        }
        if (was_in_head && message->error == TS_OK) {
            check_head(message, bytes + used, parsed);
        }
        used += parsed;
        if (is_interim(message)) {
            bool is_body_dropped = message->is_body_dropped;
            ts_http_message_reset(message);
            message->is_body_dropped = is_body_dropped;
        }
    }
    return used;
}

void ts_http_message_finish(ts_http_message_t *message)
{
    if (message->is_complete || message->error != TS_OK) {
        return;
    }
    (void)http_parser_execute(&message->parser, &parser_settings, NULL, 0);
    if (!message->is_complete && message->error == TS_OK) {
        message->error = TS_E_IO;
    }
}

size_t ts_http_message_memory(const ts_http_message_t *message)
{
    return ts_memory_of_string(message->target) + ts_memory_of_string(message->text) +
           ts_memory_of_string(message->body) + message->fields->len * sizeof(ts_http_field_t);
}

const char *ts_http_message_find(const ts_http_message_t *message, const char *name)
{
    for (guint i = 0; i < message->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(message->fields, ts_http_field_t, i);
        bool has_value = field->value != 0; // else the head has not been received so far
        if (has_value && strcasecmp(ts_http_message_text(message, field->name), name) == 0) {
            return ts_http_message_text(message, field->value);
        }
    }
    return NULL;
}

unsigned ts_http_message_count(const ts_http_message_t *message, const char *name)
{
    unsigned count = 0;
    for (guint i = 0; i < message->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(message->fields, ts_http_field_t, i);
        count += strcasecmp(ts_http_message_text(message, field->name), name) == 0;
    }
    return count;
}

/* Whether a comma-separated list contains a word (case-insensitive). */
static bool list_contains(const char *list, const char *word)
{
    size_t length = strlen(word);
    while (*list != '\0') {
        list += strspn(list, ", \t");
        size_t item = strcspn(list, ", \t");
        if (item == length && strncasecmp(list, word, length) == 0) {
            return true;
        }
        list += item;
    }
    return false;
}

static bool is_named_by_connection(const ts_http_message_t *message, const char *name)
{
    for (guint i = 0; i < message->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(message->fields, ts_http_field_t, i);
        if (strcasecmp(ts_http_message_text(message, field->name), "Connection") == 0 &&
            list_contains(ts_http_message_text(message, field->value), name)) {
            return true;
        }
    }
    return false;
}

bool ts_http_message_is_unforwarded_field(const ts_http_message_t *message, const char *name)
{
    static const char *const unforwarded_fields[] = {"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade",
                                                     "Content-Length",
                                                     "Expect"};
    for (size_t i = 0; i < G_N_ELEMENTS(unforwarded_fields); i++) {
        if (strcasecmp(name, unforwarded_fields[i]) == 0) {
            return true;
        }
    }
    return is_named_by_connection(message, name);
}
