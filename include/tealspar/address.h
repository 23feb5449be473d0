/** Socket addresses: an IP address with a port, not a host name. */
#ifndef TEALSPAR_ADDRESS_H
#define TEALSPAR_ADDRESS_H

#include <sys/socket.h>

#include "tealspar/error.h"

#define TS_ADDRESS_TEXT_MAX 64

/**
 * Parses "1.2.3.4:80" or "[::1]:80". Returns TS_OK, or TS_E_ADDRESS for a host name, a missing port
 * or port 0.
 */
ts_error_t ts_address_parse(const char *text, struct sockaddr_storage *address);
/** Length of the address for bind() and connect(). */
socklen_t ts_address_length(const struct sockaddr_storage *address);

#endif
