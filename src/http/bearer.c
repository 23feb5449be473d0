/** Parser of bearer tokens. */
#include "tealspar/bearer.h"

#include <string.h>
#include <strings.h>

static const char scheme[] = "Bearer";

/* Characters of a token (b64token in RFC 6750), except '=', which is allowed only at its end. */
static bool is_token_char(char c)
{
    return g_ascii_isalnum(c) || (c != '\0' && strchr("-._~+/", c) != NULL);
}

static size_t token_length(const char *text)
{
    size_t length = 0;
    while (is_token_char(text[length]))
        length++;
    if (length == 0)
        return 0;
    return length + strspn(text + length, "=");
}

ts_error_t ts_bearer_find(const ts_http_message_t *message, const char *field, ts_bearer_t *bearer)
{
    const size_t scheme_length = sizeof(scheme) - 1;
    if (ts_http_message_count(message, field) != 1)
        return TS_E_UNAUTHENTICATED;
    const char *text = ts_http_message_find(message, field);
    if (strncasecmp(text, scheme, scheme_length) != 0)
        return TS_E_UNAUTHENTICATED;
    text += scheme_length;
    size_t spaces = strspn(text, " ");
    text += spaces;
    size_t length = token_length(text);
    size_t trailing = strspn(text + length, " \t");
    bool is_well_formed = spaces > 0 && length > 0 && text[length + trailing] == '\0';
    if (!is_well_formed)
        return TS_E_UNAUTHENTICATED;
    *bearer = (ts_bearer_t){text, length};
    return TS_OK;
}
