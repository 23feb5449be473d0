/** Division of an instance's connection limit among nodes. */
#include "tealspar/connection_share.h"

/* Two thirds of the limit, as an instance accepts fewer connections while its queue is long. */
static uint32_t usable_connections(uint32_t connections_max)
{
    return connections_max * 2 / 3;
}

uint32_t ts_connections_in_use_max(uint32_t connections_max, unsigned nodes)
{
    uint32_t share_min = connections_max >= nodes ? 2 : 1;
    uint32_t share = usable_connections(connections_max) / nodes;
    return share > share_min ? share : share_min;
}

uint32_t ts_connection_share(uint32_t connections_max, unsigned nodes, unsigned index)
{
    uint32_t total = usable_connections(connections_max);
    return total / nodes + (index < total % nodes ? 1 : 0);
}
