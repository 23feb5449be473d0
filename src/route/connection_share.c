/** Dealing out the connections that an instance takes. */
#include "tealspar/connection_share.h"

uint32_t ts_connection_share(uint32_t connections_max, unsigned nodes, unsigned place)
{
    uint32_t usable = connections_max * 2 / 3;
    return usable / nodes + (place < usable % nodes ? 1 : 0);
}
