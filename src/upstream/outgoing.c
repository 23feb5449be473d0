/** Requests as forwarded to backends, see tealspar/outgoing.h. */
#include "tealspar/outgoing.h"

#include <string.h>
#include <strings.h>

#define HEAD_INITIAL_BYTES 512

ts_outgoing_t *ts_outgoing_ref(ts_outgoing_t *outgoing)
{
    outgoing->references++;
    return outgoing;
}

void ts_outgoing_unref(ts_outgoing_t *outgoing)
{
    if (--outgoing->references > 0)
        return;
    g_free(outgoing->request_id);
    g_string_free(outgoing->head, TRUE);
    if (outgoing->body != NULL)
        g_string_free(outgoing->body, TRUE);
    g_free(outgoing);
}

// -- Building

/* Whether a field of the caller is dropped: this node sets it itself, or hides it from backends. */
static bool is_dropped_field(const ts_outgoing_options_t *options, const char *name)
{
    const ts_header_names_t *names = options->names;
    return strcasecmp(name, names->deadline_ms) == 0 ||
           strcasecmp(name, names->expected_instance) == 0 ||
           strcasecmp(name, names->tenant) == 0 ||
           (options->hides_credential && strcasecmp(name, names->authorization) == 0);
}

/* Appends a field; returns the span of its value. */
static ts_head_span_t append_field(GString *head, const char *name, const char *value,
                                   size_t length)
{
    g_string_append(head, name);
    g_string_append(head, ": ");
    ts_head_span_t span = {(uint32_t)head->len, (uint32_t)length};
    g_string_append_len(head, value, (gssize)length);
    g_string_append(head, "\r\n");
    return span;
}

/* Copies the caller's fields, except dropped and hop-by-hop fields. */
static void copy_fields(const ts_http_message_t *message, const ts_outgoing_options_t *options,
                        ts_outgoing_t *outgoing)
{
    for (guint i = 0; i < message->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(message->fields, ts_http_field_t, i);
        const char *name = ts_http_message_text(message, field->name);
        if (is_dropped_field(options, name) || ts_http_message_is_unforwarded_field(message, name))
            continue;
        const char *value = ts_http_message_text(message, field->value);
        ts_head_span_t span = append_field(outgoing->head, name, value, field->value_length);
        if (strcasecmp(name, "Host") == 0)
            outgoing->host = span;
    }
}

static void take_body(ts_http_message_t *message, ts_outgoing_t *outgoing)
{
    bool has_length = (message->parser.flags & (F_CONTENTLENGTH | F_CHUNKED)) != 0;
    if (message->body->len == 0 && !has_length)
        return;
    outgoing->body = ts_http_message_take_body(message);
    g_string_append_printf(outgoing->head, "Content-Length: %zu\r\n", outgoing->body->len);
}

ts_outgoing_t *ts_outgoing_compose(ts_http_message_t *message, const ts_outgoing_options_t *options)
{
    ts_outgoing_t *outgoing = g_new0(ts_outgoing_t, 1);
    outgoing->references = 1;
    outgoing->request_id = g_strdup(ts_http_message_find(message, options->names->request_id));
    outgoing->head = g_string_sized_new(HEAD_INITIAL_BYTES);
    g_string_append_printf(outgoing->head, "%s %s HTTP/1.1\r\n",
                           http_method_str((enum http_method)message->parser.method),
                           message->target->str);
    outgoing->line.length = (uint32_t)outgoing->head->len;
    copy_fields(message, options, outgoing);
    if (options->tenant != NULL)
        outgoing->tenant = append_field(outgoing->head, options->names->tenant, options->tenant,
                                        strlen(options->tenant));
    take_body(message, outgoing);
    outgoing->is_head_method = message->parser.method == HTTP_HEAD;
    return outgoing;
}

// -- Digest

static ts_digest_piece_t digest_piece(const ts_outgoing_t *outgoing, ts_head_span_t span)
{
    return (ts_digest_piece_t){outgoing->head->str + span.offset, span.length};
}

const ts_request_digest_t *ts_outgoing_digest(ts_outgoing_t *outgoing)
{
    if (outgoing->has_digest)
        return &outgoing->digest;
    ts_digest_piece_t body = {NULL, 0};
    if (outgoing->body != NULL)
        body = (ts_digest_piece_t){outgoing->body->str, outgoing->body->len};
    ts_digest_piece_t pieces[] = {digest_piece(outgoing, outgoing->line),
                                  digest_piece(outgoing, outgoing->host),
                                  digest_piece(outgoing, outgoing->tenant), body};
    outgoing->digest = ts_request_digest(pieces, G_N_ELEMENTS(pieces));
    outgoing->has_digest = true;
    return &outgoing->digest;
}
