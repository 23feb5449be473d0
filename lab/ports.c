/** Allocation of listening ports in blocks. */
#include "ports.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <unistd.h>

/* Below the kernel's ephemeral ports: any process could get one of these for an outgoing connection
 * after it was allocated and before the program listens on it. */
#define PORT_FIRST 12000U
#define BLOCK_PORTS 100U
#define BLOCK_COUNT 200U
/* The program that has reserved block `i` keeps a socket bound to this port plus `i`. */
#define LOCK_PORT_FIRST 11000U
#define LOCK_IP "127.0.0.1"

/* Returns a socket bound to an address, or -1. */
static int bind_port(const char *ip, unsigned port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    if (inet_pton(AF_INET, ip, &address.sin_addr) == 1 &&
        bind(fd, (const struct sockaddr *)&address, sizeof(address)) == 0)
        return fd;
    close(fd);
    return -1;
}

static bool is_free(const char *ip, unsigned port)
{
    int fd = bind_port(ip, port);
    if (fd >= 0)
        close(fd);
    return fd >= 0;
}

/* Reserves a free block until the process exits; BLOCK_COUNT: none is free. */
static unsigned reserve_block(void)
{
    for (unsigned i = 0; i < BLOCK_COUNT; i++) {
        if (bind_port(LOCK_IP, LOCK_PORT_FIRST + i) >= 0)
            return i;
    }
    return BLOCK_COUNT;
}

unsigned lab_next_port(const char *ip)
{
    static unsigned next; /* next port to try in the last reserved block */
    static unsigned end;
    for (;;) {
        for (; next < end; next++) {
            if (is_free(ip, next))
                return next++;
        }
        unsigned block = reserve_block();
        if (block == BLOCK_COUNT)
            return 0;
        next = PORT_FIRST + block * BLOCK_PORTS;
        end = next + BLOCK_PORTS;
    }
}
