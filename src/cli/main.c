/** The program `tealspar`. */
#include "tealspar/command.h"

int main(int argc, char **argv)
{
    return ts_command_main("tealspar", "a query tier over many shards, steered by declarations",
                           argc, argv);
}
