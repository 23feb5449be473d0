/** The program `tealspar-lab`: stand-ins and experiments. */
#include "tealspar/command.h"

int main(int argc, char **argv)
{
    return ts_command_main("tealspar-lab", "stand-ins and experiments for tealspar", argc, argv);
}
