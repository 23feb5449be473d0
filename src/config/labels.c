/** Labels ("key=value") and label terms ("key=value|value"). */
#include <ctype.h>
#include <string.h>

#include "tealspar/declarations.h"

static bool is_word(const char *text, size_t length)
{
    if (length == 0) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) && strchr("-_.", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

bool ts_label_is_valid(const char *text, bool allow_alternatives)
{
    const char *equals = strchr(text, '=');
    if (equals == NULL || !is_word(text, (size_t)(equals - text))) {
        return false;
    }
    const char *value = equals + 1;
    for (;;) {
        size_t length = strcspn(value, "|");
        if (!is_word(value, length)) {
            return false;
        }
        if (value[length] == '\0') {
            return true;
        }
        if (!allow_alternatives) {
            return false;
        }
        value += length + 1;
    }
}

bool ts_label_has_same_key(const char *left, const char *right)
{
    size_t length = strcspn(left, "=");
    return length == strcspn(right, "=") && strncmp(left, right, length) == 0;
}

static bool term_matches_value(const char *term, const char *value)
{
    const char *alternative = strchr(term, '=') + 1;
    size_t value_length = strlen(value);
    for (;;) {
        size_t length = strcspn(alternative, "|");
        if (length == value_length && strncmp(alternative, value, length) == 0) {
            return true;
        }
        if (alternative[length] == '\0') {
            return false;
        }
        alternative += length + 1;
    }
}

static bool term_matches(const char *term, char **labels, unsigned label_count)
{
    for (unsigned i = 0; i < label_count; i++) {
        if (ts_label_has_same_key(term, labels[i]) &&
            term_matches_value(term, strchr(labels[i], '=') + 1)) {
            return true;
        }
    }
    return false;
}

bool ts_labels_match(char **terms, unsigned term_count, char **labels, unsigned label_count)
{
    for (unsigned i = 0; i < term_count; i++) {
        if (!term_matches(terms[i], labels, label_count)) {
            return false;
        }
    }
    return true;
}
