/** Entry point of `tealspar`. */
#include "tealspar/command.h"

int main(int argc, char **argv)
{
    return ts_command_main("tealspar", "a query tier over many shards, configured by declarations",
                           argc, argv);
}
