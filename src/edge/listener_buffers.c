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

static void set_buffer_sizes(const ts_listener_t *listener, uv_tcp_t *socket)
{
    int send_bytes = buffer_size(listener, listener->socket_class);
    int receive_bytes = send_bytes;
    if (uv_send_buffer_size((uv_handle_t *)socket, &send_bytes) != 0 ||
        uv_recv_buffer_size((uv_handle_t *)socket, &receive_bytes) != 0)
        ts_log(TS_EVENT_FAILURE, "option=socket_buffers bytes=%d connections=%u",
               buffer_size(listener, listener->socket_class), listener->connections);
}

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
    listener->socket_class = connections;
    listener->has_sized_buffers = true;
    set_buffer_sizes(listener, &listener->socket);
}

/* A connection has inherited the sizes from the time at which the kernel established it, which may
 * be long before it is accepted. */
void ts_caller_size_buffers(ts_caller_t *caller)
{
    if (caller->listener->has_sized_buffers)
        set_buffer_sizes(caller->listener, &caller->socket);
}

void ts_listener_set_socket_memory(ts_listener_t *listener, size_t bytes)
{
    listener->socket_bytes = bytes;
    listener->socket_class = 0;
    ts_listener_size_buffers(listener);
}
