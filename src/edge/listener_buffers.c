/** Sizes of the kernel's buffers of client connections. */
#include "caller_internal.h"

#include "tealspar/log.h"

/*
 * The n-th connection gets 1/(BUFFERS_DIVISOR * n) of the memory for each direction. Up to 1,000
 * connections, the sum is less than the memory.
 */
#define BUFFERS_DIVISOR 16
/* A smaller buffer would take a round trip for every few packets. */
#define BUFFER_MIN_BYTES 16384
/* Unless smaller ones were set before, larger buffers are left to the system, which adapts them to
 * the connection. */
#define BUFFER_MAX_BYTES (512 * 1024)
/* The kernel allocates this multiple of the size that it is given. */
#define KERNEL_FACTOR 2

/* Number of connections rounded down to a power of two. */
static unsigned connections_class(const ts_listener_t *listener)
{
    unsigned connections_class = 1;
    while (connections_class <= listener->connections / 2)
        connections_class *= 2;
    return connections_class;
}

static int buffer_size(const ts_listener_t *listener, unsigned connections)
{
    size_t bytes = listener->socket_bytes / BUFFERS_DIVISOR / connections;
    return (int)(CLAMP(bytes, BUFFER_MIN_BYTES, BUFFER_MAX_BYTES) / KERNEL_FACTOR);
}

/* Accepted sockets inherit the sizes of the listening one, which saves setting them for each. */
void ts_listener_size_buffers(ts_listener_t *listener)
{
    unsigned connections = connections_class(listener);
    if (listener->socket_bytes == 0 || listener->is_closed || connections == listener->socket_class)
        return;
    bool is_slightly_less =
        connections < listener->socket_class && listener->connections >= listener->socket_class / 2;
    if (is_slightly_less)
        return; // their number may vary around a power of two
    if (!listener->has_sized_buffers &&
        listener->socket_bytes / BUFFERS_DIVISOR / connections > BUFFER_MAX_BYTES)
        return;
    int send_bytes = buffer_size(listener, connections);
    int receive_bytes = send_bytes;
    listener->socket_class = connections;
    listener->has_sized_buffers = true;
    if (uv_send_buffer_size((uv_handle_t *)&listener->socket, &send_bytes) != 0 ||
        uv_recv_buffer_size((uv_handle_t *)&listener->socket, &receive_bytes) != 0)
        ts_log(TS_EVENT_FAILURE, "option=socket_buffers bytes=%d connections=%u",
               buffer_size(listener, connections), listener->connections);
}

void ts_listener_set_socket_memory(ts_listener_t *listener, size_t bytes)
{
    listener->socket_bytes = bytes;
    listener->socket_class = 0;
    ts_listener_size_buffers(listener);
}
