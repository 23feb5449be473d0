/** Parsing of IP addresses with ports. */
#include "tealspar/address.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <uv.h>

#define MAX_PORT 65535

static ts_error_t parse_port(const char *text, int *port)
{
    guint64 value = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 1, MAX_PORT, &value, NULL)) {
        return TS_E_ADDRESS;
    }
    *port = (int)value;
    return TS_OK;
}

ts_error_t ts_address_parse(const char *text, struct sockaddr_storage *address)
{
    char host[TS_ADDRESS_TEXT_MAX];
    int port = 0;
    const char *colon = text == NULL ? NULL : strrchr(text, ':');
    if (colon == NULL || parse_port(colon + 1, &port) != TS_OK) {
        return TS_E_ADDRESS;
    }
    size_t length = (size_t)(colon - text);
    int is_v6 = length >= 2 && text[0] == '[' && colon[-1] == ']';
    if (is_v6) {
        text += 1;
        length -= 2;
    }
    if (length >= sizeof(host)) {
        return TS_E_ADDRESS;
    }
    memcpy(host, text, length);
    host[length] = '\0';
    memset(address, 0, sizeof(*address));
    int status = is_v6 ? uv_ip6_addr(host, port, (struct sockaddr_in6 *)address)
                       : uv_ip4_addr(host, port, (struct sockaddr_in *)address);
    return status == 0 ? TS_OK : TS_E_ADDRESS;
}

socklen_t ts_address_length(const struct sockaddr_storage *address)
{
    return address->ss_family == AF_INET6 ? sizeof(struct sockaddr_in6)
                                          : sizeof(struct sockaddr_in);
}
