/** Dealing out the connections that an instance takes. */
#include "tealspar/connection_share.h"

/* An instance takes fewer connections while its queue is long. */
static uint32_t usable(uint32_t connections_max)
{
    return connections_max * 2 / 3;
}

uint32_t ts_connections_in_use_max(uint32_t connections_max, unsigned nodes)
{
    uint32_t least = connections_max >= nodes ? 2 : 1;
    uint32_t share = usable(connections_max) / nodes;
    return share > least ? share : least;
}

uint32_t ts_connection_share(uint32_t connections_max, unsigned nodes, unsigned place)
{
    uint32_t dealt = usable(connections_max);
    return dealt / nodes + (place < dealt % nodes ? 1 : 0);
}
