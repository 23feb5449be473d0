/** Signals to a process that does not serve yet. */
#include "tealspar/early_stop.h"

#include <signal.h>
#include <unistd.h>

#include "tealspar/command.h"

static void stop_at_once(int number)
{
    _exit(TS_EXIT_OK);
}

void ts_early_stop_begin(void)
{
    signal(SIGTERM, stop_at_once);
    signal(SIGINT, stop_at_once);
    signal(SIGHUP, SIG_IGN);
}
