/**
 * Signal handling during startup. Until a process installs its own handlers, SIGTERM or SIGINT
 * would terminate it by signal, which a supervisor takes for a crash, and SIGHUP (reload of the
 * settings) would terminate it as well.
 */
#ifndef TEALSPAR_EARLY_STOP_H
#define TEALSPAR_EARLY_STOP_H

/**
 * Makes SIGTERM and SIGINT exit the process with TS_EXIT_OK, as it has accepted no requests yet,
 * and ignores SIGHUP, as the settings have not been read yet. Called at the start of a long-running
 * command, whose own handlers replace these later.
 */
void ts_early_stop_install_handlers(void);

#endif
