/** Structured log writer: text or JSON lines on standard output. */
#include "tealspar/log.h"
#include <inttypes.h>

#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "tealspar/clock.h"
#include "tealspar/counters.h"
#include "tealspar/line_writer.h"

#define LINES_MAX_PER_S 400
#define BYTES_MAX_PER_S (128U * 1024U)

typedef struct event_row {
    GLogLevelFlags level;
    const char *name;
} event_row_t;

#define TS_EVENT_ROW(symbol, level, name) {G_LOG_LEVEL_##level, name},
static const event_row_t event_rows[] = {TS_EVENT_TABLE(TS_EVENT_ROW)};
#undef TS_EVENT_ROW

static char *log_node;
static ts_log_format_t log_format = TS_LOG_TEXT;
static GLogLevelFlags log_minimum = G_LOG_LEVEL_MESSAGE;
static ts_line_writer_t *log_writer;
/* ts_log_flush() has been called; until then, each line is flushed at once. */
static gboolean is_flushed_by_loop;

static const char *name_level(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
        return "critical";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    case G_LOG_LEVEL_MESSAGE:
        return "notice";
    case G_LOG_LEVEL_INFO:
        return "info";
    default:
        return "debug";
    }
}

static const char *find_field(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return "";
}

static void append_escaped(GString *out, const char *text, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        unsigned char byte = (unsigned char)text[i];
        if (byte == '"' || byte == '\\') {
            g_string_append_c(out, '\\');
            g_string_append_c(out, (gchar)byte);
        } else if (byte < ' ' || byte > '~') {
            g_string_append_printf(out, "\\u%04x", byte);
        } else {
            g_string_append_c(out, (gchar)byte);
        }
    }
}

/* Whether a value is written as a JSON number: 1 to 15 digits without a leading zero. */
static gboolean is_number(const char *text, size_t length)
{
    size_t digits = strspn(text, "0123456789");
    return length > 0 && digits >= length && length < 16 && (text[0] != '0' || length == 1);
}

static void append_field(GString *out, const char *name, size_t name_length, const char *value,
                         size_t length)
{
    g_string_append(out, ",\"");
    append_escaped(out, name, name_length);
    g_string_append(out, "\":");
    if (is_number(value, length)) {
        g_string_append_len(out, value, (gssize)length);
        return;
    }
    g_string_append_c(out, '"');
    append_escaped(out, value, length);
    g_string_append_c(out, '"');
}

/* Whether a text consists of "name=value" pairs. */
static gboolean is_field_list(const char *text)
{
    while (*text != '\0') {
        size_t name = strspn(text, "abcdefghijklmnopqrstuvwxyz_");
        if (name == 0 || text[name] != '=') {
            return FALSE;
        }
        text += strcspn(text, " ");
        text += strspn(text, " ");
    }
    return TRUE;
}

static void append_details(GString *out, const char *detail)
{
    if (!is_field_list(detail)) {
        append_field(out, "detail", strlen("detail"), detail, strlen(detail));
        return;
    }
    while (*detail != '\0') {
        size_t name = strcspn(detail, "=");
        const char *value = detail + name + 1;
        size_t length = strcspn(value, " ");
        append_field(out, detail, name, value, length);
        detail = value + length;
        detail += strspn(detail, " ");
    }
}

static void format_line(GString *out, GLogLevelFlags level, const char *event, const char *detail)
{
    const char *node = log_node == NULL ? "-" : log_node;
    if (log_format == TS_LOG_TEXT) {
        g_string_append_printf(out, "%" PRId64 " %s %s %s: %s", ts_clock_wall_ms(),
                               name_level(level), node, event, detail);
        return;
    }
    g_string_append_printf(out, "{\"v\":%d,\"time_ms\":%" PRId64 ",\"level\":\"%s\",\"node\":\"",
                           TS_LOG_SCHEMA, ts_clock_wall_ms(), name_level(level));
    append_escaped(out, node, strlen(node));
    g_string_append_printf(out, "\",\"event\":\"%s\"", event);
    append_details(out, detail);
    g_string_append_c(out, '}');
}

static ts_line_priority_t line_priority(GLogLevelFlags level, const char *event)
{
    if ((level & G_LOG_LEVEL_MASK) <= G_LOG_LEVEL_MESSAGE) {
        return TS_LINE_IMPORTANT;
    }
    return strcmp(event, event_rows[TS_EVENT_REQUEST_DONE].name) == 0 ? TS_LINE_SAMPLED
                                                                      : TS_LINE_DETAIL;
}

static void add_line(GLogLevelFlags level, const char *event, const char *detail)
{
    GString *line = g_string_sized_new(256);
    format_line(line, level, event, detail);
    if (ts_line_writer_add(log_writer, line_priority(level, event), line->str, line->len,
                           ts_clock_now_us())) {
        ts_count(TS_COUNTER_LOG_LINES, 1);
    } else {
        ts_count(TS_COUNTER_LOG_LINES_DROPPED, 1);
    }
    g_string_free(line, TRUE);
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
                                   gpointer data)
{
    /* GLib's level flags: more severe levels are lower bits. */
    if ((level & G_LOG_LEVEL_MASK) > log_minimum) {
        return G_LOG_WRITER_HANDLED;
    }
    add_line(level, find_field(fields, count, "TEALSPAR_EVENT"),
             find_field(fields, count, "MESSAGE"));
    if (!is_flushed_by_loop) {
        ts_line_writer_flush(log_writer);
    }
    return G_LOG_WRITER_HANDLED;
}

void ts_log_flush(void)
{
    static ts_time_us_t reported_us;
    ts_time_us_t now_us = ts_clock_now_us();
    is_flushed_by_loop = TRUE;
    if (log_writer == NULL) {
        return;
    }
    if (ts_line_writer_has_dropped(log_writer) && now_us - reported_us > TS_US_PER_S) {
        reported_us = now_us;
        ts_log(TS_EVENT_LOG_DROPPED, "lines=%" PRIu64, ts_line_writer_take_dropped(log_writer));
    }
    ts_line_writer_flush_batch(log_writer, now_us);
}

void ts_log_close(void)
{
    if (log_writer != NULL) {
        ts_line_writer_flush(log_writer);
    }
}

gboolean ts_log_is_wanted(ts_event_t event)
{
    if (event == TS_EVENT_REQUEST_DONE && log_writer != NULL &&
        !ts_line_writer_accepts_sample(log_writer, ts_clock_now_us())) {
        return FALSE;
    }
    return (event_rows[event].level & G_LOG_LEVEL_MASK) <= log_minimum;
}

void ts_log_open(const char *node, ts_log_format_t format, GLogLevelFlags minimum)
{
    static gboolean installed = FALSE;
    g_free(log_node);
    log_node = g_strdup(node);
    log_format = format;
    log_minimum = minimum;
    if (log_writer == NULL) {
        log_writer = ts_line_writer_create(STDOUT_FILENO, LINES_MAX_PER_S, BYTES_MAX_PER_S);
    }
    if (!installed) {
        g_log_set_writer_func(write_line, NULL, NULL);
        installed = TRUE;
    }
}

void ts_log(ts_event_t event, const char *format, ...)
{
    if (!ts_log_is_wanted(event)) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    char *detail = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    const event_row_t *row = &event_rows[event];
    g_log_structured("tealspar", row->level, "TEALSPAR_EVENT", row->name, "MESSAGE", "%s", detail);
    g_free(detail);
}
