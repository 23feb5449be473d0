/** The program `tealspar-lab`: stand-in services, simulations and test scenarios. */
#include "tealspar/command.h"

int main(int argc, char **argv)
{
    return ts_command_main("tealspar-lab", "stand-in services, simulations and test scenarios",
                           argc, argv);
}
