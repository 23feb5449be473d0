/** Signal handling during startup. */
#include "tealspar/early_stop.h"

#include <signal.h>
#include <unistd.h>

#include "tealspar/command.h"

static void exit_on_signal(int number)
{
    _exit(TS_EXIT_OK);
}

void ts_early_stop_install_handlers(void)
{
    signal(SIGTERM, exit_on_signal);
    signal(SIGINT, exit_on_signal);
    signal(SIGHUP, SIG_IGN);
}
